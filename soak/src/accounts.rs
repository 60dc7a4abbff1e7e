//! Accounts, one of which is isolated and not isolated by turns, while boxes start, stand still and are cut
//! off. Their requests take seconds: streams that may be resumed and others, at upstreams that leave and crash,
//! some of them before they may end; bodies that arrive slowly, and late in the planned stop of a box.
//!
//! An upstream keeps what a request has read under the scope that comes with it. So each request shares what
//! all others under its scope have read before.

use std::collections::{BTreeMap, HashMap};
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex, MutexGuard};
use std::time::{Duration, Instant};

use coursestile_standins::site::client::request;
use coursestile_standins::site::engine::MODEL;
use coursestile_standins::site::event_stream::{EventStream, numbers};
use coursestile_standins::site::server::{EVENTS, Server};
use coursestile_standins::site::{Site, engine_entry, engine_services};
use fastrand::Rng;
use serde_json::{Value, json};
use tokio::io::AsyncWriteExt;
use tokio::net::TcpStream;
use tokio::task::JoinHandle;
use tokio::time::{sleep, sleep_until, timeout};

use crate::checks::RunData;
use crate::plan::{Action, Step, is_undisturbed};
use crate::world::World;

/// Service name of these upstreams, and the routes to it, by the route whose kind each has.
const SERVICE: &str = "guarded";
const ROUTES: [(usize, &str); 3] =
    [(0, "/safe/guarded/"), (2, "/stream/guarded/"), (3, "/resume/guarded/")];
const SAFE_PATH: &str = ROUTES[0].1;
/// Accounts with their keys; the first is isolated by turns.
const ACCOUNTS: [(&str, &str); 2] = [("petra", "key-1"), ("other", "key-2")];
/// Number of upstreams that run at a time, besides those that leave.
const UPSTREAMS: usize = 4;
/// Pause before each event of a stream, which thus takes longer than the rest of a stop.
const EVENT_PAUSE: Duration = Duration::from_millis(950);
/// Time that requests may take.
const REQUEST_TIMEOUT_MS: u64 = 12_000;
/// Clients for each box whose requests take long, and pause of one that sends short ones.
const STREAM_CLIENTS: usize = 2;
const SHORT_PAUSE: Duration = Duration::from_millis(40);
/// One body in this many arrives slowly, and the time until its last bytes.
const SLOW_ONE_IN: u32 = 3;
const SLOW_BODY_MS: std::ops::Range<u64> = 300..3500;
/// Last bytes of a body, which come later.
const LATE_BYTES: usize = 4;
/// Time between two replacements of an upstream.
const REPLACE_INTERVAL_MS: std::ops::Range<u64> = 500..2500;
/// One upstream in this many crashes without a word, and one of the others before it may end.
const CRASH_ONE_IN: u32 = 4;
const EARLY_CRASH_ONE_IN: u32 = 2;
/// Time for which an upstream serves after it has announced that it leaves, and the time until a crash before
/// that: mostly just before.
const LEAVE_TIME: Duration = Duration::from_secs(2);
const EARLY_CRASH_MS: std::ops::Range<u64> = 1500..1950;
/// Time of a stop at which the head of a late request is sent, and its last bytes. The box closes its port
/// after the former.
const LATE_HEAD_MS: u64 = 2250;
const LATE_BODY_MS: std::ops::Range<u64> = 3100..3400;
/// Time of a stop from which what cannot be served must not begin.
const LATE_FROM: Duration = Duration::from_secs(3);
/// Requests of clients that come late in a stop.
const LATE_CLIENTS: usize = 3;
/// Time in which a change of the configuration must be in force, with the way to an upstream.
const ISOLATION_BOUND: Duration = Duration::from_millis(2500);
/// Distinguishes the random numbers of this scenario's clients and upstreams from those of others.
const SEED_MASK: u64 = 0x62d7_1a0c;

/// An upstream and what its requests came with.
struct GuardedUpstream {
    server: Server,
    is_leaving: bool,
}

/// The upstreams of the service, including those that have ended, and when the account was isolated.
pub struct GuardedUpstreams {
    upstreams: Mutex<Vec<GuardedUpstream>>,
    /// When a configuration was stored, and whether it isolates the account.
    isolations: Mutex<Vec<(Instant, bool)>>,
}

