//! Whether an upstream is sound, as far as what it did shows.

use super::{FIRST_AVOID_MS, Upstream};

/// Silence after which an upstream that owes answers gets no more work; well
/// over the longest step of a loaded engine.
pub const SILENT_MS: u64 = 800;
/// Silence towards one box after which it gets no more work from there, though others
/// hear it, since the way to it may be cut: twice the usual, and sooner than the 1.8 s
/// after which the system gives a connection up.
const SILENT_TO_THIS_BOX_MS: u64 = 2 * SILENT_MS;
/// Time within which failed connections count as one event.
const CONCURRENT_TIMEOUTS_MS: u64 = 1500;
/// Longest time for which an upstream that failed is avoided.
const MAX_AVOID_MS: u64 = 4000;
/// First time for which an upstream that turned a request away is the last choice.
const FIRST_REJECTION_BACKOFF_MS: u64 = 200;
/// Longest time for that; it doubles with each request that is turned away in a row.
const MAX_REJECTION_BACKOFF_MS: u64 = 3200;
/// Weight of the newest answer in the share of failures.
const FAILURE_WEIGHT: f64 = 0.15;
/// Share of failures from which on an upstream is avoided.
const FAILURE_RATE_LIMIT: f64 = 0.12;

impl Upstream {
    /// Notes that it turned a request away. It looks idle, and would be chosen again and again.
    pub fn record_rejection(&mut self, now_ms: u64) {
        let for_ms = FIRST_REJECTION_BACKOFF_MS << self.consecutive_rejections.min(u32::BITS / 2);
        self.rejecting_until_ms = now_ms + for_ms.min(MAX_REJECTION_BACKOFF_MS);
        self.consecutive_rejections += 1;
    }

    /// Notes that it took a request.
    pub fn record_acceptance(&mut self) {
        self.rejecting_until_ms = 0;
        self.consecutive_rejections = 0;
    }

    /// Until when this box leaves it alone if others serve; `None` if it does not.
    #[must_use]
    pub fn backoff_until_ms(&self, now_ms: u64) -> Option<u64> {
        let until_ms = self.notices.backoff_until_ms.max(self.rejecting_until_ms);
        (now_ms < until_ms).then_some(until_ms)
    }

    /// Notes that another box has been turned away, and for how long.
    pub fn set_peer_backoff(&mut self, until_ms: u64) {
        self.peer_backoff_until_ms = until_ms.max(self.peer_backoff_until_ms);
    }

    /// Whether it failed, fell silent or turned other boxes away lately.
    #[must_use]
    pub fn is_unhealthy(&self, now_ms: u64) -> bool {
        let avoid_until_ms = self.avoid_until_ms.max(self.peer_backoff_until_ms);
        let is_avoided = now_ms < avoid_until_ms.max(self.rejecting_until_ms);
        self.unreachable || is_avoided || self.is_silent(now_ms)
    }

    /// Whether it owes answers and has said nothing for long.
    #[must_use]
    pub fn is_silent(&self, now_ms: u64) -> bool {
        self.silent_since_ms(now_ms).is_some()
    }

    /// Since when it owes answers and has said nothing, if that is long. One that other boxes
    /// hear is busy, not dead.
    #[must_use]
    pub fn silent_since_ms(&self, now_ms: u64) -> Option<u64> {
        let since_ms = self.awaiting_answer_since_ms?.max(self.last_receive_ms);
        let is_past = |since_ms: u64, least_ms: u64| now_ms.saturating_sub(since_ms) > least_ms;
        let nobody_hears = is_past(since_ms.max(self.peers_last_receive_ms), SILENT_MS);
        (nobody_hears || is_past(since_ms, SILENT_TO_THIS_BOX_MS)).then_some(since_ms)
    }

    /// Whether no connection to it came up; it gets no work until one does.
    #[must_use]
    pub fn is_unreachable(&self) -> bool {
        self.unreachable
    }

    /// Notes that no connection to it came up in time.
    pub fn record_connect_timeout(&mut self, now_ms: u64) {
        self.unreachable = true;
        self.connect_timeout_at_ms = Some(now_ms);
    }

    /// Whether that was lately, as far as failed connections count as one event.
    #[must_use]
    pub fn connect_timed_out_recently(&self, now_ms: u64) -> bool {
        self.connect_timeout_at_ms.is_some_and(|at_ms| now_ms < at_ms + CONCURRENT_TIMEOUTS_MS)
    }

    /// Gives it no more work until a connection to it comes up.
    pub fn mark_unreachable(&mut self) {
        self.unreachable = true;
    }

    /// Notes that a connection to it came up.
    pub fn mark_reachable(&mut self) {
        self.unreachable = false;
    }

    /// Whether other boxes heard it lately.
    #[must_use]
    pub fn answers_other_boxes(&self, now_ms: u64) -> bool {
        now_ms.saturating_sub(self.peers_last_receive_ms) <= SILENT_MS
    }

    /// Notes an answer as it should be.
    pub fn record_success(&mut self) {
        self.failure_rate *= 1.0 - FAILURE_WEIGHT;
        self.avoid_ms = FIRST_AVOID_MS;
    }

    /// Notes a failure that says something about it.
    pub fn record_failure(&mut self, now_ms: u64) {
        self.failure_rate = self.failure_rate * (1.0 - FAILURE_WEIGHT) + FAILURE_WEIGHT;
        if self.failure_rate >= FAILURE_RATE_LIMIT {
            self.avoid(now_ms);
        }
    }

    /// Avoids it for a while, longer each time.
    fn avoid(&mut self, now_ms: u64) {
        self.avoid_until_ms = now_ms + self.avoid_ms;
        self.avoid_ms = (self.avoid_ms * 2).min(MAX_AVOID_MS);
    }
}
