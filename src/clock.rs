//! The wall clock, read at the edges only.

use std::time::{Duration, SystemTime, UNIX_EPOCH};

use tokio::time::Instant;

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
    SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default()
}
