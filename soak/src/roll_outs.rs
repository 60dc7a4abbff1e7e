//! First roll-outs: services of one software version, of which all boxes are sure, get another one at a
//! drawn time, while boxes and whole halls are out of step. Clients begin streams at boxes in touch, and
//! resume them at boxes out of step on purpose as well as at random.

use std::collections::{BTreeMap, HashMap};
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

use coursestile_standins::site::Site;
use coursestile_standins::site::client::request;
use coursestile_standins::site::event_stream::{EventStream, Events, resume_headers};
use coursestile_standins::site::server::EVENTS;
use tokio::net::TcpStream;
use tokio::task::JoinHandle;
use tokio::time::{sleep, sleep_until, timeout};

use crate::checks::{RECOVERY_MS, RunData};
use crate::plan::{self, Step};
use crate::versions::{RollingUpstreams, StreamRecord, Try, path, ratio};
use crate::world::World;

/// Services that have their first roll-out in each cycle of steps.
const SERVICES: usize = 3;
/// Time before its first roll-out at which the last of these services appears; boxes know its first version
/// from the start of the run otherwise.
const APPEARS_BEFORE_MS: std::ops::Range<u64> = 0..3000;
/// Upstreams of the first version of a service.
const UPSTREAMS: usize = 2;
/// Distinguishes the random numbers of roll-outs from those of the clients.
const ROLL_OUT_SEED_MASK: u64 = 0x4f1c_88d7;
/// The first version of a service, and those that its roll-outs can bring, in order. One that goes back
/// brings the first again.
const FIRST_VERSION: &str = "v1";
const ROLL_OUTS: [&[&str]; 4] = [&["v2"], &["v2"], &["v2", "v3"], &["v2", "v1"]];
/// Time between the starts of two upstreams of a version.
const STAGGER_MS: std::ops::Range<u64> = 0..500;
/// Time from the start of a version until upstreams of the one before leave or crash, and until the next
/// roll-out begins. Roll-outs overlap.
const OVERLAP_MS: std::ops::Range<u64> = 800..6000;
const NEXT_ROLL_OUT_MS: std::ops::Range<u64> = 300..4000;
/// Time from the announcement of an upstream that it leaves to its end.
const LEAVE_TIME: Duration = Duration::from_secs(2);
/// One upstream in this many crashes instead.
const CRASH_ONE_IN: u32 = 4;
/// Clients for each box.
const CLIENTS: usize = 3;
/// Time before and after the start of a service's roll-out in which clients mostly send it their requests.
const BEFORE_MS: u64 = 1000;
const AFTER_MS: u64 = 6000;
/// Time limits of a try. The long one outlasts most pauses of a box.
const TRY_TIMEOUT: Duration = Duration::from_millis(2500);
const LONG_TRY_TIMEOUT: Duration = Duration::from_secs(6);
/// Pause before a client resumes its stream, and upper bound of that of one in four.
const RESUME_PAUSE: Duration = Duration::from_millis(20);
const MAX_RESUME_PAUSE_MS: u64 = 1500;
/// Tries of a client, the first included.
const MAX_TRIES: usize = 4;
/// Time within which all boxes become sure of the first versions.
const CERTAIN_TIMEOUT: Duration = Duration::from_secs(20);
/// Fewest tries of which a share is checked.
const MIN_TRIES: usize = 20;
/// Smallest share of new streams that begin while nothing fails: otherwise, the share of resumed streams
/// that is compared with it would show nothing.
const MIN_BEGUN: f64 = 0.9;

/// What the clients of a run share.
#[derive(Clone)]
pub struct Run {
    pub world: Arc<World>,
    pub steps: Vec<Step>,
    pub started_at: Instant,
    pub streams: Arc<Mutex<Vec<RollOutStream>>>,
    pub stop: Arc<AtomicBool>,
}

/// A stream of a service over all tries of its client.
pub struct RollOutStream {
    service: usize,
    /// Whether its client names the request that it resumes.
    is_named: bool,
    record: StreamRecord,
}

/// A client with the connections that boxes have left open.
struct StreamClient {
    run: Run,
    rng: fastrand::Rng,
    connections: HashMap<usize, TcpStream>,
}

