//! Chooses the box that issues the permits for an upstream with a rate limit.

use std::net::{IpAddr, SocketAddr};

use crate::gateway::decisions::peers::Peers;

impl Peers {
    /// The box that issues the permits for an upstream in a hall: a live one of that hall, or of any
    /// hall if that has none. Boxes that are stopping are left out, `is_serving` says whether this one
    /// is. `None` if this box does not know the others well enough.
    #[must_use]
    pub fn permit_issuer(
        &self,
        now_ms: u64,
        upstream: u32,
        hall: u32,
        is_serving: bool,
    ) -> Option<SocketAddr> {
        if !self.is_fleet_known(now_ms) {
            return None;
        }
        // Boxes offer tunnels for as long as they are not stopping.
        let peers = self
            .live_peers(now_ms)
            .filter(|(_, peer)| peer.gossip.offers_tunnels)
            .map(|(address, peer)| (*address, peer.short_id, peer.gossip.hall));
        let local = (self.local.address.ip(), self.local.short_id, self.local.hall);
        let boxes = peers.chain(is_serving.then_some(local));
        let (address, ..) = boxes.max_by_key(|(address, short_id, box_hall)| {
            (*box_hall == hall, score(upstream, *short_id), *address)
        })?;
        Some(self.at_peer_port(vec![address]).remove(0))
    }

    /// Whether an address is that of this box.
    #[must_use]
    pub fn is_local(&self, address: IpAddr) -> bool {
        address == self.local.address.ip()
    }
}

fn score(upstream: u32, box_short_id: u32) -> u32 {
    // Fibonacci hashing: the upper bits depend on all lower ones.
    (upstream ^ box_short_id).wrapping_mul(0x9e37_79b9)
}
