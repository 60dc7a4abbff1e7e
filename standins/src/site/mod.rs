//! Stand-in for the platform around the gateways: a metadata store and
//! upstreams. The gateways run as real processes with generated settings.
//!
//! Everything but the gateways runs inside the test process, so that a test can
//! inspect the requests that arrived and control the answers.

pub mod client;
pub mod crashing_pool;
pub mod engine;
pub mod event_stream;
pub mod fault_proxy;
pub mod http;
pub mod metadata;
pub mod server;

use std::fs::File;
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Stdio};
use std::sync::Mutex;
use std::time::{Duration, Instant};

use serde_json::{Value, json};

use crate::fleet::program_dir;
use crate::loopback::Network;
use metadata::Metadata;

/// Time within which a condition that a test waits for must hold.
const WAIT_TIMEOUT: Duration = Duration::from_secs(20);
/// Interval at which such a condition is checked.
const POLL_PERIOD: Duration = Duration::from_millis(10);

/// Port of each gateway for clients. Like the other fixed ports it is below the
/// ephemeral range, so that the system assigns it to no other socket.
const CLIENTS_PORT: u16 = 8000;
/// Port of each gateway for readiness probes of the load balancer in front of it.
const READY_PORT: u16 = 8001;
/// Port of each gateway for its peers; the first of several if those are distinct.
const PEERS_PORT: u16 = 7000;
const TUNNELS_PORT: u16 = 7600;

/// A gateway process.
pub struct Gateway {
    child: Mutex<Child>,
    settings: PathBuf,
    /// Address for clients.
    pub clients: String,
    /// Address for readiness probes.
    pub ready: String,
    /// Address for peers.
    pub peers: String,
    /// Path of its log file.
    pub log: PathBuf,
}

impl Gateway {
    /// Sends a signal, given as an option of `kill`, such as `-9`.
    ///
    /// # Panics
    /// Panics when it cannot be sent.
    pub fn signal(&self, name: &str) {
        assert!(send_signal(name, self.pid()), "{name}");
    }

    /// Process id.
    ///
    /// # Panics
    /// Panics when a task has panicked under the lock.
    #[must_use]
    pub fn pid(&self) -> u32 {
        self.child.lock().expect("child").id()
    }

    /// Sends a signal to the process if it still runs.
    ///
    /// # Panics
    /// Panics when the state of the process cannot be read.
    pub fn try_signal(&self, name: &str) {
        // The lock keeps other threads from reaping the process, after which its id could be
        // reused by another process.
        let mut child = self.child.lock().expect("child");
        if child.try_wait().expect("child").is_none() {
            assert!(send_signal(name, child.id()), "{name}");
        }
    }

    /// Starts the process again with the same settings if it has exited.
    ///
    /// # Panics
    /// Panics when it cannot be started.
    pub fn restart_if_exited(&self) {
        let mut child = self.child.lock().expect("child");
        if child.try_wait().expect("child").is_some() {
            let out = File::options().append(true).open(&self.log).expect("log");
            *child = spawn_gateway(&self.settings, out);
        }
    }

    /// Waits until the process exits; returns its exit code, or `None` if a signal ended it.
    ///
    /// # Panics
    /// Panics when it does not exit in time.
    pub async fn wait_for_exit(&mut self) -> Option<i32> {
        let until = Instant::now() + WAIT_TIMEOUT;
        loop {
            if let Some(status) = self.child.get_mut().expect("child").try_wait().expect("child") {
                return status.code();
            }
            assert!(Instant::now() < until, "the gateway does not exit");
            tokio::time::sleep(POLL_PERIOD).await;
        }
    }

    /// Whether the process runs.
    ///
    /// # Panics
    /// Panics when the state of the process cannot be read.
    #[must_use]
    pub fn is_alive(&self) -> bool {
        self.child.lock().expect("child").try_wait().expect("child").is_none()
    }

    /// Text of the log so far.
    #[must_use]
    pub fn log_text(&self) -> String {
        std::fs::read_to_string(&self.log).unwrap_or_default()
    }
}

impl Drop for Gateway {
    fn drop(&mut self) {
        // The process may have exited already.
        if let Ok(child) = self.child.get_mut() {
            let _ = child.kill();
            let _ = child.wait();
        }
    }
}

