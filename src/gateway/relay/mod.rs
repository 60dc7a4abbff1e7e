//! Forwards response bodies and event streams to clients as they arrive.
//!
//! A stream that ends within an event has been broken off, however its end is marked. A resumable
//! stream is forwarded in whole events. If its upstream breaks off, or if it is moved (see `moves`),
//! another upstream resumes it after the last event that was forwarded.

pub mod client_buffer;
mod moves;

use std::sync::Arc;

use bytes::{Bytes, BytesMut};
use futures_util::stream;
use http_body_util::{BodyExt, StreamBody};
use hyper::body::{Frame, Incoming};
use log::{debug, info};
use tokio::time::{Instant, timeout_at};

use crate::clock::{instant_at, now_ms};
use crate::gateway::attempt::{AttemptOutcome, UpstreamResponse, attempt};
use crate::gateway::check::AdmittedRequest;
use crate::gateway::crashes::{self, AnswerEnd, EndedRun};
use crate::gateway::decisions::choose::Choice;
use crate::gateway::decisions::stream_origins::StreamOrigin;
use crate::gateway::events::{EventScanner, has_events, last_event_id};
use crate::gateway::heads::Framing;
use crate::gateway::kernel::Gateway;
use crate::gateway::request_log::{ForwardedBody, log_answered, log_attempt_start, seconds_since};
use crate::gateway::response::{self, BodyAborted, ClientResponse};
use crate::gateway::serve::{find_resume_upstream, record_abandoned};
use crate::gateway::{origins, silence};
use crate::names::short_id;

/// A response body or event stream that is being forwarded.
struct Relay {
    gateway: Arc<Gateway>,
    request: AdmittedRequest,
    choice: Choice,
    /// The response of the present upstream; `None` if no upstream is left.
    response: Option<UpstreamResponse>,
    /// Finds where events end in the response of the present upstream; `None` if the body does not
    /// consist of events.
    scanner: Option<EventScanner>,
    /// The start of an event that is not complete yet.
    buffer: BytesMut,
    last_event_id: Option<String>,
    /// Bytes that were read before forwarding began, and are still to be sent.
    pending: Bytes,
    /// Bytes that were forwarded so far.
    forwarded_bytes: usize,
    /// Whether any data was received from an upstream.
    begun: bool,
    /// What was read from the upstream while another was being asked to resume.
    read_ahead: Option<ReadOutcome>,
    /// When the stream may be moved off an upstream that still works; `None` if it must not be
    /// moved again.
    may_move_at: Option<Instant>,
}

/// Forwards a body as it arrives. `pending` is what has been read of it already.
pub fn stream(
    gateway: &Arc<Gateway>,
    request: &mut AdmittedRequest,
    response: UpstreamResponse,
    choice: &Choice,
    pending: Bytes,
) -> ClientResponse {
    let (status, headers) = (response.status, response.headers.clone());
    let framing = response.head.framing;
    let is_stream = request.outgoing.retry_policy.is_stream() && status.is_success();
    let relay = Relay {
        gateway: gateway.clone(),
        request: request.detach(),
        choice: choice.clone(),
        response: Some(response),
        scanner: (is_stream && has_events(&headers)).then(EventScanner::default),
        buffer: BytesMut::new(),
        last_event_id: None,
        pending,
        forwarded_bytes: 0,
        begun: false,
        read_ahead: None,
        may_move_at: Some(Instant::now()),
    };
    let frames = stream::unfold(relay, |mut relay| async move {
        let next = relay.next().await?;
        Some((next.map(Frame::data), relay))
    });
    response::from_upstream(status, &headers, framing, StreamBody::new(frames).boxed_unsync())
}

enum ReadOutcome {
    Data(Bytes),
    End,
    Broken(String),
    /// The upstream owes responses and has sent nothing for too long.
    Silent,
    /// The upstream is about to load weights.
    MustMove,
}

/// The response of an upstream that resumes a stream, if it is successful.
fn successful_response(outcome: AttemptOutcome) -> Option<UpstreamResponse> {
    match outcome {
        AttemptOutcome::Answered(response) if response.status.is_success() => Some(*response),
        _ => None,
    }
}

