//! Lease of a data hall, under which orders to its upstreams are sent.
//!
//! The holder considers its lease expired some time before the platform does, counting from the
//! moment at which it sent the latest renewal. Each order carries the lease's fencing token.
//! Engines that check the token can therefore get orders from a new holder before the lease of a
//! dead one has expired.

use std::collections::BTreeMap;

use crate::ticket::BoxRef;

/// Time to live of the lease on the platform, in seconds.
pub const LEASE_TTL_S: u64 = 10;
/// Interval at which the holder renews the lease.
pub const RENEW_PERIOD_MS: u64 = 3000;
/// Interval at which candidates check whether they can take the lease.
pub const CHECK_PERIOD_MS: u64 = 1000;
/// Number of boxes in a hall that are candidates for the lease. One is not enough: a candidate may
/// be dead for some time before this is detected.
pub const LEASE_CANDIDATES: usize = 3;
/// Minimum time left for an order to an upstream that checks the fencing token.
pub const FENCED_ORDER_MARGIN_MS: u64 = 1000;
/// Minimum time left for an order to an upstream that does not check it.
pub const UNFENCED_ORDER_MARGIN_MS: u64 = 4000;
/// Maximum number of concurrent weight loads.
pub const MAX_LOADS: usize = 3;
/// Time for which a load counts against that limit; most loads take less than a second.
pub const LOAD_SLOT_MS: u64 = 3000;

/// A lease that this box believes to hold.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Lease {
    /// Session on the platform.
    pub session: String,
    /// Fencing token.
    pub fence: u64,
    /// When the lease expires, in Unix milliseconds.
    pub valid_until_ms: u64,
}

impl Lease {
    /// Whether enough time is left to send an order.
    #[must_use]
    pub fn allows_order(&self, now_ms: u64, upstream_checks: bool) -> bool {
        let margin_ms =
            if upstream_checks { FENCED_ORDER_MARGIN_MS } else { UNFENCED_ORDER_MARGIN_MS };
        now_ms + margin_ms < self.valid_until_ms
    }
}

/// The lease as recorded by the platform.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct LeaseRecord {
    /// Session that holds the lease.
    pub session: String,
    /// Box that took the lease, if the record is readable.
    pub holder: Option<BoxRef>,
}

/// Who holds the lease.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum LeaseStatus {
    /// This box.
    HeldByThisBox,
    /// Another box.
    HeldByOtherBox,
    /// Nobody.
    Free,
    /// A box that is gone; the lease may be released on behalf of this session.
    Orphaned(String),
}

/// Determines who holds the lease, for box `me` with the session `own_session`. `is_gone` tells
/// whether the lease of a holder may be released before it expires, although orders of that holder
/// may still be in flight.
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
    // Acquired by a call of this box whose answer was lost; the box has given the session up since.
    let is_own_record = holder.as_ref() == Some(me);
    if is_own_record || holder.as_ref().is_some_and(is_gone) {
        return LeaseStatus::Orphaned(session);
    }
    LeaseStatus::HeldByOtherBox
}

/// State of an engine in the reconciliation of weight versions.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ObservedEngine {
    /// Name of the engine.
    pub name: String,
    /// Model that it serves.
    pub model: String,
    /// Weight version in its report.
    pub version: String,
    /// It is loading weights.
    pub loading: bool,
}

/// An order to load weights.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct WeightLoad {
    /// Engine that loads the weights.
    pub engine: String,
    /// Version that is replaced.
    pub expect_version: String,
    /// Version to load.
    pub version: String,
}

/// Latest load order of each engine, as sent by this box.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct WeightLoads(BTreeMap<String, OrderState>);

/// Time and state of the latest order to an engine.
#[derive(Clone, Debug, PartialEq, Eq)]
struct OrderState {
    at_ms: u64,
    in_progress: bool,
}

impl WeightLoads {
    /// Records that an order is sent to `engine`.
    pub fn begin(&mut self, now_ms: u64, engine: &str) {
        self.0.insert(engine.to_owned(), OrderState { at_ms: now_ms, in_progress: true });
    }

    /// Records that `engine` has answered its order, or that the order was given up.
    pub fn end(&mut self, engine: &str) {
        if let Some(order) = self.0.get_mut(engine) {
            order.in_progress = false;
        }
    }

    /// Whether `engine` has not answered its order yet.
    #[must_use]
    pub fn is_in_progress(&self, engine: &str) -> bool {
        self.0.get(engine).is_some_and(|order| order.in_progress)
    }

    /// The orders to send now. An engine that hangs counts against the limit of concurrent loads
    /// for [`LOAD_SLOT_MS`] only, and one that refuses its order comes after the others, so that
    /// neither blocks them.
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
        let loading =
            |order: &&OrderState| order.in_progress && now_ms < order.at_ms + LOAD_SLOT_MS;
        let free_loads = MAX_LOADS.saturating_sub(self.0.values().filter(loading).count());
        outdated.take(free_loads).collect()
    }
}
