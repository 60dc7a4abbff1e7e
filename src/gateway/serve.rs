//! Serves one request: checks it, finds an upstream, passes its answer on.

use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use hyper::body::Incoming;
use hyper::{Request, StatusCode};
use tokio::time::{Instant, timeout_at};

use crate::clock::{instant_at, now_ms};
use crate::gateway::attempt::{Attempted, NotRunCause, Start, UpstreamResponse, attempt};
use crate::gateway::check::{Job, check};
use crate::gateway::decisions::admission::{AdmissionCriteria, Occupancy};
use crate::gateway::decisions::candidates::Candidates;
use crate::gateway::decisions::choose::{Choice, choose};
use crate::gateway::decisions::demand::Demand;
use crate::gateway::decisions::site::Repeat;
use crate::gateway::decisions::stores::Placement;
use crate::gateway::decisions::upstream::Upstream;
use crate::gateway::decisions::weights::NamedVersions;
use crate::gateway::kernel::{Gateway, State};
use crate::gateway::refuse::{RETRY_AFTER_MS, give_up, hold_back, no_place, refuse_at_once};
use crate::gateway::request_log::{log_attempt, log_attempt_end, log_end, log_unread};
use crate::gateway::response::{self, ClientResponse, Reason};
use crate::gateway::{crashes, outdated_weights, quarantine, relay, silence};
use crate::names::number;
use crate::platform::exchange;

/// Part of the latency objective after which a request that found no place is refused.
const WAIT_PART: u64 = 4;
/// Connections to an upstream that a box may have in any case: one for a request
/// and one for the look whether it can be reached.
const LEAST_CONNECTIONS: u32 = 2;
/// Attempts that may reach nobody before the request is given up: each may
/// take the 300 ms of a connection.
const MAX_UNSENT: u32 = 4;
/// Least time that must be left for another attempt: some round trips.
const LEAST_LEFT_MS: u64 = 20;
/// Pause before an attempt when the last one was turned away.
const AGAIN_PAUSE: Duration = Duration::from_millis(5);

/// Counts a request for as long as it is served.
struct Serving(Arc<Gateway>);

impl Serving {
    fn new(gateway: &Arc<Gateway>) -> Self {
        gateway.state().requests_in_flight += 1;
        Self(gateway.clone())
    }
}

impl Drop for Serving {
    fn drop(&mut self) {
        self.0.state().requests_in_flight -= 1;
    }
}

/// Serves a request.
pub async fn serve(gateway: Arc<Gateway>, request: Request<Incoming>) -> ClientResponse {
    let serving = Serving::new(&gateway);
    let arrived_at_ms = now_ms();
    let (parts, body) = request.into_parts();
    let asked = exchange::request_head(&parts.uri, &parts.headers);
    let request_id = asked.request_id.clone();
    let job = match check(&gateway, &asked, parts, body, arrived_at_ms).await {
        Ok(job) => job,
        Err(reason) => {
            let retry_after_ms = (reason == Reason::NotReady).then_some(RETRY_AFTER_MS);
            let configuration = gateway.state().site.as_ref().map_or(0, |site| site.version);
            log_unread(request_id.as_deref(), reason, configuration, arrived_at_ms);
            return response::refusal(reason, request_id.as_deref(), retry_after_ms);
        }
    };
    gateway.state().budget.earn(arrived_at_ms, &job.service);
    let mut answer = run(&gateway, job).await;
    // The request is served until its body has been passed on.
    let body = std::mem::replace(answer.body_mut(), response::whole(Bytes::new()));
    *answer.body_mut() = response::with(body, serving);
    answer
}

