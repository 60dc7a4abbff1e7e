//! Incarnations of an upstream: each start of its process begins a new one. An upstream can restart
//! under the same id and then has lost all its state. Only the start time tells the two
//! incarnations apart.

use crate::names::short_id;

/// An upstream from one start of its process to the next.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Incarnation {
    pub id: String,
    /// Start time by the upstream's own clock, in Unix milliseconds; `None` until it is reported.
    pub started_at_ms: Option<u64>,
}

impl Incarnation {
    /// Short id of the incarnation, for messages between boxes.
    #[must_use]
    pub fn short_id(&self) -> u32 {
        match self.started_at_ms {
            Some(started_at_ms) => short_id(&format!("{}/{started_at_ms}", self.id)),
            None => short_id(&self.id),
        }
    }
}

/// Whether both start times are known and differ. It does not matter which is later, because
/// clocks may be wrong.
#[must_use]
pub fn is_other_incarnation(start_ms: Option<u64>, other_start_ms: Option<u64>) -> bool {
    matches!(
        (start_ms, other_start_ms),
        (Some(start_ms), Some(other_start_ms)) if start_ms != other_start_ms
    )
}
