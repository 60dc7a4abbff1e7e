//! Limits the requests that a fleet sends to brittle upstreams, those that say that they fall over
//! when they have to reject more than a number of requests within a second.
//!
//! *Load pattern:* all boxes get a burst at once, and each knows the requests of the others only some
//! time later. So the number is divided among the boxes like that for cold upstreams
//! (`cold_start`), and a box counts each request as rejected until its upstream has kept it for a
//! while. Where the number is smaller than that of the boxes, one without a part in it sends a single
//! request at a time, and only to an upstream that seems half empty.

use std::collections::{BTreeMap, VecDeque};

use crate::gateway::decisions::cold_start::allowance;
use crate::gateway::decisions::peers::Peers;
use crate::gateway::decisions::upstream::Upstream;

/// Time after an answer that says so for which a service counts as brittle.
const BRITTLE_MS: u64 = 2000;
/// Time for which rejections count, with the time that a request takes to arrive.
const REJECTION_WINDOW_MS: u64 = 1300;
/// Time after which an upstream that has not rejected a request has accepted it: a few round trips.
pub const ACCEPTED_AFTER_MS: u64 = 100;

/// Services whose upstreams are brittle.
#[derive(Debug, Default)]
pub struct BrittleServices {
    by_name: BTreeMap<String, Brittleness>,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
struct Brittleness {
    max_rejections: u64,
    until_ms: u64,
    /// Until when this box tells others, because its own answers say so.
    told_until_ms: u64,
}

impl BrittleServices {
    /// Records that an upstream of a service says that it must not reject more than `max_rejections`
    /// requests within a second. Returns whether this is new.
    pub fn record_answer(&mut self, now_ms: u64, service: &str, max_rejections: u64) -> bool {
        let is_new = self.record_report(now_ms, service, max_rejections);
        if let Some(brittleness) = self.by_name.get_mut(service) {
            brittleness.told_until_ms = now_ms + BRITTLE_MS / 2;
        }
        is_new
    }

    /// Records the same as told by another box.
    pub fn record_report(&mut self, now_ms: u64, service: &str, max_rejections: u64) -> bool {
        let is_new = self.max_rejections(now_ms, service) != Some(max_rejections);
        let until_ms = now_ms + BRITTLE_MS;
        let known = self.by_name.get(service).map_or(0, |known| known.told_until_ms);
        let brittleness = Brittleness { max_rejections, until_ms, told_until_ms: known };
        self.by_name.insert(service.to_owned(), brittleness);
        is_new
    }

    /// Requests that each upstream of a service may reject within a second; `None` if it is not
    /// brittle.
    #[must_use]
    pub fn max_rejections(&self, now_ms: u64, service: &str) -> Option<u64> {
        let brittleness = self.by_name.get(service).filter(|known| now_ms < known.until_ms)?;
        Some(brittleness.max_rejections)
    }

    /// What this box tells others, by the names of the services.
    pub fn reports(&self, now_ms: u64) -> impl Iterator<Item = (&str, u64)> {
        let told = self.by_name.iter().filter(move |(_, known)| now_ms < known.told_until_ms);
        told.map(|(name, known)| (name.as_str(), known.max_rejections))
    }
}

/// Requests of this box that an upstream has rejected lately, or may still reject.
#[derive(Debug, Default)]
pub struct RecentRejections {
    unanswered_at_ms: VecDeque<u64>,
    rejected_at_ms: VecDeque<u64>,
}

impl RecentRejections {
    /// Records a request that is sent.
    pub fn record_sent(&mut self, now_ms: u64) {
        self.unanswered_at_ms.push_back(now_ms);
        self.expire(now_ms);
    }

    /// Records that a request was accepted.
    pub fn record_accepted(&mut self) {
        self.unanswered_at_ms.pop_front();
    }

    /// Records that a request was rejected.
    pub fn record_rejected(&mut self, now_ms: u64) {
        self.unanswered_at_ms.pop_front();
        self.rejected_at_ms.push_back(now_ms);
        self.expire(now_ms);
    }

    /// Whether a request was rejected lately.
    #[must_use]
    pub fn has_rejected(&self, now_ms: u64) -> bool {
        self.rejected_at_ms.back().is_some_and(|at_ms| now_ms < at_ms + REJECTION_WINDOW_MS)
    }

    fn expire(&mut self, now_ms: u64) {
        let expired = |at_ms: &u64, after_ms: u64| at_ms + after_ms <= now_ms;
        while self.unanswered_at_ms.front().is_some_and(|at_ms| expired(at_ms, ACCEPTED_AFTER_MS)) {
            self.unanswered_at_ms.pop_front();
        }
        while self.rejected_at_ms.front().is_some_and(|at_ms| expired(at_ms, REJECTION_WINDOW_MS)) {
            self.rejected_at_ms.pop_front();
        }
    }

    /// Number of requests that were rejected lately, or may still be.
    fn count(&self, now_ms: u64) -> u64 {
        let recent = |at_ms: &&u64, within_ms: u64| now_ms < **at_ms + within_ms;
        let unanswered =
            self.unanswered_at_ms.iter().filter(|at_ms| recent(at_ms, ACCEPTED_AFTER_MS));
        let rejected =
            self.rejected_at_ms.iter().filter(|at_ms| recent(at_ms, REJECTION_WINDOW_MS));
        (unanswered.count() + rejected.count()) as u64
    }
}

/// The limit for the upstreams of one service, and this box's part in it.
#[derive(Clone, Copy)]
pub struct BrittleLimit<'a> {
    pub max_rejections: u64,
    /// Number of halls among which the limit is divided.
    pub halls: usize,
    pub peers: &'a Peers,
}

impl BrittleLimit<'_> {
    /// Whether this box may send a request to an upstream.
    #[must_use]
    pub fn may_send(&self, now_ms: u64, upstream: &Upstream) -> bool {
        let (requests, slots) = (upstream.total_load().requests, upstream.entry.slots);
        if requests >= slots || upstream.is_rejecting(now_ms) {
            return false;
        }
        let rank = self.peers.hall_rank(now_ms, upstream.short_id);
        let allowed = rank.map_or(0, |rank| allowance(self.max_rejections, self.halls, rank));
        let open = upstream.rejections.count(now_ms);
        open < allowed || open == 0 && requests < slots.div_ceil(2)
    }
}
