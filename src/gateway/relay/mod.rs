//! Streams of events, passed on as they arrive.
//!
//! A stream that may be taken up again is passed on by whole events, so that
//! another upstream can go on after the last one when the first breaks off, or
//! when the stream leaves it (`leaving`).

mod moves;

use std::sync::Arc;

use bytes::{Bytes, BytesMut};
use futures_util::stream;
use http_body_util::{BodyExt, StreamBody};
use hyper::body::{Frame, Incoming};
use log::{debug, info};
use tokio::time::{Instant, timeout_at};

use crate::clock::{instant_at, now_ms};
use crate::gateway::attempt::{Attempted, UpstreamResponse, attempt};
use crate::gateway::check::Job;
use crate::gateway::crashes;
use crate::gateway::decisions::choose::Choice;
use crate::gateway::decisions::site::Repeat;
use crate::gateway::events::{last_event_end, last_event_id};
use crate::gateway::kernel::Gateway;
use crate::gateway::request_log::{log_attempt, log_end, seconds_since};
use crate::gateway::response::{self, BodyAborted, ClientResponse};
use crate::gateway::serve::{note_left, resume_place};
use crate::gateway::silence;

/// A stream under way.
struct Relay {
    gateway: Arc<Gateway>,
    job: Job,
    choice: Choice,
    reply: Option<UpstreamResponse>,
    buffer: BytesMut,
    last_event: Option<String>,
    /// What was read before, and not passed on yet.
    pending: Bytes,
    passed_bytes: usize,
    begun: bool,
    /// What was read while another upstream was asked to go on.
    ahead: Option<Read>,
    /// When the stream may leave an upstream that could go on, if it did not before.
    may_leave_at: Option<Instant>,
}

/// Passes a body on as it arrives, after what was read of it already.
pub fn stream(
    gateway: &Arc<Gateway>,
    job: &mut Job,
    reply: UpstreamResponse,
    choice: &Choice,
    pending: Bytes,
) -> ClientResponse {
    let (status, head) = (reply.status, reply.head.clone());
    let relay = Relay {
        gateway: gateway.clone(),
        job: job.take(),
        choice: choice.clone(),
        reply: Some(reply),
        buffer: BytesMut::new(),
        last_event: None,
        pending,
        passed_bytes: 0,
        begun: false,
        ahead: None,
        may_leave_at: Some(Instant::now()),
    };
    let frames = stream::unfold(relay, |mut relay| async move {
        let next = relay.next().await?;
        Some((next.map(Frame::data), relay))
    });
    response::passed_on(status, &head, StreamBody::new(frames).boxed_unsync())
}

enum Read {
    Data(Bytes),
    End,
    Broken(String),
    /// The upstream owes answers and says nothing.
    Silent,
    /// The upstream is to load weights.
    Displaced,
}

/// The answer of an upstream that goes on with a stream.
fn success(attempted: Attempted) -> Option<UpstreamResponse> {
    match attempted {
        Attempted::Answered(reply) if reply.status.is_success() => Some(*reply),
        _ => None,
    }
}

impl Relay {
    /// The next bytes for the client; `None` at the end.
    async fn next(&mut self) -> Option<Result<Bytes, BodyAborted>> {
        if !self.pending.is_empty() {
            let pending = std::mem::take(&mut self.pending);
            self.passed_bytes += pending.len();
            return Some(Ok(pending));
        }
        loop {
            // A stream that nobody goes on with never looks whole.
            let Some(reply) = self.reply.as_mut() else {
                return Some(Err(BodyAborted::Upstream));
            };
            let deadline = instant_at(self.job.outgoing.deadline_ms);
            let resumable = self.job.outgoing.repeat == Repeat::StreamResumable;
            let may_leave_at = self.may_leave_at.filter(|_| resumable);
            let begun = self.last_event.is_some();
            let next = tokio::select! {
                // What is there goes first; what was read ahead would else be lost.
                biased;
                next = timeout_at(deadline, read(self.ahead.take(), &mut reply.body)) => next,
                reason = moves::wait_for_reason(&reply.in_flight, begun, may_leave_at) => Ok(reason),
            };
            let Ok(next) = next else {
                self.reply = None;
                self.log_broken("time_over");
                return Some(Err(BodyAborted::TimeOver));
            };
            match next {
                Read::Data(bytes) => {
                    reply.in_flight.record_activity();
                    if !std::mem::replace(&mut self.begun, true) {
                        reply.in_flight.record_first_bytes();
                        self.log_begun();
                    }
                    let bytes = self.take(bytes);
                    if !bytes.is_empty() {
                        self.passed_bytes += bytes.len();
                        return Some(Ok(bytes));
                    }
                }
                Read::End if self.buffer.is_empty() => {
                    let status = reply.status;
                    if let Some(reply) = self.reply.take() {
                        reply.finished();
                    }
                    crashes::note_answered(&self.gateway, self.job.outgoing.fingerprint);
                    log_end(&self.job, &self.choice, status, self.passed_bytes);
                    return None;
                }
                Read::End => {
                    if let Some(broken) = self.resume("ends within an event").await {
                        return Some(Err(broken));
                    }
                }
                Read::Silent => self.leave_silent().await,
                Read::Displaced => self.move_on().await,
                Read::Broken(cause) => {
                    reply.in_flight.record_failure();
                    if let Some(broken) = self.resume(&cause).await {
                        return Some(Err(broken));
                    }
                }
            }
        }
    }

