//! Chooses the upstream of a request and the source of each part of its prompt.
//!
//! The cost of an engine is the expected time to the first token there: the prefill work queued
//! before the request, the transfer of cached parts and the prefill of the rest. Recomputing a part
//! that is cached somewhere costs more than its time, since it delays other requests on the engine.

use crate::gateway::decisions::admission::{Capacity, Occupancy, occupancy};
use crate::gateway::decisions::candidates::{CandidateSampler, Candidates};
use crate::gateway::decisions::configuration::EngineSpec;
use crate::gateway::decisions::context::ContextPlan;
use crate::gateway::decisions::demand::Demand;
use crate::gateway::decisions::engine_speed::Speed;
use crate::gateway::decisions::incarnation::Incarnation;
use crate::gateway::decisions::prompt::Prompt;
use crate::gateway::decisions::rate_limit::Sending;
use crate::gateway::decisions::room::{Limit, Needs, forecast};
use crate::gateway::decisions::sources::{Lookup, RECOMPUTE_WEIGHT};
use crate::gateway::decisions::stores::Stores;
use crate::gateway::decisions::units::rounded_ms;
use crate::gateway::decisions::upstream::{Load, Upstream};
use crate::gateway::decisions::upstreams::Upstreams;

/// Cost of each running request: each lengthens a decoding step by 0.1 ms, over about thirty steps.
const RUNNING_COST_MS: f64 = 3.0;
/// Cost of an upstream in another hall: the traffic between halls, and the requests lost if the
/// halls are cut off from each other.
const OTHER_HALL_COST_MS: f64 = 25.0;
/// Cost of an upstream in a hall that needs its capacity itself. A full engine of the own hall is
/// preferred, so that the request is refused.
const LOADED_HALL_COST_MS: f64 = 12_000.0;
/// Cost of an upstream without a model engine that has all slots in use; each slot in use costs an
/// equal share of it.
const BUSY_SLOTS_COST_MS: f64 = 100.0;
/// Cost of each request that waits for a slot: the work of a typical request.
const QUEUED_COST_MS: f64 = 30.0;
/// Time for which a request occupies memory on a busy engine under high load.
const MEMORY_HELD_MS: f64 = 800.0;
/// Part of an engine's memory that requests can fill; the rest holds the prompt parts that most
/// requests share.
const USABLE_MEMORY_PART: f64 = 0.8;
/// Weight of the transfer time beyond its effect on the first token, for the load on network links.
const FETCH_WEIGHT: f64 = 0.5;
/// Cost of an upstream that is reached through a peer: some more round trips between boxes.
const TUNNEL_COST_MS: f64 = 5.0;
/// Cost of an upstream that leaves and may only resume streams; any other is preferred except
/// unhealthy ones.
const LEAVING_COST_MS: f64 = 50_000.0;
/// Cost of an unhealthy upstream; it is chosen only if all are unhealthy.
const UNHEALTHY_COST_MS: f64 = 100_000.0;
/// Cost of an upstream to which no connection could be opened just now; any other is preferred.
const UNREACHABLE_COST_MS: f64 = 1_000_000.0;
/// Cost of a full engine; any other is preferred except unhealthy ones.
const FULL_ENGINE_COST_MS: f64 = 10_000.0;
/// Cost of an engine at which the first token is forecast to be late; any other with capacity that
/// neither leaves nor has overdue weights is preferred.
const LATE_FIRST_TOKEN_COST_MS: f64 = 5_000.0;
/// Cost of weights older than the newest named version; below the wait that would make a first
/// token late.
const OLD_WEIGHTS_COST_MS: f64 = 60.0;
/// Time after a new version is named during which the platform treats older weights as current.
const OLD_WEIGHTS_GRACE_MS: u64 = 1500;
/// Cost of weights past their replacement deadline, if they are not excluded; any other engine is
/// preferred except unhealthy ones.
const OVERDUE_COST_MS: f64 = 20_000.0;
/// Upper bound of a cost that differs per box and upstream, so that boxes without load information
/// do not all choose the same upstream. Less than the work of a short prompt.
const SPREAD_MS: f64 = 5.0;
/// Expected wait at an engine below which a late first token is attributed to the store that sent a
/// part; less than a typical fetch from a large store.
const NEGLIGIBLE_WAIT_MS: f64 = 20.0;