/// A request for a stream.
pub struct StreamTry {
    id: String,
    box_number: usize,
    /// When its last byte was sent.
    sent_at: Instant,
    ended_at: Instant,
    status: u16,
    events: Vec<u32>,
    looks_complete: bool,
    /// When the box was told to stop that it was sent late to.
    stopped_at: Option<Instant>,
}

/// Whether a version of the configuration isolates the first account.
fn isolates(version: u64) -> bool {
    version.is_multiple_of(2)
}

/// Adds the service, the routes to it and the accounts to a configuration.
pub fn configure(document: &mut Value, version: u64) {
    let mut service = engine_services(None)[0].take();
    service["name"] = json!(SERVICE);
    let accounts = ACCOUNTS.iter().enumerate().map(|(number, (name, key))| {
        json!({ "name": name, "api_keys": [key], "priority": 1,
            "isolated": number == 0 && isolates(version) })
    });
    document["tenants"] = accounts.collect();
    let routes = ROUTES.map(|(kind, path)| {
        let mut route = document["routes"][kind].clone();
        route["name"] = json!(path);
        route["path_prefix"] = json!(path);
        route["service"] = json!(SERVICE);
        route["timeout_ms"] = json!(REQUEST_TIMEOUT_MS);
        route["slo_ms"] = json!(2000);
        route
    });
    for (list, items) in [("routes", routes.to_vec()), ("services", vec![service])] {
        if let Some(known) = document[list].as_array_mut() {
            known.extend(items);
        }
    }
}

impl GuardedUpstreams {
    /// Starts the upstreams and registers them.
    pub async fn start(site: &Site) -> Self {
        let guarded = Self { upstreams: Mutex::default(), isolations: Mutex::default() };
        for _ in 0..UPSTREAMS {
            guarded.start_upstream(site).await;
        }
        guarded
    }

    fn upstreams(&self) -> MutexGuard<'_, Vec<GuardedUpstream>> {
        self.upstreams.lock().expect("no task panics under the lock")
    }

    async fn start_upstream(&self, site: &Site) {
        let number = self.upstreams().len();
        let server = Server::start(&format!("{SERVICE}-{number}")).await;
        if number.is_multiple_of(2) {
            server.slow_streams(EVENT_PAUSE);
        } else {
            server.slow_close_delimited_streams(EVENT_PAUSE);
        }
        site.register(&server.id, &engine_entry(SERVICE, &server.address, MODEL, 1));
        self.upstreams().push(GuardedUpstream { server, is_leaving: false });
    }

    /// Has the upstream that has run longest leave, or crash; returns its number.
    fn end_oldest(&self, site: &Site, crashes: bool) -> Option<usize> {
        let mut upstreams = self.upstreams();
        let number = upstreams.iter().position(|upstream| !upstream.is_leaving)?;
        let GuardedUpstream { server, is_leaving } = &mut upstreams[number];
        *is_leaving = true;
        if crashes {
            server.crash();
        } else {
            let mut entry = engine_entry(SERVICE, &server.address, MODEL, 1);
            entry["state"] = json!("draining");
            site.register(&server.id, &entry);
        }
        Some(number)
    }

    fn is_busy(&self, number: usize) -> bool {
        self.upstreams()[number].server.running() > 0
    }

    fn crash(&self, number: usize) {
        self.upstreams()[number].server.crash();
    }

    /// Records that a configuration was stored.
    pub fn record_configured(&self, version: u64) {
        let mut isolations = self.isolations.lock().expect("no task panics under the lock");
        isolations.push((Instant::now(), isolates(version)));
    }

    /// Whether the account was isolated all the time between two times.
    fn is_isolated_throughout(&self, from: Instant, until: Instant) -> bool {
        let isolations = self.isolations.lock().expect("no task panics under the lock");
        let before = isolations.iter().rfind(|(stored_at, _)| *stored_at <= from);
        let since = isolations.iter().filter(|(at, _)| (from..=until).contains(at));
        before.is_some_and(|(_, isolates)| *isolates)
            && since.clone().all(|(_, isolates)| *isolates)
    }

    /// Each run with its request's id and scope, in order.
    fn runs(&self) -> Vec<(Instant, String, String)> {
        let mut runs = Vec::new();
        for upstream in self.upstreams().iter() {
            let scopes: HashMap<String, String> = upstream
                .server
                .received()
                .iter()
                .filter_map(|message| {
                    let id = message.header("x-request-id")?;
                    Some((id.to_owned(), message.header("cache-salt")?.to_owned()))
                })
                .collect();
            runs.extend(upstream.server.executed().into_iter().filter_map(|run| {
                let scope = scopes.get(&run.request_id)?.clone();
                Some((run.at, run.request_id, scope))
            }));
        }
        runs.sort_by_key(|(at, ..)| *at);
        runs
    }

    /// Whether the upstream of a request has crashed by a time.
    fn has_crashed_under(&self, id: &str, by: Instant) -> bool {
        let upstreams = self.upstreams();
        let mut of_request = upstreams.iter().filter(|upstream| upstream.server.has_received(id));
        of_request.any(|upstream| upstream.server.crashed_at().is_some_and(|at| at <= by))
    }
}

