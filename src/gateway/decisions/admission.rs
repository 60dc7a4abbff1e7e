//! Admission: which engines have room for another request, and when a request that
//! was turned away may come back.
//!
//! An engine serves what it holds at once quickly, and everything late once more
//! waits for its memory: then it drops the context that sessions come back to, reads
//! it again, and each step takes longer. So a request is taken only by an engine that
//! can begin with it in time; when there is none, it is refused at once. The room is
//! judged by what is there already, not by the request's own size, so that large
//! prompts are refused as often as small ones.

use std::collections::HashMap;

use crate::gateway::decisions::units::{PREFILL_TOKENS_PER_MS, as_f64};
use crate::gateway::decisions::upstream::Load;
use crate::names::number;

/// Part of an engine's memory that requests may ask for, those of the most urgent rank:
/// they ask for all that they may generate, and most of them end before.
const MEMORY_PART: f64 = 1.2;
/// Part that each less urgent rank leaves to those before it, so that these are not
/// refused more often although their objective is shorter.
const RANK_PART: f64 = 0.35;
/// Ranks that leave room to those before them: the others are treated alike.
const MAX_RANKS: u8 = 3;
/// Part of a latency objective for which prompts read before may keep one waiting.
const PREFILL_WAIT_PART: f64 = 0.5;
/// Least time after which a refused request is to come back.
const RETURN_LEAST_MS: u64 = 400;

/// Growth of the limit with each first token that comes in time from an engine that
/// had little room left.
const GROWTH: f64 = 0.003;
/// Part of the limit that each late first token takes away: with [`GROWTH`] it stays
/// where one in twenty is late.
const CUT_PART: f64 = 0.06;
/// Thousandths in one.
const THOUSAND: f64 = 1000.0;
/// Part by which a limit is drawn to the mean of all boxes with each first token.
const DRAW_PART: f64 = 0.1;
/// Growth of the limit in a second without any first token: one that fell rises again
/// within two minutes when nothing that comes shows that it may.
const RECOVERY_PER_S: f64 = 0.01;
/// Least and largest limit. It begins at the largest: a short crowd at one moment of an
/// ordinary load is better queued than refused.
const LIMITS: (f64, f64) = (0.3, 1.1);
/// Part of its room from which on an engine's answers speak for a larger limit.
const NEARLY_FULL_PART: f64 = 0.7;

/// The limits that a box has found for each service, as parts of what the engines'
/// memory and the objectives would suggest. They grow while first tokens come in time
/// from engines that are nearly full, and shrink with each that is late.
///
/// Boxes share engines, so they share limits: each goes by the mean of its own and of
/// what its peers told. Else those that find smaller ones make room for the others,
/// and the callers of a hall are refused while those of another are not.
#[derive(Debug, Default)]
pub struct AdmissionLimits {
    own: HashMap<u32, f64>,
    peer_limits: Vec<(u32, u16)>,
}

impl AdmissionLimits {
    /// The limit of a service.
    #[must_use]
    pub fn limit_of(&self, service: &str) -> f64 {
        self.mean(number(service))
    }

    /// Takes the end of a wait for a first token.
    pub fn record_first_token(&mut self, service: &str, end: FirstTokenOutcome) {
        let service = number(service);
        let mean = self.mean(service);
        let own = self.own(service);
        let (least, most) = LIMITS;
        let drawn = own + (mean - own) * DRAW_PART;
        let limit = match end {
            FirstTokenOutcome::InTime => drawn + GROWTH,
            FirstTokenOutcome::Late => drawn * (1.0 - CUT_PART),
        };
        self.own.insert(service, limit.clamp(least, most));
    }

    /// Lets limits that fell rise, as time passes.
    pub fn recover(&mut self, passed_s: f64) {
        let (least, most) = LIMITS;
        for limit in self.own.values_mut() {
            *limit = (*limit + passed_s * RECOVERY_PER_S).clamp(least, most);
        }
    }

