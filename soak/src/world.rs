//! The programs of a run and what is done to them.

use std::io::Result;
use std::sync::atomic::{AtomicU64, AtomicUsize, Ordering};
use std::sync::{Mutex, MutexGuard};
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

use coursestile_standins::site::engine::{Engine, MODEL};
use coursestile_standins::site::metadata::Trouble;
use coursestile_standins::site::server::{Act, Server};
use coursestile_standins::site::{Gateway, Site, document, engine_entry, entry};
use serde_json::{Value, json};
use tokio::time::sleep;

use crate::mesh::Mesh;
use crate::plan::{Event, LastWord, Link, Way};
use crate::proxy::Proxy;

/// Plain upstreams.
const UPSTREAMS: usize = 4;
/// Model engines.
const ENGINES: usize = 3;
/// Halls, which boxes are dealt to in turn.
const HALLS: [&str; 3] = ["north", "east", "west"];
/// Service of the engines.
const ENGINE_SERVICE: &str = "engines";
/// Time for which an upstream is about to leave at least: beyond the two seconds
/// in which it may still get work.
const LEAVES: Duration = Duration::from_secs(3);
/// The store falls silent less than this many milliseconds after a change: within
/// that time boxes have asked for the next one.
const SILENT_AFTER_MS: usize = 25;
/// How often a box that is to stop is looked at.
const STOP_POLL: Duration = Duration::from_millis(20);
/// One restart of an engine in so many is told by no entry.
const UNTOLD_ONE_IN: usize = 3;
/// Answers that an upstream spoils at a time.
const ACTS: usize = 5;
/// What an upstream may do in place of an answer.
const MISBEHAVIOUR: [Act; 10] = [
    Act::NotRun,
    Act::Close,
    Act::OtherId,
    Act::NoSeal,
    Act::CutBody,
    Act::Twice,
    Act::Unframed,
    Act::Status(500),
    Act::Events(2),
    Act::After(Duration::from_millis(400)),
];

/// A process behind a proxy.
pub struct Behind<T> {
    /// The process.
    pub process: T,
    /// The proxy.
    pub proxy: Proxy,
}

/// A box.
pub struct OneBox {
    /// The process.
    pub process: Gateway,
    /// The proxy before the store.
    pub store: Proxy,
    /// The proxy before the box, which callers use.
    pub callers: Proxy,
}

/// The newest configuration.
#[derive(Clone, Copy)]
pub struct Newest {
    /// Its version.
    pub version: u64,
    /// When the store had taken it.
    pub taken: Instant,
}

/// A time for which an upstream was about to leave.
pub struct Leave {
    /// Id of the upstream.
    pub id: String,
    /// When the store had taken it.
    pub from: Instant,
    /// When it was ready again.
    pub until: Instant,
}

/// All that takes part in a run.
pub struct World {
    /// The platform.
    pub site: Site,
    /// Boxes.
    pub boxes: Vec<OneBox>,
    /// Plain upstreams.
    pub upstreams: Vec<Behind<Server>>,
    /// Engines.
    pub engines: Vec<Behind<Engine>>,
    mesh: Mesh,
    newest: Mutex<Newest>,
    weights: AtomicU64,
    leaves: Mutex<Vec<Leave>>,
    /// For each upstream, the steps in which it is about to leave.
    leaving: Vec<AtomicUsize>,
    /// For each upstream, the start that its entry tells; none at first.
    starts_ms: Vec<AtomicU64>,
}

/// Path of a route that only one version of the configuration has.
#[must_use]
pub fn version_path(version: u64) -> String {
    format!("/version-{version}/")
}

fn configuration(version: u64) -> Value {
    let mut document = document(version);
    let mut own = document["routes"][0].clone();
    own["name"] = json!(format!("version-{version}"));
    own["path_prefix"] = json!(version_path(version));
    if let Some(routes) = document["routes"].as_array_mut() {
        routes.push(own);
    }
    if let Some(services) = document["services"].as_array_mut() {
        services.push(json!({ "name": ENGINE_SERVICE, "health_path": "/health",
            "max_conns": 100, "protocol": "h1", "tls": false }));
    }
    document
}

