//! Serves one request: validates it, chooses an upstream, retries if allowed, and forwards the
//! response.

use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use hyper::body::Incoming;
use hyper::{Request, StatusCode};
use log::info;
use tokio::time::{Instant, timeout_at};

use crate::client_connections::ClientRequest;
use crate::clock::{instant_at, now_ms};
use crate::gateway::attempt::{AttemptOutcome, BodyStart, NotRunCause, UpstreamResponse, attempt};
use crate::gateway::check::{AdmittedRequest, validate};
use crate::gateway::crashes::{self, EndedRun};
use crate::gateway::decisions::account_shares::{Admission, work_of};
use crate::gateway::decisions::admission::{AdmissionCriteria, Occupancy};
use crate::gateway::decisions::brittle::BrittleLimit;
use crate::gateway::decisions::candidates::Candidates;
use crate::gateway::decisions::choose::{Choice, choose};
use crate::gateway::decisions::configuration::RetryPolicy;
use crate::gateway::decisions::demand::{AllowedSoftware, Demand, Resumption};
use crate::gateway::decisions::news_pace::Pace;
use crate::gateway::decisions::regions::AllowedHalls;
use crate::gateway::decisions::returns::Standing;
use crate::gateway::decisions::room::RoomInputs;
use crate::gateway::decisions::stopping::PlannedStop;
use crate::gateway::decisions::stores::Placement;
use crate::gateway::decisions::stream_origins::StreamOrigin;
use crate::gateway::decisions::upstream::Upstream;
use crate::gateway::decisions::weights::NamedVersions;
use crate::gateway::kernel::{Gateway, State};
use crate::gateway::refuse::{
    RETRY_AFTER_MS, no_upstream_found, refuse, refuse_immediately, refuse_until,
};
use crate::gateway::relay::client_buffer::ResponseOwner;
use crate::gateway::request_log::{
    ForwardedBody, log_answered, log_attempt_end, log_attempt_start, log_early_refusal,
    log_not_sent, log_retry_honoured,
};
use crate::gateway::response::{self, ClientResponse, Reason};
use crate::gateway::trials::Permission;
use crate::gateway::{
    configuration_check, overdue_weights, quarantine, rate_limits, relay, silence, trials,
};
use crate::names::short_id;
use crate::platform::exchange;

/// A request for which no upstream was found is refused after the route's latency objective
/// divided by this.
const QUEUE_WAIT_DIVISOR: u64 = 4;
/// A request waits for the trial of another for the route's latency objective divided by this.
const TRIAL_WAIT_DIVISOR: u64 = 2;
/// Attempts that may reach no upstream before the request is refused. Each may take the connect
/// timeout of 300 ms.
const MAX_UNDELIVERED: u32 = 4;
/// No retry is made with less time than this before the deadline; it is a few round trips.
const MIN_RETRY_TIME_MS: u64 = 20;
/// How often a request that waits for an upstream looks again at cold and brittle ones, and at those with
/// a rate limit.
const RECHECK_PERIOD: Duration = Duration::from_millis(50);
/// Pause before an attempt that follows one without a response.
const RETRY_PAUSE: Duration = Duration::from_millis(5);

/// Counts a request as in flight for as long as this value lives.
struct ActiveRequest(Arc<Gateway>);

impl ActiveRequest {
    fn new(gateway: &Arc<Gateway>) -> Self {
        gateway.state().requests_in_flight += 1;
        Self(gateway.clone())
    }
}

impl Drop for ActiveRequest {
    fn drop(&mut self) {
        self.0.state().requests_in_flight -= 1;
    }
}

