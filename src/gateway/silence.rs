//! Abandons upstreams that owe responses and have fallen silent.
//!
//! Silence does not tell a dead upstream from a busy one: an overloaded engine is silent for
//! seconds and then responds. So silence ends an attempt only if there is another upstream, an
//! attempt left and retry budget for it; otherwise the response is awaited. A dead upstream is
//! detected by its connection, on which TCP probes are not acknowledged.

use std::future::pending;
use std::sync::Arc;
use std::time::Duration;

use tokio::time::sleep;

use crate::clock::now_ms;
use crate::gateway::check::AdmittedRequest;
use crate::gateway::decisions::admission::Occupancy;
use crate::gateway::decisions::choose::Choice;
use crate::gateway::decisions::incarnation::Incarnation;
use crate::gateway::kernel::Gateway;
use crate::gateway::serve::{choose_upstream, is_retry_allowed, spend_retry_budget};
use crate::gateway::trials;

/// How often it is checked whether an upstream is silent; short compared to the silence that
/// counts.
const CHECK_PERIOD: Duration = Duration::from_millis(100);

/// Whether an upstream owes responses and has sent nothing for so long that they are awaited no more.
/// An upstream without an entry in the metadata store never counts as silent: it may go on serving
/// for seconds, and its requests are not cut. Once an upstream is silent, all idle connections are
/// closed, since the next attempt might use another silent one.
#[must_use]
pub fn is_abandoned(gateway: &Gateway, upstream: &Incarnation) -> bool {
    let now_ms = now_ms();
    let (since_ms, is_abandoned) = {
        let state = gateway.state();
        let Some(upstream) = state.upstreams.get_incarnation(upstream) else { return false };
        (upstream.silent_since_ms(now_ms), upstream.is_abandoned(now_ms))
    };
    if let Some(since_ms) = since_ms {
        gateway.connections.close_all_idle(since_ms);
        gateway.probe_now.notify_one();
    }
    is_abandoned
}

/// Waits until the upstream of a request is silent and another one can take the request; takes a
/// retry from the budget. Never completes for a request that may run only once.
pub async fn alternative_when_silent(
    gateway: &Arc<Gateway>,
    request: &AdmittedRequest,
    current: &Choice,
) -> Choice {
    if !request.outgoing.retry_policy.may_retry() {
        return pending().await;
    }
    loop {
        sleep(CHECK_PERIOD).await;
        if !is_abandoned(gateway, &current.upstream) {
            continue;
        }
        if let Some(choice) = find_alternative(gateway, request, &current.upstream) {
            return choice;
        }
    }
}

/// Another upstream, neither unhealthy nor full, for a request that already runs at `current`;
/// takes a retry from the budget.
pub fn find_alternative(
    gateway: &Gateway,
    request: &AdmittedRequest,
    current: &Incarnation,
) -> Option<Choice> {
    let now_ms = now_ms();
    let mut request = request.clone();
    if !request.tried.contains(current) {
        request.record_attempt(current);
    }
    if !is_retry_allowed(&request, now_ms) {
        return None;
    }
    let mut state = gateway.state();
    if !trials::may_run(&state, now_ms, &request) {
        return None;
    }
    let choice = choose_upstream(&mut state, gateway, &request, false)?;
    let unhealthy = state
        .upstreams
        .get_incarnation(&choice.upstream)
        .is_none_or(|upstream| upstream.is_unhealthy(now_ms));
    drop(state);
    let full = choice.occupancy == Occupancy::Full;
    (!unhealthy && !full && spend_retry_budget(gateway, &request, now_ms)).then_some(choice)
}
