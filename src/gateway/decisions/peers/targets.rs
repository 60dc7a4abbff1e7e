//! Decides to which boxes a message is sent.
//!
//! In a small fleet each box sends its messages to all others. In a large one it sends them to
//! its own hall, and an abridged form to a few boxes of other halls in turn. In a hall of hundreds
//! of boxes the periodic messages go to a part of the hall at a time: if each box told all others
//! four times a second, the messages that a box receives would grow with its hall, and those of the
//! fleet with the square of it. While the load is sparse (`news_pace`), such a part is smaller. What
//! is urgent still goes to the whole hall at once, and the boxes that others depend on, followers,
//! bridges and the leader, always send to all of it. Bridges are in each part, since they sum up the
//! load of the hall for others. The bridges
//! of each hall (its highest-ranked boxes) and the leader also send theirs directly to the bridges
//! of other halls, which pass on what their hall needs. Otherwise changes would cross halls only as
//! fast as the boxes take turns.

use std::collections::BTreeMap;
use std::net::{IpAddr, SocketAddr};

use crate::gateway::decisions::news_pace::Pace;
use crate::gateway::decisions::peers::roles::BRIDGES;
use crate::gateway::decisions::peers::{
    GOSSIP_PERIOD_MS, OTHER_HALLS_FANOUT, PEER_TIMEOUT_MS, Peer, Peers, SMALL_FLEET,
};

/// Peers of the own hall that get a message in each period in a larger hall, in turn.
const HALL_PART: usize = 64;
/// The same, while the load is sparse.
const SPARSE_HALL_PART: usize = 16;

/// Most boxes to which a report goes that must not wait for the gossip, unless the own hall has more.
const MAX_URGENT_REPORT_TARGETS: usize = 64;

/// Boxes for which a message is meant.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Audience {
    /// All boxes that get messages from this one.
    All,
    /// The same, but only the next part of a large hall.
    NextPart,
    /// The boxes that this one has not introduced itself to.
    Newcomers,
    /// The boxes of the own hall, which mostly use the same upstreams.
    OwnHall,
}

/// How far the messages of a box go directly in a large fleet.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum GossipScope {
    /// To the own hall, a part of it at a time if it is large.
    OwnHall,
    /// To all of the own hall, because the box follows the metadata store for it.
    WholeHall,
    /// Also to the bridges of all halls, because the box is a bridge or the leader.
    AllBridges,
}

/// Boxes to which the next messages go.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Targets {
    /// Boxes that get the full gossip.
    pub full: Vec<SocketAddr>,
    /// Whether all boxes of the own hall are among them.
    pub includes_hall: bool,
    /// Boxes of other halls that get the abridged gossip.
    pub abridged: Vec<SocketAddr>,
    /// Bridges of other halls that get the summary of the own hall, if it is due.
    pub bridges: Vec<SocketAddr>,
    /// Boxes of the own hall that get the summary of all other halls, if it is due.
    pub own_hall: Vec<SocketAddr>,
}

impl Peers {
    /// The audience of the next message when there is something to send to `audience`: all boxes
    /// if their regular message is due, or else only the newcomers if there are any.
    #[must_use]
    pub fn due_audience(&self, now_ms: u64, audience: Audience) -> Audience {
        match audience {
            Audience::OwnHall | Audience::Newcomers if now_ms >= self.all_halls_due_at_ms => {
                Audience::NextPart
            }
            Audience::OwnHall if self.has_uninformed_peer => Audience::Newcomers,
            _ => audience,
        }
    }

    /// The boxes to which the next messages go.
    pub fn next_targets(&mut self, now_ms: u64, audience: Audience, scope: GossipScope) -> Targets {
        self.forget_silent(now_ms);
        match self.due_audience(now_ms, audience) {
            Audience::OwnHall => {
                let full = self.at_peer_port(self.own_hall());
                Targets { full, includes_hall: true, ..Targets::default() }
            }
            Audience::Newcomers => self.newcomers(),
            audience @ (Audience::All | Audience::NextPart) => {
                self.all_halls_due_at_ms = now_ms + GOSSIP_PERIOD_MS;
                let in_parts = audience == Audience::NextPart && scope == GossipScope::OwnHall;
                self.all_targets(now_ms, scope, in_parts)
            }
        }
    }

