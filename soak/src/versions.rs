//! Upstreams of several software versions, replaced one by one, and clients that resume their streams at
//! other boxes. Half of the upstreams write answers that end with their connections, and some of these keep
//! their port open for longer. Some crash after they have announced that they leave, all of them together
//! at times, and the metadata store answers stale reads with old states.

use std::collections::BTreeSet;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex, MutexGuard};
use std::time::{Duration, Instant};

use coursestile_standins::site::event_stream::{
    EventStream, Events, numbers, resume_headers, versions,
};
use coursestile_standins::site::server::{EVENTS, Server};
use coursestile_standins::site::{Site, service_entry};
use serde_json::{Value, json};
use tokio::task::JoinHandle;
use tokio::time::{sleep, sleep_until, timeout};

use crate::CLIENTS;
use crate::checks::{RECOVERY_MS, RunData};
use crate::plan::is_undisturbed;
use crate::world::World;

/// Service name of these upstreams.
pub const SERVICE: &str = "rolling";
/// Number of upstreams that run at a time, besides those that leave.
pub const UPSTREAMS: usize = 5;
/// Versions in the order of their roll-outs, which goes back to an earlier one.
const VERSIONS: [&str; 4] = ["v1", "v1.1", "v1.2", "v1.1"];
/// Time between two replacements. Roll-outs overlap: the next one begins before all upstreams that it
/// replaces have left.
const REPLACE_INTERVAL_MS: std::ops::Range<u64> = 50..900;
/// One upstream in this many crashes instead of leaving.
const CRASH_ONE_IN: u32 = 4;
/// Before one replacement in this many, all upstreams crash together.
const ALL_CRASH_ONE_IN: u32 = 12;
/// Before one replacement in this many, stale reads of the metadata store get its state of then, also later.
const STALE_ONE_IN: u32 = 4;
/// One upstream in this many that leaves crashes before its time, and one in as many closes its port later
/// than its connections.
const EARLY_CRASH_ONE_IN: u32 = 3;
const LATE_PORT_ONE_IN: u32 = 2;
/// Time from the announcement of an upstream that it leaves to such a crash.
const EARLY_CRASH_MS: std::ops::Range<u64> = 0..1500;
/// Longest time for which its port outlasts the connections of an upstream.
const MAX_PORT_DELAY_MS: u64 = 3000;
/// Distinguishes the random numbers of these ends from those of the replacements.
const END_SEED_MASK: u64 = 0x71e5_0b26;
/// Distinguishes the random numbers of these faults from those of the replacements.
const SHARED_FAULT_SEED_MASK: u64 = 0x3c1d_77a9;
/// Time from the announcement of an upstream that it leaves to its end.
const LEAVE_TIME: Duration = Duration::from_secs(2);
/// Pause before each event of a stream.
const EVENT_PAUSE: Duration = Duration::from_millis(60);
/// Time limit of one try.
const TRY_TIMEOUT: Duration = Duration::from_millis(2500);
/// Pause before a client resumes its stream.
const RESUME_PAUSE: Duration = Duration::from_millis(40);
/// Tries of a client, the first included.
const MAX_TRIES: usize = 4;
/// One try in this many is ended by its client.
const LEAVE_ONE_IN: u32 = 3;
/// Time for which two upstreams must have served a version, before and after a try begins, that it
/// counts.
const SERVING_TIME: Duration = Duration::from_millis(600);
/// Fewest resumed streams of which a share must go on.
const MIN_RESUMED: usize = 12;

/// An upstream and the time in which it takes new requests.
struct RollingUpstream {
    server: Server,
    version: &'static str,
    from: Instant,
    until: Option<Instant>,
}

/// The upstreams of a service, including those that have ended.
pub struct RollingUpstreams {
    /// Name of the service.
    pub(crate) service: String,
    upstreams: Mutex<Vec<RollingUpstream>>,
}

/// One request of a client for its stream.
pub(crate) struct Try {
    pub(crate) id: String,
    pub(crate) box_number: usize,
    pub(crate) sent_at: Instant,
    pub(crate) ended_at: Instant,
    pub(crate) events: Events,
    /// Whether it succeeded and looks complete to the client.
    pub(crate) looks_complete: bool,
}

/// A stream over all tries of its client.
#[derive(Default)]
pub struct StreamRecord {
    pub(crate) tries: Vec<Try>,
}

/// Path prefix of the route to a service.
pub fn path(service: &str) -> String {
    format!("/resume/{service}/")
}

