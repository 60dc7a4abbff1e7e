//! What operators have configured: routes, services, stores and accounts.
//!
//! A [`Configuration`] is one version of it, whole. Only newer versions replace it.

use std::collections::{BTreeSet, HashMap};
use std::net::SocketAddr;

/// One version of the configuration.
#[derive(Clone, Debug, Default)]
pub struct Configuration {
    /// Version; rises by uneven steps.
    pub version: u64,
    /// Routes.
    pub routes: Vec<Route>,
    /// Services by name.
    pub services: HashMap<String, Service>,
    /// Stores of kept context.
    pub stores: Vec<Store>,
    /// What a client may send.
    pub limits: ClientLimits,
    /// Client accounts.
    pub accounts: Vec<Account>,
    by_host: HashMap<String, Vec<usize>>,
    by_key: HashMap<String, usize>,
}

/// A route: which requests go to which service, and on what terms.
#[derive(Clone, Debug)]
pub struct Route {
    /// Name.
    pub name: String,
    /// Host that it serves, in lower case.
    pub host: String,
    /// Start of the paths that it serves; ends with a slash.
    pub path_prefix: String,
    /// Services, with their parts of the requests.
    pub targets: Vec<Target>,
    /// Whether a request may run again.
    pub retry_policy: RetryPolicy,
    /// Longest time that a request may be held.
    pub timeout_ms: u64,
    /// Time within which an answer, or its first event, is wanted.
    pub latency_objective_ms: u64,
    /// Most upstreams that a request may be sent to.
    pub max_attempts: u32,
    /// Order of work, 0 first.
    pub priority: u8,
    /// Whether it takes requests without a key.
    pub public: bool,
}

/// A service that a route sends a part of its requests to.
#[derive(Clone, Debug)]
pub struct Target {
    /// Service.
    pub service: String,
    /// Its part, relative to the other targets.
    pub weight: u32,
}

/// Whether a request may run again.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RetryPolicy {
    /// It may run any number of times.
    Repeatable,
    /// It runs at most once.
    Once,
    /// A stream that runs at most once.
    StreamOnce,
    /// A stream that another upstream may go on with.
    StreamResumable,
}

impl RetryPolicy {
    /// Whether the answer is a stream of events.
    #[must_use]
    pub fn is_stream(self) -> bool {
        matches!(self, Self::StreamOnce | Self::StreamResumable)
    }

    /// Whether a request that may have run can be sent again.
    #[must_use]
    pub fn may_retry(self) -> bool {
        matches!(self, Self::Repeatable | Self::StreamResumable)
    }
}

/// A service: upstreams that are all alike.
#[derive(Clone, Debug)]
pub struct Service {
    /// Connections that one upstream accepts, from all boxes together.
    pub max_connections: u32,
    /// What its upstreams are, if they are model engines.
    pub engine: Option<EngineSpec>,
}

/// A model engine, as configured.
#[derive(Clone, Debug)]
pub struct EngineSpec {
    /// Requests that run at once.
    pub slots: u32,
    /// Tokens that fit its memory, of running requests and kept; 0 if not told.
    pub memory_tokens: u64,
    /// Size of kept context, in bytes a token.
    pub bytes_per_token: u64,
    /// Rate of its link for context.
    pub link_mbps: f64,
    /// Whether a source may be named for each part of a prompt.
    pub per_part_sources: bool,
}

/// A store of kept context.
#[derive(Clone, Debug, PartialEq)]
pub struct Store {
    /// Name.
    pub name: String,
    /// Address.
    pub address: SocketAddr,
    /// Data hall.
    pub hall: String,
    /// Tokens that it holds.
    pub capacity_tokens: u64,
    /// Rate of its link.
    pub link_mbps: f64,
    /// Wait before each transfer.
    pub transfer_setup_ms: f64,
    /// Whether space is freed by us alone.
    pub managed: bool,
}

/// What a client may send.
#[derive(Clone, Debug)]
pub struct ClientLimits {
    /// Longest head.
    pub max_header_bytes: usize,
    /// Longest body.
    pub max_body_bytes: usize,
    /// Longest time for a head to arrive.
    pub header_timeout_ms: u64,
    /// Longest time that a connection may be idle.
    pub idle_timeout_ms: u64,
}

impl Default for ClientLimits {
    fn default() -> Self {
        Self {
            max_header_bytes: 16_384,
            max_body_bytes: 4 << 20,
            header_timeout_ms: 3000,
            idle_timeout_ms: 15_000,
        }
    }
}

/// A client account.
#[derive(Clone, Debug)]
pub struct Account {
    /// Name.
    pub name: String,
    /// Keys that its clients send.
    pub keys: Vec<String>,
    /// Order of its work, in place of the route's.
    pub priority: Option<u8>,
    /// Whether its kept context is never shared with other accounts.
    pub isolated: bool,
}

impl Configuration {
    /// Prepares the look-ups of a version.
    #[must_use]
    pub fn indexed(mut self) -> Self {
        for (index, route) in self.routes.iter().enumerate() {
            self.by_host.entry(route.host.clone()).or_default().push(index);
        }
        for routes in self.by_host.values_mut() {
            routes.sort_by_key(|index| std::cmp::Reverse(self.routes[*index].path_prefix.len()));
        }
        for (index, account) in self.accounts.iter().enumerate() {
            for key in &account.keys {
                self.by_key.insert(key.clone(), index);
            }
        }
        self
    }

    /// The route of the longest prefix that begins `path`.
    #[must_use]
    pub fn route(&self, host: &str, path: &str) -> Option<&Route> {
        let routes = self.by_host.get(host)?.iter().map(|index| &self.routes[*index]);
        routes.into_iter().find(|route| path.starts_with(&route.path_prefix))
    }

    /// Whether there is a route of this name.
    #[must_use]
    pub fn has_route(&self, name: &str) -> bool {
        self.routes.iter().any(|route| route.name == name)
    }

    /// Number of ranks among a service's routes that go before one: what an account has
    /// in its place says nothing of them.
    #[must_use]
    pub fn higher_priority_ranks(&self, service: &str, priority: u8) -> u8 {
        let leads_to = |route: &&Route| route.targets.iter().any(|one| one.service == service);
        let ranks = self.routes.iter().filter(leads_to).map(|route| route.priority);
        let before: BTreeSet<u8> = ranks.filter(|rank| *rank < priority).collect();
        u8::try_from(before.len()).unwrap_or(u8::MAX)
    }

    /// The account of a key.
    #[must_use]
    pub fn account(&self, key: &str) -> Option<&Account> {
        self.by_key.get(key).map(|index| &self.accounts[*index])
    }

    /// Whether requests need a key at all.
    #[must_use]
    pub fn requires_keys(&self) -> bool {
        !self.accounts.is_empty()
    }
}

impl Route {
    /// The service for a request; `number` decides among several.
    #[must_use]
    pub fn service(&self, number: u64) -> Option<&str> {
        let total: u64 = self.targets.iter().map(|target| u64::from(target.weight)).sum();
        let mut left = number.checked_rem(total)?;
        for target in &self.targets {
            let weight = u64::from(target.weight);
            if left < weight {
                return Some(&target.service);
            }
            left -= weight;
        }
        None
    }
}
