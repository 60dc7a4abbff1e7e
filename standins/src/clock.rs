//! The clock that the stand-ins show.

use std::time::{SystemTime, UNIX_EPOCH};

/// Now, in Unix milliseconds.
#[must_use]
pub fn now_ms() -> u64 {
    let elapsed = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default();
    u64::try_from(elapsed.as_millis()).unwrap_or(u64::MAX)
}
