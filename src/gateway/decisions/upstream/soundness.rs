//! Whether an upstream is sound, as far as what it did shows.

use super::{AVOID_MS, Upstream};

/// Silence after which an upstream that owes answers gets no more work; well
/// over the longest step of a loaded engine.
pub const SILENT_MS: u64 = 800;
/// Silence towards one box after which it gets no more work from there, though others
/// hear it, since the way to it may be cut: twice the usual, and sooner than the 1.8 s
/// after which the system gives a connection up.
const SILENT_HERE_MS: u64 = 2 * SILENT_MS;
/// Time within which failed connections count as one event.
const SAME_TIME_MS: u64 = 1500;
/// Longest time for which an upstream that failed is avoided.
const AVOID_MAX_MS: u64 = 4000;
/// First time for which an upstream that turned a request away is the last choice.
const TURNED_AWAY_MS: u64 = 200;
/// Longest time for that; it doubles with each request that is turned away in a row.
const TURNED_AWAY_MAX_MS: u64 = 3200;
/// Weight of the newest answer in the share of failures.
const FAILURE_WEIGHT: f64 = 0.15;
/// Share of failures from which on an upstream is avoided.
const FAILURE_LIMIT: f64 = 0.12;

impl Upstream {
    /// Notes that it turned a request away. It looks idle, and would be chosen again and again.
    pub fn turned_away(&mut self, now_ms: u64) {
        let for_ms = TURNED_AWAY_MS << self.turned_away.min(u32::BITS / 2);
        self.turned_away_until_ms = now_ms + for_ms.min(TURNED_AWAY_MAX_MS);
        self.turned_away += 1;
    }

    /// Notes that it took a request.
    pub fn took_request(&mut self) {
        self.turned_away_until_ms = 0;
        self.turned_away = 0;
    }

    /// Until when this box leaves it alone if others serve; `None` if it does not.
    #[must_use]
    pub fn left_alone_until_ms(&self, now_ms: u64) -> Option<u64> {
        let until_ms = self.notices.rest_until_ms.max(self.turned_away_until_ms);
        (now_ms < until_ms).then_some(until_ms)
    }

    /// Notes that another box has been turned away, and for how long.
    pub fn rests_for_others(&mut self, until_ms: u64) {
        self.rests_for_others_until_ms = until_ms.max(self.rests_for_others_until_ms);
    }

    /// Whether it failed, fell silent or turned other boxes away lately.
    #[must_use]
    pub fn is_doubtful(&self, now_ms: u64) -> bool {
        let avoid_until_ms = self.avoid_until_ms.max(self.rests_for_others_until_ms);
        let is_avoided = now_ms < avoid_until_ms.max(self.turned_away_until_ms);
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
        let since_ms = self.owes_since_ms?.max(self.heard_at_ms);
        let is_past = |since_ms: u64, least_ms: u64| now_ms.saturating_sub(since_ms) > least_ms;
        let nobody_hears = is_past(since_ms.max(self.others_heard_at_ms), SILENT_MS);
        (nobody_hears || is_past(since_ms, SILENT_HERE_MS)).then_some(since_ms)
    }

    /// Whether no connection to it came up; it gets no work until one does.
    #[must_use]
    pub fn is_unreachable(&self) -> bool {
        self.unreachable
    }

    /// Notes that no connection to it came up in time.
    pub fn unreached(&mut self, now_ms: u64) {
        self.unreachable = true;
        self.unreached_at_ms = Some(now_ms);
    }

    /// Whether that was lately, as far as failed connections count as one event.
    #[must_use]
    pub fn unreached_lately(&self, now_ms: u64) -> bool {
        self.unreached_at_ms.is_some_and(|at_ms| now_ms < at_ms + SAME_TIME_MS)
    }

    /// Gives it no more work until a connection to it comes up.
    pub fn suspect(&mut self) {
        self.unreachable = true;
    }

    /// Notes that a connection to it came up.
    pub fn reached(&mut self) {
        self.unreachable = false;
    }

    /// Whether other boxes heard it lately.
    #[must_use]
    pub fn others_hear(&self, now_ms: u64) -> bool {
        now_ms.saturating_sub(self.others_heard_at_ms) <= SILENT_MS
    }

    /// Notes an answer as it should be.
    pub fn succeeded(&mut self) {
        self.failure_share *= 1.0 - FAILURE_WEIGHT;
        self.avoid_ms = AVOID_MS;
    }

    /// Notes a failure that says something about it.
    pub fn failed(&mut self, now_ms: u64) {
        self.failure_share = self.failure_share * (1.0 - FAILURE_WEIGHT) + FAILURE_WEIGHT;
        if self.failure_share >= FAILURE_LIMIT {
            self.avoid(now_ms);
        }
    }

    /// Avoids it for a while, longer each time.
    fn avoid(&mut self, now_ms: u64) {
        self.avoid_until_ms = now_ms + self.avoid_ms;
        self.avoid_ms = (self.avoid_ms * 2).min(AVOID_MAX_MS);
    }
}
