//! Log lines and metrics of requests: where each was sent and how it ended.

use std::time::Duration;

use hyper::StatusCode;
use log::info;

use crate::clock::now_ms;
use crate::fingerprint::Fingerprint;
use crate::gateway::check::AdmittedRequest;
use crate::gateway::decisions::choose::Choice;
use crate::gateway::decisions::context::ContextPlan;
use crate::gateway::decisions::prompt::Prompt;
use crate::gateway::decisions::returns::{RetryTime, Standing};
use crate::gateway::decisions::room::Limit;
use crate::gateway::heads::{Framing, ResumedStream};
use crate::gateway::kernel::{Gateway, State};
use crate::gateway::origins::FoundOrigin;
use crate::gateway::response::Reason;

/// Longest time shown as `behind_ms`: a day.
const MAX_BEHIND_MS: u64 = 86_400_000;

/// Logs a request that is refused during validation.
pub fn log_early_refusal(
    request_id: Option<&str>,
    reason: Reason,
    config_version: u64,
    arrived_at_ms: u64,
) {
    let held_ms = now_ms() - arrived_at_ms;
    write_refusal(request_id, None, reason, config_version, held_ms);
}

/// Logs a request that is refused or has failed.
pub fn log_refusal(request: &AdmittedRequest, reason: Reason) {
    let request_id = Some(request.outgoing.request_id.as_str());
    let held_ms = now_ms() - request.arrived_at_ms;
    write_refusal(
        request_id,
        Some(request.outgoing.content.fingerprint),
        reason,
        request.config_version,
        held_ms,
    );
}

/// Logs when the client of a refused request may retry, if that was scheduled.
pub fn log_retry_time(request: &AdmittedRequest, retry_time: RetryTime) {
    let RetryTime { after_ms, is_reserved } = retry_time;
    let end = match (request.standing, is_reserved) {
        (Standing::New, true) => "reserved",
        (Standing::New, false) => "overbooked",
        (Standing::Due, _) => "refused_again",
        (Standing::Unreserved, _) => "unreserved",
    };
    metrics::counter!("coursestile_retries_told_total", "end" => end).increment(1);
    info!(target: "serve",
        "event=retry_told request={} fingerprint={} after_ms={after_ms} end={end} rank={}",
        request.outgoing.request_id,
        request.outgoing.content.fingerprint,
        request.class.rank);
}

/// Logs a retry that is sent to an upstream with precedence.
pub fn log_retry_honoured(request: &AdmittedRequest) {
    metrics::counter!("coursestile_retries_honoured_total").increment(1);
    info!(target: "serve",
        "event=retry_honoured request={} fingerprint={}",
        request.outgoing.request_id, request.outgoing.content.fingerprint);
}

/// Logs by which limit all engines are full for a request.
pub fn log_full(request: &AdmittedRequest, limit: Option<Limit>) {
    let limit = limit.map_or_else(|| "-".to_owned(), |limit| limit.to_string());
    info!(target: "serve",
        "event=engines_full request={} route={} limit={limit}",
        request.outgoing.request_id, request.route.name);
    metrics::counter!("coursestile_engines_full_total", "limit" => limit).increment(1);
}

fn write_refusal(
    request_id: Option<&str>,
    fingerprint: Option<Fingerprint>,
    reason: Reason,
    config_version: u64,
    held_ms: u64,
) {
    metrics::counter!("coursestile_requests_total", "end" => reason.to_string()).increment(1);
    info!(target: "serve",
        "event=refused request={} fingerprint={} reason=\"{reason}\" status={} \
         configuration={config_version} held_ms={held_ms}",
        request_id.unwrap_or("-"),
        fingerprint.map_or_else(|| "-".to_owned(), |fingerprint| fingerprint.to_string()),
        reason.status().as_u16());
}

/// Logs the start of an attempt.
pub fn log_attempt_start(gateway: &Gateway, request: &AdmittedRequest, choice: &Choice) {
    let (limit, behind_ms, software, rate_limit) = {
        let state = gateway.state();
        let limit = state.admission_limits.limit_of(&request.service);
        let behind_ms = behind_ms(&state, request, choice);
        (limit, behind_ms, software_of(&state, choice), rate_limit_of(&state, choice))
    };
    let context = choice.context.as_ref();
    info!(target: "serve",
        "event=routed request={} fingerprint={} route={} configuration={} upstream={} \
         software={software} attempt={} left_ms={} version={} behind_ms={behind_ms} read_tokens={} \
         reread_tokens={} expected_ms={:.0} context={} parts={} load_requests={} \
         load_unread={} load_memory={} limit={limit:.2}{rate_limit}",
        request.outgoing.request_id,
        request.outgoing.content.fingerprint,
        request.route.name,
        request.config_version,
        choice.upstream.id,
        request.tried.len() + 1,
        request.outgoing.deadline_ms.saturating_sub(now_ms()),
        context.map_or(0, |plan| plan.version),
        context.map_or(0, |plan| plan.prefill_tokens),
        context.map_or(0, |plan| plan.recomputed_tokens),
        choice.expected_first_token_ms,
        context.map_or_else(|| "-".to_owned(), ContextPlan::summary),
        request.prompt.as_ref().map_or_else(|| "-".to_owned(), shared_part_ids),
        choice.load.requests,
        choice.load.pending_prefill_tokens,
        choice.load.memory_tokens);
}

