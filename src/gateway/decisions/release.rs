//! Decides when the context of old weights may be freed from the stores before every engine has
//! the new weights.
//!
//! The stores have no room for the context of two weight versions. As long as the old context
//! stays, which would be for the whole roll-out and some seconds more, no context of the new
//! version can be saved. *Load pattern:* for some seconds after a version was named, engines with
//! the new weights read each prompt from its beginning, and those that come back once more, as long
//! as nothing is saved. A box reads old context from stores only for a limited time after it
//! learned of the new version, and some slices of it for less. Once every box that may still run is
//! known to have learned of it, and that time and the longest transfer have passed, nobody can read
//! that context any more. So the room is handed over slice by slice while engines load. A box that does not respond may still read: as long as there is one, all engines must
//! have newer weights first.

use std::collections::{BTreeSet, HashMap};
use std::net::IpAddr;

use crate::gateway::decisions::cache_contents::PartKey;
use crate::gateway::decisions::context::{
    OLD_CONTEXT_SLICES, OLD_TRANSFER_TIMEOUT_MS, TRANSFER_TIMEOUT_MS, old_context_slice,
    old_slice_read_ms,
};

/// Time after which a transfer that should have ended is sure to have, whatever the errors of
/// clocks.
const TRANSFER_MARGIN_MS: u64 = 600;
/// Upper bound of the duration of a transfer.
pub const MAX_TRANSFER_MS: u64 = TRANSFER_TIMEOUT_MS + TRANSFER_MARGIN_MS;
/// Upper bound of the duration of a transfer of context of older weights.
const MAX_OLD_TRANSFER_MS: u64 = OLD_TRANSFER_TIMEOUT_MS + TRANSFER_MARGIN_MS;
/// Time for which a silent box may still be running: far longer than the longest network
/// partition.
const MAX_ABSENCE_MS: u64 = 600_000;

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

    fn all(&self) -> BTreeSet<IpAddr> {
        self.last_seen_at_ms.keys().copied().collect()
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
    /// Slices of the old context that were found to be safe to free.
    known_safe_slices: u8,
}

impl ContextRelease {
    /// A release that has to wait until all `boxes` know of `version`.
    #[must_use]
    pub fn new(model: &str, version: u64, revision: u64, boxes: &KnownBoxes) -> Self {
        let uninformed = boxes.all();
        Self {
            model: model.to_owned(),
            version,
            revision,
            uninformed,
            all_informed_at_ms: None,
            known_safe_slices: 0,
        }
    }

    /// Removes the boxes that know of the version. A box does not forget it, and one that
    /// restarts learns of it before it serves requests.
    pub fn note_informed(&mut self, now_ms: u64, knows: impl Fn(IpAddr) -> bool) {
        self.uninformed.retain(|address| !knows(*address));
        if self.uninformed.is_empty() {
            self.all_informed_at_ms.get_or_insert(now_ms);
        }
    }

    /// Number of slices of the old context that no box can read from a store any more.
    #[must_use]
    pub fn safe_slices(&self, now_ms: u64) -> u8 {
        let Some(informed_at_ms) = self.all_informed_at_ms else { return 0 };
        let is_safe = |slice: &u8| {
            // Transfers that were chosen before the box learned of the version may take longer.
            let unused_ms = (old_slice_read_ms(*slice) + MAX_OLD_TRANSFER_MS).max(MAX_TRANSFER_MS);
            now_ms >= informed_at_ms + unused_ms
        };
        (0..OLD_CONTEXT_SLICES).take_while(is_safe).map(|slice| slice + 1).last().unwrap_or(0)
    }

    /// Whether more slices have become safe since the last call.
    pub fn has_more_safe_slices(&mut self, now_ms: u64) -> bool {
        let slices = self.safe_slices(now_ms);
        std::mem::replace(&mut self.known_safe_slices, slices) < slices
    }

    /// Whether no box can read a part from a store any more, since it is old context.
    #[must_use]
    pub fn is_unread(&self, now_ms: u64, model: &str, version: u64, part: PartKey) -> bool {
        self.model == model
            && version < self.version
            && old_context_slice(part) < self.safe_slices(now_ms)
    }

    /// Whether no box can read the old context from a store any more.
    #[must_use]
    pub fn is_safe(&self, now_ms: u64) -> bool {
        self.safe_slices(now_ms) == OLD_CONTEXT_SLICES
    }
}
