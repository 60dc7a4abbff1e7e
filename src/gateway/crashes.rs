//! Finds out whether an upstream that aborted requests has crashed.
//!
//! A connection that ends early proves little, since the upstream may have dropped that request
//! alone. A crashed upstream refuses new connections until it is restarted, but one that is exiting
//! may accept them for a while. The check therefore takes up to some seconds where the upstream
//! still runs, and no request waits for it: its peers have acknowledged the abort itself before the
//! box sends the request again or answers its client, who may repeat it at any box. Until the check
//! has ended, all of them count the abort like a crash (`quarantine`).
//!
//! A crash also closes connections on which the end of the response is marked by nothing else, so that
//! an upstream is asked whether it still runs ([`confirm_end`]).

use std::collections::BTreeSet;
use std::net::{IpAddr, SocketAddr};
use std::sync::Arc;
use std::time::Duration;

use hyper::StatusCode;
use log::{info, warn};
use tokio::net::UdpSocket;
use tokio::sync::watch;
use tokio::time::timeout;

use crate::clock::now_ms;
use crate::fingerprint::Fingerprint;
use crate::gateway::attempt::OutgoingRequest;
use crate::gateway::decisions::gossip_message::{AbortsReport, PartReports};
use crate::gateway::decisions::incarnation::Incarnation;
use crate::gateway::gossip::{Datagram, send_to};
use crate::gateway::heads::Framing;
use crate::gateway::in_flight::InFlight;
use crate::gateway::kernel::Gateway;
use crate::gateway::liveness::Liveness;
use crate::gateway::trials::HeldTrial;
use crate::gateway::{liveness, quarantine};
use crate::part_key::PartKey;
use crate::quarantine::{AbortReport, UpdateUrgency};
use crate::request_content::RequestContent;
use crate::suspect_parts::{CrashedRun, MIN_SOUND_RUN_MS};
use crate::sync::locked;

/// Longest time for which a request waits for the report of its abort, including earlier reports.
const REPORT_TIMEOUT: Duration = Duration::from_millis(300);
/// Maximum number of parts that are logged of one crash.
const MAX_LOGGED_PARTS: usize = 32;
/// Time limit for the acknowledgements of a report: several round trips between halls.
const ACKNOWLEDGE_TIMEOUT: Duration = Duration::from_millis(200);

/// A request whose run at an upstream has ended, in order or not.
pub struct EndedRun {
    content: RequestContent,
    sent_at_ms: u64,
    ended_at_ms: u64,
    /// Time for which its answer had been written.
    written_ms: u64,
    /// Address that it was sent to.
    address: SocketAddr,
    may_run_again: bool,
    /// Deadline of the request.
    deadline_ms: u64,
    /// Keeps other trials from running until it is known whether the upstream has crashed.
    _trial: Option<Arc<HeldTrial>>,
}

impl EndedRun {
    /// A request that was in flight until now.
    #[must_use]
    pub fn new(request: &OutgoingRequest, in_flight: &InFlight) -> Self {
        Self {
            content: request.content.clone(),
            sent_at_ms: in_flight.begun_at_ms(),
            ended_at_ms: now_ms(),
            written_ms: in_flight.written_ms(),
            address: in_flight.address,
            may_run_again: request.retry_policy.may_retry(),
            deadline_ms: request.deadline_ms,
            _trial: request.trial.clone(),
        }
    }
}

/// Requests that an upstream aborted, while it is being checked whether it has crashed.
pub struct UncheckedRuns {
    runs: Vec<EndedRun>,
    /// Ends when the check has ended and the peers know its result.
    checked: watch::Receiver<()>,
}

/// How an answer ended that is not known to be broken off.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct AnswerEnd {
    pub status: StatusCode,
    pub framing: Framing,
}

/// Records that an upstream aborted a request before its response was complete. When this returns,
/// the peers have acknowledged it or [`REPORT_TIMEOUT`] has passed. If upstreams have crashed under a
/// part of its prompt before, the same holds for whether this one has. A crash aborts all requests at
/// the upstream, so they are collected and checked together.
pub async fn record_abort(gateway: &Arc<Gateway>, upstream: &Incarnation, run: EndedRun) {
    let request = run.content.fingerprint;
    let abort = AbortReport { request, incarnation_id: upstream.short_id(), age_ms: 0 };
    let is_suspect = {
        let mut state = gateway.state();
        state.quarantine.record_abort(now_ms(), abort);
        state.suspect_parts.is_any_suspect(&run.content.parts)
    };
    let mut checked = add_unchecked(gateway, upstream, run);
    // In a task of its own, so that the abort is also reported if the client disconnects.
    let report = tokio::spawn(report_abort(gateway.clone(), request));
    let reported = async {
        let _ = report.await;
        if is_suspect {
            // An error means that the check has ended.
            let _ = checked.changed().await;
        }
    };
    let _ = timeout(REPORT_TIMEOUT, reported).await;
}

