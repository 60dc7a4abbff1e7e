//! Limits the requests that a fleet sends to a cold upstream, one that has just started.
//!
//! Load pattern: the upstreams of a hall restart together, or an evacuation of the hall ends. They
//! are idle, so dozens of boxes prefer them at once, while a cold upstream can take only a few
//! requests a second and fails under many more.
//!
//! The limit holds for the sum over all boxes, of which some cannot hear of each other. It is
//! therefore divided without communication: each hall has an equal share, and within a hall the
//! boxes that rank first for the upstream send one request more than the others. A box that does
//! not know the boxes of its hall sends none.

use std::collections::VecDeque;

use crate::gateway::decisions::units::rounded_down;

/// Period for which the limit holds.
const LIMIT_PERIOD_MS: u64 = 1000;
/// Time that a request may take from the choice of its upstream to its arrival there: the connect
/// timeout.
const MAX_DELIVERY_MS: u64 = 300;
/// Time within which a box stays within its allowance. Requests that are sent further apart than
/// the limit's period may still arrive within it.
const ALLOWANCE_WINDOW_MS: u64 = LIMIT_PERIOD_MS + MAX_DELIVERY_MS;

/// How the upstreams of a service behave after a start.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct ColdStart {
    /// Time for which an upstream is cold.
    pub duration_ms: u64,
    /// Requests per second that a cold upstream can take; 0 if it can take any number.
    pub requests_per_s: f64,
}

/// How far the requests to a cold upstream may exceed the rate that it can take.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct ColdTolerance {
    /// Multiple of that rate.
    pub ratio: f64,
    /// Requests per second in addition to that.
    pub extra: f64,
}

impl ColdStart {
    /// Requests that all boxes together may send to one cold upstream within a second; `None`
    /// without a limit.
    #[must_use]
    pub fn limit(self, tolerance: ColdTolerance) -> Option<u64> {
        let limit = self.requests_per_s * tolerance.ratio + tolerance.extra;
        (self.requests_per_s > 0.0).then(|| rounded_down(limit))
    }
}

/// Position of a box among the boxes of its hall, for one upstream.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct HallRank {
    /// Number of boxes of the hall that rank before this one.
    pub rank: usize,
    /// Number of boxes of the hall, including this one.
    pub boxes: usize,
}

/// Requests that a box may send to a cold upstream within a second, out of a `limit` for all boxes
/// of all `halls`.
#[must_use]
pub fn allowance(limit: u64, halls: usize, rank: HallRank) -> u64 {
    let hall_share = limit / (halls as u64).max(1);
    let boxes = (rank.boxes as u64).max(1);
    hall_share / boxes + u64::from((rank.rank as u64) < hall_share % boxes)
}

/// What a box has sent to an upstream lately, and may send while the upstream is cold.
#[derive(Debug, Default)]
pub struct ColdState {
    until_ms: u64,
    allowance: u64,
    sent_at_ms: VecDeque<u64>,
}

impl ColdState {
    /// Notes at `now_ms` that the upstream stays cold until `until_ms`, or later if that was noted
    /// before. The allowance of an earlier cold period no longer holds.
    pub fn extend(&mut self, now_ms: u64, until_ms: u64) {
        if !self.is_cold(now_ms) {
            self.allowance = 0;
        }
        self.until_ms = self.until_ms.max(until_ms);
    }

    #[must_use]
    pub fn is_cold(&self, now_ms: u64) -> bool {
        now_ms < self.until_ms
    }

    /// Sets how many requests this box may send within a second while the upstream is cold.
    pub fn set_allowance(&mut self, allowance: u64) {
        self.allowance = allowance;
    }

    /// Records a request. Requests to a warm upstream are recorded too, since it may turn cold
    /// without a restart.
    pub fn record_sent(&mut self, now_ms: u64) {
        self.sent_at_ms.push_back(now_ms);
        while self.sent_at_ms.front().is_some_and(|at_ms| at_ms + ALLOWANCE_WINDOW_MS <= now_ms) {
            self.sent_at_ms.pop_front();
        }
    }

    /// Whether this box may send a request now.
    #[must_use]
    pub fn may_send(&self, now_ms: u64) -> bool {
        let recent = self.sent_at_ms.iter().filter(|at_ms| now_ms < **at_ms + ALLOWANCE_WINDOW_MS);
        !self.is_cold(now_ms) || (recent.count() as u64) < self.allowance
    }
}