    /// The boxes that this one has not introduced itself to, and only these: when a fleet starts,
    /// each box learns of others many times a second. A box of another hall that this one only
    /// knows by name gets the abridged gossip, since others tell it of its peers.
    fn newcomers(&mut self) -> Targets {
        self.has_uninformed_peer = false;
        let (is_small, hall) = (self.known.len() <= SMALL_FLEET, self.local.hall);
        let (mut full, mut abridged) = (Vec::new(), Vec::new());
        for (address, peer) in self.known.iter_mut().filter(|(_, peer)| !peer.knows_this_box) {
            peer.knows_this_box = true;
            let is_heard = peer.gossip.incarnation > 0;
            let gets_full = is_small || is_heard || self.seeds.contains(address);
            if gets_full || peer.gossip.hall == hall {
                full.push(*address);
            } else {
                abridged.push(*address);
            }
        }
        let (full, abridged) = (self.at_peer_port(full), self.at_peer_port(abridged));
        Targets { full, abridged, ..Targets::default() }
    }

    fn all_targets(&mut self, now_ms: u64, scope: GossipScope, in_parts: bool) -> Targets {
        let is_small = self.known.len() <= SMALL_FLEET;
        let hall = self.local.hall;
        let own_hall = self.own_hall();
        let includes_hall = !in_parts || self.hall_part(own_hall.len()) == own_hall.len();
        let part = if includes_hall { own_hall } else { self.next_hall_part(own_hall) };
        let gets_full = |address: &IpAddr, peer: &Peer| {
            is_small || !peer.knows_this_box || part.binary_search(address).is_ok()
        };
        let others = self
            .known
            .iter()
            .filter(|(address, peer)| peer.gossip.hall != hall || gets_full(address, peer));
        let (mut full, mut abridged): (Vec<IpAddr>, Vec<IpAddr>) = others
            .map(|(address, _)| *address)
            .partition(|address| gets_full(address, &self.known[address]));
        for address in &full {
            self.known.entry(*address).and_modify(|peer| peer.knows_this_box = true);
        }
        self.has_uninformed_peer = false;
        let mut targets = Targets { includes_hall, ..Targets::default() };
        if scope == GossipScope::AllBridges && !is_small {
            let bridges = self.bridges(now_ms);
            full.extend(bridges.iter().filter(|bridge| abridged.contains(bridge)));
            abridged.retain(|address| !bridges.contains(address));
            if now_ms >= self.summaries_due_at_ms {
                self.summaries_due_at_ms = now_ms + GOSSIP_PERIOD_MS;
                targets.bridges = self.at_peer_port(bridges);
                targets.own_hall = self.at_peer_port(self.own_hall());
            }
        }
        if !abridged.is_empty() {
            let start = self.rotation % abridged.len();
            abridged.rotate_left(start);
        }
        self.rotation = self.rotation.wrapping_add(OTHER_HALLS_FANOUT);
        abridged.truncate(OTHER_HALLS_FANOUT);
        if !self.seeds.is_empty() {
            let seed = self.seeds[self.rotation % self.seeds.len()];
            if !full.contains(&seed) && !abridged.contains(&seed) {
                full.push(seed);
            }
        }
        targets.full = self.at_peer_port(full);
        targets.abridged = self.at_peer_port(abridged);
        targets
    }

