//! The gateway's own refusals: what each says about whether the request ran, and when the client
//! may retry.

use hyper::StatusCode;

use crate::clock::now_ms;
use crate::gateway::check::AdmittedRequest;
use crate::gateway::decisions::account_shares::Admission;
use crate::gateway::decisions::admission;
use crate::gateway::decisions::prompt::Prompt;
use crate::gateway::decisions::returns::Refused;
use crate::gateway::decisions::room::Limit;
use crate::gateway::kernel::Gateway;
use crate::gateway::request_log::{log_full, log_refusal, log_retry_time};
use crate::gateway::response::{self, ClientResponse, Reason};
use crate::gateway::serve::{allowed_software, lacks_software, record_work};
use crate::names::short_id;

/// Default retry delay for refused clients.
pub const RETRY_AFTER_MS: u64 = 400;

/// The response if no upstream was found in time.
pub fn no_upstream_found(gateway: &Gateway, request: &AdmittedRequest) -> ClientResponse {
    let mut state = gateway.state();
    state.upstreams.record_unmet(now_ms(), &request.service);
    let software = allowed_software(gateway, request);
    let (now_ms, tried) = (now_ms(), &request.tried);
    let closed_until_ms =
        state.upstreams.all_closed_until_ms(now_ms, &request.service, software, tried);
    let begins_at_ms = state.upstreams.streams_begin_at_ms(now_ms, &request.service, software);
    let has_upstreams = state.upstreams.of_service(&request.service).next().is_some();
    let is_limited = state.upstreams.is_any_limited(&request.service);
    let are_all_evacuated = state.upstreams.are_all_evacuated(&request.service);
    drop(state);
    let lacks_software = lacks_software(gateway, request);
    let seed = u64::from(short_id(&request.outgoing.request_id));
    if let Some(begins_at_ms) = begins_at_ms.filter(|_| !are_all_evacuated) {
        return refuse_until(request, Reason::SoftwareNew, begins_at_ms + seed % RETRY_AFTER_MS);
    }
    match closed_until_ms {
        _ if lacks_software => refuse(request, Reason::SoftwareGone),
        _ if are_all_evacuated => refuse(request, Reason::Evacuated),
        Some(until_ms) if is_limited => {
            // As many come back as are refused, and the next permits are for few of them.
            let remaining_ms = request.outgoing.deadline_ms.saturating_sub(now_ms);
            let spread_ms = admission::retry_after_ms(seed, remaining_ms);
            refuse_until(request, Reason::RateLimited, until_ms.max(now_ms + spread_ms))
        }
        Some(until_ms) => {
            record_work(gateway, request, None, Admission::Refused);
            refuse_until(request, Reason::UpstreamsFull, until_ms + seed % RETRY_AFTER_MS)
        }
        None if has_upstreams => {
            record_work(gateway, request, None, Admission::Refused);
            refuse(request, Reason::UpstreamsFull)
        }
        None => refuse(request, Reason::NoUpstream),
    }
}

/// The response if no upstream may get the request before `until_ms`.
pub fn refuse_until(request: &AdmittedRequest, reason: Reason, until_ms: u64) -> ClientResponse {
    if request.may_have_run {
        return refuse(request, Reason::UpstreamFailed);
    }
    let request_id = &request.outgoing.request_id;
    log_refusal(request, reason);
    response::refusal(reason, Some(request_id), Some(until_ms.saturating_sub(now_ms())))
}

/// The response if no engine can begin the request in time, or finish it.
pub fn refuse_immediately(
    gateway: &Gateway,
    request: &AdmittedRequest,
    limit: Option<Limit>,
) -> ClientResponse {
    let reason = Reason::UpstreamsFull;
    let (now_ms, request_id) = (now_ms(), &request.outgoing.request_id);
    let mut state = gateway.state();
    let refused = Refused {
        class: request.class,
        fingerprint: request.outgoing.content.fingerprint,
        standing: request.standing,
        tokens: request.prompt.as_ref().map_or(0, Prompt::memory_tokens),
        remaining_ms: request.outgoing.deadline_ms.saturating_sub(now_ms),
        route: &request.route.name,
        timeout_ms: request.outgoing.deadline_ms.saturating_sub(request.arrived_at_ms),
        objective_at_ms: request.outgoing.objective_at_ms,
        account_part: state.account_shares.account_part(
            now_ms,
            &request.service,
            request.outgoing.content.account,
        ),
        seed: short_id(request_id).into(),
    };
    let retry_time = state.returns.refuse(now_ms, refused);
    drop(state);
    log_full(request, limit);
    log_refusal(request, reason);
    if let Some(retry_time) = retry_time {
        log_retry_time(request, retry_time);
    }
    let after_ms = retry_time.map_or_else(
        || admission::retry_after_ms(refused.seed, refused.remaining_ms),
        |retry_time| retry_time.after_ms,
    );
    response::refusal(reason, Some(request_id), Some(after_ms))
}

/// The response to a request that is not served: a refusal, or a failure if it may have run.
pub fn refuse(request: &AdmittedRequest, reason: Reason) -> ClientResponse {
    // 503 promises that the request has not run, so it is not used if an attempt may have run.
    let reason = match (request.may_have_run, reason.status()) {
        (true, StatusCode::SERVICE_UNAVAILABLE) => Reason::UpstreamFailed,
        _ => reason,
    };
    let retry_after_ms =
        (reason.status() == StatusCode::SERVICE_UNAVAILABLE).then_some(RETRY_AFTER_MS);
    log_refusal(request, reason);
    response::refusal(reason, Some(&request.outgoing.request_id), retry_after_ms)
}
