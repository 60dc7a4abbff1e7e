//! Chooses the peers that keep where a stream began, and those that are asked for it.
//!
//! Both are found by rendezvous hashing: a box that does not know which box began a stream still
//! finds its keepers, and a box that joins or fails moves few streams to other keepers. Most are in
//! the hall of the box that began it, since clients turn to boxes of the same hall; one is in another
//! hall, in case the whole hall fails.

use std::cmp::Reverse;
use std::collections::BTreeMap;
use std::net::{IpAddr, SocketAddr};

use fastrand::Rng;

use crate::gateway::decisions::peers::{Peer, Peers};
use crate::gateway::decisions::stream_origins::StreamId;

/// Peers that keep the origin of a stream, besides the box that began it.
const KEEPERS: usize = 3;
/// Of these, peers of the own hall.
const OWN_HALL_KEEPERS: usize = 2;
/// Peers of the own hall that are asked: also the box that began the stream, and one that has
/// joined since, may rank before its keepers.
const OWN_HALL_ASKED: usize = 4;
/// Peers of each other hall that are asked.
const OTHER_HALL_ASKED: usize = 2;
/// Most peers that are asked about one stream.
const MAX_ASKED: usize = 16;

impl Peers {
    /// The peers to which this box reports where a stream began.
    #[must_use]
    pub fn stream_keepers(&self, now_ms: u64, stream: StreamId) -> Vec<SocketAddr> {
        let (own_hall, other_halls) = self.ranked_for(now_ms, stream);
        let (first, more) = own_hall.split_at(OWN_HALL_KEEPERS.min(own_hall.len()));
        let elsewhere = KEEPERS - first.len();
        let keepers = first.iter().chain(other_halls.iter().take(elsewhere)).chain(more);
        self.at_peer_port(keepers.take(KEEPERS).map(|(_, address, _)| *address).collect())
    }

    /// The peers that may know where a stream began, those of the own hall first. A box that has just
    /// started also asks those from which it has heard nothing yet.
    #[must_use]
    pub fn peers_to_ask(&self, now_ms: u64, stream: StreamId) -> Vec<SocketAddr> {
        let (own_hall, other_halls) = self.ranked_for(now_ms, stream);
        let own_hall = own_hall.into_iter().take(OWN_HALL_ASKED).map(|(_, address, _)| address);
        let mut taken: BTreeMap<u32, usize> = BTreeMap::new();
        let other_halls = other_halls.into_iter().filter_map(|(_, address, hall)| {
            let taken = taken.entry(hall).or_default();
            *taken += 1;
            (*taken <= OTHER_HALL_ASKED).then_some(address)
        });
        let unheard = self.known.iter().filter(|(_, peer)| peer.gossip.incarnation == 0);
        let unheard = unheard.map(|(address, _)| *address);
        let unknown = self.seeds.iter().filter(|seed| !self.known.contains_key(*seed)).copied();
        let asked = own_hall.chain(other_halls).chain(unheard).chain(unknown);
        self.at_peer_port(asked.take(MAX_ASKED).collect())
    }

    /// The live peers of the own hall and those of other halls, each in the order in which they
    /// keep a stream, with their halls.
    fn ranked_for(&self, now_ms: u64, stream: StreamId) -> (Vec<RankedPeer>, Vec<RankedPeer>) {
        let ranked = self
            .live_peers(now_ms)
            .map(|(address, peer)| (Reverse(weight(stream, peer)), *address, peer.gossip.hall));
        let (mut own_hall, mut other_halls): (Vec<_>, Vec<_>) =
            ranked.partition(|(_, _, hall)| *hall == self.local.hall);
        own_hall.sort_unstable();
        other_halls.sort_unstable();
        (own_hall, other_halls)
    }
}

type RankedPeer = (Reverse<u64>, IpAddr, u32);

/// Weight of a peer for a stream; the peers with the highest ones keep it.
fn weight(stream: StreamId, peer: &Peer) -> u64 {
    let short_id = u64::from(peer.short_id);
    Rng::with_seed(stream.0 ^ (short_id << 32 | short_id)).u64(..)
}
