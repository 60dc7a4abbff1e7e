//! The operators' configuration document and the named weight versions.
//!
//! Fields that are not known here are skipped.

use std::net::SocketAddr;

use serde::Deserialize;

use crate::gateway::decisions::site::{
    Account, ClientLimits, EngineSpec, Repeat, Route, Service, Site, Store, Target,
};

/// Longest time of a request whose route names none.
const DEFAULT_TIMEOUT_MS: u64 = 30_000;
/// Latency objective of a route that names none.
const DEFAULT_AIM_MS: u64 = 1000;

#[derive(Deserialize)]
struct Document {
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
    /// Time within which an answer, or its first event, is wanted.
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

/// A service of upstreams, or one store of kept context.
#[derive(Deserialize)]
struct DocumentService {
    name: String,
    #[serde(default)]
    max_conns: Option<u32>,
    engine: Option<DocumentEngine>,
    /// Address of a store; absent for a service of upstreams.
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
    /// Tokens that fit its memory, kept and in use.
    #[serde(default)]
    kv_capacity: u64,
    #[serde(default)]
    kv_token_bytes: f64,
    #[serde(default)]
    link_mbps: f64,
    /// Whether a source may be named for each part of a prompt.
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
}

#[derive(Deserialize)]
struct NamedWeights {
    version: u64,
}

fn one() -> u32 {
    1
}

/// Reads the configuration.
pub(super) fn site(bytes: &[u8]) -> serde_json::Result<Site> {
    let document: Document = serde_json::from_slice(bytes)?;
    let mut site = Site::default();
    site.version = document.version;
    site.routes = document.routes.into_iter().map(route).collect();
    site.limits = document.limits.as_ref().map(limits).unwrap_or_default();
    site.accounts = document.tenants.into_iter().map(account).collect();
    for service in document.services {
        if let Some(address) = service.kv_store {
            site.stores.push(store(service, address));
        } else {
            let engine = service.engine.as_ref().map(engine);
            let max_connections = service.max_conns.unwrap_or(u32::MAX);
            site.services.insert(service.name, Service { max_connections, engine });
        }
    }
    Ok(site.indexed())
}

/// Reads a named weight version.
pub(super) fn weights(bytes: &[u8]) -> serde_json::Result<u64> {
    serde_json::from_slice::<NamedWeights>(bytes).map(|named| named.version)
}

fn route(route: DocumentRoute) -> Route {
    let mut targets: Vec<Target> = route
        .split
        .into_iter()
        .map(|target| Target { service: target.service, weight: whole(target.weight * 1000.0) })
        .collect();
    if let Some(service) = route.service.filter(|_| targets.is_empty()) {
        targets.push(Target { service, weight: 1 });
    }
    Route {
        name: route.name,
        host: route.host.to_ascii_lowercase(),
        prefix: route.path_prefix,
        targets,
        repeat: match (route.kind, route.resumable) {
            (DocumentKind::Safe, _) => Repeat::Repeatable,
            (DocumentKind::Unsafe, _) => Repeat::Once,
            (DocumentKind::Streaming, false) => Repeat::StreamOnce,
            (DocumentKind::Streaming, true) => Repeat::StreamResumable,
        },
        timeout_ms: route.timeout_ms.map_or(DEFAULT_TIMEOUT_MS, whole_ms),
        latency_objective_ms: route.slo_ms.map_or(DEFAULT_AIM_MS, whole_ms),
        attempts: route.max_attempts.max(1),
        priority: route.priority,
        public: route.public,
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
        token_bytes: u64::from(whole(engine.kv_token_bytes)),
        link_mbps: engine.link_mbps,
        per_part_sources: engine.managed,
    }
}

fn limits(limits: &DocumentLimits) -> ClientLimits {
    let default = ClientLimits::default();
    ClientLimits {
        max_header_bytes: limits.max_header_bytes.unwrap_or(default.max_header_bytes),
        max_body_bytes: limits.max_body_bytes.unwrap_or(default.max_body_bytes),
        header_timeout_ms: limits.header_timeout_ms.map_or(default.header_timeout_ms, whole_ms),
        idle_timeout_ms: limits.idle_timeout_ms.map_or(default.idle_timeout_ms, whole_ms),
    }
}

fn account(account: DocumentAccount) -> Account {
    Account {
        name: account.name,
        keys: account.api_keys,
        priority: account.priority,
        isolated: account.isolated,
    }
}

/// A figure that the document may write with a fraction, rounded.
#[expect(clippy::cast_possible_truncation, clippy::cast_sign_loss, reason = "clamped before")]
fn whole(figure: f64) -> u32 {
    figure.round().clamp(0.0, f64::from(u32::MAX)) as u32
}

fn whole_ms(figure_ms: f64) -> u64 {
    u64::from(whole(figure_ms))
}
