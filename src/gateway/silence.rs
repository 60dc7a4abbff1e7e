//! Leaving an upstream that owes answers and says nothing.
//!
//! Silence does not tell a dead upstream from a busy one: an engine that has more to do
//! than it can is silent for seconds, and then answers. So silence ends an attempt only
//! when another upstream, an attempt and the budget for it are there; else the answer is
//! waited for. A dead upstream shows itself by its connection, on which probes are not
//! acknowledged.

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

/// Time between two looks whether an upstream is silent: short beside the silence.
const CHECK_PERIOD: Duration = Duration::from_millis(100);

/// Whether an upstream owes answers and has said nothing for long. One whose entry has
/// gone is not: it may serve on for seconds, and what it runs is not cut. Beside a silent
/// one, idle connections are suspects: the next attempt would meet one.
#[must_use]
pub fn is_silent(gateway: &Gateway, upstream: &Incarnation) -> bool {
    let state = gateway.state();
    let since_ms = state.upstreams.get_run(upstream).and_then(|one| one.silent_since_ms(now_ms()));
    drop(state);
    if let Some(since_ms) = since_ms {
        gateway.connections.close_all_idle(since_ms);
    }
    since_ms.is_some()
}

/// Waits until the upstream of a request is silent and another can take the request;
/// takes the budget. Never ends for a request that runs at most once.
pub async fn alternative_when_silent(
    gateway: &Arc<Gateway>,
    request: &AdmittedRequest,
    current: &Choice,
) -> Choice {
    if !request.outgoing.repeat.may_run_again() {
        return pending().await;
    }
    loop {
        sleep(CHECK_PERIOD).await;
        if !is_silent(gateway, &current.upstream) {
            continue;
        }
        if let Some(choice) = find_alternative(gateway, request, &current.upstream) {
            return choice;
        }
    }
}

/// Another upstream, neither failing nor silent nor full, for a request that runs at one
/// already; takes the budget.
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
    let choice = choose_upstream(&mut state, gateway, &request)?;
    let doubtful =
        state.upstreams.get_run(&choice.upstream).is_none_or(|one| one.is_unhealthy(now_ms));
    drop(state);
    let full = choice.occupancy == Occupancy::Full;
    (!doubtful && !full && spend_retry_budget(gateway, &request, now_ms)).then_some(choice)
}
