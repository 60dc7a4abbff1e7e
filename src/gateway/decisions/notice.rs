//! What an upstream asks of a box beside its answer.

/// A notice of an upstream.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Notice {
    /// Whether it is about to leave.
    pub leaving: bool,
    /// Time for which it wants no requests from this box.
    pub rest_ms: Option<u64>,
}
