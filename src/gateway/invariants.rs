//! Promises of the gateway, checked where they would break.

use crate::gateway::claims;
use crate::gateway::kernel::State;
use crate::invariant::{Invariant, check};

/// An order is given only under a lease in force, and once it is written down that it may be.
#[must_use]
pub fn order_under_lease(state: &State, now_ms: u64, fence: u64, target: u32) -> bool {
    let holds = state.leads(now_ms, fence) && claims::is_claimed(state, fence, target);
    check(Invariant::OrderUnderLease, holds, || {
        format!("fence {fence} target {target} held {:?}", state.leadership)
    })
}
