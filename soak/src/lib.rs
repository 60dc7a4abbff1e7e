//! A randomized soak of the gateway: real processes on one machine, faults from
//! outside them, and the promises checked by what clients and upstreams saw.
//!
//! The store and the upstreams are stand-ins in this process, each behind a
//! loopback proxy. Everything that happens follows from a seed.

mod callers;
mod checks;
mod frail;
mod mesh;
mod notices;
mod plan;
mod proxy;
mod world;

use std::collections::BTreeMap;
use std::io::Result;
use std::path::PathBuf;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

use coursestile_standins::clock::now_ms;
use coursestile_standins::site::client::{Client, request};
use tokio::time::{sleep, sleep_until, timeout};

use crate::callers::Observations;
use crate::checks::RunData;
use crate::plan::Step;
use crate::world::{World, version_path};

/// Clients of each box.
const CLIENTS: usize = 3;
/// Time in which all boxes must be ready, or agree after the last fault.
const AGREE_TIMEOUT: Duration = Duration::from_secs(30);
/// Time for which late runs are waited for at the end.
const SETTLE: Duration = Duration::from_secs(2);
/// Time in which one question must be answered.
const ASK_TIMEOUT: Duration = Duration::from_secs(2);
/// Pause between two questions.
const ASK_PAUSE: Duration = Duration::from_millis(50);

/// A run.
#[derive(Clone, Copy, Debug)]
pub struct Options {
    /// Everything follows from it.
    pub seed: u64,
    /// Length.
    pub seconds: u64,
    /// Boxes.
    pub boxes: usize,
    /// Which streams of steps happen.
    pub streams: Streams,
}

/// Streams of steps. Each adds to those before, whose steps stay what they are.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Streams {
    /// Faults and planned work.
    First,
    /// Connections and datagrams between boxes go silent too, and a store after a change.
    Silences,
    /// Upstreams start again under their id too.
    Restarts,
    /// Weights are on the move too.
    Moves,
    /// Weights are on the move, and nothing else happens.
    MovesAlone,
    /// Upstreams crash under one request, and say in their answers that they leave or rest;
    /// beside that only boxes and the store go away.
    Words,
}

impl Streams {
    fn steps(self, seed: u64, length_ms: u64) -> Vec<Step> {
        let all = [plan::steps, plan::silences, plan::restarts, plan::moves];
        let played = match self {
            Self::Words => &[plan::words as fn(u64, u64) -> Vec<Step>][..],
            Self::MovesAlone => &all[3..],
            Self::First => &all[..1],
            Self::Silences => &all[..2],
            Self::Restarts => &all[..3],
            Self::Moves => &all[..],
        };
        played.iter().flat_map(|steps| steps(seed, length_ms)).collect()
    }
}

/// What came of a run.
pub struct Report {
    /// Broken promises, in words.
    pub violations: Vec<String>,
    /// Requests by how they ended, and how often the newest configuration was in force.
    pub ends: BTreeMap<String, usize>,
    /// What happened, a line each.
    pub steps: Vec<String>,
    /// Where the logs are kept, if a promise was broken.
    pub logs: Option<PathBuf>,
}

/// Makes one run.
///
/// # Errors
/// Fails when a process cannot be started or an address cannot be had.
///
/// # Panics
/// Panics when a part of the soak itself has failed.
pub async fn run(options: Options) -> Result<Report> {
    let moving = matches!(options.streams, Streams::Moves | Streams::MovesAlone);
    let with_frail = options.streams == Streams::Words;
    let world = Arc::new(World::start(options.boxes, moving, with_frail).await?);
    let mut violations = agree(&world).await;
    let (started_at, started_at_ms) = (Instant::now(), now_ms());
    let steps = options.streams.steps(options.seed, options.seconds * 1000);
    let observations = Arc::new(Mutex::new(Observations::default()));
    let stop = Arc::new(AtomicBool::new(false));
    let mut clients = Vec::new();
    for number in 0..options.boxes * CLIENTS {
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
        if moving {
            let prompting = callers::send_prompts(world.clone(), stop.clone(), box_number);
            clients.push(tokio::spawn(prompting));
        }
    }
    if with_frail {
        clients.push(tokio::spawn(frail::tend(world.clone(), stop.clone())));
        clients.push(tokio::spawn(frail::send(world.clone(), stop.clone(), options.seed)));
    }
    if moving {
        clients.push(tokio::spawn(callers::watch_engine_weights(
            world.clone(),
            observations.clone(),
            stop.clone(),
        )));
    }
    play(&world, &steps, started_at).await;
    world.heal();
    violations.extend(agree(&world).await);
    violations.extend(loaded(&world).await);
    stop.store(true, Ordering::Relaxed);
    for client in clients {
        client.await?;
    }
    sleep(SETTLE).await;
    let observations = observations.lock().expect("no task panics under the lock");
    let run_data = RunData {
        world: &world,
        observations: &observations,
        steps: &steps,
        started_at,
        started_at_ms,
    };
    violations.extend(run_data.violations());
    let logs = if violations.is_empty() { None } else { Some(keep_logs(&world, options.seed)?) };
    let steps = steps.iter().map(describe).collect();
    Ok(Report { violations, ends: ends(&run_data), steps, logs })
}

