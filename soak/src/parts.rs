//! Upstreams that crash under parts of prompts, and now and then by themselves; clients that send
//! prompts with such parts to random boxes, no two alike, and others that send sound ones. At times the
//! latter all turn to one box, and send more.

use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

use coursestile_standins::site::Site;
use coursestile_standins::site::client::{Client, request};
use coursestile_standins::site::crashing_pool::{
    CrashingPool, PartCrash, PartialFraming, prompt_headers,
};
use coursestile_standins::site::engine::MODEL;
use coursestile_standins::site::http::Message;
use fastrand::Rng;
use serde_json::{Value, json};
use tokio::task::JoinHandle;
use tokio::time::{sleep, timeout};

use crate::CLIENTS;
use crate::checks::{RECOVERY_MS, RunData};
use crate::plan::is_undisturbed;
use crate::world::World;

/// Service name of these upstreams, and path prefix of their route.
const SERVICE: &str = "prompted";
const PATH: &str = "/stream/prompted/";
/// Number of upstreams that run at a time.
const UPSTREAMS: usize = 8;
/// The parts that crash them.
const DEADLY_PARTS: [&str; 2] = ["dead", "dea2"];
/// Time from the begin of an answer to the crash.
const CRASH_AFTER_MS: std::ops::Range<u64> = 50..800;
/// Time after which a crashed upstream is replaced.
const REPLACE_TIME: Duration = Duration::from_millis(900);
/// Pause before each event of a stream.
const EVENT_PAUSE: Duration = Duration::from_millis(25);
/// Interval between two prompts with a part that crashes upstreams.
const DEADLY_INTERVAL_MS: std::ops::Range<u64> = 80..700;
/// Interval between two crashes that no prompt causes.
const CRASH_INTERVAL_MS: std::ops::Range<u64> = 700..5000;
/// One such crash in this many is of all upstreams at once.
const ALL_CRASH_ONE_IN: u32 = 6;
/// Pause of a client between two sound prompts, and while most clients turn to one box.
const SOUND_PAUSE: Duration = Duration::from_millis(60);
const CROWD_PAUSE: Duration = Duration::from_millis(20);
/// Length of the time in which they do so, and of the one from its begin to the next.
const CROWD_MS: u64 = 2500;
const CROWD_CYCLE_MS: u64 = 7000;
/// What a refusal says that a part is the reason for.
const WITHHELD: &str = "part of its prompt";
/// What it says if upstreams have no room.
const FULL: &str = "upstreams full";
const SEND_TIMEOUT: Duration = Duration::from_millis(2500);
/// Parts that prompts have in common.
const COMMON_PARTS: usize = 3;
/// After this many crashes under a part, requests with it may reach upstreams only `MAX_LATE_RUNS`
/// more times.
const CRASH_LIMIT: usize = 5;
const MAX_LATE_RUNS: usize = 3;
/// Time after the last of these crashes from which hardly any sound request must be withheld. Others
/// find no upstream, since all may crash while the metadata store does not tell of new ones.
const SOUND_MS: u64 = 2 * RECOVERY_MS;
/// Fewest sound requests that are judged.
const MIN_SOUND: usize = 20;
/// At most one in this many prompts that the box with most clients reads may find all upstreams full.
const MAX_FULL_ONE_IN: usize = 4;
/// At most one of this many may be withheld.
const MAX_WITHHELD_ONE_IN: usize = 10;

/// How a sound prompt ended at its first attempt.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum End {
    Served,
    /// Refused because of a part.
    Withheld,
    /// Refused for want of room at the upstreams.
    Full,
    Other,
}

/// A sound prompt.
pub struct SoundPrompt {
    box_number: usize,
    sent_at: Instant,
    ended_at: Instant,
    /// Whether most clients turned to its box.
    is_crowded: bool,
    end: End,
}

