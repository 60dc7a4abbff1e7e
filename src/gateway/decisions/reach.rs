//! Whether this box reaches upstreams over its own network links.
//!
//! A box may be cut off from all upstreams while clients, the metadata store and its peers reach it.
//! What it sees of upstreams then says nothing about them. A single upstream that only peers reach is
//! no proof of it: the box is cut off if it reaches none of several, including some of those that it
//! has not missed yet.

/// Upstreams out of reach, while peers reach them, from which on it may be the box that is cut off.
pub const MIN_MISSED: usize = 2;

/// What this box reaches over its own network links.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Reach {
    cut_off: bool,
    misses_stores: bool,
}

impl Reach {
    /// Whether this box is cut off from all upstreams.
    #[must_use]
    pub fn is_cut_off(self) -> bool {
        self.cut_off
    }

    /// Whether this box cannot follow the context stores, and peers may.
    #[must_use]
    pub fn misses_stores(self) -> bool {
        self.misses_stores
    }

    /// Records that a call to a context store failed. Peers may reach it if they reach the `missed`
    /// upstreams that this box does not.
    pub fn record_store_failure(&mut self, missed: usize) {
        self.misses_stores |= missed >= MIN_MISSED;
    }

    /// Takes over the result of a round of probes: how many upstreams are out of reach that peers
    /// reach, and whether any upstream was reached. Returns whether this has changed anything.
    pub fn update(&mut self, missed: usize, any_reached: bool) -> bool {
        self.misses_stores &= missed > 0;
        let cut_off = missed >= MIN_MISSED && !any_reached;
        std::mem::replace(&mut self.cut_off, cut_off) != cut_off
    }
}
