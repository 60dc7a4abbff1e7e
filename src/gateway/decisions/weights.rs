//! The weight versions that operators have named for a model, and since when
//! an engine with an older one is behind.
//!
//! When a version was named is a fact of the fleet. A box that has just started finds only
//! the newest version in the metadata store, and not since when; it hears that from
//! the boxes that were there. What nobody tells is taken for long ago: taken for new, it
//! kept engines in use for the whole bound after each start of a box.

use serde::{Deserialize, Serialize};

/// Versions that are remembered.
const REMEMBERED: usize = 16;
/// All streams make way for a load that is late by this part of its time: an engine must
/// not have old weights for one and a half of it, and the load itself takes a second.
const MAKE_WAY_PART: u64 = 4;
/// Stands for a time that is not known: before all others.
pub const UNKNOWN_TIME_MS: u64 = 0;

/// A version that was named.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct NamedVersion {
    /// The version.
    pub version: u64,
    /// The one that it replaced, 0 for none: no other was named between them.
    pub previous: u64,
    /// When the first box learned of it.
    pub named_at_ms: u64,
}

/// A version that was named, as this box knows of it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
struct Known {
    naming: NamedVersion,
    /// Whether its time is only the latest before which it was not named.
    estimated: bool,
}

/// The weight versions named for one model.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct NamedVersions {
    /// Rising, by version.
    named: Vec<Known>,
}

impl NamedVersions {
    /// Takes a version that has just been named; false when it is not newer than all before.
    pub fn add_named_at(&mut self, at_ms: u64, version: u64) -> bool {
        self.add(version, at_ms, false)
    }

    /// Takes a version that was named at some time after `after_ms`, which may be
    /// [`LONG_AGO_MS`].
    pub fn add_named_after(&mut self, after_ms: u64, version: u64) -> bool {
        self.add(version, after_ms, true)
    }

    fn add(&mut self, version: u64, at_ms: u64, estimated: bool) -> bool {
        let replaced = self.newest();
        if version <= replaced {
            return false;
        }
        self.named.push(Known {
            naming: NamedVersion { version, previous: replaced, named_at_ms: at_ms },
            estimated,
        });
        if self.named.len() > REMEMBERED {
            self.named.remove(0);
        }
        true
    }

    /// Takes what a peer tells of a version. The newest comes from the metadata store alone.
    pub fn merge(&mut self, told: NamedVersion) {
        if told.version > self.newest() {
            return;
        }
        match self.named.binary_search_by_key(&told.version, |one| one.naming.version) {
            Ok(known) if self.named[known].estimated => {
                self.named[known] = Known { naming: told, estimated: false };
            }
            Ok(known) => {
                let known = &mut self.named[known].naming;
                known.named_at_ms = known.named_at_ms.min(told.named_at_ms);
                known.previous = known.previous.max(told.previous);
            }
            Err(place) if self.named.len() < REMEMBERED => {
                self.named.insert(place, Known { naming: told, estimated: false });
            }
            Err(_) => {}
        }
    }

    /// The versions that were named after a time, as far as a box that was there knows it: an
    /// estimate that spread would count for all.
    pub fn named_after(&self, at_ms: u64) -> impl Iterator<Item = NamedVersion> {
        let known = self.named.iter().filter(|one| !one.estimated).map(|one| one.naming);
        known.filter(move |one| one.named_at_ms > at_ms)
    }

    /// The newest version; 0 when none was named.
    #[must_use]
    pub fn newest(&self) -> u64 {
        self.named.last().map_or(0, |newest| newest.naming.version)
    }

    /// Since when an engine with `version` is behind; `None` when it is not.
    #[must_use]
    pub fn behind_since_ms(&self, version: u64) -> Option<u64> {
        let newer = self.named.iter().map(|one| one.naming).find(|one| one.version > version)?;
        // Else another may have been named before that one.
        let is_next = newer.previous <= version;
        Some(if is_next { newer.named_at_ms } else { UNKNOWN_TIME_MS })
    }

    /// Whether an engine with `version` is held up by what runs there: it is behind for
    /// longer than `apply_ms`, in which it should have had newer weights, and a part of it.
    #[must_use]
    pub fn is_load_overdue(&self, now_ms: u64, version: u64, apply_ms: u64) -> bool {
        let behind_since_ms = self.behind_since_ms(version);
        behind_since_ms
            .is_some_and(|since_ms| now_ms >= since_ms + apply_ms + apply_ms / MAKE_WAY_PART)
    }
}
