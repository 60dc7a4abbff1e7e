//! What an upstream asks of a box beside its answer.
//!
//! It holds for one run of the upstream, whatever its entry says: the entry lags behind while
//! the metadata store does, and may lapse and come back.

use std::collections::HashMap;

use crate::gateway::decisions::incarnation::{Incarnation, is_other_incarnation};

/// Longest rest that is heeded.
const MAX_REST_MS: u64 = 600_000;
/// Time for which the notices of an upstream that is not listed are kept.
const KEEP_MS: u64 = 600_000;

/// A notice of an upstream.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Notice {
    /// Whether it is about to leave.
    pub leaving: bool,
    /// Time for which it wants no requests from this box.
    pub rest_ms: Option<u64>,
}

impl Notice {
    /// Whether it asks for nothing.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        *self == Self::default()
    }
}

/// What an upstream has asked in its notices.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct NoticeState {
    /// Whether it is about to leave.
    pub leaving: bool,
    /// Until when it wants no requests from this box.
    pub rest_until_ms: u64,
}

impl NoticeState {
    /// What a notice asks from now on.
    #[must_use]
    pub fn from_notice(now_ms: u64, notice: Notice) -> Self {
        let rest_ms = notice.rest_ms.map_or(0, |rest_ms| rest_ms.min(MAX_REST_MS));
        let rest_until_ms = if rest_ms == 0 { 0 } else { now_ms + rest_ms };
        Self { leaving: notice.leaving, rest_until_ms }
    }

    /// Adds what was asked beside.
    pub fn merge(&mut self, other: Self) {
        self.leaving |= other.leaving;
        self.rest_until_ms = self.rest_until_ms.max(other.rest_until_ms);
    }
}

/// What upstreams asked, kept while they are not listed.
#[derive(Debug, Default)]
pub struct UnlistedNotices {
    by_id: HashMap<String, Kept>,
}

#[derive(Debug)]
struct Kept {
    upstream: Incarnation,
    notices: NoticeState,
    until_ms: u64,
}

impl UnlistedNotices {
    /// Keeps what the run of an upstream asked that is not listed.
    pub fn insert(&mut self, now_ms: u64, upstream: &Incarnation, mut notices: NoticeState) {
        self.by_id.retain(|_, kept| now_ms < kept.until_ms);
        notices.merge(self.remove(upstream));
        if notices != NoticeState::default() {
            let kept = Kept { upstream: upstream.clone(), notices, until_ms: now_ms + KEEP_MS };
            self.by_id.insert(upstream.id.clone(), kept);
        }
    }

    /// What the run of an upstream asked that is listed again.
    pub fn remove(&mut self, upstream: &Incarnation) -> NoticeState {
        let kept = self.by_id.remove(&upstream.id);
        let same_run = kept.filter(|kept| {
            !is_other_incarnation(kept.upstream.started_at_ms, upstream.started_at_ms)
        });
        same_run.map(|kept| kept.notices).unwrap_or_default()
    }
}