/// Ids of the parts that other requests may share.
fn shared_part_ids(prompt: &Prompt) -> String {
    let ids: Vec<&str> = prompt.shared_parts().iter().map(|part| part.id.as_str()).collect();
    if ids.is_empty() { "-".to_owned() } else { ids.join(",") }
}

/// Version of the software of the chosen upstream.
fn software_of(state: &State, choice: &Choice) -> String {
    let upstream = state.upstreams.get_incarnation(&choice.upstream);
    upstream.map_or_else(|| "-".to_owned(), |upstream| upstream.entry.software.clone())
}

/// The rate limit of the chosen upstream, if it has one, and what this box may send there.
fn rate_limit_of(state: &State, choice: &Choice) -> String {
    let upstream = state.upstreams.get_incarnation(&choice.upstream);
    let known = upstream.map(|upstream| &upstream.rate_limit);
    let limited = known.and_then(|known| Some((known, known.limit().rate?)));
    limited.map_or_else(String::new, |(known, rate)| {
        let (age_ms, permits) = (known.age_ms(now_ms()), known.permits(now_ms()));
        format!(" rate_limit={rate} rate_limit_age_ms={age_ms} permits={permits}")
    })
}

/// Logs a request by which a client resumes a stream, and what is known of it.
pub fn log_resumed_by_client(request_id: &str, resumed: &ResumedStream, found: FoundOrigin) {
    metrics::counter!("coursestile_streams_resumed_by_client_total", "origin" => found.to_string())
        .increment(1);
    let began_as = match resumed {
        ResumedStream::Named(began_as) => began_as,
        ResumedStream::Unnamed | ResumedStream::Malformed => "-",
    };
    info!(target: "serve",
        "event=resumed_by_client request={request_id} began_as={began_as} origin=\"{found}\"");
}

/// Logs the version at which a stream of unknown origin is resumed, and on what grounds.
pub fn log_origin_guessed(
    gateway: &Gateway,
    request_id: &str,
    service: &str,
    software: Option<u32>,
) {
    let (state, now_ms) = (gateway.state(), now_ms());
    let history = state.upstreams.software_history();
    let software = software.map_or_else(|| "-".to_owned(), |software| software.to_string());
    let age_ms = history.age_ms(now_ms).map_or_else(|| "-".to_owned(), |age_ms| age_ms.to_string());
    info!(target: "serve",
        "event=origin_guessed request={request_id} service={service} software={software} \
         known_age_ms={age_ms} stored_revision={} store={:?} live_boxes={}",
        history.stored_revision(), state.metadata_store_status(), state.peers.live_boxes(now_ms));
}

/// How long ago the first version newer than the chosen engine's was named, as far as this
/// box knows; 0 if there is none.
fn behind_ms(state: &State, request: &AdmittedRequest, choice: &Choice) -> u64 {
    let named = request.prompt.as_ref().and_then(|prompt| state.weights.get(&prompt.model));
    let version = choice.context.as_ref().map_or(0, |plan| plan.version);
    let since_ms = named.and_then(|named| named.behind_since_ms(version));
    // An unknown time is 0 and would show as the time since 1970.
    since_ms.map_or(0, |since_ms| now_ms().saturating_sub(since_ms).min(MAX_BEHIND_MS))
}

/// Logs an attempt that ended without a response.
pub fn log_attempt_end(request: &AdmittedRequest, choice: &Choice, end: &str, cause: &str) {
    info!(target: "serve", "event=attempt_ended request={} upstream={} end={end} cause=\"{cause}\"",
        request.outgoing.request_id, choice.upstream.id);
}

/// Logs an attempt for which no connection could be opened, and whether other boxes receive data
/// from the upstream.
pub fn log_not_sent(gateway: &Gateway, request: &AdmittedRequest, choice: &Choice, cause: &str) {
    let state = gateway.state();
    let upstream = state.upstreams.get_incarnation(&choice.upstream);
    let answers_others = upstream.is_some_and(|upstream| upstream.answers_other_boxes(now_ms()));
    info!(target: "serve",
        "event=attempt_ended request={} upstream={} end=not_sent cause=\"{cause}\" \
         answers_others={answers_others}",
        request.outgoing.request_id, choice.upstream.id);
}

/// Seconds since `at_ms`, as metrics record them.
#[must_use]
pub fn seconds_since(at_ms: u64) -> f64 {
    Duration::from_millis(now_ms().saturating_sub(at_ms)).as_secs_f64()
}

/// A response body that was forwarded.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ForwardedBody {
    pub bytes: usize,
    /// How the upstream marked its end.
    pub framing: Framing,
}

/// Logs a request that was served.
pub fn log_answered(
    request: &AdmittedRequest,
    choice: &Choice,
    status: StatusCode,
    body: ForwardedBody,
) {
    metrics::counter!("coursestile_requests_total", "end" => "answered").increment(1);
    metrics::histogram!("coursestile_request_seconds").record(seconds_since(request.arrived_at_ms));
    info!(target: "serve",
        "event=answered request={} upstream={} status={} bytes={} close_delimited={} held_ms={}",
        request.outgoing.request_id, choice.upstream.id, status.as_u16(), body.bytes,
        body.framing == Framing::CloseDelimited, now_ms() - request.arrived_at_ms);
}
