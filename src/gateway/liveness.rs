//! Finds out whether the process of an upstream runs.
//!
//! An open port proves nothing: the kernel accepts connections for a process that exits (`port`), and
//! another process may have the address by now. So the upstream is asked for a reply, which takes no
//! slot and only the intended incarnation gives.
//!
//! A refused connection proves little, too, since the links of this box may be cut. Then peers ask, and
//! connections that were open before are tried.

use std::io::ErrorKind;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use futures_util::future::join;
use http_body_util::{BodyExt, Limited};
use hyper::body::Incoming;
use hyper::{Response, StatusCode};
use tokio::time::{sleep, timeout};

use crate::clock::now_ms;
use crate::gateway::connections::{Connection, send};
use crate::gateway::decisions::incarnation::{Incarnation, is_other_incarnation};
use crate::gateway::heads::Framing;
use crate::gateway::kernel::Gateway;
use crate::gateway::tunnels::{Purpose, TunnelError};
use crate::gateway::{paths, reachability, tunnels};
use crate::platform::{engine, exchange};
use crate::port::is_closed;

/// Time for a reply on one connection; an open one may have gone silent.
const REPLY_TIMEOUT: Duration = Duration::from_millis(500);
/// Time for a reply on connections that were open before.
const OPEN_REPLY_TIMEOUT: Duration = Duration::from_millis(100);
/// Longest time for which an upstream is asked: a full queue of new connections drops an attempt, which
/// is repeated after a second.
const MAX_CHECK_MS: u64 = 2000;
/// Pause before it is asked again, which doubles each time: one that has more connections than it takes
/// resets new ones.
const FIRST_PAUSE: Duration = Duration::from_millis(20);
/// Largest reply that is read.
const MAX_REPLY_BYTES: usize = 64 << 10;

/// What is known of an upstream that may have crashed. The texts are logged.
#[derive(Clone, Copy, Debug, PartialEq, Eq, displaydoc::Display)]
pub enum Liveness {
    /// crashed
    Crashed,
    /// running
    Running,
    /// unknown
    Unknown,
}

/// What came of asking an upstream on one connection.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Reply {
    Own,
    /// Another incarnation has the address.
    Other,
    Refused,
    /// The connection was closed without a reply.
    Closed,
    /// There is no connection, or it is silent.
    Missing,
}

/// Whether an upstream runs now, by its own reply, until `deadline_ms` at the latest. If `expects_end`,
/// nobody else is asked when it refuses connections.
pub async fn confirm(
    gateway: &Arc<Gateway>,
    upstream: &Incarnation,
    address: SocketAddr,
    deadline_ms: u64,
    expects_end: bool,
) -> Liveness {
    let until_ms = deadline_ms.min(now_ms() + MAX_CHECK_MS);
    let mut asks_others = paths::needs_tunnel(gateway, &upstream.id);
    let mut pause = FIRST_PAUSE;
    loop {
        if asks_others {
            let (through_peer, replies_here) = ask_indirectly(gateway, upstream).await;
            match through_peer {
                Ok(Reply::Own) | Err(TunnelError::UpstreamRuns) => return Liveness::Running,
                _ if replies_here => return Liveness::Running,
                Ok(Reply::Other) => return Liveness::Crashed,
                Ok(_) | Err(_) => {}
            }
        }
        match ask_directly(gateway, upstream, address).await {
            Reply::Own => return Liveness::Running,
            Reply::Other => return Liveness::Crashed,
            Reply::Refused if expects_end => return Liveness::Unknown,
            Reply::Refused => return check_refused(gateway, upstream).await,
            Reply::Closed | Reply::Missing => asks_others = true,
        }
        if now_ms() >= until_ms {
            return Liveness::Unknown;
        }
        sleep(pause).await;
        pause *= 2;
    }
}

/// Whether an upstream that aborted requests runs, by whether something listens at its address; unknown
/// if it is no longer listed.
pub async fn check_after_abort(gateway: &Arc<Gateway>, upstream: &Incarnation) -> Liveness {
    let Some(address) = gateway.state().upstreams.address(&upstream.id) else {
        return Liveness::Unknown;
    };
    if is_closed(address).await {
        check_refused(gateway, upstream).await
    } else {
        Liveness::Running
    }
}

