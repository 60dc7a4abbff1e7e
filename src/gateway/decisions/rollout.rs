//! Which engines get new weights next.
//!
//! A few at a time, so that loads stay quick and the others carry the work;
//! those with the least to lose go first. A version that a newer one has
//! replaced is passed over.

/// Least number of engines that load at once, if there are so many: in a small pool each one
/// out of service is much of what carries the work.
const MIN_CONCURRENT_LOADS: usize = 2;
/// Engines for each one that loads at once: 12 of 60 load as quickly as one.
const ENGINES_FOR_ONE: usize = 5;
/// Engines for each one that loads at once when the time is short.
const ENGINES_FOR_ONE_HURRIED: usize = 2;
/// Time that one engine takes, with the requests that end before and the report after.
const LOAD_MS: u64 = 1400;
/// Engines that get no new work ahead of their load, so that what runs there
/// ends meanwhile.
const AHEAD: usize = 1;

/// Engines that load at once, so that each has `version` when its time is over.
#[must_use]
pub fn max_concurrent_loads(candidates: &[RolloutCandidate], version: u64) -> usize {
    let count = candidates.len();
    let half = (count / ENGINES_FOR_ONE_HURRIED).max(1);
    let usual = MIN_CONCURRENT_LOADS.max(count / ENGINES_FOR_ONE).min(half);
    let behind = candidates.iter().filter(|one| one.version < version && !one.doubtful);
    let mut left_ms: Vec<u64> = behind.map(|one| one.time_left_ms).collect();
    left_ms.sort_unstable();
    // Those with older weights have less time than the others.
    let needed = left_ms.iter().enumerate().map(|(before, left_ms)| {
        let rounds = usize::try_from(left_ms / LOAD_MS).unwrap_or(usize::MAX).max(1);
        (before + 1).div_ceil(rounds)
    });
    let needed = needed.max().unwrap_or_default();
    needed.clamp(usual, half)
}

/// An engine, as the roll-out sees it.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct RolloutCandidate {
    /// Id.
    pub id: String,
    /// Version that it has.
    pub version: u64,
    /// Time left until it must have a newer one.
    pub time_left_ms: u64,
    /// Whether it is being brought to the newest version.
    pub is_updating: bool,
    /// Whether the leader may order it now.
    pub may_be_ordered: bool,
    /// Orders that it did not answer or carry out, one after the other.
    pub failed_orders: u32,
    /// Requests that it runs.
    pub requests: u32,
    /// Whether it failed or fell silent lately.
    pub doubtful: bool,
}

/// The engines that are to get no more work, and then `version`.
#[must_use]
pub fn next_engines(candidates: &[RolloutCandidate], version: u64) -> Vec<String> {
    // One engine at least carries the work, if there are two.
    let most = candidates.len().saturating_sub(1).max(1);
    let prepared = (max_concurrent_loads(candidates, version) + AHEAD).min(most);
    let under_way = candidates.iter().filter(|one| one.is_updating && !one.doubtful).count();
    // An engine gets no more work only once its order may follow.
    let is_next =
        |one: &&RolloutCandidate| one.version < version && !one.is_updating && one.may_be_ordered;
    let mut behind: Vec<&RolloutCandidate> = candidates.iter().filter(is_next).collect();
    // The oldest version first: its time is over first. Of these one that failed has no requests,
    // and would always go before those that were never ordered: on a day on which all orders were
    // late, five of nine engines got all of them until the time of the others was over.
    behind.sort_by_key(|one| {
        (one.doubtful, one.version, one.failed_orders, one.requests, one.id.clone())
    });
    let free = prepared.saturating_sub(under_way);
    // Doubtful ones are in use elsewhere, if it is only this box that does not reach them.
    let out_of_use = candidates.iter().filter(|one| one.is_updating).count();
    let half = (candidates.len() / ENGINES_FOR_ONE_HURRIED).max(1);
    let mut doubtful_left = half.saturating_sub(out_of_use);
    behind.retain(|one| {
        let is_next = !one.doubtful || doubtful_left > 0;
        doubtful_left = doubtful_left.saturating_sub(1);
        is_next
    });
    behind.into_iter().take(free).map(|one| one.id.clone()).collect()
}