/// Adds a service and a route for these upstreams to a configuration.
pub fn add_route(document: &mut Value) {
    let mut route = document["routes"][2].clone();
    route["name"] = json!(SERVICE);
    route["path_prefix"] = json!(PATH);
    route["service"] = json!(SERVICE);
    let service = json!({ "name": SERVICE, "health_path": "/health", "max_conns": 100,
        "protocol": "h1", "tls": false });
    for (list, item) in [("routes", route), ("services", service)] {
        if let Some(items) = document[list].as_array_mut() {
            items.push(item);
        }
    }
}

/// Starts the upstreams and registers them.
pub async fn start(site: &Site, seed: u64) -> CrashingPool {
    let mut rng = Rng::with_seed(seed);
    let framings = [PartialFraming::Chunks, PartialFraming::Length, PartialFraming::CloseDelimited];
    let crashes = DEADLY_PARTS.map(|part| PartCrash {
        events: rng.u32(..3),
        framing: framings[rng.usize(..framings.len())],
        ..PartCrash::new(part, Duration::from_millis(rng.u64(CRASH_AFTER_MS)))
    });
    CrashingPool::start(site, SERVICE, UPSTREAMS, &crashes, EVENT_PAUSE).await
}

/// Starts the tasks that crash upstreams, and the clients, which run until `stop` is set.
pub fn start_clients(
    world: &Arc<World>,
    sent: &Arc<Mutex<Vec<SoundPrompt>>>,
    stop: &Arc<AtomicBool>,
    seed: u64,
) -> Vec<JoinHandle<()>> {
    let seed = seed.wrapping_mul(1000) + 700;
    let mut tasks = vec![
        tokio::spawn(crash_upstreams(world.clone(), stop.clone(), seed)),
        tokio::spawn(send_deadly(world.clone(), stop.clone(), seed)),
    ];
    for number in 0..world.boxes.len() * CLIENTS {
        let (world, sent, stop) = (world.clone(), sent.clone(), stop.clone());
        let box_number = number % world.boxes.len();
        let seed = seed + 1 + number as u64;
        tasks.push(tokio::spawn(send_sound(world, sent, stop, box_number, seed)));
    }
    tasks
}

/// Replaces crashed upstreams, and crashes others, until `stop` is set.
async fn crash_upstreams(world: Arc<World>, stop: Arc<AtomicBool>, seed: u64) {
    let Some(pool) = &world.prompted else { return };
    let crashing = async {
        let mut rng = Rng::with_seed(seed);
        while !stop.load(Ordering::Relaxed) {
            sleep(Duration::from_millis(rng.u64(CRASH_INTERVAL_MS))).await;
            let crashes_all = rng.u32(..ALL_CRASH_ONE_IN) == 0;
            pool.crash(if crashes_all { UPSTREAMS } else { rng.usize(1..3) });
        }
    };
    tokio::select! {
        () = crashing => {}
        () = pool.replace_crashed(&world.site, REPLACE_TIME) => {}
    }
}

/// Sends prompts with parts that crash upstreams to random boxes until `stop` is set. Other parts of
/// theirs are common, or used once.
async fn send_deadly(world: Arc<World>, stop: Arc<AtomicBool>, seed: u64) {
    let mut rng = Rng::with_seed(seed);
    let mut number = 0;
    while !stop.load(Ordering::Relaxed) {
        number += 1;
        let mut parts = common_parts(&mut rng);
        for _ in 0..rng.usize(..3) {
            parts.push(format!("{:x}", rng.u32(..)));
        }
        let deadly = DEADLY_PARTS[rng.usize(..DEADLY_PARTS.len())];
        parts.insert(rng.usize(..=parts.len()), deadly.to_owned());
        let box_number = rng.usize(..world.boxes.len());
        let (world, pause_ms) = (world.clone(), rng.u64(DEADLY_INTERVAL_MS));
        tokio::spawn(async move {
            send(&world, box_number, &format!("{box_number}-p-{number}"), parts).await;
        });
        sleep(Duration::from_millis(pause_ms)).await;
    }
}

