//! What boxes tell each other, a few times a second and by datagram.

use std::collections::HashMap;
use std::net::IpAddr;

use serde::{Deserialize, Serialize};

use crate::gateway::decisions::upstream::{Load, SILENT_MS};
use crate::gateway::decisions::view::ViewDigest;
use crate::quarantine::{ToldAnswer, ToldCrash};

/// Upstreams whose load is told in one message.
const NAMED_LOADS: usize = 80;

/// What a box tells the others.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Gossip {
    /// Start of the process; rises with each.
    pub incarnation: u64,
    /// Number of its data hall.
    pub hall: u32,
    /// Processor share that it has, in thousandths of a core.
    pub millicores: u32,
    /// What it knows of the metadata store.
    pub view_digest: ViewDigest,
    /// Version of the configuration that is in force there.
    pub site_version: u64,
    /// Whether the metadata store answers it.
    pub metadata_store: MetadataStoreStatus,
    /// Whether it follows the stores of context.
    pub follows_caches: bool,
    /// Other boxes that it has heard of lately.
    pub peers: Vec<IpAddr>,
    /// Load that it puts on upstreams.
    pub loads: Vec<LoadReport>,
    /// Tokens that it fetches from stores, by their numbers.
    pub fetches: Vec<(u32, u32)>,
    /// Limits of admission that it has found, in thousandths, by the numbers of
    /// services.
    pub limits: Vec<(u32, u16)>,
    /// Engines that load weights, by their numbers, and for how long still.
    pub loading_engines: Vec<(u32, u16)>,
    /// Upstreams whose address another incarnation has, by their numbers.
    pub superseded: Vec<u32>,
    /// Upstreams that say that they leave, by their numbers.
    pub leaving: Vec<u32>,
    /// Upstreams that the box leaves alone, since they turned it away, by their numbers, and
    /// for how long still.
    pub resting: Vec<(u32, u16)>,
    /// The upstreams' clock as the message left, once the box was told.
    pub upstream_clock_ms: Option<u64>,
    /// Weight versions that engines have reached: engine, model, version.
    pub engine_versions: Vec<(u32, u32, u64)>,
    /// Weight versions that were named lately.
    pub named_versions: Vec<NamedVersionReport>,
    /// Revisions of the metadata store before which all leaders are over, each with the
    /// time since that is known, in milliseconds.
    pub leader_terms: Vec<(u64, u32)>,
    /// Upstreams that crashed, with the requests that they had.
    pub crashes: Vec<ToldCrash>,
    /// Requests that were answered though upstreams had crashed under them.
    pub answers: Vec<ToldAnswer>,
}

impl Gossip {
    /// What boxes of other halls hear in turn: who the box is and what it knows, and not what
    /// it does, which bridges tell of whole halls.
    #[must_use]
    pub fn abridged(&self) -> Self {
        Self {
            incarnation: self.incarnation,
            hall: self.hall,
            millicores: self.millicores,
            view_digest: self.view_digest,
            site_version: self.site_version,
            metadata_store: self.metadata_store,
            follows_caches: self.follows_caches,
            limits: self.limits.clone(),
            crashes: self.crashes.clone(),
            answers: self.answers.clone(),
            ..Self::default()
        }
    }

    /// Puts newer loads in the place of those that were told before.
    pub fn change_loads(&mut self, changed: &[LoadReport]) {
        for told in changed {
            match self.loads.iter_mut().find(|known| known.upstream == told.upstream) {
                Some(known) => *known = *told,
                None => self.loads.push(*told),
            }
        }
    }
}

/// The loads that have changed since a box told of them last.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct LoadChanges {
    /// Start of the process that tells.
    pub incarnation: u64,
    /// The loads as they are now.
    pub loads: Vec<LoadReport>,
    /// Upstreams whose address another incarnation has, by their numbers.
    pub superseded: Vec<u32>,
    /// Upstreams that the box leaves alone, as in its gossip.
    pub resting: Vec<(u32, u16)>,
}

/// What a box has to do with one upstream.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct LoadReport {
    /// Number of the upstream.
    pub upstream: u32,
    /// The load that it puts on it.
    pub load: Load,
    /// Time since bytes came from it, in milliseconds.
    pub heard_age_ms: u16,
}

/// A weight version that was named.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct NamedVersionReport {
    /// Number of the model.
    pub model: u32,
    /// The version.
    pub version: u64,
    /// The one that it replaced, 0 for none.
    pub previous: u64,
    /// Time since it was named, in milliseconds: clocks of boxes may differ.
    pub age_ms: u32,
}

/// How the metadata store answers a box.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub enum MetadataStoreStatus {
    /// The box does not ask.
    #[default]
    NotUsed,
    /// It answers.
    Available,
    /// It does not answer as it should.
    Failing,
}

/// Those of `now` that differ from what was told last, also where no load is left.
#[must_use]
pub fn changed_loads(
    last: &[LoadReport],
    now: impl Iterator<Item = LoadReport>,
) -> Vec<LoadReport> {
    let last: HashMap<u32, Load> = last.iter().map(|told| (told.upstream, told.load)).collect();
    let changed =
        now.filter(|one| last.get(&one.upstream).copied().unwrap_or_default() != one.load);
    changed.take(NAMED_LOADS).collect()
}

/// The loads that fit one message, the largest first. An upstream without any is told of if
/// it was heard lately, which shows others that it is not silent.
#[must_use]
pub fn reported_loads(loads: impl Iterator<Item = LoadReport>) -> Vec<LoadReport> {
    let is_told =
        |one: &LoadReport| one.load.requests > 0 || u64::from(one.heard_age_ms) < SILENT_MS;
    let mut told: Vec<LoadReport> = loads.filter(is_told).collect();
    told.sort_by_key(|one| std::cmp::Reverse(one.load.requests));
    told.truncate(NAMED_LOADS);
    told
}
