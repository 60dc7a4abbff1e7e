//! A hall's lease, under which orders are given.
//!
//! The holder counts its lease as over some time before the platform does,
//! from the moment at which it sent the last renewal. Each order carries the
//! lease's fencing token.

/// Time to live of the lease at the platform, in seconds.
pub const LEASE_TTL_S: u64 = 10;
/// How often the lease is renewed, in milliseconds.
pub const RENEW_PERIOD_MS: u64 = 3000;
/// Time that must be left for an order to an upstream that checks its orderer.
pub const CHECKED_MARGIN_MS: u64 = 1000;
/// Time that must be left for an order to an upstream that does not.
pub const UNCHECKED_MARGIN_MS: u64 = 4000;
/// Weight loads at once.
pub const MAX_LOADS: usize = 3;

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
    /// A lease taken or renewed by a call that was sent at `sent_at_ms`.
    #[must_use]
    pub fn new(session: String, fence: u64, sent_at_ms: u64) -> Self {
        Self { session, fence, valid_until_ms: sent_at_ms + LEASE_TTL_S * 1000 }
    }

    /// Whether an order may be sent now.
    #[must_use]
    pub fn may_order(&self, now_ms: u64, upstream_checks: bool) -> bool {
        let margin_ms = if upstream_checks { CHECKED_MARGIN_MS } else { UNCHECKED_MARGIN_MS };
        now_ms + margin_ms < self.valid_until_ms
    }
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

/// The loads to order now, with `loading` under way already.
#[must_use]
pub fn plan_loads(
    observed: &[Observed],
    wanted: impl Fn(&str) -> Option<String>,
    loading: usize,
) -> Vec<Load> {
    let differing = observed.iter().filter_map(|engine| {
        let version = wanted(&engine.model).filter(|version| *version != engine.version)?;
        let (engine, expect_version) = (engine.name.clone(), engine.version.clone());
        Some(Load { engine, expect_version, version })
    });
    differing.take(MAX_LOADS.saturating_sub(loading)).collect()
}