/// Adds a request to those that wait for the check of their upstream, and begins it with the first
/// of them.
fn add_unchecked(
    gateway: &Arc<Gateway>,
    upstream: &Incarnation,
    run: EndedRun,
) -> watch::Receiver<()> {
    let mut unchecked = locked(&gateway.unchecked_runs);
    if let Some(unchecked) = unchecked.get_mut(&upstream.id) {
        unchecked.runs.push(run);
        return unchecked.checked.clone();
    }
    let (sender, checked) = watch::channel(());
    let runs = UncheckedRuns { runs: vec![run], checked: checked.clone() };
    unchecked.insert(upstream.id.clone(), runs);
    let (gateway, upstream) = (gateway.clone(), upstream.clone());
    tokio::spawn(async move {
        check_for_crash(&gateway, &upstream).await;
        drop(sender);
    });
    checked
}

/// Reports the aborts and crashes of a request to the peers, and waits for their acknowledgements.
async fn report_abort(gateway: Arc<Gateway>, request: Fingerprint) {
    let Some(socket) = gateway.peer_socket.get() else { return };
    let Some(report) = gateway.crash_reports.begin([request]).await else { return };
    let number = fastrand::u64(..);
    let (peers, datagram) = {
        let (state, now_ms) = (gateway.state(), now_ms());
        let aborts = state.quarantine.open_aborts_of(now_ms, &report.subjects);
        let crashes = state.quarantine.crashes_of(now_ms, &report.subjects);
        let datagram = Datagram::AbortsReport(AbortsReport { number, aborts, crashes });
        (state.peers.urgent_report_targets(now_ms), datagram)
    };
    let names: Vec<String> = peers.iter().map(|peer| peer.ip().to_string()).collect();
    report.expect_acknowledgements(number, names.iter().map(String::as_str));
    send_to(socket, &datagram, &peers).await;
    let missing = report.wait_until_acknowledged(ACKNOWLEDGE_TIMEOUT).await;
    if !missing.is_empty() {
        warn!(target: "crashes", "event=aborts_not_acknowledged peers={}", missing.join(","));
    }
}

/// Merges a peer's report of aborts, and acknowledges it.
pub async fn receive_aborts(
    gateway: &Gateway,
    socket: &UdpSocket,
    from: SocketAddr,
    report: AbortsReport,
) {
    {
        let (mut state, now_ms) = (gateway.state(), now_ms());
        // Of two boxes that have just started, one may know the other first.
        state.peers.add_address(now_ms, from.ip());
        for abort in &report.aborts {
            state.quarantine.record_abort(now_ms, *abort);
        }
        quarantine::merge_peer_reports(gateway, &mut state, now_ms, &report.crashes, &[]);
    }
    send_to(socket, &Datagram::Acknowledged { number: report.number }, &[from]).await;
}

/// Reports parts of prompts to the peers, and waits for their acknowledgements.
async fn report_parts(gateway: &Gateway, mut parts: Vec<PartKey>) {
    let Some(socket) = gateway.peer_socket.get().filter(|_| !parts.is_empty()) else { return };
    // Parts that do not fit into one report, and those of other crashes meanwhile, follow in others.
    while let Some(report) = gateway.part_reports.begin(std::mem::take(&mut parts)).await {
        let number = fastrand::u64(..);
        let (peers, messages) = {
            let (state, now_ms) = (gateway.state(), now_ms());
            let messages = state.suspect_parts.reports_of(now_ms, &report.subjects);
            (state.peers.urgent_report_targets(now_ms), messages)
        };
        let names: Vec<String> = peers.iter().map(|peer| peer.ip().to_string()).collect();
        let last = messages.len().checked_sub(1);
        if last.is_some() {
            report.expect_acknowledgements(number, names.iter().map(String::as_str));
        }
        for (index, reports) in messages.into_iter().enumerate() {
            let number = (Some(index) == last).then_some(number);
            let datagram = Datagram::PartReports(PartReports { number, reports });
            gateway.peer_traffic.record_sent(&datagram, peers.len());
            send_to(socket, &datagram, &peers).await;
        }
        let missing = report.wait_until_acknowledged(ACKNOWLEDGE_TIMEOUT).await;
        if !missing.is_empty() {
            warn!(target: "crashes", "event=parts_not_acknowledged peers={}", missing.join(","));
        }
    }
}