/// Starts the upstreams of all services that have their first roll-out in a run.
pub async fn start(site: &Site, seconds: u64) -> Vec<RollingUpstreams> {
    let mut services = Vec::new();
    let cycles = (seconds * 1000).div_ceil(plan::ROLL_OUT_CYCLE_MS);
    for number in 0..usize::try_from(cycles).unwrap_or_default() * SERVICES {
        let count = if appears_late(number) { 0 } else { UPSTREAMS };
        services.push(RollingUpstreams::start(site, format!("first-{number}"), count).await);
    }
    services
}

fn appears_late(service: usize) -> bool {
    service % SERVICES == SERVICES - 1
}

/// Waits until every box takes the first version of each service for the only one. Describes those that do
/// not within the time limit.
pub async fn wait_until_certain(world: &World) -> Vec<String> {
    let deadline = Instant::now() + CERTAIN_TIMEOUT;
    let mut uncertain = Vec::new();
    for (number, gateway_box) in world.boxes.iter().enumerate() {
        for (_, upstreams) in
            world.roll_outs.iter().enumerate().filter(|(service, _)| !appears_late(*service))
        {
            while !resumes_unknown(&gateway_box.process.clients, &upstreams.service).await {
                if Instant::now() > deadline {
                    uncertain.push(format!("box {number} is not sure of {}", upstreams.service));
                    break;
                }
                sleep(RESUME_PAUSE).await;
            }
        }
    }
    uncertain
}

/// Whether a box resumes a stream of unknown origin.
async fn resumes_unknown(address: &str, service: &str) -> bool {
    let id = format!("certain-{:x}", fastrand::u64(..));
    let headers = format!("Last-Event-Id: {}\r\n", EVENTS - 1);
    let reading = async {
        let stream = EventStream::request(address, &path(service), &id, &headers).await.ok()?;
        Some(stream.read_all().await.0)
    };
    timeout(TRY_TIMEOUT, reading).await.ok().flatten() == Some(200)
}

/// When the first roll-out of a service begins, after the start of the run.
fn roll_out_at_ms(service: usize, seed: u64) -> u64 {
    let mut rng = fastrand::Rng::with_seed(seed ^ ROLL_OUT_SEED_MASK ^ service as u64);
    (service / SERVICES) as u64 * plan::ROLL_OUT_CYCLE_MS + rng.u64(plan::ROLL_OUT_BEGIN_MS)
}

/// Starts the tasks that roll out versions, and the clients, which run until `stop` is set.
pub fn start_clients(run: &Run, seed: u64) -> Vec<JoinHandle<()>> {
    let mut tasks = Vec::new();
    for service in 0..run.world.roll_outs.len() {
        tasks.push(tokio::spawn(roll_out(run.clone(), service, seed)));
    }
    for client in 0..run.world.boxes.len() * CLIENTS {
        let rng = fastrand::Rng::with_seed(seed.wrapping_mul(1000) + 700 + client as u64);
        let stream_client = StreamClient { run: run.clone(), rng, connections: HashMap::new() };
        tasks.push(tokio::spawn(stream_client.send_streams(client, seed)));
    }
    tasks
}

