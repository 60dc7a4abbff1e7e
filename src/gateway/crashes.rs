//! Finds out whether an upstream that aborted requests has crashed.
//!
//! A connection that ends early proves little, since the upstream may have dropped that request
//! alone. A crashed upstream refuses new connections until it is restarted, but one that is exiting
//! may accept them for a while. The check therefore takes up to some seconds where the upstream
//! still runs, and no request waits for it: its peers have acknowledged the abort itself before the
//! box sends the request again or answers its client, who may repeat it at any box. Until the check
//! has ended, all of them count the abort like a crash (`quarantine`).
//!
//! A crash also closes connections on which the end of the response is marked by nothing else
//! ([`confirm_end`]).

use std::io::ErrorKind;
use std::net::{IpAddr, SocketAddr};
use std::sync::Arc;
use std::time::Duration;

use log::{info, warn};
use tokio::net::UdpSocket;
use tokio::task::JoinHandle;
use tokio::time::timeout;

use crate::clock::now_ms;
use crate::fingerprint::Fingerprint;
use crate::gateway::decisions::gossip_message::AbortsReport;
use crate::gateway::decisions::incarnation::Incarnation;
use crate::gateway::gossip::{Datagram, send_to};
use crate::gateway::heads::Framing;
use crate::gateway::kernel::Gateway;
use crate::gateway::tunnels::TunnelError;
use crate::gateway::{paths, quarantine, reachability, tunnels};
use crate::port::{EXIT_TIMEOUT, is_closed};
use crate::quarantine::{AbortReport, UpdateUrgency};
use crate::sync::locked;

/// Longest time for which a request waits for the report of its abort, including earlier reports.
const REPORT_TIMEOUT: Duration = Duration::from_millis(300);
/// Time limit for the acknowledgements of a report: several round trips between halls.
const ACKNOWLEDGE_TIMEOUT: Duration = Duration::from_millis(200);

/// Records that an upstream aborted a request before its response was complete. When this returns,
/// the peers have acknowledged it or [`REPORT_TIMEOUT`] has passed. A crash aborts all requests at
/// the upstream, so they are collected and checked together.
pub async fn record_abort(gateway: &Arc<Gateway>, upstream: &Incarnation, request: Fingerprint) {
    let abort = AbortReport { request, incarnation_id: upstream.short_id(), age_ms: 0 };
    gateway.state().quarantine.record_abort(now_ms(), abort);
    let is_first = {
        let mut aborts = locked(&gateway.unexplained_aborts);
        let requests = aborts.entry(upstream.id.clone()).or_default();
        requests.push(request);
        requests.len() == 1
    };
    if is_first {
        tokio::spawn(check_for_crash(gateway.clone(), upstream.clone()));
    }
    // In a task of its own, so that the abort is also reported if the client disconnects.
    let _ = timeout(REPORT_TIMEOUT, tokio::spawn(report_abort(gateway.clone(), request))).await;
}