/// Merges a peer's reports of parts, and acknowledges them if it asks for that.
pub async fn receive_parts(
    gateway: &Gateway,
    socket: &UdpSocket,
    from: SocketAddr,
    message: PartReports,
) {
    let merged = gateway.state().suspect_parts.merge_reports(now_ms(), &message.reports);
    if !merged.quarantined.is_empty() || !merged.cleared.is_empty() {
        log_quarantined_parts(&merged.quarantined);
        log_cleared_parts(&merged.cleared, "peer");
        // In a large fleet, other boxes learn of it only from this box.
        gateway.gossip_now.notify_one();
        gateway.quarantine_changed.notify_waiters();
    }
    if let Some(number) = message.number {
        send_to(socket, &Datagram::Acknowledged { number }, &[from]).await;
    }
}

fn log_quarantined_parts(parts: &[PartKey]) {
    for part in parts {
        info!(target: "crashes", "event=part_quarantined part={part}");
        metrics::counter!("coursestile_parts_quarantined_total").increment(1);
    }
}

/// Logs parts that were cleared, and by what: the fingerprint of a request, or a peer.
fn log_cleared_parts(parts: &[PartKey], by: &str) {
    for part in parts {
        info!(target: "crashes", "event=part_cleared part={part} by={by}");
        metrics::counter!("coursestile_parts_cleared_total").increment(1);
    }
}

/// Records that a peer has acknowledged a report.
pub fn record_acknowledgement(gateway: &Gateway, from: IpAddr, number: u64) {
    gateway.crash_reports.record_acknowledgement(number, &from.to_string());
    gateway.part_reports.record_acknowledgement(number, &from.to_string());
}

async fn check_for_crash(gateway: &Arc<Gateway>, upstream: &Incarnation) {
    let crashed = liveness::check_after_abort(gateway, upstream).await == Liveness::Crashed;
    let unchecked = locked(&gateway.unchecked_runs).remove(&upstream.id);
    let runs = unchecked.map_or_else(Vec::new, |unchecked| unchecked.runs);
    let requests: Vec<Fingerprint> = runs.iter().map(|run| run.content.fingerprint).collect();
    let answers_others = gateway
        .state()
        .upstreams
        .get_incarnation(upstream)
        .is_some_and(|upstream| upstream.answers_other_boxes(now_ms()));
    info!(target: "crashes",
        "event=upstream_broke_off upstream={} crashed={crashed} answers_others={answers_others} \
         requests={}",
        upstream.id, join_fingerprints(&requests));
    if crashed {
        let parts = record_crash(gateway, upstream, &runs);
        report_parts(gateway, parts).await;
    } else {
        settle_aborts(gateway, upstream, &requests);
    }
}

/// Records that an upstream did not abort these requests because of them.
fn settle_aborts(gateway: &Gateway, upstream: &Incarnation, requests: &[Fingerprint]) {
    let mut state = gateway.state();
    for request in requests {
        state.quarantine.settle_abort(*request, upstream.short_id());
    }
    drop(state);
    gateway.quarantine_changed.notify_waiters();
}

/// Records that an upstream has crashed while it ran these requests; returns the parts of their
/// prompts, which are to be reported.
fn record_crash(gateway: &Gateway, upstream: &Incarnation, runs: &[EndedRun]) -> Vec<PartKey> {
    metrics::counter!("coursestile_upstream_crashes_total").increment(1);
    let requests: Vec<Fingerprint> = runs.iter().map(|run| run.content.fingerprint).collect();
    let mut state = gateway.state();
    let now_ms = now_ms();
    let has_fallen = state.has_fallen(now_ms, upstream);
    if let Some(upstream) = state.upstreams.get_incarnation_mut(upstream) {
        upstream.mark_unreachable();
    }
    if has_fallen {
        drop(state);
        info!(target: "crashes", "event=brittle_upstream_fell upstream={}", upstream.id);
        settle_aborts(gateway, upstream, &requests);
        return Vec::new();
    }
    let mut is_urgent = false;
    for request in requests {
        if state.quarantine.record_crash(now_ms, request, upstream.short_id(), now_ms)
            == UpdateUrgency::Urgent
        {
            quarantine::log_quarantined(&state, now_ms, request);
            is_urgent = true;
        }
    }
    let mut quarantined = Vec::new();
    for run in runs {
        let crashed = CrashedRun {
            request: run.content.fingerprint,
            account: run.content.account,
            parts: &run.content.parts,
            incarnation_id: upstream.short_id(),
            sent_at_ms: run.sent_at_ms,
            at_ms: run.ended_at_ms,
            written_ms: run.written_ms,
        };
        quarantined.extend(state.suspect_parts.record_crash(now_ms, &crashed));
    }
    drop(state);
    let parts: BTreeSet<PartKey> =
        runs.iter().flat_map(|run| run.content.parts.iter().copied()).collect();
    if !parts.is_empty() {
        let logged: Vec<String> =
            parts.iter().take(MAX_LOGGED_PARTS).map(PartKey::to_string).collect();
        info!(target: "crashes", "event=parts_accused upstream={} incarnation={:08x} count={} parts={}",
            upstream.id, upstream.short_id(), parts.len(), logged.join(","));
    }
    log_quarantined_parts(&quarantined);
    if is_urgent || !quarantined.is_empty() {
        gateway.gossip_now.notify_one();
        gateway.quarantine_changed.notify_waiters();
    }
    parts.into_iter().collect()
}