/// Serves a client's request, to its response or a refusal.
pub async fn serve(
    gateway: Arc<Gateway>,
    request: Request<Incoming>,
    client: ClientRequest,
) -> ClientResponse {
    let active = ActiveRequest::new(&gateway);
    let arrived_at_ms = now_ms();
    let (parts, body) = request.into_parts();
    let head = exchange::request_head(&parts.uri, &parts.headers);
    let request_id = head.request_id.clone();
    let request = match validate(&gateway, &client, &head, parts, body, arrived_at_ms).await {
        Ok(request) => request,
        Err(reason) => {
            let retry_after_ms = early_retry_after_ms(reason);
            let config_version = gateway
                .state()
                .configuration
                .as_ref()
                .map_or(0, |configuration| configuration.version);
            log_early_refusal(request_id.as_deref(), reason, config_version, arrived_at_ms);
            return response::refusal(reason, request_id.as_deref(), retry_after_ms);
        }
    };
    gateway.state().retry_budget.record_request(arrived_at_ms, &request.service);
    let account = request.outgoing.content.account;
    let mut response = run_attempts(&gateway, request).await;
    if let Some(request_id) = request_id.filter(|_| gateway.settings.slow_readers) {
        response.extensions_mut().insert(ResponseOwner { request_id, account });
    }
    // The request stays in flight until its response body has been sent.
    let body = std::mem::replace(response.body_mut(), response::full_body(Bytes::new()));
    *response.body_mut() = response::with_guard(body, (active, client));
    response
}

/// When a client may retry that was refused before its request was admitted.
fn early_retry_after_ms(reason: Reason) -> Option<u64> {
    match reason {
        Reason::NotReady
        | Reason::OriginUnanswered
        | Reason::OriginUnconfirmed
        | Reason::NoRoom
        | Reason::UpstreamsFull => Some(RETRY_AFTER_MS),
        // Only a new stream can be served, and that at once.
        Reason::OriginUnknown => Some(0),
        _ => None,
    }
}

/// Makes attempts, on one upstream after another if necessary, until there is a response.
async fn run_attempts(gateway: &Arc<Gateway>, mut request: AdmittedRequest) -> ClientResponse {
    let wait_until =
        instant_at(request.arrived_at_ms + request.route.latency_objective_ms / QUEUE_WAIT_DIVISOR);
    let trial_wait_until = trial_wait_until(&request, request.arrived_at_ms);
    let mut next = None;
    loop {
        if let Some(until_ms) = wait_while_withheld(gateway, &request).await {
            return refuse_until(&request, Reason::Withheld, until_ms);
        }
        // The wait may have ended because an abort was a crash.
        if let Some(until_ms) =
            quarantine::quarantined_until_ms(gateway, request.outgoing.content.fingerprint)
        {
            return refuse_until(&request, Reason::Quarantined, until_ms);
        }
        if let Some(withheld) = trials::withheld(gateway, &request) {
            return refuse_until(&request, withheld.reason, withheld.until_ms);
        }
        if is_too_late(gateway, &request) {
            return refuse_until(&request, Reason::Stopping, now_ms());
        }
        let found = match next.take() {
            Some(choice) => Some(choice),
            None => wait_for_upstream(gateway, &request, wait_until).await,
        };
        let Some(choice) = found else {
            return no_upstream_found(gateway, &request);
        };
        if choice.occupancy == Occupancy::Full && may_refuse_if_full(&request) {
            record_work(gateway, &request, Some(&choice), Admission::Refused);
            return refuse_immediately(gateway, &request, choice.limit);
        }
        if is_known_unreachable(gateway, &choice) {
            return refuse(&request, Reason::NoUpstream);
        }
        match trials::permit(gateway, &mut request, trial_wait_until).await {
            Ok(Permission::AtOnce) => {}
            // Another upstream may be better by now.
            Ok(Permission::Waited) => continue,
            Err(withheld) => return refuse_until(&request, withheld.reason, withheld.until_ms),
        }
        // It may have waited for long.
        if is_too_late(gateway, &request) {
            return refuse_until(&request, Reason::Stopping, now_ms());
        }
        if request.tried.is_empty() && request.undelivered_attempts == 0 {
            record_admitted(gateway, &request);
        }
        record_work(gateway, &request, Some(&choice), Admission::Admitted);
        log_attempt_start(gateway, &request, &choice);
        let outcome = tokio::select! {
            // Polled in order: a response that has arrived is not abandoned for another upstream.
            biased;
            outcome = attempt(gateway, &request.outgoing, &choice, None) => outcome,
            alternative = silence::alternative_when_silent(gateway, &request, &choice) => {
                record_abandoned(&mut request, &choice);
                next = Some(alternative);
                continue;
            }
            () = overdue_weights::wait_for_withdrawal(gateway, &request, &choice) => {
                AttemptOutcome::Unknown { cause: "the engine's weights are too old".to_owned() }
            }
            () = quarantine::wait_until_quarantined(gateway, request.outgoing.content.fingerprint) => {
                AttemptOutcome::Unknown { cause: "upstreams crash under it".to_owned() }
            }
            () = trials::wait_until_withheld(gateway, &request) => {
                let cause = "upstreams crash under a part of its prompt".to_owned();
                AttemptOutcome::Unknown { cause }
            }
        };
        if let Some(response) = handle_outcome(gateway, &mut request, &choice, outcome).await {
            return response;
        }
        tokio::time::sleep(RETRY_PAUSE).await;
    }
}

