//! Whether what is sent to peers arrives.
//!
//! The sockets between boxes carry messages one way each, so that one which has gone
//! silent takes messages for ever and says nothing. Here each message to a peer must
//! be followed by an answer of that peer to something; when none has come, a heartbeat
//! asks for one, and when that is not answered either, the peer is dialled anew.
//! Most messages are answered in any case, so that few heartbeats are sent.

use std::collections::HashMap;

/// Time in which a message's own answer is waited for.
const ANSWER_WAIT_MS: u64 = 300;
/// Time in which a heartbeat must be answered: that of a handover, which may be a
/// long message before it.
const HEARTBEAT_TIMEOUT_MS: u64 = 1500;
/// Time after an answer in which more messages need none. A heartbeat's own answer is
/// a message too: it falls into this time, so that two boxes do not go on for ever.
const CONFIRMED_FOR_MS: u64 = 1500;

/// What to do.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum HeartbeatAction {
    /// Ask the peer for an answer.
    SendHeartbeat(String),
    /// Dial the peer anew, then ask it.
    Redial(String),
}

/// What is known of the way to a peer.
enum PeerState {
    /// The peer has answered.
    Confirmed { until_ms: u64 },
    /// A message is not answered yet.
    AwaitingAnswer { heartbeat_at_ms: u64 },
    /// Nor is a heartbeat.
    HeartbeatSent { deadline_ms: u64, redialled: bool },
}

/// The ways to all peers that were sent something of late.
#[derive(Default)]
pub struct Heartbeats {
    peers: HashMap<String, PeerState>,
}

impl Heartbeats {
    /// Takes note of a message to the peer at `to`.
    pub fn record_sent(&mut self, now_ms: u64, to: &str) {
        match self.peers.get(to) {
            Some(PeerState::AwaitingAnswer { .. } | PeerState::HeartbeatSent { .. }) => {}
            Some(PeerState::Confirmed { until_ms }) if now_ms < *until_ms => {}
            Some(PeerState::Confirmed { .. }) | None => {
                let state = PeerState::AwaitingAnswer { heartbeat_at_ms: now_ms + ANSWER_WAIT_MS };
                self.peers.insert(to.to_owned(), state);
            }
        }
    }

    /// Takes note of an answer of the peer at `from`.
    pub fn record_answer(&mut self, now_ms: u64, from: &str) {
        if let Some(state) = self.peers.get_mut(from) {
            *state = PeerState::Confirmed { until_ms: now_ms + CONFIRMED_FOR_MS };
        }
    }

    /// What is due. A peer that does not answer anew is left until the next message.
    pub fn tick(&mut self, now_ms: u64) -> Vec<HeartbeatAction> {
        let mut actions = Vec::new();
        self.peers.retain(|peer, state| match state {
            PeerState::Confirmed { until_ms } => now_ms < *until_ms,
            PeerState::AwaitingAnswer { heartbeat_at_ms: beat_at_ms } if now_ms >= *beat_at_ms => {
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
            PeerState::AwaitingAnswer { .. } | PeerState::HeartbeatSent { .. } => true,
        });
        actions
    }
}
