//! Constants and conversions shared by the decisions.

/// Prompt tokens that an engine computes per millisecond; engines do not report this rate.
pub const PREFILL_TOKENS_PER_MS: f64 = 50.0;

/// Converts a count, or a time in milliseconds, to floating point.
#[expect(clippy::cast_precision_loss, reason = "counts and times are far below 2^52")]
#[must_use]
pub fn as_f64(count: u64) -> f64 {
    count as f64
}

/// Rounds a count down.
#[expect(
    clippy::cast_possible_truncation,
    clippy::cast_sign_loss,
    reason = "counts are neither negative nor above 2^52"
)]
#[must_use]
pub fn rounded_down(count: f64) -> u64 {
    count.max(0.0) as u64
}

/// Rounds a time to whole milliseconds.
#[expect(
    clippy::cast_possible_truncation,
    clippy::cast_sign_loss,
    reason = "times are neither negative nor above 2^52"
)]
#[must_use]
pub fn rounded_ms(time_ms: f64) -> u64 {
    time_ms.max(0.0).round() as u64
}

/// Rounds a time from outside to whole milliseconds, from 0 to `max_ms`. Sums of times that are
/// bounded where they are decoded cannot overflow.
#[must_use]
pub fn bounded_ms(time_ms: f64, max_ms: u64) -> u64 {
    rounded_ms(time_ms).min(max_ms)
}
