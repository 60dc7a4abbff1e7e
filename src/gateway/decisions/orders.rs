//! Orders to model engines to load weights, and the reports of the engines.

/// Report of an engine, some hundred milliseconds old.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct EngineReport {
    /// Models with the versions of their weights.
    pub models: Vec<(String, u64)>,
    /// Whether an order is being carried out.
    pub busy: bool,
    /// Number of orders accepted since the engine's start.
    pub orders_taken: u64,
    /// Start time of the engine's incarnation, if the engine reports it.
    pub started_at_ms: Option<u64>,
}

/// An order to load a weight version of a model.
#[derive(Clone, Debug)]
pub struct WeightsOrder<'a> {
    /// The only engine that may carry out the order.
    pub engine_id: &'a str,
    pub model: &'a str,
    pub version: u64,
    /// Name of the leader's box.
    pub leader: &'a str,
    /// Fencing token of the leader's lease.
    pub fence: u64,
    /// Number of orders that the engine has accepted so far. With any other number, the engine
    /// refuses the order.
    pub orders_taken: u64,
}

/// Outcome of an order.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum OrderOutcome {
    /// The engine is carrying it out.
    Accepted,
    /// The engine already has that version.
    AlreadyLoaded,
    /// Another order is being carried out, or was accepted in the meantime.
    Conflict,
    /// The engine has accepted an order of a newer leader.
    Fenced,
    /// Another engine has the address.
    WrongEngine,
}
