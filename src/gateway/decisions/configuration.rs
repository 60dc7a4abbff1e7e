//! The configuration that operators write: routes, services, stores and accounts.
//!
//! A [`Configuration`] is replaced as a whole, by newer versions only.

use std::collections::{BTreeSet, HashMap};
use std::net::SocketAddr;

use crate::gateway::decisions::cold_start::ColdStart;
use crate::names::short_id;

/// The context group of requests without an account while it is not known which accounts are isolated. No
/// account has this name, and no group of others.
const NO_ACCOUNT_GROUP: &str = ".";

/// One version of the configuration.
#[derive(Clone, Debug, Default)]
pub struct Configuration {
    /// Version; increases by arbitrary steps.
    pub version: u64,
    pub routes: Vec<Route>,
    /// Services by name.
    pub services: HashMap<String, Service>,
    /// Stores of cached context.
    pub stores: Vec<Store>,
    /// Limits on client requests.
    pub limits: ClientLimits,
    pub accounts: Vec<Account>,
    by_host: HashMap<String, Vec<usize>>,
    by_key: HashMap<String, usize>,
    by_name: HashMap<String, usize>,
    weights: HashMap<u32, f64>,
    /// The context group of accounts that are not isolated while others are.
    others_group: Option<String>,
}

/// Assigns requests to services, with the terms on which they are served.
#[derive(Clone, Debug)]
pub struct Route {
    pub name: String,
    /// Host, in lower case.
    pub host: String,
    /// Common prefix of the paths; ends with a slash.
    pub path_prefix: String,
    /// Services with their weights.
    pub targets: Vec<Target>,
    /// Whether a request may be sent to an upstream again.
    pub retry_policy: RetryPolicy,
    /// Longest time for a request.
    pub timeout_ms: u64,
    /// Time within which the response, or the first event of a stream, is due.
    pub latency_objective_ms: u64,
    /// Maximum number of upstreams to which a request is sent.
    pub max_attempts: u32,
    /// Priority of requests, 0 first.
    pub priority: u8,
    /// Whether requests without a key are accepted.
    pub public: bool,
    /// Regions in which its requests may run; empty for all.
    pub allowed_regions: Vec<String>,
}

/// A service that gets part of a route's requests.
#[derive(Clone, Debug)]
pub struct Target {
    /// Name of the service.
    pub service: String,
    /// Weight relative to the other targets.
    pub weight: u32,
}

/// Whether and how a request may be sent to an upstream again.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RetryPolicy {
    /// May run any number of times.
    Repeatable,
    /// Runs at most once.
    Once,
    /// A stream that runs at most once.
    StreamOnce,
    /// A stream that another upstream can continue.
    StreamResumable,
}

