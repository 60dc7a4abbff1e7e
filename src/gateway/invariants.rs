//! Promises of the gateway, checked where they would break.

use crate::gateway::leadership::Leadership;
use crate::invariant::{Invariant, check};

/// An order is given only under a lease in force.
#[must_use]
pub fn order_under_lease(held: &Leadership, now_ms: u64) -> bool {
    check(Invariant::OrderUnderLease, held.allows_orders(now_ms), || {
        format!("fence {} until {}", held.fence, held.until_ms)
    })
}
