//! Invariants of the gateway, checked where they could be violated.

use crate::gateway::claims;
use crate::gateway::kernel::State;
use crate::invariant::{Invariant, check};

/// An order is given only under a lease in force, and only after the claim has been written.
#[must_use]
pub fn order_under_lease(state: &State, now_ms: u64, fence: u64, target: u32) -> bool {
    let holds = state.leads(now_ms, fence) && claims::is_claimed(state, fence, target);
    check(Invariant::OrderUnderLease, holds, || {
        format!("fence {fence} target {target} held {:?}", state.leadership)
    })
}
