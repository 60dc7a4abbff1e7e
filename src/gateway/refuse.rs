//! Refusals of our own: what each says of the request, and when its client may come back.

use hyper::StatusCode;

use crate::clock::now_ms;
use crate::gateway::check::AdmittedRequest;
use crate::gateway::decisions::admission;
use crate::gateway::kernel::Gateway;
use crate::gateway::request_log::log_refusal;
use crate::gateway::response::{self, ClientResponse, Reason};
use crate::names::number;

/// When a refused client may come back, if nothing more is known.
pub const RETRY_AFTER_MS: u64 = 400;

/// The answer to a request for which no upstream was found in time.
pub fn no_upstream_found(gateway: &Gateway, request: &AdmittedRequest) -> ClientResponse {
    let state = gateway.state();
    let rest_until_ms =
        state.upstreams.all_resting_until_ms(now_ms(), &request.service, &request.tried);
    let is_known = state.upstreams.of_service(&request.service).next().is_some();
    drop(state);
    match rest_until_ms {
        Some(until_ms) => {
            let spread_ms = u64::from(number(&request.outgoing.request_id)) % RETRY_AFTER_MS;
            refuse_until(request, Reason::UpstreamsFull, until_ms + spread_ms)
        }
        None if is_known => give_up(request, Reason::UpstreamsFull),
        None => give_up(request, Reason::NoUpstream),
    }
}

/// The answer to a request that no upstream may get until a deadline.
pub fn refuse_until(request: &AdmittedRequest, reason: Reason, until_ms: u64) -> ClientResponse {
    if request.may_have_run {
        return give_up(request, Reason::UpstreamFailed);
    }
    let request_id = &request.outgoing.request_id;
    log_refusal(request, reason);
    response::refusal(reason, Some(request_id), Some(until_ms.saturating_sub(now_ms())))
}

/// The answer to a request that no engine can begin with in time.
pub fn refuse_immediately(request: &AdmittedRequest) -> ClientResponse {
    let reason = Reason::UpstreamsFull;
    let request_id = &request.outgoing.request_id;
    let left_ms = request.outgoing.deadline_ms.saturating_sub(now_ms());
    let after_ms = admission::retry_after_ms(number(request_id).into(), left_ms);
    log_refusal(request, reason);
    response::refusal(reason, Some(request_id), Some(after_ms))
}

/// The final answer to a request that was not served.
pub fn give_up(request: &AdmittedRequest, reason: Reason) -> ClientResponse {
    // "Not run" is said only when no attempt may have run.
    let reason = match (request.may_have_run, reason.status()) {
        (true, StatusCode::SERVICE_UNAVAILABLE) => Reason::UpstreamFailed,
        _ => reason,
    };
    let retry_after_ms =
        (reason.status() == StatusCode::SERVICE_UNAVAILABLE).then_some(RETRY_AFTER_MS);
    log_refusal(request, reason);
    response::refusal(reason, Some(&request.outgoing.request_id), retry_after_ms)
}