/// Whether this box stops too soon to begin a request that has not run.
fn is_too_late(gateway: &Gateway, request: &AdmittedRequest) -> bool {
    let stop = gateway.planned_stop.get();
    let begins = |stop: &PlannedStop| stop.may_begin(now_ms(), request.outgoing.deadline_ms);
    !request.may_have_run && stop.is_some_and(|stop| !begins(stop))
}

/// Records the first attempt of a request, for the schedule of retries.
fn record_admitted(gateway: &Gateway, request: &AdmittedRequest) {
    let Some(prompt) = &request.prompt else { return };
    gateway.state().returns.record_admitted(now_ms(), request.class, prompt.memory_tokens());
    if request.standing == Standing::Due {
        log_retry_honoured(request);
    }
}

/// Whether a request may be refused because all engines are full. A stream that has begun is resumed late
/// rather than not at all.
fn may_refuse_if_full(request: &AdmittedRequest) -> bool {
    !request.may_have_run && request.origin.is_none()
}

/// Records whether a request was admitted, for the shares of the client accounts. Further attempts at
/// it are not counted.
pub(super) fn record_work(
    gateway: &Gateway,
    request: &AdmittedRequest,
    choice: Option<&Choice>,
    admission: Admission,
) {
    if request.attempts_made + request.undelivered_attempts > 0 {
        return;
    }
    let plan = choice.and_then(|choice| choice.context.as_ref());
    let work = request.prompt.as_ref().map_or(1, |prompt| {
        let prefill_tokens = plan.map_or(prompt.tokens, |plan| plan.prefill_tokens);
        work_of(prefill_tokens, prompt.max_output_tokens)
    });
    let account = request.outgoing.content.account;
    let mut state = gateway.state();
    let shares = &mut state.account_shares;
    let Some(limited) = shares.record(now_ms(), &request.service, account, work, admission) else {
        return;
    };
    drop(state);
    metrics::counter!("coursestile_over_share_refusals_total").increment(1);
    info!(target: "serve",
        "event=account_limited request={} account={} service={} share={:.0} offered={:.0}",
        request.outgoing.request_id, request.outgoing.account.as_deref().unwrap_or("-"), request.service, limited.share,
        limited.offered);
}

/// Until when a request waits for the trial of another to end.
fn trial_wait_until(request: &AdmittedRequest, from_ms: u64) -> Instant {
    instant_at(from_ms + request.route.latency_objective_ms / TRIAL_WAIT_DIVISOR)
}

/// Whether a connection to the chosen upstream, and thus to any other, is known to fail now.
fn is_known_unreachable(gateway: &Gateway, choice: &Choice) -> bool {
    let state = gateway.state();
    let upstream = state.upstreams.get_incarnation(&choice.upstream);
    upstream.is_some_and(Upstream::is_known_unreachable)
}

/// Waits while a request is withheld, if time will be left to run it. Otherwise returns until when
/// it may be withheld, so that it is refused now and not at its deadline.
async fn wait_while_withheld(gateway: &Gateway, request: &AdmittedRequest) -> Option<u64> {
    let wait_until = instant_at(request.outgoing.deadline_ms.saturating_sub(MIN_RETRY_TIME_MS));
    quarantine::wait_while_withheld(gateway, request.outgoing.content.fingerprint, wait_until).await
}

