//! Tells peers where streams began, and asks them.
//!
//! A report leaves before the first event of its stream does, and nobody waits for it: if the box
//! is killed with the report lost, the stream is refused when its client resumes it, and never mixed.

use std::collections::HashMap;
use std::net::{IpAddr, SocketAddr};
use std::sync::Mutex;
use std::time::Duration;

use tokio::net::UdpSocket;
use tokio::sync::mpsc;
use tokio::time::{Instant, timeout_at};

use crate::clock::now_ms;
use crate::gateway::decisions::stream_origins::{
    OriginAnswer, OriginQuery, OriginReport, StreamId, StreamOrigin,
};
use crate::gateway::gossip::{Datagram, send_to};
use crate::gateway::kernel::Gateway;
use crate::gateway::stored_versions;
use crate::sync::locked;

/// How often peers are asked; those that have answered are not asked again.
const ROUNDS: u32 = 2;
/// Time limit for the answers of each round: several round trips between halls.
const ROUND_TIMEOUT: Duration = Duration::from_millis(100);

/// What was found out about the origin of a stream. The texts are logged.
#[derive(Clone, Copy, Debug, PartialEq, Eq, displaydoc::Display)]
pub enum FoundOrigin {
    /// known
    Known(StreamOrigin),
    /// no peer knows it
    Unknown,
    /// peers have not answered
    Unanswered,
}

/// Queries of this box that wait for answers.
#[derive(Debug, Default)]
pub struct OriginQueries {
    waiting: Mutex<HashMap<u64, mpsc::UnboundedSender<(IpAddr, OriginAnswer)>>>,
}

/// A query that waits for answers, until it is dropped.
struct OpenQuery<'a> {
    queries: &'a OriginQueries,
    number: u64,
    answers: mpsc::UnboundedReceiver<(IpAddr, OriginAnswer)>,
}

impl OriginQueries {
    fn open(&self) -> OpenQuery<'_> {
        let number = fastrand::u64(..);
        let (sender, answers) = mpsc::unbounded_channel();
        locked(&self.waiting).insert(number, sender);
        OpenQuery { queries: self, number, answers }
    }

    /// Passes a peer's answer to the query that waits for it.
    pub fn receive_answer(&self, from: IpAddr, answer: OriginAnswer) {
        if let Some(query) = locked(&self.waiting).get(&answer.number) {
            // The query may have ended.
            let _ = query.send((from, answer));
        }
    }
}

impl Drop for OpenQuery<'_> {
    fn drop(&mut self) {
        locked(&self.queries.waiting).remove(&self.number);
    }
}

/// Records where a stream has begun, and reports it to its keepers.
pub async fn report(gateway: &Gateway, stream: StreamId, origin: StreamOrigin, expires_at_ms: u64) {
    let (report, keepers) = {
        let (mut state, now_ms) = (gateway.state(), now_ms());
        state.stream_origins.record(now_ms, stream, origin, expires_at_ms);
        let report = state.stream_origins.report(now_ms, stream);
        (report, state.peers.stream_keepers(now_ms, stream))
    };
    if let (Some(report), Some(socket)) = (report, gateway.peer_socket.get()) {
        send(gateway, socket, Datagram::StreamOrigin(report), &keepers).await;
    }
}

/// Takes over a peer's report.
pub fn receive_report(gateway: &Gateway, report: OriginReport) {
    gateway.state().stream_origins.merge(now_ms(), report);
}

/// Answers a peer's query.
pub async fn answer(gateway: &Gateway, socket: &UdpSocket, from: SocketAddr, query: OriginQuery) {
    let report = gateway.state().stream_origins.report(now_ms(), query.stream);
    let answer = OriginAnswer { number: query.number, report };
    send(gateway, socket, Datagram::OriginAnswer(answer), &[from]).await;
}

/// Finds out where a stream began, from peers if this box does not know.
pub async fn find(gateway: &Gateway, stream: StreamId) -> FoundOrigin {
    let mut unanswered = {
        let (state, now_ms) = (gateway.state(), now_ms());
        if let Some(origin) = state.stream_origins.get(now_ms, stream) {
            return FoundOrigin::Known(origin);
        }
        state.peers.peers_to_ask(now_ms, stream)
    };
    let Some(socket) = gateway.peer_socket.get() else { return FoundOrigin::Unanswered };
    let mut query = gateway.origin_queries.open();
    let datagram = Datagram::OriginQuery(OriginQuery { number: query.number, stream });
    for _ in 0..ROUNDS {
        if unanswered.is_empty() {
            break;
        }
        send(gateway, socket, datagram.clone(), &unanswered).await;
        let until = Instant::now() + ROUND_TIMEOUT;
        while !unanswered.is_empty()
            && let Ok(Some((from, answer))) = timeout_at(until, query.answers.recv()).await
        {
            if let Some(report) = answer.report {
                receive_report(gateway, report);
                let origin = gateway.state().stream_origins.get(now_ms(), stream);
                return origin.map_or(FoundOrigin::Unknown, FoundOrigin::Known);
            }
            unanswered.retain(|peer| peer.ip() != from);
        }
    }
    if unanswered.is_empty() { FoundOrigin::Unknown } else { FoundOrigin::Unanswered }
}

/// The version that began all streams of a service that a client may resume now, by its short id.
/// `None` if that is not certain.
pub async fn only_version(gateway: &Gateway, service: &str) -> Option<u32> {
    stored_versions::confirm(gateway).await;
    gateway.state().upstreams.only_version(now_ms(), service)
}

async fn send(gateway: &Gateway, socket: &UdpSocket, datagram: Datagram, targets: &[SocketAddr]) {
    gateway.peer_traffic.record_sent(&datagram, targets.len());
    send_to(socket, &datagram, targets).await;
}
