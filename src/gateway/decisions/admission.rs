//! Admission control: whether an engine has capacity for another request, and when a refused
//! client may retry.
//!
//! An engine serves requests quickly as long as their memory fits. Beyond that, it evicts the
//! context that sessions return to, recomputes it, and takes longer for each step, so that all
//! requests are late. A request is therefore admitted only if some engine can start it in time, and
//! is refused at once otherwise. Only the load counts, not the size of the request itself, so that
//! long prompts are refused as often as short ones.

use std::collections::HashMap;

use serde::{Deserialize, Serialize};

use crate::gateway::decisions::engine_speed::Speed;
use crate::gateway::decisions::units::as_f64;
use crate::gateway::decisions::upstream::Load;
use crate::names::short_id;

/// Part of an engine's memory that requests of the highest rank may reserve. It exceeds 1 since
/// requests reserve memory for their maximum output and most end before.
const MAX_MEMORY_PART: f64 = 1.2;
/// Part of the memory that each rank leaves to the ranks above it, so that these are not refused
/// more often in spite of their shorter objectives.
const RANK_RESERVE_PART: f64 = 0.35;
/// Number of ranks that leave memory to those above; lower ones are treated alike.
const MAX_RESERVING_RANKS: u8 = 3;
/// Part of the latency objective that a request may wait for the prefill of earlier prompts.
const PREFILL_WAIT_PART: f64 = 0.5;
/// Shortest delay before a refused client may retry.
const MIN_RETRY_AFTER_MS: u64 = 400;

/// Increase of an admission limit for each first token that arrives in time from a nearly full
/// engine.
const LIMIT_INCREASE: f64 = 0.003;
/// Relative decrease of the limit for each late first token. Together with [`LIMIT_INCREASE`], the
/// limit settles where one first token in twenty is late.
const LIMIT_CUT_PART: f64 = 0.06;
const THOUSAND: f64 = 1000.0;
/// Part of the difference to the mean limit of all boxes that is made up with each first token.
const MEAN_ADJUSTMENT_PART: f64 = 0.1;
/// Increase of the limit per second without any first token, right after a late one.
const RECOVERY_PER_S: f64 = 0.01;
/// Time in which that increase doubles while no box sees a late first token.
const RECOVERY_DOUBLING_MS: f64 = 500.0;
/// The highest increase, at which a limit recovers fully within a second.
const MAX_RECOVERY_PER_S: f64 = 1.0;
/// Lower and upper bound of a limit. Limits start at the upper bound, since a short burst at
/// moderate load is better queued than refused.
const LIMIT_RANGE: (f64, f64) = (0.3, 1.1);
/// Occupancy from which on the first tokens of an engine adjust the limit.
const NEARLY_FULL_PART: f64 = 0.7;

/// The admission limits of this box for each service, relative to what the engines' memory and the
/// latency objectives suggest. They increase while first tokens from nearly full engines arrive in
/// time, and decrease with each late one.
///
/// As boxes share engines, they share limits: each applies the mean of its own limit and those of
/// its peers. Otherwise, boxes with lower limits would leave capacity to the others, and the
/// clients of one hall would be refused while those of another are not.
///
/// Load that exceeds the engines for some seconds, for example while they load new weights and have
/// no context, takes the limits to their lower bound. Engines then have capacity again, but with a
/// low limit hardly any of them is nearly full, and few first tokens show it. So the limits increase
/// with time as well, slowly at first, and the faster the longer no box has seen a late first token.
#[derive(Debug, Default)]
pub struct AdmissionLimits {
    own: HashMap<u32, OwnLimit>,
    peers: Vec<PeerLimit>,
}

/// A limit that this box has found.
#[derive(Clone, Copy, Debug)]
struct OwnLimit {
    limit: f64,
    late_at_ms: Option<u64>,
}

/// An admission limit that a box has found, as reported to other boxes.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct LimitReport {
    /// Short id of the service.
    pub service: u32,
    /// The limit, in thousandths.
    pub thousandths: u16,
    /// Time since the box last saw a late first token, in milliseconds; [`u16::MAX`] if it was
    /// longer ago.
    pub late_age_ms: u16,
}

