//! A hall's lease, under which orders are given.
//!
//! The holder counts its lease as over some time before the platform does,
//! from the moment at which it sent the last renewal. Each order carries the
//! lease's fencing token, so that engines which check it may get orders of a
//! successor before the lease of a dead holder has lapsed.

use std::collections::BTreeMap;

use crate::ticket::BoxRef;

/// Time to live of the lease at the platform, in seconds.
pub const LEASE_TTL_S: u64 = 10;
/// How often the lease is renewed, in milliseconds.
pub const RENEW_PERIOD_MS: u64 = 3000;
/// How often boxes that may take the lease look whether they can, in milliseconds.
pub const CHECK_PERIOD_MS: u64 = 1000;
/// Boxes of a hall that may take the lease: the others may be dead for some time
/// before that is noticed.
pub const LEASE_CANDIDATES: usize = 3;
/// Time that must be left for an order to an upstream that checks its orderer.
pub const FENCED_ORDER_MARGIN_MS: u64 = 1000;
/// Time that must be left for an order to an upstream that does not.
pub const UNFENCED_ORDER_MARGIN_MS: u64 = 4000;
/// Weight loads at once.
pub const MAX_LOADS: usize = 3;
/// Time for which a load takes a place, in milliseconds: most take under a second.
pub const LOAD_SLOT_MS: u64 = 3000;

/// A lease that this box believes it holds.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Lease {
    /// Session at the platform.
    pub session: String,
    /// Fencing token.
    pub fence: u64,
    /// When it is over, in Unix milliseconds.
    pub valid_until_ms: u64,
}

impl Lease {
    /// Whether an order may be sent now.
    #[must_use]
    pub fn allows_order(&self, now_ms: u64, upstream_checks: bool) -> bool {
        let margin_ms =
            if upstream_checks { FENCED_ORDER_MARGIN_MS } else { UNFENCED_ORDER_MARGIN_MS };
        now_ms + margin_ms < self.valid_until_ms
    }
}

/// The lease as the platform has it.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct LeaseRecord {
    /// Session that holds it.
    pub session: String,
    /// Box that took it, if that can be read.
    pub holder: Option<BoxRef>,
}

/// Whose the lease is.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum LeaseStatus {
    /// This box holds it.
    HeldByThisBox,
    /// Another box holds it.
    HeldByOtherBox,
    /// Nobody does.
    Free,
    /// It is held by this session for nobody: it may be released for it.
    Orphaned(String),
}

/// Whose the lease is, to box `me` with the session `own`. A holder that `is_gone` may
/// have left orders on their way.
#[must_use]
pub fn lease_status(
    record: Option<LeaseRecord>,
    me: &BoxRef,
    own_session: Option<&str>,
    is_gone: impl FnOnce(&BoxRef) -> bool,
) -> LeaseStatus {
    let Some(LeaseRecord { session, holder }) = record else {
        return LeaseStatus::Free;
    };
    if own_session == Some(session.as_str()) {
        return LeaseStatus::HeldByThisBox;
    }
    // Taken by a call whose answer was lost, and whose session this box has given up.
    let is_own_record = holder.as_ref() == Some(me);
    if is_own_record || holder.as_ref().is_some_and(is_gone) {
        return LeaseStatus::Orphaned(session);
    }
    LeaseStatus::HeldByOtherBox
}

/// An engine as the reconciliation sees it.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ObservedEngine {
    /// Name.
    pub name: String,
    /// Model that it serves.
    pub model: String,
    /// Weight version that it reports.
    pub version: String,
    /// It loads weights.
    pub loading: bool,
}

/// A load of weights to order.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct WeightLoad {
    /// Engine that loads.
    pub engine: String,
    /// Version that it replaces.
    pub expect_version: String,
    /// Version to load.
    pub version: String,
}

/// Loads that this box has ordered, by engine.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct WeightLoads(BTreeMap<String, LoadOrder>);

/// The newest order of an engine.
#[derive(Clone, Debug, PartialEq, Eq)]
struct LoadOrder {
    at_ms: u64,
    in_progress: bool,
}

impl WeightLoads {
    /// Takes note that `engine` is ordered.
    pub fn begin(&mut self, now_ms: u64, engine: &str) {
        self.0.insert(engine.to_owned(), LoadOrder { at_ms: now_ms, in_progress: true });
    }

    /// Takes note that the order of `engine` was answered, or given up.
    pub fn end(&mut self, engine: &str) {
        if let Some(order) = self.0.get_mut(engine) {
            order.in_progress = false;
        }
    }

    /// Whether the order of `engine` has no end yet.
    #[must_use]
    pub fn is_in_progress(&self, engine: &str) -> bool {
        self.0.get(engine).is_some_and(|order| order.in_progress)
    }

    /// The loads to order now. An engine that hangs takes a place for as long as loads
    /// take, and one that refuses goes behind the others: neither holds them up.
    #[must_use]
    pub fn plan(
        &self,
        now_ms: u64,
        observed: &[ObservedEngine],
        wanted_version: impl Fn(&str) -> Option<String>,
    ) -> Vec<WeightLoad> {
        let latest_order_ms = |engine: &str| self.0.get(engine).map_or(0, |order| order.at_ms);
        let mut idle: Vec<_> = observed.iter().filter(|engine| !engine.loading).collect();
        idle.sort_by_key(|engine| latest_order_ms(&engine.name));
        let outdated = idle.into_iter().filter_map(|engine| {
            let version =
                wanted_version(&engine.model).filter(|version| *version != engine.version)?;
            let (engine, expect_version) = (engine.name.clone(), engine.version.clone());
            Some(WeightLoad { engine, expect_version, version })
        });
        let loading = |order: &&LoadOrder| order.in_progress && now_ms < order.at_ms + LOAD_SLOT_MS;
        let free_loads = MAX_LOADS.saturating_sub(self.0.values().filter(loading).count());
        outdated.take(free_loads).collect()
    }
}
