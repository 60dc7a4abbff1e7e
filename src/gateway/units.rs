//! Whole numbers as the decisions weigh them.

/// A count or a time as a fraction.
#[expect(clippy::cast_precision_loss, reason = "counts and times are far below 2^52")]
#[must_use]
pub fn as_f64(count: u64) -> f64 {
    count as f64
}
