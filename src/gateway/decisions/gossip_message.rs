//! Messages that boxes send each other by datagram several times a second.

use std::collections::HashMap;
use std::net::IpAddr;

use serde::{Deserialize, Serialize};

use crate::gateway::decisions::account_shares::AccountReports;
use crate::gateway::decisions::admission::LimitReport;
use crate::gateway::decisions::engine_speed::SpeedReport;
use crate::gateway::decisions::rate_limit::RateLimit;
use crate::gateway::decisions::returns::ReturnsReport;
use crate::gateway::decisions::upstream::{Load, SILENT_MS};
use crate::gateway::decisions::view::ViewDigest;
use crate::quarantine::{AbortReport, AnswerReport, CrashReport};
use crate::suspect_parts::PartReport;

/// Most upstreams whose load is reported in one message, so that it fits a datagram.
const MAX_LOADS: usize = 80;

/// State of a box, sent to other boxes.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Gossip {
    /// Start of the sender's process; a later start has a higher value.
    pub incarnation: u64,
    /// Short id of the data hall.
    pub hall: u32,
    /// Processor share of the box, in thousandths of a core.
    pub millicores: u32,
    /// Time in which the sender's messages reach all boxes of its hall, in milliseconds.
    pub round_ms: u16,
    /// Digest of the sender's view of the metadata store.
    pub view_digest: ViewDigest,
    /// Version of the configuration that is in force at the box.
    pub config_version: u64,
    pub metadata_store: MetadataStoreStatus,
    /// Whether the box follows the context stores itself.
    pub follows_caches: bool,
    /// Whether the sender cannot follow the context stores, since its own links are cut.
    pub misses_stores: bool,
    /// Whether the sender keeps tunnels for others.
    pub offers_tunnels: bool,
    /// Number of tunnels that the sender keeps.
    pub tunnels: u16,
    /// Number of upstreams that the sender itself reaches only through tunnels.
    pub missed_upstreams: u16,
    /// Other boxes from which the sender has recently received gossip.
    pub peers: Vec<IpAddr>,
    /// Load of the sender's requests on upstreams.
    pub loads: Vec<LoadReport>,
    /// Tokens that the sender fetches from stores: short id of the store, tokens.
    pub fetches: Vec<(u32, u32)>,
    /// How much longer than expected the sender's latest fetches from stores took.
    pub slowdowns: Vec<SlowdownReport>,
    /// Admission limits that the box has found.
    pub limits: Vec<LimitReport>,
    /// Engines that load weights, by their short ids, with the remaining time in milliseconds.
    pub loading_engines: Vec<(u32, u16)>,
    /// Upstreams whose address now belongs to another incarnation, by their short ids.
    pub superseded: Vec<u32>,
    /// Upstreams that announced that they are about to leave, by their short ids.
    pub leaving: Vec<u32>,
    /// Upstreams to which the sender sends no requests for a while because they rejected its
    /// requests: short id of the upstream and remaining time in milliseconds.
    pub backoffs: Vec<(u32, u16)>,
    /// Services whose upstreams are brittle by answers to the sender: short id of the service, and
    /// requests that each upstream may reject within a second.
    pub brittle_services: Vec<(u32, u64)>,
    /// Rate limits that upstreams have named: their short ids, and what is known.
    pub rate_limits: Vec<(u32, RateLimit)>,
    /// The upstreams' clock at the time of sending, if the sender knows it.
    pub upstream_clock_ms: Option<u64>,
    /// Weight versions that engines have loaded: engine, model, version.
    pub engine_versions: Vec<(u32, u32, u64)>,
    /// Weight versions that were named recently.
    pub named_versions: Vec<NamedVersionReport>,
    /// Revisions of the metadata store by which the terms of all earlier leaders have ended, with
    /// the time since this is known, in milliseconds.
    pub leader_terms: Vec<(u64, u32)>,
    /// Upstreams that crashed, with the requests that they were running.
    pub crashes: Vec<CrashReport>,
    /// Requests that were answered although upstreams had crashed while running them.
    pub answers: Vec<AnswerReport>,
    /// Work that the sender has reserved for retries.
    pub returns: Vec<ReturnsReport>,
    /// Work that the sender's clients have requested of services that refuse requests.
    pub accounts: AccountReports,
    /// Samples of the speed of engines.
    pub speeds: Vec<SpeedReport>,
}

