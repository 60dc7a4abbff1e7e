//! Where a request runs, and where each part of its prompt comes from.
//!
//! The cost of an engine is the time to the first token as it is expected
//! there: what it has to read before, what of the prompt it must fetch, and
//! what it must read again. A part read again although it is kept somewhere
//! costs more than its time, since it takes the engine from others.

use crate::gateway::holder::PartKey;
use crate::gateway::prompt::Prompt;
use crate::gateway::site::{EngineSpec, Store};
use crate::gateway::stores::{StoreState, Stores};
use crate::gateway::upstreams::{Upstream, Upstreams};
use crate::gateway::weights::NamedWeights;

/// Prompt tokens that an engine reads in a millisecond, until it is measured.
pub const READ_TOKENS_PER_MS: f64 = 50.0;
/// Cost of another running request: each slows the others' tokens.
const RUNNING_COST_MS: f64 = 3.0;
/// Weight of a millisecond of reading again against one of waiting.
const REREAD_WEIGHT: f64 = 6.0;
/// Cost of an upstream in another hall: bytes between halls are dear.
const OTHER_HALL_COST_MS: f64 = 25.0;
/// Moves between halls take this many times as long.
const OTHER_HALL_FACTOR: f64 = 2.0;
/// Cost of a doubtful upstream; it is chosen when all are.
const DOUBTFUL_COST_MS: f64 = 100_000.0;
/// Cost of weights that are older than the newest named.
const OLD_WEIGHTS_COST_MS: f64 = 200.0;
/// Time for which older weights are as good as new ones.
const OLD_WEIGHTS_GRACE_MS: u64 = 1500;
/// Cost of weights that should not be there any more: any other engine goes
/// before, but for doubtful ones.
const OVERDUE_COST_MS: f64 = 20_000.0;
/// Time by which a request may begin after it was sent.
const BEGIN_MS: u64 = 1000;
/// A transfer that would wait longer is not begun by engines.
const MAX_LINK_WAIT_MS: f64 = 1000.0;
/// Overhead of any transfer beside its bytes.
const MOVE_OVERHEAD_MS: f64 = 5.0;

/// What a request asks of an upstream.
pub struct Demand<'a> {
    /// Service.
    pub service: &'a str,
    /// Data hall of this box.
    pub hall: &'a str,
    /// Prompt, when there is one.
    pub prompt: Option<&'a Prompt>,
    /// Account whose context is kept apart.
    pub isolated_account: Option<&'a str>,
    /// Weight versions named for the prompt's model.
    pub weights: Option<&'a NamedWeights>,
    /// Time in which a named version must be everywhere.
    pub weights_apply_ms: u64,
    /// Upstreams that were tried already.
    pub tried: &'a [String],
    /// Most requests that this box may have at one upstream.
    pub max_requests: u32,
}

impl Demand<'_> {
    /// Since when an engine with `version` is behind.
    fn behind_since_ms(&self, version: u64) -> Option<u64> {
        self.weights.and_then(|weights| weights.behind_since_ms(version))
    }

    /// Whether a request sent now may begin when `version` must be gone.
    fn is_overdue(&self, now_ms: u64, version: u64) -> bool {
        let since_ms = self.behind_since_ms(version);
        since_ms.is_some_and(|since_ms| now_ms + BEGIN_MS >= since_ms + self.weights_apply_ms)
    }
}

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

/// A choice.
#[derive(Clone, Debug, PartialEq)]
pub struct Choice {
    /// Id of the upstream.
    pub id: String,
    /// What it is told about kept context.
    pub context: Option<ContextPlan>,
    /// Expected time to the first token.
    pub expected_ms: f64,
}