/// The platform that a test runs gateways on.
pub struct Site {
    /// Metadata store of the platform.
    pub metadata: Metadata,
    /// Setting `retry_extra` of gateways started from now on: retries per window that are
    /// allowed in addition to the ratio.
    pub retry_extra: u32,
    /// Whether each gateway started from now on listens for peers on a distinct port. It then
    /// calls its peers at that port of their IP addresses, where a proxy can listen.
    pub distinct_peer_ports: bool,
    /// Setting `weights_apply_ms` of gateways started from now on: time within which engines
    /// are to have the weight version that an operator set.
    pub weights_apply_ms: u64,
    /// Setting `lease_ms` of gateways started from now on: time that must pass between the
    /// orders of two leaders.
    pub lease_ms: u64,
    /// Setting `departure_apply_ms` of gateways started from now on: time for which an upstream serves
    /// after it has announced its departure.
    pub departure_apply_ms: u64,
    /// Setting `change_stretch_ms` of gateways started from now on: by how much the time in which a change
    /// must be in force grows while the metadata store does not serve them. Omitted if it is 0.
    pub change_stretch_ms: u64,
    /// Setting `cold_extra` of gateways started from now on: requests per second that a cold
    /// upstream may get in addition to those that it can take.
    pub cold_extra: f64,
    /// Setting `regions` of gateways started from now on: `hall:region`, separated by commas.
    pub regions: String,
    /// Setting `routes` of gateways started from now on: `address>target`, separated by commas, where
    /// `target` is dialled instead of an upstream's address.
    pub routes: String,
    /// Setting `[load] slow_readers` of gateways started from now on, if they get one.
    pub slow_readers: Option<&'static str>,
    /// Settings `memory_mb` and `max_descriptors` of gateways started from now on, if they get them.
    pub box_limits: Option<(u64, u64)>,
    folder: PathBuf,
    network: Network,
    next_box: u8,
}

impl Site {
    /// Starts an empty platform.
    ///
    /// # Panics
    /// Panics when the folder cannot be created or no port can be bound.
    pub async fn start() -> Self {
        let name = format!("coursestile-site-{}-{:08x}", std::process::id(), fastrand::u32(..));
        let folder = std::env::temp_dir().join(name);
        std::fs::create_dir_all(&folder).expect("folder");
        let metadata = Metadata::start().await;
        let network = Network::reserve();
        Self {
            metadata,
            retry_extra: 1_000_000,
            distinct_peer_ports: false,
            weights_apply_ms: 10_000,
            lease_ms: 1000,
            departure_apply_ms: 2000,
            change_stretch_ms: 0,
            cold_extra: 0.0,
            regions: String::new(),
            routes: String::new(),
            slow_readers: None,
            box_limits: None,
            folder,
            network,
            next_box: 10,
        }
    }

    /// Starts a gateway with `seeds` as its first peers.
    ///
    /// # Panics
    /// Panics when it cannot be started.
    pub fn gateway(&mut self, hall: &str, seeds: &[&Gateway]) -> Gateway {
        let metadata = self.metadata.address.clone();
        self.gateway_at(hall, seeds, &metadata)
    }

    /// As `gateway`, with the metadata store at the address `metadata`.
    ///
    /// # Panics
    /// Panics when it cannot be started.
    pub fn gateway_at(&mut self, hall: &str, seeds: &[&Gateway], metadata: &str) -> Gateway {
        self.next_box += 1;
        let ip = format!("{}.{}", self.network.prefix(), self.next_box);
        let name = format!("{hall}-{}", self.next_box);
        let clients = format!("{ip}:{CLIENTS_PORT}");
        let ready = format!("{ip}:{READY_PORT}");
        let port_offset = if self.distinct_peer_ports { u16::from(self.next_box) } else { 0 };
        let peers = format!("{ip}:{}", PEERS_PORT + port_offset);
        let tunnels = format!("{ip}:{TUNNELS_PORT}");
        let seeds: Vec<&str> = seeds.iter().map(|seed| seed.peers.as_str()).collect();
        let box_limits = self.box_limits.map_or_else(String::new, |(memory_mb, descriptors)| {
            format!("memory_mb = {memory_mb}\nmax_descriptors = {descriptors}\n")
        });
        let settings = format!(
            "[box]\n{box_limits}name = {name}\nhall = {hall}\nclients = {clients}\nready = {ready}\n\
             peers = {peers}\ntunnels = {tunnels}\nregions = {}\nroutes = {}\nseeds = {}\n[platform]\naddress = {}\n\
             [bounds]\nstop_s = 8\nretry_ratio = 0.2\nretry_extra = {}\nlease_ms = {}\n\
             weights_apply_ms = {}\ndeparture_apply_ms = {}\ncold_extra = {}\n{}{}",
            self.regions,
            self.routes,
            seeds.join(","),
            metadata,
            self.retry_extra,
            self.lease_ms,
            self.weights_apply_ms,
            self.departure_apply_ms,
            self.cold_extra,
            if self.change_stretch_ms > 0 {
                format!("change_stretch_ms = {}\n", self.change_stretch_ms)
            } else {
                String::new()
            },
            self.slow_readers.map_or_else(String::new, |value| {
                format!("[load]\nslow_readers = {value}\nsocket_buffer_kb = 32\n")
            }),
        );
        let path = self.folder.join(format!("{name}.ini"));
        std::fs::write(&path, settings).expect("settings");
        let log = self.folder.join(format!("{name}.log"));
        let child = spawn_gateway(&path, File::create(&log).expect("log"));
        Gateway { child: Mutex::new(child), settings: path, clients, ready, peers, log }
    }

