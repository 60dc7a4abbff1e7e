//! Processes and proxies of a run. The actions on them are in `happening`.

mod happening;

use std::io::Result;
use std::ops::RangeInclusive;
use std::sync::atomic::{AtomicU64, AtomicUsize, Ordering};
use std::sync::{Mutex, MutexGuard};
use std::time::Instant;

use coursestile_standins::clock::now_ms;
use coursestile_standins::site::crashing_pool::CrashingPool;
use coursestile_standins::site::engine::{Engine, MODEL};
use coursestile_standins::site::metadata::StoreFault;
use coursestile_standins::site::server::Server;
use coursestile_standins::site::{
    Gateway, Site, config_document, engine_entry, engine_services, service_entry,
};
use serde_json::{Value, json};

use crate::accounts::{self, GuardedUpstreams};
use crate::crashing::{self, CrashingUpstreams};
use crate::floods;
use crate::limits::{self, LimitedUpstreams};
use crate::mesh::Mesh;
use crate::parts;
use crate::plan::{self, LinkState};
use crate::proxy::Proxy;
use crate::roll_outs;
use crate::versions::{self, RollingUpstreams};
use crate::{Options, Scenario};

/// Number of plain upstreams.
const UPSTREAMS: usize = 4;
/// Number of model engines.
const ENGINES: usize = 3;
/// Number of model engines if the scenario changes weights, half of which may load at a time.
const ENGINES_WITH_WEIGHTS_CHANGES: usize = 4;
/// Lease and time bound for new weights if the scenario changes weights: half of what the
/// platform requires.
const WEIGHTS_CHANGES_LEASE_MS: u64 = 1500;
const WEIGHTS_CHANGES_APPLY_MS: u64 = 5000;
/// Data halls, to which boxes are assigned in turn.
const HALLS: [&str; plan::HALLS] = ["north", "east", "west"];
/// Service name of the engines.
const ENGINE_SERVICE: &str = "engines";
/// Path prefix of the engines' route.
pub const RUN_PATH: &str = "/run/";

/// A simulated process with a proxy in front of it.
pub struct Proxied<T> {
    pub process: T,
    pub proxy: Proxy,
}

/// A gateway box with its proxies.
pub struct GatewayBox {
    /// The gateway process.
    pub process: Gateway,
    /// Proxy between the box and the metadata store.
    pub metadata_proxy: Proxy,
    /// Proxy in front of the box, which clients use.
    pub client_proxy: Proxy,
}

/// The newest stored configuration.
#[derive(Clone, Copy)]
pub struct NewestConfiguration {
    pub version: u64,
    /// When the metadata store had accepted it.
    pub stored_at: Instant,
}

/// A period in which an upstream was about to leave.
pub struct UpstreamLeave {
    /// Id of the upstream.
    pub id: String,
    /// When its entry is set to leaving.
    pub from: Instant,
    /// When it was ready again.
    pub until: Instant,
}

/// A period in which a box was stopped, killed or paused.
pub struct BoxOutage {
    pub box_number: usize,
    /// From the signal until the box runs again, in Unix milliseconds.
    pub times_ms: RangeInclusive<u64>,
    /// Whether the box was paused.
    pub paused: bool,
}

