//! Where each part of a prompt comes from, and who keeps it.
//!
//! Context counts only up to the first part that is neither kept by the engine
//! nor fetched. A part is fetched from whoever sends it soonest, unless reading
//! it again is cheaper.

use crate::gateway::choose::Demand;
use crate::gateway::holder::PartKey;
use crate::gateway::prompt::{Part, Prompt};
use crate::gateway::site::{EngineSpec, Store};
use crate::gateway::stores::{StoreState, Stores};
use crate::gateway::upstreams::{Upstream, Upstreams};

/// Prompt tokens that an engine reads in a millisecond, until it is measured.
pub const READ_TOKENS_PER_MS: f64 = 50.0;
/// Weight of a millisecond of reading again against one of waiting.
pub const REREAD_WEIGHT: f64 = 6.0;
/// Moves between halls take this many times as long.
const OTHER_HALL_FACTOR: f64 = 2.0;
/// A transfer that would wait longer is not begun by engines.
const MAX_LINK_WAIT_MS: f64 = 1000.0;
/// Overhead of any transfer beside its bytes.
const MOVE_OVERHEAD_MS: f64 = 5.0;

/// Where a part of a prompt comes from.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Source {
    /// The engine keeps it; another holder is named all the same, since
    /// engines follow the list of sources from its start.
    Kept {
        /// Address of the other holder, as upstreams take it.
        address: Option<String>,
    },
    /// The engine reads it.
    Read,
    /// Another engine or a store keeps it.
    From {
        /// Address, as upstreams take it.
        address: String,
        /// Name of the store, when it is one.
        store: Option<String>,
        /// Tokens to take.
        tokens: u32,
    },
}

impl Source {
    /// Address of who sends it.
    fn address(self) -> Option<String> {
        match self {
            Self::From { address, .. } => Some(address),
            Self::Kept { address } => address,
            Self::Read => None,
        }
    }
}

/// A part that a store is to take.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Save {
    /// Address of the store, as upstreams take it.
    pub address: String,
    /// Name of the store.
    pub store: String,
    /// The part.
    pub part: PartKey,
    /// Its length.
    pub tokens: u32,
}

/// What an engine is told about kept context.
#[derive(Clone, Debug, PartialEq)]
pub struct ContextPlan {
    /// Name under which context is found and kept.
    pub scope: String,
    /// Weight version that must run.
    pub version: u64,
    /// Source of each part.
    pub sources: Vec<Source>,
    /// Whether the engine takes a source for each part; else it takes just one
    /// for the whole prompt.
    pub per_part: bool,
    /// Store that takes each part.
    pub saves: Vec<Option<Save>>,
    /// Time that the fetches are expected to take.
    pub fetch_ms: f64,
    /// Tokens that are read at the engine.
    pub read_tokens: u32,
    /// Tokens of shared parts among them that some holder keeps.
    pub reread_tokens: u32,
}

impl ContextPlan {
    /// Stores that are read, with the tokens of each part.
    #[must_use]
    pub fn store_fetches(&self) -> Vec<(String, u32)> {
        let fetches = self.sources.iter().filter_map(|source| match source {
            Source::From { store: Some(name), tokens, .. } => Some((name.clone(), *tokens)),
            Source::From { store: None, .. } | Source::Kept { .. } | Source::Read => None,
        });
        fetches.collect()
    }

    /// The source of each part, for a log line.
    #[must_use]
    pub fn summary(&self) -> String {
        let sources = self.sources.iter().zip(&self.saves).map(|(source, save)| {
            let source = match source {
                Source::Kept { .. } => "kept",
                Source::Read => "read",
                Source::From { store: Some(name), .. } => name,
                Source::From { address, .. } => address,
            };
            if save.is_some() { format!("{source}+save") } else { source.to_owned() }
        });
        sources.collect::<Vec<_>>().join(",")
    }
}

/// What an engine would be told, and how long its fetches would take.
pub struct Planned {
    /// What it would be told.
    pub context: ContextPlan,
    /// Time that the fetches would take.
    pub fetch_ms: f64,
}

/// The scope under which context is kept: never across models, weight
/// versions or isolated accounts.
#[must_use]
pub fn scope(model: &str, version: u64, isolated_account: Option<&str>) -> String {
    match isolated_account {
        Some(account) => format!("{version}.{model}.{account}"),
        None => format!("{version}.{model}"),
    }
}

