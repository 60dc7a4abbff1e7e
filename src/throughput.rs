//! How much work a fleet does, measured while work waits for it.

/// Window over which throughput is measured.
const RATE_WINDOW_MS: u64 = 1000;
/// Weight of a new window in the mean throughput.
const RATE_WEIGHT: f64 = 0.3;
/// Least rate that is reckoned with.
const LEAST_RATE: f64 = 1e-3;

/// Measured throughput.
#[derive(Default)]
pub struct Throughput {
    window_ends_at_ms: u64,
    window_tokens: f64,
    tokens_per_ms: Option<f64>,
}

impl Throughput {
    /// Counts work done; only windows with work waiting tell the capacity.
    pub fn add(&mut self, now_ms: u64, tokens: f64, backlogged: bool) {
        self.window_tokens += tokens;
        if now_ms < self.window_ends_at_ms {
            return;
        }
        let began_at_ms = self.window_ends_at_ms.saturating_sub(RATE_WINDOW_MS);
        let elapsed_ms = u32::try_from(now_ms - began_at_ms).unwrap_or(u32::MAX);
        let rate = self.window_tokens / f64::from(elapsed_ms);
        if backlogged && u64::from(elapsed_ms) < 3 * RATE_WINDOW_MS {
            let mean = self.tokens_per_ms.unwrap_or(rate);
            self.tokens_per_ms = Some(mean + RATE_WEIGHT * (rate - mean));
        }
        self.window_ends_at_ms = now_ms + RATE_WINDOW_MS;
        self.window_tokens = 0.0;
    }

    /// Time that `tokens` of work take, in milliseconds; 0 while nothing was
    /// measured.
    #[must_use]
    pub fn time_ms(&self, tokens: f64) -> u64 {
        let Some(rate) = self.tokens_per_ms else {
            return 0;
        };
        crate::store::ceil_ms(tokens / rate.max(LEAST_RATE))
    }
}