/// Brings other versions to a service, beginning at its time.
async fn roll_out(run: Run, service: usize, seed: u64) {
    let mut rng = fastrand::Rng::with_seed(seed ^ ROLL_OUT_SEED_MASK ^ ((service as u64) << 32));
    let at_ms = roll_out_at_ms(service, seed);
    let after_start = |ms| run.started_at + Duration::from_millis(ms);
    let upstreams = &run.world.roll_outs[service];
    if appears_late(service) {
        sleep_until(after_start(at_ms - rng.u64(APPEARS_BEFORE_MS)).into()).await;
        for _ in 0..UPSTREAMS {
            upstreams.start_upstream(&run.world.site, FIRST_VERSION, Duration::ZERO).await;
        }
    }
    sleep_until(after_start(at_ms).into()).await;
    let mut leaving = Vec::new();
    for version in ROLL_OUTS[rng.usize(..ROLL_OUTS.len())] {
        if run.stop.load(Ordering::Relaxed) {
            break;
        }
        let begun_at = tokio::time::Instant::now();
        for _ in 0..UPSTREAMS {
            upstreams.start_upstream(&run.world.site, version, Duration::ZERO).await;
            sleep(Duration::from_millis(rng.u64(STAGGER_MS))).await;
        }
        let leave_at = begun_at + Duration::from_millis(rng.u64(OVERLAP_MS));
        let crashes = [(); UPSTREAMS].map(|()| rng.u32(..CRASH_ONE_IN) == 0);
        leaving.push(tokio::spawn(end_upstreams(run.world.clone(), service, leave_at, crashes)));
        sleep(Duration::from_millis(rng.u64(NEXT_ROLL_OUT_MS))).await;
    }
    for ending in leaving {
        // A panic here is an error of the soak test itself.
        ending.await.expect("upstreams that leave");
    }
}

/// Has the upstreams of a service that have run longest leave or crash, and removes them.
async fn end_upstreams(
    world: Arc<World>,
    service: usize,
    at: tokio::time::Instant,
    crashes: [bool; UPSTREAMS],
) {
    sleep_until(at).await;
    let upstreams = &world.roll_outs[service];
    let ended: Vec<usize> =
        crashes.iter().filter_map(|crashes| upstreams.end_oldest(&world.site, *crashes)).collect();
    sleep(LEAVE_TIME).await;
    for number in ended {
        upstreams.remove(&world.site, number);
    }
}

impl Run {
    fn at_ms(&self) -> u64 {
        u64::try_from(self.started_at.elapsed().as_millis()).unwrap_or(u64::MAX)
    }

    fn boxes_out_of_step(&self) -> Vec<usize> {
        plan::boxes_out_of_step(&self.steps, self.at_ms(), self.world.boxes.len())
    }
}

impl StreamClient {
    /// Begins streams and resumes them until `stop` is set.
    async fn send_streams(mut self, client: usize, seed: u64) {
        let mut count = 0;
        while !self.run.stop.load(Ordering::Relaxed) {
            count += 1;
            let service = self.choose_service(seed);
            let is_named = self.rng.bool();
            let mut record = StreamRecord::default();
            for number in 0..MAX_TRIES {
                let box_number = self.choose_box(record.first_with_events().is_some());
                let id = format!("{box_number}-r{client}-{count}-{number}");
                let made = self.try_stream(&record, service, is_named, id, box_number).await;
                record.tries.push(made);
                if record.last_event() == EVENTS || self.run.stop.load(Ordering::Relaxed) {
                    break;
                }
                let pause_ms = self.rng.u64(..MAX_RESUME_PAUSE_MS);
                let is_long = self.rng.u32(..4) == 0;
                sleep(if is_long { Duration::from_millis(pause_ms) } else { RESUME_PAUSE }).await;
            }
            let stream = RollOutStream { service, is_named, record };
            self.run.streams.lock().expect("no task panics under the lock").push(stream);
        }
    }

    /// Mostly a service whose first roll-out is about to begin or has just begun.
    fn choose_service(&mut self, seed: u64) -> usize {
        let (at_ms, services) = (self.run.at_ms(), self.run.world.roll_outs.len());
        let is_near = |service: &usize| {
            let begins_at_ms = roll_out_at_ms(*service, seed);
            at_ms + BEFORE_MS >= begins_at_ms && at_ms < begins_at_ms + AFTER_MS
        };
        let near: Vec<usize> = (0..services).filter(is_near).collect();
        if near.is_empty() || self.rng.u32(..5) == 0 {
            return self.rng.usize(..services);
        }
        near[self.rng.usize(..near.len())]
    }

    /// Mostly a box in touch if the stream is to begin, and often one out of step otherwise.
    fn choose_box(&mut self, has_begun: bool) -> usize {
        let boxes = self.run.world.boxes.len();
        let out_of_step = self.run.boxes_out_of_step();
        let on_purpose = self.rng.u32(..5) < if has_begun { 3 } else { 4 };
        let wanted: Vec<usize> =
            (0..boxes).filter(|number| out_of_step.contains(number) == has_begun).collect();
        if !on_purpose || wanted.is_empty() {
            return self.rng.usize(..boxes);
        }
        wanted[self.rng.usize(..wanted.len())]
    }

