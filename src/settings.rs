//! Settings of a box: an INI file, checked whole.
//!
//! Every finding is collected with its line, and all are reported together.

use std::collections::BTreeMap;
use std::fmt::{Display, Write as _};
use std::net::SocketAddr;
use std::str::FromStr;

use ini::{Ini, ParseOption, Properties};

use crate::dispatcher::Policies;
use crate::error::{Error, Result};
use crate::keep::KeepPolicy;
use crate::route::RoutePolicy;
use crate::share::SharePolicy;
use crate::ticket::ClusterKey;

/// A fault in the settings, with its place.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Finding {
    /// File that it is in.
    pub file: String,
    /// Line, from 1 on.
    pub line: usize,
    /// What is wrong.
    pub text: String,
}

impl Display for Finding {
    fn fmt(&self, formatter: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        write!(formatter, "{}:{}: {}", self.file, self.line, self.text)
    }
}

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

/// Reads one file and collects what is wrong with it.
struct Reader<'a> {
    file: &'a str,
    text: &'a str,
    findings: Vec<Finding>,
}

impl Settings {
    /// Reads settings from the text of `file`.
    ///
    /// # Errors
    /// Fails with every finding.
    pub fn parse(file: &str, text: &str) -> Result<Self> {
        let option = ParseOption { enabled_escape: false, ..ParseOption::default() };
        let mut reader = Reader { file, text, findings: Vec::new() };
        let ini = Ini::load_from_str_opt(text, option).unwrap_or_else(|error| {
            reader.find(error.line.max(1), format!("cannot be read: {}", error.msg));
            Ini::new()
        });
        let settings = reader.settings(&ini);
        let mut findings = reader.findings;
        if findings.is_empty() {
            return Ok(settings);
        }
        findings.sort_by_key(|finding| finding.line);
        let mut report = String::new();
        for finding in &findings {
            let _ = write!(report, "\n{finding}");
        }
        Err(Error::Settings(findings.len(), report))
    }
}

