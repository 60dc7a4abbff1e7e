//! Reports of engines and stores on the context that they cache.

/// A part of a prompt whose context is cached.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct CachedPart {
    /// Scope of the context; see [`scope`](crate::gateway::decisions::context::scope).
    pub scope: String,
    pub part_id: String,
}

/// A change of a cached part.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct CacheChange {
    pub part: CachedPart,
    /// Tokens cached after the change; 0 if the part is gone.
    pub tokens: u32,
}

/// Changes since an earlier call.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct CacheChanges {
    /// Identifies an incarnation of the engine or store; a new incarnation starts without content.
    pub boot_epoch: u64,
    /// Position from which to request the next changes.
    pub next_position: u64,
    /// Whether some changes are missing or could not be read.
    pub gap: bool,
    /// In order of occurrence.
    pub changes: Vec<CacheChange>,
    /// The upstreams' clock when the answer was sent, if the answer contains it.
    pub clock_ms: Option<u64>,
    /// Start of the incarnation of the engine or store, if the answer contains it.
    pub started_at_ms: Option<u64>,
}

/// The whole cache content of an engine or store.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct CacheListing {
    /// Identifies an incarnation of the engine or store.
    pub boot_epoch: u64,
    /// Position from which to request changes.
    pub next_position: u64,
    /// Complete parts.
    pub complete: Vec<CacheChange>,
    /// Parts whose transfer is in progress or was interrupted.
    pub partial: Vec<PartialPart>,
}

/// An incomplete part.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct PartialPart {
    pub part: CachedPart,
    /// Tokens received so far.
    pub complete_tokens: u32,
}

/// Result of an order to free parts.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum FreeOutcome {
    /// The parts were freed.
    Freed,
    /// The store has restarted, or the deadline of the order had passed.
    Refused,
}
