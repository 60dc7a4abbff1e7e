//! Finds the sources of the parts of a prompt: looks up the cached copies once for each weight
//! version, then selects sources for each engine.
//!
//! Cached context is usable only up to the first part that is neither cached by the engine nor
//! fetched. Each part is fetched from the cache that delivers it first, unless recomputing it is
//! cheaper. Parts are fetched from stores only if they are known to be complete.

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

/// Cost of a millisecond of recomputation relative to a millisecond of waiting.
pub const RECOMPUTE_WEIGHT: f64 = 6.0;
/// Factor by which transfers between halls take longer.
const OTHER_HALL_FACTOR: f64 = 2.0;
/// Part of the latency objective that a transfer may take even if recomputing the part would be
/// faster, which keeps the engine free for other requests.
const TRANSFER_PART: f64 = 0.5;
/// An engine with fewer tokens left to prefill is idle: it can recompute a part without delaying
/// others.
const IDLE_PREFILL_TOKENS: u32 = 1000;
/// Engines do not start a transfer that would have to wait longer than this, so transfers that are
/// expected to take longer are not planned.
const MAX_PLANNED_TRANSFER_MS: f64 = 1000.0;
/// Fixed overhead of a transfer.
const TRANSFER_OVERHEAD_MS: f64 = 5.0;

/// A part of the prompt and the caches that have its context.
struct PartLocations<'a> {
    key: PartKey,
    tokens: u32,
    /// Whether most requests share the part, so that engines whose cache content is unknown are
    /// assumed to have it. True for the first of several parts.
    is_common: bool,
    /// Stores with a complete copy.
    stores: Vec<&'a (Store, StoreState)>,
    /// Healthy engines with a complete copy.
    engines: Vec<&'a Upstream>,
    /// Whether some cache has at least some of the part, so that recomputing it is wasted work.
    has_copy: bool,
    /// Store that is to save the part.
    save_to: Option<&'a Store>,
}

/// Locations of the parts of a prompt under one weight version.
pub struct Lookup<'a> {
    pub version: u64,
    scope: String,
    group: Option<&'a str>,
    now_ms: u64,
    objective_ms: u64,
    prompt: &'a Prompt,
    parts: Vec<PartLocations<'a>>,
}

impl<'a> Lookup<'a> {
    /// Looks up all shared parts.
    #[must_use]
    pub fn new(
        now_ms: u64,
        upstreams: &'a Upstreams,
        stores: &'a Stores,
        prompt: &'a Prompt,
        demand: &Demand<'a>,
        version: u64,
    ) -> Self {
        let scope = scope(&prompt.model, version, demand.context_group);
        // Context of replaced weights is released early to make room for that of the new weights.
        let behind_since_ms = demand.behind_since_ms(version);
        let reads_from_stores = behind_since_ms
            .is_none_or(|since_ms| now_ms < since_ms + OLD_CONTEXT_READ_MS)
            && !demand.is_overdue(now_ms, version);
        let saves = behind_since_ms.is_none();
        let shared = prompt.shared_parts();
        // In a large fleet no box follows what engines cache.
        let caching: Vec<&Upstream> = upstreams
            .of_service(demand.service)
            .filter(|engine| engine.contents.total_tokens() > 0)
            .collect();
        let parts = shared.iter().enumerate().map(|(index, part)| {
            let key = PartKey::new(&scope, &part.id);
            let engines = caching.iter().copied();
            let engines: Vec<&Upstream> =
                engines.filter(|engine| engine.contents.tokens(key) > 0).collect();
            let has_copy = !engines.is_empty() || stores.has_part(key);
            let is_common = index == 0 && shared.len() > 1;
            let placement = if is_common {
                demand.placement.for_common_part(demand.hall)
            } else {
                demand.placement
            };
            PartLocations {
                key,
                tokens: part.tokens,
                is_common,
                stores: if reads_from_stores {
                    stores.with_complete_copy(now_ms, key, part.tokens).collect()
                } else {
                    Vec::new()
                },
                engines: engines
                    .into_iter()
                    .filter(|engine| {
                        engine.contents.tokens(key) >= part.tokens && !engine.is_unhealthy(now_ms)
                    })
                    .collect(),
                has_copy,
                save_to: stores
                    .store_for_save(now_ms, key, part.tokens, placement, demand.allowed_halls)
                    .filter(|_| saves),
            }
        });
        let parts = parts.collect();
        let objective_ms = demand.admission.objective_ms;
        let group = demand.context_group;
        Self { version, scope, group, now_ms, objective_ms, prompt, parts }
    }

