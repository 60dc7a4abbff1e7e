//! Throughput of a fleet, measured while requests are queued for it.

/// Length of a measurement window.
const RATE_WINDOW_MS: u64 = 1000;
/// Weight of a new window in the moving average.
const RATE_WEIGHT: f64 = 0.3;
/// Lower limit on the rate in estimates, in tokens per millisecond.
const MIN_RATE: f64 = 1e-3;

/// Moving average of a fleet's throughput.
#[derive(Default)]
pub struct Throughput {
    window_ends_at_ms: u64,
    window_tokens: f64,
    tokens_per_ms: Option<f64>,
}

impl Throughput {
    /// Adds completed work. A window counts only if it ends with a backlog, as otherwise it
    /// does not show the capacity, and if it is shorter than three periods.
    pub fn add(&mut self, now_ms: u64, tokens: f64, backlogged: bool) {
        self.window_tokens += tokens;
        if now_ms < self.window_ends_at_ms {
            return;
        }
        let window_began_at_ms = self.window_ends_at_ms.saturating_sub(RATE_WINDOW_MS);
        let elapsed_ms = u32::try_from(now_ms - window_began_at_ms).unwrap_or(u32::MAX);
        let rate = self.window_tokens / f64::from(elapsed_ms);
        if backlogged && u64::from(elapsed_ms) < 3 * RATE_WINDOW_MS {
            let mean = self.tokens_per_ms.unwrap_or(rate);
            self.tokens_per_ms = Some(mean + RATE_WEIGHT * (rate - mean));
        }
        self.window_ends_at_ms = now_ms + RATE_WINDOW_MS;
        self.window_tokens = 0.0;
    }

    /// Estimated time for `tokens` of work, in milliseconds; 0 before the first
    /// measurement.
    #[must_use]
    pub fn time_ms(&self, tokens: f64) -> u64 {
        let Some(rate) = self.tokens_per_ms else {
            return 0;
        };
        crate::store::ceil_ms(tokens / rate.max(MIN_RATE))
    }
}