impl Gossip {
    /// The part that boxes of other halls receive in turn: identity and knowledge of the box,
    /// without its load. Bridges report the load of whole halls.
    #[must_use]
    pub fn abridged(&self) -> Self {
        Self {
            incarnation: self.incarnation,
            hall: self.hall,
            millicores: self.millicores,
            view_digest: self.view_digest,
            config_version: self.config_version,
            metadata_store: self.metadata_store,
            follows_caches: self.follows_caches,
            misses_stores: self.misses_stores,
            offers_tunnels: self.offers_tunnels,
            tunnels: self.tunnels,
            missed_upstreams: self.missed_upstreams,
            limits: self.limits.clone(),
            brittle_services: self.brittle_services.clone(),
            rate_limits: self.rate_limits.clone(),
            crashes: self.crashes.clone(),
            answers: self.answers.clone(),
            ..Self::default()
        }
    }

    /// Replaces or adds the load of each upstream in `changed`.
    pub fn change_loads(&mut self, changed: &[LoadReport]) {
        for report in changed {
            match self.loads.iter_mut().find(|known| known.upstream == report.upstream) {
                Some(known) => *known = *report,
                None => self.loads.push(*report),
            }
        }
    }
}

/// Loads that have changed since the sender's last message.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct LoadChanges {
    /// See [`Gossip::incarnation`].
    pub incarnation: u64,
    /// The current loads.
    pub loads: Vec<LoadReport>,
    /// See [`Gossip::superseded`].
    pub superseded: Vec<u32>,
    /// See [`Gossip::backoffs`].
    pub backoffs: Vec<(u32, u16)>,
}

impl LoadChanges {
    /// Whether there is nothing to report.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.loads.is_empty() && self.superseded.is_empty() && self.backoffs.is_empty()
    }
}

/// Requests that upstreams have just aborted, to be acknowledged by the receiver.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct AbortsReport {
    /// Identifies the report among those of the sender.
    pub number: u64,
    /// Aborts of which the sender does not know yet whether they were crashes.
    pub aborts: Vec<AbortReport>,
    /// All known crashes of the same requests.
    pub crashes: Vec<CrashReport>,
}

/// Parts of prompts under which upstreams have crashed, and those that were cleared.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct PartReports {
    /// Identifies the message among those of the sender if it is to be acknowledged.
    pub number: Option<u64>,
    pub reports: Vec<PartReport>,
}

/// Load of one box or hall on an upstream.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct LoadReport {
    /// Short id of the upstream.
    pub upstream: u32,
    pub load: Load,
    /// Time since the sender last received bytes from the upstream, in milliseconds.
    pub receive_age_ms: u16,
}

/// How much longer than expected one fetch from a store took.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct SlowdownReport {
    /// Short id of the store.
    pub store: u32,
    /// Ratio of the actual to the expected time, in tenths.
    tenths: u16,
}

impl SlowdownReport {
    #[must_use]
    #[expect(clippy::cast_possible_truncation, clippy::cast_sign_loss, reason = "clamped before")]
    pub fn new(store: u32, slowdown: f64) -> Self {
        Self { store, tenths: (slowdown * 10.0).clamp(0.0, f64::from(u16::MAX)) as u16 }
    }

    #[must_use]
    pub fn slowdown(self) -> f64 {
        f64::from(self.tenths) / 10.0
    }
}

/// A weight version that was named.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct NamedVersionReport {
    /// Short id of the model.
    pub model: u32,
    pub version: u64,
    /// The version named directly before this one; 0 for none.
    pub previous: u64,
    /// Time since the version was named, in milliseconds. It is relative because the clocks of
    /// boxes may differ.
    pub age_ms: u32,
}

/// Availability of the metadata store to a box.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub enum MetadataStoreStatus {
    /// The box does not call the metadata store.
    #[default]
    NotUsed,
    /// The last call was answered.
    Available,
    /// The last call failed.
    Failing,
}

/// Loads in `now` that differ from the last reported ones, including those that dropped to zero.
#[must_use]
pub fn changed_loads(
    last: &[LoadReport],
    now: impl Iterator<Item = LoadReport>,
) -> Vec<LoadReport> {
    let last: HashMap<u32, Load> =
        last.iter().map(|report| (report.upstream, report.load)).collect();
    let changed =
        now.filter(|report| last.get(&report.upstream).copied().unwrap_or_default() != report.load);
    changed.take(MAX_LOADS).collect()
}

/// The loads that fit into one message, the largest first. An upstream without load is included
/// if data came from it recently, so that other boxes do not consider it silent.
#[must_use]
pub fn reported_loads(loads: impl Iterator<Item = LoadReport>) -> Vec<LoadReport> {
    let is_included = |report: &LoadReport| {
        report.load.requests > 0 || u64::from(report.receive_age_ms) < SILENT_MS
    };
    let mut reports: Vec<LoadReport> = loads.filter(is_included).collect();
    reports.sort_by_key(|report| std::cmp::Reverse(report.load.requests));
    reports.truncate(MAX_LOADS);
    reports
}
