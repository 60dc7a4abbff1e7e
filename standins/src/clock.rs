//! The clock that the stand-ins show.
//!
//! Follows the wall clock as it stood when it was first asked, and is steady from then on: a
//! wall clock that was set forward by 61 s between two looks made orders in time look late.

use std::sync::LazyLock;
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

static START: LazyLock<(Duration, Instant)> = LazyLock::new(|| {
    (SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default(), Instant::now())
});

/// Now, in Unix milliseconds.
#[must_use]
pub fn now_ms() -> u64 {
    let (since_epoch, at) = *START;
    u64::try_from((since_epoch + at.elapsed()).as_millis()).unwrap_or(u64::MAX)
}
