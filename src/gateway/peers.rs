//! The other boxes: who they are, what load they put on upstreams, and whether
//! they know more than this one.
//!
//! Each box tells some others, a few times a second and by datagram, what it
//! knows and does. A lost datagram is made up for by the next. What needs
//! more room than a datagram is fetched by TCP from the peer that has it.

use std::collections::BTreeMap;
use std::net::{IpAddr, SocketAddr};

use serde::{Deserialize, Serialize};

use crate::gateway::upstreams::Load;

/// Time between two messages to the same peers.
pub const GOSSIP_PERIOD_MS: u64 = 250;
/// Peers that are told at once; a larger fleet is told in turn.
const FANOUT: usize = 10;
/// Time after which a peer that says nothing is not counted.
const ALIVE_MS: u64 = 1500;
/// Time after which a peer that says nothing is forgotten.
const FORGET_MS: u64 = 30_000;
/// Peers named in one message.
const NAMED_PEERS: usize = 24;
/// Upstreams whose load is told in one message.
const NAMED_LOADS: usize = 80;
/// Time for which a peer must have known more before it is asked: the store's
/// own change is usually on its way.
const BEHIND_MS: u64 = 300;
/// Peers that are asked at once to renew a lease: one may be gone by now.
const HELPERS: usize = 2;

/// What a box tells the others.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Gossip {
    /// Start of the process; rises with each.
    pub incarnation: u64,
    /// Newest change of the metadata store that it knows.
    pub changed_revision: u64,
    /// Version of the configuration that is in force there.
    pub site_version: u64,
    /// Whether the metadata store answers it.
    pub store_answers: bool,
    /// Other boxes that it has heard of lately.
    pub peers: Vec<IpAddr>,
    /// Load that it puts on upstreams, by their numbers.
    pub loads: Vec<(u32, u16, u32)>,
    /// Tokens that it fetches from stores, by their numbers.
    pub fetches: Vec<(u32, u32)>,
    /// Engines that load weights, by their numbers, and for how long still.
    pub loading: Vec<(u32, u16)>,
    /// Weight versions that engines have reached: engine, model, version.
    pub versions: Vec<(u32, u32, u64)>,
}

#[derive(Clone, Debug, Default)]
struct Peer {
    heard_at_ms: u64,
    gossip: Gossip,
    ahead_since_ms: Option<u64>,
}

/// The other boxes.
#[derive(Debug)]
pub struct Peers {
    own: SocketAddr,
    seeds: Vec<IpAddr>,
    known: BTreeMap<IpAddr, Peer>,
    turn: usize,
    helper_turn: usize,
}

impl Peers {
    /// Knows only the seeds.
    #[must_use]
    pub fn new(own: SocketAddr, seeds: &[IpAddr]) -> Self {
        let seeds = seeds.iter().copied().filter(|seed| *seed != own.ip()).collect();
        Self { own, seeds, known: BTreeMap::new(), turn: 0, helper_turn: 0 }
    }

    /// Takes gossip.
    pub fn hear(&mut self, now_ms: u64, from: IpAddr, gossip: Gossip, own_changed: u64) {
        for address in &gossip.peers {
            self.learn(now_ms, *address);
        }
        let peer = self.known.entry(from).or_default();
        if gossip.incarnation < peer.gossip.incarnation {
            return;
        }
        peer.heard_at_ms = now_ms;
        if gossip.changed_revision > own_changed {
            peer.ahead_since_ms.get_or_insert(now_ms);
        } else {
            peer.ahead_since_ms = None;
        }
        peer.gossip = gossip;
    }

    /// Learns of a box that may be there.
    pub fn learn(&mut self, now_ms: u64, address: IpAddr) {
        if address != self.own.ip() && !self.known.contains_key(&address) {
            let heard_at_ms = now_ms.saturating_sub(ALIVE_MS);
            self.known.insert(address, Peer { heard_at_ms, ..Peer::default() });
        }
    }

    /// A peer that has known more than this box for a while.
    #[must_use]
    pub fn ahead(&self, now_ms: u64, own_changed: u64, urgent: bool) -> Option<SocketAddr> {
        let least_ms = if urgent { 0 } else { BEHIND_MS };
        let ahead = self.alive(now_ms).filter(|(_, peer)| {
            peer.gossip.changed_revision > own_changed
                && peer.ahead_since_ms.is_some_and(|since_ms| now_ms >= since_ms + least_ms)
        });
        let (address, _) = ahead.max_by_key(|(_, peer)| peer.gossip.changed_revision)?;
        Some(SocketAddr::new(*address, self.own.port()))
    }

