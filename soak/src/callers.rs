//! Clients that send requests through the boxes and record what they observe. A client reuses
//! its connection until that ends.

use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

use coursestile_standins::clock::now_ms;
use coursestile_standins::site::client::{Client, request};
use coursestile_standins::site::engine::MODEL;
use coursestile_standins::site::http::Message;
use coursestile_standins::site::server::WORK_HEADER;
use tokio::time::{sleep, timeout};

use crate::stalls::Stall;
use crate::world::{NewestConfiguration, RUN_PATH, World, version_path};

/// Delay before reconnecting after a failed connection attempt.
const CONNECT_RETRY_DELAY: Duration = Duration::from_millis(60);
/// Delay before reconnecting after an established connection was lost.
const RECONNECT_DELAY: Duration = Duration::from_millis(10);
/// Delay before each prompt of a client.
const PROMPT_INTERVAL: Duration = Duration::from_millis(30);
/// Interval between checks of the engines' weights.
const ENGINE_POLL_INTERVAL: Duration = Duration::from_millis(20);
/// Interval between checks for the newest configuration.
const CONFIGURATION_POLL_INTERVAL: Duration = Duration::from_millis(100);
/// Time limit of one check for the newest configuration.
const CONFIGURATION_POLL_TIMEOUT: Duration = Duration::from_millis(500);
/// Time limit for establishing a connection.
const CONNECT_TIMEOUT: Duration = Duration::from_secs(1);
/// Time after which a client gives up on a request, for which 3 s are allowed.
const CLIENT_TIMEOUT: Duration = Duration::from_secs(6);
/// Upper bound of the random delay between two requests of a client.
const MAX_REQUEST_DELAY_MS: u64 = 25;
/// One request in this many probes whether a configuration version is in force.
const PROBE_ONE_IN: u32 = 8;
/// One request in this many occupies its upstream for `SLOW_MS`.
const SLOW_ONE_IN: u32 = 12;
/// Work time of slow requests, long enough that a stopping box has to wait for them.
const SLOW_MS: std::ops::Range<u64> = 200..700;
/// Number of the newest configuration versions that probes choose from.
const PROBED_VERSIONS: u64 = 6;

/// Kind of request, by how it may be retried.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RequestKind {
    /// May be retried.
    Safe,
    /// Must run at most once.
    Once,
    /// Must run at most once; the response is a stream.
    Stream,
    /// The response is a stream that another upstream may resume.
    Resumable,
}

impl RequestKind {
    const ALL: [Self; 4] = [Self::Safe, Self::Once, Self::Stream, Self::Resumable];

    /// Whether the response is an event stream.
    #[must_use]
    pub fn is_stream(self) -> bool {
        matches!(self, Self::Stream | Self::Resumable)
    }

    /// Whether the request must run at most once.
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

/// A request and its outcome.
pub struct RequestRecord {
    /// Request id, which is also the request body.
    pub id: String,
    /// Kind of request.
    pub kind: RequestKind,
    /// Box that the request was sent to.
    pub box_number: usize,
    pub sent_at: Instant,
    /// When the client received the response or gave up.
    pub ended_at: Instant,
    /// The response; `None` if the connection ended or the request timed out.
    pub answer: Option<Message>,
}

/// A version of the weights that was observed on an engine.
pub struct WeightsObservation {
    /// Number of the engine.
    pub engine: usize,
    /// Version of the weights.
    pub version: u64,
    /// Time of the observation, in Unix milliseconds.
    pub at_ms: u64,
    /// Id of the request that started on the engine, or empty if the engine was polled.
    pub id: String,
}

/// A box that did not serve the newest configuration.
pub struct StaleConfiguration {
    pub box_number: usize,
    /// Configuration version that the box should have served.
    pub version: u64,
    /// When the metadata store had accepted the version.
    pub stored_at: Instant,
    /// When the box was queried.
    pub requested_at: Instant,
}

/// Observations of all clients.
#[derive(Default)]
pub struct Observations {
    /// Boxes that served an older configuration than the newest.
    pub stale_configurations: Vec<StaleConfiguration>,
    /// Engines with older weights than the newest.
    pub outdated_weights: Vec<WeightsObservation>,
    /// Number of checks that found the newest configuration in force.
    pub newest_in_force: usize,
    /// Requests that were sent, except for probes and prompts.
    pub requests: Vec<RequestRecord>,
    /// Cases where an older configuration came back into force on one connection, as text.
    pub reverted: Vec<String>,
    /// When the soak's own tasks ran late.
    pub stalls: Vec<Stall>,
}

/// Sends requests to one box until `stop` is set.
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
                // The proxy accepts connections even while the box is down.
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

/// Sends prompts for engines to one box until `stop` is set. Responses are ignored, because the
/// engines record the requests that they receive.
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

/// Polls until `stop` is set which engines have older weights than the newest.
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

/// Sends a request. Returns whether the connection can be reused.
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

/// Probes whether a version's route exists. A connection lasts no longer than one run of the
/// box's process, within which an older version must not come back into force.
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

/// Checks until `stop` is set whether one box serves the newest configuration. Connects to the
/// box directly rather than through its proxy.
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
        let (NewestConfiguration { version, stored_at }, requested_at) =
            (world.newest(), Instant::now());
        let bytes = request("GET", &version_path(version), "newest", "", "");
        let Ok(Some(answer)) = timeout(CONFIGURATION_POLL_TIMEOUT, connection.send(&bytes)).await
        else {
            continue;
        };
        let mut observations = observations.lock().expect("no task panics under the lock");
        match answer.status() {
            200 => observations.newest_in_force += 1,
            // The box has no route for this version, so it serves another one.
            404 if world.newest().version == version => {
                observations.stale_configurations.push(StaleConfiguration {
                    box_number,
                    version,
                    stored_at,
                    requested_at,
                });
            }
            _ => {}
        }
    }
}
