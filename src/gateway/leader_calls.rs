//! Calls of the leader to the metadata store. When the store does not answer the leader, peers
//! to which it does answer execute them on its behalf. Without this, a leader that is cut off
//! from the store only would be replaced, and could not claim the engines that it orders.

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
use crate::gateway::decisions::claims::Claims;
use crate::gateway::gossip::Datagram;
use crate::gateway::kernel::Gateway;
use crate::gateway::leadership;
use crate::gateway::metadata::{Lease, WriteOutcome};
use crate::platform::keys;

/// Time after which the call is delegated to peers as well: many times the usual 4 ms.
const DELEGATE_AFTER: Duration = Duration::from_millis(150);
/// Time in which a peer must answer; it leaves time to ask another.
const PEER_TIMEOUT: Duration = Duration::from_millis(400);

/// A call of the leader to the metadata store.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum LeaderCall {
    /// Renews the leader's lease.
    Renew {
        /// Id of the lease.
        lease_id: u64,
        /// Duration of the lease from each renewal.
        ttl_ms: u64,
    },
    /// Writes the leader's claims, on condition that it still leads.
    Claim {
        /// Fencing token of the leader.
        fence: u64,
        /// Revision that the stored claims must have.
        expected_revision: u64,
        /// Claims to be written.
        claims: Claims,
    },
}

/// Result of a call.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum CallOutcome {
    /// The lease was renewed.
    Renewed,
    /// The lease has ended.
    LeaseOver,
    /// The claims were written with this revision.
    Written(u64),
    /// The stored claims have another revision, or another box leads.
    Conflict,
}

/// A call that a peer is asked to execute.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct DelegatedCall {
    /// Identifies the call among those of the leader.
    pub call_id: u64,
    /// The call.
    pub call: LeaderCall,
}

/// A peer's answer to a [`DelegatedCall`].
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct DelegatedReply {
    /// Identifier of the call.
    pub call_id: u64,
    /// Its result.
    pub outcome: CallOutcome,
}

/// Executes a call, through peers if the store does not answer this box soon.
///
/// # Errors
/// Fails when neither the store nor a peer answers in time; the call may still take effect.
pub async fn execute(
    gateway: &Gateway,
    socket: &UdpSocket,
    call: LeaderCall,
) -> Result<CallOutcome> {
    let own = call_store(gateway, &call);
    pin!(own);
    match timeout(DELEGATE_AFTER, own.as_mut()).await {
        Ok(Ok(outcome)) => Ok(outcome),
        Ok(Err(error)) => {
            info!(target: "leadership", "event=leader_call_failed cause=\"{error}\"");
            execute_through_peers(gateway, socket, call.clone()).await
        }
        Err(_) => tokio::select! {
            Ok(outcome) = own => Ok(outcome),
            outcome = execute_through_peers(gateway, socket, call.clone()) => outcome,
        },
    }
}

/// Sends a call to the metadata store.
async fn call_store(gateway: &Gateway, call: &LeaderCall) -> Result<CallOutcome> {
    match call {
        LeaderCall::Renew { lease_id, ttl_ms } => {
            let lease = Lease { id: *lease_id, ttl_ms: *ttl_ms };
            let renewed = gateway.metadata.renew_lease(lease).await?;
            Ok(if renewed { CallOutcome::Renewed } else { CallOutcome::LeaseOver })
        }
        LeaderCall::Claim { fence, expected_revision, claims } => {
            let value =
                postcard::to_stdvec(claims).map_err(|error| Error::Message(error.to_string()))?;
            let lease = keys::lease(leadership::LEASE_NAME);
            let store = &gateway.metadata;
            let written = store
                .write_guarded(&keys::claims(), *expected_revision, &value, (&lease, *fence))
                .await?;
            Ok(match written {
                WriteOutcome::Done { revision } => CallOutcome::Written(revision),
                WriteOutcome::Conflict | WriteOutcome::LeaseOver => CallOutcome::Conflict,
            })
        }
    }
}

/// Asks peers to execute a call; the first answer counts.
async fn execute_through_peers(
    gateway: &Gateway,
    socket: &UdpSocket,
    call: LeaderCall,
) -> Result<CallOutcome> {
    let request = DelegatedCall { call_id: fastrand::u64(..), call };
    let call_id = request.call_id;
    let mut replies = gateway.delegated_replies.subscribe();
    let delegates = gateway.state().peers.next_delegates(now_ms());
    let request = Datagram::DelegatedCall(request);
    for delegate in &delegates {
        send(socket, &request, *delegate).await;
    }
    let answered = replies.wait_for(|reply| reply.is_some_and(|reply| reply.call_id == call_id));
    match timeout(PEER_TIMEOUT, answered).await {
        Ok(Ok(reply)) => {
            let outcome = reply.map(|reply| reply.outcome);
            let outcome = outcome.ok_or_else(|| Error::Message("no peer answered".to_owned()))?;
            match outcome {
                CallOutcome::Renewed | CallOutcome::LeaseOver => info!(target: "leadership",
                    "event=renewed_through_peer renewed={}", outcome == CallOutcome::Renewed),
                CallOutcome::Written(_) | CallOutcome::Conflict => info!(target: "leadership",
                    "event=claimed_through_peer outcome={outcome:?}"),
            }
            Ok(outcome)
        }
        Ok(Err(_)) | Err(_) => {
            Err(Error::Message(format!("none of {} peers executed the call", delegates.len())))
        }
    }
}

/// Executes a call for the leader and sends it the result. A failure is not reported: the
/// leader asks another peer when it gets no answer.
pub async fn execute_for_peer(
    gateway: Arc<Gateway>,
    socket: Arc<UdpSocket>,
    request: DelegatedCall,
    peer: SocketAddr,
) {
    match call_store(&gateway, &request.call).await {
        Ok(outcome) => {
            let reply = DelegatedReply { call_id: request.call_id, outcome };
            send(&socket, &Datagram::DelegatedReply(reply), peer).await;
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