/// Has a request run, at one upstream after the other if need be.
async fn run(gateway: &Arc<Gateway>, mut job: Job) -> ClientResponse {
    let wait_until = instant_at(job.arrived_at_ms + job.route.latency_objective_ms / WAIT_PART);
    let mut next = None;
    loop {
        if let Some(until_ms) = quarantine::quarantined_until_ms(gateway, job.outgoing.fingerprint)
        {
            return hold_back(&job, Reason::Quarantined, until_ms);
        }
        let found = match next.take() {
            Some(choice) => Some(choice),
            None => find_place(gateway, &job, wait_until).await,
        };
        let Some(choice) = found else {
            return no_place(gateway, &job);
        };
        if choice.occupancy == Occupancy::Full && !job.ran_perhaps {
            return refuse_at_once(&job);
        }
        log_attempt(gateway, &job, &choice);
        let attempted = tokio::select! {
            // An answer that is there is not left for another place.
            biased;
            attempted = attempt(gateway, &job.outgoing, &choice, None) => attempted,
            other = silence::place_when_silent(gateway, &job, &choice) => {
                note_left(&mut job, &choice);
                next = Some(other);
                continue;
            }
            () = outdated_weights::must_not_begin(gateway, &job, &choice) => {
                Attempted::Unknown { cause: "its weights are overdue".to_owned() }
            }
            () = quarantine::wait_until_quarantined(gateway, job.outgoing.fingerprint) => {
                Attempted::Unknown { cause: "upstreams crash under it".to_owned() }
            }
        };
        if let Some(answer) = settle(gateway, &mut job, &choice, attempted).await {
            return answer;
        }
        tokio::time::sleep(AGAIN_PAUSE).await;
    }
}

/// What an attempt means for its request: an answer, or `None` when it is to
/// be sent again.
async fn settle(
    gateway: &Arc<Gateway>,
    job: &mut Job,
    choice: &Choice,
    attempted: Attempted,
) -> Option<ClientResponse> {
    match attempted {
        Attempted::Answered(reply) => pass_on(gateway, job, *reply, choice).await,
        Attempted::NotRun { cause } => {
            note_turned_away(gateway, job, choice, cause);
            log_attempt_end(job, choice, "not_run", &cause.to_string());
            if cause == NotRunCause::OtherIncarnation {
                return misdirected(gateway, job, choice);
            }
            try_elsewhere(gateway, job, choice, Reason::UpstreamsFull)
        }
        Attempted::NotSent { cause } => {
            log_attempt_end(job, choice, "not_sent", &cause);
            unsent(gateway, job, choice)
        }
        Attempted::Unknown { cause } => lost(gateway, job, choice, &cause),
        Attempted::TimeOver => Some(time_over(job, choice)),
    }
}

/// After an attempt that reached nobody, which costs neither an attempt nor
/// budget.
fn unsent(gateway: &Gateway, job: &mut Job, choice: &Choice) -> Option<ClientResponse> {
    job.unsent += 1;
    if job.unsent >= MAX_UNSENT || now_ms() >= job.outgoing.deadline_ms {
        return Some(give_up(job, Reason::NoUpstream));
    }
    job.tried.push(choice.upstream.clone());
    if untried(gateway, job) == 0 {
        job.tried.clear();
    }
    None
}

/// After an attempt that reached another upstream than was meant, which turned
/// it away. The one that was meant is gone, so that it costs budget only.
fn misdirected(gateway: &Gateway, job: &mut Job, choice: &Choice) -> Option<ClientResponse> {
    if !spend(gateway, job, now_ms()) {
        return Some(give_up(job, Reason::UpstreamsFull));
    }
    unsent(gateway, job, choice)
}

/// After an attempt that may have run.
fn lost(gateway: &Gateway, job: &mut Job, choice: &Choice, cause: &str) -> Option<ClientResponse> {
    job.ran_perhaps = true;
    log_attempt_end(job, choice, "unknown", cause);
    try_elsewhere(gateway, job, choice, Reason::UpstreamFailed)
}

/// After an attempt that was left for another upstream.
pub fn note_left(job: &mut Job, choice: &Choice) {
    job.ran_perhaps = true;
    job.note_sent(&choice.upstream);
    log_attempt_end(job, choice, "unknown", "the upstream is silent");
}

fn time_over(job: &mut Job, choice: &Choice) -> ClientResponse {
    job.ran_perhaps = true;
    log_attempt_end(job, choice, "time_over", "");
    give_up(job, Reason::UpstreamSilent)
}

