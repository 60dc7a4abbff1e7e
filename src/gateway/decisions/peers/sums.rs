//! Sums over what the peers report of upstreams, stores and services.
//!
//! The sums are updated by the difference whenever a report arrives or expires. Summing up again
//! for each message would cost each box time proportional to the square of the fleet size.

use std::collections::HashMap;
use std::net::IpAddr;

use crate::gateway::decisions::account_shares::{AccountReports, AccountSums};
use crate::gateway::decisions::admission::PeerLimit;
use crate::gateway::decisions::gossip_message::{Gossip, LoadReport};
use crate::gateway::decisions::peers::{PEER_RETENTION_MS, Peers};
use crate::gateway::decisions::upstream::Load;

/// Sums over the reports of live peers.
#[derive(Debug, Default)]
pub(super) struct Sums {
    /// Load on upstreams, by the short id of the upstream.
    loads: HashMap<u32, Load>,
    /// Tokens fetched from stores, by the short id of the store.
    fetch_tokens: HashMap<u32, u64>,
    /// When any peer last received data from an upstream, by the short id of the upstream.
    received_at_ms: HashMap<u32, u64>,
    /// Work of client accounts, and refusals.
    pub(super) accounts: AccountSums,
}

impl Sums {
    /// Adds a peer's report.
    pub(super) fn add(&mut self, gossip: &Gossip) {
        for report in &gossip.loads {
            self.loads.entry(report.upstream).or_default().add(report.load);
        }
        for (store, tokens) in &gossip.fetches {
            *self.fetch_tokens.entry(*store).or_default() += u64::from(*tokens);
        }
    }

    /// Subtracts a peer's earlier report.
    pub(super) fn subtract(&mut self, gossip: &Gossip) {
        for report in &gossip.loads {
            let Some(load) = self.loads.get_mut(&report.upstream) else { continue };
            load.subtract(report.load);
            if *load == Load::default() {
                self.loads.remove(&report.upstream);
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

    /// Load on upstreams, by the short id of the upstream.
    pub(super) fn loads(&self) -> &HashMap<u32, Load> {
        &self.loads
    }

    /// Tokens fetched from stores, by the short id of the store.
    pub(super) fn fetch_tokens(&self) -> &HashMap<u32, u64> {
        &self.fetch_tokens
    }

    /// Notes when a peer last received data from upstreams. This stays valid if the peer itself
    /// falls silent.
    pub(super) fn note_received(&mut self, now_ms: u64, loads: &[LoadReport]) {
        for report in loads {
            let at_ms = now_ms.saturating_sub(report.receive_age_ms.into());
            let last_received_at_ms = self.received_at_ms.entry(report.upstream).or_default();
            *last_received_at_ms = at_ms.max(*last_received_at_ms);
        }
    }

    /// Forgets upstreams from which no peer has received data for a long time.
    fn forget_silent_upstreams(&mut self, now_ms: u64) {
        self.received_at_ms.retain(|_, at_ms| now_ms < *at_ms + PEER_RETENTION_MS);
    }
}

impl Peers {
    /// Takes the reports of silent peers out of the sums.
    pub fn expire(&mut self, now_ms: u64) {
        let silence_limits = self.silence_limits();
        for peer in self.known.values_mut() {
            if peer.in_sums && !silence_limits.is_live(now_ms, peer) {
                peer.in_sums = false;
                self.sums.subtract(&peer.gossip);
                self.sums.accounts.subtract_work(&peer.gossip.accounts);
            }
        }
        self.sums.forget_silent_upstreams(now_ms);
        self.halls.expire(now_ms);
    }

    /// Load of all other boxes on an upstream.
    #[must_use]
    pub fn load(&self, upstream: u32) -> Load {
        let mut load = self.halls.load(upstream);
        load.add(self.sums.loads.get(&upstream).copied().unwrap_or_default());
        load
    }

    /// Upstreams on which other boxes put load.
    pub fn loaded_upstreams(&self) -> impl Iterator<Item = u32> {
        self.sums.loads.keys().chain(self.halls.loaded_upstreams()).copied()
    }

    /// When any other box last received data from an upstream; 0 if none did recently.
    #[must_use]
    pub fn received_at_ms(&self, upstream: u32) -> u64 {
        self.sums.received_at_ms.get(&upstream).copied().unwrap_or_default()
    }

    /// Tokens that all other boxes fetch from a store.
    #[must_use]
    pub fn fetch_tokens(&self, store: u32) -> u64 {
        let own_hall = self.sums.fetch_tokens.get(&store).copied().unwrap_or_default();
        own_hall + self.halls.fetch_tokens(store)
    }

    /// Upstreams whose load a peer reported last.
    #[must_use]
    pub fn upstreams_reported_by(&self, address: IpAddr) -> Vec<u32> {
        let peer = self.known.get(&address).filter(|peer| peer.in_sums);
        peer.map_or_else(Vec::new, |peer| {
            peer.gossip.loads.iter().map(|report| report.upstream).collect()
        })
    }

    /// What all other boxes report of client accounts.
    #[must_use]
    pub fn account_sums(&self) -> AccountSums {
        let mut sums = self.sums.accounts.clone();
        sums.merge(self.halls.accounts());
        sums
    }

    /// What the own hall reports of client accounts, with this box's own reports.
    #[must_use]
    pub fn hall_account_reports(&self, now_ms: u64, own: &AccountReports) -> AccountReports {
        let mut sums = self.sums.accounts.clone();
        sums.add_work(own);
        sums.note_refusals(now_ms, own);
        sums.reports(now_ms)
    }

    /// Admission limits that all other boxes have found.
    #[must_use]
    pub fn limits(&self, now_ms: u64) -> Vec<PeerLimit> {
        let limits = self.live_peers(now_ms).flat_map(|(_, peer)| {
            let received_at_ms = peer.last_receive_ms;
            peer.gossip
                .limits
                .iter()
                .map(move |report| PeerLimit { received_at_ms, report: *report })
        });
        limits.collect()
    }
}