/// The weight version of a scope.
#[must_use]
pub fn scope_version(scope: &str) -> Option<u64> {
    scope.split_once('.')?.0.parse().ok()
}

/// The model of a scope.
#[must_use]
pub fn scope_model(scope: &str) -> Option<&str> {
    scope.split('.').nth(1)
}

/// What an engine would be told, and what that would cost it.
#[must_use]
pub fn plan(
    now_ms: u64,
    upstreams: &Upstreams,
    stores: &Stores,
    engine: &EngineSpec,
    upstream: &Upstream,
    prompt: &Prompt,
    demand: &Demand<'_>,
) -> Planned {
    let version = upstream.version(&prompt.model);
    let scope = scope(&prompt.model, version, demand.isolated_account);
    let planner = Planner {
        now_ms,
        upstreams,
        stores,
        engine,
        upstream,
        scope: &scope,
        // Old context is freed once no engine has its version any more.
        reads_stores: !demand.is_overdue(now_ms, version),
        saves: demand.behind_since_ms(version).is_none(),
    };
    let mut tally = Tally::default();
    for part in prompt.shared_parts() {
        planner.add(part, &mut tally);
    }
    if !prompt.parts.is_empty() {
        tally.sources.push(Source::Read);
        tally.saves.push(None);
    }
    if !engine.per_part_sources {
        tally.name_one_holder();
    }
    let context = ContextPlan {
        version,
        per_part: engine.per_part_sources,
        sources: tally.sources,
        saves: tally.saves,
        fetch_ms: tally.fetch_ms,
        read_tokens: prompt.tokens.saturating_sub(tally.kept_tokens),
        reread_tokens: tally.reread_tokens,
        scope,
    };
    Planned { fetch_ms: context.fetch_ms, context }
}

/// What was found for the parts so far.
#[derive(Default)]
struct Tally {
    sources: Vec<Source>,
    saves: Vec<Option<Save>>,
    fetch_ms: f64,
    kept_tokens: u32,
    reread_tokens: u32,
    /// A part is missing: what comes after it is of no use.
    broken: bool,
    /// No other holder could be named for a kept part: engines stop there.
    unnamed: bool,
}

impl Tally {
    /// Names just one source and one store, those of the longest part.
    fn name_one_holder(&mut self) {
        let tokens_of = |source: &Source| match source {
            Source::From { tokens, .. } => *tokens,
            Source::Kept { .. } | Source::Read => 0,
        };
        let longest = self.sources.iter().map(tokens_of).max().unwrap_or_default();
        for source in &mut self.sources {
            let tokens = tokens_of(source);
            if tokens > 0 && tokens < longest {
                *source = Source::Read;
                self.kept_tokens -= tokens;
                self.reread_tokens += tokens;
            }
        }
        let longest = self.saves.iter().flatten().map(|save| save.tokens).max();
        for save in &mut self.saves {
            *save = save.take().filter(|save| Some(save.tokens) == longest);
        }
    }
}

/// Looks for the parts of a prompt, on behalf of one engine.
struct Planner<'a> {
    now_ms: u64,
    upstreams: &'a Upstreams,
    stores: &'a Stores,
    engine: &'a EngineSpec,
    upstream: &'a Upstream,
    scope: &'a str,
    reads_stores: bool,
    saves: bool,
}

/// Who sends a part, and how soon it is there.
struct Offer {
    source: Source,
    move_ms: f64,
}

impl Offer {
    /// Whether moving costs less than reading `tokens` again.
    fn worth_it(&self, tokens: u32) -> bool {
        let read_ms = f64::from(tokens) / READ_TOKENS_PER_MS;
        self.move_ms < MAX_LINK_WAIT_MS && self.move_ms < read_ms * (1.0 + REREAD_WEIGHT)
    }
}

