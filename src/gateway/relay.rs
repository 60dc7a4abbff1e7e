//! Streams of events, passed on as they arrive.
//!
//! A stream that may be taken up again is passed on by whole events, so that
//! another upstream can go on after the last one when the first breaks off.

use std::pin::Pin;
use std::sync::Arc;
use std::task::{Context, Poll};

use bytes::{Bytes, BytesMut};
use futures_util::stream;
use http_body_util::{BodyExt, StreamBody};
use hyper::body::{Body as HttpBody, Frame, Incoming, SizeHint};
use log::{debug, info};
use tokio::time::timeout_at;

use crate::clock::{instant_at, now_ms};
use crate::gateway::answer::{self, Answer, Body, BrokenOff};
use crate::gateway::attempt::{Attempted, Reply, attempt, silence};
use crate::gateway::check::Job;
use crate::gateway::choose::Choice;
use crate::gateway::kernel::Gateway;
use crate::gateway::serve::{log_end, resume_place, seconds_since};
use crate::gateway::site::Repeat;

/// What ends an event.
const EVENT_END: &[u8] = b"\n\n";

/// A body that keeps something alive until it has been passed on.
struct With<T> {
    body: Body,
    _kept: T,
}

impl<T: Unpin> HttpBody for With<T> {
    type Data = Bytes;
    type Error = BrokenOff;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, BrokenOff>>> {
        Pin::new(&mut self.body).poll_frame(context)
    }

    fn is_end_stream(&self) -> bool {
        self.body.is_end_stream()
    }

    fn size_hint(&self) -> SizeHint {
        self.body.size_hint()
    }
}

/// Keeps `kept` alive until `body` has been passed on.
pub fn with<T: Unpin + Send + 'static>(body: Body, kept: T) -> Body {
    With { body, _kept: kept }.boxed_unsync()
}

/// A stream under way.
struct Relay {
    gateway: Arc<Gateway>,
    job: Job,
    choice: Choice,
    reply: Option<Reply>,
    buffer: BytesMut,
    last_event: Option<String>,
    /// What was read before, and not passed on yet.
    pending: Bytes,
    passed_bytes: usize,
    begun: bool,
}

/// Passes a body on as it arrives, after what was read of it already.
pub fn stream(
    gateway: &Arc<Gateway>,
    job: &mut Job,
    reply: Reply,
    choice: &Choice,
    pending: Bytes,
) -> Answer {
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
    };
    let frames = stream::unfold(relay, |mut relay| async move {
        let next = relay.next().await?;
        Some((next.map(Frame::data), relay))
    });
    answer::passed_on(status, &head, StreamBody::new(frames).boxed_unsync())
}

enum Read {
    Data(Bytes),
    End,
    Broken(String),
}

impl Relay {
    /// The next bytes for the client; `None` at the end.
    async fn next(&mut self) -> Option<Result<Bytes, BrokenOff>> {
        if !self.pending.is_empty() {
            let pending = std::mem::take(&mut self.pending);
            self.passed_bytes += pending.len();
            return Some(Ok(pending));
        }
        loop {
            let reply = self.reply.as_mut()?;
            let deadline = instant_at(self.job.outgoing.deadline_ms);
            let resumable = self.job.outgoing.repeat == Repeat::StreamResumable;
            let next = timeout_at(deadline, read(&mut reply.body));
            let next = tokio::select! {
                next = next => next,
                () = silence(&reply.place), if resumable => {
                    Ok(Read::Broken("the upstream is silent".to_owned()))
                }
            };
            let Ok(next) = next else {
                self.reply = None;
                self.log_broken("time_over");
                return Some(Err(BrokenOff::TimeOver));
            };
            match next {
                Read::Data(bytes) => {
                    reply.place.heard();
                    if !std::mem::replace(&mut self.begun, true) {
                        reply.place.read_prompt();
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
                    log_end(&self.job, &self.choice, status, self.passed_bytes);
                    return None;
                }
                Read::End => {
                    if let Some(broken) = self.resume("ends within an event").await {
                        return Some(Err(broken));
                    }
                }
                Read::Broken(cause) => {
                    reply.place.failed();
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
    async fn resume(&mut self, cause: &str) -> Option<BrokenOff> {
        self.log_broken(cause);
        self.reply = None;
        self.buffer.clear();
        if self.job.outgoing.repeat != Repeat::StreamResumable {
            return Some(BrokenOff::Upstream);
        }
        loop {
            self.job.ran_perhaps = true;
            let id = self.choice.id.clone();
            self.job.note_sent(&id);
            let Some(choice) = resume_place(&self.gateway, &self.job).await else {
                return Some(BrokenOff::Upstream);
            };
            self.choice = choice;
            let after = self.last_event.as_deref();
            let attempted = attempt(&self.gateway, &self.job.outgoing, &self.choice, after).await;
            if let Attempted::Answered(reply) = attempted
                && reply.status.is_success()
            {
                info!(target: "relay", "event=resumed request={} upstream={} after_event={}",
                    self.job.outgoing.request_id, self.choice.id, after.unwrap_or("-"));
                self.reply = Some(*reply);
                return None;
            }
        }
    }

    fn log_begun(&self) {
        let first_s = seconds_since(self.job.arrived_at_ms);
        metrics::histogram!("coursestile_first_event_seconds").record(first_s);
        debug!(target: "relay", "event=begun request={} upstream={}",
            self.job.outgoing.request_id, self.choice.id);
    }

    fn log_broken(&self, cause: &str) {
        info!(target: "relay",
            "event=stream_broken request={} upstream={} cause=\"{cause}\" passed_bytes={} held_ms={}",
            self.job.outgoing.request_id, self.choice.id, self.passed_bytes,
            now_ms() - self.job.arrived_at_ms);
    }
}

async fn read(body: &mut Incoming) -> Read {
    loop {
        match body.frame().await {
            None => return Read::End,
            Some(Err(error)) => {
                return Read::Broken(crate::gateway::connections::with_cause(&error));
            }
            Some(Ok(frame)) => {
                if let Ok(bytes) = frame.into_data() {
                    return Read::Data(bytes);
                }
            }
        }
    }
}

/// End of the last whole event.
fn last_event_end(bytes: &[u8]) -> Option<usize> {
    let start = bytes.windows(EVENT_END.len()).rposition(|window| window == EVENT_END)?;
    Some(start + EVENT_END.len())
}

/// Id of the last event that has one.
fn last_event_id(events: &[u8]) -> Option<String> {
    let mut lines = events.split(|byte| *byte == b'\n').rev();
    let id = lines.find_map(|line| line.strip_prefix(b"id:"))?;
    Some(String::from_utf8_lossy(id).trim().to_owned())
}
