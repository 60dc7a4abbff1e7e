//! What the metadata store holds and answers.

/// An item of the store.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Item {
    /// Key.
    pub key: String,
    /// Content.
    pub value: Vec<u8>,
    /// Revision of its last change.
    pub revision: u64,
}

/// A change that a watch tells.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Change {
    /// An item was written.
    Put(Item),
    /// An item is gone.
    Removed {
        /// Its key.
        key: String,
        /// Revision of the removal.
        revision: u64,
    },
}

/// How long a watch is waited for.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct WatchWait {
    /// Time after which the store answers that nothing has changed.
    pub wait_ms: u64,
    /// Time by which that answer may be late before the store counts as silent.
    pub grace_ms: u64,
}

/// What a watch answers.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum WatchResult {
    /// Changes up to a revision; none when the wait is over.
    Changes {
        /// The changes, in order.
        changes: Vec<Change>,
        /// Revision to go on from.
        at_revision: u64,
    },
    /// The store has forgotten the changes in between.
    HistoryLost,
}

/// How new a listing has to be.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Freshness {
    /// All that the store has acknowledged is in it.
    Latest,
    /// It may be seconds old, and costs the store little: a watch tells the rest.
    Stale,
}

/// The items of a prefix.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Listing {
    /// Items.
    pub items: Vec<Item>,
    /// Revision from which to watch: of the oldest page.
    pub at_revision: u64,
}

/// What became of a transaction.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum WriteOutcome {
    /// It is done, as this revision.
    Done {
        /// Revision of the change.
        revision: u64,
    },
    /// Its condition does not hold.
    Conflict,
    /// Its lease is over.
    LeaseOver,
}

/// A lease.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Lease {
    /// Id.
    pub id: u64,
    /// Time for which each renewal holds.
    pub ttl_ms: u64,
}
