//! The other boxes: who they are, what load they put on upstreams, and whether
//! they know more than this one.
//!
//! Each box tells some others, a few times a second and by datagram, what it
//! knows and does. A lost datagram is made up for by the next. What needs
//! more room than a datagram is fetched by TCP from the peer that has it.

mod halls;
mod roles;
mod sums;
mod targets;

use std::collections::{BTreeMap, BTreeSet};
use std::net::{IpAddr, SocketAddr};

use crate::gateway::decisions::gossip_message::{Gossip, LoadChanges, MetadataStoreStatus};
use crate::gateway::decisions::peers::halls::Halls;
use crate::gateway::decisions::peers::sums::Sums;
pub use crate::gateway::decisions::peers::targets::{Audience, GossipScope, Targets};
use crate::gateway::decisions::view::ViewDigest;
use crate::names::number;

/// Time between two messages to the same peers.
pub const GOSSIP_PERIOD_MS: u64 = 250;
/// Peers up to which all are told at once, whatever their hall.
const SMALL_FLEET: usize = 12;
/// Peers of other halls that a box of a larger fleet introduces itself to at once, in turn.
const OTHER_HALLS_FANOUT: usize = 4;
/// Time after which a peer that says nothing is not counted.
const ALIVE_MS: u64 = 1500;
/// Messages of a peer of another hall that may be lost in a row.
const LOST_MESSAGES: u64 = 3;
/// Time after which a peer that says nothing is forgotten.
pub const PEER_RETENTION_MS: u64 = 30_000;
/// Peers named in one message.
const NAMED_PEERS: usize = 24;
/// Time for which a peer must have known more before it is asked: the store's
/// own change is usually on its way.
const BEHIND_MS: u64 = 300;
/// Time for which a peer that was asked and did not answer is asked only when there is
/// no other: the rest of it would pass with asking the same one again.
const UNANSWERED_MS: u64 = 2000;
/// Time in which the peers that a first one names answer, and name others.
const LEARN_MS: u64 = 200;
/// Peers that are asked at once to renew a lease: one may be gone by now.
const DELEGATES: usize = 2;

/// What a box tells of itself in every message.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct LocalBox {
    /// Number of the box, from its address.
    pub number: u32,
    /// Where peers reach it.
    pub address: SocketAddr,
    /// Number of its data hall.
    pub hall: u32,
    /// Processor share that it has, in thousandths of a core.
    pub millicores: u32,
}

#[derive(Clone, Debug, Default)]
struct Peer {
    heard_at_ms: u64,
    gossip: Gossip,
    ahead_since_ms: Option<u64>,
    /// Until when others are asked first.
    asked_last_until_ms: u64,
    /// Whether it was told of this box at least once.
    told: bool,
    /// Whether what it told is in the sums.
    counted: bool,
    /// Revision of the metadata store that it knows, by the word of its hall's bridge.
    bridged_revision: u64,
    /// Orders those that this box may learn from; another number in each box.
    distance: u32,
}

impl Peer {
    /// One that was not heard yet.
    fn new(own_address: IpAddr, address: IpAddr) -> Self {
        Self { distance: number(&format!("{address} {own_address}")), ..Self::default() }
    }

    /// Whether nothing speaks against asking it.
    fn answers_at(&self, now_ms: u64) -> bool {
        now_ms >= self.asked_last_until_ms
    }
}

/// The other boxes.
#[derive(Debug)]
pub struct Peers {
    own: LocalBox,
    seeds: Vec<IpAddr>,
    known: BTreeMap<IpAddr, Peer>,
    turn: usize,
    /// When all are told next, however often the own hall is told before.
    all_due_at_ms: u64,
    delegate_turn: usize,
    first_heard_at_ms: Option<u64>,
    /// Whether some peer was not told of this box yet.
    has_untold: bool,
    /// When the next news of whole halls is due.
    halls_due_at_ms: u64,
    /// What the peers that count told, put together.
    sums: Sums,
    /// What bridges told of whole halls.
    halls: Halls,
}

impl Peers {
    /// Knows only the seeds.
    #[must_use]
    pub fn new(own: LocalBox, seeds: &[IpAddr]) -> Self {
        let seeds = seeds.iter().copied().filter(|seed| *seed != own.address.ip()).collect();
        let known = BTreeMap::new();
        Self {
            own,
            seeds,
            known,
            turn: 0,
            all_due_at_ms: 0,
            delegate_turn: 0,
            first_heard_at_ms: None,
            has_untold: false,
            halls_due_at_ms: 0,
            sums: Sums::default(),
            halls: Halls::default(),
        }
    }