/// All processes and proxies of a run.
pub struct World {
    /// The simulated platform.
    pub site: Site,
    pub boxes: Vec<GatewayBox>,
    pub upstreams: Vec<Proxied<Server>>,
    pub engines: Vec<Proxied<Engine>>,
    mesh: Mesh,
    newest: Mutex<NewestConfiguration>,
    /// Whether the scenario changes weights: engines then get requests and keep their weights
    /// when they restart.
    pub weights_change: bool,
    /// When each version of the weights was named, starting with version 1, in Unix
    /// milliseconds.
    weights_named_at_ms: Mutex<Vec<u64>>,
    box_outages: Mutex<Vec<BoxOutage>>,
    upstream_leaves: Mutex<Vec<UpstreamLeave>>,
    /// For each upstream, the number of current steps in which it is about to leave.
    pending_leaves: Vec<AtomicUsize>,
    /// For each upstream, the start time in its entry in Unix milliseconds; 0 if it has not
    /// restarted.
    restarted_at_ms: Vec<AtomicU64>,
    /// Upstreams that crash on a certain request, if the scenario has any.
    pub crashing: Option<CrashingUpstreams>,
    /// Upstreams of several software versions, if the scenario has any.
    pub rolling: Option<RollingUpstreams>,
    /// Upstreams that crash under parts of prompts, if the scenario has any.
    pub prompted: Option<CrashingPool>,
    /// Upstreams that name how many requests they take, if the scenario has any.
    pub limited: Option<LimitedUpstreams>,
    /// Upstreams of services that each have their first roll-out in the run.
    pub roll_outs: Vec<RollingUpstreams>,
    /// Upstreams that read prompts for accounts, if the scenario has any.
    pub guarded: Option<GuardedUpstreams>,
    scenario: Scenario,
    /// Restarts of upstreams under the same id.
    upstream_restarts: Mutex<Vec<UpstreamRestart>>,
}

/// A restart of an upstream under the same id.
#[derive(Clone)]
pub struct UpstreamRestart {
    /// Id of the upstream.
    pub id: String,
    /// When its entry announced the restart.
    pub at: Instant,
}

/// Path prefix of a route that exists only in this version of the configuration.
#[must_use]
pub fn version_path(version: u64) -> String {
    format!("/version-{version}/")
}

/// A configuration with the routes that a scenario uses.
fn configuration(version: u64, scenario: Scenario, roll_outs: &[RollingUpstreams]) -> Value {
    let with_engine_route = scenario.changes_weights();
    let mut document = config_document(version);
    let mut version_route = document["routes"][0].clone();
    version_route["name"] = json!(format!("version-{version}"));
    version_route["path_prefix"] = json!(version_path(version));
    let mut engine_route = document["routes"][2].clone();
    engine_route["name"] = json!("run");
    engine_route["path_prefix"] = json!(RUN_PATH);
    engine_route["service"] = json!(ENGINE_SERVICE);
    if let Some(routes) = document["routes"].as_array_mut() {
        routes.push(version_route);
        routes.extend(with_engine_route.then_some(engine_route));
    }
    let mut service = json!({ "name": ENGINE_SERVICE, "health_path": "/health",
        "max_conns": 100, "protocol": "h1", "tls": false });
    if with_engine_route {
        service = engine_services(None)[0].take();
        service["name"] = json!(ENGINE_SERVICE);
    }
    if let Some(services) = document["services"].as_array_mut() {
        services.push(service);
    }
    if scenario == Scenario::Words {
        crashing::add_route(&mut document);
    }
    if scenario == Scenario::Versions {
        versions::add_route(&mut document, versions::SERVICE);
    }
    for upstreams in roll_outs {
        versions::add_route(&mut document, &upstreams.service);
    }
    if scenario == Scenario::Parts {
        parts::add_route(&mut document);
    }
    if scenario == Scenario::Limits {
        limits::add_route(&mut document);
    }
    if scenario == Scenario::Accounts {
        accounts::configure(&mut document, version);
    }
    document
}