/// Adds a service of such upstreams and a route to it to a configuration.
pub fn add_route(document: &mut Value, service: &str) {
    let mut route = document["routes"][3].clone();
    route["name"] = json!(service);
    route["path_prefix"] = json!(path(service));
    route["service"] = json!(service);
    let service = json!({ "name": service, "health_path": "/health", "max_conns": 100,
        "protocol": "h1", "tls": false });
    for (list, item) in [("routes", route), ("services", service)] {
        if let Some(items) = document[list].as_array_mut() {
            items.push(item);
        }
    }
}

impl RollingUpstreams {
    /// Starts `count` upstreams of the first version.
    pub async fn start(site: &Site, service: String, count: usize) -> Self {
        let rolling = Self { service, upstreams: Mutex::default() };
        for _ in 0..count {
            rolling.start_upstream(site, VERSIONS[0], Duration::ZERO).await;
        }
        rolling
    }

    fn upstreams(&self) -> MutexGuard<'_, Vec<RollingUpstream>> {
        self.upstreams.lock().expect("no task panics under the lock")
    }

    pub(crate) async fn start_upstream(
        &self,
        site: &Site,
        version: &'static str,
        port_delay: Duration,
    ) {
        let number = self.upstreams().len();
        let server = Server::start(&format!("{}-{number}", self.service)).await;
        server.set_software(version);
        server.close_port_after(port_delay);
        if number.is_multiple_of(2) {
            server.slow_streams(EVENT_PAUSE);
        } else {
            server.slow_close_delimited_streams(EVENT_PAUSE);
        }
        let from = Instant::now();
        site.register(&server.id, &self.entry(&server, version, "ready"));
        self.upstreams().push(RollingUpstream { server, version, from, until: None });
    }

    /// Has the upstream that has run longest leave or crash; returns its number.
    pub(crate) fn end_oldest(&self, site: &Site, crashes: bool) -> Option<usize> {
        let mut upstreams = self.upstreams();
        let number = upstreams.iter().position(|upstream| upstream.until.is_none())?;
        let upstream = &mut upstreams[number];
        upstream.until = Some(Instant::now());
        if crashes {
            upstream.server.crash();
        } else {
            let entry = self.entry(&upstream.server, upstream.version, "draining");
            site.register(&upstream.server.id, &entry);
        }
        Some(number)
    }

    /// Has all upstreams crash that take requests; returns their numbers.
    fn crash_all(&self) -> Vec<usize> {
        let mut crashed = Vec::new();
        for (number, upstream) in self.upstreams().iter_mut().enumerate() {
            if upstream.until.is_none() {
                upstream.until = Some(Instant::now());
                upstream.server.crash();
                crashed.push(number);
            }
        }
        crashed
    }

    pub(crate) fn remove(&self, site: &Site, number: usize) {
        let upstreams = self.upstreams();
        upstreams[number].server.crash();
        site.deregister(&upstreams[number].server.id);
    }

    /// Number of upstreams with a version that take requests around a time.
    pub(crate) fn serving(&self, version: &str, at: Instant) -> usize {
        let upstreams = self.upstreams();
        let serving = upstreams.iter().filter(|upstream| {
            upstream.version == version
                && upstream.from + SERVING_TIME <= at
                && upstream.until.is_none_or(|ended| ended >= at + SERVING_TIME)
        });
        serving.count()
    }

    /// Number of versions of upstreams that have started until a time.
    pub(crate) fn versions_until(&self, at: Instant) -> usize {
        let upstreams = self.upstreams();
        let started = upstreams.iter().filter(|upstream| upstream.from <= at);
        started.map(|upstream| upstream.version).collect::<BTreeSet<_>>().len()
    }

    fn entry(&self, server: &Server, version: &str, state: &str) -> Value {
        let mut entry = service_entry(&self.service, &server.address, state);
        entry["version"] = version.into();
        entry
    }
}

/// Starts the task that replaces upstreams, and the clients, which run until `stop` is set.
pub fn start_clients(
    world: &Arc<World>,
    streams: &Arc<Mutex<Vec<StreamRecord>>>,
    stop: &Arc<AtomicBool>,
    seed: u64,
) -> Vec<JoinHandle<()>> {
    let mut tasks = vec![tokio::spawn(roll_out(world.clone(), stop.clone(), seed))];
    for client in 0..world.boxes.len() * CLIENTS {
        let (world, streams, stop) = (world.clone(), streams.clone(), stop.clone());
        let seed = seed.wrapping_mul(1000) + 500 + client as u64;
        tasks.push(tokio::spawn(resume_streams(world, streams, stop, client, seed)));
    }
    tasks
}

