//! Decides when the context of old weights may be freed from the stores before every engine has
//! the new weights.
//!
//! The stores have no room for the context of two weight versions. As long as the old context
//! stays, which would be for the whole roll-out and some seconds more, no context of the new
//! version can be saved. A box reads old context from stores only for a limited time after it
//! learned of the new version. Once every box that may still run is known to have learned of it,
//! and that time and the longest transfer have passed, nobody can read the freed context any
//! more. A box that does not respond may still read: as long as there is one, all engines must
//! have newer weights first, those included whose entries have gone: an engine that is cut off from the
//! metadata store, too, serves the boxes that are cut off with it.

use std::collections::{BTreeSet, HashMap};
use std::net::{IpAddr, SocketAddr};

use crate::gateway::decisions::context::OLD_CONTEXT_READ_MS;
use crate::gateway::decisions::peers::MAX_ABSENCE_MS;

/// Upper bound, with a margin, of the duration of a transfer that was started under old weights.
pub const MAX_TRANSFER_MS: u64 = 2600;

/// The boxes that may still be running, with the time when each was last known to run or listed.
#[derive(Debug, Default)]
pub struct KnownBoxes {
    last_seen_at_ms: HashMap<IpAddr, u64>,
}

impl KnownBoxes {
    /// Notes boxes that are known to run or listed now.
    pub fn note(&mut self, now_ms: u64, boxes: impl IntoIterator<Item = IpAddr>) {
        for address in boxes {
            self.last_seen_at_ms.insert(address, now_ms);
        }
        self.last_seen_at_ms
            .retain(|_, last_seen_at_ms| now_ms < *last_seen_at_ms + MAX_ABSENCE_MS);
    }

    /// Notes boxes that have been forgotten, with the time when each was last heard.
    pub fn note_absent(&mut self, boxes: impl IntoIterator<Item = (IpAddr, u64)>) {
        for (address, last_heard_at_ms) in boxes {
            let last_seen_at_ms = self.last_seen_at_ms.entry(address).or_default();
            *last_seen_at_ms = last_heard_at_ms.max(*last_seen_at_ms);
        }
    }

    fn all(&self) -> BTreeSet<IpAddr> {
        self.last_seen_at_ms.keys().copied().collect()
    }
}

/// The engines of one model that had older weights when they were last listed, and may still run.
#[derive(Debug, Default)]
pub struct OutdatedEngines {
    /// Time of the last listing, by address: another engine there shows that an earlier one has ended.
    last_listed_at_ms: HashMap<SocketAddr, u64>,
}

impl OutdatedEngines {
    /// Notes the engines that are listed now, those with older weights than the newest and those with
    /// the newest; returns whether none may have older weights.
    pub fn note(
        &mut self,
        now_ms: u64,
        outdated: impl IntoIterator<Item = SocketAddr>,
        newest: impl IntoIterator<Item = SocketAddr>,
    ) -> bool {
        for address in newest {
            self.last_listed_at_ms.remove(&address);
        }
        for address in outdated {
            self.last_listed_at_ms.insert(address, now_ms);
        }
        self.last_listed_at_ms.retain(|_, listed_at_ms| now_ms < *listed_at_ms + MAX_ABSENCE_MS);
        self.last_listed_at_ms.is_empty()
    }
}

/// The pending release of the context of all versions before a newly named one, with the boxes
/// that do not know that version yet.
#[derive(Debug)]
pub struct ContextRelease {
    pub model: String,
    /// The new version; the context of all earlier ones is old.
    pub version: u64,
    /// Revision of the metadata store at which the version was named.
    pub revision: u64,
    uninformed: BTreeSet<IpAddr>,
    all_informed_at_ms: Option<u64>,
}

impl ContextRelease {
    /// A release that has to wait until all `boxes` know of `version`.
    #[must_use]
    pub fn new(model: &str, version: u64, revision: u64, boxes: &KnownBoxes) -> Self {
        let uninformed = boxes.all();
        Self { model: model.to_owned(), version, revision, uninformed, all_informed_at_ms: None }
    }

    /// Removes the boxes that know of the version. A box does not forget it, and one that
    /// restarts learns of it before it serves requests.
    pub fn note_informed(&mut self, now_ms: u64, knows: impl Fn(IpAddr) -> bool) {
        self.uninformed.retain(|address| !knows(*address));
        if self.uninformed.is_empty() {
            self.all_informed_at_ms.get_or_insert(now_ms);
        }
    }

    /// Whether no box can read the old context from a store any more.
    #[must_use]
    pub fn is_safe(&self, now_ms: u64) -> bool {
        let stores_unused_at_ms = self.all_informed_at_ms.map(|at_ms| at_ms + OLD_CONTEXT_READ_MS);
        stores_unused_at_ms.is_some_and(|at_ms| now_ms >= at_ms + MAX_TRANSFER_MS)
    }
}
