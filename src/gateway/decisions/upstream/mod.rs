//! An upstream: its entry in the metadata store, its incarnation, load and health.
//!
//! Health is judged by answers to requests, without probes: an upstream that fails is avoided for a
//! while, and one that has requests in progress and sends nothing gets no more of them.

mod health;

use std::collections::HashMap;
use std::net::SocketAddr;

use health::Access;
pub use health::SILENT_MS;
use serde::{Deserialize, Serialize};

use crate::gateway::decisions::brittle::RecentRejections;
use crate::gateway::decisions::cache_contents::CacheContents;
use crate::gateway::decisions::cold_start::ColdState;
use crate::gateway::decisions::engine_speed::EngineSpeed;
use crate::gateway::decisions::incarnation::{Incarnation, is_other_incarnation};
use crate::gateway::decisions::notice::NoticeState;
use crate::gateway::decisions::rate_limit::{LimitState, Sending};
use crate::names::short_id;

/// Time for which an upstream is avoided after its first failure.
const FIRST_AVOID_MS: u64 = 500;

/// The entry of an upstream in the metadata store.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct UpstreamEntry {
    /// Service that it belongs to.
    pub service: String,
    /// Version of its software.
    pub software: String,
    pub address: SocketAddr,
    /// Data hall.
    pub hall: String,
    /// Number of requests that it runs concurrently.
    pub slots: u32,
    /// Whether it is about to leave the fleet.
    pub leaving: bool,
    /// How much longer it was cold when it wrote the entry.
    pub cold_left_ms: u64,
    /// Models with their weight versions.
    pub models: Vec<(String, u64)>,
    /// Start of its process, in Unix milliseconds, if it was reported.
    pub started_at_ms: Option<u64>,
}

/// The incarnation of an upstream to which a report refers.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ReportedIncarnation {
    /// The known incarnation, or the first of an upstream that was not known.
    Current,
    /// A new incarnation, so that what was known of the upstream has been discarded.
    Restarted,
    /// An incarnation that has ended; the report was ignored.
    Outdated,
}

/// Load that one box puts on an upstream.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Load {
    /// Requests in progress.
    pub requests: u32,
    /// Prompt tokens whose prefill has not finished.
    pub pending_prefill_tokens: u32,
    /// Engine memory that the requests occupy.
    pub memory_tokens: u32,
}

impl Load {
    /// Adds a load. Clients and peers may name any number of tokens, so that sums do not overflow.
    pub fn add(&mut self, other: Self) {
        self.requests = self.requests.saturating_add(other.requests);
        self.pending_prefill_tokens =
            self.pending_prefill_tokens.saturating_add(other.pending_prefill_tokens);
        self.memory_tokens = self.memory_tokens.saturating_add(other.memory_tokens);
    }

    /// Subtracts a load that was added before.
    pub fn subtract(&mut self, earlier: Self) {
        self.requests = self.requests.saturating_sub(earlier.requests);
        self.pending_prefill_tokens =
            self.pending_prefill_tokens.saturating_sub(earlier.pending_prefill_tokens);
        self.memory_tokens = self.memory_tokens.saturating_sub(earlier.memory_tokens);
    }
}