impl Relay {
    /// The next bytes for the client; `None` at the end.
    async fn next(&mut self) -> Option<Result<Bytes, BodyAborted>> {
        if !self.pending.is_empty() {
            let pending = std::mem::take(&mut self.pending);
            self.forwarded_bytes += pending.len();
            return Some(Ok(pending));
        }
        loop {
            let may_move_at = self.may_move_at.filter(|_| self.is_resumable());
            // The stream has no upstream left. It is aborted, so that it does not look complete.
            let Some(response) = self.response.as_mut() else {
                return Some(Err(BodyAborted::Upstream));
            };
            let deadline = instant_at(self.request.outgoing.deadline_ms);
            let has_event = self.last_event_id.is_some();
            let awaited_since_ms = now_ms();
            let next = tokio::select! {
                // Polled in order: data comes first, since dropping the read would lose
                // `read_ahead`.
                biased;
                next = timeout_at(deadline, read(self.read_ahead.take(), &mut response.body)) => next,
                reason = moves::wait_for_reason(&response.in_flight, has_event, may_move_at) => Ok(reason),
            };
            let Ok(next) = next else {
                self.log_broken("time_over");
                self.response = None;
                return Some(Err(BodyAborted::TimeOver));
            };
            match next {
                ReadOutcome::Data(bytes) => {
                    response.in_flight.record_activity();
                    if self.scanner.is_some() {
                        response.in_flight.record_event(awaited_since_ms);
                    }
                    let written_ms = response.in_flight.written_ms();
                    crashes::record_progress(&self.gateway, &self.request.outgoing, written_ms);
                    if !std::mem::replace(&mut self.begun, true) {
                        response.in_flight.record_first_bytes();
                        self.log_begun();
                    }
                    let bytes = self.complete_events(bytes);
                    if !bytes.is_empty() {
                        self.report_origin().await;
                        self.forwarded_bytes += bytes.len();
                        return Some(Ok(bytes));
                    }
                    if self.buffer.len() > self.gateway.max_buffered_bytes() {
                        if let Some(response) = &self.response {
                            response.in_flight.record_failure();
                        }
                        if let Some(aborted) = self.resume("an event does not end").await {
                            return Some(Err(aborted));
                        }
                    }
                }
                ReadOutcome::End
                    if self.scanner.is_some_and(|scanner| scanner.is_within_event()) =>
                {
                    response.in_flight.record_failure();
                    if let Some(aborted) = self.resume("ends within an event").await {
                        return Some(Err(aborted));
                    }
                }
                ReadOutcome::End if !self.buffer.is_empty() => {
                    // A comment without a line end, which belongs to no event.
                    self.read_ahead = Some(ReadOutcome::End);
                    self.forwarded_bytes += self.buffer.len();
                    return Some(Ok(self.buffer.split().freeze()));
                }
                ReadOutcome::End => {
                    let (status, framing) = (response.status, response.head.framing);
                    let upstream = &self.choice.upstream;
                    let run = EndedRun::new(&self.request.outgoing, &response.in_flight);
                    let end = AnswerEnd { status, framing };
                    if !crashes::confirm_end(&self.gateway, upstream, run, end).await {
                        response.in_flight.record_failure();
                        if let Some(aborted) = self.resume("the upstream has crashed").await {
                            return Some(Err(aborted));
                        }
                        continue;
                    }
                    if let Some(response) = self.response.take() {
                        let events = self.scanner.map_or(0, |scanner| scanner.ended());
                        response.in_flight.record_run(&self.request, events);
                        response.finish();
                    }
                    let body = ForwardedBody { bytes: self.forwarded_bytes, framing };
                    log_answered(&self.request, &self.choice, status, body);
                    return None;
                }
                ReadOutcome::Silent => self.move_off_silent().await,
                ReadOutcome::MustMove => self.move_off_loading().await,
                ReadOutcome::Broken(cause) => {
                    response.in_flight.record_failure();
                    if let Some(aborted) = self.resume(&cause).await {
                        return Some(Err(aborted));
                    }
                }
            }
        }
    }

    /// The bytes that can be forwarded now. Of a resumable stream, these are whole events.
    fn complete_events(&mut self, bytes: Bytes) -> Bytes {
        let boundary = self.scanner.as_mut().and_then(|scanner| scanner.scan(&bytes));
        if !self.is_resumable() {
            return bytes;
        }
        let buffered = self.buffer.len();
        self.buffer.extend_from_slice(&bytes);
        let Some(boundary) = boundary else {
            return Bytes::new();
        };
        let events = self.buffer.split_to(buffered + boundary).freeze();
        if let Some(id) = last_event_id(&events) {
            self.last_event_id = Some(id);
        }
        events
    }

