//! Acknowledgements of the report that a box is sending to its peers.
//!
//! The box waits for them up to a deadline. A peer that has not acknowledged a report by then
//! still gets the next ones, but is not waited for until it is heard from again: a peer that has
//! vanished holds up one report, and not each one until it is considered dead.

use std::collections::BTreeSet;

/// Peers, by address, that have yet to acknowledge a report.
#[derive(Debug, Default)]
pub struct Acknowledgements {
    report: u64,
    awaited: BTreeSet<String>,
    silent: BTreeSet<String>,
}

impl Acknowledgements {
    /// Starts to wait for the acknowledgements of a report by `peers`.
    pub fn start<'a>(&mut self, report: u64, peers: impl IntoIterator<Item = &'a str>) {
        self.report = report;
        let awaited = peers.into_iter().filter(|peer| !self.silent.contains(*peer));
        self.awaited = awaited.map(str::to_owned).collect();
    }

    /// Whether all peers that are waited for have acknowledged the report.
    #[must_use]
    pub fn is_complete(&self) -> bool {
        self.awaited.is_empty()
    }

    /// Records that a peer has acknowledged a report; returns whether no other peer is left to
    /// wait for.
    pub fn record(&mut self, report: u64, peer: &str) -> bool {
        report == self.report && self.awaited.remove(peer) && self.awaited.is_empty()
    }

    /// Records that a message of a peer has arrived.
    pub fn record_heard(&mut self, peer: &str) {
        self.silent.remove(peer);
    }

    /// Ends the wait at its deadline; returns the peers that have not acknowledged the report.
    pub fn give_up(&mut self) -> Vec<String> {
        let missing: Vec<String> = std::mem::take(&mut self.awaited).into_iter().collect();
        self.silent.extend(missing.iter().cloned());
        missing
    }
}
