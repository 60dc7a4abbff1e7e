//! Priority of a request at an engine: requests that can still meet their latency objective go
//! before those that cannot.
//!
//! Under overload, serving in order of arrival would make all requests late. A client that retries
//! after a failure has used up part of its time, which shows in a timeout that is shorter than
//! those of first attempts.
//!
//! Load pattern: clients differ in their timeouts, some by nothing, others by more than the
//! objective, and after an outage most requests are retries. First attempts are taken to be spread
//! evenly below the longest timeout, so that their median shows how far; a minority of retries
//! moves it little.

use std::collections::{HashMap, VecDeque};

use crate::gateway::decisions::units::{as_f64, rounded_ms};

/// Window over which the longest timeout of a route is kept; twice the longest gap between two
/// first attempts on routes with relevant traffic.
const WINDOW_MS: u64 = 10_000;
/// Most recent timeouts of a route from which their spread is estimated.
const SAMPLE_SIZE: usize = 64;
/// Fewer timeouts than this say nothing about the spread.
const MIN_SAMPLE_SIZE: usize = 8;
/// Part of the estimated spread that is added, since the median of a sample varies.
const SPREAD_MARGIN: f64 = 0.25;
/// Added to the rank of a request that cannot meet its objective: more than the number of different
/// route priorities, so that such requests go after all others.
const LATE_RANK_PENALTY: u8 = 4;
/// Largest rank that engines accept; requests with a larger rank are served later.
const MAX_RANK: u8 = 9;

/// Recent timeouts of one route.
#[derive(Clone, Debug, Default)]
struct RecentTimeouts {
    window: u64,
    /// Longest timeout of the current window.
    current_ms: u64,
    /// Longest timeout of the previous window.
    previous_ms: u64,
    /// The most recent timeouts, oldest first.
    sample_ms: VecDeque<u64>,
}

impl RecentTimeouts {
    /// Begins a new window if it is time.
    fn advance(&mut self, now_ms: u64) {
        let window = now_ms / WINDOW_MS;
        if window != self.window {
            let is_next = window == self.window + 1;
            self.previous_ms = if is_next { self.current_ms } else { 0 };
            self.current_ms = 0;
            self.window = window;
        }
    }

    fn record(&mut self, now_ms: u64, timeout_ms: u64) {
        self.advance(now_ms);
        self.current_ms = self.current_ms.max(timeout_ms);
        self.sample_ms.push_back(timeout_ms);
        if self.sample_ms.len() > SAMPLE_SIZE {
            self.sample_ms.pop_front();
        }
    }

    /// Time that a client with `timeout_ms` is expected to have used up.
    fn elapsed_ms(&self, timeout_ms: u64) -> u64 {
        let (median_ms, shortest_ms) = self.first_attempts_ms();
        if timeout_ms < shortest_ms { median_ms - timeout_ms } else { 0 }
    }

    /// The median timeout of first attempts, and the shortest.
    fn first_attempts_ms(&self) -> (u64, u64) {
        let longest_ms = self.current_ms.max(self.previous_ms);
        if self.sample_ms.len() < MIN_SAMPLE_SIZE {
            return (longest_ms, longest_ms);
        }
        let mut sample_ms: Vec<u64> = self.sample_ms.iter().copied().collect();
        sample_ms.sort_unstable();
        let median_ms = sample_ms[sample_ms.len() / 2].min(longest_ms);
        let spread_ms = 2.0 * (1.0 + SPREAD_MARGIN) * as_f64(longest_ms - median_ms);
        (median_ms, longest_ms.saturating_sub(rounded_ms(spread_ms)))
    }
}

/// The recent timeouts that clients set on each route.
#[derive(Debug, Default)]
pub struct RouteTimeouts {
    by_route: HashMap<String, RecentTimeouts>,
}

impl RouteTimeouts {
    /// Records the timeout of a request. Returns how much time its client is expected to have used
    /// up in earlier attempts; 0 if the timeout may be that of a first attempt.
    pub fn elapsed_ms(&mut self, now_ms: u64, route: &str, timeout_ms: u64) -> u64 {
        let recent = self.by_route.entry(route.to_owned()).or_default();
        recent.record(now_ms, timeout_ms);
        recent.elapsed_ms(timeout_ms)
    }

    /// The same, but does not record the timeout of a retry. So the spread stays known while most
    /// requests are retries, but a change of the clients' timeouts is noticed only after a window.
    pub fn elapsed_of_first_ms(&mut self, now_ms: u64, route: &str, timeout_ms: u64) -> u64 {
        let recent = self.by_route.entry(route.to_owned()).or_default();
        recent.advance(now_ms);
        let elapsed_ms = recent.elapsed_ms(timeout_ms);
        if elapsed_ms == 0 {
            recent.record(now_ms, timeout_ms);
        }
        elapsed_ms
    }

    /// The median timeout of first attempts on a route, and the shortest.
    #[must_use]
    pub fn first_attempts_ms(&self, route: &str) -> (u64, u64) {
        self.by_route.get(route).map_or((0, 0), RecentTimeouts::first_attempts_ms)
    }

    /// Drops the routes for which `keep` is false.
    pub fn retain(&mut self, keep: impl Fn(&str) -> bool) {
        self.by_route.retain(|route, _| keep(route));
    }
}

/// Rank of a request at an engine, by the time at which its first token is expected.
#[must_use]
pub fn rank(priority: u8, expected_at_ms: u64, objective_at_ms: u64) -> u8 {
    if expected_at_ms <= objective_at_ms {
        priority
    } else {
        priority.saturating_add(LATE_RANK_PENALTY).min(MAX_RANK)
    }
}