/// Starts the task that replaces upstreams, and the clients, which run until `stop` is set.
pub fn start_clients(
    world: &Arc<World>,
    tries: &Arc<Mutex<Vec<StreamTry>>>,
    stop: &Arc<AtomicBool>,
    (steps, started_at): (&[Step], Instant),
    seed: u64,
) -> Vec<JoinHandle<()>> {
    let client = |number: usize| {
        let rng = Rng::with_seed((seed ^ SEED_MASK).wrapping_mul(100_000) + number as u64);
        StreamClient { world: world.clone(), tries: tries.clone(), number, rng }
    };
    let mut tasks = vec![tokio::spawn(replace(world.clone(), stop.clone(), client(0).rng))];
    let boxes = world.boxes.len();
    for number in 1..=boxes * STREAM_CLIENTS {
        tasks.push(tokio::spawn(client(number).send_streams(stop.clone())));
    }
    for box_number in 0..boxes {
        tasks.push(tokio::spawn(send_short(world.clone(), stop.clone(), box_number)));
    }
    let box_stops = steps.iter().enumerate().filter(|(_, step)| step.action == Action::BoxStopped);
    for (position, step) in box_stops {
        let stopped_at = started_at + Duration::from_millis(step.at_ms);
        for late in 1..=LATE_CLIENTS {
            let late_client = client(1000 * (1 + position) + late);
            tasks.push(tokio::spawn(late_client.send_late(step.pick % boxes, stopped_at)));
        }
    }
    tasks
}

/// Replaces upstreams until `stop` is set.
async fn replace(world: Arc<World>, stop: Arc<AtomicBool>, mut rng: Rng) {
    let Some(guarded) = &world.guarded else { return };
    let mut endings = Vec::new();
    while !stop.load(Ordering::Relaxed) {
        sleep(Duration::from_millis(rng.u64(REPLACE_INTERVAL_MS))).await;
        let (crashes, crash_after_ms) = (rng.u32(..CRASH_ONE_IN) == 0, rng.u64(EARLY_CRASH_MS));
        let crashes_early = rng.u32(..EARLY_CRASH_ONE_IN) == 0;
        guarded.start_upstream(&world.site).await;
        if let Some(number) = guarded.end_oldest(&world.site, crashes) {
            let crash_after = crashes_early.then(|| Duration::from_millis(crash_after_ms));
            endings.push(tokio::spawn(end(world.clone(), number, crash_after)));
        }
    }
    for ending in endings {
        // A panic in it is an error of the soak test itself.
        ending.await.expect("an upstream that ends");
    }
}

/// Ends an upstream once it has served for as long as it must, and has answered; or has it crash before.
async fn end(world: Arc<World>, number: usize, crash_after: Option<Duration>) {
    let Some(guarded) = &world.guarded else { return };
    if let Some(crash_after) = crash_after {
        sleep(crash_after).await;
    } else {
        sleep(LEAVE_TIME).await;
        while guarded.is_busy(number) {
            sleep(SHORT_PAUSE).await;
        }
    }
    guarded.crash(number);
    sleep(LEAVE_TIME).await;
    world.site.deregister(&format!("{SERVICE}-{number}"));
}

