//! Chooses the box that grants the trials of a part, and when the hall may try it.

use std::collections::BTreeSet;
use std::net::{IpAddr, SocketAddr};

use crate::gateway::decisions::peers::Peers;
use crate::part_key::PartKey;

/// Time between the trials of two halls, in which each learns how that of the other ended.
const HALL_TURN_MS: u64 = 5000;

impl Peers {
    /// The live boxes in the order in which they own a part, this box included; in a large fleet
    /// those of the own hall.
    #[must_use]
    pub fn trial_owners(&self, now_ms: u64, part: PartKey) -> Vec<SocketAddr> {
        let is_small = self.is_small_fleet();
        let peers = self
            .live_peers(now_ms)
            .filter(|(_, peer)| is_small || peer.gossip.hall == self.local.hall)
            .map(|(address, peer)| (*address, peer.short_id));
        let own = (self.local.address.ip(), self.local.short_id);
        let weight = |short_id: u32| part.hash_fraction(short_id);
        let mut ranked: Vec<(IpAddr, u32)> = peers.chain([own]).collect();
        ranked.sort_by(|(left, left_id), (right, right_id)| {
            weight(*right_id).total_cmp(&weight(*left_id)).then(left.cmp(right))
        });
        self.at_peer_port(ranked.into_iter().map(|(address, _)| address).collect())
    }

    /// How much later than the first hall of a large fleet this hall tries a quarantined part.
    #[must_use]
    pub fn trial_delay_ms(&self, now_ms: u64) -> u64 {
        if self.is_small_fleet() {
            return 0;
        }
        let halls: BTreeSet<u32> =
            self.live_peers(now_ms).map(|(_, peer)| peer.gossip.hall).collect();
        let before = halls.range(..self.local.hall).count();
        before as u64 * HALL_TURN_MS
    }
}
