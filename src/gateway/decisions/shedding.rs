//! Whether this box closes new connections unread, because it does not keep up with its work.
//!
//! A load balancer may hand most new connections to one box. What the box reads and cannot serve in
//! time is lost, whereas the client of a connection that is closed unread turns to another box at
//! once. The sign is the time that a connection waits, once it is accepted, for its task to run: all
//! work of the box waits in the same queue. A burst, or a moment at which the process stood still, makes
//! many connections wait at once and is worked off soon; connections are closed once waits have been
//! long on average for a while, and as long as they still are.

/// Mean wait from which connections are closed: small against the latency objectives.
pub const LONG_WAIT_MS: u64 = 10;
/// Time for which the mean must have been long: more than a burst of connections takes.
const BACKLOG_MS: u64 = 50;
/// Time in which the weight of a wait falls to about a third.
const DECAY_MS: f64 = 100.0;
/// A longer wait counts as this one, since it may be of a process that stood still once.
const MAX_WAIT_MS: u64 = 4 * LONG_WAIT_MS;
/// Fewest waits whose mean says anything.
const MIN_WAITS: f64 = 8.0;

/// Waits of accepted connections, the latest with the greatest weight.
#[derive(Debug, Default)]
pub struct Shedding {
    weight: f64,
    weighted_ms: f64,
    updated_at_ms: u64,
    /// When connections may be closed, if the mean stays long until then.
    shed_from_ms: Option<u64>,
}

impl Shedding {
    /// Records how long an accepted connection has waited; returns whether it is to be closed
    /// unread.
    #[expect(clippy::cast_precision_loss, reason = "at most some hundred milliseconds matter")]
    pub fn record_wait(&mut self, now_ms: u64, wait_ms: u64) -> bool {
        let factor = (-(now_ms.saturating_sub(self.updated_at_ms) as f64) / DECAY_MS).exp();
        self.weight = self.weight * factor + 1.0;
        self.weighted_ms = self.weighted_ms * factor + wait_ms.min(MAX_WAIT_MS) as f64;
        self.updated_at_ms = now_ms;
        if self.weight < MIN_WAITS || self.weighted_ms < self.weight * LONG_WAIT_MS as f64 {
            self.shed_from_ms = None;
            return false;
        }
        let shed_from_ms = *self.shed_from_ms.get_or_insert(now_ms + BACKLOG_MS);
        // A short wait shows that the backlog is gone, before the mean does.
        wait_ms >= LONG_WAIT_MS && now_ms >= shed_from_ms
    }
}