/// An upstream as known to this box.
#[derive(Debug)]
pub struct Upstream {
    /// Id in the metadata store.
    pub id: String,
    /// Short id of its incarnation, for messages between boxes.
    pub short_id: u32,
    /// Its newest entry in the metadata store.
    pub entry: UpstreamEntry,
    /// Short id of the version of its software.
    pub software: u32,
    /// Load from this box.
    pub own_load: Load,
    /// Load from all other boxes, as last reported.
    pub peer_load: Load,
    /// Its cached context.
    pub contents: CacheContents,
    /// Whether it has just started, and what this box has sent to it since.
    pub cold: ColdState,
    /// Requests of this box that it has rejected, or may reject.
    pub rejections: RecentRejections,
    /// How many requests it takes from all boxes together.
    pub rate_limit: LimitState,
    /// How fast it is.
    pub speed: EngineSpeed,
    /// Start of its incarnation according to the newest report.
    started_at_ms: Option<u64>,
    /// When its entry changed to leaving, if this box saw it change.
    leaving_since_ms: Option<u64>,
    /// When this box learned of that incarnation.
    known_since_ms: u64,
    observed_versions: HashMap<String, u64>,
    avoid_until_ms: u64,
    avoid_ms: u64,
    failure_rate: f64,
    last_receive_ms: u64,
    peers_last_receive_ms: u64,
    awaiting_answer_since_ms: Option<u64>,
    loading_until_ms: u64,
    access: Access,
    connect_timeout_at_ms: Option<u64>,
    superseded: bool,
    /// Notices from its answers.
    notices: NoticeState,
    /// Time until which it rejects requests, as reported by other boxes.
    peer_backoff_until_ms: u64,
    rejecting_until_ms: u64,
    /// Rejected requests since the last accepted one.
    consecutive_rejections: u32,
}

impl Upstream {
    /// An upstream of which only the entry is known.
    #[must_use]
    pub fn new(now_ms: u64, id: &str, entry: UpstreamEntry) -> Self {
        let incarnation = Incarnation { id: id.to_owned(), started_at_ms: entry.started_at_ms };
        let mut cold = ColdState::default();
        cold.extend(now_ms, now_ms + entry.cold_left_ms);
        Self {
            short_id: incarnation.short_id(),
            id: incarnation.id,
            started_at_ms: incarnation.started_at_ms,
            known_since_ms: now_ms,
            leaving_since_ms: None,
            software: short_id(&entry.software),
            entry,
            own_load: Load::default(),
            peer_load: Load::default(),
            contents: CacheContents::default(),
            cold,
            rejections: RecentRejections::default(),
            rate_limit: LimitState::default(),
            speed: EngineSpeed::default(),
            observed_versions: HashMap::new(),
            avoid_until_ms: 0,
            avoid_ms: FIRST_AVOID_MS,
            failure_rate: 0.0,
            last_receive_ms: 0,
            peers_last_receive_ms: 0,
            awaiting_answer_since_ms: None,
            loading_until_ms: 0,
            access: Access::Direct,
            connect_timeout_at_ms: None,
            superseded: false,
            notices: NoticeState::default(),
            peer_backoff_until_ms: 0,
            rejecting_until_ms: 0,
            consecutive_rejections: 0,
        }
    }

    /// When this box learned of its incarnation.
    #[must_use]
    pub fn known_since_ms(&self) -> u64 {
        self.known_since_ms
    }

    /// Notices from its answers.
    #[must_use]
    pub fn notices(&self) -> NoticeState {
        self.notices
    }

    /// Adds notices from an answer.
    pub fn apply_notices(&mut self, notices: NoticeState) {
        self.notices.merge(notices);
    }

    /// Whether its entry or its answers announced that it is about to leave.
    #[must_use]
    pub fn is_leaving(&self) -> bool {
        self.entry.leaving || self.notices.leaving
    }

    /// Since when its entry says that it leaves, as far as this box knows.
    #[must_use]
    pub fn leaving_since_ms(&self) -> Option<u64> {
        self.entry.leaving.then(|| self.leaving_since_ms.unwrap_or(self.known_since_ms))
    }

    /// Whether it may still resume streams although its entry says that it leaves, which must get no
    /// requests `apply_ms` after that. Half of that time is left for the way.
    #[must_use]
    pub fn may_resume_before_leaving(&self, now_ms: u64, apply_ms: u64) -> bool {
        let since_ms = self.leaving_since_ms.filter(|_| !self.notices.leaving);
        since_ms.is_some_and(|since_ms| now_ms < since_ms + apply_ms / 2)
    }

    /// Time until which it asked this box not to send requests; `None` if it accepts them.
    #[must_use]
    pub fn requested_backoff_until_ms(&self, now_ms: u64) -> Option<u64> {
        Some(self.notices.backoff_until_ms).filter(|until_ms| now_ms < *until_ms)
    }

