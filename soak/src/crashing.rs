//! Upstreams that crash on a certain request, and a client that keeps sending it, each time with
//! another request id and to a random box.

use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex, MutexGuard};
use std::time::{Duration, Instant};

use coursestile_standins::site::client::{Client, request};
use coursestile_standins::site::server::{ExecutedRequest, Server};
use coursestile_standins::site::{Site, service_entry};
use serde_json::{Value, json};
use tokio::task::JoinHandle;
use tokio::time::{sleep, timeout};

use crate::checks::{RECOVERY_MS, RunData};
use crate::world::World;

/// Service name of these upstreams, and path prefix of their route.
const SERVICE: &str = "frail";
const PATH: &str = "/frail/";
/// Number of upstreams that run at a time.
const UPSTREAMS: usize = 4;
/// Body of the request that crashes them.
const CRASHING_BODY: &str = "deadly";
/// After this many crashes the request must not be forwarded again, except for `MAX_LATE_RUNS`
/// more times.
const CRASH_LIMIT: usize = 3;
const MAX_LATE_RUNS: usize = 3;
/// Interval at which crashed upstreams are replaced by new ones with other ids and their entries
/// removed.
const REPLACE_INTERVAL: Duration = Duration::from_millis(600);
/// Delay between two requests of the client.
const SEND_INTERVAL: Duration = Duration::from_millis(120);
/// Time limit of a request.
const SEND_TIMEOUT: Duration = Duration::from_secs(1);

/// The upstreams, including those that have crashed.
pub struct CrashingUpstreams {
    servers: Mutex<Vec<Server>>,
}

/// Adds a service and a route for these upstreams to a configuration.
pub fn add_route(document: &mut Value) {
    let mut route = document["routes"][0].clone();
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

impl CrashingUpstreams {
    /// Starts the upstreams and registers them.
    pub async fn start(site: &Site) -> Self {
        let crashing = Self { servers: Mutex::default() };
        for _ in 0..UPSTREAMS {
            crashing.start_upstream(site).await;
        }
        crashing
    }

    fn servers(&self) -> MutexGuard<'_, Vec<Server>> {
        self.servers.lock().expect("no task panics under the lock")
    }

    async fn start_upstream(&self, site: &Site) {
        let number = self.servers().len();
        let server = Server::start(&format!("frail-{number}")).await;
        server.crash_on(CRASHING_BODY);
        site.register(&server.id, &service_entry(SERVICE, &server.address, "ready"));
        self.servers().push(server);
    }

    /// Ids of the upstreams that have crashed.
    fn crashed(&self) -> Vec<String> {
        let crashed = self.servers();
        crashed
            .iter()
            .filter(|server| server.has_crashed())
            .map(|server| server.id.clone())
            .collect()
    }

    /// Requests that each upstream received.
    fn runs(&self) -> Vec<Vec<ExecutedRequest>> {
        self.servers().iter().map(Server::executed).collect()
    }
}

/// Starts the tasks that replace crashed upstreams and send what crashes them, which run until `stop` is set.
pub fn start_clients(world: &Arc<World>, stop: &Arc<AtomicBool>, seed: u64) -> [JoinHandle<()>; 2] {
    [
        tokio::spawn(replace_crashed(world.clone(), stop.clone())),
        tokio::spawn(send_crashing_requests(world.clone(), stop.clone(), seed)),
    ]
}

/// Replaces crashed upstreams by new ones until `stop` is set.
async fn replace_crashed(world: Arc<World>, stop: Arc<AtomicBool>) {
    let Some(crashing) = &world.crashing else { return };
    let mut replaced = 0;
    while !stop.load(Ordering::Relaxed) {
        sleep(REPLACE_INTERVAL).await;
        for id in crashing.crashed().into_iter().skip(replaced) {
            replaced += 1;
            world.site.deregister(&id);
            crashing.start_upstream(&world.site).await;
        }
    }
}

/// Sends the crashing request to random boxes until `stop` is set.
async fn send_crashing_requests(world: Arc<World>, stop: Arc<AtomicBool>, seed: u64) {
    let mut rng = fastrand::Rng::with_seed(seed);
    let mut number = 0;
    while !stop.load(Ordering::Relaxed) {
        number += 1;
        let box_number = rng.usize(..world.boxes.len());
        let bytes = request("POST", PATH, &format!("{box_number}-d-{number}"), "", CRASHING_BODY);
        let sending = async {
            let mut client = Client::try_connect(&world.boxes[box_number].process.clients).await;
            if let Ok(client) = &mut client {
                client.send(&bytes).await;
            }
        };
        // The response does not matter, because the upstreams record the requests that they
        // receive.
        let _ = timeout(SEND_TIMEOUT, sending).await;
        sleep(SEND_INTERVAL).await;
    }
}

impl RunData<'_> {
    /// After three upstreams have crashed on a request, hardly any others may receive it.
    pub(crate) fn crash_request_resent(&self) -> Option<String> {
        let runs = self.world.crashing.as_ref()?.runs();
        let mut crashes: Vec<Instant> =
            runs.iter().filter_map(|runs| runs.first()).map(|first| first.at).collect();
        crashes.sort_unstable();
        let third_ms = self.at_ms(*crashes.get(CRASH_LIMIT - 1)?);
        let late =
            runs.iter().flatten().filter(|run| self.must_not_resend(run, third_ms + RECOVERY_MS));
        let late: Vec<String> =
            late.map(|run| format!("{} at {} ms", run.request_id, self.at_ms(run.at))).collect();
        (late.len() > MAX_LATE_RUNS).then(|| {
            format!(
                "the third upstream had crashed at {third_ms} ms; the request was sent again: {}",
                late.join(", ")
            )
        })
    }

    /// Whether a request arrived after `from_ms` from a box that had been informed of the
    /// crashes by then.
    fn must_not_resend(&self, run: &ExecutedRequest, from_ms: u64) -> bool {
        let at_ms = self.at_ms(run.at);
        let sender = run.request_id.split('-').next().and_then(|sender| sender.parse().ok());
        let had_outage_at =
            self.had_outage_at(sender, self.started_at_ms + at_ms, RECOVERY_MS, |_| true);
        let misses_updates = self.steps.iter().any(|step| {
            step.delays_updates() && step.at_ms <= at_ms && step.until_ms + RECOVERY_MS >= at_ms
        });
        at_ms > from_ms && !had_outage_at && !misses_updates
    }
}
