//! Estimates how much longer than expected fetches from one context store take.
//!
//! Load pattern: the links of some stores turn several times slower for a few seconds. A box of a
//! large fleet fetches from one store every ten seconds or so, and a slow fetch ends only after a
//! second, so what it observes alone comes too late. The boxes of a hall therefore share their
//! observations, and a fetch that exceeds twice its expected time counts before it ends.

use std::collections::BTreeMap;

use crate::gateway::decisions::units::as_f64;

/// Weight of the newest observation in the estimate.
const OBSERVATION_WEIGHT: f64 = 0.25;
/// Time constant with which the estimate decays.
const DECAY_MS: f64 = 3000.0;
/// Upper bound of the estimate, so that one failed fetch does not keep the store from being used.
const MAX_SLOWDOWN: f64 = 12.0;
/// Multiple of its expected time after which a fetch counts although it has not ended.
const OVERDUE_RATIO: f64 = 2.0;
/// Time to the first token that is spent on neither the prefill nor fetching context, with
/// some margin.
const FIRST_TOKEN_OVERHEAD_MS: f64 = 60.0;
/// Most observations kept for peers until the next message, which must fit a datagram.
const MAX_UNREPORTED: usize = 16;

/// Expected times of a request that fetches context.
#[derive(Clone, Copy, Debug)]
pub struct FetchExpectation {
    /// Expected time to the first token.
    pub first_token_ms: f64,
    /// Part of it that the fetches take.
    pub fetch_ms: f64,
}

/// A fetch that has not ended.
#[derive(Clone, Copy, Debug)]
struct Fetch {
    tokens: u32,
    started_at_ms: u64,
    /// `None` if its duration says nothing about the store.
    expected: Option<FetchExpectation>,
    /// Slowdown that was included in the expectation.
    expected_slowdown: f64,
    is_overdue: bool,
}

impl Fetch {
    /// Ratio of the time that it took, if the first token arrives at `now_ms`, to that without a
    /// slowdown.
    fn slowdown(&self, now_ms: u64) -> Option<f64> {
        let expected = self.expected.filter(|expected| expected.fetch_ms > 0.0)?;
        let elapsed_ms = as_f64(now_ms.saturating_sub(self.started_at_ms));
        let late_ms = elapsed_ms - expected.first_token_ms - FIRST_TOKEN_OVERHEAD_MS;
        let ratio = (1.0 + late_ms / expected.fetch_ms) * self.expected_slowdown;
        Some(ratio.clamp(1.0, MAX_SLOWDOWN))
    }
}

/// Identifies a fetch that has not ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct FetchId(u64);

/// How fast a store has been lately as far as this box and its peers have observed, and the fetches of this box that have not ended.
#[derive(Debug, Default)]
pub struct StoreSpeed {
    slowdown: f64,
    slowdown_at_ms: u64,
    fetches: BTreeMap<FetchId, Fetch>,
    next_id: u64,
    /// Observations that peers have not been told.
    unreported: Vec<f64>,
}

impl StoreSpeed {
    /// Estimated ratio of the actual to the expected time of a fetch. Decays towards 1, so that a
    /// recovered link is used again.
    #[must_use]
    pub fn slowdown(&self, now_ms: u64) -> f64 {
        let age_ms = as_f64(now_ms.saturating_sub(self.slowdown_at_ms));
        1.0 + (self.slowdown.max(1.0) - 1.0) * (-age_ms / DECAY_MS).exp()
    }

    /// Tokens that this box is fetching.
    #[must_use]
    pub fn fetch_tokens(&self) -> u64 {
        self.fetches.values().map(|fetch| u64::from(fetch.tokens)).sum()
    }

    /// Records the start of a fetch, with its expected times if its duration can be attributed to
    /// the store.
    pub fn record_start(
        &mut self,
        now_ms: u64,
        tokens: u32,
        expected: Option<FetchExpectation>,
    ) -> FetchId {
        let id = FetchId(self.next_id);
        self.next_id += 1;
        let expected_slowdown = self.slowdown(now_ms);
        let started_at_ms = now_ms;
        let fetch = Fetch { tokens, started_at_ms, expected, expected_slowdown, is_overdue: false };
        self.fetches.insert(id, fetch);
        id
    }

    /// Records that a fetch has ended with the first token of its request.
    pub fn record_first_token(&mut self, now_ms: u64, id: FetchId) {
        if let Some(slowdown) = self.fetches.remove(&id).and_then(|fetch| fetch.slowdown(now_ms)) {
            self.observe_own(now_ms, slowdown);
        }
    }

    /// Records that a request has ended without a first token.
    pub fn record_abort(&mut self, id: FetchId) {
        self.fetches.remove(&id);
    }

    /// Counts fetches that have become overdue.
    pub fn check_overdue(&mut self, now_ms: u64) {
        let mut observed = Vec::new();
        for fetch in self.fetches.values_mut().filter(|fetch| !fetch.is_overdue) {
            let limit = fetch.expected_slowdown * OVERDUE_RATIO;
            let slowdown = fetch.slowdown(now_ms).filter(|slowdown| *slowdown >= limit);
            fetch.is_overdue = slowdown.is_some();
            observed.extend(slowdown);
        }
        for slowdown in observed {
            self.observe_own(now_ms, slowdown);
        }
    }

    fn observe_own(&mut self, now_ms: u64, slowdown: f64) {
        self.observe(now_ms, slowdown);
        self.unreported.truncate(MAX_UNREPORTED - 1);
        self.unreported.push(slowdown);
    }

    /// Takes over an observation, of this box or of a peer.
    pub fn observe(&mut self, now_ms: u64, slowdown: f64) {
        let estimate = self.slowdown(now_ms);
        self.slowdown =
            estimate + (slowdown.clamp(1.0, MAX_SLOWDOWN) - estimate) * OBSERVATION_WEIGHT;
        self.slowdown_at_ms = now_ms;
    }

    /// The observations since the last call, to be sent to peers.
    pub fn take_unreported(&mut self) -> Vec<f64> {
        std::mem::take(&mut self.unreported)
    }
}
