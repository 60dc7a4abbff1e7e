//! Withholds requests with parts under which upstreams crash, and lets those that may clear such a
//! part run one at a time.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use log::info;
use tokio::net::UdpSocket;
use tokio::time::{Instant, timeout, timeout_at};

use crate::clock::now_ms;
use crate::gateway::check::AdmittedRequest;
use crate::gateway::decisions::prompt::Prompt;
use crate::gateway::decisions::trials::{TrialAnswer, TrialQuery};
use crate::gateway::gossip::{Datagram, send_to};
use crate::gateway::kernel::{Gateway, State};
use crate::gateway::response::Reason;
use crate::part_key::PartKey;
use crate::suspect_parts::Verdict;

/// Boxes that are asked for a trial, one after the other, in case the owner has just stopped.
const MAX_ASKED: usize = 2;
/// Time limit of an answer: several round trips between halls.
const ANSWER_TIMEOUT: Duration = Duration::from_millis(60);
/// How often a request asks again for a trial that was denied.
const ASK_PERIOD: Duration = Duration::from_millis(50);
/// When the client of a request may retry that has waited for a trial in vain.
const TRIAL_RETRY_MS: u64 = 500;

/// A trial that a request of this box holds, until it is known how it ended.
pub struct HeldTrial {
    gateway: Arc<Gateway>,
    query: TrialQuery,
    owner: SocketAddr,
}

impl Drop for HeldTrial {
    fn drop(&mut self) {
        let own_address = self.gateway.settings.peers;
        if self.owner.ip() == own_address.ip() {
            return end(&self.gateway, own_address, self.query);
        }
        let (gateway, query, owner) = (self.gateway.clone(), self.query, self.owner);
        // If it is lost, the trial ends at its time limit.
        tokio::spawn(async move { send(&gateway, Datagram::TrialEnd(query), owner).await });
    }
}

/// A request that does not get permission to run.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Withheld {
    pub reason: Reason,
    pub until_ms: u64,
}

/// Whether a request had to wait for its permission.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Permission {
    AtOnce,
    Waited,
}

/// What a request may do now because of the parts of its prompt.
fn verdict(state: &State, now_ms: u64, request: &AdmittedRequest) -> Verdict {
    if state.suspect_parts.count() == 0 {
        return Verdict::Run;
    }
    let content = &request.outgoing.content;
    let delay_ms = state.peers.trial_delay_ms(now_ms);
    state.suspect_parts.verdict(now_ms, content.account, &content.parts, delay_ms)
}

/// Why a request must not run now at all, or any more, because of the parts of its prompt.
pub fn withheld(gateway: &Gateway, request: &AdmittedRequest) -> Option<Withheld> {
    let (state, now_ms) = (gateway.state(), now_ms());
    match verdict(&state, now_ms, request) {
        Verdict::Withheld { part, until_ms } => {
            log_withheld(&state, request, part, until_ms - now_ms);
            Some(Withheld { reason: Reason::PartQuarantined, until_ms })
        }
        Verdict::Run | Verdict::Trial { .. } => None,
    }
}

/// Whether a request must not run now at all because of the parts of its prompt.
pub fn is_withheld(state: &State, now_ms: u64, request: &AdmittedRequest) -> bool {
    matches!(verdict(state, now_ms, request), Verdict::Withheld { .. })
}

/// Whether a request may run now without asking for a trial.
pub fn may_run(state: &State, now_ms: u64, request: &AdmittedRequest) -> bool {
    match verdict(state, now_ms, request) {
        Verdict::Run => true,
        Verdict::Trial { part, .. } => holds_trial(request, part),
        Verdict::Withheld { .. } => false,
    }
}

/// Waits until a request must not run any more because of the parts of its prompt.
pub async fn wait_until_withheld(gateway: &Gateway, request: &AdmittedRequest) {
    loop {
        let changed = gateway.quarantine_changed.notified();
        if is_withheld(&gateway.state(), now_ms(), request) {
            return;
        }
        changed.await;
    }
}

