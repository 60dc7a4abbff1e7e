//! What all other boxes told of upstreams, stores and services, put together.
//!
//! The sums are kept by difference, as news comes and lapses. Summed anew for each message,
//! they cost a box the square of the fleet.

use std::collections::HashMap;
use std::net::IpAddr;

use crate::gateway::decisions::gossip_message::{Gossip, LoadReport};
use crate::gateway::decisions::peers::{PEER_RETENTION_MS, Peers};
use crate::gateway::decisions::upstream::Load;

/// Sums over the peers that count.
#[derive(Debug, Default)]
pub(super) struct Sums {
    /// Load on upstreams, by their numbers.
    loads: HashMap<u32, Load>,
    /// Tokens that are fetched from stores, by their numbers.
    fetch_tokens: HashMap<u32, u64>,
    /// When any peer heard an upstream last, by its number.
    heard_at_ms: HashMap<u32, u64>,
}

impl Sums {
    /// Counts what a peer tells.
    pub(super) fn add(&mut self, gossip: &Gossip) {
        for told in &gossip.loads {
            self.loads.entry(told.upstream).or_default().add(told.load);
        }
        for (store, tokens) in &gossip.fetches {
            *self.fetch_tokens.entry(*store).or_default() += u64::from(*tokens);
        }
    }

    /// Takes out what a peer told before.
    pub(super) fn subtract(&mut self, gossip: &Gossip) {
        for told in &gossip.loads {
            let Some(load) = self.loads.get_mut(&told.upstream) else { continue };
            load.subtract(told.load);
            if *load == Load::default() {
                self.loads.remove(&told.upstream);
            }
        }
        for (store, tokens) in &gossip.fetches {
            let Some(sum) = self.fetch_tokens.get_mut(store) else { continue };
            *sum -= u64::from(*tokens);
            if *sum == 0 {
                self.fetch_tokens.remove(store);
            }
        }
    }

    /// Load by the numbers of upstreams.
    pub(super) fn loads(&self) -> &HashMap<u32, Load> {
        &self.loads
    }

    /// Tokens that are fetched, by the numbers of stores.
    pub(super) fn all_fetch_tokens(&self) -> &HashMap<u32, u64> {
        &self.fetch_tokens
    }

    /// Notes when a peer heard upstreams. That stays true, whatever becomes of the peer.
    pub(super) fn heard(&mut self, now_ms: u64, loads: &[LoadReport]) {
        for told in loads {
            let at_ms = now_ms.saturating_sub(told.heard_age_ms.into());
            let last_ms = self.heard_at_ms.entry(told.upstream).or_default();
            *last_ms = at_ms.max(*last_ms);
        }
    }

    /// Forgets upstreams that nobody has heard for long.
    fn forget(&mut self, now_ms: u64) {
        self.heard_at_ms.retain(|_, at_ms| now_ms < *at_ms + PEER_RETENTION_MS);
    }
}

impl Peers {
    /// Takes peers out of the sums that say nothing any more.
    pub fn expire(&mut self, now_ms: u64) {
        let bounds = self.silence_bounds();
        for peer in self.known.values_mut() {
            if peer.counted && !bounds.is_alive(now_ms, peer) {
                peer.counted = false;
                self.sums.subtract(&peer.gossip);
            }
        }
        self.sums.forget(now_ms);
        self.halls.lapse(now_ms);
    }

    /// Load that all other boxes put on an upstream.
    #[must_use]
    pub fn load(&self, upstream: u32) -> Load {
        let mut load = self.halls.load(upstream);
        load.add(self.sums.loads.get(&upstream).copied().unwrap_or_default());
        load
    }

    /// When any other box heard an upstream last; 0 when none did lately.
    #[must_use]
    pub fn heard_at_ms(&self, upstream: u32) -> u64 {
        self.sums.heard_at_ms.get(&upstream).copied().unwrap_or_default()
    }

    /// Tokens that all other boxes fetch from a store.
    #[must_use]
    pub fn fetch_tokens(&self, store: u32) -> u64 {
        let own_hall = self.sums.fetch_tokens.get(&store).copied().unwrap_or_default();
        own_hall + self.halls.fetch_tokens(store)
    }

    /// Upstreams of whose load a peer told last.
    #[must_use]
    pub fn upstreams_reported_by(&self, address: IpAddr) -> Vec<u32> {
        let peer = self.known.get(&address).filter(|peer| peer.counted);
        peer.map_or_else(Vec::new, |peer| {
            peer.gossip.loads.iter().map(|told| told.upstream).collect()
        })
    }

    /// Limits of admission that all other boxes have found, in thousandths, by the
    /// numbers of services.
    #[must_use]
    pub fn limits(&self, now_ms: u64) -> Vec<(u32, u16)> {
        self.alive(now_ms).flat_map(|(_, peer)| peer.gossip.limits.iter().copied()).collect()
    }
}
