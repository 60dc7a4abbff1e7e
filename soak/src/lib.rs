//! Randomized soak test of the gateway. It runs real gateway processes on one machine, injects
//! faults from outside and checks the guarantees by what clients and upstreams observe.
//!
//! The metadata store and the upstreams are simulated in this process, each behind a loopback
//! proxy. The seed determines all steps.

mod accounts;
mod callers;
mod checks;
mod crashing;
mod floods;
mod limits;
pub mod mesh;
mod notices;
mod odd_items;
mod parts;
pub mod plan;
pub mod proxy;
mod roll_outs;
mod stalls;
mod versions;
mod world;

use std::collections::BTreeMap;
use std::io::Result;
use std::path::PathBuf;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

use coursestile_standins::clock::now_ms;
use coursestile_standins::site::client::{Client, request};
use tokio::task::JoinHandle;
use tokio::time::{sleep, sleep_until, timeout};

use crate::callers::Observations;
use crate::checks::RunData;
use crate::floods::FloodRecord;
use crate::plan::Step;
use crate::versions::StreamRecord;
use crate::world::{World, version_path};

/// Clients for each box.
const CLIENTS: usize = 3;
/// Time limit for all boxes to become ready, and to converge after the last fault.
const CONVERGENCE_TIMEOUT: Duration = Duration::from_secs(30);
/// Time at the end of a run in which delayed requests may still reach upstreams.
const LATE_RUNS_WAIT: Duration = Duration::from_secs(2);
/// Time limit of one probe.
const PROBE_TIMEOUT: Duration = Duration::from_secs(2);
/// Interval between two probes.
const PROBE_INTERVAL: Duration = Duration::from_millis(50);

/// Options of a run.
#[derive(Clone, Copy, Debug)]
pub struct Options {
    /// Seed that determines the steps and the clients' choices.
    pub seed: u64,
    /// Length of the run.
    pub seconds: u64,
    /// Number of boxes.
    pub boxes: usize,
    /// Which steps are carried out.
    pub scenario: Scenario,
}

/// Sets of steps. `Silences`, `Restarts` and `Moves` each add steps to the set before, which
/// stays the same for a seed.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Scenario {
    /// Faults and planned work.
    First,
    /// Also silences connections and datagrams between boxes, and the metadata store after a
    /// change.
    Silences,
    /// Also restarts upstreams under the same id.
    Restarts,
    /// Also changes the weights.
    Moves,
    /// Only changes the weights, with faults of boxes and engines meanwhile.
    MovesAlone,
    /// Upstreams crash on a certain request and announce in their responses that they leave or want
    /// no requests for a while. Apart from that, only boxes and the metadata store fail.
    Words,
    /// Upstreams of several software versions replace each other, and clients resume their streams at
    /// other boxes. Boxes, the metadata store and the links between boxes fail.
    Versions,
    /// Services of one software version get another one for the first time, while boxes and halls are out
    /// of step with the metadata store and others. Clients resume their streams at these boxes on purpose.
    RollOuts,
    /// Also writes odd items to the metadata store.
    OddItems,
    /// Upstreams crash under parts of prompts in requests that are never alike, and by themselves.
    /// Boxes, the metadata store and the links between boxes fail.
    Parts,
    /// Upstreams name how many requests a second they take from all boxes together, and change that.
    /// Boxes, the metadata store and the links between boxes fail.
    Limits,
    /// Faults and planned work, beside clients that leave requests unfinished. Only the memory, the
    /// descriptors and the life of the boxes are judged.
    Floods,
    /// An account is isolated and not isolated by turns, its streams and bodies take long, and upstreams
    /// leave and crash. Boxes start, stand still, are cut off and stopped.
    Accounts,
}

impl Scenario {
    fn changes_weights(self) -> bool {
        matches!(self, Self::Moves | Self::MovesAlone)
    }

    /// Whether clients go on after the last step, until the run is as long as it is to be.
    fn has_length(self) -> bool {
        matches!(self, Self::Limits | Self::Accounts)
    }

