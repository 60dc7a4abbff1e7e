//! Summaries of whole halls, received from bridges and sent by them: the load that a hall puts on
//! upstreams, what it fetches from stores, and which revisions its boxes have reached.
//!
//! Without the summaries, a box would see only its own hall's part of the load on the engines of
//! another hall. With many callers in one hall, all its boxes would send requests to engines that
//! are already full.

use std::collections::{BTreeMap, HashMap};

use crate::gateway::decisions::account_shares::AccountSums;
use crate::gateway::decisions::gossip_message::LoadReport;
use crate::gateway::decisions::hall_summary::{HallSummary, OtherHallsSummary};
use crate::gateway::decisions::peers::{PEER_TIMEOUT_MS, Peers};
use crate::gateway::decisions::upstream::Load;

/// Most upstreams whose load is in one summary, so that it fits a datagram.
const MAX_SUMMARY_LOADS: usize = 400;

/// Totals over all other halls, from the summaries received from bridges.
#[derive(Debug, Default)]
pub(super) struct HallTotals {
    /// The last summary of each other hall and when it was received. Only bridges receive these.
    by_hall: BTreeMap<u32, (u64, HallSummary)>,
    /// Total load of all other halls, by the short id of the upstream.
    loads: HashMap<u32, Load>,
    fetch_tokens: HashMap<u32, u64>,
    accounts: AccountSums,
    updated_at_ms: u64,
}

impl HallTotals {
    /// Load of other halls on an upstream.
    pub(super) fn load(&self, upstream: u32) -> Load {
        self.loads.get(&upstream).copied().unwrap_or_default()
    }

    /// Upstreams on which other halls put load.
    pub(super) fn loaded_upstreams(&self) -> impl Iterator<Item = &u32> {
        self.loads.keys()
    }

    /// Tokens that other halls fetch from a store.
    pub(super) fn fetch_tokens(&self, store: u32) -> u64 {
        self.fetch_tokens.get(&store).copied().unwrap_or_default()
    }

    /// Work of client accounts, and refusals, of other halls.
    pub(super) fn accounts(&self) -> &AccountSums {
        &self.accounts
    }

    /// Removes summaries that are too old.
    pub(super) fn expire(&mut self, now_ms: u64) {
        let count_before = self.by_hall.len();
        self.by_hall.retain(|_, (received_at_ms, _)| now_ms < *received_at_ms + PEER_TIMEOUT_MS);
        if self.by_hall.len() != count_before {
            self.recalculate(now_ms);
        }
        if now_ms >= self.updated_at_ms + PEER_TIMEOUT_MS {
            self.loads.clear();
            self.fetch_tokens.clear();
            self.accounts = AccountSums::default();
        }
    }

    /// Recalculates the totals over all summaries.
    fn recalculate(&mut self, now_ms: u64) {
        let mut loads: HashMap<u32, Load> = HashMap::new();
        let mut fetch_tokens: HashMap<u32, u64> = HashMap::new();
        let mut accounts = AccountSums::default();
        for (received_at_ms, summary) in self.by_hall.values() {
            for report in &summary.loads {
                loads.entry(report.upstream).or_default().add(report.load);
            }
            for (store, tokens) in &summary.fetches {
                *fetch_tokens.entry(*store).or_default() += u64::from(*tokens);
            }
            accounts.add_work(&summary.accounts);
            accounts.note_refusals(*received_at_ms, &summary.accounts);
        }
        self.accounts = accounts;
        self.set_totals(now_ms, loads, fetch_tokens);
    }

    fn set_totals(
        &mut self,
        now_ms: u64,
        loads: HashMap<u32, Load>,
        fetch_tokens: HashMap<u32, u64>,
    ) {
        self.loads = loads;
        self.fetch_tokens = fetch_tokens;
        self.updated_at_ms = now_ms;
    }
}