    async fn try_stream(
        &mut self,
        record: &StreamRecord,
        service: usize,
        is_named: bool,
        id: String,
        box_number: usize,
    ) -> Try {
        let extra = match record.first_with_events() {
            Some(first) if is_named => resume_headers(&first.id, record.last_event()),
            Some(_) => format!("Last-Event-Id: {}\r\n", record.last_event()),
            None => String::new(),
        };
        // Some clients leave after the first events, others wait for the end.
        let leaves_after = if self.rng.u32(..3) > 0 { self.rng.usize(1..4) } else { usize::MAX };
        let limit = if self.rng.u32(..4) == 0 { LONG_TRY_TIMEOUT } else { TRY_TIMEOUT };
        let world = &self.run.world;
        let address = &world.boxes[box_number].process.clients;
        let bytes = request("POST", &path(&world.roll_outs[service].service), &id, &extra, "");
        let mut open = self.connections.remove(&box_number);
        let mut sent_at = Instant::now();
        let (mut events, mut looks_complete, mut kept) = (Events::new(), false, None);
        let reading = async {
            loop {
                sent_at = Instant::now();
                let is_reused = open.is_some();
                let sending = match open.take() {
                    Some(connection) => EventStream::send_on(connection, &bytes).await,
                    None => EventStream::send(address, &bytes).await,
                };
                let Ok(mut stream) = sending else {
                    if is_reused {
                        continue;
                    }
                    return;
                };
                loop {
                    let count = events.len() + 1;
                    let read = stream.read_events(count).await;
                    let has_ended = read.len() < count;
                    events = read;
                    looks_complete = stream.status() == 200 && stream.looks_complete();
                    if has_ended || events.len() >= leaves_after {
                        break;
                    }
                }
                // A connection that was left open may have ended since.
                if stream.status() > 0 || !is_reused {
                    kept = stream.into_open_connection();
                    return;
                }
            }
        };
        // What has arrived until then counts.
        let _ = timeout(limit, reading).await;
        self.connections.extend(kept.map(|connection| (box_number, connection)));
        Try { id, box_number, sent_at, ended_at: Instant::now(), events, looks_complete }
    }
}

/// Tries that got events, and all of them.
#[derive(Clone, Copy, Default)]
struct Share(usize, usize);

impl Share {
    fn add(&mut self, made: &Try) {
        self.0 += usize::from(!made.events.is_empty());
        self.1 += 1;
    }

    fn ratio(self) -> f64 {
        ratio((self.0, self.1))
    }
}

/// Shares of tries that got events.
#[derive(Default)]
struct RollOutShares {
    /// New streams, where nothing fails and the first version serves.
    begun: Share,
    /// Resumed streams, where nothing fails and there is one version only.
    resumed_one_version: Share,
    /// Named resumed streams, where nothing fails and there may be several versions.
    resumed_named: Share,
    /// New and resumed streams at boxes in touch, while others may be out of step and there is one version
    /// only.
    begun_in_touch: Share,
    resumed_in_touch: Share,
    /// Resumed streams at boxes out of step.
    resumed_out_of_step: Share,
    /// Those of them that began at another version than the first.
    resumed_new_version: Share,
}