/// The chosen upstream, with the expectations that led to the choice.
#[derive(Clone, Debug, PartialEq)]
pub struct Choice {
    pub upstream: Incarnation,
    /// Short id of the version of its software.
    pub software: u32,
    /// Cached context that the request tells the engine to use; `None` for services without
    /// model engines.
    pub context: Option<ContextPlan>,
    /// Expected time to the first token.
    pub expected_first_token_ms: f64,
    /// Whether the expected wait at the engine is negligible, so that a late first token is
    /// attributed to the stores.
    pub engine_wait_negligible: bool,
    /// Occupancy of the upstream.
    pub occupancy: Occupancy,
    /// Why the upstream is full, if it is.
    pub limit: Option<Limit>,
    /// Time by which the latency objective requires the first token; `None` if that time has passed
    /// already, or without a prompt.
    pub objective_at_ms: Option<u64>,
    /// Engine memory that the request occupies.
    pub memory_tokens: u32,
    /// Load of the upstream assumed for the choice.
    pub load: Load,
    /// Time of the choice; stored context that it names may be freed some time later.
    pub chosen_at_ms: u64,
}

/// Chooses an upstream; `None` if none can take the request.
#[must_use]
pub fn choose<'a>(
    now_ms: u64,
    upstreams: &'a Upstreams,
    stores: &'a Stores,
    engine: Option<&EngineSpec>,
    demand: &Demand<'a>,
) -> Option<Choice> {
    let is_usable = |upstream: &&Upstream| {
        !upstreams.is_evacuated(upstream) && is_usable(now_ms, upstream, demand)
    };
    let eligible = upstreams.eligible(now_ms, demand.service, demand.software);
    let usable: Vec<&Upstream> = eligible.filter(is_usable).collect();
    let mut chooser = Chooser { now_ms, upstreams, stores, engine, demand, lookups: Vec::new() };
    let best = match demand.candidates {
        Candidates::All => chooser.best(&usable),
        Candidates::Sampled { seed, hall_boxes } => {
            chooser.best_sampled(&mut CandidateSampler::new(seed, hall_boxes, &usable), &usable)
        }
    };
    let mut best = best?;
    let is_full_by_load = best.expected.by_load == Occupancy::Full;
    if best.expected.limit == Some(Limit::Memory) && !is_full_by_load && is_service_idle(&usable) {
        (best.expected.occupancy, best.expected.limit) = (best.expected.by_load, None);
    }
    Some(best.into_choice(now_ms, demand))
}

/// Whether no prompt waits at any upstream, and less than half of the slots are in use. Then the load
/// alone decides, whatever memory the runs are expected to need.
fn is_service_idle(usable: &[&Upstream]) -> bool {
    if usable.iter().any(|upstream| upstream.total_load().pending_prefill_tokens > 0) {
        return false;
    }
    let slots: u64 = usable.iter().map(|upstream| u64::from(upstream.entry.slots)).sum();
    let requests: u64 =
        usable.iter().map(|upstream| u64::from(upstream.total_load().requests)).sum();
    2 * requests < slots
}

