//! Whether this box reaches upstreams over its own network links.
//!
//! A box may be cut off from all upstreams while clients, the metadata store and its peers reach it.
//! What it sees of upstreams then says nothing about them. A single upstream that only peers reach is
//! no proof of it: the box is cut off if it reaches none of several, including some of those that it
//! has not missed yet.
//!
//! A round of probes costs a box, and the peers that it asks for tunnels, the same however many upstreams
//! are out of reach. *Load pattern:* a hall of thousands of upstreams is cut off from all boxes of the
//! other halls, none of which can help another.

use std::collections::BTreeSet;
use std::net::SocketAddr;

use fastrand::Rng;

use crate::gateway::decisions::upstream::Upstream;

/// Most upstreams that are probed in one round.
const MAX_PROBES: usize = 64;
/// Most of them that are only taken to be out of reach, like others of their hall: one that is reached
/// shows that the path to the hall works again.
const MAX_INFERRED_PROBES: usize = 4;
/// Most of them for which peers are asked, unless this box is cut off. The next round follows at once if
/// a peer reaches one.
const MAX_PEER_PROBES: usize = 4;
/// Upstreams out of reach, while peers reach them, from which on it may be the box that is cut off.
pub const MIN_MISSED: usize = 2;

/// What this box reaches over its own network links.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Reach {
    cut_off: bool,
    misses_stores: bool,
}

impl Reach {
    /// Whether this box is cut off from all upstreams.
    #[must_use]
    pub fn is_cut_off(self) -> bool {
        self.cut_off
    }

    /// Whether this box cannot follow the context stores, and peers may.
    #[must_use]
    pub fn misses_stores(self) -> bool {
        self.misses_stores
    }

    /// Records that a call to a context store failed. Peers may reach it if they reach the `missed`
    /// upstreams that this box does not.
    pub fn record_store_failure(&mut self, missed: usize) {
        self.misses_stores |= missed >= MIN_MISSED;
    }

    /// Takes over the result of a round of probes: how many upstreams are out of reach that peers
    /// reach, and whether any upstream was reached. Returns whether this has changed anything.
    pub fn update(&mut self, missed: usize, any_reached: bool) -> bool {
        self.misses_stores &= missed > 0;
        let cut_off = missed >= MIN_MISSED && !any_reached;
        std::mem::replace(&mut self.cut_off, cut_off) != cut_off
    }
}

/// A probe of an upstream.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Probe {
    pub id: String,
    pub hall: String,
    pub address: SocketAddr,
    /// Whether peers are asked for a tunnel if this box does not reach it.
    pub asks_peers: bool,
}

/// Draws the probes of one round from those `upstreams` that this box is known not to reach.
pub fn draw_probes<'a>(
    upstreams: impl Iterator<Item = &'a Upstream> + Clone,
    is_cut_off: bool,
    rng: &mut Rng,
) -> Vec<Probe> {
    let missing = upstreams.filter(|upstream| {
        (upstream.is_unreachable() || upstream.needs_tunnel()) && !upstream.is_superseded()
    });
    let is_found = |upstream: &&Upstream| is_cut_off || !upstream.is_inferred_unreachable();
    let mut drawn = rng.choose_multiple(missing.clone().filter(is_found), MAX_PROBES);
    let inferred = missing.filter(|upstream| !is_found(upstream));
    drawn.extend(rng.choose_multiple(inferred, MAX_INFERRED_PROBES));
    // First those for which no peer has been asked yet.
    drawn.sort_by_key(|upstream| upstream.is_known_unreachable());
    let max_asking = if is_cut_off { MAX_PROBES } else { MAX_PEER_PROBES };
    let mut asking = 0;
    let probes = drawn.into_iter().map(|upstream| {
        let asks_peers = upstream.is_unreachable() && asking < max_asking;
        asking += usize::from(asks_peers);
        Probe {
            id: upstream.id.clone(),
            hall: upstream.entry.hall.clone(),
            address: upstream.entry.address,
            asks_peers,
        }
    });
    probes.collect()
}

/// Halls about which peers were asked in a round, for more than one upstream and in vain. `is_missed`
/// tells whether neither this box nor a peer has reached an upstream.
pub fn unreached_halls(round: &[Probe], is_missed: impl Fn(&Probe) -> bool) -> BTreeSet<&str> {
    let asked = round.iter().filter(|probe| probe.asks_peers);
    let halls: BTreeSet<&str> = asked.clone().map(|probe| probe.hall.as_str()).collect();
    let is_unreached = |hall: &&str| {
        let mut in_hall = asked.clone().filter(|probe| probe.hall == **hall);
        in_hall.clone().count() >= MIN_MISSED && in_hall.all(&is_missed)
    };
    halls.into_iter().filter(is_unreached).collect()
}
