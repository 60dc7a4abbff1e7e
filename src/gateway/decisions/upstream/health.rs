//! Health of an upstream, judged by its answers and connections.

use super::{FIRST_AVOID_MS, Upstream};

/// Time without any bytes after which an upstream with requests in progress gets no more of them;
/// well above the longest step of a loaded engine.
pub const SILENT_MS: u64 = 800;
/// Time without any bytes after which requests that may be repeated are taken away from an upstream:
/// a sound one may be silent for a second.
const ABANDON_MS: u64 = 1200;
/// Time without any bytes at this box after which an upstream gets no more requests from it
/// although other boxes receive bytes, since the network path may be cut. It is below the 1.8 s
/// after which the operating system closes a connection.
const SILENT_TO_THIS_BOX_MS: u64 = 2 * SILENT_MS;
/// Time within which connect timeouts count as one event.
const CONCURRENT_TIMEOUTS_MS: u64 = 1500;
/// Longest time for which an upstream is avoided after a failure.
const MAX_AVOID_MS: u64 = 4000;
/// Back-off after the first request that an upstream rejected.
const FIRST_REJECTION_BACKOFF_MS: u64 = 200;
/// Longest such backoff; it doubles with each consecutive rejection.
const MAX_REJECTION_BACKOFF_MS: u64 = 3200;
/// Weight of the newest answer in the failure rate.
const FAILURE_WEIGHT: f64 = 0.15;
/// Failure rate from which on an upstream is avoided.
const FAILURE_RATE_LIMIT: f64 = 0.12;

/// How this box can open connections to an upstream.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Access {
    Direct,
    /// Only through peers.
    Tunnel,
    /// Not at all, or it fell silent; it gets no requests until a connection is established.
    Unreachable {
        /// Whether this is only concluded from others of its hall.
        inferred: bool,
        /// Whether a probe has failed since this was found out.
        probed: bool,
    },
}

impl Upstream {
    /// Records that it rejected a request. As it looks idle, it would otherwise be chosen again and
    /// again.
    pub fn record_rejection(&mut self, now_ms: u64) {
        self.rejections.record_rejected(now_ms);
        let backoff_ms =
            FIRST_REJECTION_BACKOFF_MS << self.consecutive_rejections.min(u32::BITS / 2);
        self.rejecting_until_ms = now_ms + backoff_ms.min(MAX_REJECTION_BACKOFF_MS);
        self.consecutive_rejections += 1;
    }

    /// Records that it accepted a request.
    pub fn record_acceptance(&mut self) {
        self.rejections.record_accepted();
        self.rejecting_until_ms = 0;
        self.consecutive_rejections = 0;
    }

    /// Time until which this box prefers other upstreams because this one asked for a back-off or
    /// rejected a request; `None` if there is no such time.
    #[must_use]
    pub fn backoff_until_ms(&self, now_ms: u64) -> Option<u64> {
        let until_ms = self.notices.backoff_until_ms.max(self.rejecting_until_ms);
        (now_ms < until_ms).then_some(until_ms)
    }

    /// Records until when the upstream rejects requests from another box.
    pub fn set_peer_backoff(&mut self, until_ms: u64) {
        self.peer_backoff_until_ms = until_ms.max(self.peer_backoff_until_ms);
    }

    /// Whether it has rejected requests of any box lately, or asked for a back-off.
    #[must_use]
    pub fn is_rejecting(&self, now_ms: u64) -> bool {
        self.backoff_until_ms(now_ms).is_some() || now_ms < self.peer_backoff_until_ms
    }

    /// Whether it has rejected requests of any box within the time in which rejections add up.
    #[must_use]
    pub fn has_rejected(&self, now_ms: u64) -> bool {
        self.rejections.has_rejected(now_ms) || self.is_rejecting(now_ms)
    }

    /// Whether it failed, sent nothing for too long, or rejected requests recently.
    #[must_use]
    pub fn is_unhealthy(&self, now_ms: u64) -> bool {
        let avoid_until_ms = self.avoid_until_ms.max(self.peer_backoff_until_ms);
        let is_avoided = now_ms < avoid_until_ms.max(self.rejecting_until_ms);
        self.is_unreachable() || is_avoided || self.is_silent(now_ms)
    }

    /// Whether it has requests in progress and has sent nothing for too long.
    #[must_use]
    pub fn is_silent(&self, now_ms: u64) -> bool {
        self.silent_since_ms(now_ms).is_some()
    }

    /// Since when it has had requests in progress and sent nothing, if that exceeds the limit. The
    /// limit is higher if other boxes receive bytes, since it is then busy rather than dead.
    #[must_use]
    pub fn silent_since_ms(&self, now_ms: u64) -> Option<u64> {
        self.silent_for_ms(now_ms, SILENT_MS)
    }