    /// The hall of a store that has the longest cached part.
    #[must_use]
    pub fn context_hall(&self) -> Option<&'a str> {
        let stored = self.parts.iter().filter(|part| !part.is_common && !part.stores.is_empty());
        let longest = stored.max_by_key(|part| part.tokens)?;
        longest.stores.first().map(|(store, _)| store.hall.as_str())
    }

    /// The sources and saves that a request to `upstream` would name.
    #[must_use]
    pub fn plan(&self, engine: &EngineSpec, upstream: &Upstream) -> ContextPlan {
        let objective_ms = self.objective_ms;
        let selector = SourceSelector { now_ms: self.now_ms, engine, upstream, objective_ms };
        let mut plan = PlanBuilder::default();
        for part in &self.parts {
            selector.add(part, &mut plan);
        }
        if !self.prompt.parts.is_empty() {
            plan.sources.push(PartSource::Prefill);
            plan.saves.push(None);
        }
        if !engine.per_part_sources {
            plan.keep_longest_only();
        }
        ContextPlan {
            version: self.version,
            per_part_sources: engine.per_part_sources,
            sources: plan.sources,
            saves: plan.saves,
            fetch_ms: plan.fetch_ms,
            prefill_tokens: self.prompt.tokens.saturating_sub(plan.cached_tokens),
            recomputed_tokens: plan.recomputed_tokens,
            scope: self.scope.clone(),
            group: self.group.map(str::to_owned),
        }
    }
}

/// Sources and saves of the parts so far.
#[derive(Default)]
struct PlanBuilder {
    sources: Vec<PartSource>,
    saves: Vec<Option<Save>>,
    fetch_ms: f64,
    cached_tokens: u32,
    recomputed_tokens: u32,
    /// A part is missing, so that later ones cannot be used.
    prefix_ended: bool,
    /// A local part has no alternate address: engines stop reading the list of sources there.
    address_missing: bool,
}

impl PlanBuilder {
    /// Keeps only one source and one store, those of the longest part.
    fn keep_longest_only(&mut self) {
        let tokens_of = |source: &PartSource| match source {
            PartSource::Remote { tokens, .. } => *tokens,
            PartSource::Local { .. } | PartSource::Prefill => 0,
        };
        let longest = self.sources.iter().map(tokens_of).max().unwrap_or_default();
        for source in &mut self.sources {
            let tokens = tokens_of(source);
            if tokens > 0 && tokens < longest {
                *source = PartSource::Prefill;
                self.cached_tokens = self.cached_tokens.saturating_sub(tokens);
                self.recomputed_tokens = self.recomputed_tokens.saturating_add(tokens);
            }
        }
        let longest = self.saves.iter().flatten().map(|save| save.tokens).max();
        for save in &mut self.saves {
            *save = save.take().filter(|save| Some(save.tokens) == longest);
        }
    }
}

/// Selects the sources of parts for one engine.
struct SourceSelector<'a> {
    now_ms: u64,
    engine: &'a EngineSpec,
    upstream: &'a Upstream,
    objective_ms: u64,
}

/// A possible source of a part and its transfer time.
struct SourceOption {
    source: PartSource,
    transfer_ms: f64,
}