impl RetryPolicy {
    /// Whether the response is a stream of events.
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

/// A service, whose upstreams are interchangeable.
#[derive(Clone, Debug)]
pub struct Service {
    /// Connections that one upstream accepts from all boxes together.
    pub max_connections: u32,
    /// How its upstreams behave after a start.
    pub cold_start: ColdStart,
    /// Properties of its upstreams if they are model engines; `None` for other services.
    pub engine: Option<EngineSpec>,
}

/// The configured properties of a model engine.
#[derive(Clone, Debug)]
pub struct EngineSpec {
    /// Concurrent requests.
    pub slots: u32,
    /// Capacity of its memory in tokens, for running requests and cached context; 0 if unknown.
    pub memory_tokens: u64,
    /// Size of the context of a token.
    pub bytes_per_token: u64,
    /// Bandwidth of its link for context transfers.
    pub link_mbps: f64,
    /// Whether it accepts a source for each part of a prompt.
    pub per_part_sources: bool,
}

/// A store of cached context.
#[derive(Clone, Debug, PartialEq)]
pub struct Store {
    pub name: String,
    pub address: SocketAddr,
    /// Data hall.
    pub hall: String,
    /// Capacity.
    pub capacity_tokens: u64,
    /// Bandwidth of its link.
    pub link_mbps: f64,
    /// Delay before each transfer.
    pub transfer_setup_ms: f64,
    /// Whether only the boxes free its space; it does not evict parts itself.
    pub managed: bool,
}

/// Limits on client requests.
#[derive(Clone, Debug)]
pub struct ClientLimits {
    /// Longest request head.
    pub max_header_bytes: usize,
    /// Longest request body.
    pub max_body_bytes: usize,
    /// Longest time for a request head to arrive.
    pub header_timeout_ms: u64,
    /// Longest time for which a connection may be idle.
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
    pub name: String,
    /// API keys of its clients.
    pub keys: Vec<String>,
    /// Priority of its requests, overriding that of the route.
    pub priority: Option<u8>,
    /// Whether its cached context is never shared with other accounts.
    pub isolated: bool,
    /// Regions in which its requests may run; empty for all.
    pub allowed_regions: Vec<String>,
    /// Weight by which services that refuse requests are divided between accounts.
    pub weight: f64,
}

impl Configuration {
    /// Which accounts share cached context with a request of an account. An isolated account shares none.
    /// No account does unless they `may_share` at all, since a newer configuration may isolate any of them.
    /// All others use none that was made before one of the isolated accounts became that. `None` if no
    /// account is isolated.
    #[must_use]
    pub fn context_group<'a>(
        &'a self,
        account: Option<&'a str>,
        may_share: bool,
    ) -> Option<&'a str> {
        if self.accounts.is_empty() {
            return None;
        }
        let shares = may_share && account.is_none_or(|account| self.is_shared(account));
        if shares { self.others_group.as_deref() } else { account.or(Some(NO_ACCOUNT_GROUP)) }
    }

    /// Whether a request of an account may use the context of a group: of the one that it belongs to, or of
    /// its own, which nobody shares.
    #[must_use]
    pub fn allows_group(
        &self,
        account: Option<&str>,
        may_share: bool,
        group: Option<&str>,
    ) -> bool {
        let is_own = group == account.or(Some(NO_ACCOUNT_GROUP));
        is_own || group == self.context_group(account, may_share)
    }

    /// Whether an account shares cached context with others. One that was removed does not.
    fn is_shared(&self, account: &str) -> bool {
        self.by_name.get(account).is_some_and(|index| !self.accounts[*index].isolated)
    }

    fn others_group(&self) -> Option<String> {
        let isolated = self.accounts.iter().filter(|account| account.isolated);
        let mut names: Vec<&str> = isolated.map(|account| account.name.as_str()).collect();
        names.sort_unstable();
        // A group of others has an empty name before its dot.
        (!names.is_empty()).then(|| format!(".{:08x}", short_id(&names.join("\n"))))
    }

    /// Builds the lookup tables.
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
            self.by_name.insert(account.name.clone(), index);
            self.weights.insert(short_id(&account.name), account.weight);
        }
        self.others_group = self.others_group();
        self
    }

    /// The route with the longest prefix of `path`.
    #[must_use]
    pub fn route(&self, host: &str, path: &str) -> Option<&Route> {
        let routes = self.by_host.get(host)?.iter().map(|index| &self.routes[*index]);
        routes.into_iter().find(|route| path.starts_with(&route.path_prefix))
    }

    /// Whether there is a route with this name.
    #[must_use]
    pub fn has_route(&self, name: &str) -> bool {
        self.routes.iter().any(|route| route.name == name)
    }

    /// Whether a route has the given short id.
    #[must_use]
    pub fn has_route_id(&self, route: u32) -> bool {
        self.routes.iter().any(|known| short_id(&known.name) == route)
    }

    /// Number of different route priorities of a service that go before `priority`. Priorities of
    /// accounts are not counted.
    #[must_use]
    pub fn higher_priority_ranks(&self, service: &str, priority: u8) -> u8 {
        let leads_to =
            |route: &&Route| route.targets.iter().any(|target| target.service == service);
        let ranks = self.routes.iter().filter(leads_to).map(|route| route.priority);
        let higher: BTreeSet<u8> = ranks.filter(|rank| *rank < priority).collect();
        u8::try_from(higher.len()).unwrap_or(u8::MAX)
    }

    /// The account with a key.
    #[must_use]
    pub fn account(&self, key: &str) -> Option<&Account> {
        self.by_key.get(key).map(|index| &self.accounts[*index])
    }

    /// The regions to which an account is restricted, none if it is not; `None` if there is no account with
    /// this name.
    #[must_use]
    pub fn account_regions(&self, account: &str) -> Option<&[String]> {
        self.by_name.get(account).map(|index| self.accounts[*index].allowed_regions.as_slice())
    }

    /// The regions to which a route is restricted, none if it is not; `None` if there is no route with
    /// this name.
    #[must_use]
    pub fn route_regions(&self, route: &str) -> Option<&[String]> {
        let route = self.routes.iter().find(|known| known.name == route)?;
        Some(&route.allowed_regions)
    }

    /// The weight of an account, by its short id; `None` if it does not exist. Requests without an
    /// account count as one account.
    #[must_use]
    pub fn account_weight(&self, account: u32) -> Option<f64> {
        let without_account = (account == short_id("")).then_some(1.0);
        self.weights.get(&account).copied().or(without_account)
    }

    /// Whether requests need a key, unless their route is public.
    #[must_use]
    pub fn requires_keys(&self) -> bool {
        !self.accounts.is_empty()
    }
}

impl Route {
    /// The service to which all its requests go; `None` if there are several.
    #[must_use]
    pub fn only_service(&self) -> Option<&str> {
        match self.targets.as_slice() {
            [target] => Some(&target.service),
            _ => None,
        }
    }

    /// The service with a short id, if the route leads to it.
    #[must_use]
    pub fn service_by_short_id(&self, service: u32) -> Option<&str> {
        let services = self.targets.iter().map(|target| target.service.as_str());
        services.into_iter().find(|name| short_id(name) == service)
    }

    /// The service for a request; `hash` selects among several by their weights.
    #[must_use]
    pub fn service(&self, hash: u64) -> Option<&str> {
        let total: u64 = self.targets.iter().map(|target| u64::from(target.weight)).sum();
        let mut left = hash.checked_rem(total)?;
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
