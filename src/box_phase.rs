//! Where a box is in its life, from its start to a planned stop.

/// Where the box is in its life.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum BoxPhase {
    /// Takes requests.
    Serving,
    /// Still takes requests, but is not ready for more.
    Leaving,
    /// Finishes what runs.
    Draining,
    /// Done.
    Stopped,
}