    /// What this box tells of itself.
    #[must_use]
    pub fn local(&self) -> LocalBox {
        self.own
    }

    /// Takes gossip; true when a box is known now that was not told of this one.
    pub fn receive_gossip(
        &mut self,
        now_ms: u64,
        from: IpAddr,
        gossip: Gossip,
        own: ViewDigest,
    ) -> bool {
        for address in &gossip.peers {
            self.add_address(now_ms, *address);
        }
        let own_address = self.own.address.ip();
        let is_small = self.is_small_fleet();
        let peer = self.known.entry(from).or_insert_with(|| Peer::new(own_address, from));
        if gossip.incarnation < peer.gossip.incarnation {
            return false;
        }
        // Another incarnation at the same address knows nothing of this box.
        peer.told &= gossip.incarnation == peer.gossip.incarnation;
        self.has_untold |= !peer.told;
        peer.heard_at_ms = now_ms;
        self.first_heard_at_ms.get_or_insert(now_ms);
        if is_ahead(gossip.view_digest, own) {
            peer.ahead_since_ms.get_or_insert(now_ms);
        } else {
            peer.ahead_since_ms = None;
        }
        if peer.counted {
            self.sums.subtract(&peer.gossip);
        }
        // Bridges tell what other halls do together.
        peer.counted = is_small || gossip.hall == self.own.hall;
        if peer.counted {
            self.sums.add(&gossip);
            self.sums.heard(now_ms, &gossip.loads);
        }
        peer.gossip = gossip;
        self.has_untold
    }

    /// Takes the loads that a peer has changed since its last gossip. Those of a box that has
    /// not introduced itself wait for its gossip.
    pub fn receive_load_changes(&mut self, now_ms: u64, from: IpAddr, changes: &LoadChanges) {
        let Some(peer) = self.known.get_mut(&from) else { return };
        if changes.incarnation != peer.gossip.incarnation {
            return;
        }
        peer.heard_at_ms = now_ms;
        if peer.gossip.hall != self.own.hall {
            return;
        }
        if peer.counted {
            self.sums.subtract(&peer.gossip);
        }
        peer.gossip.change_loads(&changes.loads);
        self.sums.add(&peer.gossip);
        self.sums.heard(now_ms, &changes.loads);
        peer.counted = true;
    }

    /// Learns of a box that may be there.
    pub fn add_address(&mut self, now_ms: u64, address: IpAddr) {
        let own_address = self.own.address.ip();
        if address != own_address && !self.known.contains_key(&address) {
            let heard_at_ms = now_ms.saturating_sub(ALIVE_MS);
            let peer = Peer { heard_at_ms, ..Peer::new(own_address, address) };
            self.known.insert(address, peer);
            self.has_untold = true;
        }
    }

    /// Whether a peer knows something of the metadata store that this box does not.
    #[must_use]
    pub fn has_different_view(&self, address: IpAddr, own: ViewDigest) -> bool {
        self.known.get(&address).is_some_and(|peer| {
            let view_digest = peer.gossip.view_digest;
            is_ahead(view_digest, own)
                || view_digest.last_change_revision == own.last_change_revision
                    && view_digest.checksum != own.checksum
        })
    }

    /// A peer that has known more than this box for a while. A box that does
    /// not follow the store itself believes its publisher at once, and keeps to
    /// it when two followers differ: removals in doubt end at different times.
    #[must_use]
    pub fn catch_up_source(
        &self,
        now_ms: u64,
        own: ViewDigest,
        link: MetadataStoreStatus,
    ) -> Option<SocketAddr> {
        let publisher = self.publisher(now_ms).filter(|_| link == MetadataStoreStatus::NotUsed);
        let ahead = self.alive(now_ms).filter(|(address, peer)| {
            let view_digest = peer.gossip.view_digest;
            let believed = publisher.is_some_and(|publisher| publisher.ip() == **address);
            if believed && view_digest.last_change_revision == own.last_change_revision {
                return view_digest.checksum != own.checksum;
            }
            let at_once = believed || link == MetadataStoreStatus::Failing;
            let least_ms = if at_once { 0 } else { BEHIND_MS };
            let since_ms = peer.ahead_since_ms.filter(|_| is_ahead(view_digest, own));
            since_ms.is_some_and(|since_ms| now_ms >= since_ms + least_ms)
        });
        let (address, _) = ahead.max_by_key(|(_, peer)| {
            (
                peer.answers_at(now_ms),
                peer.gossip.hall == self.own.hall,
                peer.gossip.view_digest.last_change_revision,
            )
        })?;
        Some(SocketAddr::new(*address, self.own.address.port()))
    }

