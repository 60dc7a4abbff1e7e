//! An upstream: who it is, how loaded, how sound.
//!
//! Health is judged by what answers show, not by probes: an upstream that
//! fails is avoided for a while, and one that owes answers and says nothing at
//! all is not given more.

mod health;

use std::collections::HashMap;
use std::net::SocketAddr;

pub use health::SILENT_MS;
use serde::{Deserialize, Serialize};

use crate::gateway::decisions::cache_contents::CacheContents;
use crate::gateway::decisions::incarnation::{Incarnation, is_other_incarnation};
use crate::gateway::decisions::notice::NoticeState;
use crate::names::number;

/// First time for which an upstream that failed is avoided.
const FIRST_AVOID_MS: u64 = 500;

/// An upstream, as it tells of itself.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct UpstreamEntry {
    /// Service that it belongs to.
    pub service: String,
    /// Address.
    pub address: SocketAddr,
    /// Data hall.
    pub hall: String,
    /// Requests that it runs at once.
    pub slots: u32,
    /// Whether it is about to leave.
    pub leaving: bool,
    /// Models with the versions of their weights.
    pub models: Vec<(String, u64)>,
    /// Start of its run, in Unix milliseconds, if it is told.
    pub started_at_ms: Option<u64>,
}

/// What was told of an upstream means this for what is known of it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ReportedIncarnation {
    /// It speaks of the run that is known.
    Current,
    /// It speaks of a new run, of which nothing else is known.
    Restarted,
    /// It speaks of a run that has ended.
    Outdated,
}

/// Load that one box puts on an upstream.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Load {
    /// Requests sent and not ended.
    pub requests: u32,
    /// Prompt tokens that are still to be read.
    pub pending_prefill_tokens: u32,
    /// Memory that these requests take.
    pub memory_tokens: u32,
}

impl Load {
    /// Counts another's load.
    pub fn add(&mut self, other: Self) {
        self.requests += other.requests;
        self.pending_prefill_tokens += other.pending_prefill_tokens;
        self.memory_tokens += other.memory_tokens;
    }

    /// Takes out a load that was counted.
    pub fn subtract(&mut self, counted: Self) {
        self.requests -= counted.requests;
        self.pending_prefill_tokens -= counted.pending_prefill_tokens;
        self.memory_tokens -= counted.memory_tokens;
    }
}

/// An upstream.
#[derive(Debug)]
pub struct Upstream {
    /// Id.
    pub id: String,
    /// Number that names its run in messages between boxes.
    pub number: u32,
    /// What it tells of itself.
    pub entry: UpstreamEntry,
    /// Load from this box.
    pub own_load: Load,
    /// Load from all other boxes, as they told last.
    pub peer_load: Load,
    /// Kept context.
    pub contents: CacheContents,
    /// Start of its run, as whoever told of it last has it.
    started_at_ms: Option<u64>,
    /// When this box learned of that run.
    known_since_ms: u64,
    observed_versions: HashMap<String, u64>,
    avoid_until_ms: u64,
    avoid_ms: u64,
    failure_rate: f64,
    last_receive_ms: u64,
    peers_last_receive_ms: u64,
    awaiting_answer_since_ms: Option<u64>,
    loading_until_ms: u64,
    unreachable: bool,
    connect_timeout_at_ms: Option<u64>,
    superseded: bool,
    /// What its answers asked.
    notices: NoticeState,
    /// Until when it rests, by the word of other boxes.
    peer_backoff_until_ms: u64,
    rejecting_until_ms: u64,
    /// Requests in a row that it turned away.
    consecutive_rejections: u32,
}

