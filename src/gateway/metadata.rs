//! Types for the contents and the answers of the metadata store.

/// An item of the metadata store.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Item {
    /// Key of the item.
    pub key: String,
    /// Value as raw bytes.
    pub value: Vec<u8>,
    /// Revision of its last change.
    pub revision: u64,
}

/// A change reported by a watch.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Change {
    /// An item was written.
    Put(Item),
    /// An item was removed.
    Removed {
        /// Key of the item.
        key: String,
        /// Revision of the removal.
        revision: u64,
    },
}

/// How long to wait for the answer to a watch.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct WatchWait {
    /// Time after which the store answers even if nothing has changed.
    pub wait_ms: u64,
    /// Additional time after which the call fails because the store did not answer.
    pub grace_ms: u64,
}

/// Answer to a watch.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum WatchResult {
    /// Changes up to a revision; none if the wait ended without any.
    Changes {
        /// Changes in the order of their revisions.
        changes: Vec<Change>,
        /// Revision at which the next watch resumes.
        at_revision: u64,
    },
    /// The store no longer has all changes since the requested revision.
    HistoryLost,
}

/// How recent a listing has to be.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Freshness {
    /// It includes every write that the store has acknowledged.
    Latest,
    /// It may be seconds old and costs the store little; a watch reports later changes.
    Stale,
}

/// Some of the items under a key prefix, in the order of their keys.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Page {
    pub items: Vec<Item>,
    /// Whether there are more items after the last of these.
    pub has_more: bool,
    /// Revision of the store at the time of the answer.
    pub at_revision: u64,
}

/// Result of a transaction.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum WriteOutcome {
    /// The transaction was committed.
    Done {
        /// Revision that it created.
        revision: u64,
    },
    /// Its condition does not hold.
    Conflict,
    /// Its lease has ended.
    LeaseOver,
}

/// A lease of the metadata store; items written under it are removed when it ends.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Lease {
    /// Id that the store has given it.
    pub id: u64,
    /// Duration of the lease from each renewal.
    pub ttl_ms: u64,
}