    /// Notes that a peer was asked and did not answer: its gossip may still arrive.
    pub fn note_unanswered(&mut self, now_ms: u64, address: IpAddr) {
        if let Some(peer) = self.known.get_mut(&address) {
            peer.asked_last_until_ms = now_ms + UNANSWERED_MS;
        }
    }

    /// Whether the size of the fleet can be told by the peers that are known.
    #[must_use]
    pub fn is_fleet_known(&self, now_ms: u64) -> bool {
        self.seeds.is_empty()
            || self.first_heard_at_ms.is_some_and(|heard_at_ms| now_ms >= heard_at_ms + LEARN_MS)
    }

    /// Number of boxes that serve, this one included.
    #[must_use]
    pub fn live_boxes(&self, now_ms: u64) -> usize {
        1 + self.alive(now_ms).count()
    }

    /// Forgets peers that have said nothing for long.
    fn forget(&mut self, now_ms: u64) {
        let sums = &mut self.sums;
        self.known.retain(|_, peer| {
            let stays = now_ms < peer.heard_at_ms + PEER_RETENTION_MS;
            if !stays && peer.counted {
                sums.subtract(&peer.gossip);
            }
            stays
        });
    }

    /// Peers that the metadata store answers, other ones each time.
    pub fn next_delegates(&mut self, now_ms: u64) -> Vec<SocketAddr> {
        let mut able: Vec<IpAddr> = self
            .alive(now_ms)
            .filter(|(_, peer)| peer.gossip.metadata_store == MetadataStoreStatus::Available)
            .map(|(address, _)| *address)
            .collect();
        if !able.is_empty() {
            let start = self.delegate_turn % able.len();
            able.rotate_left(start);
        }
        self.delegate_turn = self.delegate_turn.wrapping_add(DELEGATES);
        able.truncate(DELEGATES);
        self.at_peer_port(able)
    }

    /// Every box that was heard and not forgotten, this one included.
    #[must_use]
    pub fn heard_boxes(&self) -> BTreeSet<IpAddr> {
        let heard = self.known.iter().filter(|(_, peer)| peer.gossip.incarnation > 0);
        heard.map(|(address, _)| *address).chain([self.own.address.ip()]).collect()
    }

    /// Every box that may be there, whether or not it was heard; not this one.
    #[must_use]
    pub fn addresses(&self) -> Vec<IpAddr> {
        self.known.keys().copied().collect()
    }

    /// Whether a box has told that it knows what a revision of the metadata store brought.
    #[must_use]
    pub fn has_reached_revision(&self, address: IpAddr, revision: u64) -> bool {
        let peer = self.known.get(&address).filter(|peer| peer.gossip.incarnation > 0);
        peer.is_some_and(|peer| {
            peer.gossip.view_digest.last_change_revision.max(peer.bridged_revision) >= revision
        })
    }

    /// Some boxes that were heard lately, to be named to others.
    #[must_use]
    pub fn addresses_to_share(&self, now_ms: u64) -> Vec<IpAddr> {
        let skip = self.turn % self.known.len().max(1);
        self.alive(now_ms)
            .map(|(address, _)| *address)
            .cycle()
            .skip(skip)
            .take(self.alive(now_ms).count().min(NAMED_PEERS))
            .collect()
    }

    fn alive(&self, now_ms: u64) -> impl Iterator<Item = (&IpAddr, &Peer)> + Clone {
        let bounds = self.silence_bounds();
        let heard = self.known.iter().filter(|(_, peer)| peer.gossip.incarnation > 0);
        heard.filter(move |(_, peer)| bounds.is_alive(now_ms, peer))
    }

    fn silence_bounds(&self) -> SilenceBounds {
        let turns = (self.known.len() / OTHER_HALLS_FANOUT) as u64;
        let turns_ms = LOST_MESSAGES * turns * GOSSIP_PERIOD_MS;
        let other_hall_ms = ALIVE_MS + if self.is_small_fleet() { 0 } else { turns_ms };
        SilenceBounds { own_hall: self.own.hall, other_hall_ms }
    }
}

/// For how long peers may be silent and still count.
#[derive(Clone, Copy, Debug)]
struct SilenceBounds {
    own_hall: u32,
    /// Longest silence of a peer of another hall, which tells this box in turn with others.
    other_hall_ms: u64,
}

impl SilenceBounds {
    fn is_alive(&self, now_ms: u64, peer: &Peer) -> bool {
        let is_near = peer.gossip.hall == self.own_hall;
        now_ms < peer.heard_at_ms + if is_near { ALIVE_MS } else { self.other_hall_ms }
    }
}

fn is_ahead(view_digest: ViewDigest, own: ViewDigest) -> bool {
    view_digest.last_change_revision > own.last_change_revision
}
