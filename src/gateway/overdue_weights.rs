//! Keeps requests away from engines with overdue weights, which should have been replaced by now.
//! No request is sent to them, and a request that still waits at an engine when its weights become
//! overdue is withdrawn before it begins to run.

use std::time::Duration;

use tokio::time::sleep;

use crate::clock::now_ms;
use crate::gateway::check::AdmittedRequest;
use crate::gateway::decisions::choose::Choice;
use crate::gateway::kernel::{Gateway, State};

/// A box is held to the deadline once the metadata store has answered it for this long: it is
/// allowed 3 s after it has regained contact, and a request may begin up to 1.5 s after it was
/// sent.
const CONTACT_MS: u64 = 1500;
/// How long before the deadline a request is withdrawn: a few round trips, even on a busy box.
const WITHDRAW_MARGIN_MS: u64 = 150;
/// Longest time between checks, since a newer version may be named meanwhile.
const RECHECK_MS: u64 = 1000;

/// Whether the deadline for replacing weights is enforced, even if no other engine is left. It is
/// not while the metadata store is unavailable, since nobody can have the weights replaced then,
/// nor on a box that has just started and may not know since when they are behind the newest
/// version: refusing all work would help nobody.
#[must_use]
pub fn enforces_weight_deadline(state: &State, now_ms: u64) -> bool {
    !state.follows_metadata || state.view.store_available_for(now_ms, CONTACT_MS)
}

/// Waits until a request that the engine has not begun must not begin there any more. Engines
/// short of memory may begin requests seconds after they were sent.
pub async fn wait_for_withdrawal(gateway: &Gateway, request: &AdmittedRequest, choice: &Choice) {
    loop {
        let wait_ms = remaining_begin_ms(gateway, request, choice);
        if wait_ms == Some(0) {
            return;
        }
        sleep(Duration::from_millis(
            wait_ms.map_or(RECHECK_MS, |remaining_ms| remaining_ms.min(RECHECK_MS)),
        ))
        .await;
    }
}

/// Time left in which the request may begin; `None` while there is no limit.
fn remaining_begin_ms(
    gateway: &Gateway,
    request: &AdmittedRequest,
    choice: &Choice,
) -> Option<u64> {
    let (prompt, plan) = (request.prompt.as_ref()?, choice.context.as_ref()?);
    let state = gateway.state();
    let now_ms = now_ms();
    let named = state.weights.get(&prompt.model).filter(|_| plan.version > 0)?;
    let since_ms =
        named.behind_since_ms(plan.version).filter(|_| enforces_weight_deadline(&state, now_ms))?;
    let apply_ms = gateway.settings.bounds.weights_apply_ms;
    Some((since_ms + apply_ms).saturating_sub(now_ms + WITHDRAW_MARGIN_MS))
}