    fn steps(self, seed: u64, length_ms: u64) -> Vec<Step> {
        let all =
            [plan::fault_steps, plan::silence_steps, plan::restart_steps, plan::weights_steps];
        let generators = match self {
            Self::Words => &[plan::announcement_steps as fn(u64, u64) -> Vec<Step>][..],
            Self::Versions | Self::Parts | Self::Limits => {
                &[plan::version_steps as fn(u64, u64) -> Vec<Step>][..]
            }
            Self::RollOuts | Self::OddItems => {
                &[plan::roll_out_steps as fn(u64, u64) -> Vec<Step>][..]
            }
            Self::Accounts => &[plan::account_steps as fn(u64, u64) -> Vec<Step>][..],
            Self::MovesAlone => &all[3..],
            Self::First | Self::Floods => &all[..1],
            Self::Silences => &all[..2],
            Self::Restarts => &all[..3],
            Self::Moves => &all[..],
        };
        let mut steps: Vec<Step> =
            generators.iter().flat_map(|generate| generate(seed, length_ms)).collect();
        if self == Self::Limits {
            // How far limits are used is judged where nothing fails.
            steps.retain(|step| step.until_ms <= length_ms / 2);
        }
        steps
    }
}

/// Result of a run.
pub struct Report {
    /// Descriptions of violated guarantees.
    pub violations: Vec<String>,
    /// Number of requests by outcome, and number of checks that found the newest configuration
    /// in force.
    pub outcomes: BTreeMap<String, usize>,
    /// Steps that were carried out, one line each.
    pub steps: Vec<String>,
    /// What helps to find the cause of a violation, one line each.
    pub notes: Vec<String>,
    /// Folder with the logs, if a guarantee was violated.
    pub logs: Option<PathBuf>,
}

