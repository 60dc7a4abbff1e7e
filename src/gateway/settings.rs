//! Settings of a gateway: an INI file, all of whose errors are reported together.
//!
//! The bounds are durations, since each deadline counts from its own event. Their defaults are
//! the figures of the smallest known deployment.

use std::collections::BTreeMap;
use std::net::{IpAddr, SocketAddr};

use crate::client_connections::memory_limits;
use crate::error::Result;
use crate::gateway::decisions::cold_start::ColdTolerance;
use crate::ini_file::IniFile;
use crate::platform::SLOW_READERS_CONTRACT;
use crate::request_memory::MemoryLimits;

/// Default time between SIGTERM and SIGKILL.
const DEFAULT_STOP_MS: u64 = 8000;
/// Default number of retries allowed per request.
const DEFAULT_RETRY_RATIO: f64 = 0.1;
/// Default window of the retry budget.
const DEFAULT_RETRY_WINDOW_MS: u64 = 10_000;
/// Default number of retries allowed per window in addition to the ratio.
const DEFAULT_RETRY_EXTRA: f64 = 10.0;
/// Default minimum time between orders of two leaders to the same target.
const DEFAULT_LEASE_MS: u64 = 3000;
/// Default time in which a change of the configuration must be in force.
const DEFAULT_CHANGE_APPLY_MS: u64 = 2000;
/// Default time after which a leaving upstream must get no more requests.
const DEFAULT_DEPARTURE_APPLY_MS: u64 = 2000;
/// Default interval of the upstreams' heartbeats.
const DEFAULT_HEARTBEAT_MS: u64 = 1200;
/// Default time in which all engines must have a new weight version.
const DEFAULT_WEIGHTS_APPLY_MS: u64 = 10_000;
/// Default multiple of the rate that a cold upstream can take.
const DEFAULT_COLD_RATIO: f64 = 1.0;

/// Default memory of the box.
const DEFAULT_MEMORY_MB: usize = 110;
/// Default bandwidth of the box's link.
const DEFAULT_LINK_MBPS: f64 = 1000.0;

/// Upper limit for durations: a day.
const MAX_DURATION_MS: f64 = 86_400_000.0;

/// Settings of a gateway.
#[derive(Clone, Debug, PartialEq)]
pub struct Settings {
    /// Name of the box.
    pub name: String,
    /// Data hall of the box.
    pub hall: String,
    /// Regions of all data halls, by the names of the halls; empty if they are not known.
    pub regions: BTreeMap<String, String>,
    /// Address at which it accepts client requests.
    pub clients: SocketAddr,
    /// Address at which the load balancer checks whether it accepts new connections.
    pub ready: SocketAddr,
    /// Address at which it accepts messages of peers, by UDP and TCP.
    pub peers: SocketAddr,
    /// Address at which it keeps tunnels for peers; all boxes use the same port.
    pub tunnels: SocketAddr,
    /// Address at which metrics are served, if they are.
    pub metrics: Option<SocketAddr>,
    /// Addresses of boxes from which it learns of the other ones.
    pub seeds: Vec<IpAddr>,
    /// Addresses to dial instead of those of upstreams and context stores, for example those of
    /// proxies.
    pub dial_addresses: BTreeMap<SocketAddr, SocketAddr>,
    /// CPU share of the box, in cores.
    pub cores: f64,
    /// Bandwidth of the box's link.
    pub link_mbps: f64,
    /// Most that connections and requests of clients hold together.
    pub memory_limits: MemoryLimits,
    /// Address of the platform's metadata store.
    pub metadata_address: String,
    /// Service bounds that the deployment requires.
    pub bounds: Bounds,
    /// Whether clients, or upstreams, may read slowly, so that what is buffered for them is bounded.
    pub slow_readers: bool,
    /// Bytes that the system keeps in each direction of a connection; `None` for its defaults.
    pub socket_buffer_bytes: Option<usize>,
}