/// Handles the outcome of an attempt. Returns the response, or `None` if the request is to be sent
/// again.
async fn handle_outcome(
    gateway: &Arc<Gateway>,
    request: &mut AdmittedRequest,
    choice: &Choice,
    outcome: AttemptOutcome,
) -> Option<ClientResponse> {
    match outcome {
        AttemptOutcome::Answered(response) => {
            request.held_request = None;
            forward_response(gateway, request, *response, choice).await
        }
        AttemptOutcome::NotRun { cause } => {
            update_version_after_rejection(gateway, request, choice, cause);
            log_attempt_end(request, choice, "not_run", &cause.to_string());
            if cause == NotRunCause::OtherIncarnation {
                return handle_misdirected(gateway, request, choice);
            }
            retry_or_refuse(gateway, request, choice, Reason::UpstreamsFull)
        }
        AttemptOutcome::NotSent { cause } => {
            log_not_sent(gateway, request, choice, &cause);
            handle_undelivered(gateway, request, choice)
        }
        AttemptOutcome::Unknown { cause } => {
            handle_unknown_outcome(gateway, request, choice, &cause).await
        }
        AttemptOutcome::TimeOver => Some(handle_timeout(request, choice)),
    }
}

/// Handles an attempt that reached no upstream. It counts neither towards the attempts of the
/// route nor towards the retry budget.
fn handle_undelivered(
    gateway: &Gateway,
    request: &mut AdmittedRequest,
    choice: &Choice,
) -> Option<ClientResponse> {
    request.undelivered_attempts += 1;
    if request.undelivered_attempts >= MAX_UNDELIVERED || now_ms() >= request.outgoing.deadline_ms {
        return Some(refuse(request, Reason::NoUpstream));
    }
    request.tried.push(choice.upstream.clone());
    if count_untried(gateway, request) == 0 {
        request.tried.clear();
    }
    None
}

/// Handles an attempt that reached another incarnation than the intended one, which rejected it.
/// The intended one is gone, so the attempt counts only towards the retry budget.
fn handle_misdirected(
    gateway: &Gateway,
    request: &mut AdmittedRequest,
    choice: &Choice,
) -> Option<ClientResponse> {
    if !spend_retry_budget(gateway, request, now_ms()) {
        return Some(refuse(request, Reason::UpstreamsFull));
    }
    handle_undelivered(gateway, request, choice)
}

/// Handles an attempt that may have run.
async fn handle_unknown_outcome(
    gateway: &Gateway,
    request: &mut AdmittedRequest,
    choice: &Choice,
    cause: &str,
) -> Option<ClientResponse> {
    request.may_have_run = true;
    log_attempt_end(request, choice, "unknown", cause);
    if request.outgoing.retry_policy.may_retry() {
        wait_while_withheld(gateway, request).await;
    }
    retry_or_refuse(gateway, request, choice, Reason::UpstreamFailed)
}

/// Records an attempt that was abandoned for another upstream.
pub fn record_abandoned(request: &mut AdmittedRequest, choice: &Choice) {
    request.may_have_run = true;
    request.record_attempt(&choice.upstream);
    log_attempt_end(request, choice, "unknown", "the upstream is silent");
}

fn handle_timeout(request: &mut AdmittedRequest, choice: &Choice) -> ClientResponse {
    request.may_have_run = true;
    log_attempt_end(request, choice, "time_over", "");
    refuse(request, Reason::UpstreamSilent)
}

/// Returns `None` if the request may be sent to another upstream, otherwise the final response.
fn retry_or_refuse(
    gateway: &Gateway,
    request: &mut AdmittedRequest,
    choice: &Choice,
    reason: Reason,
) -> Option<ClientResponse> {
    request.record_attempt(&choice.upstream);
    (!take_retry(gateway, request)).then(|| refuse(request, reason))
}

/// Number of upstreams that the request may be sent to and has not been sent to.
fn count_untried(gateway: &Gateway, request: &AdmittedRequest) -> usize {
    let (state, software) = (gateway.state(), allowed_software(gateway, request));
    let eligible = state.upstreams.eligible(now_ms(), &request.service, software);
    eligible.filter(|upstream| !request.has_tried(upstream)).count()
}

/// The versions of software that may serve the request.
pub(super) fn allowed_software(gateway: &Gateway, request: &AdmittedRequest) -> AllowedSoftware {
    let leaving_apply_ms = gateway.settings.bounds.departure_apply_ms;
    match request.origin {
        Some(StreamOrigin { software, .. }) => {
            AllowedSoftware::Began(Resumption { software, leaving_apply_ms })
        }
        None if request.is_resumable() => AllowedSoftware::MayBegin,
        None => AllowedSoftware::Any,
    }
}

/// Whether the request may be sent to another upstream. If so, takes one retry from the budget.
fn take_retry(gateway: &Gateway, request: &AdmittedRequest) -> bool {
    let now_ms = now_ms();
    is_retry_allowed(request, now_ms) && spend_retry_budget(gateway, request, now_ms)
}

