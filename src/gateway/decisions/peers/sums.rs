//! What all other boxes told of upstreams, stores and services, put together.

use std::collections::BTreeMap;

use crate::gateway::decisions::peers::Peers;
use crate::gateway::decisions::upstream::Load;

impl Peers {
    /// Load that all other boxes put on upstreams, by their numbers.
    #[must_use]
    pub fn loads(&self, now_ms: u64) -> BTreeMap<u32, Load> {
        let mut loads: BTreeMap<u32, Load> = BTreeMap::new();
        for (_, peer) in self.alive(now_ms) {
            for told in &peer.gossip.loads {
                let load = loads.entry(told.upstream).or_default();
                load.requests += told.load.requests;
                load.unread_tokens += told.load.unread_tokens;
                load.memory_tokens += told.load.memory_tokens;
            }
        }
        loads
    }

    /// When any other box heard each upstream last, by their numbers.
    #[must_use]
    pub fn heard_upstreams(&self, now_ms: u64) -> BTreeMap<u32, u64> {
        let mut heard: BTreeMap<u32, u64> = BTreeMap::new();
        for (_, peer) in self.alive(now_ms) {
            for told in &peer.gossip.loads {
                let at_ms = peer.heard_at_ms.saturating_sub(told.heard_age_ms.into());
                let last_ms = heard.entry(told.upstream).or_default();
                *last_ms = at_ms.max(*last_ms);
            }
        }
        heard
    }

    /// Limits of admission that all other boxes have found, in thousandths, by the
    /// numbers of services.
    #[must_use]
    pub fn limits(&self, now_ms: u64) -> Vec<(u32, u16)> {
        self.alive(now_ms).flat_map(|(_, peer)| peer.gossip.limits.iter().copied()).collect()
    }

    /// Tokens that all other boxes fetch from stores, by their numbers.
    #[must_use]
    pub fn fetches(&self, now_ms: u64) -> BTreeMap<u32, u64> {
        let mut fetches = BTreeMap::new();
        for (_, peer) in self.alive(now_ms) {
            for (number, tokens) in &peer.gossip.fetches {
                *fetches.entry(*number).or_default() += u64::from(*tokens);
            }
        }
        fetches
    }
}