    /// Folder of settings and logs; it is removed when the site is dropped.
    #[must_use]
    pub fn folder(&self) -> &Path {
        &self.folder
    }

    /// Writes the configuration to the metadata store, as an operator does.
    pub fn configure(&self, document: &Value) {
        self.metadata.put("op/config", document.to_string().as_bytes(), 0);
    }

    /// Writes the weight version that engines of `model` are to have, as an operator does.
    pub fn set_weight_version(&self, model: &str, version: u64) {
        let body = json!({ "model": model, "version": version });
        self.metadata.put(&format!("op/version/{model}"), body.to_string().as_bytes(), 0);
    }

    /// Writes an upstream's entry to the metadata store, as the upstream does itself.
    pub fn register(&self, id: &str, entry: &Value) {
        self.metadata.put(&format!("servers/{id}"), entry.to_string().as_bytes(), 0);
    }

    /// Removes an upstream's entry from the metadata store.
    pub fn deregister(&self, id: &str) {
        self.metadata.remove(&format!("servers/{id}"));
    }
}

impl Drop for Site {
    fn drop(&mut self) {
        // Files that are left over lie in the system's temporary folder.
        let _ = std::fs::remove_dir_all(&self.folder);
    }
}

/// Sends a signal, given as an option of `kill`; returns whether it was sent.
fn send_signal(name: &str, pid: u32) -> bool {
    let status = Command::new("kill").args([name, &pid.to_string()]).status();
    status.expect("kill").success()
}

/// Starts a gateway that logs to `out`.
fn spawn_gateway(settings: &Path, out: File) -> Child {
    Command::new(program_dir().join("coursestile-gateway"))
        .args(["--log", "debug"])
        .arg(settings)
        .stdin(Stdio::null())
        .stdout(out.try_clone().expect("log"))
        .stderr(out)
        .spawn()
        .expect("gateway")
}

/// Metadata entry of an upstream of a plain service.
#[must_use]
pub fn service_entry(service: &str, address: &str, state: &str) -> Value {
    json!({ "service": service, "addr": address, "zone": "north", "version": "v1",
        "slots": 8, "state": state, "cold_left_ms": 0, "seq": 1 })
}

/// Metadata entry of a ready model engine.
#[must_use]
pub fn engine_entry(service: &str, address: &str, model: &str, version: u64) -> Value {
    let mut entry = service_entry(service, address, "ready");
    entry["models"] = json!([{ "name": model, "version": version, "adapters": [] }]);
    entry
}

/// Configuration with a route of each kind to the service `plain`, and the
/// account `petra` with the API key `key-1`.
#[must_use]
pub fn config_document(version: u64) -> Value {
    let route = |name: &str, kind: &str, attempts: u32, resumable: bool| {
        json!({ "name": name, "host": "api.example", "path_prefix": format!("/{name}/"),
            "kind": kind, "timeout_ms": 3000, "slo_ms": 400, "priority": 1, "service": "plain",
            "max_attempts": attempts, "public": false, "resumable": resumable,
            "gap_aim_ms": 300 })
    };
    json!({
        "version": version,
        "a_field_of_later": { "unknown": true },
        "routes": [
            route("safe", "safe", 3, false),
            route("once", "unsafe", 2, false),
            route("stream", "streaming", 1, false),
            route("resume", "streaming", 3, true),
        ],
        "services": [{ "name": "plain", "health_path": "/health", "max_conns": 100,
            "protocol": "h1", "tls": false }],
        "limits": { "max_header_bytes": 16384, "max_body_bytes": 20000,
            "header_timeout_ms": 1000, "idle_timeout_ms": 5000 },
        "tenants": [{ "name": "petra", "api_keys": ["key-1"], "priority": 1 }],
    })
}

/// Services for a configuration: the engine pool `llm` and, if an address is given, the
/// context store `vault` at that address.
#[must_use]
pub fn engine_services(store: Option<&str>) -> Value {
    let mut services = vec![json!({ "name": "llm", "max_conns": 100, "engine": { "slots": 8,
        "kv_capacity": 40000, "kv_token_bytes": 18432, "link_mbps": 100_000, "managed": true,
        "models": [{ "name": engine::MODEL }] } })];
    if let Some(address) = store {
        services.push(json!({ "name": "vault", "kv_store": address, "zone": "north",
            "kv_capacity": 100_000, "link_mbps": 100_000, "managed": true, "first_ms": 1 }));
    }
    services.into()
}

/// Waits until `holds` returns true; `what` names the condition in the panic message.
///
/// # Panics
/// Panics when it does not within 20 s.
pub async fn eventually(what: &str, mut holds: impl AsyncFnMut() -> bool) {
    let until = Instant::now() + WAIT_TIMEOUT;
    while !holds().await {
        assert!(Instant::now() < until, "timed out waiting for: {what}");
        tokio::time::sleep(POLL_PERIOD).await;
    }
}