impl Upstream {
    /// One of which nothing is known but its entry.
    #[must_use]
    pub fn new(now_ms: u64, id: &str, entry: UpstreamEntry) -> Self {
        let incarnation = Incarnation { id: id.to_owned(), started_at_ms: entry.started_at_ms };
        Self {
            number: incarnation.number(),
            id: incarnation.id,
            started_at_ms: incarnation.started_at_ms,
            known_since_ms: now_ms,
            entry,
            own_load: Load::default(),
            peer_load: Load::default(),
            contents: CacheContents::default(),
            observed_versions: HashMap::new(),
            avoid_until_ms: 0,
            avoid_ms: FIRST_AVOID_MS,
            failure_rate: 0.0,
            last_receive_ms: 0,
            peers_last_receive_ms: 0,
            awaiting_answer_since_ms: None,
            loading_until_ms: 0,
            unreachable: false,
            connect_timeout_at_ms: None,
            superseded: false,
            notices: NoticeState::default(),
            peer_backoff_until_ms: 0,
            rejecting_until_ms: 0,
            consecutive_rejections: 0,
        }
    }

    /// What its answers asked.
    #[must_use]
    pub fn notices(&self) -> NoticeState {
        self.notices
    }

    /// Takes what its answers asked.
    pub fn apply_notices(&mut self, asked: NoticeState) {
        self.notices.merge(asked);
    }

    /// Whether it is about to leave, by its entry or its answers.
    #[must_use]
    pub fn is_leaving(&self) -> bool {
        self.entry.leaving || self.notices.leaving
    }

    /// Until when it wants no requests from this box; `None` if it takes them.
    #[must_use]
    pub fn rests_until_ms(&self, now_ms: u64) -> Option<u64> {
        Some(self.notices.backoff_until_ms).filter(|until_ms| now_ms < *until_ms)
    }

    /// Its present run.
    #[must_use]
    pub fn incarnation(&self) -> Incarnation {
        Incarnation { id: self.id.clone(), started_at_ms: self.started_at_ms }
    }

    /// Whether a run may be its present one.
    #[must_use]
    pub fn is_incarnation(&self, incarnation: &Incarnation) -> bool {
        self.id == incarnation.id
            && !is_other_incarnation(self.started_at_ms, incarnation.started_at_ms)
    }

    /// Takes an entry of the metadata store, where what is newer comes later.
    pub fn update_entry(&mut self, now_ms: u64, entry: UpstreamEntry) -> ReportedIncarnation {
        // One run tells its start in all entries or in none.
        let begins_to_tell = self.started_at_ms.is_none() && entry.started_at_ms.is_some();
        if !begins_to_tell && !is_other_incarnation(self.started_at_ms, entry.started_at_ms) {
            self.entry = entry;
            return ReportedIncarnation::Current;
        }
        if self.entry.started_at_ms == entry.started_at_ms {
            // It told of its new run itself, before its entry did.
            return ReportedIncarnation::Outdated;
        }
        *self = Self::new(now_ms, &self.id, entry);
        ReportedIncarnation::Restarted
    }

    /// Takes the start of the run that answered a call made at `asked_at_ms`.
    pub fn record_answering_incarnation(
        &mut self,
        now_ms: u64,
        started_at_ms: Option<u64>,
        asked_at_ms: u64,
    ) -> ReportedIncarnation {
        if !is_other_incarnation(self.started_at_ms, started_at_ms) {
            self.learn_start(started_at_ms);
            return ReportedIncarnation::Current;
        }
        if asked_at_ms < self.known_since_ms {
            // The answer may be older than the run that is known.
            return ReportedIncarnation::Outdated;
        }
        // What its earlier run told of itself is the best that is known until its entry comes.
        let told = self.entry.started_at_ms;
        *self = Self::new(now_ms, &self.id, UpstreamEntry { started_at_ms, ..self.entry.clone() });
        self.entry.started_at_ms = told;
        ReportedIncarnation::Restarted
    }

    /// Takes the start of the run that is known, if it was not told before.
    fn learn_start(&mut self, started_at_ms: Option<u64>) {
        if self.started_at_ms.is_none() && started_at_ms.is_some() {
            self.started_at_ms = started_at_ms;
            self.number = self.incarnation().number();
        }
    }

