//! As of when a box knows what the metadata store has.
//!
//! A box that is cut off, slow or suspended does not notice changes, and a stale read may not show
//! them. So the time counts from before the store was asked, also if a peer asked it.

/// Time between two ticks from which a box counts as having stood still.
const STANDSTILL_MS: u64 = 1000;

/// As of when a box knows an item of the metadata store.
#[derive(Clone, Copy, Debug, Default)]
pub struct StoreKnowledge {
    as_of_ms: Option<u64>,
    /// Whether the item has to be read before watches show anything of it.
    needs_read: bool,
    last_tick_ms: u64,
    /// When this box last ran again after a standstill.
    resumed_at_ms: u64,
}

impl StoreKnowledge {
    /// Records that this box has followed all changes of the metadata store until a time, which is not
    /// later than when the store saw that there were no others.
    pub fn record_followed(&mut self, as_of_ms: u64) {
        if !self.needs_read {
            self.as_of_ms = self.as_of_ms.max(Some(as_of_ms));
        }
    }

    /// Records that this box, or a peer, has read the item as of a time.
    pub fn record_read(&mut self, as_of_ms: u64) {
        self.needs_read = false;
        self.as_of_ms = self.as_of_ms.max(Some(as_of_ms));
    }

    /// Records that this box begins to follow the metadata store with a view that others have told it: a
    /// change may be missing that no watch will show.
    pub fn require_read(&mut self) {
        self.needs_read = true;
    }

    /// Forgets the time, because the item that was followed cannot be used.
    pub fn forget(&mut self) {
        (self.as_of_ms, self.needs_read) = (None, true);
    }

    /// Records that this box runs; to be called several times a second.
    pub fn tick(&mut self, now_ms: u64) {
        if self.last_tick_ms > 0 && self.stands_still(now_ms) {
            self.resumed_at_ms = now_ms;
        }
        self.last_tick_ms = now_ms;
    }

    /// Whether this box has not stood still since the time as of which it knows the item.
    #[must_use]
    pub fn is_continuous(&self, now_ms: u64) -> bool {
        let has_run = self.as_of_ms.is_some_and(|as_of_ms| as_of_ms > self.resumed_at_ms);
        has_run && !self.stands_still(now_ms)
    }

    fn stands_still(&self, now_ms: u64) -> bool {
        now_ms > self.last_tick_ms + STANDSTILL_MS
    }

    /// Whether the item was known later than at a time.
    #[must_use]
    pub fn is_later_than(&self, at_ms: u64) -> bool {
        self.as_of_ms.is_some_and(|as_of_ms| as_of_ms >= at_ms)
    }

    /// Age of what this box knows; `None` if it has read only stale state.
    #[must_use]
    pub fn age_ms(&self, now_ms: u64) -> Option<u64> {
        self.as_of_ms.map(|as_of_ms| now_ms.saturating_sub(as_of_ms))
    }
}
