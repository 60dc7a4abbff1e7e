//! Learns which rate limits upstreams name, tells the other boxes of them, and asks the box that issues
//! permits for an upstream.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use log::{debug, info, warn};
use tokio::net::UdpSocket;
use tokio::time::timeout;

use crate::box_phase::BoxPhase;
use crate::clock::now_ms;
use crate::gateway::decisions::incarnation::Incarnation;
use crate::gateway::decisions::permits::{Issued, PermitAnswer, PermitQuery};
use crate::gateway::decisions::rate_limit::{RateLimit, Sending};
use crate::gateway::gossip::{Datagram, send_to};
use crate::gateway::heads::NamedRateLimit;
use crate::gateway::kernel::{Gateway, State};
use crate::names::short_id;

/// Time limit of an issuer's answer: several round trips between halls.
const ANSWER_TIMEOUT_MS: u64 = 60;
/// Boxes that are asked one after the other, since the first may name another.
const MAX_ASKED: u64 = 2;
/// Pause before an issuer that has not answered, or is not known, is asked again.
const UNANSWERED_PAUSE_MS: u64 = 250;

/// Applies what the head of an answer says about the upstream's limit. The request was sent at
/// `sent_at_ms`.
pub fn record_answer(
    gateway: &Gateway,
    upstream: &Incarnation,
    sent_at_ms: u64,
    named: NamedRateLimit,
) {
    let (mut state, now_ms) = (gateway.state(), now_ms());
    let Some(known) = state.upstreams.get_incarnation_mut(upstream) else { return };
    let rate = match named {
        NamedRateLimit::None => None,
        NamedRateLimit::Rate(rate) => Some(rate),
        NamedRateLimit::Unreadable => {
            if known.rate_limit.note_unreadable() {
                warn!(target: "limits", "event=rate_limit_unreadable upstream={}", upstream.id);
            }
            return;
        }
    };
    if !known.rate_limit.record_answer(now_ms, sent_at_ms, rate) {
        return;
    }
    let (short_id, limit) = (known.short_id, known.rate_limit.limit());
    log_change(&upstream.id, limit, "its answer");
    state.permit_buckets.open(now_ms, short_id);
    let targets = state.peers.urgent_report_targets(now_ms);
    drop(state);
    gateway.capacity_changed.notify_waiters();
    if let Some(socket) = gateway.peer_socket.get().cloned() {
        let datagram = Datagram::RateLimits(vec![(short_id, limit)]);
        gateway.peer_traffic.record_sent(&datagram, targets.len());
        tokio::spawn(async move { send_to(&socket, &datagram, &targets).await });
    }
}

/// Takes over what a peer knows of limits.
pub fn merge_reports(gateway: &Gateway, state: &mut State, reports: &[(u32, RateLimit)]) {
    let now_ms = now_ms();
    let mut is_new = false;
    for (short_id, limit) in reports {
        let Some(known) = state.upstreams.get_by_short_id_mut(*short_id) else { continue };
        if known.rate_limit.merge(now_ms, *limit) {
            log_change(&known.id, *limit, "a peer");
            state.permit_buckets.open(now_ms, *short_id);
            is_new = true;
        }
    }
    if is_new {
        gateway.capacity_changed.notify_waiters();
    }
}

/// Shows how many limits are in force.
pub fn update_gauge(state: &State) {
    let limits = state.upstreams.active().filter(|known| known.rate_limit.limit().rate.is_some());
    let count = u32::try_from(limits.count()).unwrap_or(u32::MAX);
    metrics::gauge!("coursestile_rate_limits").set(f64::from(count));
}

fn log_change(upstream: &str, limit: RateLimit, source: &str) {
    info!(target: "limits", "event=rate_limit upstream={upstream} per_s={} number={} source=\"{source}\"",
        limit.rate.map_or_else(|| "-".to_owned(), |rate| rate.to_string()), limit.number);
}

/// Whether this box has to ask for a permit before it sends to an upstream.
pub fn needs_permit(gateway: &Gateway, upstream: &Incarnation) -> bool {
    let state = gateway.state();
    let known = state.upstreams.get_incarnation(upstream);
    known.is_some_and(|known| known.rate_limit.sending(now_ms()) != Sending::Permitted)
}

/// Asks for permits to send to an upstream, unless that is being done, and records how many this box
/// gets.
pub async fn ask(gateway: &Arc<Gateway>, upstream: &Incarnation) {
    let Some(query) = begin_query(gateway, upstream) else { return };
    let asking = {
        let (gateway, upstream) = (gateway.clone(), upstream.clone());
        async move { ask_issuer(&gateway, &upstream, query).await }
    };
    // Others may wait for the permits if the client of this request leaves.
    let _ = tokio::spawn(asking).await;
}

fn begin_query(gateway: &Gateway, upstream: &Incarnation) -> Option<PermitQuery> {
    let (mut state, now_ms) = (gateway.state(), now_ms());
    let known = state.upstreams.get_incarnation_mut(upstream)?;
    (known.rate_limit.sending(now_ms) == Sending::ToBeAsked).then(|| PermitQuery {
        number: fastrand::u64(..),
        upstream: known.short_id,
        limit: known.rate_limit.limit(),
        wanted: known.rate_limit.begin_asking(now_ms, now_ms + MAX_ASKED * ANSWER_TIMEOUT_MS),
    })
}