/// Gets permission for a request to run, for which it may have to wait for the trial of another.
///
/// # Errors
/// Fails if the request is not to run until some time.
pub async fn permit(
    gateway: &Arc<Gateway>,
    request: &mut AdmittedRequest,
    wait_until: Instant,
) -> Result<Permission, Withheld> {
    let mut permission = Permission::AtOnce;
    loop {
        let changed = gateway.quarantine_changed.notified();
        if let Some(withheld) = withheld(gateway, request) {
            return Err(withheld);
        }
        let verdict = verdict(&gateway.state(), now_ms(), request);
        let Verdict::Trial { part, is_quarantined } = verdict else {
            request.outgoing.trial = None;
            return Ok(permission);
        };
        if holds_trial(request, part) {
            return Ok(permission);
        }
        permission = Permission::Waited;
        match ask(gateway, part).await {
            TrialOutcome::Granted(trial) => {
                info!(target: "crashes", "event=part_tried request={} part={part}",
                    request.outgoing.request_id);
                request.outgoing.trial = Some(Arc::new(trial));
                return Ok(permission);
            }
            // Nobody knows whether another trial runs.
            TrialOutcome::NoAnswer if !is_quarantined => return Ok(permission),
            TrialOutcome::Denied | TrialOutcome::NoAnswer => {}
        }
        let ask_at = Instant::now() + ASK_PERIOD;
        if ask_at > wait_until {
            let until_ms = now_ms() + TRIAL_RETRY_MS;
            return Err(Withheld { reason: Reason::PartOnTrial, until_ms });
        }
        // The state is looked up again in either case.
        let _ = timeout_at(ask_at, changed).await;
    }
}

fn holds_trial(request: &AdmittedRequest, part: PartKey) -> bool {
    request.outgoing.trial.as_ref().is_some_and(|trial| trial.query.part == part)
}

/// What the owner of a part says to a query.
enum TrialOutcome {
    Granted(HeldTrial),
    Denied,
    NoAnswer,
}

/// Asks the owner of a part for a trial.
async fn ask(gateway: &Arc<Gateway>, part: PartKey) -> TrialOutcome {
    let query = TrialQuery { number: fastrand::u64(..), part };
    let owners = gateway.state().peers.trial_owners(now_ms(), part);
    for owner in owners.into_iter().take(MAX_ASKED) {
        // Ends the trial also if the answer is lost, or the client leaves before it arrives.
        let trial = HeldTrial { gateway: gateway.clone(), query, owner };
        match ask_owner(gateway, query, owner).await {
            Some(true) => return TrialOutcome::Granted(trial),
            Some(false) => return TrialOutcome::Denied,
            None => {}
        }
    }
    TrialOutcome::NoAnswer
}

/// Whether an owner grants a trial; `None` if it does not answer.
async fn ask_owner(gateway: &Gateway, query: TrialQuery, owner: SocketAddr) -> Option<bool> {
    if owner.ip() == gateway.settings.peers.ip() {
        return Some(grant(gateway, owner, query).is_granted);
    }
    let open = gateway.trial_queries.open(query.number);
    send(gateway, Datagram::TrialQuery(query), owner).await;
    timeout(ANSWER_TIMEOUT, open.answer()).await.ok()?
}

fn grant(gateway: &Gateway, holder: SocketAddr, query: TrialQuery) -> TrialAnswer {
    let mut state = gateway.state();
    let cleared_at_ms = state.suspect_parts.cleared_at_ms(query.part);
    state.trials.grant(now_ms(), holder.ip(), query, cleared_at_ms)
}

/// Answers a peer's query.
pub async fn answer(gateway: &Gateway, socket: &UdpSocket, from: SocketAddr, query: TrialQuery) {
    let answer = grant(gateway, from, query);
    gateway.peer_traffic.record_sent(&Datagram::TrialAnswer(answer), 1);
    send_to(socket, &Datagram::TrialAnswer(answer), &[from]).await;
}

/// Ends a trial that this box has granted.
pub fn end(gateway: &Gateway, holder: SocketAddr, query: TrialQuery) {
    let was_running = gateway.state().trials.end(holder.ip(), query);
    if was_running {
        gateway.quarantine_changed.notify_waiters();
    }
}

async fn send(gateway: &Gateway, datagram: Datagram, target: SocketAddr) {
    let Some(socket) = gateway.peer_socket.get() else { return };
    gateway.peer_traffic.record_sent(&datagram, 1);
    send_to(socket, &datagram, &[target]).await;
}

/// Logs which part a request is withheld for, by the name that its client gives it, and the
/// incarnations that crashed under it.
fn log_withheld(state: &State, request: &AdmittedRequest, part: PartKey, left_ms: u64) {
    let content = &request.outgoing.content;
    let index = content.parts.iter().position(|key| *key == part);
    let shared = request.prompt.as_ref().map(Prompt::shared_parts);
    let id = index.and_then(|index| Some(&shared?.get(index)?.id));
    let crashed: Vec<String> =
        state.suspect_parts.crashed(part).iter().map(|id| format!("{id:08x}")).collect();
    info!(target: "crashes",
        "event=part_withheld request={} part_id={} part={part} crashes={} left_ms={left_ms}",
        request.outgoing.request_id, id.map_or("-", |id| id), crashed.join(","));
}
