//! Where the parts of a prompt can come from: found once for each weight
//! version, then weighed for each engine.
//!
//! Context counts only up to the first part that is neither kept by the engine
//! nor fetched. A part is fetched from whoever sends it soonest, unless reading
//! it again is cheaper. Only a part that is known to be whole is fetched from a
//! store.

use crate::gateway::decisions::cache_contents::PartKey;
use crate::gateway::decisions::configuration::{EngineSpec, Store};
use crate::gateway::decisions::context::{
    ContextPlan, OLD_CONTEXT_READ_MS, PartSource, Save, scope,
};
use crate::gateway::decisions::demand::Demand;
use crate::gateway::decisions::prompt::Prompt;
use crate::gateway::decisions::stores::{StoreState, Stores};
use crate::gateway::decisions::units::{PREFILL_TOKENS_PER_MS, as_f64};
use crate::gateway::decisions::upstream::Upstream;
use crate::gateway::decisions::upstreams::Upstreams;

/// Weight of a millisecond of reading again against one of waiting.
pub const RECOMPUTE_WEIGHT: f64 = 6.0;
/// Moves between halls take this many times as long.
const OTHER_HALL_FACTOR: f64 = 2.0;
/// Part of a latency objective that a transfer may take where reading again would cost less
/// time: it leaves the engine its own for others.
const TRANSFER_PART: f64 = 0.5;
/// A transfer that would wait longer is not begun by engines.
const MAX_LINK_WAIT_MS: f64 = 1000.0;
/// Overhead of any transfer beside its bytes.
const MOVE_OVERHEAD_MS: f64 = 5.0;

/// Where a part is kept.
struct Found<'a> {
    key: PartKey,
    tokens: u32,
    /// Whether engines that nothing is known of are presumed to keep it: the
    /// first part of several is the one that most requests share.
    common: bool,
    /// Stores that keep it.
    stores: Vec<&'a (Store, StoreState)>,
    /// Engines that keep it.
    engines: Vec<&'a Upstream>,
    /// Whether anybody is known to keep some of it: reading it again is a waste.
    kept: bool,
    /// Store that is to take it.
    save_to: Option<&'a Store>,
}

/// Where the parts of a prompt are kept, under one weight version.
pub struct Lookup<'a> {
    /// The weight version.
    pub version: u64,
    scope: String,
    now_ms: u64,
    objective_ms: u64,
    prompt: &'a Prompt,
    parts: Vec<Found<'a>>,
}

impl<'a> Lookup<'a> {
    /// Looks for all parts.
    #[must_use]
    pub fn new(
        now_ms: u64,
        upstreams: &'a Upstreams,
        stores: &'a Stores,
        prompt: &'a Prompt,
        demand: &Demand<'a>,
        version: u64,
    ) -> Self {
        let scope = scope(&prompt.model, version, demand.isolated_account);
        // Old context is freed soon, so that what is read anew can be saved: as long as it
        // stayed, up to 2.8 million tokens were read again on a day with two roll-outs.
        let behind_since_ms = demand.behind_since_ms(version);
        let reads_stores = behind_since_ms
            .is_none_or(|since_ms| now_ms < since_ms + OLD_CONTEXT_READ_MS)
            && !demand.is_overdue(now_ms, version);
        let saves = behind_since_ms.is_none();
        let shared = prompt.shared_parts();
        let parts = shared.iter().enumerate().map(|(place, part)| {
            let key = PartKey::new(&scope, &part.id);
            let of_service = upstreams.of_service(demand.service);
            let engines: Vec<&Upstream> =
                of_service.filter(|one| one.contents.tokens(key) > 0).collect();
            let kept = !engines.is_empty() || stores.has_part(key);
            let common = place == 0 && shared.len() > 1;
            let placement = if common {
                demand.placement.for_common_part(demand.hall)
            } else {
                demand.placement
            };
            Found {
                key,
                tokens: part.tokens,
                common,
                stores: if reads_stores {
                    stores.complete_holders(now_ms, key, part.tokens).collect()
                } else {
                    Vec::new()
                },
                engines: engines
                    .into_iter()
                    .filter(|one| {
                        one.contents.tokens(key) >= part.tokens && !one.is_unhealthy(now_ms)
                    })
                    .collect(),
                kept,
                save_to: stores
                    .store_for_save(now_ms, key, part.tokens, placement)
                    .filter(|_| saves),
            }
        });
        let parts = parts.collect();
        let objective_ms = demand.admission.objective_ms;
        Self { version, scope, now_ms, objective_ms, prompt, parts }
    }

