//! Calls of the leader to the metadata store, which peers make for it when the store answers
//! them and not the leader. Else a leader that is cut off from the store only would be
//! replaced, and could not write down whom it orders.

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

/// Time after which peers are asked too: many times the usual 4 ms.
const DELEGATE_AFTER: Duration = Duration::from_millis(150);
/// Time in which a peer must answer; there must be time for another.
const PEER_TIMEOUT: Duration = Duration::from_millis(400);

/// What the leader wants of the metadata store.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum LeaderCall {
    /// Its lease is to be renewed.
    Renew {
        /// Id of the lease.
        lease_id: u64,
        /// Time for which each renewal holds.
        ttl_ms: u64,
    },
    /// What it is to order is to be written down, while it leads.
    Claim {
        /// Its fencing token.
        fence: u64,
        /// Revision of what is written so far.
        expected_revision: u64,
        /// What is to be written.
        claims: Claims,
    },
}

/// What became of a call.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum CallOutcome {
    /// The lease was renewed.
    Renewed,
    /// The lease is over.
    LeaseOver,
    /// The claims are written, as this revision.
    Written(u64),
    /// Something else is written there, or the leader is another.
    Conflict,
}

/// Asks a peer to make a call.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct DelegatedCall {
    /// Tells the leader's calls apart.
    pub call_id: u64,
    /// The call.
    pub call: LeaderCall,
}

/// A peer's answer.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct DelegatedReply {
    /// Which call was made.
    pub call_id: u64,
    /// What became of it.
    pub outcome: CallOutcome,
}

/// Makes a call, through peers if need be.
///
/// # Errors
/// Fails when neither the store nor a peer answers in time; the call may be done all the same.
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
            let lease = keys::lease(leadership::NAME);
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
            let outcome = outcome.ok_or_else(|| Error::Message("no answer".to_owned()))?;
            match outcome {
                CallOutcome::Renewed | CallOutcome::LeaseOver => info!(target: "leadership",
                    "event=renewed_through_peer renewed={}", outcome == CallOutcome::Renewed),
                CallOutcome::Written(_) | CallOutcome::Conflict => info!(target: "leadership",
                    "event=claimed_through_peer outcome={outcome:?}"),
            }
            Ok(outcome)
        }
        Ok(Err(_)) | Err(_) => {
            Err(Error::Message(format!("none of {} peers made the call", delegates.len())))
        }
    }
}

/// Makes a call for a peer and tells it. A failure is not told: the peer asks
/// another.
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