/// Sends short requests of both accounts to one box until `stop` is set.
async fn send_short(world: Arc<World>, stop: Arc<AtomicBool>, box_number: usize) {
    for count in 0.. {
        if stop.load(Ordering::Relaxed) {
            return;
        }
        let (account, key) = ACCOUNTS[count % ACCOUNTS.len()];
        let bytes = prompt(SAFE_PATH, &format!("{account}-short-{box_number}-{count}"), key);
        let address = &world.boxes[box_number].process.clients;
        let exchange = async {
            if let Ok(stream) = EventStream::send(address, &bytes).await {
                stream.read_all().await;
            }
        };
        let _ = timeout(Duration::from_millis(REQUEST_TIMEOUT_MS), exchange).await;
        sleep(SHORT_PAUSE).await;
    }
}

/// A prompt with a body. Its parts are the same for all.
fn prompt(path: &str, id: &str, key: &str) -> Vec<u8> {
    let headers =
        format!("X-Model: {MODEL}\r\nX-Token-Count: 700,10\r\nX-Prefix-Hash: aa:100,bb:600\r\n");
    let text = String::from_utf8_lossy(&request("POST", path, id, &headers, "a prompt"))
        .replace("key-1", key)
        .replace("X-Deadline-Ms: 3000", &format!("X-Deadline-Ms: {REQUEST_TIMEOUT_MS}"));
    text.into_bytes()
}

/// A client that sends requests for streams.
struct StreamClient {
    world: Arc<World>,
    tries: Arc<Mutex<Vec<StreamTry>>>,
    number: usize,
    rng: Rng,
}

impl StreamClient {
    /// Sends requests to random boxes until `stop` is set.
    async fn send_streams(mut self, stop: Arc<AtomicBool>) {
        for count in 0.. {
            if stop.load(Ordering::Relaxed) {
                return;
            }
            let box_number = self.rng.usize(..self.world.boxes.len());
            let slow_ms = self.rng.u64(SLOW_BODY_MS);
            let is_slow = self.rng.u32(..SLOW_ONE_IN) == 0;
            let body_at = is_slow.then(|| Instant::now() + Duration::from_millis(slow_ms));
            self.send(box_number, count, body_at, None).await;
            sleep(SHORT_PAUSE).await;
        }
    }

    /// Sends a request whose body ends late in the stop of a box.
    async fn send_late(mut self, box_number: usize, stopped_at: Instant) {
        sleep_until((stopped_at + Duration::from_millis(LATE_HEAD_MS)).into()).await;
        let body_at = stopped_at + Duration::from_millis(self.rng.u64(LATE_BODY_MS));
        self.send(box_number, 0, Some(body_at), Some(stopped_at)).await;
    }

    async fn send(
        &mut self,
        box_number: usize,
        count: usize,
        body_at: Option<Instant>,
        stopped_at: Option<Instant>,
    ) {
        let (account, key) = ACCOUNTS[self.rng.usize(..ACCOUNTS.len())];
        let path = ROUTES[self.rng.usize(1..ROUTES.len())].1;
        let id = format!("{account}-stream-{}-{count}", self.number);
        let bytes = prompt(path, &id, key);
        let mut made = StreamTry {
            id,
            box_number,
            sent_at: Instant::now(),
            ended_at: Instant::now(),
            status: 0,
            events: Vec::new(),
            looks_complete: false,
            stopped_at,
        };
        let address = &self.world.boxes[box_number].process.clients;
        let reading = async {
            let (first, rest) = bytes.split_at(bytes.len() - LATE_BYTES);
            let mut connection = TcpStream::connect(address).await?;
            connection.write_all(first).await?;
            if let Some(body_at) = body_at {
                sleep_until(body_at.into()).await;
            }
            made.sent_at = Instant::now();
            let mut stream = EventStream::send_on(connection, rest).await?;
            loop {
                let read = stream.read_events(made.events.len() + 1).await;
                let has_ended = read.len() == made.events.len();
                made.events = numbers(&read);
                made.status = stream.status();
                made.looks_complete = stream.looks_complete();
                if has_ended || made.looks_complete {
                    return std::io::Result::Ok(());
                }
            }
        };
        // What has arrived until then counts.
        let _ = timeout(Duration::from_millis(REQUEST_TIMEOUT_MS), reading).await;
        made.ended_at = Instant::now();
        self.tries.lock().expect("no task panics under the lock").push(made);
    }
}

