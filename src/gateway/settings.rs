//! Settings of a gateway: an INI file, checked whole.
//!
//! Bounds hold durations, since a deadline begins with the event that it
//! belongs to. Each default is the figure of the smallest known deployment.

use std::net::{IpAddr, SocketAddr};

use crate::error::Result;
use crate::ini_file::IniFile;

/// Time between SIGTERM and SIGKILL, by default.
const DEFAULT_STOP_MS: u64 = 8000;
/// Repeats allowed for each request, by default.
const DEFAULT_RETRY_RATIO: f64 = 0.1;
/// Window of the retry budget, by default.
const DEFAULT_RETRY_WINDOW_MS: u64 = 10_000;
/// Repeats allowed in a window beside the ratio, by default.
const DEFAULT_RETRY_EXTRA: f64 = 10.0;
/// Time for which orders of two holders must not follow each other, by default.
const DEFAULT_LEASE_MS: u64 = 3000;
/// Time in which a change of the configuration must be in force, by default.
const DEFAULT_CHANGE_APPLY_MS: u64 = 2000;
/// Time after which an upstream that leaves must get nothing more, by default.
const DEFAULT_DEPARTURE_APPLY_MS: u64 = 2000;
/// Period of upstreams' signs of life, by default.
const DEFAULT_HEARTBEAT_MS: u64 = 1200;
/// Time in which a new weight version must be everywhere, by default.
const DEFAULT_WEIGHTS_APPLY_MS: u64 = 10_000;

/// Longest duration that is taken for one: a day.
const MAX_DURATION_MS: f64 = 86_400_000.0;

/// Settings of a gateway.
#[derive(Clone, Debug, PartialEq)]
pub struct Settings {
    /// Name of the box.
    pub name: String,
    /// Data hall.
    pub hall: String,
    /// Where clients reach it.
    pub clients: SocketAddr,
    /// Where the balancer asks whether it takes new connections.
    pub ready: SocketAddr,
    /// Where peers reach it, by datagram and by TCP.
    pub peers: SocketAddr,
    /// Where metrics are read, when they are.
    pub metrics: Option<SocketAddr>,
    /// Addresses of boxes from which to learn the others.
    pub seeds: Vec<IpAddr>,
    /// Processor share of the box, in cores.
    pub cores: f64,
    /// Where the platform's metadata store listens.
    pub metadata_address: String,
    /// Bounds that the deployment asks for.
    pub bounds: Bounds,
}

/// Bounds that the deployment asks for.
#[derive(Clone, Debug, PartialEq)]
pub struct Bounds {
    /// Time between SIGTERM and SIGKILL.
    pub stop_ms: u64,
    /// Repeats allowed for each request to a service, over the whole fleet.
    pub retry_ratio: f64,
    /// Window of the retry budget.
    pub retry_window_ms: u64,
    /// Repeats allowed in a window beside the ratio, over the whole fleet.
    pub retry_extra: f64,
    /// Time for which orders of two holders must not follow each other.
    pub lease_ms: u64,
    /// Time in which a change of the configuration must be in force.
    pub change_apply_ms: u64,
    /// Time after which an upstream that leaves must get nothing more.
    pub departure_apply_ms: u64,
    /// Period of upstreams' signs of life at the metadata store.
    pub heartbeat_ms: u64,
    /// Time in which a new weight version must be everywhere.
    pub weights_apply_ms: u64,
}

impl Settings {
    /// Reads settings from the text of `file`.
    ///
    /// # Errors
    /// Fails with every finding.
    pub fn parse(file: &str, text: &str) -> Result<Self> {
        let mut reader = IniFile::read(file, text);
        reader.check_names(known_keys);
        let unset: SocketAddr = ([127, 0, 0, 1], 0).into();
        let metrics: SocketAddr = reader.optional("box", "metrics", unset);
        let settings = Self {
            name: reader.required("box", "name"),
            hall: reader.required("box", "hall"),
            clients: required_address(&mut reader, "clients"),
            ready: required_address(&mut reader, "ready"),
            peers: required_address(&mut reader, "peers"),
            metrics: (metrics.port() != 0).then_some(metrics),
            seeds: seeds(&mut reader),
            cores: reader.optional("box", "cores", 1.0),
            metadata_address: reader.required("platform", "address"),
            bounds: bounds(&mut reader),
        };
        reader.finish(settings)
    }
}