/// Chooses an upstream; `None` when none can take the request.
#[must_use]
pub fn choose(
    now_ms: u64,
    upstreams: &Upstreams,
    stores: &Stores,
    engine: Option<&EngineSpec>,
    demand: &Demand<'_>,
) -> Option<Choice> {
    let mut best: Option<(f64, &Upstream, Option<ContextPlan>, f64)> = None;
    for upstream in upstreams.of(demand.service) {
        if demand.tried.contains(&upstream.id) || upstream.own.requests >= demand.max_requests {
            continue;
        }
        if upstream.is_loading(now_ms) {
            continue;
        }
        let (cost, context, expected_ms) = match (demand.prompt, engine) {
            (Some(prompt), Some(engine)) => {
                let plan = plan(now_ms, upstreams, stores, engine, upstream, prompt, demand);
                let (cost, expected_ms) = engine_cost(now_ms, upstream, engine, &plan, demand);
                (cost, Some(plan.context), expected_ms)
            }
            _ => (plain_cost(upstream), None, 0.0),
        };
        let hall_cost = if upstream.entry.hall == demand.hall { 0.0 } else { OTHER_HALL_COST_MS };
        let doubt_cost = if upstream.is_doubtful(now_ms) { DOUBTFUL_COST_MS } else { 0.0 };
        let cost = cost + hall_cost + doubt_cost;
        if best.as_ref().is_none_or(|(least, ..)| cost < *least) {
            best = Some((cost, upstream, context, expected_ms));
        }
    }
    best.map(|(_, upstream, context, expected_ms)| Choice {
        id: upstream.id.clone(),
        context,
        expected_ms,
    })
}

/// Cost of an upstream of a plain service, in milliseconds.
fn plain_cost(upstream: &Upstream) -> f64 {
    let slots = upstream.entry.slots.max(1);
    let requests = upstream.load().requests;
    let full = if requests >= slots { f64::from(requests - slots + 1) * 30.0 } else { 0.0 };
    f64::from(requests) * 100.0 / f64::from(slots) + full
}

struct Planned {
    context: ContextPlan,
    fetch_ms: f64,
}

