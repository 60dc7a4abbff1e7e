//! Priority of a request at an engine: requests that can still meet their latency objective go
//! before those that cannot.
//!
//! Under overload, serving in order of arrival would make all requests late. A client that retries
//! after a failure has used up part of its time, which shows in a timeout that is shorter than
//! those of other clients of the route.

use std::collections::HashMap;

/// Window over which the longest timeout of a route is kept; twice the longest gap between two
/// first attempts on routes with relevant traffic.
const WINDOW_MS: u64 = 10_000;
/// Added to the rank of a request that cannot meet its objective: more than the number of different
/// route priorities, so that such requests go after all others.
const LATE_RANK_PENALTY: u8 = 4;
/// Largest rank that engines accept; requests with a larger rank are served later.
const MAX_RANK: u8 = 9;

/// Longest timeout of a route in the current and the previous window.
#[derive(Clone, Copy, Debug, Default)]
struct LongestTimeout {
    window: u64,
    current_ms: u64,
    previous_ms: u64,
}

/// The longest recent timeout of each route, which clients set on their first attempt.
#[derive(Debug, Default)]
pub struct RouteTimeouts {
    by_route: HashMap<String, LongestTimeout>,
}

impl RouteTimeouts {
    /// Records the timeout of a request. Returns how much time its client has used up in earlier
    /// attempts.
    pub fn elapsed_ms(&mut self, now_ms: u64, route: &str, timeout_ms: u64) -> u64 {
        let longest = self.by_route.entry(route.to_owned()).or_default();
        let window = now_ms / WINDOW_MS;
        if window != longest.window {
            let is_next = window == longest.window + 1;
            longest.previous_ms = if is_next { longest.current_ms } else { 0 };
            longest.current_ms = 0;
            longest.window = window;
        }
        longest.current_ms = longest.current_ms.max(timeout_ms);
        longest.current_ms.max(longest.previous_ms) - timeout_ms
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