    /// Number of boxes that serve, this one included.
    #[must_use]
    pub fn boxes(&self, now_ms: u64) -> usize {
        1 + self.alive(now_ms).count()
    }

    /// Load that all other boxes put on upstreams, by their numbers.
    #[must_use]
    pub fn loads(&self, now_ms: u64) -> BTreeMap<u32, Load> {
        let mut loads: BTreeMap<u32, Load> = BTreeMap::new();
        for (_, peer) in self.alive(now_ms) {
            for (number, requests, unread_tokens) in &peer.gossip.loads {
                let load = loads.entry(*number).or_default();
                load.requests += u32::from(*requests);
                load.unread_tokens += unread_tokens;
            }
        }
        loads
    }

    /// Tokens that all other boxes fetch from stores, by their numbers.
    #[must_use]
    pub fn fetches(&self, now_ms: u64) -> BTreeMap<u32, u64> {
        let mut fetches = BTreeMap::new();
        for (_, peer) in self.alive(now_ms) {
            for (number, tokens) in &peer.gossip.fetches {
                *fetches.entry(*number).or_default() += u64::from(*tokens);
            }
        }
        fetches
    }

    /// Who is told next.
    pub fn next_targets(&mut self, now_ms: u64) -> Vec<SocketAddr> {
        let boxes = &mut self.known;
        boxes.retain(|_, peer| now_ms < peer.heard_at_ms + FORGET_MS);
        let mut all: Vec<IpAddr> = boxes.keys().copied().collect();
        let count = all.len().min(FANOUT);
        if !all.is_empty() {
            let start = self.turn % all.len();
            all.rotate_left(start);
        }
        self.turn = self.turn.wrapping_add(count.max(1));
        all.truncate(count);
        if !self.seeds.is_empty() {
            let seed = self.seeds[self.turn % self.seeds.len()];
            if !all.contains(&seed) {
                all.push(seed);
            }
        }
        all.into_iter().map(|address| SocketAddr::new(address, self.own.port())).collect()
    }

    /// Peers that the metadata store answers, other ones each time.
    pub fn next_helpers(&mut self, now_ms: u64) -> Vec<SocketAddr> {
        let mut able: Vec<IpAddr> = self
            .alive(now_ms)
            .filter(|(_, peer)| peer.gossip.store_answers)
            .map(|(address, _)| *address)
            .collect();
        if !able.is_empty() {
            let start = self.helper_turn % able.len();
            able.rotate_left(start);
        }
        self.helper_turn = self.helper_turn.wrapping_add(HELPERS);
        able.truncate(HELPERS);
        able.into_iter().map(|address| SocketAddr::new(address, self.own.port())).collect()
    }

    /// Some boxes that were heard lately, to be named to others.
    #[must_use]
    pub fn named(&self, now_ms: u64) -> Vec<IpAddr> {
        let skip = self.turn % self.known.len().max(1);
        self.alive(now_ms)
            .map(|(address, _)| *address)
            .cycle()
            .skip(skip)
            .take(self.alive(now_ms).count().min(NAMED_PEERS))
            .collect()
    }

    fn alive(&self, now_ms: u64) -> impl Iterator<Item = (&IpAddr, &Peer)> + Clone {
        self.known.iter().filter(move |(_, peer)| now_ms < peer.heard_at_ms + ALIVE_MS)
    }
}

/// The loads that fit one message, the largest first.
#[must_use]
pub fn told_loads(loads: impl Iterator<Item = (u32, Load)>) -> Vec<(u32, u16, u32)> {
    let mut told: Vec<_> = loads
        .filter(|(_, load)| load.requests > 0)
        .map(|(number, load)| {
            let requests = u16::try_from(load.requests).unwrap_or(u16::MAX);
            (number, requests, load.unread_tokens)
        })
        .collect();
    told.sort_by_key(|(_, requests, _)| std::cmp::Reverse(*requests));
    told.truncate(NAMED_LOADS);
    told
}