fn bounds(reader: &mut IniFile<'_>) -> Bounds {
    Bounds {
        stop_ms: duration_ms(reader, "stop_s", 1000.0, DEFAULT_STOP_MS),
        retry_ratio: reader.optional("bounds", "retry_ratio", DEFAULT_RETRY_RATIO),
        retry_window_ms: duration_ms(reader, "retry_window_s", 1000.0, DEFAULT_RETRY_WINDOW_MS),
        retry_extra: reader.optional("bounds", "retry_extra", DEFAULT_RETRY_EXTRA),
        lease_ms: duration_ms(reader, "lease_ms", 1.0, DEFAULT_LEASE_MS),
        change_apply_ms: duration_ms(reader, "change_apply_ms", 1.0, DEFAULT_CHANGE_APPLY_MS),
        departure_apply_ms: duration_ms(
            reader,
            "departure_apply_ms",
            1.0,
            DEFAULT_DEPARTURE_APPLY_MS,
        ),
        heartbeat_ms: duration_ms(reader, "heartbeat_ms", 1.0, DEFAULT_HEARTBEAT_MS),
        weights_apply_ms: duration_ms(reader, "weights_apply_ms", 1.0, DEFAULT_WEIGHTS_APPLY_MS),
    }
}

/// A duration in milliseconds, given in units of `unit_ms`; fractions count.
fn duration_ms(reader: &mut IniFile<'_>, key: &str, unit_ms: f64, default_ms: u64) -> u64 {
    if reader.text("bounds", key).is_none() {
        return default_ms;
    }
    let duration_ms = reader.optional("bounds", key, 0.0) * unit_ms;
    if !(0.0..MAX_DURATION_MS).contains(&duration_ms) {
        reader.find_at("bounds", key, format!("{key}: it is no duration"));
        return default_ms;
    }
    #[expect(clippy::cast_possible_truncation, clippy::cast_sign_loss, reason = "checked above")]
    let duration_ms = duration_ms.round() as u64;
    duration_ms
}

fn required_address(reader: &mut IniFile<'_>, key: &str) -> SocketAddr {
    let unset: SocketAddr = ([127, 0, 0, 1], 0).into();
    if reader.text("box", key).is_none() {
        reader.find_at("box", "", format!("[box] has no {key}"));
        return unset;
    }
    reader.optional("box", key, unset)
}

/// The seeds' addresses; a port beside one is of no use and is dropped.
fn seeds(reader: &mut IniFile<'_>) -> Vec<IpAddr> {
    let mut seeds = Vec::new();
    for seed in reader.list("box", "seeds") {
        let host = seed.rsplit_once(':').map_or(seed.as_str(), |(host, _)| host);
        match host.parse() {
            Ok(address) => seeds.push(address),
            Err(_) => reader.find_at("box", "seeds", format!("seeds: '{seed}' is no address")),
        }
    }
    seeds
}

fn known_keys(section: &str) -> &'static [&'static str] {
    match section {
        "box" => &["name", "hall", "clients", "ready", "peers", "metrics", "seeds", "cores"],
        "platform" => &["address"],
        "bounds" => &[
            "stop_s",
            "retry_ratio",
            "retry_window_s",
            "retry_extra",
            "lease_ms",
            "change_apply_ms",
            "departure_apply_ms",
            "heartbeat_ms",
            "weights_apply_ms",
        ],
        _ => &[],
    }
}
