//! Renews the leader's lease by way of peers, when the metadata store answers
//! them and not the leader. Else a leader that is cut off from the store only
//! would be replaced, and weights would wait until orders of two holders are
//! far enough apart.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use log::{debug, info, warn};
use serde::{Deserialize, Serialize};
use tokio::net::UdpSocket;
use tokio::pin;
use tokio::time::timeout;

use crate::clock::now_ms;
use crate::error::{Error, Result};
use crate::gateway::gossip::Datagram;
use crate::gateway::kernel::Gateway;
use crate::gateway::metadata::Lease;

/// Time after which peers are asked too: many times the usual 4 ms.
const PATIENCE: Duration = Duration::from_millis(150);
/// Time in which a peer must answer; there must be time for another.
const PEER_TIMEOUT: Duration = Duration::from_millis(400);

/// Asks a peer to renew a lease.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct RenewalRequest {
    /// Id of the lease.
    pub lease_id: u64,
    /// Time for which each renewal holds.
    pub ttl_ms: u64,
    /// When its holder asked, by the holder's clock.
    pub asked_at_ms: u64,
}

/// A peer's answer.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct RenewalReply {
    /// What was asked.
    pub request: RenewalRequest,
    /// Whether the lease was still there.
    pub renewed: bool,
}

/// Renews a lease, through peers if need be; false when it is over.
///
/// # Errors
/// Fails when neither the store nor a peer answers in time.
pub async fn renew(gateway: &Gateway, socket: &UdpSocket, lease: Lease) -> Result<bool> {
    let own = gateway.metadata.renew_lease(lease);
    pin!(own);
    match timeout(PATIENCE, own.as_mut()).await {
        Ok(Ok(renewed)) => Ok(renewed),
        Ok(Err(error)) => {
            info!(target: "leadership", "event=renewal_failed cause=\"{error}\"");
            through_peers(gateway, socket, lease).await
        }
        Err(_) => tokio::select! {
            Ok(renewed) = own => Ok(renewed),
            renewed = through_peers(gateway, socket, lease) => renewed,
        },
    }
}

async fn through_peers(gateway: &Gateway, socket: &UdpSocket, lease: Lease) -> Result<bool> {
    let asked_at_ms = now_ms();
    let request = RenewalRequest { lease_id: lease.id, ttl_ms: lease.ttl_ms, asked_at_ms };
    let mut replies = gateway.renewal_replies.subscribe();
    let helpers = gateway.state().peers.next_helpers(asked_at_ms);
    for helper in &helpers {
        send(socket, &Datagram::RenewalRequest(request), *helper).await;
    }
    let answered = replies.wait_for(|reply| reply.is_some_and(|one| one.request == request));
    match timeout(PEER_TIMEOUT, answered).await {
        Ok(Ok(reply)) => {
            let renewed = reply.is_some_and(|one| one.renewed);
            info!(target: "leadership", "event=renewed_through_peer renewed={renewed}");
            Ok(renewed)
        }
        Ok(Err(_)) | Err(_) => {
            Err(Error::Message(format!("none of {} peers renewed the lease", helpers.len())))
        }
    }
}

/// Renews a peer's lease and tells it. A failure is not told: the peer asks
/// another.
pub async fn renew_for_peer(
    gateway: Arc<Gateway>,
    socket: Arc<UdpSocket>,
    request: RenewalRequest,
    peer: SocketAddr,
) {
    let lease = Lease { id: request.lease_id, ttl_ms: request.ttl_ms };
    match gateway.metadata.renew_lease(lease).await {
        Ok(renewed) => {
            let reply = RenewalReply { request, renewed };
            send(&socket, &Datagram::RenewalReply(reply), peer).await;
        }
        Err(error) => {
            info!(target: "leadership", "event=peer_not_helped peer={peer} cause=\"{error}\"");
        }
    }
}

async fn send(socket: &UdpSocket, datagram: &Datagram, peer: SocketAddr) {
    match postcard::to_stdvec(datagram) {
        Ok(bytes) => {
            if let Err(error) = socket.send_to(&bytes, peer).await {
                debug!(target: "leadership", "event=datagram_lost peer={peer} cause=\"{error}\"");
            }
        }
        Err(error) => warn!(target: "leadership", "event=datagram_unwritable cause=\"{error}\""),
    }
}