/// `None` when the request is to be sent to another upstream.
fn try_elsewhere(
    gateway: &Gateway,
    job: &mut Job,
    choice: &Choice,
    reason: Reason,
) -> Option<ClientResponse> {
    job.note_sent(&choice.upstream);
    (!may_try_again(gateway, job)).then(|| give_up(job, reason))
}

/// Upstreams of the service that the request was not sent to.
fn untried(gateway: &Gateway, job: &Job) -> usize {
    let state = gateway.state();
    let tried = |one: &Upstream| job.tried.iter().any(|tried| one.is(tried));
    state.upstreams.of(&job.service).filter(|one| !tried(one)).count()
}

/// Whether the request can be sent to another upstream; takes the budget.
fn may_try_again(gateway: &Gateway, job: &Job) -> bool {
    let now_ms = now_ms();
    has_attempt_left(job, now_ms) && spend(gateway, job, now_ms)
}

/// Whether the request may be sent to another upstream, but for the budget.
pub(super) fn has_attempt_left(job: &Job, now_ms: u64) -> bool {
    let allowed = !job.ran_perhaps || job.outgoing.repeat.may_run_again();
    let time_left = now_ms + LEAST_LEFT_MS < job.outgoing.deadline_ms;
    allowed && job.sent < job.route.attempts && time_left
}

/// Takes a repeat from the budget; there is none for what upstreams crash under.
pub(super) fn spend(gateway: &Gateway, job: &Job, now_ms: u64) -> bool {
    let mut state = gateway.state();
    if state.quarantine.until_ms(now_ms, job.outgoing.fingerprint).is_some() {
        return false;
    }
    let boxes = state.peers.live_boxes(now_ms);
    state.budget.spend(now_ms, &job.service, boxes)
}

/// Passes an upstream's answer on; `None` when the request is to be sent again.
async fn pass_on(
    gateway: &Arc<Gateway>,
    job: &mut Job,
    mut reply: UpstreamResponse,
    choice: &Choice,
) -> Option<ClientResponse> {
    if let (Some(version), Some(prompt)) = (reply.told.ran_version, &job.prompt) {
        reply.in_flight.record_version(&prompt.model, version);
    }
    if job.outgoing.repeat.is_stream() && reply.status.is_success() {
        return Some(relay::stream(gateway, job, reply, choice, Bytes::new()));
    }
    let deadline = instant_at(job.outgoing.deadline_ms);
    match timeout_at(deadline, reply.read_start()).await {
        Ok(Ok(Start::Whole(bytes))) => {
            let (status, head) = (reply.status, reply.head.clone());
            reply.finished();
            crashes::note_answered(gateway, job.outgoing.fingerprint);
            if status.is_server_error() && repeats_failure(gateway, job, choice, status) {
                return None;
            }
            log_end(job, choice, status, bytes.len());
            Some(response::passed_on(status, &head, response::whole(bytes)))
        }
        Ok(Ok(Start::Part(bytes))) => Some(relay::stream(gateway, job, reply, choice, bytes)),
        Ok(Err(cause)) => {
            reply.in_flight.record_failure();
            crashes::note_broken_off(gateway, &choice.upstream, job.outgoing.fingerprint);
            lost(gateway, job, choice, &cause)
        }
        Err(_) => Some(time_over(job, choice)),
    }
}

/// Whether a request that an upstream has failed is sent to another; if not,
/// the upstream's own answer is the answer.
fn repeats_failure(gateway: &Gateway, job: &mut Job, choice: &Choice, status: StatusCode) -> bool {
    if job.outgoing.repeat != Repeat::Repeatable {
        return false;
    }
    job.note_sent(&choice.upstream);
    let repeats = untried(gateway, job) > 0 && may_try_again(gateway, job);
    if repeats {
        job.ran_perhaps = true;
        log_attempt_end(job, choice, "failed", &format!("status {}", status.as_u16()));
    }
    repeats
}

/// An upstream that goes on with a stream, if it may be sent again.
pub async fn resume_place(gateway: &Arc<Gateway>, job: &Job) -> Option<Choice> {
    let until = instant_at(now_ms() + job.route.latency_objective_ms / WAIT_PART);
    let choice = find_place(gateway, job, until).await?;
    if !may_try_again(gateway, job) {
        return None;
    }
    log_attempt(gateway, job, &choice);
    Some(choice)
}

