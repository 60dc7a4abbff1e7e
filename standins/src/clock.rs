//! Clock of the stand-ins, in Unix milliseconds.
//!
//! The wall clock is read once, at the first call; from then on the time advances with the
//! monotonic clock. If the wall clock were read each time, setting it forward (by 61 s in one
//! case) would make orders that arrived in time look late.

use std::sync::LazyLock;
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

static START: LazyLock<(Duration, Instant)> = LazyLock::new(|| {
    (SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default(), Instant::now())
});

/// Current time, in Unix milliseconds.
#[must_use]
pub fn now_ms() -> u64 {
    let (since_epoch, at) = *START;
    u64::try_from((since_epoch + at.elapsed()).as_millis()).unwrap_or(u64::MAX)
}
