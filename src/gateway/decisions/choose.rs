//! Where a request runs, and where each part of its prompt comes from.
//!
//! The cost of an engine is the time to the first token as it is expected
//! there: what it has to read before, what of the prompt it must fetch, and
//! what it must read again. A part read again although it is kept somewhere
//! costs more than its time, since it takes the engine from others.

use crate::gateway::decisions::admission::{Capacity, Occupancy, occupancy};
use crate::gateway::decisions::candidates::{CandidateSampler, Candidates};
use crate::gateway::decisions::configuration::EngineSpec;
use crate::gateway::decisions::context::ContextPlan;
use crate::gateway::decisions::demand::Demand;
use crate::gateway::decisions::incarnation::Incarnation;
use crate::gateway::decisions::prompt::Prompt;
use crate::gateway::decisions::sources::{Lookup, RECOMPUTE_WEIGHT};
use crate::gateway::decisions::stores::Stores;
use crate::gateway::decisions::units::PREFILL_TOKENS_PER_MS;
use crate::gateway::decisions::upstream::{Load, Upstream};
use crate::gateway::decisions::upstreams::Upstreams;

/// Cost of another running request: an engine's step grows by 0.1 ms for each,
/// over some thirty steps.
const RUNNING_COST_MS: f64 = 3.0;
/// Cost of an upstream in another hall, for the bytes and for what a cut between
/// halls would lose.
const OTHER_HALL_COST_MS: f64 = 25.0;
/// Cost of an upstream whose places are all taken, a part of it for each.
const FULL_COST_MS: f64 = 100.0;
/// Cost of each request that waits for a place: the work of a usual one.
const QUEUED_COST_MS: f64 = 30.0;
/// Time for which a request holds its memory on a busy engine, by the held times
/// seen on days of high load.
const MEMORY_HELD_MS: f64 = 800.0;
/// Part of an engine's memory that requests can fill: the rest holds the parts
/// that most of them share.
const MEMORY_PART: f64 = 0.8;
/// Weight of fetching beside its time, for the use of links.
const FETCH_WEIGHT: f64 = 0.5;
/// Cost of a doubtful upstream; it is chosen when all are.
const UNHEALTHY_COST_MS: f64 = 100_000.0;
/// Cost of an engine that has no room: any other goes before, but for doubtful ones.
const NO_ROOM_COST_MS: f64 = 10_000.0;
/// Cost of weights that are older than the newest named: below the wait that
/// makes a first token late.
const OLD_WEIGHTS_COST_MS: f64 = 60.0;
/// Time for which older weights are as good as new ones, as the platform has it.
const OLD_WEIGHTS_GRACE_MS: u64 = 1500;
/// Cost of weights that should not be there any more, where they are not barred: any other
/// engine goes before, but for doubtful ones.
const OVERDUE_COST_MS: f64 = 20_000.0;
/// Most that an upstream costs one box more than another box: boxes that know of
/// no load would all choose the same one. Less than the work of a short prompt.
const SPREAD_MS: f64 = 5.0;
/// Expected wait for an engine below which a late first token speaks against the
/// store that sent a part: less than the usual fetch from a large store.
const NEGLIGIBLE_WAIT_MS: f64 = 20.0;

/// A choice.
#[derive(Clone, Debug, PartialEq)]
pub struct Choice {
    /// The upstream.
    pub upstream: Incarnation,
    /// What it is told about kept context.
    pub context: Option<ContextPlan>,
    /// Expected time to the first token.
    pub expected_first_token_ms: f64,
    /// Whether nothing but fetches should keep the first token waiting.
    pub engine_wait_negligible: bool,
    /// Room that there is for it.
    pub occupancy: Occupancy,
    /// Until when the first token is wanted, if that can be met still.
    pub objective_at_ms: Option<u64>,
    /// Memory that the request takes.
    pub memory_tokens: u32,
    /// Load of the upstream as it was believed to be.
    pub load: Load,
    /// When it was chosen: what it names may be gone some time later.
    pub chosen_at_ms: u64,
}

/// Chooses an upstream; `None` when none can take the request.
#[must_use]
pub fn choose<'a>(
    now_ms: u64,
    upstreams: &'a Upstreams,
    stores: &'a Stores,
    engine: Option<&EngineSpec>,
    demand: &Demand<'a>,
) -> Option<Choice> {
    let usable: Vec<&Upstream> =
        upstreams.of_service(demand.service).filter(|one| is_usable(now_ms, one, demand)).collect();
    let mut chooser = Chooser { now_ms, upstreams, stores, engine, demand, lookups: Vec::new() };
    let best = match demand.candidates {
        Candidates::All => chooser.best(&usable),
        Candidates::Sampled { seed } => {
            chooser.best_drawn(&mut CandidateSampler::new(seed, &usable), &usable)
        }
    };
    best.map(|best| best.into_choice(now_ms, demand))
}

