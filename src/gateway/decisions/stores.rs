//! The context stores: their content, the load on their links, and the store to which each part is
//! saved.
//!
//! *Load pattern:* engines without context, after a start or a change of weights, save every prompt
//! that they compute, hundreds of megabytes each, over the links of a few stores; a transfer between
//! halls takes twice as long. When the links are full, saves come too late and prompts are computed
//! again whenever they return. So parts go to a store of the hall in which they are computed, from
//! where engines of this hall fetch them later.

use std::collections::{BTreeMap, HashMap};

use crate::gateway::decisions::cache_contents::{CacheContents, PartKey};
use crate::gateway::decisions::configuration::Store;
use crate::gateway::decisions::regions::AllowedHalls;
use crate::gateway::decisions::store_speed::StoreSpeed;
use crate::gateway::decisions::units::as_f64;
use crate::names::short_id;

/// Part of a store's capacity that is used; the rest allows for errors in the estimate of its
/// content.
const MAX_FILL_PART: f64 = 0.97;
/// Time within which a store reports a saved part: the prompt has to be computed and transferred
/// first.
const SAVE_REPORT_MS: u64 = 3000;
/// Time for which a store that did not save a part is assumed to be full.
const FULL_MS: u64 = 5000;
/// Time for which a store is avoided after a failure.
const AVOID_MS: u64 = 1000;

