//! Figures that decisions share, and whole numbers as they weigh them.

/// Prompt tokens that an engine reads in a millisecond; engines tell no such figure.
pub const PREFILL_TOKENS_PER_MS: f64 = 50.0;

/// A count or a time as a fraction.
#[expect(clippy::cast_precision_loss, reason = "counts and times are far below 2^52")]
#[must_use]
pub fn as_f64(count: u64) -> f64 {
    count as f64
}

/// A time as whole milliseconds.
#[expect(
    clippy::cast_possible_truncation,
    clippy::cast_sign_loss,
    reason = "times are neither negative nor above 2^52"
)]
#[must_use]
pub fn whole_ms(time_ms: f64) -> u64 {
    time_ms.max(0.0).round() as u64
}
