//! Decodes the operators' configuration document and the named weight versions.
//!
//! Unknown fields are ignored.

use std::net::SocketAddr;

use serde::de::Error as _;
use serde::{Deserialize, Deserializer};

use crate::gateway::decisions::cold_start::ColdStart;
use crate::gateway::decisions::configuration::{
    Account, ClientLimits, Configuration, EngineSpec, RetryPolicy, Route, Service, Store, Target,
};

/// Timeout of requests on a route without one.
const DEFAULT_TIMEOUT_MS: u64 = 30_000;
/// Latency objective of a route without one.
const DEFAULT_LATENCY_OBJECTIVE_MS: u64 = 1000;
/// Highest version that is read. Versions never go back, so that a higher one, which nobody can raise,
/// would keep all later ones from coming into force.
const MAX_VERSION: u64 = 1 << 53;
/// Weight of an account without one, or with one that is not positive.
const DEFAULT_ACCOUNT_WEIGHT: f64 = 1.0;

#[derive(Deserialize)]
struct Document {
    #[serde(deserialize_with = "version")]
    version: u64,
    #[serde(default)]
    routes: Vec<DocumentRoute>,
    #[serde(default)]
    services: Vec<DocumentService>,
    limits: Option<DocumentLimits>,
    /// Client accounts.
    #[serde(default)]
    tenants: Vec<DocumentAccount>,
}

#[derive(Deserialize)]
struct DocumentRoute {
    name: String,
    host: String,
    path_prefix: String,
    kind: DocumentKind,
    #[serde(default)]
    timeout_ms: Option<f64>,
    /// Latency objective: time within which the answer, or its first event, should arrive.
    slo_ms: Option<f64>,
    #[serde(default)]
    priority: u8,
    service: Option<String>,
    #[serde(default)]
    split: Vec<DocumentTarget>,
    #[serde(default = "one")]
    max_attempts: u32,
    #[serde(default)]
    public: bool,
    #[serde(default)]
    resumable: bool,
    #[serde(default)]
    allowed_regions: Vec<String>,
}

#[derive(Deserialize)]
#[serde(rename_all = "lowercase")]
enum DocumentKind {
    Safe,
    Unsafe,
    Streaming,
}

#[derive(Deserialize)]
struct DocumentTarget {
    service: String,
    weight: f64,
}

/// A service that upstreams provide, or one context store.
#[derive(Deserialize)]
struct DocumentService {
    name: String,
    #[serde(default)]
    max_conns: Option<u32>,
    #[serde(default)]
    cold_start_s: f64,
    #[serde(default)]
    cold_per_s: f64,
    engine: Option<DocumentEngine>,
    /// Address of the context store; absent for a service.
    kv_store: Option<SocketAddr>,
    #[serde(default)]
    zone: String,
    #[serde(default)]
    kv_capacity: u64,
    #[serde(default)]
    link_mbps: f64,
    #[serde(default)]
    first_ms: f64,
    #[serde(default)]
    managed: bool,
}

#[derive(Deserialize)]
struct DocumentEngine {
    #[serde(default)]
    slots: u32,
    /// Number of tokens that fit into its memory, both in use and cached.
    #[serde(default)]
    kv_capacity: u64,
    #[serde(default)]
    kv_token_bytes: f64,
    #[serde(default)]
    link_mbps: f64,
    /// Whether requests may name a source of context for each part of the prompt.
    #[serde(default)]
    managed: bool,
}

#[derive(Deserialize)]
struct DocumentLimits {
    max_header_bytes: Option<usize>,
    max_body_bytes: Option<usize>,
    header_timeout_ms: Option<f64>,
    idle_timeout_ms: Option<f64>,
}

#[derive(Deserialize)]
struct DocumentAccount {
    name: String,
    #[serde(default)]
    api_keys: Vec<String>,
    priority: Option<u8>,
    #[serde(default)]
    isolated: bool,
    #[serde(default)]
    allowed_regions: Vec<String>,
    weight: Option<f64>,
}

#[derive(Deserialize)]
struct WeightsDocument {
    #[serde(deserialize_with = "version")]
    version: u64,
}

/// Decodes a version; fails if it is out of range.
fn version<'de, D: Deserializer<'de>>(deserializer: D) -> Result<u64, D::Error> {
    let version = u64::deserialize(deserializer)?;
    if version > MAX_VERSION {
        return Err(D::Error::custom(format!("version {version} is out of range")));
    }
    Ok(version)
}

fn one() -> u32 {
    1
}

