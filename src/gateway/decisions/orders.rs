//! Orders to model engines, and what engines report of them.

/// An engine's report, as of some hundred milliseconds earlier.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct EngineReport {
    /// Models with the versions of their weights.
    pub models: Vec<(String, u64)>,
    /// Whether an order is under way.
    pub busy: bool,
    /// Orders taken since its start.
    pub orders_taken: u64,
    /// Start of the engine's run, if it is told.
    pub started_at_ms: Option<u64>,
}

/// An order to bring a model to a weight version.
#[derive(Clone, Debug)]
pub struct WeightsOrder<'a> {
    /// The only engine that may carry it out.
    pub engine_id: &'a str,
    /// Model.
    pub model: &'a str,
    /// Version to load.
    pub version: u64,
    /// Box that gives it.
    pub leader: &'a str,
    /// Fencing token of the lease under which it is given.
    pub fence: u64,
    /// Orders that the engine has taken so far; the order is void otherwise.
    pub orders_taken: u64,
}

/// What became of an order.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum OrderOutcome {
    /// It is under way.
    Accepted,
    /// The engine already has that version.
    AlreadyLoaded,
    /// Another order is under way, or has come in between.
    Conflict,
    /// A newer holder has given orders.
    Fenced,
    /// Another engine has the address.
    WrongEngine,
}
