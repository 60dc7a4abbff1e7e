//! Learns how long runs occupy an engine and how much of their maximum output they generate, for
//! each service and route.
//!
//! Load pattern: routes differ by a factor of ten in the time for which their runs hold memory, and
//! that time grows with the load, since prefill of other prompts delays each decoding step. So no
//! constant fits, and recent runs tell the most.
//!
//! Engines do not report output tokens, only events, each of which holds a fixed number of tokens.
//! No run exceeds its maximum, so that number is at most the least ratio of maximum and events over
//! all runs; it is exact once a run has reached its maximum, and too high before.

use std::collections::HashMap;

use crate::gateway::decisions::units::as_f64;
use crate::names::short_id;

/// Runs before which the prior stands; fewer may all be of one unusual client.
const MIN_RUNS: u32 = 8;
/// Weight of a new run. A box of a large fleet sees about ten runs a second, and the times change
/// within a second when a burst begins.
const RUN_WEIGHT: f64 = 0.1;
/// Prior of both times: that of a run on a busy engine under high load.
const PRIOR_MS: f64 = 800.0;
/// Most routes that are learned; further ones use the prior.
const MAX_ROUTES: usize = 1024;

/// A run that has completed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct CompletedRun {
    /// Events that it sent.
    pub events: u32,
    /// Most tokens that it might have generated.
    pub max_output_tokens: u32,
    /// Memory that it was expected to need at most, with those tokens.
    pub memory_tokens: u32,
    /// Time from its first token to its end.
    pub held_ms: u64,
    /// Time from its being sent to its end.
    pub resident_ms: u64,
}

/// What is expected of a run, and of those that an engine of its service already has.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct ExpectedRun {
    /// Output as a part of the maximum that the request names.
    pub output_part: f64,
    /// Time from the first token to the end.
    pub held_ms: f64,
    /// Memory that requests of the route need on average; 0 until it is known.
    pub mean_memory_tokens: f64,
    /// Time for which the memory of other runs is occupied, from their being sent to their end.
    pub others_resident_ms: f64,
    /// Memory that other runs need, as a part of what they might need at most.
    pub others_memory_part: f64,
}

impl Default for ExpectedRun {
    fn default() -> Self {
        Self {
            output_part: 1.0,
            held_ms: PRIOR_MS,
            mean_memory_tokens: 0.0,
            others_resident_ms: PRIOR_MS,
            others_memory_part: 1.0,
        }
    }
}

/// Means over the completed runs of a route.
#[derive(Clone, Copy, Debug, Default)]
struct RouteRuns {
    count: u32,
    output_part: f64,
    held_ms: f64,
    memory_tokens: f64,
}

/// Means over the completed runs of a service. Each is a quotient of two of them, so that runs
/// count in proportion to their memory.
#[derive(Clone, Copy, Debug, Default)]
struct ServiceRuns {
    count: u32,
    /// Upper bound of the tokens in an event.
    tokens_per_event: f64,
    max_memory_tokens: f64,
    memory_tokens: f64,
    /// Memory multiplied by the time for which it was occupied.
    memory_ms: f64,
}

/// The lengths of recent runs. Routes and services are keyed by their short ids.
#[derive(Debug, Default)]
pub struct RunLengths {
    routes: HashMap<(u32, u32), RouteRuns>,
    services: HashMap<u32, ServiceRuns>,
}

impl RunLengths {
    /// Adds a completed run.
    pub fn record(&mut self, service: &str, route: &str, run: CompletedRun) {
        let key = (short_id(service), short_id(route));
        let is_bounded = self.routes.len() < MAX_ROUTES || self.routes.contains_key(&key);
        if !is_bounded || run.events == 0 || run.max_output_tokens == 0 {
            return;
        }
        let max_tokens = f64::from(run.max_output_tokens);
        let service = self.services.entry(key.0).or_default();
        let tokens_per_event = max_tokens / f64::from(run.events);
        if service.count == 0 || tokens_per_event < service.tokens_per_event {
            service.tokens_per_event = tokens_per_event;
        }
        let output_part = service.tokens_per_event / tokens_per_event;
        let max_memory_tokens = f64::from(run.memory_tokens);
        let memory_tokens = max_memory_tokens - max_tokens * (1.0 - output_part);
        service.count = service.count.saturating_add(1);
        let weight = weight(service.count);
        add(&mut service.max_memory_tokens, max_memory_tokens, weight);
        add(&mut service.memory_tokens, memory_tokens, weight);
        add(&mut service.memory_ms, max_memory_tokens * as_f64(run.resident_ms), weight);
        let route = self.routes.entry(key).or_default();
        route.count = route.count.saturating_add(1);
        let weight = self::weight(route.count);
        add(&mut route.output_part, output_part, weight);
        add(&mut route.held_ms, as_f64(run.held_ms), weight);
        add(&mut route.memory_tokens, memory_tokens, weight);
    }

    /// What is expected of a request of the service and route.
    #[must_use]
    pub fn expected(&self, service: &str, route: &str) -> ExpectedRun {
        let key = (short_id(service), short_id(route));
        let mut expected = ExpectedRun::default();
        if let Some(route) = self.routes.get(&key).filter(|route| route.count >= MIN_RUNS) {
            expected.output_part = route.output_part;
            expected.held_ms = route.held_ms;
            expected.mean_memory_tokens = route.memory_tokens;
        }
        if let Some(service) = self.services.get(&key.0).filter(|known| known.count >= MIN_RUNS) {
            expected.others_resident_ms = service.memory_ms / service.max_memory_tokens.max(1.0);
            expected.others_memory_part =
                service.memory_tokens / service.max_memory_tokens.max(1.0);
        }
        expected
    }

    /// Drops the routes for whose short ids `keep` is false, and services without routes.
    pub fn retain(&mut self, keep: impl Fn(u32) -> bool) {
        self.routes.retain(|(_, route), _| keep(*route));
        let routes = &self.routes;
        self.services.retain(|service, _| routes.keys().any(|(known, _)| known == service));
    }
}

/// Weight of the latest of `count` runs; the first ones form a plain mean.
fn weight(count: u32) -> f64 {
    RUN_WEIGHT.max(1.0 / f64::from(count))
}

fn add(mean: &mut f64, value: f64, weight: f64) {
    *mean += (value - *mean) * weight;
}