/// Whether the request may be sent to another upstream, leaving the retry budget aside.
pub(super) fn is_retry_allowed(request: &AdmittedRequest, now_ms: u64) -> bool {
    let allowed = !request.may_have_run || request.outgoing.retry_policy.may_retry();
    let time_left = now_ms + MIN_RETRY_TIME_MS < request.outgoing.deadline_ms;
    allowed && request.attempts_made < request.route.max_attempts && time_left
}

/// Takes one retry from the budget. A request that is quarantined or withheld gets none, since it
/// might crash another upstream.
pub(super) fn spend_retry_budget(
    gateway: &Gateway,
    request: &AdmittedRequest,
    now_ms: u64,
) -> bool {
    let mut state = gateway.state();
    if state.quarantine.is_withheld(now_ms, request.outgoing.content.fingerprint)
        || trials::is_withheld(&state, now_ms, request)
    {
        return false;
    }
    let boxes = state.peers.possible_boxes();
    state.retry_budget.try_spend(now_ms, &request.service, boxes)
}

/// Forwards an upstream's response; `None` if the request is to be sent again.
async fn forward_response(
    gateway: &Arc<Gateway>,
    request: &mut AdmittedRequest,
    mut response: UpstreamResponse,
    choice: &Choice,
) -> Option<ClientResponse> {
    if let (Some(version), Some(prompt)) = (response.head.ran_version, &request.prompt) {
        response.in_flight.record_version(&prompt.model, version);
    }
    if request.outgoing.retry_policy.is_stream() && response.status.is_success() {
        return Some(relay::stream(gateway, request, response, choice, Bytes::new()));
    }
    let deadline = instant_at(request.outgoing.deadline_ms);
    match timeout_at(deadline, response.read_start(&request.outgoing)).await {
        Ok(Ok(BodyStart::Complete(bytes))) => {
            let (status, headers) = (response.status, response.headers.clone());
            let framing = response.head.framing;
            response.finish();
            if status.is_server_error() && retry_after_failure(gateway, request, choice, status) {
                return None;
            }
            let forwarded = ForwardedBody { bytes: bytes.len(), framing };
            log_answered(request, choice, status, forwarded);
            let body = response::buffered_body(bytes, framing);
            Some(response::from_upstream(status, &headers, framing, body))
        }
        Ok(Ok(BodyStart::Partial(bytes))) => {
            Some(relay::stream(gateway, request, response, choice, bytes))
        }
        Ok(Err(cause)) => {
            response.in_flight.record_failure();
            let run = EndedRun::new(&request.outgoing, &response.in_flight);
            crashes::record_abort(gateway, &choice.upstream, run).await;
            handle_unknown_outcome(gateway, request, choice, &cause).await
        }
        Err(_) => Some(handle_timeout(request, choice)),
    }
}

/// Whether a request that an upstream failed with a server error is sent to another one. Otherwise
/// the client gets the upstream's own error response.
fn retry_after_failure(
    gateway: &Gateway,
    request: &mut AdmittedRequest,
    choice: &Choice,
    status: StatusCode,
) -> bool {
    if request.outgoing.retry_policy != RetryPolicy::Repeatable {
        return false;
    }
    request.record_attempt(&choice.upstream);
    let retries = count_untried(gateway, request) > 0 && take_retry(gateway, request);
    if retries {
        request.may_have_run = true;
        log_attempt_end(request, choice, "failed", &format!("status {}", status.as_u16()));
    }
    retries
}

/// Waits for another upstream that can resume a stream; takes a retry from the budget.
pub async fn find_resume_upstream(
    gateway: &Arc<Gateway>,
    request: &mut AdmittedRequest,
) -> Option<Choice> {
    wait_while_withheld(gateway, request).await;
    let trial_wait_until = trial_wait_until(request, now_ms());
    trials::permit(gateway, request, trial_wait_until).await.ok()?;
    let until = instant_at(now_ms() + request.route.latency_objective_ms / QUEUE_WAIT_DIVISOR);
    let choice = wait_for_upstream(gateway, request, until).await?;
    if !take_retry(gateway, request) {
        return None;
    }
    log_attempt_start(gateway, request, &choice);
    Some(choice)
}

