//! Decides which engines load new weights next.
//!
//! Only a few engines load at once, so that loads stay quick and the other engines carry the
//! requests. Engines with the oldest weights and the fewest requests go first. A version that has
//! been replaced by a newer one is skipped.

/// Least number of engines that load at once, if there are enough: in a small pool, each engine
/// out of service takes away much of the capacity.
const MIN_CONCURRENT_LOADS: usize = 2;
/// One engine of so many loads at a time: 12 of 60 load as quickly as a single engine.
const ENGINES_PER_LOAD: usize = 5;
/// One engine of so many loads at a time when the time limit is close.
const ENGINES_PER_URGENT_LOAD: usize = 2;
/// Duration of one load, including the requests that finish before it and the report after it.
const LOAD_DURATION_MS: u64 = 1400;
/// Number of engines that already get no new requests while they wait for their load, so that
/// their running requests finish meanwhile.
const PREPARED_AHEAD: usize = 1;

/// Number of engines that may load at once, chosen so that every engine has `version` before its
/// time limit.
#[must_use]
pub fn max_concurrent_loads(candidates: &[RolloutCandidate], version: u64) -> usize {
    let count = candidates.len();
    let max_loads = (count / ENGINES_PER_URGENT_LOAD).max(1);
    let usual_loads = MIN_CONCURRENT_LOADS.max(count / ENGINES_PER_LOAD).min(max_loads);
    let behind = candidates.iter().filter(|engine| engine.version < version && !engine.unhealthy);
    let mut time_left_ms: Vec<u64> = behind.map(|engine| engine.time_left_ms).collect();
    time_left_ms.sort_unstable();
    // Engines with older weights have less time left.
    let needed = time_left_ms.iter().enumerate().map(|(earlier, time_left_ms)| {
        let rounds = usize::try_from(time_left_ms / LOAD_DURATION_MS).unwrap_or(usize::MAX).max(1);
        (earlier + 1).div_ceil(rounds)
    });
    let needed = needed.max().unwrap_or_default();
    needed.clamp(usual_loads, max_loads)
}

/// State of an engine, as far as the roll-out needs it.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct RolloutCandidate {
    pub id: String,
    /// Weight version that it has now.
    pub version: u64,
    /// Time left until it must have a newer version.
    pub time_left_ms: u64,
    /// Whether its load is scheduled or in progress.
    pub is_loading: bool,
    /// Whether the leader may order it to load now.
    pub may_be_ordered: bool,
    /// Consecutive orders that it did not answer or carry out.
    pub failed_orders: u32,
    /// Number of running requests.
    pub requests: u32,
    /// Whether it has recently failed, been silent or rejected requests.
    pub unhealthy: bool,
}

/// The engines that get no new requests from now on, and then load `version`.
#[must_use]
pub fn next_engines(candidates: &[RolloutCandidate], version: u64) -> Vec<String> {
    // With two or more engines, at least one stays in service.
    let max_out_of_service = candidates.len().saturating_sub(1).max(1);
    let max_loading =
        (max_concurrent_loads(candidates, version) + PREPARED_AHEAD).min(max_out_of_service);
    let loading = candidates.iter().filter(|engine| engine.is_loading && !engine.unhealthy).count();
    // An engine keeps getting requests until the leader may order it.
    let is_next = |engine: &&RolloutCandidate| {
        engine.version < version && !engine.is_loading && engine.may_be_ordered
    };
    let mut behind: Vec<&RolloutCandidate> = candidates.iter().filter(is_next).collect();
    // Engines with the oldest version go first, because their time limit is the closest. Failed
    // orders count before the number of requests: an engine whose order failed has no requests,
    // and would otherwise always go before those never ordered. If all orders come late, five of
    // nine engines get all of them until the others are past their limit.
    behind.sort_by_key(|engine| {
        (engine.unhealthy, engine.version, engine.failed_orders, engine.requests, engine.id.clone())
    });
    let remaining = max_loading.saturating_sub(loading);
    // Limits how many unhealthy engines are taken out of service: if only this box cannot reach
    // them, other boxes still use them.
    let out_of_service = candidates.iter().filter(|engine| engine.is_loading).count();
    let max_out_of_service_with_unhealthy = (candidates.len() / ENGINES_PER_URGENT_LOAD).max(1);
    let mut unhealthy_allowed = max_out_of_service_with_unhealthy.saturating_sub(out_of_service);
    behind.retain(|engine| {
        let is_next = !engine.unhealthy || unhealthy_allowed > 0;
        unhealthy_allowed = unhealthy_allowed.saturating_sub(1);
        is_next
    });
    behind.into_iter().take(remaining).map(|engine| engine.id.clone()).collect()
}
