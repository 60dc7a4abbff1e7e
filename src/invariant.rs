//! Run-time checks of the system's invariants.
//!
//! The checks are enabled in all builds. A violation is counted and logged, and the code
//! that found it fails safe: it refuses the request or call rather than continue.

use std::sync::atomic::{AtomicU64, Ordering};

use log::error;

/// A property that must always hold.
#[derive(Clone, Copy, Debug, PartialEq, Eq, displaydoc::Display)]
pub enum Invariant {
    /// a block id is used once
    BlockIdUsedOnce,
    /// a block is read only as it was sealed
    BlockReadAsSealed,
    /// context stays within its client account, model and version
    ContextStaysInScope,
    /// a new request runs on the expected weight version
    ExpectedVersion,
    /// the pieces of an answer belong to its request
    PieceOfOwnRequest,
    /// the configuration never goes back
    ConfigNeverReverts,
    /// a call that may not be repeated is sent once
    SentOnce,
    /// "not run" is said only of a call that did not leave
    NotRunIsTrue,
    /// an upstream that leaves gets no new work
    NoWorkWhenLeaving,
    /// an order carries the fencing token of a lease in force
    OrderUnderLease,
}

static VIOLATIONS: AtomicU64 = AtomicU64::new(0);

/// Number of violations since the start of the process.
#[must_use]
pub fn violations() -> u64 {
    VIOLATIONS.load(Ordering::Relaxed)
}

/// Counts and logs a violation when `holds` is false; returns `holds`. `context` describes
/// where it occurred, for example by a call's key.
pub fn check(invariant: Invariant, holds: bool, context: impl FnOnce() -> String) -> bool {
    if !holds {
        VIOLATIONS.fetch_add(1, Ordering::Relaxed);
        metrics::counter!("coursestile_invariant_violations_total",
            "invariant" => format!("{invariant:?}"))
        .increment(1);
        error!(target: "invariant", "Violated: {invariant}. Context: {}.", context());
    }
    holds
}