/// Whether a request may be sent to an upstream at all.
fn is_usable(now_ms: u64, upstream: &Upstream, demand: &Demand<'_>) -> bool {
    let tried = demand.tried.iter().any(|one| upstream.is_incarnation(one));
    if tried
        || upstream.own_load.requests >= demand.max_requests_per_upstream
        || upstream.is_loading(now_ms)
    {
        return false;
    }
    if upstream.rests_until_ms(now_ms).is_some() {
        return false;
    }
    // A request must not begin on such weights, also where no other engine is left.
    let version = demand.prompt.map_or(0, |prompt| upstream.weight_version(&prompt.model));
    !(demand.excludes_overdue && demand.is_overdue(now_ms, version))
}

/// The best of some upstreams.
struct Best<'a> {
    cost: f64,
    upstream: &'a Upstream,
    context: Option<ContextPlan>,
    expected: Expected,
}

impl Best<'_> {
    /// Whether there is no need to look at others.
    fn is_good(&self, now_ms: u64) -> bool {
        self.expected.occupancy != Occupancy::Full && !self.upstream.is_unhealthy(now_ms)
    }

    fn into_choice(self, now_ms: u64, demand: &Demand<'_>) -> Choice {
        Choice {
            upstream: self.upstream.incarnation(),
            context: self.context,
            expected_first_token_ms: self.expected.first_token_ms,
            engine_wait_negligible: self.expected.wait_ms < NEGLIGIBLE_WAIT_MS,
            occupancy: self.expected.occupancy,
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

/// Weighs upstreams for one request.
struct Chooser<'a, 'b> {
    now_ms: u64,
    upstreams: &'a Upstreams,
    stores: &'a Stores,
    engine: Option<&'b EngineSpec>,
    demand: &'b Demand<'a>,
    /// Where the prompt's parts are kept, by weight version.
    lookups: Vec<Lookup<'a>>,
}

impl<'a> Chooser<'a, '_> {
    fn best(&mut self, candidates: &[&'a Upstream]) -> Option<Best<'a>> {
        let weighed = candidates.iter().map(|upstream| self.weigh(upstream));
        weighed.min_by(|one, other| one.cost.total_cmp(&other.cost))
    }

    /// The best of a few, and of more only when none of these is good.
    fn best_drawn(
        &mut self,
        draw: &mut CandidateSampler<'_, 'a>,
        usable: &[&'a Upstream],
    ) -> Option<Best<'a>> {
        let mut few = draw.near(self.demand.hall);
        let context_hall = few.first().and_then(|upstream| self.context_hall(upstream));
        few.extend(draw.far(self.demand.hall, context_hall));
        let mut best = self.best(&few);
        if !best.as_ref().is_some_and(|best| best.is_good(self.now_ms)) {
            best = self.best(&draw.wide());
        }
        if !best.as_ref().is_some_and(|best| best.is_good(self.now_ms)) {
            best = self.best(usable);
        }
        best
    }

    /// The hall in which the longest part of the prompt is kept, for the weights of an engine.
    fn context_hall(&mut self, upstream: &Upstream) -> Option<&'a str> {
        let prompt = self.demand.prompt.filter(|_| self.engine.is_some())?;
        self.lookup(prompt, upstream).context_hall()
    }

    fn weigh(&mut self, upstream: &'a Upstream) -> Best<'a> {
        let (now_ms, demand) = (self.now_ms, self.demand);
        let (cost, context, expected) = match (demand.prompt, self.engine) {
            (Some(prompt), Some(engine)) => {
                let plan = self.lookup(prompt, upstream).plan(engine, upstream);
                let (cost, expected) = engine_cost(now_ms, upstream, engine, &plan, demand);
                (cost, Some(plan), expected)
            }
            _ => (plain_cost(upstream), None, Expected::UNKNOWN),
        };
        let hall_cost = if upstream.entry.hall == demand.hall { 0.0 } else { OTHER_HALL_COST_MS };
        let unhealthy_cost = if upstream.is_unhealthy(now_ms) { UNHEALTHY_COST_MS } else { 0.0 };
        let cost =
            cost + hall_cost + unhealthy_cost + spread_ms(demand.box_number, upstream.number);
        Best { cost, upstream, context, expected }
    }

    /// Where the prompt's parts are kept, for the weights of an engine.
    fn lookup(&mut self, prompt: &'a Prompt, upstream: &Upstream) -> &Lookup<'a> {
        let version = upstream.weight_version(&prompt.model);
        let known = self.lookups.iter().position(|lookup| lookup.version == version);
        let place = known.unwrap_or_else(|| {
            let (upstreams, stores) = (self.upstreams, self.stores);
            let lookup = Lookup::new(self.now_ms, upstreams, stores, prompt, self.demand, version);
            self.lookups.push(lookup);
            self.lookups.len() - 1
        });
        &self.lookups[place]
    }
}

/// A part of [`SPREAD_MS`] that depends on the box and the upstream only.
fn spread_ms(box_number: u32, upstream_number: u32) -> f64 {
    // Fibonacci hashing: the upper bits depend on all lower ones.
    let mixed = (box_number ^ upstream_number).wrapping_mul(0x9e37_79b9);
    f64::from(mixed) / f64::from(u32::MAX) * SPREAD_MS
}

/// What is expected of an engine.
#[derive(Clone, Copy, Debug)]
struct Expected {
    /// Time until it begins with the prompt, if nothing is fetched.
    wait_ms: f64,
    /// Time to the first token.
    first_token_ms: f64,
    /// Room that there is.
    occupancy: Occupancy,
}

impl Expected {
    /// Nothing is known of a plain service's times.
    const UNKNOWN: Self =
        Self { wait_ms: 0.0, first_token_ms: 0.0, occupancy: Occupancy::Available };
}

fn capacity(engine: &EngineSpec) -> Capacity {
    Capacity {
        slots: engine.slots,
        memory_tokens: u32::try_from(engine.memory_tokens).unwrap_or(u32::MAX),
    }
}

/// Cost of an upstream of a plain service, in milliseconds.
fn plain_cost(upstream: &Upstream) -> f64 {
    let slots = upstream.entry.slots.max(1);
    let requests = upstream.total_load().requests;
    let full =
        if requests >= slots { f64::from(requests - slots + 1) * QUEUED_COST_MS } else { 0.0 };
    f64::from(requests) * FULL_COST_MS / f64::from(slots) + full
}

fn engine_cost(
    now_ms: u64,
    upstream: &Upstream,
    engine: &EngineSpec,
    plan: &ContextPlan,
    demand: &Demand<'_>,
) -> (f64, Expected) {
    let load = upstream.total_load();
    let waiting_ms = f64::from(load.pending_prefill_tokens) / PREFILL_TOKENS_PER_MS;
    let prefill_ms = f64::from(plan.prefill_tokens) / PREFILL_TOKENS_PER_MS;
    let recompute_ms = f64::from(plan.recomputed_tokens) / PREFILL_TOKENS_PER_MS;
    let over = load.requests.saturating_sub(engine.slots);
    let memory_ms = memory_wait_ms(load.memory_tokens, engine, demand);
    let wait_ms = waiting_ms.max(memory_ms);
    let first_token_ms = wait_ms.max(plan.fetch_ms) + prefill_ms;
    let occupancy = occupancy(load, capacity(engine), demand.admission);
    let behind = demand.behind_since_ms(plan.version);
    let old_cost = match behind {
        Some(_) if demand.is_overdue(now_ms, plan.version) => OVERDUE_COST_MS,
        Some(since_ms) if now_ms >= since_ms + OLD_WEIGHTS_GRACE_MS => OLD_WEIGHTS_COST_MS,
        Some(_) | None => 0.0,
    };
    let cost = first_token_ms
        + recompute_ms * RECOMPUTE_WEIGHT
        + plan.fetch_ms * FETCH_WEIGHT
        + f64::from(load.requests) * RUNNING_COST_MS
        + f64::from(over) * QUEUED_COST_MS
        + old_cost
        + if occupancy == Occupancy::Full { NO_ROOM_COST_MS } else { 0.0 };
    (cost, Expected { wait_ms, first_token_ms, occupancy })
}

/// Expected wait until there is memory for a request: what is too much goes as
/// quickly as requests free theirs.
fn memory_wait_ms(taken_tokens: u32, engine: &EngineSpec, demand: &Demand<'_>) -> f64 {
    let memory = f64::from(u32::try_from(engine.memory_tokens).unwrap_or(u32::MAX)) * MEMORY_PART;
    if memory == 0.0 {
        return 0.0;
    }
    let needed = f64::from(demand.prompt.map_or(0, Prompt::memory_tokens));
    let over = f64::from(taken_tokens) + needed - memory;
    over.max(0.0) / memory * MEMORY_HELD_MS
}
