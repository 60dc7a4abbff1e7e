//! Streams that leave an upstream which could still go on with them: one that is silent, or
//! one that is to load weights, which waits for all that it runs.

use std::future::pending;
use std::pin::pin;
use std::time::Duration;

use hyper::body::Incoming;
use log::info;
use tokio::time::{Instant, sleep, sleep_until, timeout};

use super::{Read, Relay, read, success};
use crate::gateway::attempt::{Attempted, UpstreamResponse, attempt};
use crate::gateway::decisions::choose::Choice;
use crate::gateway::in_flight::InFlight;
use crate::gateway::request_log::log_attempt;
use crate::gateway::serve::quick_place;
use crate::gateway::silence::place_beside;

/// Time in which another upstream must go on with a stream that its own could go on
/// with.
const MOVE_TIMEOUT: Duration = Duration::from_millis(600);
/// Time in which another engine must be expected to go on with a stream, that it may leave
/// one which is to load weights: others wait there while its prompt is read again.
const QUICK_MOVE_MS: f64 = 100.0;
/// Time between two looks whether a stream should leave its upstream: short beside
/// a load of weights.
const LEAVE_LOOK_PERIOD: Duration = Duration::from_millis(50);
/// Time until another upstream is looked for again: that in which places change.
const LEAVE_AGAIN_PAUSE: Duration = Duration::from_millis(200);

/// How the attempt ended to have another upstream go on.
#[derive(Clone, Copy, Debug, PartialEq, Eq, displaydoc::Display)]
enum MoveEnd {
    /// moved
    Moved,
    /// not answered
    NotAnswered,
    /// too slow
    TooSlow,
    /// the first went on
    FirstWentOn,
}

impl Relay {
    /// Asks another upstream to go on in place of a silent one, if one can. What is
    /// silent may only be busy: it is listened to until the other answers.
    pub(super) async fn leave_silent(&mut self) {
        let before = self.choice.upstream.clone();
        let beside = place_beside(&self.gateway, &self.job, &before);
        // An upstream that hangs is left again, as long as there are attempts: the other may
        // turn the stream away, or hang too.
        self.may_leave_at = Some(Instant::now() + LEAVE_AGAIN_PAUSE);
        let Some(choice) = beside else { return };
        let Some(mut first) = self.reply.take() else { return };
        self.note_ran();
        log_attempt(&self.gateway, &self.job, &choice);
        let after = self.last_event.as_deref();
        let attempted = attempt(&self.gateway, &self.job.outgoing, &choice, after);
        let (other, read) = first_of(&mut first.body, attempted).await;
        let end = match (&other, &read) {
            (Some(_), _) => MoveEnd::Moved,
            (None, Some(Read::Data(_) | Read::End)) => MoveEnd::FirstWentOn,
            (None, _) => MoveEnd::NotAnswered,
        };
        self.log_move(&before.id, &choice, end);
        if let Some(other) = other {
            self.go_on_with(other, choice);
        } else {
            self.job.note_sent(&choice.upstream);
            self.reply = Some(first);
            self.ahead = read;
        }
    }

    /// Another upstream for a stream that its own could go on with, which then loads the
    /// sooner. It leaves once only; when there is none, it is looked for again later.
    async fn place_to_leave_for(&mut self) -> Option<Choice> {
        let held_up = self.reply.as_ref().is_some_and(|reply| reply.in_flight.delays_weight_load());
        let choice = if held_up {
            self.other_place().await
        } else {
            self.note_ran();
            quick_place(&self.gateway, &self.job, QUICK_MOVE_MS)
        };
        self.may_leave_at = choice.is_none().then(|| Instant::now() + LEAVE_AGAIN_PAUSE);
        choice
    }

    /// Has another upstream go on. Until it answers, this one keeps the stream.
    pub(super) async fn move_on(&mut self) {
        let before = self.choice.upstream.id.clone();
        let Some(choice) = self.place_to_leave_for().await else { return };
        let after = self.last_event.as_deref();
        let attempted = attempt(&self.gateway, &self.job.outgoing, &choice, after);
        let (end, reply) = match timeout(MOVE_TIMEOUT, attempted).await.map(success) {
            Ok(Some(reply)) => (MoveEnd::Moved, Some(reply)),
            Ok(None) => (MoveEnd::NotAnswered, None),
            Err(_) => (MoveEnd::TooSlow, None),
        };
        self.log_move(&before, &choice, end);
        match reply {
            Some(reply) => self.go_on_with(reply, choice),
            // It may have begun there.
            None => self.job.note_sent(&choice.upstream),
        }
    }

    fn log_move(&self, before: &str, choice: &Choice, end: MoveEnd) {
        info!(target: "relay", "event=stream_moved request={} from={before} to={} end=\"{end}\"",
            self.job.outgoing.request_id, choice.upstream.id);
    }
}

/// Waits until there is a reason to leave an upstream that may still go on.
pub(super) async fn wait_for_reason(
    in_flight: &InFlight,
    begun: bool,
    may_leave_at: Option<Instant>,
) -> Read {
    let Some(may_leave_at) = may_leave_at else { return pending().await };
    sleep_until(may_leave_at).await;
    loop {
        if in_flight.is_silent() {
            return Read::Silent;
        }
        if begun && in_flight.is_loading() {
            return Read::Displaced;
        }
        sleep(LEAVE_LOOK_PERIOD).await;
    }
}

/// What comes first: more of a stream that was silent, or the answer of another upstream
/// that is to go on with it. When the stream breaks off, only the answer is waited for.
async fn first_of(
    body: &mut Incoming,
    attempted: impl Future<Output = Attempted>,
) -> (Option<UpstreamResponse>, Option<Read>) {
    let mut attempted = pin!(attempted);
    let read = tokio::select! {
        read = read(None, body) => read,
        attempted = &mut attempted => return (success(attempted), None),
    };
    match read {
        Read::Broken(_) => (success(attempted.await), Some(read)),
        _ => (None, Some(read)),
    }
}