/// Reports the aborts and crashes of a request to the peers, and waits for their acknowledgements.
async fn report_abort(gateway: Arc<Gateway>, request: Fingerprint) {
    let Some(socket) = gateway.peer_socket.get() else { return };
    let Some(report) = gateway.crash_reports.begin(request).await else { return };
    let number = fastrand::u64(..);
    let (peers, datagram) = {
        let (state, now_ms) = (gateway.state(), now_ms());
        let aborts = state.quarantine.open_aborts_of(now_ms, &report.requests);
        let crashes = state.quarantine.crashes_of(now_ms, &report.requests);
        let datagram = Datagram::AbortsReport(AbortsReport { number, aborts, crashes });
        (state.peers.abort_report_targets(now_ms), datagram)
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
    send_to(socket, &Datagram::AbortsAcknowledged { number: report.number }, &[from]).await;
}

/// Records that a peer has acknowledged a report of aborts.
pub fn record_acknowledgement(gateway: &Gateway, from: IpAddr, number: u64) {
    gateway.crash_reports.record_acknowledgement(number, &from.to_string());
}

async fn check_for_crash(gateway: Arc<Gateway>, upstream: Incarnation) {
    let crashed = has_crashed(&gateway, &upstream).await;
    let requests = locked(&gateway.unexplained_aborts).remove(&upstream.id).unwrap_or_default();
    let answers_others = gateway
        .state()
        .upstreams
        .get_incarnation(&upstream)
        .is_some_and(|upstream| upstream.answers_other_boxes(now_ms()));
    info!(target: "crashes",
        "event=upstream_broke_off upstream={} crashed={crashed} answers_others={answers_others} \
         requests={}",
        upstream.id, join_fingerprints(&requests));
    if crashed {
        record_crash(&gateway, &upstream, &requests);
    } else {
        settle_aborts(&gateway, &upstream, &requests);
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

fn record_crash(gateway: &Gateway, upstream: &Incarnation, requests: &[Fingerprint]) {
    metrics::counter!("coursestile_upstream_crashes_total").increment(1);
    let mut state = gateway.state();
    let now_ms = now_ms();
    let has_fallen = state.has_fallen(now_ms, upstream);
    if let Some(upstream) = state.upstreams.get_incarnation_mut(upstream) {
        upstream.mark_unreachable();
    }
    if has_fallen {
        drop(state);
        info!(target: "crashes", "event=brittle_upstream_fell upstream={}", upstream.id);
        return settle_aborts(gateway, upstream, requests);
    }
    let mut is_urgent = false;
    for request in requests {
        if state.quarantine.record_crash(now_ms, *request, upstream.short_id(), now_ms)
            == UpdateUrgency::Urgent
        {
            quarantine::log_quarantined(&state, now_ms, *request);
            is_urgent = true;
        }
    }
    drop(state);
    if is_urgent {
        gateway.gossip_now.notify_one();
        gateway.quarantine_changed.notify_waiters();
    }
}

/// Whether a response that has ended is complete, as far as can be known, and thus answers its
/// request. A close-delimited one is not if the upstream refuses a new connection now, as one that
/// has crashed. An upstream that is exiting may still accept it, so the request only counts as
/// answered once the new connection has stayed open for a while.
pub async fn confirm_end(
    gateway: &Arc<Gateway>,
    upstream: &Incarnation,
    request: Fingerprint,
    framing: Framing,
) -> bool {
    if framing == Framing::Delimited {
        record_answered(gateway, request);
        return true;
    }
    let address = {
        let state = gateway.state();
        let listed = state.upstreams.get_incarnation(upstream);
        listed.filter(|upstream| !upstream.is_leaving()).map(|upstream| upstream.entry.address)
    };
    let Some(address) = address else {
        // An upstream that leaves after its last response refuses connections, too.
        record_answered(gateway, request);
        return true;
    };
    match gateway.connections.open(address).await {
        Ok((connection, closed)) => {
            gateway.connections.add_idle(&upstream.id, connection);
            tokio::spawn(record_unless_crashed(gateway.clone(), upstream.clone(), request, closed));
            true
        }
        Err(error) => {
            error.kind() != ErrorKind::ConnectionRefused || !trusts_refusal(gateway, upstream).await
        }
    }
}

/// Records that an upstream has answered a request unless it crashes now. `closed` ends when a
/// connection is closed that was opened after the response.
async fn record_unless_crashed(
    gateway: Arc<Gateway>,
    upstream: Incarnation,
    request: Fingerprint,
    closed: JoinHandle<()>,
) {
    let is_closed = timeout(EXIT_TIMEOUT, closed).await.is_ok();
    if is_closed && has_crashed(&gateway, &upstream).await {
        info!(target: "crashes", "event=upstream_broke_off upstream={} crashed=true requests={request}",
            upstream.id);
        record_crash(&gateway, &upstream, &[request]);
    } else {
        record_answered(&gateway, request);
    }
}

/// Records that an upstream has answered a request completely.
fn record_answered(gateway: &Gateway, request: Fingerprint) {
    if gateway.state().quarantine.record_answer(request, now_ms()) {
        info!(target: "crashes", "event=suspect_answered fingerprint={request}");
        gateway.gossip_now.notify_one();
        gateway.quarantine_changed.notify_waiters();
    }
}

/// Whether nothing listens at the upstream's address any more.
async fn has_crashed(gateway: &Arc<Gateway>, upstream: &Incarnation) -> bool {
    let Some(address) = gateway.state().upstreams.address(&upstream.id) else { return false };
    is_closed(address).await && trusts_refusal(gateway, upstream).await
}

/// Whether a connection that an upstream refuses shows that it has crashed, and not that the links of
/// this box are cut: peers are refused as well, or if none can tell, this box reaches others.
async fn trusts_refusal(gateway: &Arc<Gateway>, upstream: &Incarnation) -> bool {
    match tunnels::open(gateway, &upstream.id).await {
        Ok((connection, _)) => {
            gateway.connections.add_idle(&upstream.id, connection);
            paths::record_tunnel(gateway, &upstream.id);
            false
        }
        Err(TunnelError::UpstreamRefused) => true,
        Err(TunnelError::UpstreamUnreachable | TunnelError::NoPeer) => {
            let reaches_others = reachability::reaches_control(gateway, Some(&upstream.id)).await;
            reaches_others.unwrap_or_else(|| !gateway.state().reach.is_cut_off())
        }
    }
}

fn join_fingerprints(requests: &[Fingerprint]) -> String {
    let fingerprints: Vec<String> = requests.iter().map(Fingerprint::to_string).collect();
    fingerprints.join(",")
}