/// Whether a request may be sent to an upstream at all.
fn is_usable(now_ms: u64, upstream: &Upstream, demand: &Demand<'_>) -> bool {
    let tried = demand.tried.iter().any(|incarnation| upstream.is_incarnation(incarnation));
    if tried
        || !demand.allowed_halls.includes(&upstream.entry.hall)
        || upstream.own_load.requests >= demand.max_requests(upstream)
        || upstream.is_loading(now_ms)
        || !upstream.cold.may_send(now_ms)
        || demand.brittle.is_some_and(|limit| !limit.may_send(now_ms, upstream))
    {
        return false;
    }
    if upstream.requested_backoff_until_ms(now_ms).is_some() {
        return false;
    }
    let may_send = match upstream.rate_limit.sending(now_ms) {
        Sending::Permitted => true,
        Sending::ToBeAsked => demand.may_ask_for_permits,
        Sending::Asked | Sending::DeniedUntil(_) => false,
    };
    if !may_send {
        return false;
    }
    // Requests must not start on overdue weights even if no other engine is left.
    let version = demand.prompt.map_or(0, |prompt| upstream.weight_version(&prompt.model));
    !(demand.excludes_overdue && demand.is_overdue(now_ms, version))
}

/// An upstream that is compared with others.
struct Candidate<'a> {
    cost: f64,
    upstream: &'a Upstream,
    context: Option<ContextPlan>,
    expected: Expected,
}

impl Candidate<'_> {
    /// Whether it is healthy and not full, so that no more candidates are needed.
    fn is_suitable(&self, now_ms: u64) -> bool {
        self.expected.occupancy != Occupancy::Full && !self.upstream.is_unhealthy(now_ms)
    }

    /// Whether it is suitable and its first token is not forecast to be late.
    fn is_in_time(&self, now_ms: u64) -> bool {
        self.is_suitable(now_ms) && !self.expected.is_late
    }

    fn into_choice(self, now_ms: u64, demand: &Demand<'_>) -> Choice {
        Choice {
            upstream: self.upstream.incarnation(),
            software: self.upstream.software,
            context: self.context,
            expected_first_token_ms: self.expected.first_token_ms,
            engine_wait_negligible: self.expected.wait_ms < NEGLIGIBLE_WAIT_MS,
            occupancy: self.expected.occupancy,
            limit: self.expected.limit,
            objective_at_ms: demand
                .prompt
                .and(demand.objective_at_ms)
                .filter(|_| !demand.admission.objective_missed),
            memory_tokens: demand.prompt.map_or(0, Prompt::memory_tokens),
            load: self.upstream.total_load(),
            chosen_at_ms: now_ms,
        }
    }
}

/// Compares upstreams for one request.
struct Chooser<'a, 'b> {
    now_ms: u64,
    upstreams: &'a Upstreams,
    stores: &'a Stores,
    engine: Option<&'b EngineSpec>,
    demand: &'b Demand<'a>,
    /// Locations of the prompt's parts, one entry for each weight version.
    lookups: Vec<Lookup<'a>>,
}