/// How the store for a part is selected.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Placement<'a> {
    /// The store with free capacity and the fastest link; a store of the given hall counts as twice
    /// as fast.
    FastestLink { hall: &'a str },
    /// By the hash of the part and the store's name, weighted by store capacity, among the stores of
    /// the given hall as long as one has room. If many boxes chose the fastest store, they would
    /// overload its link.
    RendezvousHash { hall: &'a str },
    /// By the same hash, weighted by link bandwidth, among the stores of one hall, whether or not
    /// other halls have a copy. For parts that most requests share: engines that lack such a part
    /// would otherwise all fetch it over one link.
    RendezvousHashInHall { hall: &'a str },
}

impl<'a> Placement<'a> {
    /// The placement, for boxes of `hall`, of parts that most requests share.
    #[must_use]
    pub fn for_common_part(self, hall: &'a str) -> Self {
        match self {
            Self::RendezvousHash { .. } => Self::RendezvousHashInHall { hall },
            Self::FastestLink { .. } | Self::RendezvousHashInHall { .. } => self,
        }
    }

    /// Whether this store comes after those of the preferred hall, however they compare.
    fn is_far(self, store: &Store) -> bool {
        match self {
            Self::RendezvousHash { hall } => store.hall != hall,
            Self::FastestLink { .. } | Self::RendezvousHashInHall { .. } => false,
        }
    }

    /// Whether parts may be saved to this store.
    fn includes(self, store: &Store) -> bool {
        match self {
            Self::RendezvousHashInHall { hall } => store.hall == hall,
            Self::FastestLink { .. } | Self::RendezvousHash { .. } => true,
        }
    }
}

/// State of one store as known to this box.
#[derive(Debug, Default)]
pub struct StoreState {
    /// The parts that it has.
    pub contents: CacheContents,
    /// Tokens of incomplete parts.
    pub partial_tokens: u64,
    /// How fast it is, and what this box fetches from it.
    pub speed: StoreSpeed,
    avoid_until_ms: u64,
    peer_fetch_tokens: u64,
    full_until_ms: u64,
    pending_saves: HashMap<PartKey, PendingSave>,
    /// Short id of the store, by which boxes refer to it in messages.
    short_id: u32,
}

/// A save that this box ordered and that the store has not reported yet.
#[derive(Clone, Copy, Debug)]
struct PendingSave {
    tokens: u32,
    until_ms: u64,
}

impl StoreState {
    /// A state that logs changes, to report them to other boxes.
    fn with_log() -> Self {
        Self { contents: CacheContents::with_log(), ..Self::default() }
    }

    /// Whether it failed recently.
    #[must_use]
    pub fn is_avoided(&self, now_ms: u64) -> bool {
        now_ms < self.avoid_until_ms
    }

    /// A sample from an exponential distribution that is the same in every box. The store with the
    /// lowest quotient of sample and weight is selected, so that the probability of each store is
    /// proportional to its weight.
    fn rendezvous_sample(&self, key: PartKey) -> f64 {
        -key.hash_fraction(self.short_id).ln()
    }

    /// Short id of the store in messages between boxes.
    #[must_use]
    pub fn short_id(&self) -> u32 {
        self.short_id
    }

    /// Records a failure, after which the store is avoided for a while.
    pub fn record_failure(&mut self, now_ms: u64) {
        self.avoid_until_ms = now_ms + AVOID_MS;
    }

    /// Tokens that all boxes are fetching from it.
    #[must_use]
    pub fn fetch_tokens(&self) -> u64 {
        self.speed.fetch_tokens() + self.peer_fetch_tokens
    }

    /// Sets the tokens that all other boxes are fetching.
    pub fn set_peer_fetch_tokens(&mut self, tokens: u64) {
        self.peer_fetch_tokens = tokens;
    }

    /// Records a save to this store, if this box receives the store's reports.
    pub fn record_save(&mut self, now_ms: u64, part: PartKey, tokens: u32) {
        if !self.contents.is_known() {
            return;
        }
        self.pending_saves.insert(part, PendingSave { tokens, until_ms: now_ms + SAVE_REPORT_MS });
    }

    /// Tokens of complete and incomplete parts and of pending saves.
    #[must_use]
    pub fn used_tokens(&self) -> u64 {
        let pending: u64 = self.pending_saves.values().map(|save| u64::from(save.tokens)).sum();
        self.contents.total_tokens() + self.partial_tokens + pending
    }

    /// Drops saves that were reported or have timed out; a timed-out save marks the store as full.
    /// Returns the number of timed-out saves.
    fn settle(&mut self, now_ms: u64) -> usize {
        let contents = &self.contents;
        self.pending_saves.retain(|part, _| contents.tokens(*part) == 0);
        let count = self.pending_saves.len();
        self.pending_saves.retain(|_, save| save.until_ms > now_ms);
        let timed_out = count - self.pending_saves.len();
        if timed_out > 0 {
            self.full_until_ms = now_ms + FULL_MS;
        }
        timed_out
    }
}

/// The configured context stores.
#[derive(Debug, Default)]
pub struct Stores {
    by_name: BTreeMap<String, (Store, StoreState)>,
}

impl Stores {
    /// Applies the configured stores; keeps the state of each store whose name and address stay the
    /// same.
    pub fn configure(&mut self, stores: &[Store]) {
        let mut previous = std::mem::take(&mut self.by_name);
        for store in stores {
            let previous_state =
                previous.remove(&store.name).filter(|(old, _)| old.address == store.address);
            let mut state = previous_state.map_or_else(StoreState::with_log, |(_, state)| state);
            state.short_id = short_id(&store.name);
            self.by_name.insert(store.name.clone(), (store.clone(), state));
        }
    }

    pub fn iter(&self) -> impl Iterator<Item = &(Store, StoreState)> {
        self.by_name.values()
    }

    pub fn iter_mut(&mut self) -> impl Iterator<Item = &mut (Store, StoreState)> {
        self.by_name.values_mut()
    }

    #[must_use]
    pub fn get(&self, name: &str) -> Option<&(Store, StoreState)> {
        self.by_name.get(name)
    }

    pub fn get_mut(&mut self, name: &str) -> Option<&mut (Store, StoreState)> {
        self.by_name.get_mut(name)
    }

    /// Settles pending saves; returns the number of timed-out saves of each store.
    pub fn settle_saves(&mut self, now_ms: u64) -> Vec<(String, usize)> {
        let mut timed_out = Vec::new();
        for (store, state) in self.by_name.values_mut() {
            let count = state.settle(now_ms);
            if count > 0 {
                timed_out.push((store.name.clone(), count));
            }
        }
        timed_out
    }

    /// Whether any store is known to have at least some of a part.
    #[must_use]
    pub fn has_part(&self, key: PartKey) -> bool {
        self.iter().any(|(_, state)| state.contents.tokens(key) > 0)
    }

    /// The stores that have a complete copy of a part and are not avoided.
    pub fn with_complete_copy(
        &self,
        now_ms: u64,
        key: PartKey,
        tokens: u32,
    ) -> impl Iterator<Item = &(Store, StoreState)> {
        self.iter().filter(move |(_, state)| {
            state.contents.tokens(key) >= tokens && !state.is_avoided(now_ms)
        })
    }

    /// The store to which a part is to be saved; `None` if one has it already or none is available.
    #[must_use]
    pub fn store_for_save(
        &self,
        now_ms: u64,
        key: PartKey,
        tokens: u32,
        placement: Placement<'_>,
        allowed_halls: AllowedHalls<'_>,
    ) -> Option<&Store> {
        let has_copy = |state: &StoreState| {
            state.contents.tokens(key) > 0 || state.pending_saves.contains_key(&key)
        };
        let may_save_to =
            |store: &Store| placement.includes(store) && allowed_halls.includes(&store.hall);
        if self.iter().any(|(store, state)| may_save_to(store) && has_copy(state)) {
            return None;
        }
        let available = self.available(now_ms, tokens).filter(|(store, _)| may_save_to(store));
        let cost = |(store, state): &(Store, StoreState)| match placement {
            Placement::RendezvousHash { .. } => {
                state.rendezvous_sample(key) / as_f64(store.capacity_tokens)
            }
            Placement::RendezvousHashInHall { .. } => {
                state.rendezvous_sample(key) / store.link_mbps.max(1.0)
            }
            Placement::FastestLink { hall } => {
                let hall_factor = if store.hall == hall { 1.0 } else { 2.0 };
                hall_factor / store.link_mbps.max(1.0)
            }
        };
        let cheapest = available.min_by(|left, right| {
            let by_hall = placement.is_far(&left.0).cmp(&placement.is_far(&right.0));
            by_hall.then(cost(left).total_cmp(&cost(right)))
        });
        cheapest.map(|(store, _)| store)
    }

    /// The stores that have reported their content, have free capacity and did not fail recently.
    fn available(&self, now_ms: u64, tokens: u32) -> impl Iterator<Item = &(Store, StoreState)> {
        self.iter().filter(move |(store, state)| {
            let filled = state.used_tokens() + u64::from(tokens);
            let full = as_f64(filled) > MAX_FILL_PART * as_f64(store.capacity_tokens);
            let usable = state.contents.is_known() && !state.is_avoided(now_ms);
            !full && usable && now_ms >= state.full_until_ms
        })
    }
}