    /// Fixes the software of a resumable stream, and reports it, before the first bytes of this response
    /// are forwarded.
    async fn report_origin(&mut self) {
        if self.forwarded_bytes > 0 || !self.is_resumable() || self.request.is_origin_guessed {
            return;
        }
        let service = short_id(&self.request.service);
        let origin = StreamOrigin { service, software: self.choice.software };
        self.request.origin = Some(origin);
        let (stream, until_ms) = (self.request.stream, self.request.client_deadline_ms);
        origins::report(&self.gateway, stream, origin, until_ms).await;
    }

    /// Has another upstream resume the stream. Returns why the body is aborted if none can.
    async fn resume(&mut self, cause: &str) -> Option<BodyAborted> {
        self.log_broken(cause);
        if let Some(response) = self.response.take() {
            let run = EndedRun::new(&self.request.outgoing, &response.in_flight);
            drop(response);
            crashes::record_abort(&self.gateway, &self.choice.upstream, run).await;
        }
        if !self.is_resumable() {
            return Some(BodyAborted::Upstream);
        }
        loop {
            let Some(choice) = self.find_other_upstream().await else {
                return Some(BodyAborted::Upstream);
            };
            if self.resume_at(choice).await {
                return None;
            }
        }
    }

    /// Waits for another upstream to resume the stream; takes a retry from the budget.
    async fn find_other_upstream(&mut self) -> Option<Choice> {
        self.record_ran();
        find_resume_upstream(&self.gateway, &mut self.request).await
    }

    /// Records that the stream has run at its present upstream.
    fn record_ran(&mut self) {
        self.request.may_have_run = true;
        if !self.request.tried.contains(&self.choice.upstream) {
            self.request.record_attempt(&self.choice.upstream);
        }
    }

    /// Continues with another upstream's response, which begins after the last event that was
    /// forwarded.
    fn switch_to(&mut self, response: UpstreamResponse, choice: Choice) {
        self.response = Some(response);
        self.scanner = Some(EventScanner::default());
        self.buffer.clear();
        self.choice = choice;
    }

    /// Asks an upstream to resume the stream; whether it does.
    async fn resume_at(&mut self, mut choice: Choice) -> bool {
        let last_event_id = self.last_event_id.as_deref();
        let outcome = loop {
            tokio::select! {
                biased;
                outcome = attempt(&self.gateway, &self.request.outgoing, &choice, last_event_id) => {
                    break outcome;
                }
                alternative = silence::alternative_when_silent(&self.gateway, &self.request, &choice) => {
                    record_abandoned(&mut self.request, &choice);
                    choice = alternative;
                    log_attempt_start(&self.gateway, &self.request, &choice);
                }
            }
        };
        let Some(response) = successful_response(outcome) else {
            self.request.record_attempt(&choice.upstream);
            return false;
        };
        info!(target: "relay", "event=resumed request={} upstream={} after_event={}",
            self.request.outgoing.request_id, choice.upstream.id, last_event_id.unwrap_or("-"));
        self.switch_to(response, choice);
        true
    }

    fn is_resumable(&self) -> bool {
        self.scanner.is_some() && self.request.is_resumable()
    }

    fn log_begun(&self) {
        let first_s = seconds_since(self.request.arrived_at_ms);
        metrics::histogram!("coursestile_first_event_seconds").record(first_s);
        debug!(target: "relay", "event=begun request={} upstream={}",
            self.request.outgoing.request_id, self.choice.upstream.id);
    }

    fn log_broken(&self, cause: &str) {
        let framing = self.response.as_ref().map(|response| response.head.framing);
        info!(target: "relay",
            "event=stream_broken request={} upstream={} cause=\"{cause}\" \
             close_delimited={} passed_bytes={} held_ms={}",
            self.request.outgoing.request_id, self.choice.upstream.id,
            framing == Some(Framing::CloseDelimited), self.forwarded_bytes,
            now_ms() - self.request.arrived_at_ms);
    }
}

/// The next part of a body: `read_ahead` if there is one.
async fn read(read_ahead: Option<ReadOutcome>, body: &mut Incoming) -> ReadOutcome {
    if let Some(outcome) = read_ahead {
        return outcome;
    }
    loop {
        match body.frame().await {
            None => return ReadOutcome::End,
            Some(Err(error)) => {
                return ReadOutcome::Broken(crate::gateway::connections::error_with_cause(&error));
            }
            Some(Ok(frame)) => {
                if let Ok(bytes) = frame.into_data() {
                    return ReadOutcome::Data(bytes);
                }
            }
        }
    }
}
