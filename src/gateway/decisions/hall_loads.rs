//! How loaded the engines of each hall are, and whether requests may go to another hall.
//!
//! *Load pattern:* the loads of the halls vary, each at its own time. A hall at its peak uses what others
//! have left. If boxes went by single engines, then at high load whatever slot becomes free
//! anywhere would be taken from any hall: in a replay of three halls beyond their capacity, 0.4 of
//! the work that went to other halls crossed with work in the opposite direction. Requests
//! therefore leave a loaded hall only for one that is less loaded by a margin. What goes back again needs the
//! opposite difference.

use std::collections::HashMap;

use crate::gateway::decisions::configuration::EngineSpec;
use crate::gateway::decisions::units::as_f64;
use crate::gateway::decisions::upstream::Upstream;

/// Pressure of one of two halls from which on they are compared. Below it, waiting times decide.
const MIN_PRESSURE: f64 = 0.5;
/// Difference of pressure from which on requests go to the less loaded hall.
const MARGIN: f64 = 0.15;
/// Time constant of the means, longer than loads of other halls take to arrive.
const SMOOTHING_MS: f64 = 1000.0;

/// Load of the healthy upstreams of a service in a hall.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct HallLoad {
    /// Part of the slots in use.
    slots_part: f64,
    /// Mean memory in use.
    memory_tokens: f64,
    /// Mean time to prefill what is queued.
    prefill_ms: f64,
}

impl HallLoad {
    /// How close the hall is to what it can complete in time, which is 1.
    fn pressure(&self, engine: &EngineSpec, max_prefill_ms: f64) -> f64 {
        let part = |used: f64, available: f64| if available > 0.0 { used / available } else { 0.0 };
        self.slots_part
            .max(part(self.memory_tokens, as_f64(engine.memory_tokens)))
            .max(part(self.prefill_ms, max_prefill_ms))
    }
}

/// Sums over the upstreams of a service in a hall.
#[derive(Clone, Copy, Debug, Default)]
struct HallSum {
    upstreams: f64,
    slots: f64,
    requests: f64,
    memory_tokens: f64,
    prefill_ms: f64,
}

/// Smoothed loads of halls, by service and hall.
#[derive(Debug, Default)]
pub struct HallLoads {
    loads: HashMap<String, HashMap<String, HallLoad>>,
    updated_at_ms: u64,
}

impl HallLoads {
    /// Takes over the present loads of healthy upstreams. `tokens_per_ms` is the prefill rate of one.
    pub fn update<'a>(
        &mut self,
        now_ms: u64,
        upstreams: impl Iterator<Item = &'a Upstream>,
        tokens_per_ms: impl Fn(&Upstream) -> f64,
    ) {
        let mut sums: HashMap<(&str, &str), HallSum> = HashMap::new();
        for upstream in upstreams {
            let load = upstream.total_load();
            let sum = sums.entry((&upstream.entry.service, &upstream.entry.hall)).or_default();
            sum.upstreams += 1.0;
            sum.slots += f64::from(upstream.entry.slots);
            sum.requests += f64::from(load.requests);
            sum.memory_tokens += f64::from(load.memory_tokens);
            if load.pending_prefill_tokens > 0 {
                sum.prefill_ms += f64::from(load.pending_prefill_tokens) / tokens_per_ms(upstream);
            }
        }
        let elapsed_ms = as_f64(now_ms.saturating_sub(self.updated_at_ms));
        let weight = 1.0 - (-elapsed_ms / SMOOTHING_MS).exp();
        let mut loads: HashMap<String, HashMap<String, HallLoad>> = HashMap::new();
        for ((service, hall), sum) in sums {
            let known = self.load(service, hall).unwrap_or_default();
            let mean =
                |known: f64, sum: f64, count: f64| known + (sum / count.max(1.0) - known) * weight;
            let load = HallLoad {
                slots_part: mean(known.slots_part, sum.requests, sum.slots),
                memory_tokens: mean(known.memory_tokens, sum.memory_tokens, sum.upstreams),
                prefill_ms: mean(known.prefill_ms, sum.prefill_ms, sum.upstreams),
            };
            loads.entry(service.to_owned()).or_default().insert(hall.to_owned(), load);
        }
        (self.loads, self.updated_at_ms) = (loads, now_ms);
    }

    fn load(&self, service: &str, hall: &str) -> Option<HallLoad> {
        self.loads.get(service)?.get(hall).copied()
    }

    /// Whether requests of `own` hall stay there rather than go to the `other` one, because that has
    /// not less load by the margin. Prompts may wait for `max_prefill_ms`.
    #[must_use]
    pub fn prefers_own(
        &self,
        service: &str,
        own: &str,
        other: &str,
        engine: &EngineSpec,
        max_prefill_ms: f64,
    ) -> bool {
        let pressure = |hall| Some(self.load(service, hall)?.pressure(engine, max_prefill_ms));
        // A hall without healthy upstreams keeps nothing.
        let (Some(own), Some(other)) = (pressure(own), pressure(other)) else { return false };
        own.max(other) >= MIN_PRESSURE && own < other + MARGIN
    }
}