impl Planner<'_> {
    /// Finds a source for the next part.
    fn add(&self, part: &Part, tally: &mut Tally) {
        let key = PartKey::new(self.scope, &part.id);
        let own = self.upstream.holder.tokens(key).min(part.tokens);
        let source = if tally.broken {
            tally.reread_tokens += if self.is_kept(key) { part.tokens } else { 0 };
            Source::Read
        } else if own >= part.tokens {
            tally.kept_tokens += part.tokens;
            let address = self.cheapest(key, part.tokens).map(|offer| offer.source.address());
            tally.unnamed |= address.is_none();
            Source::Kept { address: address.flatten() }
        } else {
            self.fetch_or_read(key, part.tokens, own, tally)
        };
        tally.sources.push(source);
        tally.saves.push(self.save(key, part.tokens));
    }

    fn fetch_or_read(&self, key: PartKey, tokens: u32, own: u32, tally: &mut Tally) -> Source {
        let left = tokens - own;
        let offer = self.cheapest(key, tokens).filter(|_| !tally.unnamed);
        if let Some(offer) = offer.filter(|offer| offer.worth_it(left)) {
            tally.fetch_ms += offer.move_ms;
            tally.kept_tokens += tokens;
            return offer.source;
        }
        tally.kept_tokens += own;
        tally.reread_tokens += if self.is_kept(key) { left } else { 0 };
        tally.broken = true;
        Source::Read
    }

    /// Whether any engine or store keeps a part: reading it again is a waste
    /// then.
    fn is_kept(&self, key: PartKey) -> bool {
        let mut engines = self.upstreams.of(&self.upstream.entry.service);
        engines.any(|one| one.holder.tokens(key) > 0)
            || self.stores.iter().any(|(_, state)| state.holder.tokens(key) > 0)
    }

    /// Who would send a whole part soonest.
    fn cheapest(&self, key: PartKey, tokens: u32) -> Option<Offer> {
        let offers = self.store_offers(key, tokens).chain(self.engine_offers(key, tokens));
        offers.min_by(|one, other| one.move_ms.total_cmp(&other.move_ms))
    }

    fn store_offers(&self, key: PartKey, tokens: u32) -> impl Iterator<Item = Offer> {
        let usable = self.stores.iter().filter(move |(_, state)| {
            let whole = state.holder.tokens(key) >= tokens;
            self.reads_stores && whole && !state.is_doubtful(self.now_ms)
        });
        usable.map(move |(store, state)| {
            let address = store.address.to_string();
            let source = Source::From { address, store: Some(store.name.clone()), tokens };
            Offer { source, move_ms: self.store_move_ms(store, state, tokens) }
        })
    }

    fn engine_offers(&self, key: PartKey, tokens: u32) -> impl Iterator<Item = Offer> {
        let others = self.upstreams.of(&self.upstream.entry.service);
        let usable = others.filter(move |one| {
            let whole = one.holder.tokens(key) >= tokens;
            whole && one.id != self.upstream.id && !one.is_doubtful(self.now_ms)
        });
        usable.map(move |one| {
            let factor = hall_factor(&one.entry.hall, &self.upstream.entry.hall);
            let link_ms = bytes_ms(tokens, self.engine, self.engine.link_mbps) * factor;
            let address = one.entry.address.to_string();
            let source = Source::From { address, store: None, tokens };
            Offer { source, move_ms: MOVE_OVERHEAD_MS + link_ms }
        })
    }

    fn store_move_ms(&self, store: &Store, state: &StoreState, tokens: u32) -> f64 {
        let factor = hall_factor(&store.hall, &self.upstream.entry.hall);
        let waiting = u32::try_from(state.fetch_tokens()).unwrap_or(u32::MAX);
        let wait_ms = bytes_ms(waiting, self.engine, store.link_mbps);
        let move_ms = bytes_ms(tokens, self.engine, store.link_mbps) * factor;
        MOVE_OVERHEAD_MS + store.first_ms + (wait_ms + move_ms) * state.slowness(self.now_ms)
    }

    /// The store that is to take a part, when none keeps it.
    fn save(&self, key: PartKey, tokens: u32) -> Option<Save> {
        let hall = &self.upstream.entry.hall;
        let store = self.stores.place_for(self.now_ms, key, tokens, hall).filter(|_| self.saves)?;
        Some(Save {
            address: store.address.to_string(),
            store: store.name.clone(),
            part: key,
            tokens,
        })
    }
}

/// Time that tokens take over a link.
#[must_use]
pub fn bytes_ms(tokens: u32, engine: &EngineSpec, link_mbps: f64) -> f64 {
    let bits =
        f64::from(tokens) * f64::from(u32::try_from(engine.token_bytes).unwrap_or(u32::MAX)) * 8.0;
    bits / (link_mbps.max(1.0) * 1000.0)
}

/// How much longer a move takes for the halls that it crosses.
#[must_use]
pub fn hall_factor(from: &str, to: &str) -> f64 {
    if from == to { 1.0 } else { OTHER_HALL_FACTOR }
}
