//! When the context of old weights may be freed from the stores, before every engine has
//! the new ones.
//!
//! Two versions of what is kept do not fit the stores, so that nothing of the new version
//! is saved as long as the old one stays: for the whole of a roll-out and some seconds
//! more. Boxes read old context from stores for a while only after they learned of the new
//! version. Once each box that may be there is known to have learned, and that while has
//! passed with the longest transfer, nothing that is freed can be read any more. A box
//! that says nothing may read on: as long as there is one, all engines must be newer.

use std::collections::{BTreeSet, HashMap};
use std::net::IpAddr;

use crate::gateway::decisions::context::OLD_CONTEXT_READ_MS;

/// Time that any transfer named under old weights takes at most, and more.
pub const MAX_TRANSFER_MS: u64 = 2600;
/// Time for which a box that says nothing any more may still be there: far over the
/// longest cut.
const ABSENT_MS: u64 = 600_000;

/// The boxes that may be there, with when each was heard of last.
#[derive(Debug, Default)]
pub struct KnownBoxes {
    heard_of_at_ms: HashMap<IpAddr, u64>,
}

impl KnownBoxes {
    /// Notes boxes that are heard or listed now.
    pub fn note(&mut self, now_ms: u64, boxes: impl IntoIterator<Item = IpAddr>) {
        for address in boxes {
            self.heard_of_at_ms.insert(address, now_ms);
        }
        self.heard_of_at_ms.retain(|_, heard_of_at_ms| now_ms < *heard_of_at_ms + ABSENT_MS);
    }

    fn all(&self) -> BTreeSet<IpAddr> {
        self.heard_of_at_ms.keys().copied().collect()
    }
}

/// A weight version that was named, and who knows of it.
#[derive(Debug)]
pub struct ContextRelease {
    /// Model.
    pub model: String,
    /// Version; the context of all before it is old.
    pub version: u64,
    /// Revision of the metadata store from which on it is known.
    pub revision: u64,
    unaware: BTreeSet<IpAddr>,
    known_to_all_at_ms: Option<u64>,
}

impl ContextRelease {
    /// A version that all `boxes` have to learn of.
    #[must_use]
    pub fn new(model: &str, version: u64, revision: u64, boxes: &KnownBoxes) -> Self {
        let unaware = boxes.all();
        Self { model: model.to_owned(), version, revision, unaware, known_to_all_at_ms: None }
    }

    /// Takes out the boxes that know of it: what a box knows, it does not forget, and one
    /// that starts again learns of it before it serves.
    pub fn note_informed(&mut self, now_ms: u64, knows: impl Fn(IpAddr) -> bool) {
        self.unaware.retain(|address| !knows(*address));
        if self.unaware.is_empty() {
            self.known_to_all_at_ms.get_or_insert(now_ms);
        }
    }

    /// Whether nobody can read older context from a store any more.
    #[must_use]
    pub fn is_safe(&self, now_ms: u64) -> bool {
        let over_at_ms = self.known_to_all_at_ms.map(|at_ms| at_ms + OLD_CONTEXT_READ_MS);
        over_at_ms.is_some_and(|at_ms| now_ms >= at_ms + MAX_TRANSFER_MS)
    }
}