impl Reader<'_> {
    fn settings(&mut self, ini: &Ini) -> Settings {
        self.check_names(ini);
        let name: String = self.required(ini, "box", "name");
        let local: SocketAddr = ([127, 0, 0, 1], 0).into();
        let peers = self.optional(ini, "box", "peers", local);
        let key: String = self.required(ini, "box", "cluster_key");
        Settings {
            hall: self.required(ini, "box", "hall"),
            region: self.optional(ini, "box", "region", "default".to_owned()),
            callers: self.optional(ini, "box", "callers", local),
            operators: self.optional(ini, "box", "operators", local),
            peers,
            advertise: self.optional(ini, "box", "advertise", peers.to_string()),
            routes: self.routes(ini),
            seeds: list(&self.optional(ini, "box", "seeds", String::new())),
            cluster_key: self.cluster_key(&key),
            platform_url: self.url(ini, "platform"),
            max_body_bytes: self.optional(ini, "limits", "max_body_bytes", 1 << 20),
            default_timeout_ms: self.optional(ini, "limits", "default_timeout_ms", 30_000),
            drain_timeout_ms: self.optional(ini, "limits", "drain_timeout_ms", 60_000),
            prompt_records: self.optional(ini, "limits", "prompt_records", 40_000),
            policies: Policies {
                route: self.named(ini, "route", RoutePolicy::from_name),
                share: self.named(ini, "share", SharePolicy::from_name),
            },
            keep: self.named(ini, "keep", KeepPolicy::from_name),
            upstreams: self.upstreams(ini),
            name,
        }
    }

    /// Finds sections and keys that mean nothing, which are mostly typing errors.
    fn check_names(&mut self, ini: &Ini) {
        for (section, properties) in ini {
            let Some(section) = section else {
                for (key, _) in properties {
                    self.find_at("", key, format!("'{key}' stands before the first section"));
                }
                continue;
            };
            let known = known_keys(section);
            if known.is_empty() {
                self.find_at(section, "", format!("section [{section}] is not known"));
                continue;
            }
            for (key, _) in properties.iter().filter(|(key, _)| !known.contains(key)) {
                self.find_at(section, key, format!("'{key}' is not known in [{section}]"));
            }
        }
    }

    fn upstreams(&mut self, ini: &Ini) -> Vec<Upstream> {
        let sections = ini.iter().filter_map(|(section, properties)| Some((section?, properties)));
        let mut upstreams = Vec::new();
        for (section, properties) in sections {
            if let Some(name) = section.strip_prefix("upstream.") {
                let kind = self.kind(ini, section, properties);
                let url = self.url(ini, section);
                let name = name.to_owned();
                upstreams.extend(kind.map(|kind| Upstream { name, url, kind }));
            }
        }
        upstreams
    }

    fn kind(&mut self, ini: &Ini, section: &str, properties: &Properties) -> Option<UpstreamKind> {
        match properties.get("kind") {
            Some("engine") => Some(UpstreamKind::Engine(EngineSettings {
                model: self.required(ini, section, "model"),
                slots: self.optional(ini, section, "slots", 8),
                cache_tokens: self.optional(ini, section, "cache_tokens", 65_536),
                prefill_token_us: self.optional(ini, section, "prefill_token_us", 50.0),
                kv_token_bytes: self.optional(ini, section, "kv_token_bytes", 20_000),
                checks_orders: self.optional(ini, section, "checks_orders", false),
            })),
            Some("store") => Some(UpstreamKind::Store(StoreSettings {
                capacity_bytes: self.required(ini, section, "capacity_bytes"),
                link_bytes_per_ms: self.optional(ini, section, "link_bytes_per_ms", 1e6),
            })),
            Some("service") => Some(UpstreamKind::Service {
                service: self.required(ini, section, "service"),
                repeatable: list(&self.optional(ini, section, "repeatable", String::new())),
            }),
            Some(kind) => {
                let text = format!("kind '{kind}' is none of engine, store and service");
                self.find_at(section, "kind", text);
                None
            }
            None => {
                self.find_at(section, "", format!("[{section}] has no kind"));
                None
            }
        }
    }

    fn required<T: FromStr + Default>(&mut self, ini: &Ini, section: &str, key: &str) -> T {
        if ini.get_from(Some(section), key).is_none_or(str::is_empty) {
            self.find_at(section, "", format!("[{section}] has no {key}"));
            return T::default();
        }
        self.optional(ini, section, key, T::default())
    }

    fn optional<T: FromStr>(&mut self, ini: &Ini, section: &str, key: &str, default: T) -> T {
        let Some(value) = ini.get_from(Some(section), key) else {
            return default;
        };
        value.parse().unwrap_or_else(|_| {
            self.find_at(section, key, format!("{key}: '{value}' cannot be read"));
            default
        })
    }

    fn named<T: Default>(
        &mut self,
        ini: &Ini,
        key: &str,
        from_name: impl Fn(&str) -> Option<T>,
    ) -> T {
        let Some(value) = ini.get_from(Some("policy"), key) else {
            return T::default();
        };
        from_name(value).unwrap_or_else(|| {
            self.find_at("policy", key, format!("{key}: there is no policy '{value}'"));
            T::default()
        })
    }

    fn routes(&mut self, ini: &Ini) -> BTreeMap<String, String> {
        let mut routes = BTreeMap::new();
        for pair in list(&self.optional(ini, "box", "routes", String::new())) {
            if let Some((address, way)) = pair.split_once('>') {
                routes.insert(address.to_owned(), way.to_owned());
            } else {
                let text = format!("routes: '{pair}' is not address>way");
                self.find_at("box", "routes", text);
            }
        }
        routes
    }

    fn url(&mut self, ini: &Ini, section: &str) -> String {
        let url: String = self.required(ini, section, "url");
        if !url.is_empty() && !url.starts_with("http://") && !url.starts_with("https://") {
            self.find_at(section, "url", format!("url: '{url}' begins with no http://"));
        }
        url.trim_end_matches('/').to_owned()
    }

    fn cluster_key(&mut self, digits: &str) -> ClusterKey {
        let parsed = blake3::Hash::from_hex(digits).map(|hash| *hash.as_bytes());
        if parsed.is_err() && !digits.is_empty() {
            let text = "cluster_key: 64 hex digits are needed".to_owned();
            self.find_at("box", "cluster_key", text);
        }
        parsed.unwrap_or_default()
    }

    fn find_at(&mut self, section: &str, key: &str, text: String) {
        let line = line_of(self.text, section, key);
        self.find(line, text);
    }

    fn find(&mut self, line: usize, text: String) {
        self.findings.push(Finding { file: self.file.to_owned(), line, text });
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

fn list(text: &str) -> Vec<String> {
    let items = text.split(',').map(str::trim).filter(|item| !item.is_empty());
    items.map(str::to_owned).collect()
}

/// Line of a key, or of its section's head when `key` is empty.
fn line_of(text: &str, section: &str, key: &str) -> usize {
    let mut current = "";
    let mut head = 1;
    for (index, line) in text.lines().enumerate() {
        let line = line.trim();
        if let Some(name) = line.strip_prefix('[').and_then(|rest| rest.strip_suffix(']')) {
            current = name.trim();
            if current == section {
                head = index + 1;
            }
        }
        let own_key = line.split(['=', ':']).next().map(str::trim);
        if current == section && !key.is_empty() && own_key == Some(key) {
            return index + 1;
        }
    }
    head
}
