//! The clock, read at the edges only.
//!
//! Follows the wall clock as it stood at the process's start and never goes
//! back, so that what has expired stays expired when the wall clock is set.
//! Counts the time for which the machine was suspended, too: leases and
//! deadlines that others go by have run on meanwhile.

use std::sync::LazyLock;
use std::time::{Duration, SystemTime, UNIX_EPOCH};

use nix::time::{ClockId, clock_gettime};
use tokio::time::Instant;

/// Unix time, counted on from the start of the process.
#[derive(Clone, Copy, Debug)]
pub struct Clock {
    since_epoch: Duration,
    since_boot: Duration,
}

impl Clock {
    /// A clock that was right when the machine had been up for `since_boot`.
    #[must_use]
    pub fn new(since_epoch: Duration, since_boot: Duration) -> Self {
        Self { since_epoch, since_boot }
    }

    /// Time since the epoch when the machine has been up, or suspended, for `since_boot`.
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

/// The moment of a deadline given in Unix milliseconds. Timers stand still while the machine
/// is suspended: whoever waits for one looks at [`now_ms`] afterwards.
#[must_use]
pub fn instant_at(deadline_ms: u64) -> Instant {
    Instant::now() + Duration::from_millis(deadline_ms.saturating_sub(now_ms()))
}

/// Time since the machine was started; unlike the steady clock it counts suspensions.
///
/// # Panics
/// Panics when the system has no such clock.
#[must_use]
pub fn since_boot() -> Duration {
    clock_gettime(ClockId::CLOCK_BOOTTIME).expect("the system has had this clock for long").into()
}

fn since_epoch() -> Duration {
    CLOCK.at(since_boot())
}
