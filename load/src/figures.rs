//! Calculations that the reports and experiments share.

use hdrhistogram::Histogram;

/// `part` divided by `whole`, where a `whole` of 0 counts as 1.
#[expect(clippy::cast_precision_loss, reason = "counts stay far below 2^52")]
pub fn ratio(part: u64, whole: u64) -> f64 {
    part as f64 / whole.max(1) as f64
}

/// A quantile of a histogram of microseconds, in milliseconds.
pub fn quantile_ms(histogram: &Histogram<u64>, quantile: f64) -> f64 {
    ratio(histogram.value_at_quantile(quantile), 1000)
}
