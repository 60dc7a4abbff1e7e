//! When upstreams that are no longer listed began to leave.

use std::collections::HashMap;

use crate::gateway::decisions::incarnation::{Incarnation, is_other_incarnation};

/// Time for which a departure is remembered; longer than requests run.
const RETENTION_MS: u64 = 600_000;

/// Upstreams without an entry in the metadata store.
#[derive(Debug, Default)]
pub struct Departures {
    by_id: HashMap<String, Departure>,
}

#[derive(Debug)]
struct Departure {
    upstream: Incarnation,
    /// When it announced that it leaves, or else when its entry went.
    since_ms: u64,
    removed_at_ms: u64,
}

impl Departures {
    /// Records that the entry of an upstream is gone, which has been leaving since `since_ms`.
    pub fn record(&mut self, now_ms: u64, upstream: Incarnation, since_ms: u64) {
        self.by_id.retain(|_, departure| now_ms < departure.removed_at_ms + RETENTION_MS);
        let departure = Departure { upstream, since_ms, removed_at_ms: now_ms };
        self.by_id.insert(departure.upstream.id.clone(), departure);
    }

    /// Since when an incarnation has been leaving, if its entry is gone.
    #[must_use]
    pub fn since_ms(&self, upstream: &Incarnation) -> Option<u64> {
        let departure = self.by_id.get(&upstream.id)?;
        let (known, asked) = (departure.upstream.started_at_ms, upstream.started_at_ms);
        (!is_other_incarnation(known, asked)).then_some(departure.since_ms)
    }
}
