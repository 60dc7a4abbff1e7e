//! The programs of a run; what is done to them stands in `happening`.

mod happening;

use std::io::Result;
use std::sync::atomic::{AtomicU64, AtomicUsize, Ordering};
use std::sync::{Mutex, MutexGuard};
use std::time::Instant;

use coursestile_standins::site::engine::{Engine, MODEL};
use coursestile_standins::site::metadata::Trouble;
use coursestile_standins::site::server::Server;
use coursestile_standins::site::{Gateway, Site, document, engine_entry, entry};
use serde_json::{Value, json};

use crate::mesh::Mesh;
use crate::plan::Link;
use crate::proxy::Proxy;

/// Plain upstreams.
const UPSTREAMS: usize = 4;
/// Model engines.
const ENGINES: usize = 3;
/// Halls, which boxes are dealt to in turn.
const HALLS: [&str; 3] = ["north", "east", "west"];
/// Service of the engines.
const ENGINE_SERVICE: &str = "engines";

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

    fn enter(&self, number: usize, state: &str) {
        let upstream = &self.upstreams[number];
        let mut entry = entry("plain", &upstream.proxy.address, state);
        let start_ms = self.starts_ms[number].load(Ordering::SeqCst);
        if start_ms > 0 {
            entry["born"] = json!(start_ms);
        }
        self.site.enter(&upstream.process.id, &entry);
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
