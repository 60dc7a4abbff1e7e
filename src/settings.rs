//! Settings of a box: an INI file, checked whole.
//!
//! Every finding is collected with its line, and all are reported together.

use std::collections::BTreeMap;
use std::net::SocketAddr;

use crate::dispatcher::Policies;
use crate::error::Result;
use crate::ini_file::IniFile;
use crate::keep::KeepPolicy;
use crate::route::RoutePolicy;
use crate::share::SharePolicy;
use crate::ticket::ClusterKey;

/// What an upstream is.
#[derive(Clone, Debug, PartialEq)]
pub enum UpstreamKind {
    /// A model engine.
    Engine(EngineSettings),
    /// A context store box.
    Store(StoreSettings),
    /// A worker of a plain service.
    Service {
        /// Service that it belongs to.
        service: String,
        /// Paths whose calls may be repeated.
        repeatable: Vec<String>,
    },
}

/// Settings of a model engine.
#[derive(Clone, Debug, PartialEq)]
pub struct EngineSettings {
    /// Model that it serves.
    pub model: String,
    /// Requests that it runs at once.
    pub slots: u32,
    /// Size of its prefix cache.
    pub cache_tokens: u64,
    /// First estimate of the time to prefill a token, in microseconds.
    pub prefill_token_us: f64,
    /// Size of kept context, in bytes a token.
    pub kv_token_bytes: u64,
    /// Whether it checks who gives it an order.
    pub checks_orders: bool,
}

/// Settings of a context store box.
#[derive(Clone, Debug, PartialEq)]
pub struct StoreSettings {
    /// Bytes that this hall may use there.
    pub capacity_bytes: u64,
    /// First estimate of its link's rate, in bytes a millisecond.
    pub link_bytes_per_ms: f64,
}

/// An upstream.
#[derive(Clone, Debug, PartialEq)]
pub struct Upstream {
    /// Name.
    pub name: String,
    /// Where it listens.
    pub url: String,
    /// What it is.
    pub kind: UpstreamKind,
}

/// Settings of a box.
#[derive(Clone, Debug, PartialEq)]
pub struct Settings {
    /// Name of the box.
    pub name: String,
    /// Data hall.
    pub hall: String,
    /// Region of the hall.
    pub region: String,
    /// Where callers reach it.
    pub callers: SocketAddr,
    /// Where operators reach it.
    pub operators: SocketAddr,
    /// Where it listens for its peers.
    pub peers: SocketAddr,
    /// Where its peers reach it.
    pub advertise: String,
    /// Ways to peers that are not reached where they say: address and way.
    pub routes: BTreeMap<String, String>,
    /// Peers to learn the others from.
    pub seeds: Vec<String>,
    /// Key shared by all boxes.
    pub cluster_key: ClusterKey,
    /// Where the platform's key-value service listens.
    pub platform_url: String,
    /// Longest body of a request.
    pub max_body_bytes: usize,
    /// Time after which a request without a deadline of its own is given up.
    pub default_timeout_ms: u64,
    /// Time that a planned stop leaves for running requests.
    pub drain_timeout_ms: u64,
    /// Records of prompts that a dispatcher remembers.
    pub prompt_records: usize,
    /// Policies of placing and sharing.
    pub policies: Policies,
    /// Policy of keeping.
    pub keep: KeepPolicy,
    /// Upstreams of the hall.
    pub upstreams: Vec<Upstream>,
}

impl Settings {
    /// Reads settings from the text of `file`.
    ///
    /// # Errors
    /// Fails with every finding.
    pub fn parse(file: &str, text: &str) -> Result<Self> {
        let mut reader = Reader(IniFile::read(file, text));
        let settings = reader.settings();
        reader.0.finish(settings)
    }
}

/// Reads the settings of a box from its file.
struct Reader<'a>(IniFile<'a>);

impl Reader<'_> {
    fn settings(&mut self) -> Settings {
        self.0.check_known_names(known_keys);
        let name: String = self.0.required("box", "name");
        let local: SocketAddr = ([127, 0, 0, 1], 0).into();
        let peers = self.0.optional("box", "peers", local);
        let key: String = self.0.required("box", "cluster_key");
        Settings {
            hall: self.0.required("box", "hall"),
            region: self.0.optional("box", "region", "default".to_owned()),
            callers: self.0.optional("box", "callers", local),
            operators: self.0.optional("box", "operators", local),
            peers,
            advertise: self.0.optional("box", "advertise", peers.to_string()),
            routes: self.routes(),
            seeds: self.0.list("box", "seeds"),
            cluster_key: self.cluster_key(&key),
            platform_url: self.url("platform"),
            max_body_bytes: self.0.optional("limits", "max_body_bytes", 1 << 20),
            default_timeout_ms: self.0.optional("limits", "default_timeout_ms", 30_000),
            drain_timeout_ms: self.0.optional("limits", "drain_timeout_ms", 60_000),
            prompt_records: self.0.optional("limits", "prompt_records", 40_000),
            policies: Policies {
                route: self.named("route", RoutePolicy::from_name),
                share: self.named("share", SharePolicy::from_name),
            },
            keep: self.named("keep", KeepPolicy::from_name),
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
                let text = format!("kind '{kind}' is none of engine, store and service");
                self.0.add_finding(section, "kind", text);
                None
            }
            None => {
                self.0.add_finding(section, "", format!("[{section}] has no kind"));
                None
            }
        }
    }

    fn named<T: Default>(&mut self, key: &str, from_name: impl Fn(&str) -> Option<T>) -> T {
        let Some(value) = self.0.text("policy", key).map(str::to_owned) else {
            return T::default();
        };
        from_name(&value).unwrap_or_else(|| {
            self.0.add_finding("policy", key, format!("{key}: there is no policy '{value}'"));
            T::default()
        })
    }

    fn routes(&mut self) -> BTreeMap<String, String> {
        let mut routes = BTreeMap::new();
        for pair in self.0.list("box", "routes") {
            if let Some((address, way)) = pair.split_once('>') {
                routes.insert(address.to_owned(), way.to_owned());
            } else {
                let text = format!("routes: '{pair}' is not address>way");
                self.0.add_finding("box", "routes", text);
            }
        }
        routes
    }

    fn url(&mut self, section: &str) -> String {
        let url: String = self.0.required(section, "url");
        if !url.is_empty() && !url.starts_with("http://") && !url.starts_with("https://") {
            self.0.add_finding(section, "url", format!("url: '{url}' begins with no http://"));
        }
        url.trim_end_matches('/').to_owned()
    }

    fn cluster_key(&mut self, digits: &str) -> ClusterKey {
        let parsed = blake3::Hash::from_hex(digits).map(|hash| *hash.as_bytes());
        if parsed.is_err() && !digits.is_empty() {
            let text = "cluster_key: 64 hex digits are needed".to_owned();
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
        "limits" => &["max_body_bytes", "default_timeout_ms", "drain_timeout_ms", "prompt_records"],
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
