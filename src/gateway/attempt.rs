//! One attempt at having a request run by one upstream.

use std::sync::Arc;

use bytes::Bytes;
use http_body_util::BodyExt;
use hyper::body::{Body as _, Incoming};
use hyper::{HeaderMap, Method, Response, StatusCode, Uri};
use log::info;
use tokio::time::timeout_at;

use crate::clock::{instant_at, now_ms};
use crate::gateway::connections::{Connection, SendError, send};
use crate::gateway::crashes::{self, AnswerEnd, EndedRun};
use crate::gateway::decisions::choose::Choice;
use crate::gateway::decisions::configuration::RetryPolicy;
use crate::gateway::decisions::slow_readers::REQUEST_TIMEOUT_MS;
use crate::gateway::decisions::units::rounded_ms;
use crate::gateway::decisions::urgency;
use crate::gateway::heads::{ForwardHead, Framing, NamedRateLimit, ResponseHead};
use crate::gateway::in_flight::InFlight;
use crate::gateway::kernel::Gateway;
use crate::gateway::trials::HeldTrial;
use crate::gateway::{configuration_check, paths};
use crate::platform::exchange;
use crate::request_content::RequestContent;

/// Longest time for transfers of cached context to an engine, from the choice of their sources.
const TRANSFER_TIMEOUT_MS: u64 = 2000;

/// Largest body of a rejection that is read.
const MAX_REJECTION_BYTES: usize = 64 << 10;

/// A request as it is sent to any upstream.
#[derive(Clone)]
pub struct OutgoingRequest {
    pub request_id: String,
    /// What it asks, whatever its id.
    pub content: RequestContent,
    /// The trial that it runs as.
    pub trial: Option<Arc<HeldTrial>>,
    pub method: Method,
    /// Path and query.
    pub target: Uri,
    /// The client's headers.
    pub headers: HeaderMap,
    pub body: Bytes,
    /// Client account, if the request has one.
    pub account: Option<String>,
    /// Scheduling priority at engines; lower values run first.
    pub priority: u8,
    /// Whether the request may run more than once.
    pub retry_policy: RetryPolicy,
    /// Whether its client has received events of its stream.
    pub resumes: bool,
    /// Deadline of the request.
    pub deadline_ms: u64,
    /// When the response, or its first event, is due.
    pub objective_at_ms: u64,
}

impl OutgoingRequest {
    /// Scheduling rank at the engine. A request that cannot meet its objective any more ranks
    /// lower, unless its stream has begun.
    fn rank(&self, now_ms: u64, choice: &Choice, last_event_id: Option<&str>) -> u8 {
        if self.resumes || last_event_id.is_some() {
            return self.priority;
        }
        let expected_at_ms = now_ms + rounded_ms(choice.expected_first_token_ms);
        let rank = urgency::rank(self.priority, expected_at_ms, self.objective_at_ms);
        if rank != self.priority {
            info!(target: "serve",
                "event=ranked_late request={} upstream={} rank={rank} before={} late_ms={}",
                self.request_id, choice.upstream.id, self.priority,
                expected_at_ms - self.objective_at_ms);
        }
        rank
    }
}

/// Outcome of an attempt.
pub enum AttemptOutcome {
    /// The upstream has sent the response head; the body follows.
    Answered(Box<UpstreamResponse>),
    /// The upstream did not run the request and never will.
    NotRun { cause: NotRunCause },
    /// No byte of the request was sent.
    NotSent { cause: String },
    /// The request may have run.
    Unknown {
        /// Why there is no response.
        cause: String,
    },
    /// The deadline of the request passed; it may have run.
    TimeOver,
}

/// Why an upstream did not run a request. The texts are logged.
#[derive(Clone, Copy, Debug, PartialEq, Eq, displaydoc::Display)]
pub enum NotRunCause {
    /// another incarnation has the address
    OtherIncarnation,
    /// it has other weights
    OtherVersion,
    /// it refused with status {0}
    Rejected(u16),
}