/// A report of another box.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct PeerLimit {
    /// When the report was received.
    pub received_at_ms: u64,
    pub report: LimitReport,
}

impl PeerLimit {
    /// When the box saw its last late first token, if that was recent.
    fn late_at_ms(&self) -> Option<u64> {
        let age_ms = Some(self.report.late_age_ms).filter(|age_ms| *age_ms < u16::MAX)?;
        Some(self.received_at_ms.saturating_sub(age_ms.into()))
    }
}

impl AdmissionLimits {
    /// The limit of a service.
    #[must_use]
    pub fn limit_of(&self, service: &str) -> f64 {
        self.mean_limit(short_id(service))
    }

    /// Adjusts the limit of a service by the outcome of a wait for a first token.
    pub fn record_first_token(&mut self, now_ms: u64, service: &str, outcome: FirstTokenOutcome) {
        let service = short_id(service);
        let mean_limit = self.mean_limit(service);
        let own_limit = self.own_limit(service);
        let (min, max) = LIMIT_RANGE;
        let adjusted = own_limit + (mean_limit - own_limit) * MEAN_ADJUSTMENT_PART;
        let limit = match outcome {
            FirstTokenOutcome::InTime => adjusted + LIMIT_INCREASE,
            FirstTokenOutcome::Late => adjusted * (1.0 - LIMIT_CUT_PART),
        };
        let late_at_ms = match outcome {
            FirstTokenOutcome::InTime => self.own.get(&service).and_then(|own| own.late_at_ms),
            FirstTokenOutcome::Late => Some(now_ms),
        };
        self.own.insert(service, OwnLimit { limit: limit.clamp(min, max), late_at_ms });
    }

    /// Increases the limits with the time that has passed.
    pub fn recover(&mut self, now_ms: u64, elapsed_s: f64) {
        let (min, max) = LIMIT_RANGE;
        for (service, own) in &mut self.own {
            let of_service = self.peers.iter().filter(|peer| peer.report.service == *service);
            let late_at_ms = of_service.filter_map(PeerLimit::late_at_ms).max().max(own.late_at_ms);
            let quiet_ms = now_ms.saturating_sub(late_at_ms.unwrap_or_default());
            let doublings = as_f64(quiet_ms) / RECOVERY_DOUBLING_MS;
            let recovery_per_s = (RECOVERY_PER_S * doublings.exp2()).min(MAX_RECOVERY_PER_S);
            own.limit = (own.limit + elapsed_s * recovery_per_s).clamp(min, max);
        }
    }

    /// The limits that this box has found, for other boxes.
    #[must_use]
    #[expect(
        clippy::cast_possible_truncation,
        clippy::cast_sign_loss,
        reason = "limits are positive and far below 65"
    )]
    pub fn own_limits(&self, now_ms: u64) -> Vec<LimitReport> {
        let reports = self.own.iter().map(|(service, own)| {
            let late_age_ms = own.late_at_ms.map(|at_ms| now_ms.saturating_sub(at_ms));
            let late_age_ms = late_age_ms.and_then(|age_ms| u16::try_from(age_ms).ok());
            LimitReport {
                service: *service,
                thousandths: (own.limit * THOUSAND) as u16,
                late_age_ms: late_age_ms.unwrap_or(u16::MAX),
            }
        });
        reports.collect()
    }

    /// Sets the limits reported by other boxes.
    pub fn set_peer_limits(&mut self, peers: Vec<PeerLimit>) {
        self.peers = peers;
    }

    fn own_limit(&self, service: u32) -> f64 {
        self.own.get(&service).map_or(LIMIT_RANGE.1, |own| own.limit)
    }

    fn mean_limit(&self, service: u32) -> f64 {
        let reports = self.peers.iter().map(|peer| peer.report);
        let (sum, count) = reports
            .filter(|report| report.service == service)
            .fold((self.own_limit(service), 1.0), |(sum, count), report| {
                (sum + f64::from(report.thousandths) / THOUSAND, count + 1.0)
            });
        sum / count
    }
}

