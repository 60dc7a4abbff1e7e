//! Which versions of software may have begun streams that clients still resume, and which may begin them.
//!
//! A client that resumes a stream may not say which request began it, and the boxes that knew where it
//! began may all be gone. It can still be resumed if one version only may have begun it: the boxes
//! keep the versions of each service in the metadata store, where boxes find them that have just
//! started. A version is added when its first upstream is listed, by the leader or, if it has not done
//! so soon, by any box: while there is no leader, a version may begin streams and go. The leader removes
//! a version when no upstream has been listed with it for as long as streams last, which counts from when
//! all boxes know that (`version_release`).
//!
//! A box that is cut off, slow or suspended does not notice that a version was added. So it takes a version for
//! the only one until `GUESS_LEASE_MS` after the time as of which it knows what is stored, and a version that
//! was added begins streams only once it has been stored for longer than that. Ages count from before the
//! store was asked, also if a peer asked it.

use std::collections::{BTreeMap, BTreeSet, HashMap};

use serde::{Deserialize, Serialize};

use crate::gateway::decisions::store_knowledge::StoreKnowledge;
use crate::gateway::decisions::version_release::VersionIds;

/// Longest time in which a client resumes a stream.
pub const MAX_STREAM_MS: u64 = 30_000;

/// Time without upstreams of any other version after which a version begins streams though it has not
/// settled, for example since the metadata store takes no writes.
pub const ABANDONED_MS: u64 = 10_000;

/// Time for which what a box knows of the metadata store shows that a version is the only one.
pub const GUESS_LEASE_MS: u64 = 2000;

/// Time for which a version must have been stored before it begins streams beside others: the lease, and a
/// margin for clocks that run at different rates.
pub const SETTLE_MS: u64 = GUESS_LEASE_MS + 100;

/// Versions of the software of services, all by their short ids.
pub type Versions = BTreeMap<u32, BTreeSet<u32>>;

/// The versions that the metadata store has. Earlier releases know the first field only, and ignore what
/// follows it.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct StoredVersions {
    /// Those that may have begun streams.
    pub versions: Versions,
    /// Of services with several versions, those that may begin streams, as some box has found.
    pub settled: Versions,
}

impl StoredVersions {
    /// Versions that an earlier release has stored, whose boxes begin streams at any of them.
    #[must_use]
    pub fn all_settled(versions: Versions) -> Self {
        let mut settled = versions.clone();
        settled.retain(|_, versions| versions.len() > 1);
        Self { versions, settled }
    }

    /// Whether a version may begin streams: no box takes another one for the only one.
    #[must_use]
    pub fn is_settled(&self, service: u32, software: u32) -> bool {
        let is_only = self.versions.get(&service).is_some_and(|versions| versions.len() == 1);
        is_only && contains(&self.versions, service, software)
            || contains(&self.settled, service, software)
    }
}

/// What a box may change of the stored versions.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum StoredChange {
    /// Add versions that are listed. Those that are gone may be missing because the leader, which may have
    /// learned of it earlier, has removed them.
    AddListed,
    /// Add versions that are listed or have been lately.
    AddSeen,
    /// Add versions, and remove those that are gone.
    AddAndRemove,
}

/// What a box knows of the versions that upstreams have had.
#[derive(Debug, Default)]
pub struct SoftwareHistory {
    /// Since when this box has known all upstreams.
    complete_since_ms: Option<u64>,
    /// When a version was last listed that is no longer, by the short ids of service and version.
    gone_at_ms: HashMap<(u32, u32), u64>,
    /// Versions that the metadata store has.
    stored: StoredVersions,
    /// Since when this box has known that they are stored, by the short ids of service and version.
    stored_since_ms: HashMap<(u32, u32), u64>,
    /// Revision of their item.
    stored_revision: u64,
    /// Whether the item at that revision cannot be read.
    is_unreadable: bool,
    knowledge: StoreKnowledge,
}

impl SoftwareHistory {
    /// Records that this box knows all upstreams now.
    pub fn record_complete(&mut self, now_ms: u64) {
        self.complete_since_ms.get_or_insert(now_ms);
    }

    /// Records that upstreams may have come and gone before `now_ms` without this box.
    pub fn record_gap(&mut self, now_ms: u64) {
        if let Some(since_ms) = &mut self.complete_since_ms {
            *since_ms = now_ms;
        }
    }

    /// Records that an upstream with a version is no longer listed.
    pub fn record_gone(&mut self, now_ms: u64, service: u32, software: u32) {
        self.gone_at_ms.retain(|_, gone_at_ms| is_recent(now_ms, *gone_at_ms));
        self.gone_at_ms.insert((service, software), now_ms);
    }

