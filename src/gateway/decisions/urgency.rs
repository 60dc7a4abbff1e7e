//! How urgent a request is at an engine: one that can still meet its latency
//! objective goes before one that cannot.
//!
//! When more arrives than engines can take, serving in order of arrival makes all
//! late. A client that comes back after a failure has used up a part of the time it
//! gives; how much is told by its time limit, which is shorter than what others
//! give on the same route.

use std::collections::HashMap;

/// Time over which the longest limit of a route is kept; twice the longest gap
/// between two first tries on a route that matters.
const WINDOW_MS: u64 = 10_000;
/// Steps by which a request that cannot meet its objective is put back: more than
/// there are ranks of routes, so that all those go before that can.
const LATE_RANK_PENALTY: u8 = 4;
/// Least urgent rank of work at engines.
const LOWEST_RANK: u8 = 9;

/// Longest time limits of two windows.
#[derive(Clone, Copy, Debug, Default)]
struct LongestTimeout {
    window: u64,
    current_ms: u64,
    previous_ms: u64,
}

/// The time that clients give on each route when they first ask.
#[derive(Debug, Default)]
pub struct RouteTimeouts {
    by_route: HashMap<String, LongestTimeout>,
}

impl RouteTimeouts {
    /// Takes the time that a client gives; returns how much of its time it has used
    /// up before.
    pub fn elapsed_ms(&mut self, now_ms: u64, route: &str, timeout_ms: u64) -> u64 {
        let longest = self.by_route.entry(route.to_owned()).or_default();
        let window = now_ms / WINDOW_MS;
        if window != longest.window {
            let follows = window == longest.window + 1;
            longest.previous_ms = if follows { longest.current_ms } else { 0 };
            longest.current_ms = 0;
            longest.window = window;
        }
        longest.current_ms = longest.current_ms.max(timeout_ms);
        longest.current_ms.max(longest.previous_ms) - timeout_ms
    }

    /// Keeps only routes for which `keep` is true.
    pub fn retain(&mut self, keep: impl Fn(&str) -> bool) {
        self.by_route.retain(|route, _| keep(route));
    }
}

/// Rank of a request at an engine, when its first token is expected at a time.
#[must_use]
pub fn rank(priority: u8, expected_at_ms: u64, objective_at_ms: u64) -> u8 {
    if expected_at_ms <= objective_at_ms {
        priority
    } else {
        priority.saturating_add(LATE_RANK_PENALTY).min(LOWEST_RANK)
    }
}