/// Service bounds that the deployment requires.
#[derive(Clone, Debug, PartialEq)]
pub struct Bounds {
    /// Time between SIGTERM and SIGKILL.
    pub stop_ms: u64,
    /// Number of retries allowed per request to a service, over the whole fleet.
    pub retry_ratio: f64,
    /// Window of the retry budget.
    pub retry_window_ms: u64,
    /// Number of retries allowed per window in addition to the ratio, over the whole fleet.
    pub retry_extra: f64,
    /// Minimum time between orders of two leaders to the same target.
    pub lease_ms: u64,
    /// Time in which a change of the configuration must be in force.
    pub change_apply_ms: u64,
    /// By how much that time grows for a box that runs while the metadata store does not serve it.
    pub change_stretch_ms: u64,
    /// Time after which a leaving upstream must get no more requests.
    pub departure_apply_ms: u64,
    /// Interval at which upstreams renew their entries in the metadata store.
    pub heartbeat_ms: u64,
    /// Time in which all engines must have a new weight version.
    pub weights_apply_ms: u64,
    /// How far the requests to a cold upstream may exceed the rate that it can take.
    pub cold_tolerance: ColdTolerance,
}

impl Settings {
    /// Parses settings from the text of `file`.
    ///
    /// # Errors
    /// Fails with a list of all errors found.
    pub fn parse(file: &str, text: &str) -> Result<Self> {
        let mut reader = IniFile::read(file, text);
        reader.check_known_names(known_keys);
        let unspecified: SocketAddr = ([127, 0, 0, 1], 0).into();
        let metrics: SocketAddr = reader.optional("box", "metrics", unspecified);
        let peers = required_address(&mut reader, "peers");
        let next_port = SocketAddr::new(peers.ip(), peers.port().wrapping_add(1));
        let settings = Self {
            name: reader.required("box", "name"),
            hall: reader.required("box", "hall"),
            regions: regions(&mut reader),
            clients: required_address(&mut reader, "clients"),
            ready: required_address(&mut reader, "ready"),
            peers,
            tunnels: reader.optional("box", "tunnels", next_port),
            metrics: (metrics.port() != 0).then_some(metrics),
            seeds: seeds(&mut reader),
            dial_addresses: dial_addresses(&mut reader),
            cores: reader.optional("box", "cores", 1.0),
            link_mbps: link_mbps(&mut reader),
            memory_limits: memory_limits(&mut reader, "box", DEFAULT_MEMORY_MB),
            metadata_address: reader.required("platform", "address"),
            bounds: bounds(&mut reader),
            slow_readers: slow_readers(&mut reader),
            socket_buffer_bytes: socket_buffer_bytes(&mut reader),
        };
        reader.finish(settings)
    }

    /// The address to dial for an upstream or a context store at `address`.
    #[must_use]
    pub fn dial_address(&self, address: SocketAddr) -> SocketAddr {
        self.dial_addresses.get(&address).copied().unwrap_or(address)
    }
}

fn link_mbps(reader: &mut IniFile<'_>) -> f64 {
    let link_mbps = reader.optional("box", "link_mbps", DEFAULT_LINK_MBPS);
    if link_mbps > 0.0 {
        return link_mbps;
    }
    reader.add_finding("box", "link_mbps", "link_mbps: not a bandwidth".to_owned());
    DEFAULT_LINK_MBPS
}

fn bounds(reader: &mut IniFile<'_>) -> Bounds {
    Bounds {
        stop_ms: duration_ms(reader, "stop_s", 1000.0, DEFAULT_STOP_MS),
        retry_ratio: reader.optional("bounds", "retry_ratio", DEFAULT_RETRY_RATIO),
        retry_window_ms: duration_ms(reader, "retry_window_s", 1000.0, DEFAULT_RETRY_WINDOW_MS),
        retry_extra: reader.optional("bounds", "retry_extra", DEFAULT_RETRY_EXTRA),
        lease_ms: duration_ms(reader, "lease_ms", 1.0, DEFAULT_LEASE_MS),
        change_apply_ms: duration_ms(reader, "change_apply_ms", 1.0, DEFAULT_CHANGE_APPLY_MS),
        change_stretch_ms: duration_ms(reader, "change_stretch_ms", 1.0, 0),
        departure_apply_ms: duration_ms(
            reader,
            "departure_apply_ms",
            1.0,
            DEFAULT_DEPARTURE_APPLY_MS,
        ),
        heartbeat_ms: duration_ms(reader, "heartbeat_ms", 1.0, DEFAULT_HEARTBEAT_MS),
        weights_apply_ms: duration_ms(reader, "weights_apply_ms", 1.0, DEFAULT_WEIGHTS_APPLY_MS),
        cold_tolerance: ColdTolerance {
            ratio: reader.optional("bounds", "cold_ratio", DEFAULT_COLD_RATIO),
            extra: reader.optional("bounds", "cold_extra", 0.0),
        },
    }
}