    /// Takes over what the metadata store had at a revision. A stale listing may show an older one than
    /// this box knows.
    pub fn set_stored(&mut self, now_ms: u64, revision: u64, stored: StoredVersions) {
        if revision < self.stored_revision {
            return;
        }
        let mut since_ms = HashMap::new();
        for key @ (service, software) in pairs(&stored.versions) {
            // Only a version that was removed in between, and has come back, is no longer settled.
            let is_new = !self.is_stored(key)
                || self.stored.is_settled(service, software)
                    && !stored.is_settled(service, software);
            let known_since_ms = self.stored_since_ms.get(&key).filter(|_| !is_new);
            since_ms.insert(key, known_since_ms.copied().unwrap_or(now_ms));
        }
        self.stored_since_ms = since_ms;
        self.stored = stored;
        self.stored_revision = revision;
        self.is_unreadable = false;
    }

    fn is_stored(&self, (service, software): (u32, u32)) -> bool {
        contains(&self.stored.versions, service, software)
    }

    /// Records that the item of the stored versions is missing or cannot be read at a revision: another
    /// writer has changed it.
    pub fn set_unreadable(&mut self, revision: u64) {
        if revision >= self.stored_revision {
            self.stored_revision = revision;
            self.is_unreadable = true;
        }
    }

    /// Whether this box knows versions that the metadata store has.
    #[must_use]
    pub fn has_stored(&self) -> bool {
        !self.is_unreadable && !self.stored.versions.is_empty()
    }

    /// The versions that the metadata store has, as far as this box knows.
    #[must_use]
    pub fn stored(&self) -> &StoredVersions {
        &self.stored
    }

    /// Records that this box has followed all changes of the metadata store until a time, which is not
    /// later than when the store was asked.
    pub fn record_followed(&mut self, as_of_ms: u64) {
        self.knowledge.record_followed(as_of_ms);
    }

    /// Records that this box, or a peer, has read the stored versions as of a time.
    pub fn record_read(&mut self, as_of_ms: u64) {
        self.knowledge.record_read(as_of_ms);
    }

    /// Records that this box begins to follow the metadata store with a view that others have told it: a
    /// change may be missing that no watch will show.
    pub fn require_read(&mut self) {
        self.knowledge.require_read();
    }

    /// Age of what this box knows of the metadata store; `None` if it has read only stale state.
    #[must_use]
    pub fn age_ms(&self, now_ms: u64) -> Option<u64> {
        self.knowledge.age_ms(now_ms)
    }

    /// The stored versions that are not among those of upstreams that are `listed`.
    #[must_use]
    pub fn unlisted(&self, listed: impl Iterator<Item = (u32, u32)>) -> VersionIds {
        let listed: VersionIds = listed.collect();
        pairs(&self.stored.versions).filter(|version| !listed.contains(version)).collect()
    }

    /// Revision of the stored versions that this box knows.
    #[must_use]
    pub fn stored_revision(&self) -> u64 {
        self.stored_revision
    }

    /// Whether what this box knows of the metadata store shows which version is the only one.
    #[must_use]
    pub fn is_current(&self, now_ms: u64) -> bool {
        !self.is_unreadable && self.age_ms(now_ms).is_some_and(|age_ms| age_ms <= GUESS_LEASE_MS)
    }

    /// The version that began all streams of a service that may be resumed, if it is the only one.
    /// `listed` are the versions of the service's upstreams now. `None` if this box may be out of step.
    #[must_use]
    pub fn only_version(
        &self,
        now_ms: u64,
        service: u32,
        listed: impl Iterator<Item = u32>,
    ) -> Option<u32> {
        if !self.is_current(now_ms) {
            return None;
        }
        let stored = self.stored.versions.get(&service)?;
        let gone = self.recently_gone(now_ms).filter(|(gone_service, _)| *gone_service == service);
        let mut versions = stored.iter().copied().chain(listed).chain(gone.map(|(_, gone)| gone));
        let first = versions.next()?;
        versions.all(|version| version == first).then_some(first)
    }

    /// When a version of a service may begin streams, if that is known: at once if no box can take
    /// another one for the only one. While nothing is stored for the service, that is the version of the
    /// upstream that this box has known longest. Where no other version is left, it begins streams in the
    /// end even if it cannot be stored.
    #[must_use]
    pub fn begins_at_ms(
        &self,
        service: u32,
        software: u32,
        first_known: impl FnOnce() -> Option<u32>,
        others_gone_at_ms: impl FnOnce() -> Option<u64>,
    ) -> Option<u64> {
        if !self.stored.versions.contains_key(&service) {
            return first_known().filter(|first| *first == software).map(|_| 0);
        }
        if self.stored.is_settled(service, software) {
            return Some(0);
        }
        let stored_since_ms = self.stored_since_ms.get(&(service, software));
        let settled_at_ms = stored_since_ms.map(|since_ms| since_ms + SETTLE_MS);
        let abandoned_at_ms = others_gone_at_ms().map(|gone_at_ms| gone_at_ms + ABANDONED_MS);
        settled_at_ms.into_iter().chain(abandoned_at_ms).min()
    }