/// Whether an upstream runs that refuses connections of this box. It does if it replies to a peer, or on
/// a connection that was open before here or there. It has crashed if peers are refused as well or, if
/// none of them can tell, this box reaches others.
async fn check_refused(gateway: &Arc<Gateway>, upstream: &Incarnation) -> Liveness {
    let (through_peer, replies_here) = ask_indirectly(gateway, upstream).await;
    match through_peer {
        Ok(Reply::Own) | Err(TunnelError::UpstreamRuns) => Liveness::Running,
        _ if replies_here => Liveness::Running,
        Ok(Reply::Other) | Err(TunnelError::UpstreamRefused) => Liveness::Crashed,
        Ok(Reply::Refused | Reply::Closed | Reply::Missing) => Liveness::Unknown,
        Err(TunnelError::UpstreamUnreachable | TunnelError::NoPeer) => {
            let reaches_others = reachability::reaches_control(gateway, Some(&upstream.id)).await;
            if reaches_others.unwrap_or_else(|| !gateway.state().reach.is_cut_off()) {
                Liveness::Crashed
            } else {
                Liveness::Unknown
            }
        }
    }
}

/// Whether an upstream replies on a connection that was open before, as it does behind a cut that only
/// refuses new ones.
pub async fn replies_on_open(gateway: &Arc<Gateway>, upstream: &Incarnation) -> bool {
    let replies = async {
        while let Some(connection) = gateway.connections.take_idle(&upstream.id) {
            if ask(gateway, upstream, connection).await == Reply::Own {
                return true;
            }
        }
        false
    };
    timeout(OPEN_REPLY_TIMEOUT, replies).await.unwrap_or(false)
}

async fn ask_directly(
    gateway: &Arc<Gateway>,
    upstream: &Incarnation,
    address: SocketAddr,
) -> Reply {
    match gateway.connections.open(address).await {
        Ok((connection, _)) => ask(gateway, upstream, connection).await,
        Err(error) => match error.kind() {
            ErrorKind::ConnectionRefused => Reply::Refused,
            ErrorKind::ConnectionReset => Reply::Closed,
            _ => Reply::Missing,
        },
    }
}

/// Asks through a peer, and on connections that were open before; returns what came of each.
async fn ask_indirectly(
    gateway: &Arc<Gateway>,
    upstream: &Incarnation,
) -> (Result<Reply, TunnelError>, bool) {
    join(ask_through_peer(gateway, upstream), replies_on_open(gateway, upstream)).await
}

/// Asks through a peer.
///
/// # Errors
/// Fails with what the peers found.
async fn ask_through_peer(
    gateway: &Arc<Gateway>,
    upstream: &Incarnation,
) -> Result<Reply, TunnelError> {
    let (connection, _) = tunnels::open(gateway, &upstream.id, Purpose::CrashCheck).await?;
    let reply = ask(gateway, upstream, connection).await;
    if reply == Reply::Own {
        paths::record_tunnel(gateway, &upstream.id);
    }
    Ok(reply)
}

/// Asks on a connection, which is kept for requests if the upstream leaves it open.
async fn ask(gateway: &Arc<Gateway>, upstream: &Incarnation, mut connection: Connection) -> Reply {
    let request = exchange::liveness_request(&upstream.id);
    let response = match timeout(REPLY_TIMEOUT, send(&mut connection, request)).await {
        Ok(Ok(response)) => response,
        Ok(Err(_)) => return Reply::Closed,
        Err(_) => return Reply::Missing,
    };
    if is_from_other(upstream, &response) {
        return Reply::Other;
    }
    let (parts, body) = response.into_parts();
    let framing = exchange::answer_head(parts.status, &parts.headers).framing;
    let body = Limited::new(body, MAX_REPLY_BYTES).collect();
    // The head alone shows that it runs. What does not end or is too long is not read.
    if framing == Framing::Delimited
        && let Ok(Ok(body)) = timeout(REPLY_TIMEOUT, body).await
    {
        let report = engine::read_report(&body.to_bytes()).ok();
        let started_at_ms = report.and_then(|report| report.started_at_ms);
        if is_other_incarnation(upstream.started_at_ms, started_at_ms) {
            return Reply::Other;
        }
        gateway.connections.check_in(&upstream.id, &parts.headers, connection).await;
    }
    Reply::Own
}

/// Whether a reply comes from another upstream than the one that was asked.
fn is_from_other(upstream: &Incarnation, response: &Response<Incoming>) -> bool {
    match exchange::answer_head(response.status(), response.headers()).upstream_id {
        Some(id) => id != upstream.id,
        None => response.status() == StatusCode::MISDIRECTED_REQUEST,
    }
}