/// Another upstream that is expected to resume a stream within `max_ms`; takes a retry from the
/// budget.
pub fn find_quick_upstream(
    gateway: &Gateway,
    request: &AdmittedRequest,
    max_ms: f64,
) -> Option<Choice> {
    let choice = {
        let mut state = gateway.state();
        if !trials::may_run(&state, now_ms(), request) {
            return None;
        }
        choose_upstream(&mut state, gateway, request, false)?
    };
    if choice.expected_first_token_ms > max_ms || !take_retry(gateway, request) {
        return None;
    }
    log_attempt_start(gateway, request, &choice);
    Some(choice)
}

/// Waits for an upstream that can take the request; `None` if there is none until `until`.
async fn wait_for_upstream(
    gateway: &Arc<Gateway>,
    request: &AdmittedRequest,
    until: Instant,
) -> Option<Choice> {
    loop {
        if request.prompt.is_some() {
            configuration_check::confirm(gateway).await;
        }
        let woken = gateway.capacity_changed.notified();
        let may_ask = Instant::now() < until;
        let choice = choose_upstream(&mut gateway.state(), gateway, request, may_ask);
        if let Some(choice) = choice {
            let is_refused = choice.occupancy == Occupancy::Full && may_refuse_if_full(request);
            if is_refused || !rate_limits::needs_permit(gateway, &choice.upstream) {
                return Some(choice);
            }
            rate_limits::ask(gateway, &choice.upstream).await;
            continue;
        }
        if none_available_until(gateway, request, until) {
            return None;
        }
        let recheck_at = Instant::now() + RECHECK_PERIOD;
        let wake_at = if needs_recheck(gateway, request) { until.min(recheck_at) } else { until };
        if timeout_at(wake_at, woken).await.is_err() && Instant::now() >= until {
            return choose_upstream(&mut gateway.state(), gateway, request, false);
        }
    }
}

/// Whether an upstream may get a request without anything that would wake one that waits: a cold or
/// a brittle one, or one with a rate limit.
fn needs_recheck(gateway: &Gateway, request: &AdmittedRequest) -> bool {
    let (state, now_ms) = (gateway.state(), now_ms());
    state.upstreams.is_any_cold(now_ms, &request.service)
        || state.brittle.max_rejections(now_ms, &request.service).is_some()
        || state.upstreams.is_any_limited(&request.service)
}

/// Whether it is known that no upstream can take the request until `until`: all untried ones have
/// asked for back-offs that end later, or named rate limits that allow it later, operators evacuate all halls of the service, their
/// software is too new to begin a stream, or none can resume it.
fn none_available_until(gateway: &Gateway, request: &AdmittedRequest, until: Instant) -> bool {
    if lacks_software(gateway, request) {
        return true;
    }
    let state = gateway.state();
    if state.upstreams.are_all_evacuated(&request.service) {
        return true;
    }
    let software = allowed_software(gateway, request);
    let (now_ms, tried) = (now_ms(), &request.tried);
    let begins_at_ms = state.upstreams.streams_begin_at_ms(now_ms, &request.service, software);
    let closed_until_ms = begins_at_ms
        .or_else(|| state.upstreams.all_closed_until_ms(now_ms, &request.service, software, tried));
    closed_until_ms.is_some_and(|closed_until_ms| instant_at(closed_until_ms) > until)
}

/// Whether no untried upstream has the software that began the request's stream.
pub(super) fn lacks_software(gateway: &Gateway, request: &AdmittedRequest) -> bool {
    request.origin.is_some() && count_untried(gateway, request) == 0
}

