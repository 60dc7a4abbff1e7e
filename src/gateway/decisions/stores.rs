//! The stores of kept context, and how busy their links are.

use std::collections::{BTreeMap, HashMap};

use crate::gateway::decisions::cache_contents::{CacheContents, PartKey};
use crate::gateway::decisions::configuration::Store;
use crate::gateway::decisions::units::as_f64;
use crate::names::number;

/// Part of a store that is filled at most, so that the estimate of its content
/// may be off.
const MAX_FILL_PART: f64 = 0.97;
/// Weight of the newest fetch in the belief how slow a store is.
const SLOWDOWN_WEIGHT: f64 = 0.25;
/// Time in which that belief fades to a third.
const SLOWDOWN_DECAY_MS: f64 = 3000.0;
/// Slowest that a store is believed to be.
const MAX_SLOWDOWN: f64 = 12.0;
/// Time in which a saved part must be told of: the prompt has to be read and
/// sent before.
const SAVE_REPORT_MS: u64 = 3000;
/// Time for which a store that took no part is believed to be full.
const FULL_MS: u64 = 5000;
/// Time for which a store that failed is avoided.
const AVOID_MS: u64 = 1000;

/// How the store that is to take a part is chosen.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Placement<'a> {
    /// The quickest that has room.
    FastestLink {
        /// Data hall that is near.
        hall: &'a str,
    },
    /// By the part's name: many boxes that all choose the quickest would crowd
    /// its link.
    RendezvousHash,
    /// By the part's name among the stores of a hall, whatever other halls keep: engines that
    /// lack a part that most requests share would all fetch it over one link.
    RendezvousHashInHall {
        /// Data hall.
        hall: &'a str,
    },
}

impl<'a> Placement<'a> {
    /// How the store of a part that most requests share is chosen, for boxes of a hall.
    #[must_use]
    pub fn for_common_part(self, hall: &'a str) -> Self {
        match self {
            Self::RendezvousHash => Self::RendezvousHashInHall { hall },
            Self::FastestLink { .. } | Self::RendezvousHashInHall { .. } => self,
        }
    }

    /// Whether a store is one that the part may be kept at.
    fn covers(self, store: &Store) -> bool {
        match self {
            Self::RendezvousHashInHall { hall } => store.hall == hall,
            Self::FastestLink { .. } | Self::RendezvousHash => true,
        }
    }
}

/// State of one store.
#[derive(Debug, Default)]
pub struct StoreState {
    /// What it keeps.
    pub contents: CacheContents,
    /// Tokens of parts that are not whole.
    pub partial_tokens: u64,
    avoid_until_ms: u64,
    own_fetch_tokens: u64,
    peer_fetch_tokens: u64,
    slowdown: f64,
    slowdown_at_ms: u64,
    full_until_ms: u64,
    pending_saves: HashMap<PartKey, PendingSave>,
    /// Number of its name.
    seed: u32,
}

/// A part that this box has had saved, and that was not told of yet.
#[derive(Clone, Copy, Debug)]
struct PendingSave {
    tokens: u32,
    until_ms: u64,
}

impl StoreState {
    /// The state of a store of which other boxes are told.
    fn with_log() -> Self {
        Self { contents: CacheContents::with_log(), ..Self::default() }
    }

    /// Whether it failed lately.
    #[must_use]
    pub fn is_avoided(&self, now_ms: u64) -> bool {
        now_ms < self.avoid_until_ms
    }

    /// A draw from an exponential distribution, the same in every box. The store
    /// whose draw, divided by its size, is least has a part, with a likelihood in
    /// proportion to that size.
    fn draw(&self, key: PartKey) -> f64 {
        -key.hash_fraction(self.seed).ln()
    }

    /// Number that names it in messages between boxes.
    #[must_use]
    pub fn number(&self) -> u32 {
        self.seed
    }

    /// Avoids it for a while.
    pub fn record_failure(&mut self, now_ms: u64) {
        self.avoid_until_ms = now_ms + AVOID_MS;
    }