/// What was read of a response body before forwarding it.
pub enum BodyStart {
    /// The whole body.
    Complete(Bytes),
    /// The beginning of a body that exceeds the buffer; the rest is still to be read.
    Partial(Bytes),
}

/// The head of an upstream's response, and what is needed to read its body.
pub struct UpstreamResponse {
    pub status: StatusCode,
    pub headers: HeaderMap,
    /// The head, decoded.
    pub head: ResponseHead,
    pub body: Incoming,
    /// Accounts for the request at the upstream while it is in flight.
    pub in_flight: InFlight,
    connection: Connection,
}

impl UpstreamResponse {
    /// Returns the connection to the pool after the whole body has been read.
    pub fn finish(self) {
        let Self { headers, mut in_flight, connection, .. } = self;
        in_flight.record_first_token();
        in_flight.record_success();
        let gateway = in_flight.gateway.clone();
        let id = in_flight.upstream.id.clone();
        drop(in_flight);
        tokio::spawn(async move { gateway.connections.check_in(&id, &headers, connection).await });
    }

    /// Reads the body until it ends or exceeds the buffer: a whole response can still be retried.
    ///
    /// # Errors
    /// Fails when the upstream aborts the response.
    pub async fn read_start(&mut self, request: &OutgoingRequest) -> Result<BodyStart, String> {
        let mut bytes = Vec::new();
        while let Some(frame) = self.body.frame().await {
            let frame = frame.map_err(|error| error.to_string())?;
            let Ok(data) = frame.into_data() else { continue };
            self.in_flight.record_activity();
            bytes.extend_from_slice(&data);
            if bytes.len() > self.in_flight.gateway.max_buffered_bytes() {
                return Ok(BodyStart::Partial(bytes.into()));
            }
        }
        let InFlight { gateway, upstream, .. } = &self.in_flight;
        let run = EndedRun::new(request, &self.in_flight);
        let end = AnswerEnd { status: self.status, framing: self.head.framing };
        if !crashes::confirm_end(gateway, upstream, run, end).await {
            return Err("the upstream has crashed".to_owned());
        }
        Ok(BodyStart::Complete(bytes.into()))
    }
}

