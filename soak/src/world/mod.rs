//! The programs of a run; what is done to them stands in `happening`.

mod happening;

use std::io::Result;
use std::ops::RangeInclusive;
use std::sync::atomic::{AtomicU64, AtomicUsize, Ordering};
use std::sync::{Mutex, MutexGuard};
use std::time::Instant;

use coursestile_standins::clock::now_ms;
use coursestile_standins::site::engine::{Engine, MODEL};
use coursestile_standins::site::metadata::StoreFault;
use coursestile_standins::site::server::Server;
use coursestile_standins::site::{
    Gateway, Site, config_document, engine_entry, engine_services, service_entry,
};
use serde_json::{Value, json};

use crate::frail::{self, Frail};
use crate::mesh::Mesh;
use crate::plan::Link;
use crate::proxy::Proxy;

/// Plain upstreams.
const UPSTREAMS: usize = 4;
/// Model engines.
const ENGINES: usize = 3;
/// Model engines when weights are on the move: half of them may load at a time.
const MOVING_ENGINES: usize = 4;
/// Pause between orders of two holders then, and time in which weights must be everywhere:
/// half of what the platform asks.
const MOVING_LEASE_MS: u64 = 1500;
const MOVING_APPLY_MS: u64 = 5000;
/// Halls, which boxes are dealt to in turn.
const HALLS: [&str; 3] = ["north", "east", "west"];
/// Service of the engines.
const ENGINE_SERVICE: &str = "engines";
/// Path of the route to them.
pub const RUN_PATH: &str = "/run/";

/// A process behind a proxy.
pub struct Proxied<T> {
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
    pub stored_at: Instant,
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

/// A time for which a box was stopped, killed or paused, in Unix milliseconds.
pub struct Away {
    /// The box.
    pub box_number: usize,
    /// From the signal until it runs again.
    pub times_ms: RangeInclusive<u64>,
    /// Whether it was paused.
    pub paused: bool,
}

/// All that takes part in a run.
pub struct World {
    /// The platform.
    pub site: Site,
    /// Boxes.
    pub boxes: Vec<OneBox>,
    /// Plain upstreams.
    pub upstreams: Vec<Proxied<Server>>,
    /// Engines.
    pub engines: Vec<Proxied<Engine>>,
    mesh: Mesh,
    newest: Mutex<Newest>,
    /// Whether weights are on the move: engines get requests, and keep their weights when
    /// they start again.
    pub moving: bool,
    /// When each version of the weights was named, from the first, in Unix milliseconds.
    named_ms: Mutex<Vec<u64>>,
    aways: Mutex<Vec<Away>>,
    leaves: Mutex<Vec<Leave>>,
    /// For each upstream, the steps in which it is about to leave.
    leaving: Vec<AtomicUsize>,
    /// For each upstream, the start that its entry tells; none at first.
    starts_ms: Vec<AtomicU64>,
    /// Upstreams that crash under one request, if there are any.
    pub frail: Option<Frail>,
    /// When upstreams started again under their ids.
    reborn: Mutex<Vec<Reborn>>,
}

/// An upstream that started again under its id.
#[derive(Clone)]
pub struct Reborn {
    /// Its id.
    pub id: String,
    /// When its entry told of it.
    pub at: Instant,
}

/// Path of a route that only one version of the configuration has.
#[must_use]
pub fn version_path(version: u64) -> String {
    format!("/version-{version}/")
}

/// A configuration; if `with_runs`, with a route to the engines, and if `with_frail` to the
/// upstreams that crash.
fn configuration(version: u64, with_runs: bool, with_frail: bool) -> Value {
    let mut document = config_document(version);
    let mut own = document["routes"][0].clone();
    own["name"] = json!(format!("version-{version}"));
    own["path_prefix"] = json!(version_path(version));
    let mut to_engines = document["routes"][2].clone();
    to_engines["name"] = json!("run");
    to_engines["path_prefix"] = json!(RUN_PATH);
    to_engines["service"] = json!(ENGINE_SERVICE);
    if let Some(routes) = document["routes"].as_array_mut() {
        routes.push(own);
        routes.extend(with_runs.then_some(to_engines));
    }
    let mut service = json!({ "name": ENGINE_SERVICE, "health_path": "/health",
        "max_conns": 100, "protocol": "h1", "tls": false });
    if with_runs {
        service = engine_services(None)[0].take();
        service["name"] = json!(ENGINE_SERVICE);
    }
    if let Some(services) = document["services"].as_array_mut() {
        services.push(service);
    }
    if with_frail {
        frail::add(&mut document);
    }
    document
}

impl World {
    /// Starts everything.
    ///
    /// # Errors
    /// Fails when an address cannot be had.
    pub async fn start(boxes: usize, moving: bool, with_frail: bool) -> Result<Self> {
        let mut site = Site::start().await;
        site.distinct_peer_ports = true;
        if moving {
            (site.lease_ms, site.weights_apply_ms) = (MOVING_LEASE_MS, MOVING_APPLY_MS);
        }
        let mut upstreams = Vec::new();
        for number in 0..UPSTREAMS {
            let process = Server::start(&format!("s-{number}")).await;
            let proxy = Proxy::start(&process.address).await?;
            site.register(&process.id, &service_entry("plain", &proxy.address, "ready"));
            upstreams.push(Proxied { process, proxy });
        }
        let mut engines = Vec::new();
        for number in 0..if moving { MOVING_ENGINES } else { ENGINES } {
            let process = Engine::start().await;
            let proxy = Proxy::start(&process.address).await?;
            let entry = engine_entry(ENGINE_SERVICE, &proxy.address, MODEL, 1);
            site.register(&format!("e-{number}"), &entry);
            engines.push(Proxied { process, proxy });
        }
        site.set_weight_version(MODEL, 1);
        let frail = if with_frail { Some(Frail::start(&site).await) } else { None };
        site.configure(&configuration(1, moving, with_frail));
        let newest = Mutex::new(Newest { version: 1, stored_at: Instant::now() });
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
        let named_ms = Mutex::new(vec![now_ms()]);
        let leaving = upstreams.iter().map(|_| AtomicUsize::default()).collect();
        let starts_ms = upstreams.iter().map(|_| AtomicU64::default()).collect();
        Ok(Self {
            site,
            boxes: started,
            upstreams,
            engines,
            mesh,
            newest,
            moving,
            named_ms,
            aways: Mutex::default(),
            leaves: Mutex::default(),
            leaving,
            starts_ms,
            frail,
            reborn: Mutex::default(),
        })
    }

