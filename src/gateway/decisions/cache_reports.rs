//! What engines and stores tell of the context that they keep.

/// A part of a prompt whose context is kept.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct CachedPart {
    /// Name under which it is found.
    pub scope: String,
    /// Id of the part.
    pub part_id: String,
}

/// A change of what is kept.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct CacheChange {
    /// The part.
    pub part: CachedPart,
    /// Tokens that are kept now.
    pub tokens: u32,
}

/// Changes since an earlier call.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct CacheChanges {
    /// Changes when the holder restarts, and all is gone.
    pub boot_epoch: u64,
    /// Place to go on from.
    pub next_position: u64,
    /// Some changes in between are missing, or could not be read.
    pub gap: bool,
    /// The changes, in order.
    pub changes: Vec<CacheChange>,
    /// The upstreams' clock as the answer left, when it is told.
    pub clock_ms: Option<u64>,
    /// Start of the holder's run, if it is told.
    pub started_at_ms: Option<u64>,
}

/// All that a holder keeps.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct CacheListing {
    /// Changes when the holder restarts.
    pub boot_epoch: u64,
    /// Place from which to ask for changes.
    pub next_position: u64,
    /// Whole parts.
    pub complete: Vec<CacheChange>,
    /// Parts whose writing broke off, or goes on.
    pub partial: Vec<PartialPart>,
}

/// A part that is not whole.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct PartialPart {
    /// The part.
    pub part: CachedPart,
    /// Tokens that are whole.
    pub complete_tokens: u32,
}

/// What became of an order to free parts.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum FreeOutcome {
    /// They are freed.
    Freed,
    /// The store has restarted, or the deadline had passed.
    Refused,
}