async fn ask_issuer(gateway: &Gateway, upstream: &Incarnation, query: PermitQuery) {
    let mut issuer = find_issuer(gateway, upstream);
    let mut answer = None;
    for _ in 0..MAX_ASKED {
        let Some(address) = issuer else { break };
        answer = ask_box(gateway, query, address).await;
        match answer.map(|answer| answer.issued) {
            Some(Issued::By(other)) => issuer = Some(SocketAddr::new(other, address.port())),
            _ => break,
        }
    }
    record_permits(gateway, upstream, query, issuer, answer);
}

/// Records what this box gets, and wakes the requests that wait for it.
fn record_permits(
    gateway: &Gateway,
    upstream: &Incarnation,
    query: PermitQuery,
    issuer: Option<SocketAddr>,
    answer: Option<PermitAnswer>,
) {
    let (mut state, now_ms) = (gateway.state(), now_ms());
    if let Some(answer) = answer {
        merge_reports(gateway, &mut state, &[(query.upstream, answer.limit)]);
    }
    let Some(known) = state.upstreams.get_incarnation_mut(upstream) else { return };
    let (count, next_in_ms) = match answer.map(|answer| answer.issued) {
        Some(Issued::Permits { count, next_in_ms }) => (count, u64::from(next_in_ms)),
        Some(Issued::By(_) | Issued::Unknown) | None => (0, UNANSWERED_PAUSE_MS),
    };
    known.rate_limit.record_issued(now_ms, count, now_ms + next_in_ms);
    drop(state);
    metrics::counter!("coursestile_permits_total").increment(count.into());
    if count < query.wanted {
        metrics::counter!("coursestile_permits_denied_total").increment(1);
    }
    debug!(target: "limits",
        "event=permits upstream={} issuer={} answered={} wanted={} issued={count} next_in_ms={next_in_ms}",
        upstream.id, issuer.map_or_else(|| "-".to_owned(), |issuer| issuer.ip().to_string()),
        answer.is_some(), query.wanted);
    gateway.capacity_changed.notify_waiters();
}

/// The box that issues the permits for an upstream, as far as this box knows.
fn find_issuer(gateway: &Gateway, upstream: &Incarnation) -> Option<SocketAddr> {
    let state = gateway.state();
    let known = state.upstreams.get_incarnation(upstream)?;
    let hall = short_id(&known.entry.hall);
    let is_serving = gateway.phase() == BoxPhase::Serving;
    state.peers.permit_issuer(now_ms(), known.short_id, hall, is_serving)
}

/// Asks a box for permits; `None` if it does not answer.
async fn ask_box(
    gateway: &Gateway,
    query: PermitQuery,
    address: SocketAddr,
) -> Option<PermitAnswer> {
    let own_address = gateway.settings.peers;
    if address.ip() == own_address.ip() {
        return Some(issue(gateway, own_address, query));
    }
    let socket = gateway.peer_socket.get()?;
    let open = gateway.permit_queries.open(query.number);
    let datagram = Datagram::PermitQuery(query);
    gateway.peer_traffic.record_sent(&datagram, 1);
    send_to(socket, &datagram, &[address]).await;
    timeout(Duration::from_millis(ANSWER_TIMEOUT_MS), open.answer()).await.ok()?
}

/// Issues permits to a box if this one is the issuer.
fn issue(gateway: &Gateway, holder: SocketAddr, query: PermitQuery) -> PermitAnswer {
    let (mut state, now_ms) = (gateway.state(), now_ms());
    merge_reports(gateway, &mut state, &[(query.upstream, query.limit)]);
    let is_serving = gateway.phase() == BoxPhase::Serving;
    let State { upstreams, peers, permit_buckets, .. } = &mut *state;
    let known = upstreams.get_by_short_id_mut(query.upstream);
    let limit = known.as_ref().map_or(query.limit, |known| known.rate_limit.limit());
    let hall = known.map(|known| short_id(&known.entry.hall));
    let issued_by =
        hall.and_then(|hall| peers.permit_issuer(now_ms, query.upstream, hall, is_serving));
    let issued = match (issued_by, limit.rate) {
        (Some(other), _) if !peers.is_local(other.ip()) => Issued::By(other.ip()),
        (Some(_), Some(rate)) => {
            permit_buckets.issue(now_ms, query.upstream, rate, holder.ip(), query.wanted)
        }
        (Some(_), None) | (None, _) => Issued::Unknown,
    };
    PermitAnswer { number: query.number, limit, issued }
}

/// Answers a peer's query.
pub async fn answer(gateway: &Gateway, socket: &UdpSocket, from: SocketAddr, query: PermitQuery) {
    let answer = Datagram::PermitAnswer(issue(gateway, from, query));
    gateway.peer_traffic.record_sent(&answer, 1);
    send_to(socket, &answer, &[from]).await;
}