    /// Tokens that are being fetched from it, by all boxes.
    #[must_use]
    pub fn fetch_tokens(&self) -> u64 {
        self.own_fetch_tokens + self.peer_fetch_tokens
    }

    /// Tokens that are being fetched from it by this box.
    #[must_use]
    pub fn own_fetch_tokens(&self) -> u64 {
        self.own_fetch_tokens
    }

    /// Notes what all other boxes fetch.
    pub fn set_peer_fetch_tokens(&mut self, tokens: u64) {
        self.peer_fetch_tokens = tokens;
    }

    /// How many times as long as it should a fetch takes; the belief fades, so
    /// that a link that has recovered is used again.
    #[must_use]
    pub fn slowdown_factor(&self, now_ms: u64) -> f64 {
        let age_ms = as_f64(now_ms.saturating_sub(self.slowdown_at_ms));
        1.0 + (self.slowdown.max(1.0) - 1.0) * (-age_ms / SLOWDOWN_DECAY_MS).exp()
    }

    /// Counts a fetch that begins.
    pub fn record_fetch_start(&mut self, tokens: u32) {
        self.own_fetch_tokens += u64::from(tokens);
    }

    /// Counts a fetch that has ended, which took so many times as long as it
    /// was expected to.
    pub fn record_fetch_end(&mut self, now_ms: u64, tokens: u32, ratio: Option<f64>) {
        self.own_fetch_tokens = self.own_fetch_tokens.saturating_sub(u64::from(tokens));
        if let Some(ratio) = ratio {
            let ratio = ratio.clamp(1.0, MAX_SLOWDOWN);
            let believed = self.slowdown_factor(now_ms);
            self.slowdown = believed + (ratio - believed) * SLOWDOWN_WEIGHT;
            self.slowdown_at_ms = now_ms;
        }
    }

    /// Notes that a part is being saved there, if this box will hear of it.
    pub fn record_save(&mut self, now_ms: u64, part: PartKey, tokens: u32) {
        if !self.contents.is_known() {
            return;
        }
        self.pending_saves.insert(part, PendingSave { tokens, until_ms: now_ms + SAVE_REPORT_MS });
    }

    /// Tokens that it holds or is about to hold.
    #[must_use]
    pub fn used_tokens(&self) -> u64 {
        let saving: u64 = self.pending_saves.values().map(|save| u64::from(save.tokens)).sum();
        self.contents.total_tokens() + self.partial_tokens + saving
    }

    /// Settles saves: those that were told of, and those that found no room.
    fn settle(&mut self, now_ms: u64) -> usize {
        let holder = &self.contents;
        self.pending_saves.retain(|part, _| holder.tokens(*part) == 0);
        let before = self.pending_saves.len();
        self.pending_saves.retain(|_, save| save.until_ms > now_ms);
        let lost = before - self.pending_saves.len();
        if lost > 0 {
            self.full_until_ms = now_ms + FULL_MS;
        }
        lost
    }
}

/// The stores of kept context.
#[derive(Debug, Default)]
pub struct Stores {
    by_name: BTreeMap<String, (Store, StoreState)>,
}

impl Stores {
    /// Takes the configured stores; the state of one that stays is kept.
    pub fn configure(&mut self, stores: &[Store]) {
        let mut before = std::mem::take(&mut self.by_name);
        for store in stores {
            let known = before.remove(&store.name).filter(|(old, _)| old.address == store.address);
            let mut state = known.map_or_else(StoreState::with_log, |(_, state)| state);
            state.seed = number(&store.name);
            self.by_name.insert(store.name.clone(), (store.clone(), state));
        }
    }

    /// All stores.
    pub fn iter(&self) -> impl Iterator<Item = &(Store, StoreState)> {
        self.by_name.values()
    }

    /// All stores, to be changed.
    pub fn iter_mut(&mut self) -> impl Iterator<Item = &mut (Store, StoreState)> {
        self.by_name.values_mut()
    }

    /// A store.
    #[must_use]
    pub fn get(&self, name: &str) -> Option<&(Store, StoreState)> {
        self.by_name.get(name)
    }