    /// Whether requests in progress there are to be repeated elsewhere, if they may be.
    #[must_use]
    pub fn is_abandoned(&self, now_ms: u64) -> bool {
        let is_silent = self.silent_since_ms(now_ms).is_some();
        is_silent && self.is_known_unreachable() || self.silent_for_ms(now_ms, ABANDON_MS).is_some()
    }

    /// Since when it has had requests in progress and sent nothing, if it has been silent to all boxes
    /// for longer than `limit_ms`, or to this one for much longer.
    fn silent_for_ms(&self, now_ms: u64, limit_ms: u64) -> Option<u64> {
        let since_ms = self.awaiting_answer_since_ms?.max(self.last_receive_ms);
        let exceeds = |since_ms: u64, limit_ms: u64| now_ms.saturating_sub(since_ms) > limit_ms;
        let silent_to_all = exceeds(since_ms.max(self.peers_last_receive_ms), limit_ms);
        (silent_to_all || exceeds(since_ms, SILENT_TO_THIS_BOX_MS)).then_some(since_ms)
    }

    /// Whether a connection was not established in time or the upstream fell silent; it gets no
    /// requests until a connection is established.
    #[must_use]
    pub fn is_unreachable(&self) -> bool {
        matches!(self.access, Access::Unreachable { .. })
    }

    /// Whether it is unreachable, and a probe has failed since this was found out.
    #[must_use]
    pub fn is_known_unreachable(&self) -> bool {
        matches!(self.access, Access::Unreachable { probed: true, .. })
    }

    /// Whether only peers can open connections to it.
    #[must_use]
    pub fn needs_tunnel(&self) -> bool {
        self.access == Access::Tunnel
    }

    /// Records that a connection was not established in time.
    pub fn record_connect_timeout(&mut self, now_ms: u64) {
        self.mark_unreachable();
        self.connect_timeout_at_ms = Some(now_ms);
    }

    /// Records that a probe could not establish a connection.
    pub fn record_probe_failure(&mut self) {
        if let Access::Unreachable { probed, .. } = &mut self.access {
            *probed = true;
        }
    }

    /// Records that a peer has established a connection, and this box cannot. That direct connections
    /// broke or fell silent says nothing about the upstream.
    pub fn record_tunnel(&mut self) {
        self.access = Access::Tunnel;
        self.awaiting_answer_since_ms = None;
        self.avoid_until_ms = 0;
        self.avoid_ms = FIRST_AVOID_MS;
        self.failure_rate = 0.0;
    }

    /// Whether a connect timeout is recent enough to count as the same event as another.
    #[must_use]
    pub fn connect_timed_out_recently(&self, now_ms: u64) -> bool {
        self.connect_timeout_at_ms.is_some_and(|at_ms| now_ms < at_ms + CONCURRENT_TIMEOUTS_MS)
    }

    /// Keeps requests away until a connection is established.
    pub fn mark_unreachable(&mut self) {
        if let Access::Unreachable { inferred, .. } = &mut self.access {
            *inferred = false;
        } else {
            self.access = Access::Unreachable { inferred: false, probed: false };
        }
    }

    /// The same, because others of its hall are out of reach.
    pub fn infer_unreachable(&mut self) {
        if !self.is_unreachable() {
            self.access = Access::Unreachable { inferred: true, probed: false };
        }
    }

    /// Whether it is taken to be unreachable only because others of its hall are.
    #[must_use]
    pub fn is_inferred_unreachable(&self) -> bool {
        matches!(self.access, Access::Unreachable { inferred: true, .. })
    }

    /// Records that this box has established a connection itself.
    pub fn mark_reachable(&mut self) {
        self.access = Access::Direct;
    }

    /// Whether bytes arrived from it at other boxes recently.
    #[must_use]
    pub fn answers_other_boxes(&self, now_ms: u64) -> bool {
        now_ms.saturating_sub(self.peers_last_receive_ms) <= SILENT_MS
    }

    /// Records a successful answer.
    pub fn record_success(&mut self) {
        self.failure_rate *= 1.0 - FAILURE_WEIGHT;
        self.avoid_ms = FIRST_AVOID_MS;
    }

    /// Records a failure that the upstream is responsible for.
    pub fn record_failure(&mut self, now_ms: u64) {
        self.failure_rate = self.failure_rate * (1.0 - FAILURE_WEIGHT) + FAILURE_WEIGHT;
        if self.failure_rate >= FAILURE_RATE_LIMIT {
            self.avoid(now_ms);
        }
    }

    /// Avoids it for a while, twice as long each time in a row.
    fn avoid(&mut self, now_ms: u64) {
        self.avoid_until_ms = now_ms + self.avoid_ms;
        self.avoid_ms = (self.avoid_ms * 2).min(MAX_AVOID_MS);
    }
}