impl RunData<'_> {
    /// Streams with events of two versions, or with events that are missing or come twice; and whether
    /// sound streams were stopped.
    pub(crate) fn roll_out_violations(&self, streams: &[RollOutStream]) -> Vec<String> {
        let mut violations = Vec::new();
        for stream in streams {
            let text = |violation| {
                let service = &self.world.roll_outs[stream.service].service;
                let tries = stream.record.tries.iter();
                let times: Vec<u64> = tries.map(|made| self.at_ms(made.sent_at)).collect();
                format!("{service}, named {}, sent at {times:?} ms: {violation}", stream.is_named)
            };
            violations.extend(stream.record.violations().into_iter().map(text));
        }
        let shares = self.roll_out_shares(streams);
        let Share(begun, new) = shares.begun;
        if new >= MIN_TRIES && shares.begun.ratio() < MIN_BEGUN {
            violations.push(format!("{begun} of {new} new streams began where nothing failed"));
        }
        for (what, resumed, begun) in [
            ("of one version", shares.resumed_one_version, shares.begun),
            ("named", shares.resumed_named, shares.begun),
            ("at boxes in touch", shares.resumed_in_touch, shares.begun_in_touch),
        ] {
            if resumed.1 >= MIN_TRIES && 2.0 * resumed.ratio() < begun.ratio() {
                violations.push(format!(
                    "{} of {} streams {what} went on that could, {} of {} new ones began",
                    resumed.0, resumed.1, begun.0, begun.1
                ));
            }
        }
        violations
    }

    fn roll_out_shares(&self, streams: &[RollOutStream]) -> RollOutShares {
        let mut shares = RollOutShares::default();
        for stream in streams {
            let upstreams = &self.world.roll_outs[stream.service];
            let mut resumed_ids = Vec::new();
            for (made, version) in stream.record.resumed() {
                resumed_ids.push(made.id.as_str());
                let out_of_step = plan::boxes_out_of_step(
                    self.steps,
                    self.at_ms(made.sent_at),
                    self.world.boxes.len(),
                );
                if out_of_step.contains(&made.box_number) {
                    shares.resumed_out_of_step.add(made);
                    if version != FIRST_VERSION {
                        shares.resumed_new_version.add(made);
                    }
                }
                if upstreams.serving(version, made.sent_at) < 2 {
                    continue;
                }
                let is_only = upstreams.versions_until(made.ended_at) == 1;
                if is_only && self.is_in_touch_try(made) {
                    shares.resumed_in_touch.add(made);
                }
                if !self.is_undisturbed_try(made) {
                    continue;
                }
                if is_only {
                    shares.resumed_one_version.add(made);
                }
                if stream.is_named {
                    shares.resumed_named.add(made);
                }
            }
            let begun = stream.record.tries.iter();
            let begun = begun.filter(|made| {
                !resumed_ids.contains(&made.id.as_str())
                    && upstreams.serving(FIRST_VERSION, made.sent_at) >= 2
            });
            for made in begun {
                if self.is_undisturbed_try(made) {
                    shares.begun.add(made);
                }
                let is_only = upstreams.versions_until(made.ended_at) == 1;
                if is_only && self.is_in_touch_try(made) {
                    shares.begun_in_touch.add(made);
                }
            }
        }
        shares
    }

    fn is_in_touch_try(&self, made: &Try) -> bool {
        let (from_ms, to_ms) = (self.at_ms(made.sent_at), self.at_ms(made.ended_at));
        let (number, unix_ms) = (made.box_number, self.started_at_ms + from_ms);
        plan::is_in_touch(self.steps, from_ms, to_ms, number, self.world.boxes.len())
            && !self.had_outage_at(Some(number), unix_ms, RECOVERY_MS, |_| true)
    }

    pub(crate) fn roll_out_outcomes(&self, streams: &[RollOutStream]) -> BTreeMap<String, usize> {
        if streams.is_empty() {
            return BTreeMap::new();
        }
        let shares = self.roll_out_shares(streams);
        let mut outcomes = BTreeMap::new();
        for (what, Share(part, all)) in [
            ("roll-outs: begun undisturbed", shares.begun),
            ("roll-outs: resumed undisturbed, one version", shares.resumed_one_version),
            ("roll-outs: resumed undisturbed, named", shares.resumed_named),
            ("roll-outs: begun in touch, one version", shares.begun_in_touch),
            ("roll-outs: resumed in touch, one version", shares.resumed_in_touch),
            ("roll-outs: resumed out of step", shares.resumed_out_of_step),
            ("roll-outs: resumed out of step, new version", shares.resumed_new_version),
        ] {
            outcomes.insert(format!("{what}, got events"), part);
            outcomes.insert(what.to_owned(), all);
        }
        outcomes
    }
}