    /// Its present incarnation.
    #[must_use]
    pub fn incarnation(&self) -> Incarnation {
        Incarnation { id: self.id.clone(), started_at_ms: self.started_at_ms }
    }

    /// Whether `incarnation` may be its present one.
    #[must_use]
    pub fn is_incarnation(&self, incarnation: &Incarnation) -> bool {
        self.id == incarnation.id
            && !is_other_incarnation(self.started_at_ms, incarnation.started_at_ms)
    }

    /// Applies an entry of the metadata store, which delivers entries in order.
    pub fn update_entry(&mut self, now_ms: u64, entry: UpstreamEntry) -> ReportedIncarnation {
        // An incarnation reports its start either in all of its entries or in none.
        let reports_start_now = self.started_at_ms.is_none() && entry.started_at_ms.is_some();
        if !reports_start_now && !is_other_incarnation(self.started_at_ms, entry.started_at_ms) {
            // The entry may have been written some time ago, so this is an upper bound.
            self.cold.extend(now_ms, now_ms + entry.cold_left_ms);
            self.software = short_id(&entry.software);
            self.leaving_since_ms = match (self.entry.leaving, entry.leaving) {
                (false, true) => Some(now_ms),
                (true, true) => self.leaving_since_ms,
                (_, false) => None,
            };
            self.entry = entry;
            return ReportedIncarnation::Current;
        }
        if self.entry.started_at_ms == entry.started_at_ms {
            // The new incarnation answered a call before its own entry arrived.
            return ReportedIncarnation::Outdated;
        }
        *self = Self::new(now_ms, &self.id, entry);
        ReportedIncarnation::Restarted
    }

    /// Records the start of the incarnation that answered a call made at `asked_at_ms`.
    pub fn record_answering_incarnation(
        &mut self,
        now_ms: u64,
        started_at_ms: Option<u64>,
        asked_at_ms: u64,
    ) -> ReportedIncarnation {
        if !is_other_incarnation(self.started_at_ms, started_at_ms) {
            self.complete_start(started_at_ms);
            return ReportedIncarnation::Current;
        }
        if asked_at_ms < self.known_since_ms {
            // The answer may come from an incarnation before the known one.
            return ReportedIncarnation::Outdated;
        }
        // The entry of the earlier incarnation is the best information until that of the new
        // incarnation arrives.
        let entry_started_at_ms = self.entry.started_at_ms;
        *self = Self::new(now_ms, &self.id, UpstreamEntry { started_at_ms, ..self.entry.clone() });
        self.entry.started_at_ms = entry_started_at_ms;
        ReportedIncarnation::Restarted
    }

    /// Adds the start of the known incarnation if it was not reported before.
    fn complete_start(&mut self, started_at_ms: Option<u64>) {
        if self.started_at_ms.is_none() && started_at_ms.is_some() {
            self.started_at_ms = started_at_ms;
            self.short_id = self.incarnation().short_id();
        }
    }

    /// Version of a model's weights; 0 if the upstream does not have the model.
    #[must_use]
    pub fn weight_version(&self, model: &str) -> u64 {
        let entry_version = self.entry.models.iter().find(|(name, _)| name == model);
        let entry_version = entry_version.map_or(0, |(_, version)| *version);
        entry_version.max(self.observed_versions.get(model).copied().unwrap_or_default())
    }

    /// Records a weight version seen in an answer.
    pub fn record_weight_version(&mut self, model: &str, version: u64) {
        if version > self.weight_version(model) {
            self.observed_versions.insert(model.to_owned(), version);
            self.contents.clear();
        }
    }

    /// Discards the weight version seen in an answer; that of its entry counts again.
    pub fn forget_weight_version(&mut self, model: &str) {
        self.observed_versions.remove(model);
    }

    /// The name of the model with the given short id, if the upstream has it.
    #[must_use]
    pub fn model_by_short_id(&self, model: u32) -> Option<String> {
        self.entry.models.iter().map(|(name, _)| name).find(|name| short_id(name) == model).cloned()
    }