/// Sends sound prompts to a box until `stop` is set.
async fn send_sound(
    world: Arc<World>,
    sent: Arc<Mutex<Vec<SoundPrompt>>>,
    stop: Arc<AtomicBool>,
    box_number: usize,
    seed: u64,
) {
    let mut rng = Rng::with_seed(seed);
    let mut number = 0;
    let started_at = Instant::now();
    let own_box = box_number;
    while !stop.load(Ordering::Relaxed) {
        number += 1;
        let (parts, sent_at) = (common_parts(&mut rng), Instant::now());
        let crowded_box = crowded_box(started_at.elapsed(), world.boxes.len());
        let box_number = crowded_box.unwrap_or(own_box);
        let id = format!("{box_number}-s{seed}-{number}");
        let end = match send(&world, box_number, &id, parts).await {
            Some(answer) if answer.status() == 200 && answer.complete => End::Served,
            Some(answer) if answer.text().contains(WITHHELD) => End::Withheld,
            Some(answer) if answer.text().contains(FULL) => End::Full,
            Some(_) | None => End::Other,
        };
        sent.lock().expect("no task panics under the lock").push(SoundPrompt {
            box_number,
            sent_at,
            ended_at: Instant::now(),
            is_crowded: crowded_box.is_some(),
            end,
        });
        sleep(if crowded_box.is_some() { CROWD_PAUSE } else { SOUND_PAUSE }).await;
    }
}

/// The box that most clients turn to at a time, if there is one then.
pub fn crowded_box(elapsed: Duration, boxes: usize) -> Option<usize> {
    let elapsed_ms = u64::try_from(elapsed.as_millis()).unwrap_or(u64::MAX);
    let is_crowded = elapsed_ms % CROWD_CYCLE_MS >= CROWD_CYCLE_MS - CROWD_MS;
    let cycle = usize::try_from(elapsed_ms / CROWD_CYCLE_MS).unwrap_or_default();
    is_crowded.then_some(cycle % boxes)
}

/// The parts that prompts share: the first, and further ones of those that follow it.
fn common_parts(rng: &mut Rng) -> Vec<String> {
    (0..=rng.usize(..COMMON_PARTS)).map(|number| format!("c{number}")).collect()
}

/// Sends a prompt with these parts and one of its own.
async fn send(
    world: &World,
    box_number: usize,
    id: &str,
    mut parts: Vec<String>,
) -> Option<Message> {
    parts.push(format!("{:x}", fastrand::u64(..)));
    let parts: Vec<&str> = parts.iter().map(String::as_str).collect();
    let bytes = request("POST", PATH, id, &prompt_headers(MODEL, &parts), id);
    let sending = async {
        let client = Client::try_connect(&world.boxes[box_number].process.clients).await;
        client.ok()?.send(&bytes).await
    };
    timeout(SEND_TIMEOUT, sending).await.ok().flatten()
}

