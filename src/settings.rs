//! Settings of a box, read from an INI file.
//!
//! All errors in the file are collected with their lines and reported together.

use std::collections::BTreeMap;
use std::net::SocketAddr;

use crate::client_connections::memory_limits;
use crate::dispatcher::Policies;
use crate::error::Result;
use crate::ini_file::IniFile;
use crate::request_memory::MemoryLimits;
use crate::retention::RetentionPolicy;
use crate::route::RoutePolicy;
use crate::share::SharePolicy;
use crate::ticket::ClusterKey;

/// Default memory of the box.
const DEFAULT_MEMORY_MB: usize = 256;

/// Kind of an upstream, with its settings.
#[derive(Clone, Debug, PartialEq)]
pub enum UpstreamKind {
    /// A model engine.
    Engine(EngineSettings),
    /// A context store.
    Store(StoreSettings),
    /// A worker of a plain service.
    Service {
        /// Service that it belongs to.
        service: String,
        /// Path prefixes under which a call may be sent more than once.
        repeatable: Vec<String>,
    },
}

/// Settings of a model engine.
#[derive(Clone, Debug, PartialEq)]
pub struct EngineSettings {
    /// Model that it serves.
    pub model: String,
    /// Number of requests that it runs concurrently.
    pub slots: u32,
    /// Size of its prefix cache, in tokens.
    pub cache_tokens: u64,
    /// Initial estimate of the prefill time per token, in microseconds.
    pub prefill_token_us: f64,
    /// Size of stored context, in bytes per token.
    pub kv_token_bytes: u64,
    /// Whether it checks the fencing token of the orders that it gets.
    pub checks_orders: bool,
}

/// Settings of a context store.
#[derive(Clone, Debug, PartialEq)]
pub struct StoreSettings {
    /// Capacity that this hall may use, in bytes.
    pub capacity_bytes: u64,
    /// Initial estimate of the transfer rate of its network link, in bytes per millisecond.
    pub link_bytes_per_ms: f64,
}

/// Settings of an upstream.
#[derive(Clone, Debug, PartialEq)]
pub struct Upstream {
    /// Name.
    pub name: String,
    /// Base URL.
    pub url: String,
    /// Kind, with the settings of that kind.
    pub kind: UpstreamKind,
}

/// Settings of a box.
#[derive(Clone, Debug, PartialEq)]
pub struct Settings {
    /// Name of the box.
    pub name: String,
    /// Data hall of the box.
    pub hall: String,
    /// Region of the hall.
    pub region: String,
    /// Address to listen on for callers.
    pub callers: SocketAddr,
    /// Address to listen on for operators.
    pub operators: SocketAddr,
    /// Address to listen on for peers.
    pub peers: SocketAddr,
    /// Address at which peers reach this box, as announced to them.
    pub advertise: String,
    /// Addresses to dial instead of those that peers advertise, by advertised address.
    pub dial_addresses: BTreeMap<String, String>,
    /// Addresses of the peers to contact first, from which this box learns of the others.
    pub seeds: Vec<String>,
    /// Key shared by all boxes.
    pub cluster_key: ClusterKey,
    /// Base URL of the platform's key-value store.
    pub platform_url: String,
    /// Maximum length of a request body.
    pub max_body_bytes: usize,
    /// Time in which the head of a request arrives, also on an idle connection.
    pub idle_timeout_ms: u64,
    /// Most that connections and requests of callers hold together.
    pub memory_limits: MemoryLimits,
    /// Most connections of callers that wait to be accepted.
    pub max_queued: u32,
    /// Timeout of requests that have no deadline of their own.
    pub default_timeout_ms: u64,
    /// Time for which a planned stop waits for running requests.
    pub drain_timeout_ms: u64,
    /// Maximum number of prompts that a dispatcher keeps a record of.
    pub prompt_records: usize,
    /// Policies for choosing an engine and for sharing the fleet between accounts.
    pub policies: Policies,
    /// Retention policy for context in stores.
    pub retention: RetentionPolicy,
    /// Upstreams of the hall.
    pub upstreams: Vec<Upstream>,
}

impl Settings {
    /// Reads settings from the text of `file`.
    ///
    /// # Errors
    /// Fails with all findings.
    pub fn parse(file: &str, text: &str) -> Result<Self> {
        let mut reader = SettingsReader(IniFile::read(file, text));
        let settings = reader.settings();
        reader.0.finish(settings)
    }
}

/// Reads the settings of a box from its file.
struct SettingsReader<'a>(IniFile<'a>);

