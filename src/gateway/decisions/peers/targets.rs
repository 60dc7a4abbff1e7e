//! Whom a box tells what it knows.
//!
//! In a small fleet everybody tells all others. In a large one a box tells its own hall, and
//! shows itself to a few boxes of other halls in turn. The bridges of each hall, its
//! strongest boxes, and whoever leads tell the bridges of other halls at once, which pass
//! on what their hall must know: else news crosses halls as slowly as the turns go.

use std::collections::BTreeMap;
use std::net::{IpAddr, SocketAddr};

use crate::gateway::decisions::peers::roles::BRIDGES;
use crate::gateway::decisions::peers::{
    ALIVE_MS, GOSSIP_PERIOD_MS, OTHER_HALLS_FANOUT, Peer, Peers, SMALL_FLEET,
};

/// Who is told.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Audience {
    /// All that are told at all.
    All,
    /// The boxes of the own hall, which mostly use the same upstreams.
    OwnHall,
}

/// How far the word of a box reaches at once in a large fleet.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum GossipScope {
    /// Its own hall.
    OwnHall,
    /// The bridges of all halls too: it is one, or it leads.
    AllBridges,
}

/// Whom a box tells next.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Targets {
    /// Boxes that hear everything.
    pub full: Vec<SocketAddr>,
    /// Boxes of other halls that hear who this box is and what it knows.
    pub abridged: Vec<SocketAddr>,
    /// Bridges of other halls, when news of the own hall as a whole is due.
    pub bridges: Vec<SocketAddr>,
    /// Boxes of the own hall, when news of all other halls is due.
    pub own_hall: Vec<SocketAddr>,
}

impl Peers {
    /// Who is to be told next, when `audience` has something to hear: all are in time, and
    /// once some box was not told of this one.
    #[must_use]
    pub fn due_audience(&self, now_ms: u64, audience: Audience) -> Audience {
        if self.has_untold || now_ms >= self.all_due_at_ms { Audience::All } else { audience }
    }

    /// Whom this box tells next.
    pub fn next_targets(&mut self, now_ms: u64, audience: Audience, reach: GossipScope) -> Targets {
        self.forget(now_ms);
        match self.due_audience(now_ms, audience) {
            Audience::OwnHall => {
                let whole = self.at_peer_port(self.in_own_hall());
                Targets { full: whole, ..Targets::default() }
            }
            Audience::All => {
                self.all_due_at_ms = now_ms + GOSSIP_PERIOD_MS;
                self.all_targets(now_ms, reach)
            }
        }
    }

    fn all_targets(&mut self, now_ms: u64, reach: GossipScope) -> Targets {
        let small = self.known.len() <= SMALL_FLEET;
        let hall = self.own.hall;
        let is_near = |peer: &Peer| small || peer.gossip.hall == hall || !peer.told;
        let (mut whole, mut others): (Vec<IpAddr>, Vec<IpAddr>) =
            self.known.keys().copied().partition(|address| is_near(&self.known[address]));
        for address in &whole {
            self.known.entry(*address).and_modify(|peer| peer.told = true);
        }
        self.has_untold = false;
        let mut targets = Targets::default();
        if reach == GossipScope::AllBridges && !small {
            let bridges = self.bridges(now_ms);
            whole.extend(bridges.iter().filter(|bridge| others.contains(bridge)));
            others.retain(|other| !bridges.contains(other));
            if now_ms >= self.halls_due_at_ms {
                self.halls_due_at_ms = now_ms + GOSSIP_PERIOD_MS;
                targets.bridges = self.at_peer_port(bridges);
                targets.own_hall = self.at_peer_port(self.in_own_hall());
            }
        }
        if !others.is_empty() {
            let start = self.turn % others.len();
            others.rotate_left(start);
        }
        self.turn = self.turn.wrapping_add(OTHER_HALLS_FANOUT);
        others.truncate(OTHER_HALLS_FANOUT);
        if !self.seeds.is_empty() {
            let seed = self.seeds[self.turn % self.seeds.len()];
            if !whole.contains(&seed) && !others.contains(&seed) {
                whole.push(seed);
            }
        }
        targets.full = self.at_peer_port(whole);
        targets.abridged = self.at_peer_port(others);
        targets
    }

    /// The bridges of other halls, by the rank that their own boxes go by. One that says that
    /// it follows the stores of context is one as well, as it may know better.
    fn bridges(&self, now_ms: u64) -> Vec<IpAddr> {
        let mut by_hall: BTreeMap<u32, Vec<_>> = BTreeMap::new();
        let mut bridges = Vec::new();
        for (address, peer) in
            self.alive(now_ms).filter(|(_, one)| one.gossip.hall != self.own.hall)
        {
            let rank = (std::cmp::Reverse(peer.gossip.millicores), *address);
            by_hall.entry(peer.gossip.hall).or_default().push(rank);
            if peer.gossip.follows_caches && now_ms < peer.heard_at_ms + ALIVE_MS {
                bridges.push(*address);
            }
        }
        for mut ranks in by_hall.into_values() {
            ranks.sort_unstable();
            bridges.extend(ranks.into_iter().take(BRIDGES).map(|(_, address)| address));
        }
        bridges.sort_unstable();
        bridges.dedup();
        bridges
    }

    fn in_own_hall(&self) -> Vec<IpAddr> {
        let near = self.known.iter().filter(|(_, peer)| peer.gossip.hall == self.own.hall);
        near.map(|(address, _)| *address).collect()
    }

    pub(super) fn at_peer_port(&self, addresses: Vec<IpAddr>) -> Vec<SocketAddr> {
        let port = self.own.address.port();
        addresses.into_iter().map(|address| SocketAddr::new(address, port)).collect()
    }
}
