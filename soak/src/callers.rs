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

use crate::world::{NewestConfiguration, RUN_PATH, World, version_path};

/// Pause before another connection is tried.
const CONNECT_RETRY_DELAY: Duration = Duration::from_millis(60);
/// Pause before another connection is used after one that ended.
const RECONNECT_DELAY: Duration = Duration::from_millis(10);
/// Pause between two prompts of a client.
const PROMPT_INTERVAL: Duration = Duration::from_millis(30);
/// Pause between two looks at the engines.
const ENGINE_POLL_INTERVAL: Duration = Duration::from_millis(20);
/// Pause between two questions for the newest configuration.
const CONFIGURATION_POLL_INTERVAL: Duration = Duration::from_millis(100);
/// Time in which one must be answered.
const CONFIGURATION_POLL_TIMEOUT: Duration = Duration::from_millis(500);
/// Time in which a connection must come up.
const CONNECT_TIMEOUT: Duration = Duration::from_secs(1);
/// Time after which a client gives up; its requests say 3 s.
const CLIENT_TIMEOUT: Duration = Duration::from_secs(6);
/// Longest pause between two requests.
const MAX_REQUEST_DELAY_MS: u64 = 25;
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
pub enum RequestKind {
    /// It may be repeated.
    Safe,
    /// It may run once.
    Once,
    /// A stream that may run once.
    Stream,
    /// A stream that may be taken up by another upstream.
    Resumable,
}