/// Chooses the upstream for the request among those that can take it now, or for which a permit may be
/// asked. Whose context it may use and where it may run follows from the configuration now, which may be
/// newer than the one by which it was admitted.
pub(super) fn choose_upstream(
    state: &mut State,
    gateway: &Gateway,
    request: &AdmittedRequest,
    may_ask_for_permits: bool,
) -> Option<Choice> {
    let now_ms = now_ms();
    let boxes = u32::try_from(state.peers.live_boxes(now_ms)).unwrap_or(u32::MAX);
    let configuration = state.configuration.as_ref()?;
    let service = configuration.services.get(&request.service)?;
    let account = request.outgoing.account.as_deref();
    let may_share = configuration_check::may_share(gateway, state, now_ms);
    let weights = request.prompt.as_ref().and_then(|prompt| state.weights.get(&prompt.model));
    // Capacity is reserved for a retry that is due, although it is late.
    let is_due = request.standing == Standing::Due;
    let objective_missed = now_ms >= request.outgoing.objective_at_ms;
    let mut demand = Demand {
        service: &request.service,
        box_short_id: state.peers.local().short_id,
        hall: &gateway.settings.hall,
        prompt: request.prompt.as_ref(),
        context_group: configuration.context_group(account, may_share),
        weights,
        weights_apply_ms: gateway.settings.bounds.weights_apply_ms,
        excludes_overdue: overdue_weights::enforces_weight_deadline(state, now_ms),
        placement: if state.peers.is_small_fleet() {
            Placement::FastestLink { hall: &gateway.settings.hall }
        } else {
            Placement::RendezvousHash { hall: &gateway.settings.hall }
        },
        candidates: if state.peers.is_small_fleet() {
            Candidates::All
        } else {
            Candidates::Sampled {
                seed: now_ms ^ u64::from(short_id(&request.outgoing.request_id)) << 32,
                hall_boxes: (state.peers.news_pace() == Pace::Prompt)
                    .then(|| state.peers.known_hall_boxes()),
            }
        },
        allowed_halls: AllowedHalls {
            regions: &gateway.settings.regions,
            route: configuration
                .route_regions(&request.route.name)
                .unwrap_or(&request.route.allowed_regions),
            account: account
                .and_then(|account| configuration.account_regions(account))
                .unwrap_or(&request.account_regions),
        },
        software: allowed_software(gateway, request),
        tried: &request.tried,
        max_connections: service.max_connections,
        boxes,
        exceeds_share: false,
        brittle: state.brittle.max_rejections(now_ms, &request.service).map(|max_rejections| {
            let halls = gateway.settings.regions.len().max(state.upstreams.hall_count());
            BrittleLimit { max_rejections, halls, peers: &state.peers }
        }),
        may_ask_for_permits,
        admission: AdmissionCriteria {
            higher_priority_ranks: configuration
                .higher_priority_ranks(&request.service, request.route.priority),
            objective_ms: request.route.latency_objective_ms,
            objective_missed: objective_missed && !is_due,
            admission_limit: state.admission_limits.limit_of(&request.service),
            reserved_part: state.returns.reserved_part(now_ms, request.class, request.standing),
            account_part: state.account_shares.account_part(
                now_ms,
                &request.service,
                request.outgoing.content.account,
            ),
        },
        objective_at_ms: (!objective_missed).then_some(request.outgoing.objective_at_ms),
        room: Some(RoomInputs {
            expected: state.run_lengths.expected(&request.service, &request.route.name),
            deadline_ms: request.outgoing.deadline_ms,
            reports_at_ms: state.peers.mean_report_at_ms(now_ms),
        }),
    };
    let engine = service.engine.as_ref();
    let choice = choose(now_ms, &state.upstreams, &state.stores, engine, &demand).or_else(|| {
        // Most clients may be turning to this box.
        demand.exceeds_share = true;
        choose(now_ms, &state.upstreams, &state.stores, engine, &demand)
    });
    choice.map(|mut choice| {
        if let Some(plan) = choice.context.as_mut().filter(|_| !may_share) {
            metrics::counter!("coursestile_context_not_shared_total").increment(1);
            // Stores drop nothing by themselves, and soon nobody looks for it there.
            plan.saves.fill(None);
        }
        choice
    })
}

/// Updates what is known of an upstream's weight version after it rejected a request for another
/// version.
fn update_version_after_rejection(
    gateway: &Gateway,
    request: &AdmittedRequest,
    choice: &Choice,
    cause: NotRunCause,
) {
    let Some(prompt) = request.prompt.as_ref().filter(|_| cause == NotRunCause::OtherVersion)
    else {
        return;
    };
    let mut state = gateway.state();
    let named = state.weights.get(&prompt.model).map_or(0, NamedVersions::newest);
    let Some(upstream) = state.upstreams.get_incarnation_mut(&choice.upstream) else { return };
    if choice.context.as_ref().is_some_and(|plan| plan.version >= named) {
        // The upstream restarted with older weights, or was reverted to them.
        upstream.forget_weight_version(&prompt.model);
    } else {
        upstream.record_weight_version(&prompt.model, named);
    }
}