    /// The hall of a store that keeps the longest part.
    #[must_use]
    pub fn context_hall(&self) -> Option<&'a str> {
        let kept = self.parts.iter().filter(|found| !found.common && !found.stores.is_empty());
        let longest = kept.max_by_key(|found| found.tokens)?;
        longest.stores.first().map(|(store, _)| store.hall.as_str())
    }

    /// What an engine would be told.
    #[must_use]
    pub fn plan(&self, engine: &EngineSpec, upstream: &Upstream) -> ContextPlan {
        let objective_ms = self.objective_ms;
        let weigher = Weigher { now_ms: self.now_ms, engine, upstream, objective_ms };
        let mut tally = Tally::default();
        for found in &self.parts {
            weigher.add(found, &mut tally);
        }
        if !self.prompt.parts.is_empty() {
            tally.sources.push(PartSource::Prefill);
            tally.saves.push(None);
        }
        if !engine.per_part_sources {
            tally.name_one_holder();
        }
        ContextPlan {
            version: self.version,
            per_part_sources: engine.per_part_sources,
            sources: tally.sources,
            saves: tally.saves,
            fetch_ms: tally.fetch_ms,
            prefill_tokens: self.prompt.tokens.saturating_sub(tally.kept_tokens),
            recomputed_tokens: tally.recomputed_tokens,
            scope: self.scope.clone(),
        }
    }
}

/// What was found for the parts so far.
#[derive(Default)]
struct Tally {
    sources: Vec<PartSource>,
    saves: Vec<Option<Save>>,
    fetch_ms: f64,
    kept_tokens: u32,
    recomputed_tokens: u32,
    /// A part is missing: what comes after it is of no use.
    broken: bool,
    /// No other holder could be named for a kept part: engines stop there.
    unnamed: bool,
}

impl Tally {
    /// Names just one source and one store, those of the longest part.
    fn name_one_holder(&mut self) {
        let tokens_of = |source: &PartSource| match source {
            PartSource::Remote { tokens, .. } => *tokens,
            PartSource::Local { .. } | PartSource::Prefill => 0,
        };
        let longest = self.sources.iter().map(tokens_of).max().unwrap_or_default();
        for source in &mut self.sources {
            let tokens = tokens_of(source);
            if tokens > 0 && tokens < longest {
                *source = PartSource::Prefill;
                self.kept_tokens -= tokens;
                self.recomputed_tokens += tokens;
            }
        }
        let longest = self.saves.iter().flatten().map(|save| save.tokens).max();
        for save in &mut self.saves {
            *save = save.take().filter(|save| Some(save.tokens) == longest);
        }
    }
}

/// Weighs the sources of parts for one engine.
struct Weigher<'a> {
    now_ms: u64,
    engine: &'a EngineSpec,
    upstream: &'a Upstream,
    objective_ms: u64,
}

/// Who sends a part, and how soon it is there.
struct Offer {
    source: PartSource,
    move_ms: f64,
}

impl Offer {
    /// Whether moving costs less than reading `tokens` again, or leaves enough of the latency
    /// objective.
    fn worth_it(&self, tokens: u32, objective_ms: u64) -> bool {
        let prefill_ms = f64::from(tokens) / PREFILL_TOKENS_PER_MS;
        let in_time_ms = as_f64(objective_ms) * TRANSFER_PART;
        self.move_ms < MAX_LINK_WAIT_MS.min(in_time_ms.max(prefill_ms * (1.0 + RECOMPUTE_WEIGHT)))
    }
}

