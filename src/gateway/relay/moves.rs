//! Streams that leave an upstream which could still go on with them: one that is silent, or
//! one that is to load weights, which waits for all that it runs.

use std::future::pending;
use std::pin::pin;
use std::time::Duration;

use hyper::body::Incoming;
use log::info;
use tokio::time::{Instant, sleep, sleep_until, timeout};

use super::{ReadOutcome, Relay, read, successful_response};
use crate::gateway::attempt::{AttemptOutcome, UpstreamResponse, attempt};
use crate::gateway::decisions::choose::Choice;
use crate::gateway::in_flight::InFlight;
use crate::gateway::request_log::log_attempt_start;
use crate::gateway::serve::find_quick_upstream;
use crate::gateway::silence::find_alternative;

/// Time in which another upstream must go on with a stream that its own could go on
/// with.
const MOVE_TIMEOUT: Duration = Duration::from_millis(600);
/// Time in which another engine must be expected to go on with a stream, that it may leave
/// one which is to load weights: others wait there while its prompt is read again.
const QUICK_MOVE_MS: f64 = 100.0;
/// Time between two looks whether a stream should leave its upstream: short beside
/// a load of weights.
const MOVE_CHECK_PERIOD: Duration = Duration::from_millis(50);
/// Time until another upstream is looked for again: that in which places change.
const MOVE_RETRY_PAUSE: Duration = Duration::from_millis(200);

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
    pub(super) async fn move_off_silent(&mut self) {
        let before = self.choice.upstream.clone();
        let beside = find_alternative(&self.gateway, &self.request, &before);
        // An upstream that hangs is left again, as long as there are attempts: the other may
        // turn the stream away, or hang too.
        self.may_move_at = Some(Instant::now() + MOVE_RETRY_PAUSE);
        let Some(choice) = beside else { return };
        let Some(mut first) = self.response.take() else { return };
        self.record_ran();
        log_attempt_start(&self.gateway, &self.request, &choice);
        let after = self.last_event_id.as_deref();
        let attempted = attempt(&self.gateway, &self.request.outgoing, &choice, after);
        let (other, read) = race_with_silent(&mut first.body, attempted).await;
        let end = match (&other, &read) {
            (Some(_), _) => MoveEnd::Moved,
            (None, Some(ReadOutcome::Data(_) | ReadOutcome::End)) => MoveEnd::FirstWentOn,
            (None, _) => MoveEnd::NotAnswered,
        };
        self.log_move(&before.id, &choice, end);
        if let Some(other) = other {
            self.switch_to(other, choice);
        } else {
            self.request.record_attempt(&choice.upstream);
            self.response = Some(first);
            self.read_ahead = read;
        }
    }

    /// Another upstream for a stream that its own could go on with, which then loads the
    /// sooner. It leaves once only; when there is none, it is looked for again later.
    async fn find_upstream_to_move_to(&mut self) -> Option<Choice> {
        let held_up =
            self.response.as_ref().is_some_and(|response| response.in_flight.delays_weight_load());
        let choice = if held_up {
            self.find_other_upstream().await
        } else {
            self.record_ran();
            find_quick_upstream(&self.gateway, &self.request, QUICK_MOVE_MS)
        };
        self.may_move_at = choice.is_none().then(|| Instant::now() + MOVE_RETRY_PAUSE);
        choice
    }

    /// Has another upstream go on. Until it answers, this one keeps the stream.
    pub(super) async fn move_off_loading(&mut self) {
        let before = self.choice.upstream.id.clone();
        let Some(choice) = self.find_upstream_to_move_to().await else { return };
        let after = self.last_event_id.as_deref();
        let attempted = attempt(&self.gateway, &self.request.outgoing, &choice, after);
        let (end, response) = match timeout(MOVE_TIMEOUT, attempted).await.map(successful_response)
        {
            Ok(Some(response)) => (MoveEnd::Moved, Some(response)),
            Ok(None) => (MoveEnd::NotAnswered, None),
            Err(_) => (MoveEnd::TooSlow, None),
        };
        self.log_move(&before, &choice, end);
        match response {
            Some(response) => self.switch_to(response, choice),
            // It may have begun there.
            None => self.request.record_attempt(&choice.upstream),
        }
    }

    fn log_move(&self, before: &str, choice: &Choice, end: MoveEnd) {
        info!(target: "relay", "event=stream_moved request={} from={before} to={} end=\"{end}\"",
            self.request.outgoing.request_id, choice.upstream.id);
    }
}

/// Waits until there is a reason to leave an upstream that may still go on.
pub(super) async fn wait_for_reason(
    in_flight: &InFlight,
    begun: bool,
    may_move_at: Option<Instant>,
) -> ReadOutcome {
    let Some(may_move_at) = may_move_at else { return pending().await };
    sleep_until(may_move_at).await;
    loop {
        if in_flight.is_silent() {
            return ReadOutcome::Silent;
        }
        if begun && in_flight.is_loading() {
            return ReadOutcome::MustMove;
        }
        sleep(MOVE_CHECK_PERIOD).await;
    }
}

/// What comes first: more of a stream that was silent, or the answer of another upstream
/// that is to go on with it. When the stream breaks off, only the answer is waited for.
async fn race_with_silent(
    body: &mut Incoming,
    attempted: impl Future<Output = AttemptOutcome>,
) -> (Option<UpstreamResponse>, Option<ReadOutcome>) {
    let mut attempted = pin!(attempted);
    let read = tokio::select! {
        read = read(None, body) => read,
        attempted = &mut attempted => return (successful_response(attempted), None),
    };
    match read {
        ReadOutcome::Broken(_) => (successful_response(attempted.await), Some(read)),
        _ => (None, Some(read)),
    }
}