    /// Since when no upstream of a service has had another version, as far as this box knows. `listed` are
    /// the versions of the service's upstreams now.
    #[must_use]
    pub fn others_gone_at_ms(
        &self,
        service: u32,
        software: u32,
        mut listed: impl Iterator<Item = u32>,
    ) -> Option<u64> {
        let complete_since_ms = self.complete_since_ms?;
        if listed.any(|version| version != software) {
            return None;
        }
        let others = self
            .gone_at_ms
            .iter()
            .filter(|((of_service, version), _)| *of_service == service && *version != software);
        let last_gone_at_ms = others.map(|(_, gone_at_ms)| *gone_at_ms).max();
        Some(complete_since_ms.max(last_gone_at_ms.unwrap_or_default()))
    }

    /// When the next version may begin streams that may not yet.
    #[must_use]
    pub fn next_settled_at_ms(&self) -> Option<u64> {
        let unsettled = self.stored_since_ms.iter();
        let unsettled = unsettled
            .filter(|((service, software), _)| !self.stored.is_settled(*service, *software));
        unsettled.map(|(_, since_ms)| since_ms + SETTLE_MS).min()
    }

    /// The versions that the metadata store should have, if this box has to change it. `listed` are
    /// services and versions of all upstreams now. A version is only removed once this box has known all
    /// upstreams for as long as streams last.
    #[must_use]
    pub fn next_stored(
        &self,
        now_ms: u64,
        change: StoredChange,
        listed: impl Iterator<Item = (u32, u32)>,
    ) -> Option<StoredVersions> {
        let covers =
            self.complete_since_ms.is_some_and(|since_ms| now_ms >= since_ms + MAX_STREAM_MS);
        if self.is_unreadable && self.stored.versions.is_empty() && !covers {
            // What the item had is known to boxes that have read it.
            return None;
        }
        let may_remove = change == StoredChange::AddAndRemove && covers;
        let gone = self.recently_gone(now_ms).filter(|_| change != StoredChange::AddListed);
        let mut current = Versions::new();
        for (service, software) in listed.chain(gone) {
            current.entry(service).or_default().insert(software);
        }
        let mut next = current.clone();
        for key @ (service, software) in pairs(&self.stored.versions) {
            if !may_remove || !self.may_be_removed(now_ms, key) {
                next.entry(service).or_default().insert(software);
            }
        }
        let mut settled = self.next_settled(now_ms, &next, &current);
        if may_remove {
            for (service, versions) in &mut settled {
                versions.retain(|software| contains(&current, *service, *software));
            }
        }
        let next = StoredVersions { versions: next, settled };
        (self.is_unreadable || next != self.stored).then_some(next)
    }

    /// Whether a stored version may be removed: it is the only one, or has not been allowed to begin
    /// streams for longer than boxes may take another one for the only one. A write that is done late
    /// otherwise removes a version that has come back and begins streams.
    fn may_be_removed(&self, now_ms: u64, (service, software): (u32, u32)) -> bool {
        let is_only = self.stored.versions.get(&service).is_some_and(|only| only.len() == 1);
        is_only
            || !self.stored.is_settled(service, software)
                && self
                    .stored_since_ms
                    .get(&(service, software))
                    .is_some_and(|since_ms| now_ms >= since_ms + SETTLE_MS)
    }

    /// Those of the `next` versions that may begin streams. Nobody can take any of those for the only one
    /// that are stored first for a service, and together. Others settle while they are `current`.
    fn next_settled(&self, now_ms: u64, next: &Versions, current: &Versions) -> Versions {
        let is_settled = |service: u32, software: u32| {
            !self.stored.versions.contains_key(&service)
                || self.stored.is_settled(service, software)
                || contains(current, service, software)
                    && self
                        .stored_since_ms
                        .get(&(service, software))
                        .is_some_and(|since_ms| now_ms >= since_ms + SETTLE_MS)
        };
        let mut settled = Versions::new();
        for (service, versions) in next.iter().filter(|(_, versions)| versions.len() > 1) {
            let of_service = versions.iter().copied();
            let of_service =
                of_service.filter(|software| is_settled(*service, *software)).collect();
            settled.insert(*service, of_service);
        }
        settled
    }

    fn recently_gone(&self, now_ms: u64) -> impl Iterator<Item = (u32, u32)> {
        let gone = self.gone_at_ms.iter();
        gone.filter(move |(_, gone_at_ms)| is_recent(now_ms, **gone_at_ms)).map(|(key, _)| *key)
    }
}

/// The short ids of each service and each of its versions.
fn pairs(versions: &Versions) -> impl Iterator<Item = (u32, u32)> {
    versions
        .iter()
        .flat_map(|(service, versions)| versions.iter().map(|version| (*service, *version)))
}

fn contains(versions: &Versions, service: u32, software: u32) -> bool {
    versions.get(&service).is_some_and(|versions| versions.contains(&software))
}

/// Whether streams that began at a time may still be resumed.
fn is_recent(now_ms: u64, at_ms: u64) -> bool {
    now_ms < at_ms + MAX_STREAM_MS
}