/// Carries out one run.
///
/// # Errors
///
/// Fails when a process cannot be started or an address cannot be bound.
///
/// # Panics
///
/// Panics when a task of the soak test itself has failed.
pub async fn run(options: Options) -> Result<Report> {
    let weights_change = options.scenario.changes_weights();
    let world = Arc::new(World::start(options).await?);
    let mut violations = wait_for_configuration(&world).await;
    violations.extend(roll_outs::wait_until_certain(&world).await);
    let (started_at, started_at_ms) = (Instant::now(), now_ms());
    let steps = options.scenario.steps(options.seed, options.seconds * 1000);
    let observations = Arc::new(Mutex::new(Observations::default()));
    let stop = Arc::new(AtomicBool::new(false));
    let mut clients = start_callers(&world, &observations, &stop, options);
    clients.push(tokio::spawn(stalls::record_stalls(observations.clone(), stop.clone())));
    if options.scenario == Scenario::Words {
        clients.extend(crashing::start_clients(&world, &stop, options.seed));
    }
    let streams = Arc::new(Mutex::new(Vec::new()));
    if options.scenario == Scenario::Versions {
        clients.extend(versions::start_clients(&world, &streams, &stop, options.seed));
    }
    let roll_out_streams = Arc::new(Mutex::new(Vec::new()));
    if !world.roll_outs.is_empty() {
        let run = roll_outs::Run {
            world: world.clone(),
            steps: steps.clone(),
            started_at,
            streams: roll_out_streams.clone(),
            stop: stop.clone(),
        };
        clients.extend(roll_outs::start_clients(&run, options.seed));
    }
    if options.scenario == Scenario::OddItems {
        let (world, length_ms) = (world.clone(), options.seconds * 1000);
        clients.push(tokio::spawn(odd_items::write(world, options.seed, length_ms, started_at)));
    }
    let sound_prompts = Arc::new(Mutex::new(Vec::new()));
    if options.scenario == Scenario::Parts {
        clients.extend(parts::start_clients(&world, &sound_prompts, &stop, options.seed));
    }
    let limited_requests = Arc::new(Mutex::new(Vec::new()));
    if options.scenario == Scenario::Limits {
        clients.extend(limits::start_clients(&world, &limited_requests, &stop, options.seed));
    }
    let account_tries = Arc::new(Mutex::new(Vec::new()));
    if options.scenario == Scenario::Accounts {
        let run = (&steps[..], started_at);
        clients.extend(accounts::start_clients(&world, &account_tries, &stop, run, options.seed));
    }
    let floods = Arc::new(Mutex::new(FloodRecord::default()));
    clients.extend(floods::start_clients(&world, &floods, &stop, options));
    if weights_change {
        clients.push(tokio::spawn(callers::watch_engine_weights(
            world.clone(),
            observations.clone(),
            stop.clone(),
        )));
    }
    run_steps(&world, &steps, started_at).await;
    if options.scenario.has_length() || !world.roll_outs.is_empty() {
        sleep_until((started_at + Duration::from_secs(options.seconds)).into()).await;
    }
    world.end_faults();
    violations.extend(wait_for_configuration(&world).await);
    violations.extend(wait_for_weights(&world).await);
    stop.store(true, Ordering::Relaxed);
    for client in clients {
        client.await?;
    }
    sleep(LATE_RUNS_WAIT).await;
    let observations = observations.lock().expect("no task panics under the lock");
    let run_data = RunData {
        world: &world,
        observations: &observations,
        steps: &steps,
        started_at,
        started_at_ms,
    };
    let floods = floods.lock().expect("no task panics under the lock");
    violations.extend(match options.scenario {
        Scenario::Floods => floods.violations(&world),
        _ => run_data.violations(),
    });
    let streams = streams.lock().expect("no task panics under the lock");
    violations.extend(run_data.version_violations(&streams));
    let roll_out_streams = roll_out_streams.lock().expect("no task panics under the lock");
    violations.extend(run_data.roll_out_violations(&roll_out_streams));
    let sound_prompts = sound_prompts.lock().expect("no task panics under the lock");
    violations.extend(run_data.part_violations(&sound_prompts));
    let limited_requests = limited_requests.lock().expect("no task panics under the lock");
    violations.extend(run_data.limit_violations(&limited_requests));
    let account_tries = account_tries.lock().expect("no task panics under the lock");
    violations.extend(run_data.account_violations(&account_tries));
    let logs = if violations.is_empty() { None } else { Some(keep_logs(&world, options.seed)?) };
    let steps = steps.iter().map(describe).collect();
    let mut outcomes = count_outcomes(&run_data, &streams);
    outcomes.extend(run_data.roll_out_outcomes(&roll_out_streams));
    outcomes.extend(run_data.part_outcomes(&sound_prompts));
    outcomes.extend(run_data.limit_outcomes(&limited_requests));
    outcomes.extend(run_data.account_outcomes(&account_tries));
    outcomes.extend(floods.outcomes());
    Ok(Report { violations, outcomes, steps, notes: run_data.notes(), logs })
}

/// Starts the clients that send requests to each box.
fn start_callers(
    world: &Arc<World>,
    observations: &Arc<Mutex<Observations>>,
    stop: &Arc<AtomicBool>,
    options: Options,
) -> Vec<JoinHandle<()>> {
    let mut clients = Vec::new();
    // Where roll-outs are the subject, most clients send streams of these services.
    let callers = if world.roll_outs.is_empty() { CLIENTS } else { 1 };
    for number in 0..options.boxes * callers {
        let (box_number, client) = (number % options.boxes, number / options.boxes);
        let seed = options.seed.wrapping_mul(1000) + number as u64;
        let sending = callers::send_requests(
            world.clone(),
            observations.clone(),
            stop.clone(),
            box_number,
            client,
            seed,
        );
        clients.push(tokio::spawn(sending));
    }
    for box_number in 0..options.boxes {
        let polling = callers::poll_configuration(
            world.clone(),
            observations.clone(),
            stop.clone(),
            box_number,
        );
        clients.push(tokio::spawn(polling));
        if options.scenario.changes_weights() {
            let prompting = callers::send_prompts(world.clone(), stop.clone(), box_number);
            clients.push(tokio::spawn(prompting));
        }
    }
    clients
}

