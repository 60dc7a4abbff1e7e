//! A box as the others know it, and what members say to each other.

use serde::{Deserialize, Serialize};

use crate::ticket::BoxRef;

/// How a member is.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub enum Health {
    /// Answers probes.
    Alive,
    /// Has not answered; may be dead.
    Suspect,
    /// Stops as planned and takes no new work.
    Leaving,
    /// Has stopped or cannot be reached.
    Dead,
}

/// A box as the others know it.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Member {
    /// The box and its incarnation.
    pub id: BoxRef,
    /// Data hall of the box.
    pub hall: String,
    /// Region of the hall.
    pub region: String,
    /// Where the box listens for its peers.
    pub address: String,
    /// Rises each time the box refutes a rumour about itself.
    #[serde(rename = "beat")]
    pub refutations: u32,
    /// How it is.
    pub health: Health,
    /// Who keeps its ledger after a planned stop.
    pub heir: Option<BoxRef>,
}

impl Member {
    /// Order of what is said of one box: the greater is the newer.
    pub(crate) fn rank(&self) -> (u64, u32, Health, bool) {
        (self.id.incarnation, self.refutations, self.health, self.heir.is_some())
    }

    /// Hash of what is said of this box; a suspicion alone does not change it.
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

    /// Bucket of the table that this box falls into.
    pub(crate) fn bucket(&self, buckets: usize) -> usize {
        let hash = blake3::hash(self.id.name.as_bytes());
        usize::from(hash.as_bytes()[0]) % buckets
    }

    /// Whether new work may be sent there.
    #[must_use]
    pub fn takes_work(&self) -> bool {
        matches!(self.health, Health::Alive | Health::Suspect)
    }
}

/// A message between members.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Gossip {
    /// Asks for an [`Gossip::Ack`].
    Ping { seq: u64, digest: u64, updates: Vec<Member> },
    /// Answers a [`Gossip::Ping`].
    Ack { seq: u64, digest: u64, updates: Vec<Member> },
    /// Asks to probe `target` in the sender's place.
    PingReq { seq: u64, target: String, updates: Vec<Member> },
    /// Asks for the members in buckets whose digest differs.
    Compare { digests: Vec<u64> },
    /// Asks for the whole table.
    Join { member: Member },
    /// Answers a [`Gossip::Join`] with a part of the whole table.
    Joined { members: Vec<Member> },
    /// Some members.
    Table { members: Vec<Member> },
    /// Asks who keeps the ledger of a box, and hears a [`Gossip::Table`].
    Heirs { of: BoxRef },
}

/// A message to send.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Outgoing {
    /// Peer address.
    pub to: String,
    /// What to send.
    pub gossip: Gossip,
}
