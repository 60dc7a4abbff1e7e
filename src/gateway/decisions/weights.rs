//! The weight versions that operators have named for a model, and since when
//! an engine with an older one is behind.

/// Versions that are remembered.
const REMEMBERED: usize = 16;
/// All streams make way for a load that is late by this part of its time: an engine must
/// not have old weights for one and a half of it, and the load itself takes a second.
const MAKE_WAY_PART: u64 = 4;

/// The weight versions named for one model.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct NamedWeights {
    /// Versions with the time at which this box learned of each, rising.
    named: Vec<(u64, u64)>,
}

impl NamedWeights {
    /// Takes a named version; false when it is not newer than all before.
    pub fn learn(&mut self, now_ms: u64, version: u64) -> bool {
        if version <= self.newest() {
            return false;
        }
        self.named.push((version, now_ms));
        if self.named.len() > REMEMBERED {
            self.named.remove(0);
        }
        true
    }

    /// The newest version; 0 when none was named.
    #[must_use]
    pub fn newest(&self) -> u64 {
        self.named.last().map_or(0, |(version, _)| *version)
    }

    /// Since when an engine with `version` is behind; `None` when it is not.
    #[must_use]
    pub fn behind_since_ms(&self, version: u64) -> Option<u64> {
        let newer = self.named.iter().find(|(named, _)| *named > version);
        newer.map(|(_, known_at_ms)| *known_at_ms)
    }

    /// Whether an engine with `version` is held up by what runs there: it is behind for
    /// longer than `apply_ms`, in which it should have had newer weights, and a part of it.
    #[must_use]
    pub fn is_held_up(&self, now_ms: u64, version: u64, apply_ms: u64) -> bool {
        let behind_since_ms = self.behind_since_ms(version);
        behind_since_ms
            .is_some_and(|since_ms| now_ms >= since_ms + apply_ms + apply_ms / MAKE_WAY_PART)
    }
}