impl Peers {
    /// Takes over the summary of another hall from its bridge.
    pub fn receive_hall_summary(&mut self, now_ms: u64, summary: HallSummary) {
        if summary.hall == self.local.hall {
            return;
        }
        for (address, revision) in &summary.revisions {
            if let Some(peer) = self.known.get_mut(address) {
                peer.bridged_revision = peer.bridged_revision.max(*revision);
            }
        }
        self.sums.note_received(now_ms, &summary.loads);
        self.halls.by_hall.insert(summary.hall, (now_ms, summary));
        self.halls.recalculate(now_ms);
    }

    /// Whether this box receives the summaries of other halls themselves.
    #[must_use]
    pub fn has_hall_summaries(&self) -> bool {
        !self.halls.by_hall.is_empty()
    }

    /// Takes over the summary of all other halls from a bridge of the own hall.
    pub fn receive_other_halls(&mut self, now_ms: u64, summary: &OtherHallsSummary) {
        if self.has_hall_summaries() {
            // A bridge receives the summaries of the halls themselves.
            return;
        }
        self.sums.note_received(now_ms, &summary.loads);
        let loads = summary.loads.iter().map(|report| (report.upstream, report.load)).collect();
        let fetches = summary.fetches.iter().map(|(store, tokens)| (*store, u64::from(*tokens)));
        self.halls.set_totals(now_ms, loads, fetches.collect());
        self.halls.accounts = AccountSums::default();
        self.halls.accounts.add_work(&summary.accounts);
        self.halls.accounts.note_refusals(now_ms, &summary.accounts);
    }

    /// The summary of the own hall, made of the sums over its boxes and this box's own loads and
    /// fetches. The caller adds the samples of speeds.
    #[must_use]
    pub fn hall_summary(
        &self,
        now_ms: u64,
        own_loads: impl Iterator<Item = LoadReport>,
        own_fetches: &[(u32, u32)],
    ) -> HallSummary {
        let mut loads = self.sums.loads().clone();
        for report in own_loads {
            loads.entry(report.upstream).or_default().add(report.load);
        }
        let mut fetches = self.sums.fetch_tokens().clone();
        for (store, tokens) in own_fetches {
            *fetches.entry(*store).or_default() += u64::from(*tokens);
        }
        let live = self.live_peers(now_ms).filter(|(_, peer)| peer.gossip.hall == self.local.hall);
        let revisions = live
            .map(|(address, peer)| (*address, peer.gossip.view_digest.last_change_revision))
            .collect();
        HallSummary {
            hall: self.local.hall,
            loads: self.load_reports(now_ms, &loads),
            fetches: fetch_reports(&fetches),
            revisions,
            ..HallSummary::default()
        }
    }

    /// The summary of all other halls for the boxes of the own hall. The caller adds the samples of
    /// speeds.
    #[must_use]
    pub fn other_halls_summary(&self, now_ms: u64) -> OtherHallsSummary {
        OtherHallsSummary {
            loads: self.load_reports(now_ms, &self.halls.loads),
            fetches: fetch_reports(&self.halls.fetch_tokens),
            accounts: self.halls.accounts.reports(now_ms),
            ..OtherHallsSummary::default()
        }
    }

    fn load_reports(&self, now_ms: u64, loads: &HashMap<u32, Load>) -> Vec<LoadReport> {
        let nonzero = loads.iter().filter(|(_, load)| load.requests > 0);
        let mut nonzero: Vec<_> = nonzero.collect();
        nonzero.sort_unstable_by_key(|(_, load)| std::cmp::Reverse(load.requests));
        nonzero.truncate(MAX_SUMMARY_LOADS);
        let reports = nonzero.into_iter().map(|(upstream, load)| {
            let age_ms = now_ms.saturating_sub(self.received_at_ms(*upstream));
            let receive_age_ms = u16::try_from(age_ms).unwrap_or(u16::MAX);
            LoadReport { upstream: *upstream, load: *load, receive_age_ms }
        });
        reports.collect()
    }
}

fn fetch_reports(fetches: &HashMap<u32, u64>) -> Vec<(u32, u32)> {
    let reports = fetches.iter().filter(|(_, tokens)| **tokens > 0);
    reports.map(|(store, tokens)| (*store, u32::try_from(*tokens).unwrap_or(u32::MAX))).collect()
}