    /// What this box has found, in thousandths, by the numbers of services.
    #[must_use]
    #[expect(
        clippy::cast_possible_truncation,
        clippy::cast_sign_loss,
        reason = "limits are positive and far below 65"
    )]
    pub fn own_limits(&self) -> Vec<(u32, u16)> {
        self.own.iter().map(|(service, limit)| (*service, (limit * THOUSAND) as u16)).collect()
    }

    /// Takes what other boxes have found.
    pub fn set_peer_limits(&mut self, peer_limits: Vec<(u32, u16)>) {
        self.peer_limits = peer_limits;
    }

    fn own(&self, service: u32) -> f64 {
        self.own.get(&service).copied().unwrap_or(LIMITS.1)
    }

    fn mean(&self, service: u32) -> f64 {
        let peers = self.peer_limits.iter().filter(|(number, _)| *number == service);
        let (sum, count) = peers.fold((self.own(service), 1.0), |(sum, count), (_, limit)| {
            (sum + f64::from(*limit) / THOUSAND, count + 1.0)
        });
        sum / count
    }
}

/// How a wait for a first token ended at an engine that was nearly full: what other
/// engines do late is not for their load.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum FirstTokenOutcome {
    /// It came in time.
    InTime,
    /// It came late, or not at all.
    Late,
}

/// What is asked of an engine.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct AdmissionCriteria {
    /// Ranks of the service's routes that are more urgent.
    pub higher_priority_ranks: u8,
    /// Latency objective.
    pub objective_ms: u64,
    /// Whether the objective, counted from the first try, has passed.
    pub objective_missed: bool,
    /// Limit found for the service.
    pub load_limit: f64,
}

/// How much of its room an engine has given away.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Occupancy {
    /// Some is left.
    Available,
    /// Little is left.
    NearlyFull,
    /// It cannot begin with the request in time.
    Full,
}

/// What an engine can take.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Capacity {
    /// Requests at once; 0 when unknown.
    pub slots: u32,
    /// Memory; 0 when unknown.
    pub memory_tokens: u32,
}

/// Room that an engine under `load` has for another request.
#[must_use]
pub fn occupancy(load: Load, capacity: Capacity, criteria: AdmissionCriteria) -> Occupancy {
    let part = room_part(criteria);
    let taken_part = |taken: u32, of: f64| if of > 0.0 { f64::from(taken) / of } else { 0.0 };
    let memory_part = taken_part(load.memory_tokens, f64::from(capacity.memory_tokens) * part);
    let slots_part = taken_part(load.requests, f64::from(capacity.slots) * part.min(1.0));
    let prefill_ms = as_f64(criteria.objective_ms) * PREFILL_WAIT_PART * criteria.load_limit;
    let prefill_part = taken_part(load.pending_prefill_tokens, prefill_ms * PREFILL_TOKENS_PER_MS);
    match memory_part.max(slots_part).max(prefill_part) {
        taken if taken < NEARLY_FULL_PART => Occupancy::Available,
        taken if taken < 1.0 => Occupancy::NearlyFull,
        _ => Occupancy::Full,
    }
}

/// Part of an engine that must be taken before a request is refused there. One that
/// is late earns little: it gets as much as others until the limit has fallen, and
/// then mostly what would stay empty.
fn room_part(criteria: AdmissionCriteria) -> f64 {
    let part = MEMORY_PART - RANK_PART * f64::from(criteria.higher_priority_ranks.min(MAX_RANKS));
    let late_part =
        if criteria.objective_missed { criteria.load_limit.min(1.0).powi(2) } else { 1.0 };
    criteria.load_limit * part * late_part
}

/// When a refused request may come back: at any time up to a third of what its client has
/// left, so that those refused at the same time do not come back at the same time.
#[must_use]
pub fn retry_after_ms(seed: u64, left_ms: u64) -> u64 {
    let spread_ms = (left_ms / 3).saturating_sub(RETURN_LEAST_MS).max(1);
    RETURN_LEAST_MS + seed % spread_ms
}