/// Reads whether there are slow readers: `true`, or a list of contracts that names it, since the
/// template cannot compare.
fn slow_readers(reader: &mut IniFile<'_>) -> bool {
    let values = reader.list("load", "slow_readers");
    values.iter().any(|value| value == "true" || value == SLOW_READERS_CONTRACT)
}

fn socket_buffer_bytes(reader: &mut IniFile<'_>) -> Option<usize> {
    reader.text("load", "socket_buffer_kb")?;
    let kilobytes: usize = reader.optional("load", "socket_buffer_kb", 0);
    (kilobytes > 0).then_some(kilobytes << 10)
}

/// Reads a duration that is given in units of `unit_ms` and may have a fraction; returns
/// milliseconds.
fn duration_ms(reader: &mut IniFile<'_>, key: &str, unit_ms: f64, default_ms: u64) -> u64 {
    if reader.text("bounds", key).is_none() {
        return default_ms;
    }
    let duration_ms = reader.optional("bounds", key, 0.0) * unit_ms;
    if !(0.0..MAX_DURATION_MS).contains(&duration_ms) {
        reader.add_finding("bounds", key, format!("{key}: not a valid duration"));
        return default_ms;
    }
    #[expect(clippy::cast_possible_truncation, clippy::cast_sign_loss, reason = "checked above")]
    let duration_ms = duration_ms.round() as u64;
    duration_ms
}

fn required_address(reader: &mut IniFile<'_>, key: &str) -> SocketAddr {
    let unspecified: SocketAddr = ([127, 0, 0, 1], 0).into();
    if reader.text("box", key).is_none() {
        reader.add_finding("box", "", format!("[box] has no {key}"));
        return unspecified;
    }
    reader.optional("box", key, unspecified)
}

/// Reads the addresses of the seeds; ports are accepted and ignored.
fn seeds(reader: &mut IniFile<'_>) -> Vec<IpAddr> {
    let mut seeds = Vec::new();
    for seed in reader.list("box", "seeds") {
        let host = seed.rsplit_once(':').map_or(seed.as_str(), |(host, _)| host);
        match host.parse() {
            Ok(address) => seeds.push(address),
            Err(_) => {
                reader.add_finding("box", "seeds", format!("seeds: invalid address '{seed}'"));
            }
        }
    }
    seeds
}

/// Reads the addresses to dial instead of upstreams' own, each as `address>target`.
fn dial_addresses(reader: &mut IniFile<'_>) -> BTreeMap<SocketAddr, SocketAddr> {
    let mut dial_addresses = BTreeMap::new();
    for pair in reader.list("box", "routes") {
        let parsed =
            pair.split_once('>').map(|(address, target)| (address.parse(), target.parse()));
        if let Some((Ok(address), Ok(target))) = parsed {
            dial_addresses.insert(address, target);
        } else {
            let text = format!("routes: '{pair}' is not of the form address>target");
            reader.add_finding("box", "routes", text);
        }
    }
    dial_addresses
}

/// Reads the regions of the data halls, each as `hall:region`.
fn regions(reader: &mut IniFile<'_>) -> BTreeMap<String, String> {
    let mut regions = BTreeMap::new();
    for item in reader.list("box", "regions") {
        if let Some((hall, region)) = item.split_once(':') {
            regions.insert(hall.to_owned(), region.to_owned());
        } else {
            reader.add_finding("box", "regions", format!("regions: '{item}' names no region"));
        }
    }
    regions
}

/// The keys that a section may have.
fn known_keys(section: &str) -> &'static [&'static str] {
    match section {
        "box" => &[
            "name",
            "hall",
            "regions",
            "clients",
            "ready",
            "peers",
            "tunnels",
            "metrics",
            "seeds",
            "routes",
            "cores",
            "link_mbps",
            "memory_mb",
            "max_descriptors",
        ],
        "platform" => &["address"],
        "load" => &["slow_readers", "socket_buffer_kb"],
        "bounds" => &[
            "stop_s",
            "retry_ratio",
            "retry_window_s",
            "retry_extra",
            "lease_ms",
            "change_apply_ms",
            "change_stretch_ms",
            "departure_apply_ms",
            "heartbeat_ms",
            "weights_apply_ms",
            "cold_ratio",
            "cold_extra",
        ],
        _ => &[],
    }
}