impl RunData<'_> {
    /// Requests that reached upstreams although five had crashed under a part of their prompts, and
    /// sound ones that were withheld beside them.
    pub(crate) fn part_violations(&self, sound: &[SoundPrompt]) -> Vec<String> {
        let Some(pool) = &self.world.prompted else { return Vec::new() };
        let mut violations = Vec::new();
        for part in DEADLY_PARTS {
            let Some(fifth) = pool.crashed_under(part).get(CRASH_LIMIT - 1).copied() else {
                continue;
            };
            let from_ms = self.at_ms(fifth) + RECOVERY_MS;
            let late = pool
                .arrivals(part)
                .into_iter()
                .filter(|(at, id)| self.must_be_withheld(*at, id, from_ms));
            let late: Vec<String> =
                late.map(|(at, id)| format!("{id} at {} ms", self.at_ms(at))).collect();
            if late.len() > MAX_LATE_RUNS {
                violations.push(format!(
                    "the fifth upstream had crashed under {part} at {} ms; sent again: {}",
                    self.at_ms(fifth),
                    late.join(", ")
                ));
            }
        }
        violations.extend(self.withheld_beside(sound));
        violations.extend(self.full_for_crowd(sound));
        violations
    }

    /// Whether a request that arrived after `from_ms` came from a box that had been informed by then.
    fn must_be_withheld(&self, at: Instant, id: &str, from_ms: u64) -> bool {
        let at_ms = self.at_ms(at);
        let sender = id.split('-').next().and_then(|sender| sender.parse().ok());
        let had_outage =
            self.had_outage_at(sender, self.started_at_ms + at_ms, RECOVERY_MS, |_| true);
        let misses_updates = self.steps.iter().any(|step| {
            step.delays_updates() && step.at_ms <= at_ms && step.until_ms + RECOVERY_MS >= at_ms
        });
        at_ms > from_ms && !had_outage && !misses_updates
    }

    fn withheld_beside(&self, sound: &[SoundPrompt]) -> Option<String> {
        let pool = self.world.prompted.as_ref()?;
        let mut counted: Vec<Instant> = DEADLY_PARTS
            .iter()
            .flat_map(|part| pool.crashed_under(part).into_iter().take(CRASH_LIMIT))
            .collect();
        counted.sort_unstable();
        let from_ms = self.at_ms(*counted.last()?) + SOUND_MS;
        let judged = sound.iter().filter(|prompt| {
            self.at_ms(prompt.sent_at) > from_ms && self.is_undisturbed_prompt(prompt)
        });
        let judged: Vec<&SoundPrompt> = judged.collect();
        let withheld = judged.iter().filter(|prompt| prompt.end == End::Withheld).count();
        (judged.len() >= MIN_SOUND && withheld * MAX_WITHHELD_ONE_IN > judged.len())
            .then(|| format!("{withheld} of {} sound prompts were withheld", judged.len()))
    }

    /// A box that most clients turn to has room at the upstreams, which others do not use.
    fn full_for_crowd(&self, sound: &[SoundPrompt]) -> Option<String> {
        let crowded =
            sound.iter().filter(|prompt| prompt.is_crowded && self.is_undisturbed_prompt(prompt));
        let crowded: Vec<&SoundPrompt> = crowded.collect();
        let full = crowded.iter().filter(|prompt| prompt.end == End::Full).count();
        (crowded.len() >= MIN_SOUND && full * MAX_FULL_ONE_IN > crowded.len())
            .then(|| format!("{full} of {} prompts at one box found upstreams full", crowded.len()))
    }

    fn is_undisturbed_prompt(&self, prompt: &SoundPrompt) -> bool {
        let (from_ms, to_ms) = (self.at_ms(prompt.sent_at), self.at_ms(prompt.ended_at));
        is_undisturbed(self.steps, from_ms, to_ms)
            && !self.had_outage_at(
                Some(prompt.box_number),
                self.started_at_ms + from_ms,
                RECOVERY_MS,
                |_| true,
            )
    }

    /// Upstreams that crashed under parts, late runs with them, and sound prompts, for the report.
    pub(crate) fn part_outcomes(&self, sound: &[SoundPrompt]) -> Vec<(String, usize)> {
        let Some(pool) = &self.world.prompted else { return Vec::new() };
        let count = |part: &str| pool.crashed_under(part).len();
        let undisturbed = sound.iter().filter(|prompt| self.is_undisturbed_prompt(prompt));
        let undisturbed: Vec<_> = undisturbed.collect();
        let served = undisturbed.iter().filter(|prompt| prompt.end == End::Served).count();
        let mut outcomes: Vec<(String, usize)> = DEADLY_PARTS
            .iter()
            .map(|part| (format!("upstreams ended under {part}"), count(part)))
            .collect();
        let withheld = sound.iter().filter(|prompt| prompt.end == End::Withheld).count();
        outcomes.push(("sound prompts withheld".to_owned(), withheld));
        outcomes.push(("upstreams ended".to_owned(), pool.crashed_at().len()));
        outcomes.push(("sound prompts undisturbed".to_owned(), undisturbed.len()));
        outcomes.push(("sound prompts undisturbed that were served".to_owned(), served));
        outcomes
    }
}