impl RequestKind {
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
pub struct RequestRecord {
    /// Id, which is its body too.
    pub id: String,
    /// What it is.
    pub kind: RequestKind,
    /// Box that got it.
    pub box_number: usize,
    /// When it was sent.
    pub sent_at: Instant,
    /// When the client knew how it ended.
    pub ended_at: Instant,
    /// The answer; `None` when the connection ended or stayed silent.
    pub answer: Option<Message>,
}

/// What was seen of an engine's weights.
pub struct WeightsObservation {
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
pub struct StaleConfiguration {
    /// The box.
    pub box_number: usize,
    /// The version.
    pub version: u64,
    /// When the store had taken it.
    pub stored_at: Instant,
    /// When the box was asked.
    pub asked_at: Instant,
}

/// What all clients saw.
#[derive(Default)]
pub struct Observations {
    /// Boxes that went by an older configuration than the newest.
    pub stale_configurations: Vec<StaleConfiguration>,
    /// Engines with older weights than the newest.
    pub outdated_weights: Vec<WeightsObservation>,
    /// How often a box was found to go by the newest.
    pub newest_in_force: usize,
    /// Requests.
    pub requests: Vec<RequestRecord>,
    /// Configurations that went back on one connection.
    pub reverted: Vec<String>,
}

/// Calls one box until `stop`.
pub async fn send_requests(
    world: Arc<World>,
    observations: Arc<Mutex<Observations>>,
    stop: Arc<AtomicBool>,
    box_number: usize,
    client: usize,
    seed: u64,
) {
    let mut rng = fastrand::Rng::with_seed(seed);
    let mut count = 0;
    while !stop.load(Ordering::Relaxed) {
        let Some(mut connection) = connect(&world.boxes[box_number].client_proxy.address).await
        else {
            sleep(CONNECT_RETRY_DELAY).await;
            continue;
        };
        let mut in_force = 0;
        while !stop.load(Ordering::Relaxed) {
            count += 1;
            let id = format!("{box_number}-{client}-{count}");
            let is_reusable = if rng.u32(..PROBE_ONE_IN) == 0 {
                let newest = world.newest().version;
                let version = newest - rng.u64(0..newest.min(PROBED_VERSIONS));
                probe_version(&mut connection, &id, version, &mut in_force, &observations).await
            } else {
                let kind = RequestKind::ALL[rng.usize(..RequestKind::ALL.len())];
                let work_ms = if rng.u32(..SLOW_ONE_IN) == 0 { rng.u64(SLOW_MS) } else { 0 };
                send_request(&mut connection, id, kind, work_ms, box_number, &observations).await
            };
            if !is_reusable {
                // The proxy takes connections also while the box is down.
                sleep(RECONNECT_DELAY).await;
                break;
            }
            sleep(Duration::from_millis(rng.u64(..MAX_REQUEST_DELAY_MS))).await;
        }
    }
}

async fn connect(address: &str) -> Option<Client> {
    timeout(CONNECT_TIMEOUT, Client::try_connect(address)).await.ok()?.ok()
}

/// Sends prompts for engines to one box until `stop`; engines tell what became of them.
pub async fn send_prompts(world: Arc<World>, stop: Arc<AtomicBool>, box_number: usize) {
    let headers = format!("X-Model: {MODEL}\r\nX-Token-Count: 20,10\r\nX-Prefix-Hash: aa:20\r\n");
    for count in 0.. {
        if stop.load(Ordering::Relaxed) {
            return;
        }
        sleep(PROMPT_INTERVAL).await;
        let id = format!("{box_number}-prompt-{count}");
        let bytes = request("POST", RUN_PATH, &id, &headers, &id);
        if let Some(mut connection) = connect(&world.boxes[box_number].client_proxy.address).await {
            drop(timeout(CLIENT_TIMEOUT, connection.send(&bytes)).await);
        }
    }
}

/// Looks which engines have older weights than the newest until `stop`.
pub async fn watch_engine_weights(
    world: Arc<World>,
    observations: Arc<Mutex<Observations>>,
    stop: Arc<AtomicBool>,
) {
    while !stop.load(Ordering::Relaxed) {
        sleep(ENGINE_POLL_INTERVAL).await;
        let (engines, at_ms) = (world.outdated_engines(), now_ms());
        let observation =
            |(engine, version)| WeightsObservation { engine, version, at_ms, id: String::new() };
        let outdated = engines.into_iter().map(observation);
        observations
            .lock()
            .expect("no task panics under the lock")
            .outdated_weights
            .extend(outdated);
    }
}

/// Sends a request; false when the connection is of no more use.
async fn send_request(
    connection: &mut Client,
    id: String,
    kind: RequestKind,
    work_ms: u64,
    box_number: usize,
    observations: &Mutex<Observations>,
) -> bool {
    let work = format!("{WORK_HEADER}: {work_ms}\r\n");
    let bytes = request("POST", kind.path(), &id, &work, &id);
    let sent_at = Instant::now();
    let answer = timeout(CLIENT_TIMEOUT, connection.send(&bytes)).await.ok().flatten();
    let is_reusable = answer.as_ref().is_some_and(keeps_connection);
    let request = RequestRecord { id, kind, box_number, sent_at, ended_at: Instant::now(), answer };
    observations.lock().expect("no task panics under the lock").requests.push(request);
    is_reusable
}

fn keeps_connection(answer: &Message) -> bool {
    answer.complete && answer.header("connection") != Some("close")
}

/// Asks for the route of one version. A connection belongs to one life of a box,
/// in which an older version is never in force again.
async fn probe_version(
    connection: &mut Client,
    id: &str,
    version: u64,
    in_force: &mut u64,
    observations: &Mutex<Observations>,
) -> bool {
    let bytes = request("GET", &version_path(version), id, "", "");
    let Ok(Some(answer)) = timeout(CLIENT_TIMEOUT, connection.send(&bytes)).await else {
        return false;
    };
    if answer.status() == 200 {
        if version < *in_force {
            let text = format!("{id}: version {version} is in force after {in_force}");
            observations.lock().expect("no task panics under the lock").reverted.push(text);
        }
        *in_force = version.max(*in_force);
    }
    keeps_connection(&answer)
}

/// Asks one box for the newest configuration until `stop`, by no proxy.
pub async fn poll_configuration(
    world: Arc<World>,
    observations: Arc<Mutex<Observations>>,
    stop: Arc<AtomicBool>,
    box_number: usize,
) {
    while !stop.load(Ordering::Relaxed) {
        sleep(CONFIGURATION_POLL_INTERVAL).await;
        let address = &world.boxes[box_number].process.clients;
        let Some(mut connection) = connect(address).await else { continue };
        let (NewestConfiguration { version, stored_at }, asked_at) =
            (world.newest(), Instant::now());
        let bytes = request("GET", &version_path(version), "newest", "", "");
        let Ok(Some(answer)) = timeout(CONFIGURATION_POLL_TIMEOUT, connection.send(&bytes)).await
        else {
            continue;
        };
        let mut observations = observations.lock().expect("no task panics under the lock");
        match answer.status() {
            200 => observations.newest_in_force += 1,
            // It has no such route: it goes by another version.
            404 if world.newest().version == version => {
                observations.stale_configurations.push(StaleConfiguration {
                    box_number,
                    version,
                    stored_at,
                    asked_at,
                });
            }
            _ => {}
        }
    }
}
