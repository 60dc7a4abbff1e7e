//! What bridges tell of whole halls: the load that a hall puts on upstreams, what it fetches from
//! stores, and what its boxes know.
//!
//! Without it a box sees of another hall's engines only what its own hall sends there: with
//! many callers in one hall, all its boxes would crowd engines that are full.

use std::collections::{BTreeMap, HashMap};

use crate::gateway::decisions::gossip_message::LoadReport;
use crate::gateway::decisions::hall_summary::{HallSummary, OtherHallsSummary};
use crate::gateway::decisions::peers::{ALIVE_MS, Peers};
use crate::gateway::decisions::upstream::Load;

/// What bridges told.
#[derive(Debug, Default)]
pub(super) struct Halls {
    /// The last news of each other hall, with when it came; bridges alone hear it.
    by_hall: BTreeMap<u32, (u64, HallSummary)>,
    /// All other halls together.
    loads: HashMap<u32, Load>,
    fetch_tokens: HashMap<u32, u64>,
    heard_at_ms: u64,
}

impl Halls {
    /// Load that other halls put on an upstream.
    pub(super) fn load(&self, upstream: u32) -> Load {
        self.loads.get(&upstream).copied().unwrap_or_default()
    }

    /// Tokens that other halls fetch from a store.
    pub(super) fn fetch_tokens(&self, store: u32) -> u64 {
        self.fetch_tokens.get(&store).copied().unwrap_or_default()
    }

    /// Forgets what was told too long ago.
    pub(super) fn lapse(&mut self, now_ms: u64) {
        let before = self.by_hall.len();
        self.by_hall.retain(|_, (heard_at_ms, _)| now_ms < *heard_at_ms + ALIVE_MS);
        if self.by_hall.len() != before {
            self.add_up(now_ms);
        }
        if now_ms >= self.heard_at_ms + ALIVE_MS {
            self.loads.clear();
            self.fetch_tokens.clear();
        }
    }

    /// Puts the news of all halls together.
    fn add_up(&mut self, now_ms: u64) {
        let mut loads: HashMap<u32, Load> = HashMap::new();
        let mut fetch_tokens: HashMap<u32, u64> = HashMap::new();
        for (_, news) in self.by_hall.values() {
            for told in &news.loads {
                loads.entry(told.upstream).or_default().add(told.load);
            }
            for (store, tokens) in &news.fetches {
                *fetch_tokens.entry(*store).or_default() += u64::from(*tokens);
            }
        }
        self.take(now_ms, loads, fetch_tokens);
    }

    fn take(&mut self, now_ms: u64, loads: HashMap<u32, Load>, fetch_tokens: HashMap<u32, u64>) {
        self.loads = loads;
        self.fetch_tokens = fetch_tokens;
        self.heard_at_ms = now_ms;
    }
}

impl Peers {
    /// Takes what the bridge of another hall tells of it.
    pub fn receive_hall_summary(&mut self, now_ms: u64, news: HallSummary) {
        if news.hall == self.own.hall {
            return;
        }
        for (address, revision) in &news.revisions {
            if let Some(peer) = self.known.get_mut(address) {
                peer.bridged_revision = peer.bridged_revision.max(*revision);
            }
        }
        self.sums.heard(now_ms, &news.loads);
        self.halls.by_hall.insert(news.hall, (now_ms, news));
        self.halls.add_up(now_ms);
    }

    /// Takes what a bridge of the own hall tells of all others.
    pub fn receive_other_halls(&mut self, now_ms: u64, news: &OtherHallsSummary) {
        if !self.halls.by_hall.is_empty() {
            // This box hears the halls themselves.
            return;
        }
        self.sums.heard(now_ms, &news.loads);
        let loads = news.loads.iter().map(|told| (told.upstream, told.load)).collect();
        let fetches = news.fetches.iter().map(|(store, tokens)| (*store, u64::from(*tokens)));
        self.halls.take(now_ms, loads, fetches.collect());
    }

    /// What this box tells other halls of its own, with the loads and fetches that are its
    /// own.
    #[must_use]
    pub fn hall_summary(
        &self,
        now_ms: u64,
        own_loads: impl Iterator<Item = LoadReport>,
        own_fetches: &[(u32, u32)],
    ) -> HallSummary {
        let mut loads = self.sums.loads().clone();
        for told in own_loads {
            loads.entry(told.upstream).or_default().add(told.load);
        }
        let mut fetches = self.sums.all_fetch_tokens().clone();
        for (store, tokens) in own_fetches {
            *fetches.entry(*store).or_default() += u64::from(*tokens);
        }
        let alive = self.alive(now_ms).filter(|(_, peer)| peer.gossip.hall == self.own.hall);
        let revisions = alive
            .map(|(address, peer)| (*address, peer.gossip.view_digest.last_change_revision))
            .collect();
        HallSummary {
            hall: self.own.hall,
            loads: self.told(now_ms, &loads),
            fetches: told_fetches(&fetches),
            revisions,
        }
    }

    /// What this box tells its own hall of all others.
    #[must_use]
    pub fn other_halls_summary(&self, now_ms: u64) -> OtherHallsSummary {
        OtherHallsSummary {
            loads: self.told(now_ms, &self.halls.loads),
            fetches: told_fetches(&self.halls.fetch_tokens),
        }
    }

    fn told(&self, now_ms: u64, loads: &HashMap<u32, Load>) -> Vec<LoadReport> {
        let used = loads.iter().filter(|(_, load)| load.requests > 0);
        let told = used.map(|(upstream, load)| {
            let age_ms = now_ms.saturating_sub(self.heard_at_ms(*upstream));
            let heard_age_ms = u16::try_from(age_ms).unwrap_or(u16::MAX);
            LoadReport { upstream: *upstream, load: *load, heard_age_ms }
        });
        told.collect()
    }
}

fn told_fetches(fetches: &HashMap<u32, u64>) -> Vec<(u32, u32)> {
    let told = fetches.iter().filter(|(_, tokens)| **tokens > 0);
    told.map(|(store, tokens)| (*store, u32::try_from(*tokens).unwrap_or(u32::MAX))).collect()
}