/// Decodes the configuration.
pub(super) fn configuration(bytes: &[u8]) -> serde_json::Result<Configuration> {
    let document: Document = serde_json::from_slice(bytes)?;
    let mut configuration = Configuration::default();
    configuration.version = document.version;
    configuration.routes = document.routes.into_iter().map(route).collect();
    configuration.limits = document.limits.as_ref().map(limits).unwrap_or_default();
    configuration.accounts = document.tenants.into_iter().map(account).collect();
    for service in document.services {
        if let Some(address) = service.kv_store {
            configuration.stores.push(store(service, address));
        } else {
            let engine = service.engine.as_ref().map(engine);
            let max_connections = service.max_conns.unwrap_or(u32::MAX);
            let cold_start = ColdStart {
                duration_ms: rounded_ms(service.cold_start_s * 1000.0),
                requests_per_s: service.cold_per_s,
            };
            let service_spec = Service { max_connections, cold_start, engine };
            configuration.services.insert(service.name, service_spec);
        }
    }
    Ok(configuration.indexed())
}

/// Decodes a named weight version.
pub(super) fn weights(bytes: &[u8]) -> serde_json::Result<u64> {
    serde_json::from_slice::<WeightsDocument>(bytes).map(|document| document.version)
}

fn route(route: DocumentRoute) -> Route {
    let mut targets: Vec<Target> = route
        .split
        .into_iter()
        .map(|target| Target { service: target.service, weight: rounded(target.weight * 1000.0) })
        .collect();
    if let Some(service) = route.service.filter(|_| targets.is_empty()) {
        targets.push(Target { service, weight: 1 });
    }
    Route {
        name: route.name,
        host: route.host.to_ascii_lowercase(),
        path_prefix: route.path_prefix,
        targets,
        retry_policy: match (route.kind, route.resumable) {
            (DocumentKind::Safe, _) => RetryPolicy::Repeatable,
            (DocumentKind::Unsafe, _) => RetryPolicy::Once,
            (DocumentKind::Streaming, false) => RetryPolicy::StreamOnce,
            (DocumentKind::Streaming, true) => RetryPolicy::StreamResumable,
        },
        timeout_ms: route.timeout_ms.map_or(DEFAULT_TIMEOUT_MS, rounded_ms),
        latency_objective_ms: route.slo_ms.map_or(DEFAULT_LATENCY_OBJECTIVE_MS, rounded_ms),
        max_attempts: route.max_attempts.max(1),
        priority: route.priority,
        public: route.public,
        allowed_regions: route.allowed_regions,
    }
}

fn store(service: DocumentService, address: SocketAddr) -> Store {
    Store {
        name: service.name,
        address,
        hall: service.zone,
        capacity_tokens: service.kv_capacity,
        link_mbps: service.link_mbps,
        transfer_setup_ms: service.first_ms,
        managed: service.managed,
    }
}

fn engine(engine: &DocumentEngine) -> EngineSpec {
    EngineSpec {
        slots: engine.slots,
        memory_tokens: engine.kv_capacity,
        bytes_per_token: u64::from(rounded(engine.kv_token_bytes)),
        link_mbps: engine.link_mbps,
        per_part_sources: engine.managed,
    }
}

fn limits(limits: &DocumentLimits) -> ClientLimits {
    let default = ClientLimits::default();
    ClientLimits {
        max_header_bytes: limits.max_header_bytes.unwrap_or(default.max_header_bytes),
        max_body_bytes: limits.max_body_bytes.unwrap_or(default.max_body_bytes),
        header_timeout_ms: limits.header_timeout_ms.map_or(default.header_timeout_ms, rounded_ms),
        idle_timeout_ms: limits.idle_timeout_ms.map_or(default.idle_timeout_ms, rounded_ms),
    }
}

fn account(account: DocumentAccount) -> Account {
    Account {
        name: account.name,
        keys: account.api_keys,
        priority: account.priority,
        isolated: account.isolated,
        allowed_regions: account.allowed_regions,
        weight: account.weight.filter(|weight| *weight > 0.0).unwrap_or(DEFAULT_ACCOUNT_WEIGHT),
    }
}

/// Rounds a number that the document may give with a fraction; out-of-range values are clamped.
#[expect(clippy::cast_possible_truncation, clippy::cast_sign_loss, reason = "clamped before")]
fn rounded(value: f64) -> u32 {
    value.round().clamp(0.0, f64::from(u32::MAX)) as u32
}

fn rounded_ms(value_ms: f64) -> u64 {
    u64::from(rounded(value_ms))
}