fn engine_cost(
    now_ms: u64,
    upstream: &Upstream,
    engine: &EngineSpec,
    plan: &Planned,
    demand: &Demand<'_>,
) -> (f64, f64) {
    let load = upstream.load();
    let waiting_ms = f64::from(load.unread_tokens) / READ_TOKENS_PER_MS;
    let read_ms = f64::from(plan.context.read_tokens) / READ_TOKENS_PER_MS;
    let reread_ms = f64::from(plan.context.reread_tokens) / READ_TOKENS_PER_MS;
    let over = load.requests.saturating_sub(engine.slots);
    let expected_ms = waiting_ms.max(plan.fetch_ms) + read_ms;
    let behind = demand.behind_since_ms(plan.context.version);
    let old_cost = match behind {
        Some(_) if demand.is_overdue(now_ms, plan.context.version) => OVERDUE_COST_MS,
        Some(since_ms) if now_ms >= since_ms + OLD_WEIGHTS_GRACE_MS => OLD_WEIGHTS_COST_MS,
        Some(_) | None => 0.0,
    };
    let cost = expected_ms
        + reread_ms * REREAD_WEIGHT
        + plan.fetch_ms * 0.5
        + f64::from(load.requests) * RUNNING_COST_MS
        + f64::from(over) * 50.0
        + old_cost;
    (cost, expected_ms)
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

fn plan(
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
    let behind_since_ms = demand.behind_since_ms(version);
    let newest = behind_since_ms.is_none();
    // Old context is freed once no engine has its version any more.
    let with_stores = !demand.is_overdue(now_ms, version);
    let mut sources = Vec::with_capacity(prompt.parts.len());
    let mut saves = Vec::with_capacity(prompt.parts.len());
    let mut fetch_ms = 0.0;
    let mut kept_tokens = 0;
    let mut reread_tokens = 0;
    let mut broken = false;
    for part in prompt.shared_parts() {
        let key = PartKey::new(&scope, &part.id);
        let own = upstream.holder.tokens(key).min(part.tokens);
        let mut source = Source::Read;
        if broken {
            // Context after a hole is of no use.
            reread_tokens += if is_kept(upstreams, stores, upstream, key) { part.tokens } else { 0 };
        } else if own >= part.tokens {
            kept_tokens += part.tokens;
            let offer = cheapest(
                now_ms,
                upstreams,
                stores,
                engine,
                upstream,
                key,
                part.tokens,
                with_stores,
            );
            let address = offer.and_then(|offer| match offer.source {
                Source::From { address, .. } => Some(address),
                Source::Kept { .. } | Source::Read => None,
            });
            source = Source::Kept { address };
        } else {
            let left = part.tokens - own;
            let offer = cheapest(
                now_ms,
                upstreams,
                stores,
                engine,
                upstream,
                key,
                part.tokens,
                with_stores,
            );
            match offer {
                Some(offer) if offer.worth_it(left) => {
                    fetch_ms += offer.move_ms;
                    kept_tokens += part.tokens;
                    source = offer.source;
                }
                _ => {
                    kept_tokens += own;
                    reread_tokens += if is_kept(upstreams, stores, upstream, key) { left } else { 0 };
                    broken = true;
                }
            }
        }
        let place = newest
            .then(|| stores.place_for(now_ms, key, part.tokens, &upstream.entry.hall))
            .flatten();
        saves.push(place.map(|store| Save {
            address: store.address.to_string(),
            store: store.name.clone(),
            part: key,
            tokens: part.tokens,
        }));
        sources.push(source);
    }
    if !prompt.parts.is_empty() {
        sources.push(Source::Read);
        saves.push(None);
    }
    let read_tokens = prompt.tokens.saturating_sub(kept_tokens);
    let context = ContextPlan { scope, version, sources, saves, fetch_ms, read_tokens, reread_tokens };
    Planned { context, fetch_ms }
}

/// Whether any engine or store keeps a part: reading it again is a waste then.
fn is_kept(upstreams: &Upstreams, stores: &Stores, upstream: &Upstream, key: PartKey) -> bool {
    upstreams.of(&upstream.entry.service).any(|one| one.holder.tokens(key) > 0)
        || stores.iter().any(|(_, state)| state.holder.tokens(key) > 0)
}

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

#[expect(clippy::too_many_arguments, reason = "one look-up over the whole state")]
fn cheapest(
    now_ms: u64,
    upstreams: &Upstreams,
    stores: &Stores,
    engine: &EngineSpec,
    upstream: &Upstream,
    key: PartKey,
    tokens: u32,
    with_stores: bool,
) -> Option<Offer> {
    let mut best: Option<Offer> = None;
    let mut consider = |offer: Offer| {
        if best.as_ref().is_none_or(|known| offer.move_ms < known.move_ms) {
            best = Some(offer);
        }
    };
    if with_stores {
        for (store, state) in stores.iter() {
            if state.holder.tokens(key) < tokens || state.is_doubtful(now_ms) {
                continue;
            }
            let move_ms = store_move_ms(now_ms, store, state, engine, upstream, tokens);
            let address = store.address.to_string();
            let source = Source::From { address, store: Some(store.name.clone()), tokens };
            consider(Offer { source, move_ms });
        }
    }
    for other in upstreams.of(&upstream.entry.service) {
        if other.id == upstream.id || other.is_doubtful(now_ms) {
            continue;
        }
        if other.holder.tokens(key) < tokens {
            continue;
        }
        let factor = hall_factor(&other.entry.hall, &upstream.entry.hall);
        let move_ms = MOVE_OVERHEAD_MS + bytes_ms(tokens, engine, engine.link_mbps) * factor;
        let address = other.entry.address.to_string();
        consider(Offer { source: Source::From { address, store: None, tokens }, move_ms });
    }
    best
}

fn store_move_ms(
    now_ms: u64,
    store: &Store,
    state: &StoreState,
    engine: &EngineSpec,
    upstream: &Upstream,
    tokens: u32,
) -> f64 {
    let factor = hall_factor(&store.hall, &upstream.entry.hall);
    let waiting = u32::try_from(state.fetch_tokens()).unwrap_or(u32::MAX);
    let wait_ms = bytes_ms(waiting, engine, store.link_mbps);
    let move_ms = bytes_ms(tokens, engine, store.link_mbps) * factor;
    MOVE_OVERHEAD_MS + store.first_ms + (wait_ms + move_ms) * state.slowness(now_ms)
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
