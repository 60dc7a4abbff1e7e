//! The programs of a run and what is done to them.

use std::io::Result;
use std::sync::atomic::{AtomicU64, AtomicUsize, Ordering};
use std::sync::{Mutex, MutexGuard};
use std::time::{Duration, Instant};

use coursestile_standins::site::engine::{Engine, MODEL};
use coursestile_standins::site::metadata::Trouble;
use coursestile_standins::site::server::{Act, Server};
use coursestile_standins::site::{Gateway, Site, document, engine_entry, entry};
use serde_json::{Value, json};
use tokio::time::sleep;

use crate::plan::{Event, Link};
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
/// How often a box that is to stop is looked at.
const STOP_POLL: Duration = Duration::from_millis(20);
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
    /// Boxes, each with the proxy to the store.
    pub boxes: Vec<Behind<Gateway>>,
    /// Plain upstreams.
    pub upstreams: Vec<Behind<Server>>,
    /// Engines.
    pub engines: Vec<Behind<Engine>>,
    version: AtomicU64,
    weights: AtomicU64,
    leaves: Mutex<Vec<Leave>>,
    /// For each upstream, the steps in which it is about to leave.
    leaving: Vec<AtomicUsize>,
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
        let mut started: Vec<Behind<Gateway>> = Vec::new();
        for number in 0..boxes {
            let proxy = Proxy::start(&site.metadata.address).await?;
            let seeds: Vec<&Gateway> = started.iter().take(2).map(|one| &one.process).collect();
            let hall = HALLS[number % HALLS.len()];
            let process = site.gateway_at(hall, &seeds, &proxy.address);
            started.push(Behind { process, proxy });
        }
        let (version, weights) = (AtomicU64::new(1), AtomicU64::new(1));
        let leaves = Mutex::default();
        let leaving = upstreams.iter().map(|_| AtomicUsize::new(0)).collect();
        Ok(Self { site, boxes: started, upstreams, engines, version, weights, leaves, leaving })
    }

    /// When upstreams were about to leave.
    pub fn leaves(&self) -> MutexGuard<'_, Vec<Leave>> {
        self.leaves.lock().expect("no task panics under the lock")
    }

    /// Newest version of the configuration.
    pub fn version(&self) -> u64 {
        self.version.load(Ordering::SeqCst)
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
            Event::StoreLink(link) => spoil(&one_box.proxy, link, time).await,
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
            Event::Configured => {
                let step = 1 + u64::from(pick.is_multiple_of(3)) * 4;
                let version = self.version.fetch_add(step, Ordering::SeqCst) + step;
                self.site.configure(&configuration(version));
            }
            Event::WeightsNamed => {
                let version = self.weights.fetch_add(1, Ordering::SeqCst) + 1;
                self.site.name_weights(MODEL, version);
            }
            Event::UpstreamLeaves => {
                let leaving = &self.leaving[pick % self.upstreams.len()];
                leaving.fetch_add(1, Ordering::SeqCst);
                let from = Instant::now();
                self.enter(upstream, "draining");
                sleep(time + LEAVES).await;
                self.leaves().push(Leave {
                    id: upstream.process.id.clone(),
                    from,
                    until: Instant::now(),
                });
                // Other steps may go on.
                if leaving.fetch_sub(1, Ordering::SeqCst) == 1 {
                    self.enter(upstream, "ready");
                }
            }
        }
    }

    fn enter(&self, upstream: &Behind<Server>, state: &str) {
        let entry = entry("plain", &upstream.proxy.address, state);
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
            one.proxy.set(Link::Sound);
        }
        self.start_ended();
        for one in &self.upstreams {
            one.proxy.set(Link::Sound);
            self.enter(one, "ready");
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