    /// What of the bytes can be passed on now.
    fn take(&mut self, bytes: Bytes) -> Bytes {
        if self.job.outgoing.repeat != Repeat::StreamResumable {
            return bytes;
        }
        self.buffer.extend_from_slice(&bytes);
        let Some(end) = last_event_end(&self.buffer) else {
            return Bytes::new();
        };
        let events = self.buffer.split_to(end).freeze();
        if let Some(id) = last_event_id(&events) {
            self.last_event = Some(id);
        }
        events
    }

    /// Goes on at another upstream; an error when that is not possible.
    async fn resume(&mut self, cause: &str) -> Option<BodyAborted> {
        self.log_broken(cause);
        self.reply = None;
        crashes::note_broken_off(
            &self.gateway,
            &self.choice.upstream,
            self.job.outgoing.fingerprint,
        );
        if self.job.outgoing.repeat != Repeat::StreamResumable {
            return Some(BodyAborted::Upstream);
        }
        loop {
            let Some(choice) = self.other_place().await else {
                return Some(BodyAborted::Upstream);
            };
            if self.go_on_at(choice).await {
                return None;
            }
        }
    }

    /// Another upstream that may go on with the stream; takes the budget.
    async fn other_place(&mut self) -> Option<Choice> {
        self.note_ran();
        resume_place(&self.gateway, &self.job).await
    }

    /// Notes that the stream ran where it is.
    fn note_ran(&mut self) {
        self.job.ran_perhaps = true;
        if !self.job.tried.contains(&self.choice.upstream) {
            self.job.note_sent(&self.choice.upstream);
        }
    }

    /// Takes the stream from another upstream, which begins after the last event.
    fn go_on_with(&mut self, reply: UpstreamResponse, choice: Choice) {
        self.reply = Some(reply);
        self.buffer.clear();
        self.choice = choice;
    }

    /// Whether an upstream goes on with the stream.
    async fn go_on_at(&mut self, mut choice: Choice) -> bool {
        let after = self.last_event.as_deref();
        let attempted = loop {
            tokio::select! {
                biased;
                attempted = attempt(&self.gateway, &self.job.outgoing, &choice, after) => {
                    break attempted;
                }
                other = silence::place_when_silent(&self.gateway, &self.job, &choice) => {
                    note_left(&mut self.job, &choice);
                    choice = other;
                    log_attempt(&self.gateway, &self.job, &choice);
                }
            }
        };
        let Some(reply) = success(attempted) else {
            self.job.note_sent(&choice.upstream);
            return false;
        };
        info!(target: "relay", "event=resumed request={} upstream={} after_event={}",
            self.job.outgoing.request_id, choice.upstream.id, after.unwrap_or("-"));
        self.go_on_with(reply, choice);
        true
    }

    fn log_begun(&self) {
        let first_s = seconds_since(self.job.arrived_at_ms);
        metrics::histogram!("coursestile_first_event_seconds").record(first_s);
        debug!(target: "relay", "event=begun request={} upstream={}",
            self.job.outgoing.request_id, self.choice.upstream.id);
    }

    fn log_broken(&self, cause: &str) {
        info!(target: "relay",
            "event=stream_broken request={} upstream={} cause=\"{cause}\" passed_bytes={} held_ms={}",
            self.job.outgoing.request_id, self.choice.upstream.id, self.passed_bytes,
            now_ms() - self.job.arrived_at_ms);
    }
}

/// The next of a body, after what was read `ahead`.
async fn read(ahead: Option<Read>, body: &mut Incoming) -> Read {
    if let Some(ahead) = ahead {
        return ahead;
    }
    loop {
        match body.frame().await {
            None => return Read::End,
            Some(Err(error)) => {
                return Read::Broken(crate::gateway::connections::error_with_cause(&error));
            }
            Some(Ok(frame)) => {
                if let Ok(bytes) = frame.into_data() {
                    return Read::Data(bytes);
                }
            }
        }
    }
}
