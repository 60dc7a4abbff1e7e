//! Clients, which use each connection until it ends, and what they saw.

use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

use coursestile_standins::clock::now_ms;
use coursestile_standins::site::client::{Client, request};
use coursestile_standins::site::engine::MODEL;
use coursestile_standins::site::http::Message;
use coursestile_standins::site::server::WORK_HEADER;
use tokio::time::{sleep, timeout};

use crate::world::{Newest, RUN_PATH, World, version_path};

/// Pause before another connection is tried.
const CONNECT_PAUSE: Duration = Duration::from_millis(60);
/// Pause before another connection is used after one that ended.
const LOST_PAUSE: Duration = Duration::from_millis(10);
/// Pause between two prompts of a client.
const PROMPT_PAUSE: Duration = Duration::from_millis(30);
/// Pause between two looks at the engines.
const LOOK_PAUSE: Duration = Duration::from_millis(20);
/// Pause between two questions for the newest configuration.
const ASK_PAUSE: Duration = Duration::from_millis(100);
/// Time in which one must be answered.
const ASK_PATIENCE: Duration = Duration::from_millis(500);
/// Time in which a connection must come up.
const CONNECT_TIMEOUT: Duration = Duration::from_secs(1);
/// Time after which a client gives up; its requests say 3 s.
const PATIENCE: Duration = Duration::from_secs(6);
/// Longest pause between two requests.
const MOST_PAUSE_MS: u64 = 25;
/// One request in so many asks which configuration is in force.
const PROBE_ONE_IN: u32 = 8;
/// One request in so many keeps its upstream for longer.
const SLOW_ONE_IN: u32 = 12;
/// For how long: a stop must wait for them.
const SLOW_MS: std::ops::Range<u64> = 200..700;
/// Newest versions among which a client asks for one.
const PROBED_VERSIONS: u64 = 6;

/// What a request may be.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Kind {
    /// It may be repeated.
    Safe,
    /// It may run once.
    Once,
    /// A stream that may run once.
    Stream,
    /// A stream that may be taken up by another upstream.
    Resumable,
}

impl Kind {
    const ALL: [Self; 4] = [Self::Safe, Self::Once, Self::Stream, Self::Resumable];

    /// Whether its answer is a stream of events.
    #[must_use]
    pub fn is_stream(self) -> bool {
        matches!(self, Self::Stream | Self::Resumable)
    }

    /// Whether it may run once only.
    #[must_use]
    pub fn runs_once(self) -> bool {
        matches!(self, Self::Once | Self::Stream)
    }

    fn path(self) -> &'static str {
        match self {
            Self::Safe => "/safe/",
            Self::Once => "/once/",
            Self::Stream => "/stream/",
            Self::Resumable => "/resume/",
        }
    }
}

/// A request and what became of it.
pub struct Call {
    /// Id, which is its body too.
    pub id: String,
    /// What it is.
    pub kind: Kind,
    /// Box that got it.
    pub box_number: usize,
    /// When it was sent.
    pub sent: Instant,
    /// When the client knew how it ended.
    pub ended: Instant,
    /// The answer; `None` when the connection ended or stayed silent.
    pub answer: Option<Message>,
}

/// What was seen of an engine's weights.
pub struct OnWeights {
    /// The engine.
    pub engine: usize,
    /// Their version.
    pub version: u64,
    /// When, in Unix milliseconds.
    pub at_ms: u64,
    /// The request that began there, if it was seen by one.
    pub id: String,
}

/// A box that did not go by the newest configuration.
pub struct Behind {
    /// The box.
    pub box_number: usize,
    /// The version.
    pub version: u64,
    /// When the store had taken it.
    pub taken: Instant,
    /// When the box was asked.
    pub asked: Instant,
}

/// What all clients saw.
#[derive(Default)]
pub struct Seen {
    /// Boxes that went by an older configuration than the newest.
    pub behind: Vec<Behind>,
    /// Engines with older weights than the newest.
    pub outdated: Vec<OnWeights>,
    /// How often a box was found to go by the newest.
    pub in_force: usize,
    /// Requests.
    pub calls: Vec<Call>,
    /// Configurations that went back on one connection.
    pub reverted: Vec<String>,
}