impl World {
    /// Starts everything.
    ///
    /// # Errors
    /// Fails when an address cannot be had.
    pub async fn start(boxes: usize) -> Result<Self> {
        let mut site = Site::start().await;
        site.own_peer_ports = true;
        let mut upstreams = Vec::new();
        for number in 0..UPSTREAMS {
            let process = Server::start(&format!("s-{number}")).await;
            let proxy = Proxy::start(&process.address).await?;
            site.enter(&process.id, &entry("plain", &proxy.address, "ready"));
            upstreams.push(Behind { process, proxy });
        }
        let mut engines = Vec::new();
        for number in 0..ENGINES {
            let process = Engine::start().await;
            let proxy = Proxy::start(&process.address).await?;
            let entry = engine_entry(ENGINE_SERVICE, &proxy.address, MODEL, 1);
            site.enter(&format!("e-{number}"), &entry);
            engines.push(Behind { process, proxy });
        }
        site.name_weights(MODEL, 1);
        site.configure(&configuration(1));
        let newest = Mutex::new(Newest { version: 1, taken: Instant::now() });
        let mut started: Vec<OneBox> = Vec::new();
        for number in 0..boxes {
            let store = Proxy::start(&site.metadata.address).await?;
            let seeds: Vec<&Gateway> = started.iter().take(2).map(|one| &one.process).collect();
            let hall = HALLS[number % HALLS.len()];
            let process = site.gateway_at(hall, &seeds, &store.address);
            let callers = Proxy::start(&process.clients).await?;
            started.push(OneBox { process, store, callers });
        }
        let peers: Vec<&str> = started.iter().map(|one| one.process.peers.as_str()).collect();
        let mesh = Mesh::start(&peers).await?;
        let (weights, leaves) = (AtomicU64::new(1), Mutex::default());
        let leaving = upstreams.iter().map(|_| AtomicUsize::default()).collect();
        let starts_ms = upstreams.iter().map(|_| AtomicU64::default()).collect();
        Ok(Self {
            site,
            boxes: started,
            upstreams,
            engines,
            mesh,
            newest,
            weights,
            leaves,
            leaving,
            starts_ms,
        })
    }

