//! Tracks which leader may have sent an order to which engine or store (the target), and from
//! when the next leader may send one.
//!
//! Before a leader sends an order to a target, it writes a claim for the target to the metadata
//! store; it removes the claim once the order is old enough. So the next leader knows which
//! targets it may order at once, and waits only for the others. The wait counts from when any
//! box saw the end of the term of the leader that holds the claim, however many leaders
//! followed. Boxes exchange how long ago that was, so that their clocks are never compared.

use std::collections::{BTreeMap, BTreeSet};

use serde::{Deserialize, Serialize};

/// Number of leader changes that are remembered: more than can happen within one pause, since
/// each change takes some tenths of a second.
const MAX_CHANGES: usize = 64;

/// The targets that each leader may have ordered, by the leader's fencing token. A target is
/// listed under the last of these leaders only.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Claims {
    by_leader: BTreeMap<u64, BTreeSet<u32>>,
}

impl Claims {
    /// Fencing token of the last leader that may have ordered `target`.
    #[must_use]
    pub fn claimant(&self, target: u32) -> Option<u64> {
        let claimed = self.by_leader.iter().rev().find(|(_, targets)| targets.contains(&target));
        claimed.map(|(fence, _)| *fence)
    }

    /// Number of claimed targets.
    #[must_use]
    pub fn len(&self) -> usize {
        self.by_leader.values().map(BTreeSet::len).sum()
    }

    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.len() == 0
    }

    /// The claims to be written by the leader with `fence` that may have ordered, or is about to
    /// order, exactly the given targets. Claims of earlier leaders stay until `pause_ms` after
    /// the end of their terms.
    #[must_use]
    pub fn updated(
        &self,
        now_ms: u64,
        (fence, targets): (u64, &BTreeSet<u32>),
        terms: &LeaderTerms,
        pause_ms: u64,
    ) -> Self {
        let mut next = Self::default();
        for (earlier, claimed) in self.active_earlier_claims(now_ms, fence, terms, pause_ms) {
            let remaining: BTreeSet<u32> = claimed.difference(targets).copied().collect();
            if !remaining.is_empty() {
                next.by_leader.insert(earlier, remaining);
            }
        }
        next.by_leader.insert(fence, targets.clone());
        next
    }

    /// Whether some targets still have to wait because earlier leaders than the one with `fence`
    /// have claimed them.
    #[must_use]
    pub fn has_paused_targets(
        &self,
        now_ms: u64,
        fence: u64,
        terms: &LeaderTerms,
        pause_ms: u64,
    ) -> bool {
        self.active_earlier_claims(now_ms, fence, terms, pause_ms).next().is_some()
    }

    /// The claims of other leaders than the one with `fence`, except those whose terms ended at
    /// least `pause_ms` ago.
    fn active_earlier_claims(
        &self,
        now_ms: u64,
        fence: u64,
        terms: &LeaderTerms,
        pause_ms: u64,
    ) -> impl Iterator<Item = (u64, &BTreeSet<u32>)> {
        let is_active = move |earlier: u64| {
            let ended_at_ms = terms.ended_at_ms(earlier);
            ended_at_ms.is_none_or(|at_ms| now_ms < at_ms + pause_ms)
        };
        let all = self.by_leader.iter().map(|(earlier, claimed)| (*earlier, claimed));
        all.filter(move |(earlier, _)| *earlier != fence && is_active(*earlier))
    }

    /// Removes the claims of a leader on all targets but `targets`.
    pub fn retain(&mut self, fence: u64, targets: &BTreeSet<u32>) {
        if let Some(claimed) = self.by_leader.get_mut(&fence) {
            claimed.retain(|target| targets.contains(target));
        }
    }

    /// The targets that the leader with `fence` has claimed.
    pub fn targets_of(&self, fence: u64) -> impl Iterator<Item = u32> {
        self.by_leader.get(&fence).into_iter().flatten().copied()
    }

    /// From when the leader with `fence` may order `target`; `None` as long as the term of the
    /// leader that claimed it may not have ended.
    #[must_use]
    pub fn orderable_from_ms(
        &self,
        target: u32,
        fence: u64,
        terms: &LeaderTerms,
        pause_ms: u64,
    ) -> Option<u64> {
        match self.claimant(target) {
            None => Some(0),
            Some(own) if own == fence => Some(0),
            Some(earlier) => terms.ended_at_ms(earlier).map(|at_ms| at_ms + pause_ms),
        }
    }
}

/// When the terms of leaders were seen to end, by any box. Fencing tokens are revisions of the
/// metadata store, so a newer leader proves that the terms of all earlier ones have ended,
/// including those that no box saw.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct LeaderTerms {
    /// Fencing tokens of leaders, and revisions at which there was no leader, with the time since
    /// which that is known.
    changes: BTreeMap<u64, u64>,
    leader: Option<u64>,
    /// The first leader that this box saw itself.
    first_leader: Option<u64>,
    /// The newest leader that this box saw itself.
    newest_leader: Option<u64>,
}

impl LeaderTerms {
    /// Notes the current leader, as of a revision of the metadata store.
    pub fn note_leader(&mut self, now_ms: u64, leader: Option<u64>, at_revision: u64) {
        let is_unchanged = !self.changes.is_empty() && leader == self.leader;
        if is_unchanged {
            return;
        }
        self.leader = leader;
        self.first_leader = self.first_leader.or(leader);
        self.newest_leader = self.newest_leader.max(leader);
        // Boxes see the end of a term at different revisions; one entry for all of them keeps the
        // map small.
        let end_revision = self.newest_leader.map_or(at_revision, |last| last.saturating_add(1));
        self.merge(leader.unwrap_or(end_revision), now_ms);
    }

    /// Takes over from a peer since when the terms of all leaders before `revision` are known to
    /// have ended. The delay of the message can make that time too late, but never too early.
    pub fn merge(&mut self, revision: u64, at_ms: u64) {
        let known_since_ms = self.changes.entry(revision).or_insert(at_ms);
        *known_since_ms = at_ms.min(*known_since_ms);
        if self.changes.len() > MAX_CHANGES {
            self.changes.pop_first();
        }
    }

    /// What a box that has just started needs to know at `now_ms` for pauses of `pause_ms`: the
    /// changes within the last `pause_ms` and the newest one before.
    pub fn recent(&self, now_ms: u64, pause_ms: u64) -> impl Iterator<Item = (u64, u64)> {
        let is_recent = move |at_ms: u64| now_ms < at_ms + pause_ms;
        let before = self.changes.iter().rev().find(|(_, at_ms)| !is_recent(**at_ms));
        let recent = self.changes.iter().filter(move |(_, at_ms)| is_recent(**at_ms));
        before.into_iter().chain(recent).map(|(revision, at_ms)| (*revision, *at_ms))
    }

    /// Whether this box saw a leader before the one with `fence`.
    #[must_use]
    pub fn saw_leader_before(&self, fence: u64) -> bool {
        self.first_leader.is_some_and(|first| first < fence)
    }

    /// Since when the term of a leader is known to have ended.
    #[must_use]
    pub fn ended_at_ms(&self, fence: u64) -> Option<u64> {
        let later = self.changes.range(fence.saturating_add(1)..);
        later.map(|(_, at_ms)| *at_ms).min()
    }
}
