//! Decides when versions without listed upstreams may be removed from the stored versions
//! (`software_history`).
//!
//! Their upstreams may still run, since entries also go when an upstream or its whole hall is cut off from
//! the metadata store. A box that is cut off with them has not learned that the entries went, and begins
//! streams there for as long as the cut lasts. So the time for which clients resume streams counts from
//! when every box that may be running has learned of it, and not from when the leader has.

use std::collections::BTreeSet;
use std::net::IpAddr;

use crate::gateway::decisions::software_history::MAX_STREAM_MS;

/// Short ids of services, each with that of a version.
pub type VersionIds = BTreeSet<(u32, u32)>;

/// Versions that are stored and not listed any more, with the boxes that may not know that yet.
#[derive(Debug, Default)]
pub struct VersionRelease {
    unlisted: VersionIds,
    /// Revision of the metadata store at which they were found not to be listed.
    revision: u64,
    uninformed: BTreeSet<IpAddr>,
    all_informed_at_ms: Option<u64>,
}

impl VersionRelease {
    /// Notes which versions are `unlisted` at a revision, and which of the `boxes` that may be running know
    /// that. The count begins again for all of them when another version is no longer listed.
    pub fn note(
        &mut self,
        now_ms: u64,
        unlisted: VersionIds,
        revision: u64,
        boxes: &BTreeSet<IpAddr>,
        has_reached: impl Fn(IpAddr, u64) -> bool,
    ) {
        if !unlisted.is_subset(&self.unlisted) {
            *self = Self { revision, uninformed: boxes.clone(), ..Self::default() };
        }
        self.unlisted = unlisted;
        let (uninformed, revision) = (&mut self.uninformed, self.revision);
        uninformed.retain(|address| boxes.contains(address) && !has_reached(*address, revision));
        if uninformed.is_empty() {
            self.all_informed_at_ms.get_or_insert(now_ms);
        }
    }

    /// Whether clients can no longer resume streams that began at the versions.
    #[must_use]
    pub fn may_remove(&self, now_ms: u64) -> bool {
        self.all_informed_at_ms.is_some_and(|at_ms| now_ms >= at_ms + MAX_STREAM_MS)
    }
}