/// Calls one box until `stop`.
pub async fn run(
    world: Arc<World>,
    record: Arc<Mutex<Seen>>,
    stop: Arc<AtomicBool>,
    box_number: usize,
    client: usize,
    seed: u64,
) {
    let mut rng = fastrand::Rng::with_seed(seed);
    let mut count = 0;
    while !stop.load(Ordering::Relaxed) {
        let Some(mut connection) = connect(&world.boxes[box_number].callers.address).await else {
            sleep(CONNECT_PAUSE).await;
            continue;
        };
        let mut in_force = 0;
        while !stop.load(Ordering::Relaxed) {
            count += 1;
            let id = format!("{box_number}-{client}-{count}");
            let goes_on = if rng.u32(..PROBE_ONE_IN) == 0 {
                let newest = world.newest().version;
                let version = newest - rng.u64(0..newest.min(PROBED_VERSIONS));
                probe(&mut connection, &id, version, &mut in_force, &record).await
            } else {
                let kind = Kind::ALL[rng.usize(..Kind::ALL.len())];
                let work_ms = if rng.u32(..SLOW_ONE_IN) == 0 { rng.u64(SLOW_MS) } else { 0 };
                call(&mut connection, id, kind, work_ms, box_number, &record).await
            };
            if !goes_on {
                // The proxy takes connections also while the box is down.
                sleep(LOST_PAUSE).await;
                break;
            }
            sleep(Duration::from_millis(rng.u64(..MOST_PAUSE_MS))).await;
        }
    }
}

async fn connect(address: &str) -> Option<Client> {
    timeout(CONNECT_TIMEOUT, Client::try_connect(address)).await.ok()?.ok()
}

/// Sends prompts for engines to one box until `stop`; engines tell what became of them.
pub async fn prompt(world: Arc<World>, stop: Arc<AtomicBool>, box_number: usize) {
    let headers = format!("X-Model: {MODEL}\r\nX-Token-Count: 20,10\r\nX-Prefix-Hash: aa:20\r\n");
    for count in 0.. {
        if stop.load(Ordering::Relaxed) {
            return;
        }
        sleep(PROMPT_PAUSE).await;
        let id = format!("{box_number}-prompt-{count}");
        let bytes = request("POST", RUN_PATH, &id, &headers, &id);
        if let Some(mut connection) = connect(&world.boxes[box_number].callers.address).await {
            drop(timeout(PATIENCE, connection.send(&bytes)).await);
        }
    }
}

/// Looks which engines have older weights than the newest until `stop`.
pub async fn look(world: Arc<World>, record: Arc<Mutex<Seen>>, stop: Arc<AtomicBool>) {
    while !stop.load(Ordering::Relaxed) {
        sleep(LOOK_PAUSE).await;
        let (behind, at_ms) = (world.engines_behind(), now_ms());
        let at = |(engine, version)| OnWeights { engine, version, at_ms, id: String::new() };
        let outdated = behind.into_iter().map(at);
        record.lock().expect("no task panics under the lock").outdated.extend(outdated);
    }
}

/// Sends a request; false when the connection is of no more use.
async fn call(
    connection: &mut Client,
    id: String,
    kind: Kind,
    work_ms: u64,
    box_number: usize,
    record: &Mutex<Seen>,
) -> bool {
    let work = format!("{WORK_HEADER}: {work_ms}\r\n");
    let bytes = request("POST", kind.path(), &id, &work, &id);
    let sent = Instant::now();
    let answer = timeout(PATIENCE, connection.send(&bytes)).await.ok().flatten();
    let goes_on = answer.as_ref().is_some_and(is_kept);
    let call = Call { id, kind, box_number, sent, ended: Instant::now(), answer };
    record.lock().expect("no task panics under the lock").calls.push(call);
    goes_on
}

fn is_kept(answer: &Message) -> bool {
    answer.complete && answer.header("connection") != Some("close")
}

/// Asks for the route of one version. A connection belongs to one life of a box,
/// in which an older version is never in force again.
async fn probe(
    connection: &mut Client,
    id: &str,
    version: u64,
    in_force: &mut u64,
    record: &Mutex<Seen>,
) -> bool {
    let bytes = request("GET", &version_path(version), id, "", "");
    let Ok(Some(answer)) = timeout(PATIENCE, connection.send(&bytes)).await else {
        return false;
    };
    if answer.status() == 200 {
        if version < *in_force {
            let text = format!("{id}: version {version} is in force after {in_force}");
            record.lock().expect("no task panics under the lock").reverted.push(text);
        }
        *in_force = version.max(*in_force);
    }
    is_kept(&answer)
}

/// Asks one box for the newest configuration until `stop`, by no proxy.
pub async fn ask(
    world: Arc<World>,
    record: Arc<Mutex<Seen>>,
    stop: Arc<AtomicBool>,
    box_number: usize,
) {
    while !stop.load(Ordering::Relaxed) {
        sleep(ASK_PAUSE).await;
        let address = &world.boxes[box_number].process.clients;
        let Some(mut connection) = connect(address).await else { continue };
        let (Newest { version, taken }, asked) = (world.newest(), Instant::now());
        let bytes = request("GET", &version_path(version), "newest", "", "");
        let Ok(Some(answer)) = timeout(ASK_PATIENCE, connection.send(&bytes)).await else {
            continue;
        };
        let mut record = record.lock().expect("no task panics under the lock");
        match answer.status() {
            200 => record.in_force += 1,
            // It has no such route: it goes by another version.
            404 if world.newest().version == version => {
                record.behind.push(Behind { box_number, version, taken, asked });
            }
            _ => {}
        }
    }
}