impl<'a> Chooser<'a, '_> {
    fn best(&mut self, candidates: &[&'a Upstream]) -> Option<Candidate<'a>> {
        let evaluated = candidates.iter().map(|upstream| self.evaluate(upstream));
        evaluated.min_by(|left, right| left.cost.total_cmp(&right.cost))
    }

    /// The cheapest of a sample; larger samples are drawn only if it is full or unhealthy.
    fn best_sampled(
        &mut self,
        sampler: &mut CandidateSampler<'_, 'a>,
        usable: &[&'a Upstream],
    ) -> Option<Candidate<'a>> {
        let mut sample = sampler.from_hall(self.demand.hall);
        let context_hall = sample.first().and_then(|upstream| self.context_hall(upstream));
        sample.extend(sampler.from_other_halls(self.demand.hall, context_hall));
        let mut best = self.best(&sample);
        if !best.as_ref().is_some_and(|best| best.is_in_time(self.now_ms)) {
            let wide = sampler.from_all_halls();
            best = match best {
                Some(best) if best.expected.is_forecast => self.any_in_time(sampler, &wide),
                Some(_) | None => None,
            }
            .or_else(|| self.best(&wide));
        }
        // A fleet without room is not searched through: boxes would do so for most of their requests.
        let lacks_room = best.as_ref().is_some_and(|best| {
            best.expected.is_forecast && !best.upstream.is_unhealthy(self.now_ms)
        });
        if !lacks_room && !best.as_ref().is_some_and(|best| best.is_suitable(self.now_ms)) {
            best = self.best(usable);
        }
        best
    }

    /// Any of the candidates that are in time. The best one is the same for all boxes of a hall, which
    /// together would overfill it before their reports arrive.
    fn any_in_time(
        &mut self,
        sampler: &mut CandidateSampler<'_, 'a>,
        candidates: &[&'a Upstream],
    ) -> Option<Candidate<'a>> {
        let now_ms = self.now_ms;
        let evaluated = candidates.iter().map(|upstream| self.evaluate(upstream));
        let in_time = evaluated.filter(|candidate| {
            candidate.is_in_time(now_ms) && candidate.cost < LATE_FIRST_TOKEN_COST_MS
        });
        let in_time: Vec<Candidate<'_>> = in_time.collect();
        sampler.any_of(in_time)
    }

    /// The hall that stores the longest cached part of the prompt for the weight version of
    /// `upstream`.
    fn context_hall(&mut self, upstream: &Upstream) -> Option<&'a str> {
        let prompt = self.demand.prompt.filter(|_| self.engine.is_some())?;
        self.lookup(prompt, upstream).context_hall()
    }

    fn evaluate(&mut self, upstream: &'a Upstream) -> Candidate<'a> {
        let (now_ms, demand) = (self.now_ms, self.demand);
        let (cost, context, expected) = match (demand.prompt, self.engine) {
            (Some(prompt), Some(engine)) => {
                let plan = self.lookup(prompt, upstream).plan(engine, upstream);
                let speed = self.upstreams.speed(upstream, now_ms);
                let (cost, expected) = engine_cost(now_ms, upstream, engine, speed, &plan, demand);
                (cost, Some(plan), expected)
            }
            _ => (plain_upstream_cost(upstream), None, Expected::UNKNOWN),
        };
        let hall_cost = self.hall_cost(upstream);
        let unhealthy_cost = match upstream.is_unhealthy(now_ms) {
            true if upstream.is_known_unreachable() => UNREACHABLE_COST_MS,
            true => UNHEALTHY_COST_MS,
            false => 0.0,
        };
        let leaving_cost = if upstream.is_leaving() { LEAVING_COST_MS } else { 0.0 };
        let tunnel_cost = if upstream.needs_tunnel() { TUNNEL_COST_MS } else { 0.0 };
        let cost = cost
            + hall_cost
            + tunnel_cost
            + leaving_cost
            + unhealthy_cost
            + spread_ms(demand.box_short_id, upstream.short_id);
        Candidate { cost, upstream, context, expected }
    }

    /// Cost of the hall of an upstream. Boxes of a small fleet know the loads of single engines in time,
    /// and a hall that stores the prompt's context gets it also under load.
    fn hall_cost(&mut self, upstream: &Upstream) -> f64 {
        let (demand, other) = (self.demand, upstream.entry.hall.as_str());
        if other == demand.hall {
            return 0.0;
        }
        let (Some(engine), Candidates::Sampled { .. }) = (self.engine, demand.candidates) else {
            return OTHER_HALL_COST_MS;
        };
        let (halls, max_prefill_ms) =
            (&self.upstreams.hall_loads, demand.admission.max_prefill_ms());
        let is_kept = halls.prefers_own(demand.service, demand.hall, other, engine, max_prefill_ms);
        if is_kept && self.context_hall(upstream) != Some(other) {
            OTHER_HALL_COST_MS + LOADED_HALL_COST_MS
        } else {
            OTHER_HALL_COST_MS
        }
    }

    /// Locations of the prompt's parts for the weight version of `upstream`.
    fn lookup(&mut self, prompt: &'a Prompt, upstream: &Upstream) -> &Lookup<'a> {
        let version = upstream.weight_version(&prompt.model);
        let known_index = self.lookups.iter().position(|lookup| lookup.version == version);
        let index = known_index.unwrap_or_else(|| {
            let (upstreams, stores) = (self.upstreams, self.stores);
            let lookup = Lookup::new(self.now_ms, upstreams, stores, prompt, self.demand, version);
            self.lookups.push(lookup);
            self.lookups.len() - 1
        });
        &self.lookups[index]
    }
}

/// A cost below [`SPREAD_MS`] that depends only on the box and the upstream.
fn spread_ms(box_short_id: u32, upstream_short_id: u32) -> f64 {
    // Fibonacci hashing: the upper bits depend on all lower ones.
    let hash = (box_short_id ^ upstream_short_id).wrapping_mul(0x9e37_79b9);
    f64::from(hash) / f64::from(u32::MAX) * SPREAD_MS
}

/// Expected times and occupancy at an engine.
#[derive(Clone, Copy, Debug)]
struct Expected {
    /// Time until the engine starts on the prompt, without transfers.
    wait_ms: f64,
    /// Time to the first token.
    first_token_ms: f64,
    /// Occupancy of the engine.
    occupancy: Occupancy,
    /// Occupancy of the engine by its load alone.
    by_load: Occupancy,
    /// Why the engine is full, if it is.
    limit: Option<Limit>,
    /// Whether the request was considered, not only the load.
    is_forecast: bool,
    /// Whether the first token would be late by that forecast.
    is_late: bool,
}

impl Expected {
    /// For services without model engines, whose times are not modelled.
    const UNKNOWN: Self = Self {
        wait_ms: 0.0,
        first_token_ms: 0.0,
        occupancy: Occupancy::Available,
        by_load: Occupancy::Available,
        limit: None,
        is_forecast: false,
        is_late: false,
    };
}

fn capacity(engine: &EngineSpec) -> Capacity {
    Capacity {
        slots: engine.slots,
        memory_tokens: u32::try_from(engine.memory_tokens).unwrap_or(u32::MAX),
    }
}

/// Cost of an upstream without a model engine, in milliseconds.
fn plain_upstream_cost(upstream: &Upstream) -> f64 {
    let slots = upstream.entry.slots.max(1);
    let requests = upstream.total_load().requests;
    let queue_cost =
        if requests >= slots { f64::from(requests - slots + 1) * QUEUED_COST_MS } else { 0.0 };
    f64::from(requests) * BUSY_SLOTS_COST_MS / f64::from(slots) + queue_cost
}

fn engine_cost(
    now_ms: u64,
    upstream: &Upstream,
    engine: &EngineSpec,
    speed: Speed,
    plan: &ContextPlan,
    demand: &Demand<'_>,
) -> (f64, Expected) {
    let load = upstream.total_load();
    let recompute_ms = f64::from(plan.recomputed_tokens) / speed.prefill_tokens_per_ms;
    let by_load = expected_by_load(load, engine, speed, plan, demand);
    let by_request =
        expected_by_request(now_ms, upstream, engine, speed, plan, demand, by_load.occupancy);
    // The forecast contains the wait for a slot.
    let queued = match by_request {
        Some(_) => 0,
        None => load.requests.saturating_sub(engine.slots),
    };
    let expected = by_request.unwrap_or(by_load);
    let behind_since_ms = demand.behind_since_ms(plan.version);
    let old_weights_cost = match behind_since_ms {
        Some(_) if demand.is_overdue(now_ms, plan.version) => OVERDUE_COST_MS,
        Some(since_ms) if now_ms >= since_ms + OLD_WEIGHTS_GRACE_MS => OLD_WEIGHTS_COST_MS,
        Some(_) | None => 0.0,
    };
    let cost = expected.first_token_ms
        + recompute_ms * RECOMPUTE_WEIGHT
        + plan.fetch_ms * FETCH_WEIGHT
        + f64::from(load.requests) * RUNNING_COST_MS * speed.slowdown()
        + f64::from(queued) * QUEUED_COST_MS
        + old_weights_cost
        + if expected.is_late { LATE_FIRST_TOKEN_COST_MS } else { 0.0 }
        + if expected.occupancy == Occupancy::Full { FULL_ENGINE_COST_MS } else { 0.0 };
    (cost, expected)
}

/// What the load of an engine alone lets expect.
fn expected_by_load(
    load: Load,
    engine: &EngineSpec,
    speed: Speed,
    plan: &ContextPlan,
    demand: &Demand<'_>,
) -> Expected {
    let prefill_wait_ms = f64::from(load.pending_prefill_tokens) / speed.prefill_tokens_per_ms;
    let prefill_ms = f64::from(plan.prefill_tokens) / speed.prefill_tokens_per_ms;
    let wait_ms = prefill_wait_ms.max(memory_wait_ms(load.memory_tokens, engine, demand));
    let occupancy = occupancy(load, capacity(engine), speed, demand.admission);
    Expected {
        wait_ms,
        first_token_ms: wait_ms.max(plan.fetch_ms) + prefill_ms,
        occupancy,
        by_load: occupancy,
        limit: (occupancy == Occupancy::Full).then_some(Limit::Load),
        is_forecast: false,
        is_late: false,
    }
}

/// What the request and all that runs on an engine let expect; `None` if the load alone decides, as
/// the engine is not nearly full, its memory is not known, or it finishes the request in time.
fn expected_by_request(
    now_ms: u64,
    upstream: &Upstream,
    engine: &EngineSpec,
    speed: Speed,
    plan: &ContextPlan,
    demand: &Demand<'_>,
    by_load: Occupancy,
) -> Option<Expected> {
    let (room, prompt) = (demand.room.as_ref()?, demand.prompt?);
    if by_load == Occupancy::Available || engine.memory_tokens == 0 {
        return None;
    }
    let needs = Needs::new(now_ms, prompt, plan, room);
    let mut capacity = capacity(engine);
    capacity.memory_tokens = capacity.memory_tokens.saturating_sub(prompt.common_tokens());
    let load = room.expected_load(now_ms, upstream, &needs);
    let forecast = forecast(load, capacity, speed, needs, demand.admission);
    let fetched_ms = plan.fetch_ms + forecast.first_token_ms - forecast.wait_ms;
    let first_token_ms = forecast.first_token_ms.max(fetched_ms);
    let objective_at_ms = demand.objective_at_ms.filter(|_| !demand.admission.objective_missed);
    let is_late = objective_at_ms.is_some_and(|at_ms| now_ms + rounded_ms(first_token_ms) > at_ms);
    let is_in_time = forecast.limit.is_none() && !is_late;
    (!is_in_time).then_some(Expected {
        wait_ms: forecast.wait_ms,
        first_token_ms,
        occupancy: forecast.occupancy,
        by_load,
        limit: forecast.limit,
        is_forecast: true,
        is_late,
    })
}

/// Expected wait until an engine has memory for a request; memory in excess is freed at the rate at
/// which requests end.
fn memory_wait_ms(used_tokens: u32, engine: &EngineSpec, demand: &Demand<'_>) -> f64 {
    let usable_tokens =
        f64::from(u32::try_from(engine.memory_tokens).unwrap_or(u32::MAX)) * USABLE_MEMORY_PART;
    if usable_tokens == 0.0 {
        return 0.0;
    }
    let needed_tokens = f64::from(demand.prompt.map_or(0, Prompt::memory_tokens));
    let excess = f64::from(used_tokens) + needed_tokens - usable_tokens;
    excess.max(0.0) / usable_tokens * MEMORY_HELD_MS
}
