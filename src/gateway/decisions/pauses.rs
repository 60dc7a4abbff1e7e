//! Pauses of this process, in which it was suspended or got no processor time. What it notices right after
//! one may have happened at any time in it.

use std::ops::Range;

/// Time between two ticks from which it counts as a pause: several periods.
const MIN_PAUSE_MS: u64 = 500;
/// Time after a pause in which the process works off what has arrived meanwhile.
const CATCH_UP_MS: u64 = 1000;

#[derive(Clone, Debug, Default)]
pub struct Pauses {
    last_tick_ms: Option<u64>,
    last_pause_ms: Option<Range<u64>>,
}

impl Pauses {
    /// Records that the process runs; to be called several times a second.
    pub fn tick(&mut self, now_ms: u64) {
        if let Some(began_at_ms) = self.pause_begun_at_ms(now_ms) {
            self.last_pause_ms = Some(began_at_ms..now_ms);
        }
        self.last_tick_ms = Some(now_ms);
    }

    /// Earliest time at which something may have happened that this process noticed at a time.
    #[must_use]
    pub fn earliest_ms(&self, noticed_at_ms: u64) -> u64 {
        if let Some(began_at_ms) = self.pause_begun_at_ms(noticed_at_ms) {
            return began_at_ms;
        }
        match &self.last_pause_ms {
            Some(pause) if noticed_at_ms <= pause.end + CATCH_UP_MS => {
                noticed_at_ms.min(pause.start)
            }
            Some(_) | None => noticed_at_ms,
        }
    }

    /// When the pause began that has lasted until a time without a tick since.
    fn pause_begun_at_ms(&self, now_ms: u64) -> Option<u64> {
        self.last_tick_ms.filter(|last_tick_ms| now_ms >= last_tick_ms + MIN_PAUSE_MS)
    }
}
