//! State of a member, and the messages between members.

use serde::{Deserialize, Serialize};

use crate::ticket::BoxRef;

/// Health of a member.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub enum Health {
    /// Answers probes.
    Alive,
    /// Has not answered a probe; may be dead.
    Suspect,
    /// Is stopping as planned and takes no new work.
    Leaving,
    /// Has stopped or is unreachable.
    Dead,
}

/// State of a box as known to other boxes.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Member {
    /// The box and its incarnation.
    pub id: BoxRef,
    /// Data hall of the box.
    pub hall: String,
    /// Region of the data hall.
    pub region: String,
    /// Address on which the box listens for its peers.
    pub address: String,
    /// Increases each time the box refutes a wrong state that other boxes report of it.
    #[serde(rename = "beat")]
    pub refutations: u32,
    /// Health of the box.
    pub health: Health,
    /// The box that holds its ledger after a planned stop.
    pub heir: Option<BoxRef>,
}

impl Member {
    /// Orders the states of one box from oldest to newest.
    pub(crate) fn rank(&self) -> (u64, u32, Health, bool) {
        (self.id.incarnation, self.refutations, self.health, self.heir.is_some())
    }

    /// Hash of the state; it does not change when the box becomes suspect.
    pub(crate) fn digest(&self) -> u64 {
        let mut hasher = blake3::Hasher::new();
        hasher.update(self.id.name.as_bytes());
        hasher.update(&self.id.incarnation.to_le_bytes());
        hasher.update(&self.refutations.to_le_bytes());
        hasher.update(&[u8::from(self.takes_work()), u8::from(self.heir.is_some())]);
        let mut bytes = [0; 8];
        hasher.finalize_xof().fill(&mut bytes);
        u64::from_le_bytes(bytes)
    }

    /// Bucket of the box in comparisons of views.
    pub(crate) fn bucket(&self, buckets: usize) -> usize {
        let hash = blake3::hash(self.id.name.as_bytes());
        usize::from(hash.as_bytes()[0]) % buckets
    }

    /// Whether new work may be sent to the box.
    #[must_use]
    pub fn takes_work(&self) -> bool {
        matches!(self.health, Health::Alive | Health::Suspect)
    }
}

/// A message between members.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Gossip {
    /// Requests an [`Gossip::Ack`].
    Ping { seq: u64, digest: u64, updates: Vec<Member> },
    /// Answers a [`Gossip::Ping`].
    Ack { seq: u64, digest: u64, updates: Vec<Member> },
    /// Requests that the receiver probes `target` on behalf of the sender.
    PingReq { seq: u64, target: String, updates: Vec<Member> },
    /// Requests the members in the buckets whose digests differ.
    Compare { digests: Vec<u64> },
    /// Requests the whole table.
    Join { member: Member },
    /// Answers a [`Gossip::Join`] with a part of the whole table.
    Joined { members: Vec<Member> },
    /// A part of the members.
    Table { members: Vec<Member> },
    /// Asks which box holds the ledger of a box; answered by a [`Gossip::Table`].
    Heirs { of: BoxRef },
}

/// A message to send.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Outgoing {
    /// Address of the peer.
    pub to: String,
    /// The message.
    pub gossip: Gossip,
}