    /// A store, to be changed.
    pub fn get_mut(&mut self, name: &str) -> Option<&mut (Store, StoreState)> {
        self.by_name.get_mut(name)
    }

    /// Settles saves; returns how many found no room, by store.
    pub fn settle_saves(&mut self, now_ms: u64) -> Vec<(String, usize)> {
        let mut lost = Vec::new();
        for (store, state) in self.by_name.values_mut() {
            let count = state.settle(now_ms);
            if count > 0 {
                lost.push((store.name.clone(), count));
            }
        }
        lost
    }

    /// Whether any store is known to keep some of a part.
    #[must_use]
    pub fn has_part(&self, key: PartKey) -> bool {
        self.iter().any(|(_, state)| state.contents.tokens(key) > 0)
    }

    /// The stores that keep a part whole.
    pub fn complete_holders(
        &self,
        now_ms: u64,
        key: PartKey,
        tokens: u32,
    ) -> impl Iterator<Item = &(Store, StoreState)> {
        self.iter().filter(move |(_, state)| {
            state.contents.tokens(key) >= tokens && !state.is_avoided(now_ms)
        })
    }

    /// The store that is to take a part, when none is known to keep it.
    #[must_use]
    pub fn store_for_save(
        &self,
        now_ms: u64,
        key: PartKey,
        tokens: u32,
        placement: Placement<'_>,
    ) -> Option<&Store> {
        let kept = |state: &StoreState| {
            state.contents.tokens(key) > 0 || state.pending_saves.contains_key(&key)
        };
        if self.iter().any(|(store, state)| placement.covers(store) && kept(state)) {
            return None;
        }
        let place = match placement {
            Placement::RendezvousHash => self.by_hash(now_ms, key, tokens),
            Placement::RendezvousHashInHall { hall } => {
                self.by_hash_in_hall(now_ms, key, tokens, hall)
            }
            Placement::FastestLink { hall } => self.fastest_link(now_ms, tokens, hall),
        };
        place.map(|(store, _)| store)
    }

    /// The store with room whose link is quickest, in the own hall if two are
    /// alike.
    fn fastest_link(&self, now_ms: u64, tokens: u32, hall: &str) -> Option<&(Store, StoreState)> {
        let cost = |(store, _): &(Store, StoreState)| {
            let away = if store.hall == hall { 1.0 } else { 2.0 };
            away / store.link_mbps.max(1.0)
        };
        self.available(now_ms, tokens).min_by(|one, other| cost(one).total_cmp(&cost(other)))
    }

    /// The stores that are known, have room and do not fail.
    fn available(&self, now_ms: u64, tokens: u32) -> impl Iterator<Item = &(Store, StoreState)> {
        self.iter().filter(move |(store, state)| {
            let filled = state.used_tokens() + u64::from(tokens);
            let full = as_f64(filled) > MAX_FILL_PART * as_f64(store.capacity_tokens);
            let sound = state.contents.is_known() && !state.is_avoided(now_ms);
            !full && sound && now_ms >= state.full_until_ms
        })
    }

    /// The store of a hall that takes a part which most requests share: by its name, in
    /// proportion to the rates of the stores' links.
    fn by_hash_in_hall(
        &self,
        now_ms: u64,
        key: PartKey,
        tokens: u32,
        hall: &str,
    ) -> Option<&(Store, StoreState)> {
        let distance =
            |(store, state): &(Store, StoreState)| state.draw(key) / store.link_mbps.max(1.0);
        let available = self.available(now_ms, tokens).filter(|(store, _)| store.hall == hall);
        available.min_by(|one, other| distance(one).total_cmp(&distance(other)))
    }

    /// The store that takes a part wherever it is asked for: by its name, in
    /// proportion to the stores' sizes. One that is full or fails is passed over.
    fn by_hash(&self, now_ms: u64, key: PartKey, tokens: u32) -> Option<&(Store, StoreState)> {
        let distance =
            |(store, state): &(Store, StoreState)| state.draw(key) / as_f64(store.capacity_tokens);
        let available = self.available(now_ms, tokens);
        available.min_by(|one, other| distance(one).total_cmp(&distance(other)))
    }
}