impl SettingsReader<'_> {
    fn settings(&mut self) -> Settings {
        self.0.check_known_names(known_keys);
        let name: String = self.0.required("box", "name");
        let local: SocketAddr = ([127, 0, 0, 1], 0).into();
        let peers = self.0.optional("box", "peers", local);
        let key: String = self.0.required("box", "cluster_key");
        let limits = memory_limits(&mut self.0, "limits", DEFAULT_MEMORY_MB);
        let (memory_limits, max_queued) = limits.with_queue();
        Settings {
            hall: self.0.required("box", "hall"),
            region: self.0.optional("box", "region", "default".to_owned()),
            callers: self.0.optional("box", "callers", local),
            operators: self.0.optional("box", "operators", local),
            peers,
            advertise: self.0.optional("box", "advertise", peers.to_string()),
            dial_addresses: self.dial_addresses(),
            seeds: self.0.list("box", "seeds"),
            cluster_key: self.cluster_key(&key),
            platform_url: self.url("platform"),
            max_body_bytes: self.0.optional("limits", "max_body_bytes", 1 << 20),
            idle_timeout_ms: self.0.optional("limits", "idle_timeout_ms", 120_000),
            memory_limits,
            max_queued,
            default_timeout_ms: self.0.optional("limits", "default_timeout_ms", 30_000),
            drain_timeout_ms: self.0.optional("limits", "drain_timeout_ms", 60_000),
            prompt_records: self.0.optional("limits", "prompt_records", 40_000),
            policies: Policies {
                route: self.policy("route", RoutePolicy::from_name),
                share: self.policy("share", SharePolicy::from_name),
            },
            retention: self.policy("keep", RetentionPolicy::from_name),
            upstreams: self.upstreams(),
            name,
        }
    }

    fn upstreams(&mut self) -> Vec<Upstream> {
        let sections: Vec<_> = self.0.sections().map(|(section, _)| section.to_owned()).collect();
        let mut upstreams = Vec::new();
        for section in &sections {
            if let Some(name) = section.strip_prefix("upstream.") {
                let kind = self.kind(section);
                let url = self.url(section);
                let name = name.to_owned();
                upstreams.extend(kind.map(|kind| Upstream { name, url, kind }));
            }
        }
        upstreams
    }

    fn kind(&mut self, section: &str) -> Option<UpstreamKind> {
        match self.0.text(section, "kind").map(str::to_owned).as_deref() {
            Some("engine") => Some(UpstreamKind::Engine(EngineSettings {
                model: self.0.required(section, "model"),
                slots: self.0.optional(section, "slots", 8),
                cache_tokens: self.0.optional(section, "cache_tokens", 65_536),
                prefill_token_us: self.0.optional(section, "prefill_token_us", 50.0),
                kv_token_bytes: self.0.optional(section, "kv_token_bytes", 20_000),
                checks_orders: self.0.optional(section, "checks_orders", false),
            })),
            Some("store") => Some(UpstreamKind::Store(StoreSettings {
                capacity_bytes: self.0.required(section, "capacity_bytes"),
                link_bytes_per_ms: self.0.optional(section, "link_bytes_per_ms", 1e6),
            })),
            Some("service") => Some(UpstreamKind::Service {
                service: self.0.required(section, "service"),
                repeatable: self.0.list(section, "repeatable"),
            }),
            Some(kind) => {
                let text =
                    format!("kind: unknown kind '{kind}', expected engine, store or service");
                self.0.add_finding(section, "kind", text);
                None
            }
            None => {
                self.0.add_finding(section, "", format!("[{section}] has no kind"));
                None
            }
        }
    }

    fn policy<T: Default>(&mut self, key: &str, from_name: impl Fn(&str) -> Option<T>) -> T {
        let Some(value) = self.0.text("policy", key).map(str::to_owned) else {
            return T::default();
        };
        from_name(&value).unwrap_or_else(|| {
            self.0.add_finding("policy", key, format!("{key}: unknown policy '{value}'"));
            T::default()
        })
    }

    fn dial_addresses(&mut self) -> BTreeMap<String, String> {
        let mut dial_addresses = BTreeMap::new();
        for pair in self.0.list("box", "routes") {
            if let Some((address, target)) = pair.split_once('>') {
                dial_addresses.insert(address.to_owned(), target.to_owned());
            } else {
                let text = format!("routes: '{pair}' is not of the form address>target");
                self.0.add_finding("box", "routes", text);
            }
        }
        dial_addresses
    }

    fn url(&mut self, section: &str) -> String {
        let url: String = self.0.required(section, "url");
        if !url.is_empty() && !url.starts_with("http://") && !url.starts_with("https://") {
            self.0.add_finding(
                section,
                "url",
                format!("url: '{url}' does not begin with http:// or https://"),
            );
        }
        url.trim_end_matches('/').to_owned()
    }

    fn cluster_key(&mut self, digits: &str) -> ClusterKey {
        let parsed = blake3::Hash::from_hex(digits).map(|hash| *hash.as_bytes());
        if parsed.is_err() && !digits.is_empty() {
            let text = "cluster_key: expected 64 hexadecimal digits".to_owned();
            self.0.add_finding("box", "cluster_key", text);
        }
        parsed.unwrap_or_default()
    }
}

fn known_keys(section: &str) -> &'static [&'static str] {
    match section {
        "box" => &[
            "name",
            "hall",
            "region",
            "callers",
            "operators",
            "peers",
            "advertise",
            "routes",
            "seeds",
            "cluster_key",
        ],
        "platform" => &["url"],
        "limits" => &[
            "max_body_bytes",
            "idle_timeout_ms",
            "memory_mb",
            "max_descriptors",
            "default_timeout_ms",
            "drain_timeout_ms",
            "prompt_records",
        ],
        "policy" => &["route", "share", "keep"],
        _ if section.starts_with("upstream.") => &[
            "kind",
            "url",
            "model",
            "slots",
            "cache_tokens",
            "prefill_token_us",
            "kv_token_bytes",
            "checks_orders",
            "capacity_bytes",
            "link_bytes_per_ms",
            "service",
            "repeatable",
        ],
        _ => &[],
    }
}
