//! Position of this box among the boxes of its hall, for work that is divided without agreement.

use std::net::IpAddr;

use crate::gateway::decisions::cold_start::HallRank;
use crate::gateway::decisions::peers::{PEER_TIMEOUT_MS, Peer, Peers};

impl Peers {
    /// Rank of this box for an upstream; `None` if this box may not know all boxes of its hall,
    /// because it has just started or hears none of them.
    ///
    /// Boxes that have stopped count until they are forgotten. Their part of the work remains
    /// undone, but no two boxes take the same part, however their lists of live boxes differ.
    #[must_use]
    pub fn hall_rank(&self, now_ms: u64, upstream: u32) -> Option<HallRank> {
        if !self.seeds.is_empty() && !self.knows_hall(now_ms) {
            return None;
        }
        let own_score = score(upstream, self.local.short_id);
        let scores = self.possible_hall_peers().map(|(_, peer)| score(upstream, peer.short_id));
        Some(HallRank {
            rank: scores.clone().filter(|peer_score| *peer_score > own_score).count(),
            boxes: scores.count() + 1,
        })
    }

    /// Whether this box has had time to learn of the boxes of its hall and hears one of them, or
    /// boxes of other halls if it has none.
    fn knows_hall(&self, now_ms: u64) -> bool {
        let had_time =
            self.first_receive_ms.is_some_and(|receive_ms| now_ms >= receive_ms + PEER_TIMEOUT_MS);
        let mut hall_peers = self.possible_hall_peers().peekable();
        let hears_hall = if hall_peers.peek().is_none() {
            self.live_peers(now_ms).next().is_some()
        } else {
            hall_peers.any(|(_, peer)| is_heard(now_ms, peer))
        };
        had_time && hears_hall
    }

    /// The peers that are in this box's hall, or whose hall is not known yet.
    fn possible_hall_peers(&self) -> impl Iterator<Item = (&IpAddr, &Peer)> + Clone {
        self.known
            .iter()
            .filter(|(_, peer)| peer.gossip.incarnation == 0 || peer.gossip.hall == self.local.hall)
    }
}

fn is_heard(now_ms: u64, peer: &Peer) -> bool {
    peer.gossip.incarnation > 0 && now_ms < peer.last_receive_ms + PEER_TIMEOUT_MS
}

/// Score of a box for an upstream, the same at every box.
fn score(upstream: u32, box_short_id: u32) -> (u32, u32) {
    // Fibonacci hashing: the upper bits depend on all lower ones.
    ((upstream ^ box_short_id).wrapping_mul(0x9e37_79b9), box_short_id)
}