impl Weigher<'_> {
    /// Finds a source for the next part.
    fn add(&self, found: &Found<'_>, tally: &mut Tally) {
        let own = self.own_tokens(found);
        let source = if tally.broken {
            tally.recomputed_tokens += if found.kept { found.tokens } else { 0 };
            PartSource::Prefill
        } else if own >= found.tokens {
            tally.kept_tokens += found.tokens;
            let address = self.cheapest(found).and_then(|offer| offer.source.address());
            tally.unnamed |= address.is_none();
            PartSource::Local { alternate_address: address }
        } else {
            self.fetch_or_read(found, own, tally)
        };
        tally.sources.push(source);
        tally.saves.push(found.save_to.map(|store| Save {
            address: store.address.to_string(),
            store: store.name.clone(),
            part: found.key,
            tokens: found.tokens,
        }));
    }

    /// Tokens of a part that the engine keeps itself.
    fn own_tokens(&self, found: &Found<'_>) -> u32 {
        let holder = &self.upstream.contents;
        if !holder.is_known() && found.common {
            return found.tokens;
        }
        holder.tokens(found.key).min(found.tokens)
    }

    fn fetch_or_read(&self, found: &Found<'_>, own: u32, tally: &mut Tally) -> PartSource {
        let left = found.tokens - own;
        let offer = self.cheapest(found).filter(|_| !tally.unnamed);
        if let Some(offer) = offer.filter(|offer| offer.worth_it(left, self.objective_ms)) {
            tally.fetch_ms += offer.move_ms;
            tally.kept_tokens += found.tokens;
            return offer.source;
        }
        tally.kept_tokens += own;
        tally.recomputed_tokens += if found.kept { left } else { 0 };
        tally.broken = true;
        PartSource::Prefill
    }

    /// Who would send a whole part soonest.
    fn cheapest(&self, found: &Found<'_>) -> Option<Offer> {
        let stores = found.stores.iter().map(|(store, state)| {
            let tokens = found.tokens;
            let address = store.address.to_string();
            let source = PartSource::Remote { address, store: Some(store.name.clone()), tokens };
            Offer { source, move_ms: self.store_move_ms(store, state, tokens) }
        });
        let engines = found.engines.iter().filter(|one| one.id != self.upstream.id).map(|one| {
            let factor = hall_factor(&one.entry.hall, &self.upstream.entry.hall);
            let link_ms = bytes_ms(found.tokens, self.engine, self.engine.link_mbps) * factor;
            let address = one.entry.address.to_string();
            let source = PartSource::Remote { address, store: None, tokens: found.tokens };
            Offer { source, move_ms: MOVE_OVERHEAD_MS + link_ms }
        });
        stores.chain(engines).min_by(|one, other| one.move_ms.total_cmp(&other.move_ms))
    }

    fn store_move_ms(&self, store: &Store, state: &StoreState, tokens: u32) -> f64 {
        let factor = hall_factor(&store.hall, &self.upstream.entry.hall);
        let waiting = u32::try_from(state.fetch_tokens()).unwrap_or(u32::MAX);
        let wait_ms = bytes_ms(waiting, self.engine, store.link_mbps);
        let move_ms = bytes_ms(tokens, self.engine, store.link_mbps) * factor;
        MOVE_OVERHEAD_MS
            + store.transfer_setup_ms
            + (wait_ms + move_ms) * state.slowdown_factor(self.now_ms)
    }
}

/// Time that tokens take over a link.
#[must_use]
pub fn bytes_ms(tokens: u32, engine: &EngineSpec, link_mbps: f64) -> f64 {
    let bits = f64::from(tokens)
        * f64::from(u32::try_from(engine.bytes_per_token).unwrap_or(u32::MAX))
        * 8.0;
    bits / (link_mbps.max(1.0) * 1000.0)
}

/// How much longer a move takes for the halls that it crosses.
#[must_use]
pub fn hall_factor(from: &str, to: &str) -> f64 {
    if from == to { 1.0 } else { OTHER_HALL_FACTOR }
}
