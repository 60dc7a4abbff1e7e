//! Moves streams off upstreams that might still complete them: a silent one, or one that is about
//! to load weights, which waits for its running requests to end.

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

/// Time within which another upstream must begin to resume a stream that is moved off an upstream
/// about to load weights.
const MOVE_TIMEOUT: Duration = Duration::from_millis(600);
/// A stream is moved off an engine that is about to load weights only if another engine is
/// expected to resume it within this time. Resuming repeats the prefill of the prompt, and other
/// requests wait there meanwhile.
const QUICK_MOVE_MS: f64 = 100.0;
/// How often it is checked whether a stream should be moved; short compared to a load of weights.
const MOVE_CHECK_PERIOD: Duration = Duration::from_millis(50);
/// Pause before another upstream is looked for again, in which the load of upstreams changes.
const MOVE_RETRY_PAUSE: Duration = Duration::from_millis(200);

/// How an attempt to move a stream ended. The texts are logged.
#[derive(Clone, Copy, Debug, PartialEq, Eq, displaydoc::Display)]
enum MoveEnd {
    /// moved
    Moved,
    /// not answered
    NotAnswered,
    /// too slow
    TooSlow,
    /// the first went on
    PreviousContinued,
}

impl Relay {
    /// Asks another upstream, if there is one, to resume the stream in place of a silent one. The
    /// silent one may only be busy, so the stream is still read from it until the other one
    /// responds.
    pub(super) async fn move_off_silent(&mut self) {
        let previous = self.choice.upstream.clone();
        let alternative = find_alternative(&self.gateway, &self.request, &previous);
        // The stream may be moved again as long as attempts are left: the other upstream may
        // reject it, or hang as well.
        self.may_move_at = Some(Instant::now() + MOVE_RETRY_PAUSE);
        let Some(choice) = alternative else { return };
        let Some(mut silent) = self.response.take() else { return };
        self.record_ran();
        log_attempt_start(&self.gateway, &self.request, &choice);
        let last_event_id = self.last_event_id.as_deref();
        let attempt = attempt(&self.gateway, &self.request.outgoing, &choice, last_event_id);
        let (resumed, read) = race_with_silent(&mut silent.body, attempt).await;
        let end = match (&resumed, &read) {
            (Some(_), _) => MoveEnd::Moved,
            (None, Some(ReadOutcome::Data(_) | ReadOutcome::End)) => MoveEnd::PreviousContinued,
            (None, _) => MoveEnd::NotAnswered,
        };
        self.log_move(&previous.id, &choice, end);
        if let Some(resumed) = resumed {
            self.switch_to(resumed, choice);
        } else {
            self.request.record_attempt(&choice.upstream);
            self.response = Some(silent);
            self.read_ahead = read;
        }
    }

    /// Another upstream for a stream that its present one could complete, so that the present one
    /// can load weights sooner. The stream is moved only once for this; if there is no other
    /// upstream now, it is looked for again later.
    async fn find_upstream_to_move_to(&mut self) -> Option<Choice> {
        let delays_load =
            self.response.as_ref().is_some_and(|response| response.in_flight.delays_weight_load());
        let choice = if delays_load {
            self.find_other_upstream().await
        } else {
            self.record_ran();
            find_quick_upstream(&self.gateway, &self.request, QUICK_MOVE_MS)
        };
        self.may_move_at = choice.is_none().then(|| Instant::now() + MOVE_RETRY_PAUSE);
        choice
    }

    /// Has another upstream resume the stream, because its present one is about to load weights.
    /// The present one keeps the stream until the other responds.
    pub(super) async fn move_off_loading(&mut self) {
        let previous = self.choice.upstream.id.clone();
        let Some(choice) = self.find_upstream_to_move_to().await else { return };
        let last_event_id = self.last_event_id.as_deref();
        let attempt = attempt(&self.gateway, &self.request.outgoing, &choice, last_event_id);
        let (end, response) = match timeout(MOVE_TIMEOUT, attempt).await.map(successful_response) {
            Ok(Some(response)) => (MoveEnd::Moved, Some(response)),
            Ok(None) => (MoveEnd::NotAnswered, None),
            Err(_) => (MoveEnd::TooSlow, None),
        };
        self.log_move(&previous, &choice, end);
        match response {
            Some(response) => self.switch_to(response, choice),
            // The request may have begun to run there.
            None => self.request.record_attempt(&choice.upstream),
        }
    }

    fn log_move(&self, previous: &str, choice: &Choice, end: MoveEnd) {
        info!(target: "relay", "event=stream_moved request={} from={previous} to={} end=\"{end}\"",
            self.request.outgoing.request_id, choice.upstream.id);
    }
}

/// Waits for a reason to move the stream off an upstream that might still complete it.
pub(super) async fn wait_for_reason(
    in_flight: &InFlight,
    has_event: bool,
    may_move_at: Option<Instant>,
) -> ReadOutcome {
    let Some(may_move_at) = may_move_at else { return pending().await };
    sleep_until(may_move_at).await;
    loop {
        if in_flight.is_lost() || in_flight.is_abandoned() {
            return ReadOutcome::Silent;
        }
        if has_event && in_flight.is_loading() {
            return ReadOutcome::MustMove;
        }
        sleep(MOVE_CHECK_PERIOD).await;
    }
}

/// Waits for whichever comes first: more of a silent stream, or the response of another upstream
/// that is asked to resume it. If the stream breaks off, only the response is waited for.
async fn race_with_silent(
    body: &mut Incoming,
    attempt: impl Future<Output = AttemptOutcome>,
) -> (Option<UpstreamResponse>, Option<ReadOutcome>) {
    let mut attempt = pin!(attempt);
    let read = tokio::select! {
        read = read(None, body) => read,
        outcome = &mut attempt => return (successful_response(outcome), None),
    };
    match read {
        ReadOutcome::Broken(_) => (successful_response(attempt.await), Some(read)),
        _ => (None, Some(read)),
    }
}
