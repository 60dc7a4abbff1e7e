//! Notices that an upstream sends along with its answers: that it is about to leave, or that it
//! asks for a back-off, that is, for no requests during some time.
//!
//! A notice holds for one incarnation of the upstream, whatever the upstream's entry in the
//! metadata store says: the entry is out of date while the store is, and may expire and come back.

use std::collections::HashMap;

use crate::gateway::decisions::incarnation::{Incarnation, is_other_incarnation};
use crate::gateway::decisions::rate_limit::RateLimit;

/// Upper limit of the back-off that an upstream can ask for.
const MAX_BACKOFF_MS: u64 = 600_000;
/// Time for which the notices of an upstream that is not listed are remembered.
const RETENTION_MS: u64 = 600_000;

/// A notice that came with one answer.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Notice {
    /// Whether the upstream is about to leave.
    pub leaving: bool,
    /// Time for which the upstream wants no requests from this box.
    pub backoff_ms: Option<u64>,
}

impl Notice {
    #[must_use]
    pub fn is_empty(&self) -> bool {
        *self == Self::default()
    }
}

/// The combined effect of all notices of an upstream.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct NoticeState {
    /// Whether the upstream is about to leave.
    pub leaving: bool,
    /// Until when the upstream wants no requests from this box.
    pub backoff_until_ms: u64,
}

impl NoticeState {
    /// The effect of a notice that was received at `now_ms`.
    #[must_use]
    pub fn from_notice(now_ms: u64, notice: Notice) -> Self {
        let backoff_ms = notice.backoff_ms.map_or(0, |backoff_ms| backoff_ms.min(MAX_BACKOFF_MS));
        let backoff_until_ms = if backoff_ms == 0 { 0 } else { now_ms + backoff_ms };
        Self { leaving: notice.leaving, backoff_until_ms }
    }

    /// Adds the effect of other notices.
    pub fn merge(&mut self, other: Self) {
        self.leaving |= other.leaving;
        self.backoff_until_ms = self.backoff_until_ms.max(other.backoff_until_ms);
    }
}

/// Effects of notices from upstreams that are not listed in the metadata store, in case they are
/// listed again.
#[derive(Debug, Default)]
pub struct UnlistedNotices {
    by_id: HashMap<String, RetainedNotices>,
}

#[derive(Debug)]
struct RetainedNotices {
    upstream: Incarnation,
    notices: NoticeState,
    rate_limit: RateLimit,
    expires_at_ms: u64,
}

impl UnlistedNotices {
    /// Remembers notices of an incarnation that is not listed, together with earlier ones, and its
    /// rate limit.
    pub fn insert(
        &mut self,
        now_ms: u64,
        upstream: &Incarnation,
        mut notices: NoticeState,
        rate_limit: RateLimit,
    ) {
        self.by_id.retain(|_, retained| now_ms < retained.expires_at_ms);
        let (earlier_notices, earlier_limit) = self.remove(upstream);
        notices.merge(earlier_notices);
        let rate_limit = rate_limit.newer(earlier_limit);
        if notices != NoticeState::default() || rate_limit != RateLimit::default() {
            let retained = RetainedNotices {
                upstream: upstream.clone(),
                notices,
                rate_limit,
                expires_at_ms: now_ms + RETENTION_MS,
            };
            self.by_id.insert(upstream.id.clone(), retained);
        }
    }

    /// Removes and returns the notices and the rate limit remembered for an incarnation that is
    /// listed again.
    pub fn remove(&mut self, upstream: &Incarnation) -> (NoticeState, RateLimit) {
        let retained = self.by_id.remove(&upstream.id);
        let same_incarnation = retained.filter(|retained| {
            !is_other_incarnation(retained.upstream.started_at_ms, upstream.started_at_ms)
        });
        same_incarnation.map(|retained| (retained.notices, retained.rate_limit)).unwrap_or_default()
    }
}
