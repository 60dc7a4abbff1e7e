//! Selects the engine on which a request runs.
//!
//! For each engine with a free slot, the cost is the wait, plus the lesser of two ways to prefill:
//! computing everything that the engine has not cached, or importing stored context over a link and
//! computing the rest. The account's weights set how much each part counts. The baseline policies
//! use fewer inputs.

use crate::account::Weights;

/// How an engine is selected.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum RoutePolicy {
    /// Each engine in turn.
    RoundRobin,
    /// The engine with the fewest running requests.
    LeastOutstanding,
    /// The engine with the longest cached prefix of the prompt.
    LongestPrefix,
    /// The engine with the lowest cost.
    #[default]
    Cost,
}

impl RoutePolicy {
    /// Parses the name used in the settings.
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

/// Estimated import of a stored block into an engine.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct ImportEstimate {
    /// Tokens of the prompt that the block covers.
    pub tokens: u32,
    /// Time until the import ends, including the transfers scheduled before it.
    pub link_ms: f64,
    /// Time of the transfer alone.
    pub transfer_ms: f64,
}

/// An engine that could run the request.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct EngineCandidate {
    /// Index of the engine in the fleet.
    pub engine: usize,
    /// Requests that hold a slot of the engine.
    pub outstanding: u32,
    /// Time until the engine's prefill queue is empty.
    pub wait_ms: f64,
    /// Time to prefill one token on the engine, in milliseconds.
    pub prefill_ms_per_token: f64,
    /// Estimated tokens of the prompt in the engine's cache.
    pub cached_tokens: u32,
}

/// Inputs of the decision that depend on the request.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct RoutingRequest {
    /// Length of the prompt in tokens.
    pub prompt_tokens: u32,
    /// The account's weights in the cost.
    pub weights: Weights,
    /// Import of stored context, if there is a block for the prompt.
    pub import: Option<ImportEstimate>,
}

/// The selected engine and how to prefill there.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct RoutingChoice {
    /// Index of the engine in the fleet.
    pub engine: usize,
    /// Whether to import stored context first.
    pub import: bool,
    /// Estimated prefill time, in milliseconds.
    pub prefill_ms: f64,
}

/// Selects one of `candidates`; `selections` counts the previous selections, for the round robin.
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

/// The cheaper of the two ways to run on an engine: with or without the import.
fn plan(request: &RoutingRequest, candidate: &EngineCandidate) -> Plan {
    let weights = &request.weights;
    let full_prefill_ms = prefill_ms(request, candidate, candidate.cached_tokens);
    let first_token_ms = candidate.wait_ms + full_prefill_ms;
    let cost = weights.first_token * first_token_ms + weights.recompute * full_prefill_ms;
    let engine = candidate.engine;
    let without_import =
        Plan { choice: RoutingChoice { engine, import: false, prefill_ms: full_prefill_ms }, cost };
    let Some(estimate) =
        request.import.filter(|estimate| estimate.tokens > candidate.cached_tokens)
    else {
        return without_import;
    };
    let rest_prefill_ms = prefill_ms(request, candidate, estimate.tokens);
    // The import runs while the engine still works on other requests.
    let first_token_ms = candidate.wait_ms.max(estimate.link_ms) + rest_prefill_ms;
    let cost = weights.first_token * first_token_ms
        + weights.recompute * rest_prefill_ms
        + weights.link * estimate.transfer_ms;
    let with_import =
        Plan { choice: RoutingChoice { engine, import: true, prefill_ms: rest_prefill_ms }, cost };
    if with_import.cost < without_import.cost { with_import } else { without_import }
}

fn prefill_ms(request: &RoutingRequest, candidate: &EngineCandidate, cached_tokens: u32) -> f64 {
    f64::from(request.prompt_tokens.saturating_sub(cached_tokens)) * candidate.prefill_ms_per_token
}