/// Carries out each step at its time and waits for all of them.
async fn run_steps(world: &Arc<World>, steps: &[Step], started_at: Instant) {
    let mut running = Vec::new();
    for step in steps.iter().copied() {
        let world = world.clone();
        running.push(tokio::spawn(async move {
            sleep_until((started_at + Duration::from_millis(step.at_ms)).into()).await;
            let time = Duration::from_millis(step.until_ms - step.at_ms);
            world.apply(step.action, step.pick, time).await;
        }));
    }
    for step in running {
        // A panic in a step is an error of the soak test itself and ends the run.
        step.await.expect("a step");
    }
}

/// Waits until the newest configuration is in force in every box. Describes the boxes where it
/// is not within the time limit.
async fn wait_for_configuration(world: &World) -> Vec<String> {
    let deadline = Instant::now() + CONVERGENCE_TIMEOUT;
    let version = world.newest().version;
    let mut outdated_boxes = Vec::new();
    for (number, gateway_box) in world.boxes.iter().enumerate() {
        while !serves_version(&gateway_box.process.clients, version).await {
            if Instant::now() > deadline {
                outdated_boxes
                    .push(format!("box {number} does not have version {version} in force"));
                break;
            }
            sleep(PROBE_INTERVAL).await;
        }
    }
    outdated_boxes
}

/// Waits until every engine has the newest weights. Describes the engines that do not have them
/// within the time limit.
async fn wait_for_weights(world: &World) -> Vec<String> {
    let deadline = Instant::now() + CONVERGENCE_TIMEOUT;
    loop {
        let outdated_engines = world.outdated_engines();
        if outdated_engines.is_empty() || Instant::now() > deadline {
            let text = |(engine, version)| {
                format!("engine {engine} still has weights {version} at the end")
            };
            return outdated_engines.into_iter().map(text).collect();
        }
        sleep(PROBE_INTERVAL).await;
    }
}

async fn serves_version(address: &str, version: u64) -> bool {
    let probing = async {
        let mut client = Client::try_connect(address).await.ok()?;
        client.send(&request("GET", &version_path(version), "agree", "", "")).await
    };
    let answer = timeout(PROBE_TIMEOUT, probing).await.ok().flatten();
    answer.is_some_and(|answer| answer.status() == 200)
}

fn count_outcomes(run_data: &RunData<'_>, streams: &[StreamRecord]) -> BTreeMap<String, usize> {
    let observations = run_data.observations;
    let mut outcomes = BTreeMap::new();
    for request in &observations.requests {
        let outcome = match &request.answer {
            Some(answer) if answer.complete => answer.status().to_string(),
            Some(answer) => format!("{} cut", answer.status()),
            None => "none".to_owned(),
        };
        *outcomes.entry(outcome).or_default() += 1;
    }
    outcomes.insert("newest in force".to_owned(), observations.newest_in_force);
    if run_data.world.rolling.is_some() {
        let shares = run_data.version_shares(streams);
        outcomes.extend([
            ("streams resumed".to_owned(), shares.resumed_anywhere.1),
            ("streams resumed that went on".to_owned(), shares.resumed_anywhere.0),
            ("streams resumed undisturbed that went on".to_owned(), shares.resumed.0),
            ("streams resumed undisturbed".to_owned(), shares.resumed.1),
            ("streams begun undisturbed".to_owned(), shares.begun.0),
        ]);
    }
    if run_data.world.weights_change {
        let orders = run_data.world.engines.iter().map(|engine| engine.process.orders().len());
        outcomes.insert("orders".to_owned(), orders.sum());
        outcomes
            .insert("runs from recovered boxes".to_owned(), run_data.recovered_box_runs().len());
    }
    outcomes
}

fn describe(step: &Step) -> String {
    format!("{} to {} ms: {:?}, pick {}", step.at_ms, step.until_ms, step.action, step.pick)
}

/// Copies the logs to a folder that outlives the run.
fn keep_logs(world: &World, seed: u64) -> Result<PathBuf> {
    let log_dir =
        std::env::temp_dir().join(format!("coursestile-soak-{}-{seed}", std::process::id()));
    std::fs::create_dir_all(&log_dir)?;
    for gateway_box in &world.boxes {
        if let Some(name) = gateway_box.process.log.file_name() {
            std::fs::copy(&gateway_box.process.log, log_dir.join(name))?;
        }
    }
    Ok(log_dir)
}
