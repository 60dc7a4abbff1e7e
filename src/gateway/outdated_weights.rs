//! Requests and weights that should have been replaced. None is sent to them; one that waits at
//! an engine, whose weights have become too old meanwhile, is withdrawn before it begins.

use std::time::Duration;

use tokio::time::sleep;

use crate::clock::now_ms;
use crate::gateway::check::AdmittedRequest;
use crate::gateway::decisions::choose::Choice;
use crate::gateway::kernel::{Gateway, State};

/// Time after which a box that the metadata store answers is bound by what it should know: the
/// bound on contact is 3 s, and a request may begin 1.5 s after it was sent.
const CONTACT_MS: u64 = 1500;
/// Time by which a request is withdrawn early: some round trips, also on a busy box.
const WITHDRAW_MARGIN_MS: u64 = 150;
/// Longest time between two looks: a version may be named meanwhile.
const RECHECK_MS: u64 = 1000;

/// Whether requests are kept from overdue weights at any price. Without the metadata store
/// nobody can have them replaced, and a box that has just started may not have heard since
/// when they are: to refuse all work would help nobody.
#[must_use]
pub fn enforces_weight_deadline(state: &State, now_ms: u64) -> bool {
    !state.follows_metadata || state.view.store_available_for(now_ms, CONTACT_MS)
}

/// Waits until a request that an engine has not begun with must not begin there any more. At
/// an engine short of memory one began 3.3 s after it was sent.
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

/// Time left in which the request may begin; `None` while there is no end to it.
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
