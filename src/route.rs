//! Where a request runs.
//!
//! For each engine that has a place free, the cost of running there is its
//! wait, plus recomputing what it does not hold, or bringing kept context
//! over a link and recomputing the rest, whichever is less. The account's
//! weights say how much each part counts. The baselines look at less.

use crate::account::Weights;

/// How an engine is chosen.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum RoutePolicy {
    /// Each in turn.
    RoundRobin,
    /// Least work in progress.
    LeastOutstanding,
    /// Most of the prompt in the engine's own cache.
    LongestPrefix,
    /// Least cost.
    #[default]
    Cost,
}

impl RoutePolicy {
    /// The policy called `name` in the settings.
    #[must_use]
    pub fn from_name(name: &str) -> Option<Self> {
        match name {
            "round_robin" => Some(Self::RoundRobin),
            "least_outstanding" => Some(Self::LeastOutstanding),
            "longest_prefix" => Some(Self::LongestPrefix),
            "cost" => Some(Self::Cost),
            _ => None,
        }
    }
}

/// Kept context that could be brought to an engine.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct ImportEstimate {
    /// Tokens of the prompt that it covers.
    pub tokens: u32,
    /// Time until it is there, with what the link has to do before.
    pub link_ms: f64,
    /// Time that the transfer itself takes the link.
    pub transfer_ms: f64,
}

/// An engine that could run the request.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct EngineCandidate {
    /// Index of the engine at the caller's.
    pub engine: usize,
    /// Requests in progress there.
    pub outstanding: u32,
    /// Time until its prefill queue is done.
    pub wait_ms: f64,
    /// Time to prefill a token there.
    pub prefill_ms_per_token: f64,
    /// Tokens of the prompt in its cache.
    pub cached_tokens: u32,
}

/// The request to place.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct RoutingRequest {
    /// Length of the prompt.
    pub prompt_tokens: u32,
    /// The account's weights.
    pub weights: Weights,
    /// Kept context, if there is any.
    pub import: Option<ImportEstimate>,
}

/// A place for the request.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct RoutingChoice {
    /// The engine.
    pub engine: usize,
    /// Whether kept context is brought there first.
    pub import: bool,
    /// Expected time to prefill, in milliseconds.
    pub recompute_ms: f64,
}

/// Chooses among `candidates`; `turn` counts the choices made so far.
#[must_use]
pub fn choose_engine(
    policy: RoutePolicy,
    request: &RoutingRequest,
    candidates: &[EngineCandidate],
    selections: usize,
) -> Option<RoutingChoice> {
    let best = match policy {
        RoutePolicy::RoundRobin => candidates.get(selections % candidates.len().max(1)),
        RoutePolicy::LeastOutstanding => {
            candidates.iter().min_by_key(|candidate| candidate.outstanding)
        }
        RoutePolicy::LongestPrefix => candidates.iter().min_by_key(|candidate| {
            (std::cmp::Reverse(candidate.cached_tokens), candidate.outstanding)
        }),
        RoutePolicy::Cost => return cheapest(request, candidates),
    };
    best.map(|candidate| plan(request, candidate).choice)
}

struct Plan {
    choice: RoutingChoice,
    cost: f64,
}

fn cheapest(request: &RoutingRequest, candidates: &[EngineCandidate]) -> Option<RoutingChoice> {
    let plans =
        candidates.iter().map(|candidate| (plan(request, candidate), candidate.outstanding));
    let best =
        plans.min_by(|left, right| left.0.cost.total_cmp(&right.0.cost).then(left.1.cmp(&right.1)));
    best.map(|(plan, _)| plan.choice)
}

/// The cheaper way to run on one engine: with or without the kept context.
fn plan(request: &RoutingRequest, candidate: &EngineCandidate) -> Plan {
    let weights = &request.weights;
    let full_ms = recompute_ms(request, candidate, candidate.cached_tokens);
    let first_token_ms = candidate.wait_ms + full_ms;
    let cost = weights.first_token * first_token_ms + weights.recompute * full_ms;
    let engine = candidate.engine;
    let without_import =
        Plan { choice: RoutingChoice { engine, import: false, recompute_ms: full_ms }, cost };
    let Some(estimate) =
        request.import.filter(|estimate| estimate.tokens > candidate.cached_tokens)
    else {
        return without_import;
    };
    let rest_ms = recompute_ms(request, candidate, estimate.tokens);
    // The link works while the engine is still busy with others.
    let first_token_ms = candidate.wait_ms.max(estimate.link_ms) + rest_ms;
    let cost = weights.first_token * first_token_ms
        + weights.recompute * rest_ms
        + weights.link * estimate.transfer_ms;
    let with_import =
        Plan { choice: RoutingChoice { engine, import: true, recompute_ms: rest_ms }, cost };
    if with_import.cost < without_import.cost { with_import } else { without_import }
}

fn recompute_ms(request: &RoutingRequest, candidate: &EngineCandidate, cached_tokens: u32) -> f64 {
    f64::from(request.prompt_tokens.saturating_sub(cached_tokens)) * candidate.prefill_ms_per_token
}