impl World {
    /// Starts the metadata store, upstreams, engines and boxes.
    ///
    /// # Errors
    ///
    /// Fails when an address cannot be bound.
    pub async fn start(options: Options) -> Result<Self> {
        let Options { boxes, scenario, seed, .. } = options;
        let weights_change = scenario.changes_weights();
        let mut site = Site::start().await;
        site.distinct_peer_ports = true;
        if weights_change {
            (site.lease_ms, site.weights_apply_ms) =
                (WEIGHTS_CHANGES_LEASE_MS, WEIGHTS_CHANGES_APPLY_MS);
        }
        if scenario == Scenario::Floods {
            site.box_limits = Some((floods::BOX_MEMORY_MB, floods::BOX_DESCRIPTORS));
        }
        let mut upstreams = Vec::new();
        for number in 0..UPSTREAMS {
            let process = Server::start(&format!("s-{number}")).await;
            let proxy = Proxy::start(&process.address).await?;
            site.register(&process.id, &service_entry("plain", &proxy.address, "ready"));
            upstreams.push(Proxied { process, proxy });
        }
        let mut engines = Vec::new();
        for number in 0..if weights_change { ENGINES_WITH_WEIGHTS_CHANGES } else { ENGINES } {
            let process = Engine::start().await;
            let proxy = Proxy::start(&process.address).await?;
            let entry = engine_entry(ENGINE_SERVICE, &proxy.address, MODEL, 1);
            site.register(&format!("e-{number}"), &entry);
            engines.push(Proxied { process, proxy });
        }
        site.set_weight_version(MODEL, 1);
        let crashing = if scenario == Scenario::Words {
            Some(CrashingUpstreams::start(&site).await)
        } else {
            None
        };
        let rolling = match scenario {
            Scenario::Versions => {
                let service = versions::SERVICE.to_owned();
                Some(RollingUpstreams::start(&site, service, versions::UPSTREAMS).await)
            }
            _ => None,
        };
        let roll_outs = match scenario {
            Scenario::RollOuts | Scenario::OddItems => {
                roll_outs::start(&site, options.seconds).await
            }
            _ => Vec::new(),
        };
        let limited = match scenario {
            Scenario::Limits => Some(LimitedUpstreams::start(&site).await),
            _ => None,
        };
        let prompted = match scenario {
            Scenario::Parts => Some(parts::start(&site, seed).await),
            _ => None,
        };
        let guarded = match scenario {
            Scenario::Accounts => Some(GuardedUpstreams::start(&site).await),
            _ => None,
        };
        site.configure(&configuration(1, scenario, &roll_outs));
        let newest = Mutex::new(NewestConfiguration { version: 1, stored_at: Instant::now() });
        let mut started: Vec<GatewayBox> = Vec::new();
        for number in 0..boxes {
            let metadata_proxy = Proxy::start(&site.metadata.address).await?;
            let seeds: Vec<&Gateway> =
                started.iter().take(2).map(|started| &started.process).collect();
            let hall = HALLS[number % HALLS.len()];
            let process = site.gateway_at(hall, &seeds, &metadata_proxy.address);
            let client_proxy = Proxy::start(&process.clients).await?;
            started.push(GatewayBox { process, metadata_proxy, client_proxy });
        }
        let peers: Vec<&str> =
            started.iter().map(|started| started.process.peers.as_str()).collect();
        let mesh = Mesh::start(&peers).await?;
        let weights_named_at_ms = Mutex::new(vec![now_ms()]);
        let pending_leaves = upstreams.iter().map(|_| AtomicUsize::default()).collect();
        let restarted_at_ms = upstreams.iter().map(|_| AtomicU64::default()).collect();
        Ok(Self {
            site,
            boxes: started,
            upstreams,
            engines,
            mesh,
            newest,
            weights_change,
            weights_named_at_ms,
            box_outages: Mutex::default(),
            upstream_leaves: Mutex::default(),
            pending_leaves,
            restarted_at_ms,
            crashing,
            rolling,
            roll_outs,
            prompted,
            limited,
            guarded,
            scenario,
            upstream_restarts: Mutex::default(),
        })
    }

