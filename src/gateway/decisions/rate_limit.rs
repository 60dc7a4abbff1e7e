//! Rate limits that upstreams in need name in their answers: the requests per second that an upstream
//! takes from all boxes together.

use std::fmt;

/// Requests per second, in thousandths.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct Rate {
    per_1000_s: u32,
}

impl Rate {
    /// A rate in requests per second; `None` unless it is a finite number from 0 on.
    #[must_use]
    #[expect(clippy::cast_possible_truncation, clippy::cast_sign_loss, reason = "clamped before")]
    pub fn from_per_s(per_s: f64) -> Option<Self> {
        let per_1000_s = (per_s * 1000.0).min(f64::from(u32::MAX));
        (per_s.is_finite() && per_s >= 0.0).then_some(Self { per_1000_s: per_1000_s as u32 })
    }

    /// Requests per second.
    #[must_use]
    pub fn per_s(self) -> f64 {
        f64::from(self.per_1000_s) / 1000.0
    }
}

impl fmt::Display for Rate {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(formatter, "{}", self.per_s())
    }
}
