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
pub const LOOK_PERIOD_MS: u64 = 1000;
/// Boxes of a hall that may take the lease: the others may be dead for some time
/// before that is noticed.
pub const CANDIDATES: usize = 3;
/// Time that must be left for an order to an upstream that checks its orderer.
pub const CHECKED_MARGIN_MS: u64 = 1000;
/// Time that must be left for an order to an upstream that does not.
pub const UNCHECKED_MARGIN_MS: u64 = 4000;
/// Weight loads at once.
pub const MAX_LOADS: usize = 3;
/// Time for which a load takes a place, in milliseconds: most take under a second.
pub const LOAD_TIME_MS: u64 = 3000;

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
    pub fn may_order(&self, now_ms: u64, upstream_checks: bool) -> bool {
        let margin_ms = if upstream_checks { CHECKED_MARGIN_MS } else { UNCHECKED_MARGIN_MS };
        now_ms + margin_ms < self.valid_until_ms
    }
}

/// The lease as the platform has it.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Held {
    /// Session that holds it.
    pub session: String,
    /// Box that took it, if that can be read.
    pub holder: Option<BoxRef>,
}

/// Whose the lease is.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Standing {
    /// This box holds it.
    Own,
    /// Another box holds it.
    Others,
    /// Nobody does.
    Free,
    /// It is held by this session for nobody: it may be released for it.
    Orphaned(String),
}

/// Whose the lease is, to box `me` with the session `own`. A holder that `is_gone` may
/// have left orders on their way.
#[must_use]
pub fn standing(
    held: Option<Held>,
    me: &BoxRef,
    own: Option<&str>,
    is_gone: impl FnOnce(&BoxRef) -> bool,
) -> Standing {
    let Some(Held { session, holder }) = held else {
        return Standing::Free;
    };
    if own == Some(session.as_str()) {
        return Standing::Own;
    }
    // Taken by a call whose answer was lost, and whose session this box has given up.
    let lost = holder.as_ref() == Some(me);
    if lost || holder.as_ref().is_some_and(is_gone) {
        return Standing::Orphaned(session);
    }
    Standing::Others
}

/// An engine as the reconciliation sees it.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Observed {
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
pub struct Load {
    /// Engine that loads.
    pub engine: String,
    /// Version that it replaces.
    pub expect_version: String,
    /// Version to load.
    pub version: String,
}

/// Loads that this box has ordered, by engine.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Loads(BTreeMap<String, Ordered>);

/// The newest order of an engine.
#[derive(Clone, Debug, PartialEq, Eq)]
struct Ordered {
    at_ms: u64,
    under_way: bool,
}

impl Loads {
    /// Takes note that `engine` is ordered.
    pub fn begin(&mut self, now_ms: u64, engine: &str) {
        self.0.insert(engine.to_owned(), Ordered { at_ms: now_ms, under_way: true });
    }

    /// Takes note that the order of `engine` was answered, or given up.
    pub fn end(&mut self, engine: &str) {
        if let Some(ordered) = self.0.get_mut(engine) {
            ordered.under_way = false;
        }
    }

    /// Whether the order of `engine` has no end yet.
    #[must_use]
    pub fn is_under_way(&self, engine: &str) -> bool {
        self.0.get(engine).is_some_and(|ordered| ordered.under_way)
    }

    /// The loads to order now. An engine that hangs takes a place for as long as loads
    /// take, and one that refuses goes behind the others: neither holds them up.
    #[must_use]
    pub fn plan(
        &self,
        now_ms: u64,
        observed: &[Observed],
        wanted: impl Fn(&str) -> Option<String>,
    ) -> Vec<Load> {
        let ordered_at_ms = |engine: &str| self.0.get(engine).map_or(0, |ordered| ordered.at_ms);
        let mut ready: Vec<_> = observed.iter().filter(|engine| !engine.loading).collect();
        ready.sort_by_key(|engine| ordered_at_ms(&engine.name));
        let differing = ready.into_iter().filter_map(|engine| {
            let version = wanted(&engine.model).filter(|version| *version != engine.version)?;
            let (engine, expect_version) = (engine.name.clone(), engine.version.clone());
            Some(Load { engine, expect_version, version })
        });
        let loading =
            |ordered: &&Ordered| ordered.under_way && now_ms < ordered.at_ms + LOAD_TIME_MS;
        let places = MAX_LOADS.saturating_sub(self.0.values().filter(loading).count());
        differing.take(places).collect()
    }
}
