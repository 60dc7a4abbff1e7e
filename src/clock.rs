//! The clock, read at the edges only.
//!
//! Follows the wall clock as it stood at the process's start and never goes
//! back, so that what has expired stays expired when the wall clock is set.

use std::sync::LazyLock;
use std::time::{Duration, SystemTime, UNIX_EPOCH};

use tokio::time::Instant;

struct Start {
    since_epoch: Duration,
    at: std::time::Instant,
}

static START: LazyLock<Start> = LazyLock::new(|| Start {
    since_epoch: SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default(),
    at: std::time::Instant::now(),
});

/// Unix time in milliseconds.
#[must_use]
pub fn now_ms() -> u64 {
    u64::try_from(since_epoch().as_millis()).unwrap_or(u64::MAX)
}

/// Unix time in microseconds.
#[must_use]
pub fn now_us() -> u64 {
    u64::try_from(since_epoch().as_micros()).unwrap_or(u64::MAX)
}

/// The moment of a deadline given in Unix milliseconds.
#[must_use]
pub fn instant_at(deadline_ms: u64) -> Instant {
    Instant::now() + Duration::from_millis(deadline_ms.saturating_sub(now_ms()))
}

fn since_epoch() -> Duration {
    START.since_epoch + START.at.elapsed()
}