    /// The bridges of other halls, found by the same ranking as their own halls use. A box that
    /// reports that it follows the context stores is included too, because it may know its rank
    /// better.
    fn bridges(&self, now_ms: u64) -> Vec<IpAddr> {
        let mut by_hall: BTreeMap<u32, Vec<_>> = BTreeMap::new();
        let mut bridges = Vec::new();
        for (address, peer) in
            self.live_peers(now_ms).filter(|(_, peer)| peer.gossip.hall != self.local.hall)
        {
            let rank = (std::cmp::Reverse(peer.gossip.millicores), *address);
            by_hall.entry(peer.gossip.hall).or_default().push(rank);
            if peer.gossip.follows_caches && now_ms < peer.last_receive_ms + PEER_TIMEOUT_MS {
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

    /// The boxes to which a client may turn next: all live ones of the own hall, and some others,
    /// first those that this box has not heard from yet, since it may have just started itself.
    #[must_use]
    pub fn urgent_report_targets(&self, now_ms: u64) -> Vec<SocketAddr> {
        let is_other_hall = |peer: &Peer| peer.gossip.hall != self.local.hall;
        let (other_halls, own_hall): (Vec<_>, Vec<_>) =
            self.live_peers(now_ms).partition(|(_, peer)| is_other_hall(peer));
        let mut targets: Vec<IpAddr> = own_hall.into_iter().map(|(address, _)| *address).collect();
        let unheard = self.known.iter().filter(|(_, peer)| peer.gossip.incarnation == 0);
        let unknown_seeds = self.seeds.iter().filter(|seed| !self.known.contains_key(*seed));
        let others = unknown_seeds
            .chain(unheard.map(|(address, _)| address))
            .chain(other_halls.into_iter().map(|(address, _)| address));
        let more = MAX_URGENT_REPORT_TARGETS.saturating_sub(targets.len());
        targets.extend(others.take(more));
        self.at_peer_port(targets)
    }

    /// The part of the own hall that gets the next periodic message, in the order of addresses.
    fn next_hall_part(&mut self, mut own_hall: Vec<IpAddr>) -> Vec<IpAddr> {
        let count = self.hall_part(own_hall.len());
        let start = self.hall_rotation % own_hall.len();
        self.hall_rotation = start + count;
        own_hall.rotate_left(start);
        let others = own_hall.split_off(count);
        let is_bridge = |address: &IpAddr| self.known[address].gossip.follows_caches;
        own_hall.extend(others.into_iter().filter(is_bridge));
        own_hall.sort_unstable();
        own_hall
    }

    /// Number of boxes of the own hall, out of `hall_peers`, that get each periodic message.
    fn hall_part(&self, hall_peers: usize) -> usize {
        match self.news_pace.pace() {
            // A hall of this size is told as a whole at either pace.
            _ if hall_peers <= HALL_PART => hall_peers,
            Pace::Prompt => HALL_PART,
            Pace::Relaxed => SPARSE_HALL_PART,
        }
    }

    /// Time in which periodic messages that go as far as `scope` reach the own hall.
    #[must_use]
    pub fn round_ms(&self, scope: GossipScope) -> u16 {
        let hall_peers = self.own_hall().len();
        let rounds = match scope {
            GossipScope::OwnHall => hall_peers.div_ceil(self.hall_part(hall_peers).max(1)).max(1),
            GossipScope::WholeHall | GossipScope::AllBridges => 1,
        };
        u16::try_from(rounds as u64 * GOSSIP_PERIOD_MS).unwrap_or(u16::MAX)
    }

    /// Number of boxes in the own hall, including this one and those that have fallen silent.
    #[must_use]
    pub fn known_hall_boxes(&self) -> usize {
        1 + self.known.values().filter(|peer| peer.gossip.hall == self.local.hall).count()
    }

    fn own_hall(&self) -> Vec<IpAddr> {
        let own_hall = self.known.iter().filter(|(_, peer)| peer.gossip.hall == self.local.hall);
        own_hall.map(|(address, _)| *address).collect()
    }

    pub(super) fn at_peer_port(&self, addresses: Vec<IpAddr>) -> Vec<SocketAddr> {
        let port = self.local.address.port();
        addresses.into_iter().map(|address| SocketAddr::new(address, port)).collect()
    }
}