    /// Version of a model's weights; 0 when it does not have the model.
    #[must_use]
    pub fn weight_version(&self, model: &str) -> u64 {
        let told = self.entry.models.iter().find(|(name, _)| name == model);
        let told = told.map_or(0, |(_, version)| *version);
        told.max(self.observed_versions.get(model).copied().unwrap_or_default())
    }

    /// Notes the version of a model's weights that it was seen to have.
    pub fn record_weight_version(&mut self, model: &str, version: u64) {
        if version > self.weight_version(model) {
            self.observed_versions.insert(model.to_owned(), version);
            self.contents.clear();
        }
    }

    /// Notes that it does not have the version that it was seen to have: what its entry
    /// tells counts again.
    pub fn forget_weight_version(&mut self, model: &str) {
        self.observed_versions.remove(model);
    }

    /// The model that a number stands for, among those that it has.
    #[must_use]
    pub fn model_by_number(&self, model: u32) -> Option<String> {
        self.entry.models.iter().map(|(name, _)| name).find(|name| number(name) == model).cloned()
    }

    /// Load from all boxes.
    #[must_use]
    pub fn total_load(&self) -> Load {
        let mut load = self.own_load;
        load.add(self.peer_load);
        load
    }

    /// Whether another incarnation has its address: it never comes back, while its
    /// entry may stay for seconds.
    #[must_use]
    pub fn is_superseded(&self) -> bool {
        self.superseded
    }

    /// Notes that another incarnation answered at its address.
    pub fn mark_superseded(&mut self) {
        self.superseded = true;
    }

    /// Whether it loads weights and takes no requests meanwhile.
    #[must_use]
    pub fn is_loading(&self, now_ms: u64) -> bool {
        now_ms < self.loading_until_ms
    }

    /// Time for which it loads weights still.
    #[must_use]
    pub fn loading_left_ms(&self, now_ms: u64) -> u64 {
        self.loading_until_ms.saturating_sub(now_ms)
    }

    /// Notes that it loads weights until a deadline, or has ended to (0).
    pub fn set_loading_until(&mut self, until_ms: u64) {
        self.loading_until_ms = until_ms;
    }

    /// Counts a request that is sent.
    pub fn record_sent(&mut self, now_ms: u64, pending_prefill_tokens: u32, memory_tokens: u32) {
        self.own_load.requests += 1;
        self.own_load.pending_prefill_tokens += pending_prefill_tokens;
        self.own_load.memory_tokens += memory_tokens;
        self.awaiting_answer_since_ms.get_or_insert(now_ms);
    }

    /// Counts a prompt that has been read.
    pub fn record_prefill_end(&mut self, tokens: u32) {
        self.own_load.pending_prefill_tokens =
            self.own_load.pending_prefill_tokens.saturating_sub(tokens);
    }

    /// Counts a request that has ended.
    pub fn record_request_end(&mut self, memory_tokens: u32) {
        self.own_load.requests = self.own_load.requests.saturating_sub(1);
        self.own_load.memory_tokens = self.own_load.memory_tokens.saturating_sub(memory_tokens);
        if self.own_load.requests == 0 {
            self.awaiting_answer_since_ms = None;
        }
    }

    /// Notes that bytes have arrived from it.
    pub fn record_receive(&mut self, now_ms: u64) {
        self.last_receive_ms = now_ms;
    }

    /// Notes when other boxes heard it last.
    pub fn record_peer_receive(&mut self, at_ms: u64) {
        self.peers_last_receive_ms = at_ms;
    }

    /// Time since bytes arrived from it, as far as it can be told.
    #[must_use]
    pub fn receive_age_ms(&self, now_ms: u64) -> u16 {
        u16::try_from(now_ms.saturating_sub(self.last_receive_ms)).unwrap_or(u16::MAX)
    }
}