    /// When upstreams were about to leave.
    pub fn leaves(&self) -> MutexGuard<'_, Vec<Leave>> {
        self.leaves.lock().expect("no task panics under the lock")
    }

    /// The newest configuration.
    pub fn newest(&self) -> Newest {
        *self.newest.lock().expect("no task panics under the lock")
    }

    fn configure(&self, step: u64) {
        // Under the lock, the store takes versions in their order.
        let mut newest = self.newest.lock().expect("no task panics under the lock");
        newest.version += step;
        self.site.configure(&configuration(newest.version));
        newest.taken = Instant::now();
    }

    /// Has something happen for a while.
    pub async fn happen(&self, event: Event, pick: usize, time: Duration) {
        let one_box = &self.boxes[pick % self.boxes.len()];
        let upstream = &self.upstreams[pick % self.upstreams.len()];
        match event {
            Event::BoxKilled => restart(&one_box.process, time).await,
            Event::AllKilled => {
                for one in &self.boxes {
                    one.process.try_signal("-KILL");
                }
                sleep(time).await;
                self.start_ended();
            }
            Event::BoxPaused => {
                one_box.process.try_signal("-STOP");
                sleep(time).await;
                one_box.process.try_signal("-CONT");
            }
            Event::StoreBusy => self.trouble(Trouble::Busy, time).await,
            Event::StoreSilent => self.trouble(Trouble::Silent, time).await,
            Event::StoreLosesAnswers => self.trouble(Trouble::AnswersLost, time).await,
            Event::StoreForgets => self.site.metadata.compact(),
            Event::StoreLink(link) => spoil(&one_box.store, link, time).await,
            Event::StoreSilentAfter(word) => self.store_silent_after(word, pick, time).await,
            Event::Silenced(way) => self.silence(way),
            Event::PeersLink(link, side) => {
                self.mesh.set(pick % self.boxes.len(), side, link);
                sleep(time).await;
                self.mesh.set(pick % self.boxes.len(), side, Link::Sound);
            }
            Event::UpstreamLink(link) => spoil(&upstream.proxy, link, time).await,
            Event::UpstreamMisbehaves => {
                let mut acts = MISBEHAVIOUR;
                acts.rotate_left(pick % MISBEHAVIOUR.len());
                upstream.process.then(&acts[..ACTS]);
                sleep(time).await;
                upstream.process.then_nothing();
            }
            Event::BoxStopped => {
                let pid = one_box.process.pid();
                one_box.process.try_signal("-TERM");
                // Another step may have started it again meanwhile.
                while one_box.process.pid() == pid && one_box.process.is_alive() {
                    sleep(STOP_POLL).await;
                }
                self.start_ended();
            }
            Event::BoxReloads => one_box.process.try_signal("-HUP"),
            Event::Configured => self.configure(1 + u64::from(pick.is_multiple_of(3)) * 4),
            Event::WeightsNamed => {
                let version = self.weights.fetch_add(1, Ordering::SeqCst) + 1;
                self.site.name_weights(MODEL, version);
            }
            Event::UpstreamLeaves => self.leave(pick, time + LEAVES).await,
            Event::UpstreamRestarts => self.restart_upstream(pick, time).await,
            Event::EngineRestarts => self.restart_engine(pick, time).await,
        }
    }

    /// Has an upstream start again under its id: its connections break, and its entry tells
    /// of another start.
    async fn restart_upstream(&self, pick: usize, time: Duration) {
        let number = pick % self.upstreams.len();
        spoil(&self.upstreams[number].proxy, Link::Reset, time).await;
        self.starts_ms[number].store(now_ms(), Ordering::SeqCst);
        let is_leaving = self.leaving[number].load(Ordering::SeqCst) > 0;
        self.enter(number, if is_leaving { "draining" } else { "ready" });
    }

    /// Has an engine start again under its id. Mostly its entry tells of it, also of the
    /// weights that it had first; else it has those that it had, as the platform has it,
    /// and nobody but the engine itself tells.
    async fn restart_engine(&self, pick: usize, time: Duration) {
        let number = pick % self.engines.len();
        let engine = &self.engines[number];
        let is_told = !(pick / self.engines.len()).is_multiple_of(UNTOLD_ONE_IN);
        let version = if is_told { 1 } else { engine.process.version() };
        engine.process.restart(version);
        spoil(&engine.proxy, Link::Reset, time).await;
        if !is_told {
            return;
        }
        let mut entry = engine_entry(ENGINE_SERVICE, &engine.proxy.address, MODEL, version);
        entry["born"] = json!(engine.process.born());
        entry["seq"] = json!(0);
        self.site.enter(&format!("e-{number}"), &entry);
    }

    /// Engines that do not have the weights named last, in words.
    #[must_use]
    pub fn engines_behind(&self) -> Vec<String> {
        let named = self.weights.load(Ordering::SeqCst);
        let versions = self.engines.iter().map(|engine| engine.process.version()).enumerate();
        let behind = versions.filter(|(_, version)| *version != named);
        behind
            .map(|(one, version)| format!("engine {one} has weights {version}, not {named}"))
            .collect()
    }

    /// Has an upstream be about to leave for a while.
    async fn leave(&self, pick: usize, time: Duration) {
        let number = pick % self.upstreams.len();
        let leaving = &self.leaving[number];
        leaving.fetch_add(1, Ordering::SeqCst);
        let from = Instant::now();
        self.enter(number, "draining");
        sleep(time).await;
        let id = self.upstreams[number].process.id.clone();
        self.leaves().push(Leave { id, from, until: Instant::now() });
        // Other steps may go on.
        if leaving.fetch_sub(1, Ordering::SeqCst) == 1 {
            self.enter(number, "ready");
        }
    }

    /// Has the store take a change and say nothing soon after.
    async fn store_silent_after(&self, word: LastWord, pick: usize, time: Duration) {
        let silent = async {
            let pause_ms = u64::try_from(pick % SILENT_AFTER_MS).unwrap_or_default();
            sleep(Duration::from_millis(pause_ms)).await;
            self.trouble(Trouble::Silent, time).await;
        };
        match word {
            LastWord::Configuration => {
                self.configure(1);
                silent.await;
            }
            LastWord::Leave => {
                tokio::join!(self.leave(pick, time + LEAVES), silent);
            }
        }
    }

    /// Silences open connections.
    fn silence(&self, way: Way) {
        let on = |one| way == one || way == Way::All;
        for one in self.boxes.iter().filter(|_| on(Way::Store)) {
            one.store.silence();
        }
        for one in self.boxes.iter().filter(|_| on(Way::Callers)) {
            one.callers.silence();
        }
        if on(Way::Upstreams) {
            self.upstreams.iter().for_each(|one| one.proxy.silence());
            self.engines.iter().for_each(|one| one.proxy.silence());
        }
        if on(Way::Peers) {
            self.mesh.silence();
        }
    }

    fn enter(&self, number: usize, state: &str) {
        let upstream = &self.upstreams[number];
        let mut entry = entry("plain", &upstream.proxy.address, state);
        let start_ms = self.starts_ms[number].load(Ordering::SeqCst);
        if start_ms > 0 {
            entry["born"] = json!(start_ms);
        }
        self.site.enter(&upstream.process.id, &entry);
    }

    async fn trouble(&self, trouble: Trouble, time: Duration) {
        self.site.metadata.trouble(trouble);
        sleep(time).await;
        self.site.metadata.trouble(Trouble::None);
    }

    /// Ends all faults.
    pub fn heal(&self) {
        self.site.metadata.trouble(Trouble::None);
        for one in &self.boxes {
            one.process.try_signal("-CONT");
            one.store.set(Link::Sound);
        }
        self.mesh.heal();
        self.start_ended();
        for one in &self.engines {
            one.proxy.set(Link::Sound);
        }
        for (number, one) in self.upstreams.iter().enumerate() {
            one.proxy.set(Link::Sound);
            self.enter(number, "ready");
        }
    }

    fn start_ended(&self) {
        for one in &self.boxes {
            one.process.start_if_ended();
        }
    }
}

async fn restart(process: &Gateway, time: Duration) {
    process.try_signal("-KILL");
    sleep(time).await;
    process.start_if_ended();
}

async fn spoil(proxy: &Proxy, link: Link, time: Duration) {
    proxy.set(link);
    sleep(time).await;
    proxy.set(Link::Sound);
}

fn now_ms() -> u64 {
    let since = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default();
    u64::try_from(since.as_millis()).unwrap_or_default()
}