    /// When upstreams were about to leave.
    pub fn leaves(&self) -> MutexGuard<'_, Vec<Leave>> {
        self.leaves.lock().expect("no task panics under the lock")
    }

    /// When upstreams started again under their ids.
    pub fn reborn(&self) -> MutexGuard<'_, Vec<Reborn>> {
        self.reborn.lock().expect("no task panics under the lock")
    }

    /// When boxes were away.
    pub fn aways(&self) -> MutexGuard<'_, Vec<Away>> {
        self.aways.lock().expect("no task panics under the lock")
    }

    /// When each version of the weights was named, from the first, in Unix milliseconds.
    pub fn named_ms(&self) -> MutexGuard<'_, Vec<u64>> {
        self.named_ms.lock().expect("no task panics under the lock")
    }

    /// Names the next version of the weights.
    fn name_weights(&self) {
        // Under the lock, the store takes versions in their order.
        let mut named_ms = self.named_ms();
        self.site.set_weight_version(MODEL, named_ms.len() as u64 + 1);
        named_ms.push(now_ms());
    }

    /// The box that was the last to take the leadership, by its log.
    fn leader(&self) -> usize {
        let fence = |one: &OneBox| -> Option<u64> {
            let log = one.process.log_text();
            let (_, rest) = log.rsplit_once("event=leadership_taken fence=")?;
            rest.lines().next()?.parse().ok()
        };
        let fences = self.boxes.iter().map(fence).enumerate();
        fences.max_by_key(|(_, fence)| *fence).map_or(0, |(number, _)| number)
    }

    /// The box with a name.
    pub fn box_named(&self, name: &str) -> Option<usize> {
        let is_named = |one: &OneBox| one.process.log.file_stem().is_some_and(|stem| stem == name);
        self.boxes.iter().position(is_named)
    }

    /// The newest configuration.
    pub fn newest(&self) -> Newest {
        *self.newest.lock().expect("no task panics under the lock")
    }

    fn configure(&self, step: u64) {
        // Under the lock, the store takes versions in their order.
        let mut newest = self.newest.lock().expect("no task panics under the lock");
        newest.version += step;
        let document = configuration(newest.version, self.moving, self.frail.is_some());
        self.site.configure(&document);
        newest.stored_at = Instant::now();
    }

    /// Engines that do not have the weights named last, with their weights.
    #[must_use]
    pub fn outdated_engines(&self) -> Vec<(usize, u64)> {
        let named = self.named_ms().len() as u64;
        let versions = self.engines.iter().map(|engine| engine.process.version()).enumerate();
        versions.filter(|(_, version)| *version != named).collect()
    }

    fn enter(&self, number: usize, state: &str) {
        let upstream = &self.upstreams[number];
        let mut entry = service_entry("plain", &upstream.proxy.address, state);
        let start_ms = self.starts_ms[number].load(Ordering::SeqCst);
        if start_ms > 0 {
            entry["born"] = json!(start_ms);
        }
        self.site.register(&upstream.process.id, &entry);
    }

    /// Ends all faults.
    pub fn heal(&self) {
        self.site.metadata.set_fault(StoreFault::None);
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
            one.process.restart_if_exited();
        }
    }
}