/// An upstream that is expected to go on with a stream in `most_ms`, if it may be sent again.
pub fn quick_place(gateway: &Gateway, job: &Job, most_ms: f64) -> Option<Choice> {
    let choice = choose_now(&mut gateway.state(), gateway, job)?;
    if choice.expected_ms > most_ms || !may_try_again(gateway, job) {
        return None;
    }
    log_attempt(gateway, job, &choice);
    Some(choice)
}

/// Waits for an upstream that can take the request.
async fn find_place(gateway: &Arc<Gateway>, job: &Job, until: Instant) -> Option<Choice> {
    loop {
        let woken = gateway.capacity_changed.notified();
        if let Some(choice) = choose_now(&mut gateway.state(), gateway, job) {
            return Some(choice);
        }
        if rests_past(gateway, job, until) {
            return None;
        }
        if timeout_at(until, woken).await.is_err() {
            return choose_now(&mut gateway.state(), gateway, job);
        }
    }
}

/// Whether all upstreams that are left rest beyond a deadline.
fn rests_past(gateway: &Gateway, job: &Job, until: Instant) -> bool {
    let state = gateway.state();
    let rest_until_ms = state.upstreams.all_rest_until_ms(now_ms(), &job.service, &job.tried);
    rest_until_ms.is_some_and(|rest_until_ms| instant_at(rest_until_ms) > until)
}

/// The upstream that can take the request now.
pub(super) fn choose_now(state: &mut State, gateway: &Gateway, job: &Job) -> Option<Choice> {
    let now_ms = now_ms();
    let boxes = u32::try_from(state.peers.live_boxes(now_ms)).unwrap_or(u32::MAX);
    let site = state.site.as_ref()?;
    let service = site.services.get(&job.service)?;
    let weights = job.prompt.as_ref().and_then(|prompt| state.weights.get(&prompt.model));
    let demand = Demand {
        service: &job.service,
        box_number: state.peers.local().number,
        hall: &gateway.settings.hall,
        prompt: job.prompt.as_ref(),
        isolated_account: job.isolated_account.as_deref(),
        weights,
        weights_apply_ms: gateway.settings.bounds.weights_apply_ms,
        bars_overdue: outdated_weights::is_barred(state, now_ms),
        placement: if state.peers.is_small_fleet() {
            Placement::FastestLink { hall: &gateway.settings.hall }
        } else {
            Placement::RendezvousHash
        },
        candidates: if state.peers.is_small_fleet() {
            Candidates::All
        } else {
            Candidates::Sampled { seed: now_ms ^ u64::from(number(&job.outgoing.request_id)) << 32 }
        },
        tried: &job.tried,
        max_requests: (service.max_connections / (boxes + 1)).max(LEAST_CONNECTIONS),
        admission: AdmissionCriteria {
            higher_priority_ranks: site.higher_priority_ranks(&job.service, job.route.priority),
            objective_ms: job.route.latency_objective_ms,
            objective_missed: now_ms >= job.outgoing.objective_at_ms,
            load_limit: state.limits.limit_of(&job.service),
        },
        objective_at_ms: Some(job.outgoing.objective_at_ms),
    };
    choose(now_ms, &state.upstreams, &state.stores, service.engine.as_ref(), &demand)
}

/// Takes note of why an upstream turned a request away.
fn note_turned_away(gateway: &Gateway, job: &Job, choice: &Choice, cause: NotRunCause) {
    let Some(prompt) = job.prompt.as_ref().filter(|_| cause == NotRunCause::OtherVersion) else {
        return;
    };
    let mut state = gateway.state();
    let named = state.weights.get(&prompt.model).map_or(0, NamedVersions::newest);
    let Some(upstream) = state.upstreams.get_run_mut(&choice.upstream) else { return };
    if choice.context.as_ref().is_some_and(|plan| plan.version >= named) {
        // It has started again with older weights, or was brought back to them.
        upstream.lacks_version(&prompt.model);
    } else {
        upstream.saw_version(&prompt.model, named);
    }
}
