//! Runs of one upstream. An upstream may start again under the id that it had; it then
//! keeps and knows nothing of before, and the time of its start alone tells the two apart.

use crate::names::number;

/// A run of an upstream, from its start to its end.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Incarnation {
    /// Id of the upstream.
    pub id: String,
    /// Its start by its own clock, in Unix milliseconds; unknown until it is told.
    pub started_at_ms: Option<u64>,
}

impl Incarnation {
    /// The number that stands for it in messages between boxes.
    #[must_use]
    pub fn number(&self) -> u32 {
        match self.started_at_ms {
            Some(started_at_ms) => number(&format!("{}/{started_at_ms}", self.id)),
            None => number(&self.id),
        }
    }
}

/// Whether two starts are known and differ. Which of them is later is not asked: clocks
/// may be off.
#[must_use]
pub fn is_other_incarnation(one_ms: Option<u64>, other_ms: Option<u64>) -> bool {
    matches!((one_ms, other_ms), (Some(one_ms), Some(other_ms)) if one_ms != other_ms)
}