impl RunData<'_> {
    /// Requests that used what another account had read while one of both was isolated, streams that ended
    /// as complete too early, and requests that a stopping box passed on and cut.
    pub(crate) fn account_violations(&self, tries: &[StreamTry]) -> Vec<String> {
        let Some(guarded) = &self.world.guarded else { return Vec::new() };
        let mut violations = self.shared_while_isolated(guarded);
        for made in tries {
            let faults = [Self::ended_early(made), self.cut_late(guarded, made)];
            violations.extend(faults.into_iter().flatten().map(|fault| {
                let times = [made.sent_at, made.ended_at].map(|at| self.at_ms(at));
                format!(
                    "{} at box {}, {times:?} ms, status {}, events {:?}: {fault}",
                    made.id, made.box_number, made.status, made.events
                )
            }));
        }
        violations
    }

    fn shared_while_isolated(&self, guarded: &GuardedUpstreams) -> Vec<String> {
        let mut readers: HashMap<String, BTreeMap<&str, Instant>> = HashMap::new();
        let mut violations = Vec::new();
        for (at, id, scope) in guarded.runs() {
            let Some((account, _)) = ACCOUNTS.iter().find(|(name, _)| id.starts_with(name)) else {
                continue;
            };
            let of_scope = readers.entry(scope.clone()).or_default();
            of_scope.entry(account).or_insert(at);
            let is_isolated = at
                .checked_sub(ISOLATION_BOUND)
                .is_some_and(|from| guarded.is_isolated_throughout(from, at));
            if of_scope.len() > 1 && is_isolated && !self.is_stalled(at) {
                violations.push(format!(
                    "{id} ran at {} ms under the scope {scope} of both accounts",
                    self.at_ms(at)
                ));
            }
        }
        violations
    }

    /// Whether the soak's own tasks ran late around a time.
    fn is_stalled(&self, at: Instant) -> bool {
        let stalls = &self.observations.stalls;
        stalls.iter().any(|stall| {
            let slack = Duration::from_millis(500);
            stall.at + slack >= at && stall.at <= at + stall.late_by + slack
        })
    }

    fn ended_early(made: &StreamTry) -> Option<String> {
        let is_whole = made.events.iter().copied().eq(1..=EVENTS);
        let is_early = made.status == 200 && made.looks_complete && !is_whole;
        is_early.then(|| "ended as complete".to_owned())
    }

    /// A request that was sent so late that it must not begin unless it can be served.
    fn cut_late(&self, guarded: &GuardedUpstreams, made: &StreamTry) -> Option<String> {
        let is_late = made.stopped_at.is_some_and(|at| made.sent_at >= at + LATE_FROM);
        let (from_ms, to_ms) = (self.at_ms(made.sent_at), self.at_ms(made.ended_at));
        let has_run = guarded.runs().iter().any(|(_, id, _)| *id == made.id);
        let is_cut = is_late && has_run && !made.looks_complete;
        (is_cut
            && is_undisturbed(self.steps, from_ms, to_ms)
            && !guarded.has_crashed_under(&made.id, made.ended_at))
        .then(|| "passed on late in a stop, and cut".to_owned())
    }

    pub(crate) fn account_outcomes(&self, tries: &[StreamTry]) -> BTreeMap<String, usize> {
        let Some(guarded) = &self.world.guarded else { return BTreeMap::new() };
        let whole = tries.iter().filter(|made| made.events.len() == EVENTS as usize).count();
        let late = tries.iter().filter(|made| made.stopped_at.is_some());
        BTreeMap::from([
            ("accounts: runs".to_owned(), guarded.runs().len()),
            ("accounts: streams".to_owned(), tries.len()),
            ("accounts: whole streams".to_owned(), whole),
            ("accounts: late in a stop".to_owned(), late.clone().count()),
            ("accounts: refused late".to_owned(), late.filter(|made| made.status == 503).count()),
        ])
    }
}