impl SourceSelector<'_> {
    /// Adds the source of the next part.
    fn add(&self, part: &PartLocations<'_>, plan: &mut PlanBuilder) {
        let local = self.local_tokens(part);
        let source = if plan.prefix_ended {
            plan.recomputed_tokens =
                plan.recomputed_tokens.saturating_add(if part.has_copy { part.tokens } else { 0 });
            PartSource::Prefill
        } else if local >= part.tokens {
            plan.cached_tokens = plan.cached_tokens.saturating_add(part.tokens);
            let alternate_address = self.fastest(part).and_then(|option| option.source.address());
            plan.address_missing |= alternate_address.is_none();
            PartSource::Local { alternate_address }
        } else {
            self.fetch_or_prefill(part, local, plan)
        };
        plan.sources.push(source);
        plan.saves.push(part.save_to.map(|store| Save {
            address: store.address.to_string(),
            store: store.name.clone(),
            part: part.key,
            tokens: part.tokens,
        }));
    }

    /// Whether a transfer is worth it for `tokens` that would be computed otherwise: it takes no
    /// more than its part of the latency objective or, unless the engine is idle and would compute
    /// them within that time, it is cheaper.
    fn is_worthwhile(&self, option: &SourceOption, tokens: u32) -> bool {
        let prefill_ms = f64::from(tokens) / PREFILL_TOKENS_PER_MS;
        let allowed_ms = as_f64(self.objective_ms) * TRANSFER_PART;
        let is_idle = self.upstream.total_load().pending_prefill_tokens < IDLE_PREFILL_TOKENS;
        let limit_ms = if is_idle && prefill_ms <= allowed_ms {
            allowed_ms
        } else {
            allowed_ms.max(prefill_ms * (1.0 + RECOMPUTE_WEIGHT))
        };
        option.transfer_ms < MAX_PLANNED_TRANSFER_MS.min(limit_ms)
    }

    /// Tokens of a part in the engine's own cache.
    fn local_tokens(&self, part: &PartLocations<'_>) -> u32 {
        let contents = &self.upstream.contents;
        if !contents.is_known() && part.is_common {
            return part.tokens;
        }
        contents.tokens(part.key).min(part.tokens)
    }

    fn fetch_or_prefill(
        &self,
        part: &PartLocations<'_>,
        local: u32,
        plan: &mut PlanBuilder,
    ) -> PartSource {
        let missing = part.tokens - local;
        let option = self.fastest(part).filter(|_| !plan.address_missing);
        if let Some(option) = option.filter(|option| self.is_worthwhile(option, missing)) {
            plan.fetch_ms += option.transfer_ms;
            plan.cached_tokens = plan.cached_tokens.saturating_add(part.tokens);
            return option.source;
        }
        plan.cached_tokens = plan.cached_tokens.saturating_add(local);
        plan.recomputed_tokens =
            plan.recomputed_tokens.saturating_add(if part.has_copy { missing } else { 0 });
        plan.prefix_ended = true;
        PartSource::Prefill
    }

    /// The source that delivers the complete part first.
    fn fastest(&self, part: &PartLocations<'_>) -> Option<SourceOption> {
        let stores = part.stores.iter().map(|(store, state)| {
            let tokens = part.tokens;
            let address = store.address.to_string();
            let source = PartSource::Remote { address, store: Some(store.name.clone()), tokens };
            SourceOption { source, transfer_ms: self.store_transfer_ms(store, state, tokens) }
        });
        let engines =
            part.engines.iter().filter(|engine| engine.id != self.upstream.id).map(|engine| {
                let factor = hall_factor(&engine.entry.hall, &self.upstream.entry.hall);
                let link_ms =
                    link_transfer_ms(part.tokens, self.engine, self.engine.link_mbps) * factor;
                let address = engine.entry.address.to_string();
                let source = PartSource::Remote { address, store: None, tokens: part.tokens };
                SourceOption { source, transfer_ms: TRANSFER_OVERHEAD_MS + link_ms }
            });
        stores.chain(engines).min_by(|left, right| left.transfer_ms.total_cmp(&right.transfer_ms))
    }

    fn store_transfer_ms(&self, store: &Store, state: &StoreState, tokens: u32) -> f64 {
        let factor = hall_factor(&store.hall, &self.upstream.entry.hall);
        let queued_tokens = u32::try_from(state.fetch_tokens()).unwrap_or(u32::MAX);
        let wait_ms = link_transfer_ms(queued_tokens, self.engine, store.link_mbps);
        let transfer_ms = link_transfer_ms(tokens, self.engine, store.link_mbps) * factor;
        TRANSFER_OVERHEAD_MS
            + store.transfer_setup_ms
            + (wait_ms + transfer_ms) * state.speed.slowdown(self.now_ms)
    }
}

/// Time to transfer the context of `tokens` over a link.
#[must_use]
pub fn link_transfer_ms(tokens: u32, engine: &EngineSpec, link_mbps: f64) -> f64 {
    let bits = f64::from(tokens)
        * f64::from(u32::try_from(engine.bytes_per_token).unwrap_or(u32::MAX))
        * 8.0;
    bits / (link_mbps.max(1.0) * 1000.0)
}

/// Factor for the transfer time between two halls.
#[must_use]
pub fn hall_factor(from: &str, to: &str) -> f64 {
    if from == to { 1.0 } else { OTHER_HALL_FACTOR }
}