    /// Load from all boxes.
    #[must_use]
    pub fn total_load(&self) -> Load {
        let mut load = self.own_load;
        load.add(self.peer_load);
        load
    }

    /// Whether another incarnation has its address. It never returns, although its entry may remain
    /// for seconds.
    #[must_use]
    pub fn is_superseded(&self) -> bool {
        self.superseded
    }

    /// Records that another incarnation answered at its address.
    pub fn mark_superseded(&mut self) {
        self.superseded = true;
    }

    /// Whether it is loading weights, during which it accepts no requests.
    #[must_use]
    pub fn is_loading(&self, now_ms: u64) -> bool {
        now_ms < self.loading_until_ms
    }

    /// Remaining time for which it loads weights.
    #[must_use]
    pub fn loading_left_ms(&self, now_ms: u64) -> u64 {
        self.loading_until_ms.saturating_sub(now_ms)
    }

    /// Records that it loads weights until `until_ms`; 0 if it has finished.
    pub fn set_loading_until(&mut self, until_ms: u64) {
        self.loading_until_ms = until_ms;
    }

    /// Records a request that is sent to it.
    pub fn record_sent(&mut self, now_ms: u64, pending_prefill_tokens: u32, memory_tokens: u32) {
        self.own_load.add(Load { requests: 1, pending_prefill_tokens, memory_tokens });
        self.cold.record_sent(now_ms);
        self.rejections.record_sent(now_ms);
        self.awaiting_answer_since_ms.get_or_insert(now_ms);
    }

    /// Records that the prefill of a prompt has ended.
    pub fn record_prefill_end(&mut self, tokens: u32) {
        self.own_load.pending_prefill_tokens =
            self.own_load.pending_prefill_tokens.saturating_sub(tokens);
    }

    /// Records the end of a request.
    pub fn record_request_end(&mut self, memory_tokens: u32) {
        self.own_load.requests = self.own_load.requests.saturating_sub(1);
        self.own_load.memory_tokens = self.own_load.memory_tokens.saturating_sub(memory_tokens);
        if self.own_load.requests == 0 {
            self.awaiting_answer_since_ms = None;
        }
    }

    /// Records that bytes arrived from it.
    pub fn record_receive(&mut self, now_ms: u64) {
        self.last_receive_ms = now_ms;
    }

    /// Records when bytes last arrived from it at other boxes.
    pub fn record_peer_receive(&mut self, at_ms: u64) {
        self.peers_last_receive_ms = at_ms;
    }

    /// Whether it has no load and nothing else that changes with time or that peers are told of.
    #[must_use]
    pub fn is_at_rest(&self, now_ms: u64) -> bool {
        self.total_load() == Load::default()
            && u64::from(self.receive_age_ms(now_ms)) >= SILENT_MS
            && !self.is_unhealthy(now_ms)
            && self.access == Access::Direct
            && !self.is_superseded()
            && !self.notices.leaving
            && self.backoff_until_ms(now_ms).is_none()
            && !self.is_loading(now_ms)
            && !self.cold.is_cold(now_ms)
            && !self.rate_limit.is_told(now_ms)
    }

    /// Until when this box is known to have no leave to send it requests: because it asked for a
    /// back-off, or has named a rate limit within which there is no permit. `None` if it may have.
    #[must_use]
    pub fn closed_until_ms(&self, now_ms: u64) -> Option<u64> {
        let denied_until_ms = match self.rate_limit.sending(now_ms) {
            Sending::DeniedUntil(until_ms) => Some(until_ms),
            Sending::Permitted | Sending::ToBeAsked | Sending::Asked => None,
        };
        denied_until_ms.max(self.requested_backoff_until_ms(now_ms))
    }

    /// Time since bytes last arrived from it, at most [`u16::MAX`].
    #[must_use]
    pub fn receive_age_ms(&self, now_ms: u64) -> u16 {
        u16::try_from(now_ms.saturating_sub(self.last_receive_ms)).unwrap_or(u16::MAX)
    }
}
