//! Chooses peers through which to reach upstreams that this box cannot reach itself.

use std::net::IpAddr;

use fastrand::Rng;

use crate::gateway::decisions::peers::{Peer, Peers};
use crate::gateway::decisions::reach::MIN_MISSED;

/// Peers that are asked for one connection.
const MAX_ASKED: usize = 3;
/// Time after a peer has declined a tunnel in which others are asked first.
const DECLINED_MS: u64 = 1000;

impl Peers {
    /// Peers to ask for a connection to an upstream in the hall with the short id `upstream_hall`,
    /// the preferred one first. Peers that have lately not answered in time come last: on a busy machine
    /// one may be late, and it may be the only helper. Peers that reach their upstreams come first. Among them, those of the
    /// own hall are preferred, then those of the upstream's: the bytes cross between halls once at
    /// most. Of those that are drawn, the one with the fewest tunnels for its processor share comes
    /// first.
    #[must_use]
    pub fn tunnel_peers(&self, now_ms: u64, upstream_hall: u32, rng: &mut Rng) -> Vec<IpAddr> {
        let rank = |peer: &Peer| {
            let distance = match peer.gossip.hall {
                hall if hall == self.local.hall => 0,
                hall if hall == upstream_hall => 1,
                _ => 2,
            };
            let is_avoided = usize::from(peer.gossip.missed_upstreams) >= MIN_MISSED
                || now_ms < peer.avoid_tunnels_until_ms;
            (!peer.may_be_asked(now_ms), is_avoided, distance)
        };
        let mut offering: Vec<_> = self
            .live_peers(now_ms)
            .filter(|(_, peer)| peer.gossip.offers_tunnels)
            .map(|(address, peer)| (rank(peer), *address, peer))
            .collect();
        rng.shuffle(&mut offering);
        offering.sort_by_key(|(rank, ..)| *rank);
        offering.truncate(MAX_ASKED);
        offering.sort_by(|(left_rank, _, left), (right_rank, _, right)| {
            left_rank.cmp(right_rank).then(load(left).total_cmp(&load(right)))
        });
        offering.into_iter().map(|(_, address, _)| address).collect()
    }

    /// Notes that a peer has declined a tunnel.
    pub fn note_declined_tunnel(&mut self, now_ms: u64, address: IpAddr) {
        if let Some(peer) = self.known.get_mut(&address) {
            peer.avoid_tunnels_until_ms = now_ms + DECLINED_MS;
        }
    }

    /// Whether a peer may keep tunnels for this box.
    #[must_use]
    pub fn offers_tunnels(&self, now_ms: u64, address: IpAddr) -> bool {
        self.known.get(&address).is_some_and(|peer| {
            peer.gossip.offers_tunnels && self.silence_limits().is_live(now_ms, peer)
        })
    }
}

/// Tunnels that a peer keeps for others, for each core that it has.
fn load(peer: &Peer) -> f64 {
    f64::from(peer.gossip.tunnels) / f64::from(peer.gossip.millicores.max(1))
}