/// Whether a response that has ended is complete, as far as can be known, and thus answers its
/// request. A close-delimited one is complete if its upstream still runs. If that may have ended by plan,
/// what may run again does so, and what may not counts as complete.
pub async fn confirm_end(
    gateway: &Arc<Gateway>,
    upstream: &Incarnation,
    run: EndedRun,
    end: AnswerEnd,
) -> bool {
    if end.framing == Framing::Delimited {
        record_answered(gateway, &run, end.status);
        return true;
    }
    let drain_ms = gateway.settings.bounds.departure_apply_ms;
    let may_have_left = {
        let state = gateway.state();
        let earliest_ms = state.pauses.earliest_ms(run.ended_at_ms);
        state.upstreams.may_have_left(earliest_ms, upstream, drain_ms)
    };
    let EndedRun { address, deadline_ms, .. } = run;
    let liveness = liveness::confirm(gateway, upstream, address, deadline_ms, may_have_left).await;
    let is_complete = match liveness {
        Liveness::Running => true,
        Liveness::Crashed | Liveness::Unknown => may_have_left && !run.may_run_again,
    };
    info!(target: "crashes",
        "event=end_checked upstream={} request={} upstream_is={liveness} may_have_left={may_have_left} \
         complete={is_complete} check_ms={}",
        upstream.id, run.content.fingerprint, now_ms() - run.ended_at_ms);
    if liveness == Liveness::Running {
        record_answered(gateway, &run, end.status);
    } else {
        metrics::counter!("coursestile_ends_unconfirmed_total").increment(1);
    }
    is_complete
}

/// Records that an upstream has answered a request completely. A response of another status than
/// success does not show that it can be written with the parts of the prompt.
fn record_answered(gateway: &Gateway, run: &EndedRun, status: StatusCode) {
    let mut state = gateway.state();
    let (content, now_ms) = (&run.content, now_ms());
    let clears_request = state.quarantine.record_answer(content.fingerprint, now_ms);
    let cleared = if status.is_success() {
        state.suspect_parts.record_answer(now_ms, &content.parts)
    } else {
        Vec::new()
    };
    drop(state);
    if clears_request {
        info!(target: "crashes", "event=suspect_answered fingerprint={}", content.fingerprint);
    }
    announce_cleared(gateway, content, clears_request, &cleared);
}

/// Records for how long an upstream has been writing an answer that goes on.
pub fn record_progress(gateway: &Gateway, request: &OutgoingRequest, written_ms: u64) {
    if written_ms < MIN_SOUND_RUN_MS || request.content.parts.is_empty() {
        return;
    }
    let content = &request.content;
    let cleared =
        gateway.state().suspect_parts.record_progress(now_ms(), &content.parts, written_ms);
    announce_cleared(gateway, content, false, &cleared);
}

fn announce_cleared(
    gateway: &Gateway,
    content: &RequestContent,
    clears_request: bool,
    parts: &[PartKey],
) {
    if clears_request || !parts.is_empty() {
        log_cleared_parts(parts, &content.fingerprint.to_string());
        gateway.gossip_now.notify_one();
        gateway.quarantine_changed.notify_waiters();
    }
}

fn join_fingerprints(requests: &[Fingerprint]) -> String {
    let fingerprints: Vec<String> = requests.iter().map(Fingerprint::to_string).collect();
    fingerprints.join(",")
}
