//! The weight versions that operators have named for a model, that is, declared as the version
//! that all engines must load, and since when an engine with an older version is behind.
//!
//! The time at which a version was named is the same for the whole fleet. A box that has just
//! started finds only the newest version in the metadata store and not its time, which it learns
//! from boxes that were running then. Without such a report the time counts as long past. If it
//! counted as the present, engines with old weights would stay in use for the whole time limit
//! after each start of a box.

use serde::{Deserialize, Serialize};

/// Number of versions that are remembered.
const MAX_VERSIONS: usize = 16;
/// All streams have to move away from an engine whose load is late by the time limit divided by
/// this number. An engine must not have old weights for one and a half times the limit, and the
/// load itself takes a second.
const LATE_LOAD_DIVISOR: u64 = 4;
/// Stands for an unknown time; sorts before all known times.
pub const UNKNOWN_TIME_MS: u64 = 0;

/// A version that operators have named.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct NamedVersion {
    pub version: u64,
    /// The version named directly before this one; 0 for none.
    pub previous: u64,
    /// When the first box learned of it.
    pub named_at_ms: u64,
}

/// A named version as far as this box knows it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
struct KnownVersion {
    named: NamedVersion,
    /// Whether the time is only a lower bound: the version was named at some later time.
    estimated: bool,
}

/// The weight versions named for one model.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct NamedVersions {
    /// Sorted by version.
    versions: Vec<KnownVersion>,
}

impl NamedVersions {
    /// Adds a version that has just been named. Returns false if it is not newer than all others.
    pub fn add_named_at(&mut self, at_ms: u64, version: u64) -> bool {
        self.add(version, at_ms, false)
    }

    /// Adds a version that was named at an unknown time after `after_ms`, which may be
    /// [`UNKNOWN_TIME_MS`].
    pub fn add_named_after(&mut self, after_ms: u64, version: u64) -> bool {
        self.add(version, after_ms, true)
    }

    fn add(&mut self, version: u64, at_ms: u64, estimated: bool) -> bool {
        let previous = self.newest();
        if version <= previous {
            return false;
        }
        self.versions.push(KnownVersion {
            named: NamedVersion { version, previous, named_at_ms: at_ms },
            estimated,
        });
        if self.versions.len() > MAX_VERSIONS {
            self.versions.remove(0);
        }
        true
    }

    /// Takes over what a peer reports of a version. New versions come from the metadata store
    /// only.
    pub fn merge(&mut self, reported: NamedVersion) {
        if reported.version > self.newest() {
            return;
        }
        match self.versions.binary_search_by_key(&reported.version, |known| known.named.version) {
            Ok(known) if self.versions[known].estimated => {
                self.versions[known] = KnownVersion { named: reported, estimated: false };
            }
            Ok(known) => {
                let known = &mut self.versions[known].named;
                known.named_at_ms = known.named_at_ms.min(reported.named_at_ms);
                known.previous = known.previous.max(reported.previous);
            }
            Err(index) if self.versions.len() < MAX_VERSIONS => {
                self.versions.insert(index, KnownVersion { named: reported, estimated: false });
            }
            Err(_) => {}
        }
    }

    /// The versions that were named after `at_ms`. Estimated times are left out: other boxes
    /// would take them for exact.
    pub fn named_after(&self, at_ms: u64) -> impl Iterator<Item = NamedVersion> {
        let known = self.versions.iter().filter(|known| !known.estimated).map(|known| known.named);
        known.filter(move |named| named.named_at_ms > at_ms)
    }

    /// The newest version; 0 if none was named.
    #[must_use]
    pub fn newest(&self) -> u64 {
        self.versions.last().map_or(0, |newest| newest.named.version)
    }

    /// Since when an engine with `version` is behind; `None` if it is not.
    #[must_use]
    pub fn behind_since_ms(&self, version: u64) -> Option<u64> {
        let newer =
            self.versions.iter().map(|known| known.named).find(|named| named.version > version)?;
        // Unless `newer` directly follows `version`, a version that this box does not know may
        // have been named in between.
        let is_next = newer.previous <= version;
        Some(if is_next { newer.named_at_ms } else { UNKNOWN_TIME_MS })
    }

    /// Whether requests that run at an engine with `version` have held up its load for too long:
    /// `apply_ms`, the time limit for newer weights, and a part of it have passed.
    #[must_use]
    pub fn is_load_overdue(&self, now_ms: u64, version: u64, apply_ms: u64) -> bool {
        let behind_since_ms = self.behind_since_ms(version);
        behind_since_ms
            .is_some_and(|since_ms| now_ms >= since_ms + apply_ms + apply_ms / LATE_LOAD_DIVISOR)
    }
}