/// Makes one attempt. A silent upstream does not end it; a caller that has an alternative drops
/// the future instead.
pub async fn attempt(
    gateway: &Arc<Gateway>,
    outgoing: &OutgoingRequest,
    choice: &Choice,
    last_event_id: Option<&str>,
) -> AttemptOutcome {
    let Some(address) = gateway.state().upstreams.incarnation_address(&choice.upstream) else {
        return AttemptOutcome::NotSent { cause: "the upstream is no longer listed".to_owned() };
    };
    let Some(mut in_flight) = InFlight::begin(gateway, choice, address) else {
        return AttemptOutcome::NotSent { cause: "no permit within its rate limit".to_owned() };
    };
    let deadline = instant_at(outgoing.deadline_ms);
    let connecting = paths::connect(gateway, &choice.upstream.id, address, outgoing.retry_policy);
    let mut connection = match timeout_at(deadline, connecting).await {
        Ok(Ok(connection)) => connection,
        Ok(Err(cause)) => {
            in_flight.record_unreachable();
            return AttemptOutcome::NotSent { cause };
        }
        Err(_) => return AttemptOutcome::NotSent { cause: "deadline passed".to_owned() },
    };
    in_flight.record_connected(connection.path);
    if !configuration_check::allows_context(gateway, outgoing.account.as_deref(), choice) {
        return AttemptOutcome::NotSent { cause: "its context is no longer shared".to_owned() };
    }
    record_saves(gateway, choice);
    let now_ms = now_ms();
    let request = exchange::upstream_request(
        &outgoing.method,
        &outgoing.target,
        &outgoing.headers,
        &outgoing.body,
        &ForwardHead {
            upstream_id: &choice.upstream.id,
            remaining_ms: outgoing.deadline_ms.saturating_sub(now_ms),
            account: outgoing.account.as_deref(),
            priority: outgoing.rank(now_ms, choice, last_event_id),
            context: choice.context.as_ref(),
            transfers_until_ms: transfers_until_ms(gateway, choice.chosen_at_ms),
            last_event_id,
        },
    );
    let written = connection.written.clone();
    let sent = tokio::select! {
        // Polled in order: a response that has arrived is not abandoned.
        biased;
        sent = timeout_at(deadline, send(&mut connection, request)) => sent,
        () = in_flight.wait_until_lost(), if outgoing.retry_policy.may_retry() => {
            return AttemptOutcome::Unknown { cause: "this box is cut off".to_owned() };
        }
        () = written.wait_until_blocked(REQUEST_TIMEOUT_MS), if gateway.settings.slow_readers => {
            in_flight.record_failure();
            return AttemptOutcome::Unknown { cause: "the upstream does not read it".to_owned() };
        }
    };
    let response = match sent {
        Ok(Ok(response)) => response,
        Ok(Err(SendError::NotSent(cause))) => return AttemptOutcome::NotSent { cause },
        Ok(Err(SendError::Unknown(cause))) => {
            in_flight.record_failure();
            let run = EndedRun::new(outgoing, &in_flight);
            crashes::record_abort(gateway, &in_flight.upstream, run).await;
            return AttemptOutcome::Unknown { cause };
        }
        Err(_) => return AttemptOutcome::TimeOver,
    };
    in_flight.record_activity();
    let response = if is_ambiguous_rejection(outgoing, &response, &connection) {
        let id = &choice.upstream.id;
        match timeout_at(deadline, resolve_rejection(outgoing, id, response, &mut connection)).await
        {
            Ok(Some(response)) => response,
            Ok(None) => {
                in_flight.record_failure();
                return AttemptOutcome::Unknown { cause: "a rejection without an id".to_owned() };
            }
            Err(_) => return AttemptOutcome::TimeOver,
        }
    } else {
        response
    };
    classify(outgoing, response, in_flight, connection)
}

/// Whether a rejection may be surplus bytes after the answer before, while the upstream runs this request,
/// which must not run again: it has no id, and the connection has carried another answer.
fn is_ambiguous_rejection(
    outgoing: &OutgoingRequest,
    response: &Response<Incoming>,
    connection: &Connection,
) -> bool {
    let head = exchange::answer_head(response.status(), response.headers());
    let is_named = head.request_id.is_some();
    head.not_run && !is_named && connection.is_reused() && !outgoing.retry_policy.may_retry()
}

/// Finds out whether a rejection without an id belongs to a request, by another request on the connection,
/// which the upstream answers in order: the answer that comes next is that of the request if it runs.
/// Returns the response to it; `None` if that is not known.
async fn resolve_rejection(
    outgoing: &OutgoingRequest,
    upstream_id: &str,
    mut rejection: Response<Incoming>,
    connection: &mut Connection,
) -> Option<Response<Incoming>> {
    let mut bytes = 0;
    while let Some(frame) = rejection.body_mut().frame().await {
        bytes += frame.ok()?.data_ref().map_or(0, Bytes::len);
        if bytes > MAX_REJECTION_BYTES {
            return None;
        }
    }
    connection.forbid_reuse();
    if !connection.wait_until_ready().await {
        return exchange::announces_close(rejection.headers()).then_some(rejection);
    }
    let next = send(connection, exchange::liveness_request(upstream_id)).await;
    let is_own = |next: &Response<Incoming>| {
        let head = exchange::answer_head(next.status(), next.headers());
        head.request_id.as_deref() == Some(outgoing.request_id.as_str())
    };
    match next {
        Ok(next) if is_own(&next) => {
            info!(target: "serve", "event=surplus_rejection request={} upstream={upstream_id}",
                outgoing.request_id);
            Some(next)
        }
        Ok(_) => Some(rejection),
        Err(_) => exchange::announces_close(rejection.headers()).then_some(rejection),
    }
}

