//! Detection of dead connections to peers.
//!
//! Sockets between boxes carry messages in one direction only, so that a socket whose connection
//! has died still accepts messages and reports no error. Each message to a peer must therefore be
//! followed by some reply of that peer. If there is none, a heartbeat requests a reply, and if
//! the heartbeat is not answered either, the connection is redialled. Most messages are answered
//! anyway, so that few heartbeats are needed.

use std::collections::HashMap;

/// Time to wait for a reply before a heartbeat is sent.
const REPLY_WAIT_MS: u64 = 300;
/// Time limit for the reply to a heartbeat. It equals that of a handover, since a long handover
/// message may be ahead of the heartbeat.
const HEARTBEAT_TIMEOUT_MS: u64 = 1500;
/// Time after a reply in which further messages need no reply. A reply to a heartbeat is
/// itself a message: it falls into this period, so that two boxes do not exchange heartbeats
/// forever.
const CONFIRMED_FOR_MS: u64 = 1500;

/// What to do about a peer.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum HeartbeatAction {
    /// Send a heartbeat to the peer.
    SendHeartbeat(String),
    /// Redial the connection, then send a heartbeat.
    Redial(String),
}

/// State of the connection to a peer.
enum PeerState {
    /// The peer has answered; messages need no further reply until then.
    Confirmed { until_ms: u64 },
    /// A message has not been answered yet.
    AwaitingReply { heartbeat_at_ms: u64 },
    /// A heartbeat has not been answered yet.
    HeartbeatSent { deadline_ms: u64, redialled: bool },
}

/// State of the connections to all peers to which messages were sent recently.
#[derive(Default)]
pub struct Heartbeats {
    peers: HashMap<String, PeerState>,
}

impl Heartbeats {
    /// Records a message to the peer at `to`.
    pub fn record_sent(&mut self, now_ms: u64, to: &str) {
        match self.peers.get(to) {
            Some(PeerState::AwaitingReply { .. } | PeerState::HeartbeatSent { .. }) => {}
            Some(PeerState::Confirmed { until_ms }) if now_ms < *until_ms => {}
            Some(PeerState::Confirmed { .. }) | None => {
                let state = PeerState::AwaitingReply { heartbeat_at_ms: now_ms + REPLY_WAIT_MS };
                self.peers.insert(to.to_owned(), state);
            }
        }
    }

    /// Records a reply of the peer at `from`.
    pub fn record_reply(&mut self, now_ms: u64, from: &str) {
        if let Some(state) = self.peers.get_mut(from) {
            *state = PeerState::Confirmed { until_ms: now_ms + CONFIRMED_FOR_MS };
        }
    }

    /// Returns the actions that are due. A peer that does not answer after a redial is dropped
    /// until the next message to it.
    pub fn tick(&mut self, now_ms: u64) -> Vec<HeartbeatAction> {
        let mut actions = Vec::new();
        self.peers.retain(|peer, state| match state {
            PeerState::Confirmed { until_ms } => now_ms < *until_ms,
            PeerState::AwaitingReply { heartbeat_at_ms } if now_ms >= *heartbeat_at_ms => {
                actions.push(HeartbeatAction::SendHeartbeat(peer.clone()));
                *state = PeerState::HeartbeatSent {
                    deadline_ms: now_ms + HEARTBEAT_TIMEOUT_MS,
                    redialled: false,
                };
                true
            }
            PeerState::HeartbeatSent { deadline_ms, redialled } if now_ms >= *deadline_ms => {
                let can_redial = !*redialled;
                if can_redial {
                    actions.push(HeartbeatAction::Redial(peer.clone()));
                    *state = PeerState::HeartbeatSent {
                        deadline_ms: now_ms + HEARTBEAT_TIMEOUT_MS,
                        redialled: true,
                    };
                }
                can_redial
            }
            PeerState::AwaitingReply { .. } | PeerState::HeartbeatSent { .. } => true,
        });
        actions
    }
}