/// Outcome of a wait for a first token at a nearly full engine. First tokens of other engines are
/// not recorded, since their delay is not caused by load.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum FirstTokenOutcome {
    /// The first token arrived within the latency objective.
    InTime,
    /// The first token arrived late or not at all.
    Late,
}

/// The properties of a request that decide on its admission.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct AdmissionCriteria {
    /// Number of higher-priority ranks among the service's routes.
    pub higher_priority_ranks: u8,
    pub objective_ms: u64,
    /// Whether the latency objective, counted from the client's first attempt, has passed.
    pub objective_missed: bool,
    /// Admission limit of the service.
    pub admission_limit: f64,
    /// Part of the normal capacity that requests of the account may use.
    pub account_part: f64,
    /// Part of the capacity that is kept for other requests.
    pub reserved_part: f64,
}

impl AdmissionCriteria {
    /// Longest time for which the request may wait for the prefill of earlier prompts.
    #[must_use]
    pub fn max_prefill_ms(&self) -> f64 {
        as_f64(self.objective_ms) * PREFILL_WAIT_PART * self.admission_limit * available_part(*self)
    }
}

/// Occupancy of an engine for an admission decision.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Occupancy {
    /// There is capacity left.
    Available,
    /// There is little capacity left.
    NearlyFull,
    /// It cannot start the request in time.
    Full,
}

/// Capacity of an engine.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Capacity {
    /// Concurrent requests; 0 if unknown.
    pub slots: u32,
    /// Memory; 0 if unknown.
    pub memory_tokens: u32,
}

/// Occupancy of an engine under `load`, as seen by a request with `criteria`.
#[must_use]
pub fn occupancy(
    load: Load,
    capacity: Capacity,
    speed: Speed,
    criteria: AdmissionCriteria,
) -> Occupancy {
    let part = capacity_part(criteria);
    let occupied_part = |used: u32, available: f64| {
        if available > 0.0 { f64::from(used) / available } else { 0.0 }
    };
    let memory_part = occupied_part(load.memory_tokens, f64::from(capacity.memory_tokens) * part);
    let slots_part = occupied_part(load.requests, f64::from(capacity.slots) * part.min(1.0));
    let max_prefill_ms = criteria.max_prefill_ms();
    let prefill_part =
        occupied_part(load.pending_prefill_tokens, max_prefill_ms * speed.prefill_tokens_per_ms);
    match memory_part.max(slots_part).max(prefill_part) {
        occupied if occupied < NEARLY_FULL_PART => Occupancy::Available,
        occupied if occupied < 1.0 => Occupancy::NearlyFull,
        _ => Occupancy::Full,
    }
}

/// Part of an engine's capacity beyond which a request is refused. A request that has missed its
/// objective earns little: it is treated like others until the limit falls, and then mostly gets
/// capacity that would remain unused.
fn capacity_part(criteria: AdmissionCriteria) -> f64 {
    let part = MAX_MEMORY_PART
        - RANK_RESERVE_PART * f64::from(criteria.higher_priority_ranks.min(MAX_RESERVING_RANKS));
    let late_part =
        if criteria.objective_missed { criteria.admission_limit.min(1.0).powi(2) } else { 1.0 };
    criteria.admission_limit * part * late_part * available_part(criteria)
}

/// Part of the normal capacity that is not kept for other requests.
fn available_part(criteria: AdmissionCriteria) -> f64 {
    criteria.account_part * (1.0 - criteria.reserved_part).max(0.0)
}

/// Delay after which a refused client may retry: at most a third of its remaining time, spread by
/// `seed`, so that clients refused together do not retry together.
#[must_use]
pub fn retry_after_ms(seed: u64, left_ms: u64) -> u64 {
    let spread_ms = (left_ms / 3).saturating_sub(MIN_RETRY_AFTER_MS).max(1);
    MIN_RETRY_AFTER_MS + seed % spread_ms
}