/// Checks that the response belongs to this request and comes from the upstream itself, and
/// whether the upstream ran the request.
fn classify(
    outgoing: &OutgoingRequest,
    response: Response<Incoming>,
    in_flight: InFlight,
    connection: Connection,
) -> AttemptOutcome {
    let (parts, body) = response.into_parts();
    let mut response_head = exchange::answer_head(parts.status, &parts.headers);
    if body.is_end_stream() {
        response_head.framing = Framing::Delimited;
    }
    if !response_head.notice.is_empty() {
        in_flight.apply_notice(response_head.notice);
    }
    if let Some(max_rejections) = response_head.max_rejections {
        in_flight.record_brittleness(max_rejections);
    }
    if response_head.rate_limit != NamedRateLimit::None {
        info!(target: "limits", "event=rate_limit_named request={} upstream={} status={} limit={}",
            outgoing.request_id, in_flight.upstream.id, parts.status.as_u16(),
            response_head.rate_limit);
    }
    let is_own = response_head.request_id.as_deref() == Some(outgoing.request_id.as_str());
    let is_rejection = response_head.not_run && response_head.request_id.is_none();
    if is_own || is_rejection {
        in_flight.record_rate_limit(&response_head);
    }
    if response_head.not_run && (is_own || is_rejection) {
        let cause = not_run_cause(parts.status, &response_head, &in_flight.upstream.id);
        match cause {
            NotRunCause::OtherIncarnation => in_flight.record_superseded(),
            NotRunCause::Rejected(_) => in_flight.record_rejection(),
            NotRunCause::OtherVersion => {}
        }
        return AttemptOutcome::NotRun { cause };
    }
    if !is_own {
        in_flight.record_failure();
        return AttemptOutcome::Unknown {
            cause: "the response belongs to another request".to_owned(),
        };
    }
    if parts.status.is_success() && (!response_head.sealed || response_head.encoded) {
        in_flight.record_failure();
        return AttemptOutcome::Unknown {
            cause: "the response does not come from the upstream itself".to_owned(),
        };
    }
    in_flight.record_accepted();
    let response = UpstreamResponse {
        status: parts.status,
        headers: parts.headers,
        head: response_head,
        body,
        in_flight,
        connection,
    };
    AttemptOutcome::Answered(Box::new(response))
}

fn not_run_cause(
    status: StatusCode,
    response_head: &ResponseHead,
    upstream_id: &str,
) -> NotRunCause {
    if status != StatusCode::MISDIRECTED_REQUEST {
        return NotRunCause::Rejected(status.as_u16());
    }
    match &response_head.upstream_id {
        Some(id) if id != upstream_id => NotRunCause::OtherIncarnation,
        Some(_) | None => NotRunCause::OtherVersion,
    }
}

/// Records the parts of context that the engine will save to stores.
fn record_saves(gateway: &Gateway, choice: &Choice) {
    let Some(context) = &choice.context else { return };
    let mut state = gateway.state();
    let now_ms = now_ms();
    for save in context.saves.iter().flatten() {
        if let Some((_, store_state)) = state.stores.get_mut(&save.store) {
            store_state.record_save(now_ms, save.part, save.tokens);
        }
    }
}

/// When transfers are aborted, by the upstreams' clock. Counted from the choice of their sources,
/// because this process may be stalled between that and sending the request.
fn transfers_until_ms(gateway: &Gateway, chosen_at_ms: u64) -> Option<u64> {
    let offset_ms = gateway.state().upstream_clock_offset_ms?;
    chosen_at_ms.checked_add_signed(offset_ms).map(|clock_ms| clock_ms + TRANSFER_TIMEOUT_MS)
}
