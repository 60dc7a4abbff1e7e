//! Phases of a box, from its start to a planned stop.

/// Phase of a box; phases follow each other in this order.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum BoxPhase {
    /// Accepts requests.
    Serving,
    /// Still accepts requests, but reports that it is not ready, so that load balancers
    /// send no more.
    Leaving,
    /// Accepts no new requests, and waits for running ones to end.
    Draining,
    /// Accepts no new connections; those that were established get an answer.
    Closing,
    /// All work has ended or was abandoned at the drain timeout.
    Stopped,
}
