//! Which leader may have ordered which engine, and when another may order it.
//!
//! A leader writes down each engine in the metadata store before it orders it, and strikes it
//! out once the order lies back for long enough. So whoever leads next knows the engines that
//! it may order at once, and pauses for the others alone: from when any box saw the leader
//! that ordered them to be over, however many have led since. Boxes tell each other how long ago that was, so that
//! no two boxes' clocks are compared.

use std::collections::{BTreeMap, BTreeSet};

use serde::{Deserialize, Serialize};

/// Changes of leader that are remembered: more than there are in any pause, each of which
/// takes a box some tenths of a second.
const REMEMBERED: usize = 64;

/// The engines that leaders may have ordered, by the fencing tokens of these. An engine
/// stands under the last one only.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Claims {
    engines: BTreeMap<u64, BTreeSet<u32>>,
}

impl Claims {
    /// The leader that may have ordered an engine last.
    #[must_use]
    pub fn claimant(&self, engine: u32) -> Option<u64> {
        let claimed = self.engines.iter().rev().find(|(_, engines)| engines.contains(&engine));
        claimed.map(|(fence, _)| *fence)
    }

    /// Number of engines that any leader may have ordered.
    #[must_use]
    pub fn len(&self) -> usize {
        self.engines.values().map(BTreeSet::len).sum()
    }

    /// Whether there is none.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.len() == 0
    }

    /// What the leader with `fence` writes down when it may have ordered, or is about to
    /// order, just `engines`. Those that leaders before may have ordered stay for as long as
    /// these are not over for `pause_ms`.
    #[must_use]
    pub fn updated(
        &self,
        now_ms: u64,
        (fence, engines): (u64, &BTreeSet<u32>),
        terms: &LeaderTerms,
        pause_ms: u64,
    ) -> Self {
        let mut next = Self::default();
        for (earlier, claimed) in self.earlier(now_ms, fence, terms, pause_ms) {
            let left: BTreeSet<u32> = claimed.difference(engines).copied().collect();
            if !left.is_empty() {
                next.engines.insert(earlier, left);
            }
        }
        next.engines.insert(fence, engines.clone());
        next
    }

    /// Whether leaders before the one with `fence` have ordered so lately that some
    /// engines wait for their pause.
    #[must_use]
    pub fn has_paused_targets(
        &self,
        now_ms: u64,
        fence: u64,
        terms: &LeaderTerms,
        pause_ms: u64,
    ) -> bool {
        self.earlier(now_ms, fence, terms, pause_ms).next().is_some()
    }

    /// What leaders before the one with `fence` have claimed, but for those that have been
    /// over for `pause_ms`.
    fn earlier(
        &self,
        now_ms: u64,
        fence: u64,
        terms: &LeaderTerms,
        pause_ms: u64,
    ) -> impl Iterator<Item = (u64, &BTreeSet<u32>)> {
        let waits = move |earlier: u64| {
            let over_ms = terms.ended_at_ms(earlier);
            over_ms.is_none_or(|at_ms| now_ms < at_ms + pause_ms)
        };
        let all = self.engines.iter().map(|(earlier, claimed)| (*earlier, claimed));
        all.filter(move |(earlier, _)| *earlier != fence && waits(*earlier))
    }

    /// Forgets engines of a leader but for those in `engines`.
    pub fn retain(&mut self, fence: u64, engines: &BTreeSet<u32>) {
        if let Some(claimed) = self.engines.get_mut(&fence) {
            claimed.retain(|engine| engines.contains(engine));
        }
    }

    /// The engines that a leader may have ordered.
    pub fn targets_of(&self, fence: u64) -> impl Iterator<Item = u32> {
        self.engines.get(&fence).into_iter().flatten().copied()
    }

    /// When the leader with `fence` may order an engine; `None` while it is not known that
    /// the one that ordered it is over.
    #[must_use]
    pub fn orderable_from_ms(
        &self,
        engine: u32,
        fence: u64,
        terms: &LeaderTerms,
        pause_ms: u64,
    ) -> Option<u64> {
        match self.claimant(engine) {
            None => Some(0),
            Some(own) if own == fence => Some(0),
            Some(earlier) => terms.ended_at_ms(earlier).map(|at_ms| at_ms + pause_ms),
        }
    }
}

/// When leaders were seen to be over, by any box. Their fencing tokens are revisions of the
/// metadata store, so that all before the present one are over, also those that nobody saw.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct LeaderTerms {
    /// Fencing tokens of leaders, and revisions at which there was none, with the time
    /// from which on that was known.
    changes: BTreeMap<u64, u64>,
    leader: Option<u64>,
    /// The first leader that this box saw itself.
    first_leader: Option<u64>,
    /// The last one.
    last_leader: Option<u64>,
}

impl LeaderTerms {
    /// Takes who leads, as of a revision of the metadata store.
    pub fn note_leader(&mut self, now_ms: u64, leader: Option<u64>, at_revision: u64) {
        let is_known = !self.changes.is_empty() && leader == self.leader;
        if is_known {
            return;
        }
        self.leader = leader;
        self.first_leader = self.first_leader.or(leader);
        self.last_leader = self.last_leader.max(leader);
        // Boxes see its end at different revisions; one entry for all keeps them few.
        let ended = self.last_leader.map_or(at_revision, |last| last + 1);
        self.merge(leader.unwrap_or(ended), now_ms);
    }

    /// Takes from a peer since when leaders before a revision are over. The time that this was
    /// under way makes it look later, never earlier.
    pub fn merge(&mut self, revision: u64, at_ms: u64) {
        let known_at_ms = self.changes.entry(revision).or_insert(at_ms);
        *known_at_ms = at_ms.min(*known_at_ms);
        if self.changes.len() > REMEMBERED {
            self.changes.pop_first();
        }
    }

    /// What a box that has just started has to know at `now_ms`, to go by pauses of
    /// `pause_ms`: the changes of that time and the last one before.
    pub fn recent(&self, now_ms: u64, pause_ms: u64) -> impl Iterator<Item = (u64, u64)> {
        let is_recent = move |at_ms: u64| now_ms < at_ms + pause_ms;
        let before = self.changes.iter().rev().find(|(_, at_ms)| !is_recent(**at_ms));
        let recent = self.changes.iter().filter(move |(_, at_ms)| is_recent(**at_ms));
        before.into_iter().chain(recent).map(|(revision, at_ms)| (*revision, *at_ms))
    }

    /// Whether this box saw another leader before the one with `fence`.
    #[must_use]
    pub fn saw_leader_before(&self, fence: u64) -> bool {
        self.first_leader.is_some_and(|first| first < fence)
    }

    /// Since when a leader is known to be over.
    #[must_use]
    pub fn ended_at_ms(&self, fence: u64) -> Option<u64> {
        let later = self.changes.range(fence.saturating_add(1)..);
        later.map(|(_, at_ms)| *at_ms).min()
    }
}
