//! The system clock. Decision code does not read it, but is passed the time.
//!
//! The clock reads the wall clock once, when it is first used, and from then on counts
//! with the monotonic boot-time clock. It never goes back, so that what has expired stays
//! expired when the wall clock is set. It includes the time for which the machine was
//! suspended, as leases and deadlines kept by other machines go on meanwhile.

use std::sync::LazyLock;
use std::time::{Duration, SystemTime, UNIX_EPOCH};

use nix::time::{ClockId, clock_gettime};
use tokio::time::Instant;

/// A clock of Unix time that is based on one reading of the wall clock.
#[derive(Clone, Copy, Debug)]
pub struct Clock {
    since_epoch: Duration,
    since_boot: Duration,
}

impl Clock {
    /// A clock from readings of the wall clock and of the boot-time clock, taken together.
    #[must_use]
    pub fn new(since_epoch: Duration, since_boot: Duration) -> Self {
        Self { since_epoch, since_boot }
    }

    /// Unix time at the reading `since_boot` of the boot-time clock.
    #[must_use]
    pub fn at(&self, since_boot: Duration) -> Duration {
        self.since_epoch + since_boot.saturating_sub(self.since_boot)
    }
}

static CLOCK: LazyLock<Clock> = LazyLock::new(|| {
    let since_epoch = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default();
    Clock::new(since_epoch, since_boot())
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

/// Converts a deadline in Unix milliseconds to an [`Instant`]. Timers stop while the machine
/// is suspended, so code that waits for the instant must check [`now_ms`] afterwards.
#[must_use]
pub fn instant_at(deadline_ms: u64) -> Instant {
    Instant::now() + Duration::from_millis(deadline_ms.saturating_sub(now_ms()))
}

/// Time since the machine was booted; unlike `CLOCK_MONOTONIC` it includes suspensions.
///
/// # Panics
/// Panics when the system has no `CLOCK_BOOTTIME`.
#[must_use]
pub fn since_boot() -> Duration {
    clock_gettime(ClockId::CLOCK_BOOTTIME).expect("Linux provides CLOCK_BOOTTIME").into()
}

fn since_epoch() -> Duration {
    CLOCK.at(since_boot())
}