    /// Periods in which upstreams were about to leave.
    pub fn upstream_leaves(&self) -> MutexGuard<'_, Vec<UpstreamLeave>> {
        self.upstream_leaves.lock().expect("no task panics under the lock")
    }

    /// Restarts of upstreams under the same id.
    pub fn upstream_restarts(&self) -> MutexGuard<'_, Vec<UpstreamRestart>> {
        self.upstream_restarts.lock().expect("no task panics under the lock")
    }

    /// Periods in which boxes were down.
    pub fn box_outages(&self) -> MutexGuard<'_, Vec<BoxOutage>> {
        self.box_outages.lock().expect("no task panics under the lock")
    }

    /// When each version of the weights was named, starting with version 1, in Unix
    /// milliseconds.
    pub fn weights_named_at_ms(&self) -> MutexGuard<'_, Vec<u64>> {
        self.weights_named_at_ms.lock().expect("no task panics under the lock")
    }

    /// Names the next version of the weights.
    fn name_next_weights(&self) {
        // The lock is held so that the metadata store gets the versions in ascending order.
        let mut weights_named_at_ms = self.weights_named_at_ms();
        self.site.set_weight_version(MODEL, weights_named_at_ms.len() as u64 + 1);
        weights_named_at_ms.push(now_ms());
    }

    /// The box that last became leader according to the logs.
    fn leader(&self) -> usize {
        let fence = |gateway_box: &GatewayBox| -> Option<u64> {
            let log = gateway_box.process.log_text();
            let (_, rest) = log.rsplit_once("event=leadership_taken fence=")?;
            rest.lines().next()?.parse().ok()
        };
        let fences = self.boxes.iter().map(fence).enumerate();
        fences.max_by_key(|(_, fence)| *fence).map_or(0, |(number, _)| number)
    }

    /// The number of the box with a name.
    pub fn box_named(&self, name: &str) -> Option<usize> {
        let is_named = |gateway_box: &GatewayBox| {
            gateway_box.process.log.file_stem().is_some_and(|stem| stem == name)
        };
        self.boxes.iter().position(is_named)
    }

    /// The newest stored configuration.
    pub fn newest(&self) -> NewestConfiguration {
        *self.newest.lock().expect("no task panics under the lock")
    }

    fn set_configuration(&self, step: u64) {
        // The lock is held so that the metadata store gets the versions in ascending order.
        let mut newest = self.newest.lock().expect("no task panics under the lock");
        newest.version += step;
        let document = configuration(newest.version, self.scenario, &self.roll_outs);
        if self.guarded.is_some() {
            // Boxes that start read the configuration before.
            self.site.metadata.hold_stale_reads();
        }
        self.site.configure(&document);
        newest.stored_at = Instant::now();
        if let Some(guarded) = &self.guarded {
            guarded.record_configured(newest.version);
        }
    }

    /// Engines that do not have the newest weights, with the version that they have.
    #[must_use]
    pub fn outdated_engines(&self) -> Vec<(usize, u64)> {
        let named = self.weights_named_at_ms().len() as u64;
        let versions = self.engines.iter().map(|engine| engine.process.version()).enumerate();
        versions.filter(|(_, version)| *version != named).collect()
    }

    fn publish_upstream(&self, number: usize, state: &str) {
        let upstream = &self.upstreams[number];
        let mut entry = service_entry("plain", &upstream.proxy.address, state);
        let start_ms = self.restarted_at_ms[number].load(Ordering::SeqCst);
        if start_ms > 0 {
            entry["born"] = json!(start_ms);
        }
        self.site.register(&upstream.process.id, &entry);
    }

    /// Ends all faults and restarts the boxes that are down.
    pub fn end_faults(&self) {
        self.site.metadata.set_fault(StoreFault::None);
        for gateway_box in &self.boxes {
            gateway_box.process.try_signal("-CONT");
            gateway_box.metadata_proxy.set(LinkState::Sound);
        }
        self.mesh.end_faults();
        self.start_ended_boxes();
        for engine in &self.engines {
            engine.proxy.set(LinkState::Sound);
        }
        for (number, upstream) in self.upstreams.iter().enumerate() {
            upstream.proxy.set(LinkState::Sound);
            self.publish_upstream(number, "ready");
        }
    }

    fn start_ended_boxes(&self) {
        for gateway_box in &self.boxes {
            gateway_box.process.restart_if_exited();
        }
    }
}