/// Has every step happen at its time.
async fn play(world: &Arc<World>, steps: &[Step], started_at: Instant) {
    let mut happening = Vec::new();
    for step in steps.iter().copied() {
        let world = world.clone();
        happening.push(tokio::spawn(async move {
            sleep_until((started_at + Duration::from_millis(step.at_ms)).into()).await;
            let time = Duration::from_millis(step.until_ms - step.at_ms);
            world.happen(step.event, step.pick, time).await;
        }));
    }
    for step in happening {
        // A step that panics ends the run: it is a fault of the soak itself.
        step.await.expect("a step");
    }
}

/// Waits until the newest configuration is in force in every box.
async fn agree(world: &World) -> Vec<String> {
    let until = Instant::now() + AGREE_TIMEOUT;
    let version = world.newest().version;
    let mut behind = Vec::new();
    for (number, one) in world.boxes.iter().enumerate() {
        while !serves_version(&one.process.clients, version).await {
            if Instant::now() > until {
                behind.push(format!("box {number} does not have version {version} in force"));
                break;
            }
            sleep(ASK_PAUSE).await;
        }
    }
    behind
}

/// Waits until every engine has the weights that were named last.
async fn loaded(world: &World) -> Vec<String> {
    let until = Instant::now() + AGREE_TIMEOUT;
    loop {
        let behind = world.outdated_engines();
        if behind.is_empty() || Instant::now() > until {
            let text = |(one, version)| format!("engine {one} has weights {version} in the end");
            return behind.into_iter().map(text).collect();
        }
        sleep(ASK_PAUSE).await;
    }
}

async fn serves_version(address: &str, version: u64) -> bool {
    let asking = async {
        let mut client = Client::try_connect(address).await.ok()?;
        client.send(&request("GET", &version_path(version), "agree", "", "")).await
    };
    let answer = timeout(ASK_TIMEOUT, asking).await.ok().flatten();
    answer.is_some_and(|answer| answer.status() == 200)
}

fn ends(run_data: &RunData<'_>) -> BTreeMap<String, usize> {
    let observations = run_data.observations;
    let mut ends = BTreeMap::new();
    for request in &observations.requests {
        let end = match &request.answer {
            Some(answer) if answer.complete => answer.status().to_string(),
            Some(answer) => format!("{} cut", answer.status()),
            None => "none".to_owned(),
        };
        *ends.entry(end).or_default() += 1;
    }
    ends.insert("newest in force".to_owned(), observations.newest_in_force);
    if run_data.world.moving {
        let orders = run_data.world.engines.iter().map(|engine| engine.process.orders().len());
        ends.insert("orders".to_owned(), orders.sum());
        ends.insert("runs of steady boxes".to_owned(), run_data.recovered_box_runs().len());
    }
    ends
}

fn describe(step: &Step) -> String {
    format!("{} to {} ms: {:?}, pick {}", step.at_ms, step.until_ms, step.event, step.pick)
}

/// Copies the logs to where they stay.
fn keep_logs(world: &World, seed: u64) -> Result<PathBuf> {
    let kept = std::env::temp_dir().join(format!("coursestile-soak-{}-{seed}", std::process::id()));
    std::fs::create_dir_all(&kept)?;
    for one in &world.boxes {
        if let Some(name) = one.process.log.file_name() {
            std::fs::copy(&one.process.log, kept.join(name))?;
        }
    }
    Ok(kept)
}