/// Replaces upstreams by others with the next version until `stop` is set.
async fn roll_out(world: Arc<World>, stop: Arc<AtomicBool>, seed: u64) {
    let Some(rolling) = &world.rolling else { return };
    let mut rng = fastrand::Rng::with_seed(seed);
    let mut fault_rng = fastrand::Rng::with_seed(seed ^ SHARED_FAULT_SEED_MASK);
    let mut end_rng = fastrand::Rng::with_seed(seed ^ END_SEED_MASK);
    let mut replaced = 0;
    let mut removals = Vec::new();
    while !stop.load(Ordering::Relaxed) {
        sleep(Duration::from_millis(rng.u64(REPLACE_INTERVAL_MS))).await;
        let version = VERSIONS[(1 + replaced / UPSTREAMS) % VERSIONS.len()];
        replaced += 1;
        if fault_rng.u32(..STALE_ONE_IN) == 0 {
            world.site.metadata.hold_stale_reads();
        }
        if fault_rng.u32(..ALL_CRASH_ONE_IN) == 0 {
            for number in rolling.crash_all() {
                removals.push(tokio::spawn(remove_later(world.clone(), number, None)));
                rolling.start_upstream(&world.site, version, port_delay(&mut end_rng)).await;
            }
        }
        rolling.start_upstream(&world.site, version, port_delay(&mut end_rng)).await;
        let Some(number) = rolling.end_oldest(&world.site, rng.u32(..CRASH_ONE_IN) == 0) else {
            continue;
        };
        let crashes_early = end_rng.u32(..EARLY_CRASH_ONE_IN) == 0;
        let crash_after = crashes_early.then(|| Duration::from_millis(end_rng.u64(EARLY_CRASH_MS)));
        removals.push(tokio::spawn(remove_later(world.clone(), number, crash_after)));
    }
    for removal in removals {
        // A panic in a removal is an error of the soak test itself.
        removal.await.expect("a removal");
    }
}

/// For how long the port of an upstream outlasts its connections: often not at all, seldom for long.
fn port_delay(rng: &mut fastrand::Rng) -> Duration {
    if rng.u32(..LATE_PORT_ONE_IN) == 0 {
        Duration::from_millis(rng.u64(..=MAX_PORT_DELAY_MS) >> rng.u32(..10))
    } else {
        Duration::ZERO
    }
}

/// Removes an upstream once it has left, or at that time if it crashes before.
async fn remove_later(world: Arc<World>, number: usize, crash_after: Option<Duration>) {
    let Some(rolling) = &world.rolling else { return };
    let leaves_at = tokio::time::Instant::now() + LEAVE_TIME;
    if let Some(crash_after) = crash_after {
        sleep(crash_after).await;
        rolling.upstreams()[number].server.crash();
    }
    sleep_until(leaves_at).await;
    rolling.remove(&world.site, number);
}

/// Begins streams and resumes them at random boxes until `stop` is set.
async fn resume_streams(
    world: Arc<World>,
    records: Arc<Mutex<Vec<StreamRecord>>>,
    stop: Arc<AtomicBool>,
    client: usize,
    seed: u64,
) {
    let mut rng = fastrand::Rng::with_seed(seed);
    let mut count = 0;
    while !stop.load(Ordering::Relaxed) {
        count += 1;
        let mut record = StreamRecord::default();
        for number in 0..MAX_TRIES {
            let box_number = rng.usize(..world.boxes.len());
            let id = format!("{box_number}-v{client}-{count}-{number}");
            // Some clients leave after the first events, others wait for the end.
            let leaves_after =
                if rng.u32(..LEAVE_ONE_IN) == 0 { rng.usize(1..4) } else { usize::MAX };
            let made = try_stream(&world, &record, id, box_number, leaves_after).await;
            record.tries.push(made);
            if record.last_event() == EVENTS {
                break;
            }
            sleep(RESUME_PAUSE).await;
        }
        records.lock().expect("no task panics under the lock").push(record);
    }
}

async fn try_stream(
    world: &World,
    record: &StreamRecord,
    id: String,
    box_number: usize,
    leaves_after: usize,
) -> Try {
    let extra = match record.first_with_events() {
        Some(first) => resume_headers(&first.id, record.last_event()),
        None => String::new(),
    };
    let sent_at = Instant::now();
    let (mut events, mut looks_complete) = (Events::new(), false);
    let reading = async {
        let address = &world.boxes[box_number].process.clients;
        let Ok(mut stream) = EventStream::request(address, &path(SERVICE), &id, &extra).await
        else {
            return;
        };
        loop {
            let count = events.len() + 1;
            let read = stream.read_events(count).await;
            let has_ended = read.len() < count;
            events = read;
            looks_complete = stream.status() == 200 && stream.looks_complete();
            if has_ended || events.len() >= leaves_after {
                return;
            }
        }
    };
    // What has arrived until then counts.
    let _ = timeout(TRY_TIMEOUT, reading).await;
    Try { id, box_number, sent_at, ended_at: Instant::now(), events, looks_complete }
}

