//! Who follows the stores itself, and from whom the other boxes learn.

use std::net::{IpAddr, SocketAddr};

use crate::gateway::decisions::gossip_message::{Gossip, MetadataStoreStatus};
use crate::gateway::decisions::peers::{Peer, Peers, SMALL_FLEET};

/// Boxes of a hall that follow the metadata store in a larger fleet; the others learn from
/// them. Should one fail, its hall's bridges hear of changes from those of other halls.
const FOLLOWERS: usize = 1;
/// Boxes of a hall that follow the stores of context, and pass on between halls. One may
/// fail.
pub(super) const BRIDGES: usize = 2;

impl Peers {
    /// Whether all boxes tell each other everything.
    #[must_use]
    pub fn is_small_fleet(&self) -> bool {
        self.known.len() <= SMALL_FLEET
    }

    /// Whether this box is to follow the metadata store itself: all do in a
    /// small fleet, the strongest that the store answers in each hall of a
    /// large one.
    #[must_use]
    pub fn is_follower(&self, now_ms: u64) -> bool {
        if self.is_small_fleet() {
            return true;
        }
        let stronger = self
            .stronger(now_ms)
            .filter(|(_, peer)| peer.gossip.metadata_store != MetadataStoreStatus::Failing);
        // Those that are to follow may not have begun to.
        let following = self.alive(now_ms).filter(|(_, peer)| {
            peer.gossip.hall == self.own.hall
                && peer.gossip.metadata_store == MetadataStoreStatus::Available
        });
        stronger.count() < FOLLOWERS || following.count() == 0
    }

    /// Whether this box is to follow the stores of context itself: all do in a
    /// small fleet, the strongest of each hall in a large one, also while the
    /// metadata store answers nobody.
    #[must_use]
    pub fn is_cache_follower(&self, now_ms: u64) -> bool {
        self.is_small_fleet() || self.stronger(now_ms).count() < BRIDGES
    }

    /// Boxes of the own hall that go before this one.
    fn stronger(&self, now_ms: u64) -> impl Iterator<Item = (&IpAddr, &Peer)> {
        let rank = |millicores: u32, address: IpAddr| (std::cmp::Reverse(millicores), address);
        let own_rank = rank(self.own.millicores, self.own.address.ip());
        self.alive(now_ms).filter(move |(address, peer)| {
            peer.gossip.hall == self.own.hall && rank(peer.gossip.millicores, **address) < own_rank
        })
    }

    /// The peer from which this box learns of the metadata store: one of its hall
    /// that the store answers, other boxes another. It is the same one whether or not it
    /// answers this box: another, which holds a removal in doubt still, would bring back
    /// what is gone. Newer changes are fetched from any peer.
    #[must_use]
    pub fn publisher(&self, now_ms: u64) -> Option<SocketAddr> {
        let answers = |gossip: &Gossip| gossip.metadata_store == MetadataStoreStatus::Available;
        self.nearest(self.of_hall(now_ms, answers), |_| true)
    }

    /// The peer from which this box learns what stores of context keep.
    #[must_use]
    pub fn cache_publisher(&self, now_ms: u64) -> Option<SocketAddr> {
        let follows = |gossip: &Gossip| gossip.follows_caches;
        self.nearest(self.of_hall(now_ms, follows), |peer| peer.answers_at(now_ms))
    }

    fn of_hall(
        &self,
        now_ms: u64,
        able: impl Fn(&Gossip) -> bool,
    ) -> impl Iterator<Item = (&IpAddr, &Peer)> {
        self.alive(now_ms)
            .filter(move |(_, peer)| peer.gossip.hall == self.own.hall && able(&peer.gossip))
    }

    /// One of some peers, for each box another; those go first that `answers` accepts.
    fn nearest<'a>(
        &self,
        peers: impl Iterator<Item = (&'a IpAddr, &'a Peer)>,
        answers: impl Fn(&Peer) -> bool,
    ) -> Option<SocketAddr> {
        let (address, _) = peers.min_by_key(|(_, peer)| (!answers(peer), peer.distance))?;
        Some(SocketAddr::new(*address, self.own.address.port()))
    }
}