impl StreamRecord {
    pub(crate) fn first_with_events(&self) -> Option<&Try> {
        self.tries.iter().find(|made| !made.events.is_empty())
    }

    fn events(&self) -> Events {
        self.tries.iter().flat_map(|made| made.events.clone()).collect()
    }

    pub(crate) fn last_event(&self) -> u32 {
        self.events().last().map_or(0, |(number, _)| *number)
    }

    /// Tries that resume the stream, each with the version that began it.
    pub(crate) fn resumed(&self) -> impl Iterator<Item = (&Try, &str)> {
        let first = self.tries.iter().position(|made| !made.events.is_empty());
        let version = self.first_with_events().map_or("", |made| made.events[0].1.as_str());
        let after = first.map_or(self.tries.len(), |first| first + 1);
        self.tries[after..].iter().map(move |made| (made, version))
    }

    /// Whether it has events of two versions, or events that are missing or come twice.
    pub(crate) fn violations(&self) -> Vec<String> {
        let mut violations = Vec::new();
        let events = self.events();
        let ids: Vec<&str> = self.tries.iter().map(|made| made.id.as_str()).collect();
        if versions(&events).len() > 1 {
            violations.push(format!("{}: events of several versions: {events:?}", ids.join(", ")));
        }
        let complete = self.tries.iter().filter(|made| made.looks_complete).count();
        if complete > usize::from(self.last_event() == EVENTS) {
            violations.push(format!("{}: ended before the last event", ids.join(", ")));
        }
        if !numbers(&events).into_iter().eq(1..=self.last_event()) {
            violations.push(format!("{}: events {:?}", ids.join(", "), numbers(&events)));
        }
        violations
    }
}

impl RunData<'_> {
    /// Streams with events of two versions, or with events that are missing or come twice; and whether
    /// too few go on that could.
    pub(crate) fn version_violations(&self, records: &[StreamRecord]) -> Vec<String> {
        let mut violations: Vec<String> =
            records.iter().flat_map(StreamRecord::violations).collect();
        let share = self.version_shares(records);
        if share.resumed.1 >= MIN_RESUMED && 2.0 * ratio(share.resumed) < ratio(share.begun) {
            violations.push(format!(
                "{} of {} streams went on that could, {} of {} new ones began",
                share.resumed.0, share.resumed.1, share.begun.0, share.begun.1
            ));
        }
        violations
    }

    /// How many tries at undisturbed boxes got events, of those that resumed streams of a version with two
    /// upstreams, and of those that began streams.
    pub(crate) fn version_shares(&self, records: &[StreamRecord]) -> VersionShares {
        let mut shares = VersionShares::default();
        for record in records {
            let resumed: BTreeSet<&str> =
                record.resumed().map(|(made, _)| made.id.as_str()).collect();
            for (made, version) in record.resumed() {
                shares.resumed_anywhere.0 += usize::from(!made.events.is_empty());
                shares.resumed_anywhere.1 += 1;
                let rolling = self.world.rolling.as_ref();
                let serving = rolling.map_or(0, |rolling| rolling.serving(version, made.sent_at));
                if serving >= 2 && self.is_undisturbed_try(made) {
                    shares.resumed.0 += usize::from(!made.events.is_empty());
                    shares.resumed.1 += 1;
                }
            }
            let begun = record.tries.iter().filter(|made| !resumed.contains(made.id.as_str()));
            for made in begun.filter(|made| self.is_undisturbed_try(made)) {
                shares.begun.0 += usize::from(!made.events.is_empty());
                shares.begun.1 += 1;
            }
        }
        shares
    }

    pub(crate) fn is_undisturbed_try(&self, made: &Try) -> bool {
        let (from_ms, to_ms) = (self.at_ms(made.sent_at), self.at_ms(made.ended_at));
        let unix_ms = self.started_at_ms + from_ms;
        is_undisturbed(self.steps, from_ms, to_ms)
            && !self.had_outage_at(Some(made.box_number), unix_ms, RECOVERY_MS, |_| true)
    }
}

/// Tries that got events, and all of them.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct VersionShares {
    /// Whatever the box and the number of upstreams.
    pub(crate) resumed_anywhere: (usize, usize),
    pub(crate) resumed: (usize, usize),
    pub(crate) begun: (usize, usize),
}

pub(crate) fn ratio((part, all): (usize, usize)) -> f64 {
    let count = |count: usize| f64::from(u32::try_from(count).unwrap_or(u32::MAX));
    count(part) / count(all.max(1))
}
