//! Decides which boxes follow the metadata store and the context stores themselves, and from
//! which box (the publisher) the others receive the changes.

use std::net::{IpAddr, SocketAddr};

use crate::gateway::decisions::gossip_message::{Gossip, MetadataStoreStatus};
use crate::gateway::decisions::peers::{Peer, Peers, SMALL_FLEET};

/// Boxes of a hall that follow the metadata store in a larger fleet and publish its changes to
/// the others. If one fails, the bridges of its hall learn of changes from those of other halls.
const FOLLOWERS: usize = 1;
/// Most engines whose context each box of a small fleet follows: an engine takes a connection and a
/// call a second. A box of a large fleet that has just started takes its fleet for a small one until
/// it knows more peers, and would otherwise begin to follow thousands.
const MAX_FOLLOWED_ENGINES: usize = 512;
/// Boxes of a hall that follow the context stores and pass messages on between halls. One of them
/// may fail.
pub(super) const BRIDGES: usize = 2;

/// Interval at which reports of silent peers expire in a small fleet, and in a large one.
const EXPIRY_PERIOD_MS: u64 = 100;
const LARGE_FLEET_EXPIRY_PERIOD_MS: u64 = 500;
/// Time between the fetches of one box of a hall and the next from outside the hall.
const FAR_FETCH_STEP_MS: u64 = 500;
/// Longest time by which such a fetch is delayed.
const MAX_FAR_FETCH_DELAY_MS: u64 = 8000;
/// Time between the beginning of a long listing by one box of a hall and the next.
const LISTING_STEP_MS: u64 = 500;

impl Peers {
    /// Whether the fleet is small enough for all boxes to send each other everything.
    #[must_use]
    pub fn is_small_fleet(&self) -> bool {
        self.known.len() <= SMALL_FLEET
    }

    /// Whether this box follows the context that engines have, if there are so many of them.
    #[must_use]
    pub fn is_engine_follower(&self, engines: usize) -> bool {
        self.is_small_fleet() && engines <= MAX_FOLLOWED_ENGINES
    }

    /// Whether this box has to follow the metadata store itself. In a small fleet all boxes do;
    /// in a large one, the highest-ranked box of each hall to which the store is available.
    #[must_use]
    pub fn is_follower(&self, now_ms: u64) -> bool {
        if self.is_small_fleet() {
            return true;
        }
        let mut higher_ranked = self
            .higher_ranked(now_ms)
            .filter(|(_, peer)| peer.gossip.metadata_store != MetadataStoreStatus::Failing);
        // The boxes that rank higher may not have started to follow yet.
        let mut following = self.live_peers(now_ms).filter(|(_, peer)| {
            peer.gossip.hall == self.local.hall
                && peer.gossip.metadata_store == MetadataStoreStatus::Available
        });
        // Ends at the first one: each box asks ten times a second, of all boxes of the fleet.
        higher_ranked.nth(FOLLOWERS - 1).is_none() || following.next().is_none()
    }

    /// Whether this box has to follow the context stores itself. In a small fleet all boxes do;
    /// in a large one, the highest-ranked of each hall, even while the metadata store is
    /// available to no box. A box that does not reach the stores leaves it to others.
    #[must_use]
    pub fn is_cache_follower(&self, now_ms: u64, misses_stores: bool) -> bool {
        let mut higher_ranked =
            self.higher_ranked(now_ms).filter(|(_, peer)| !peer.gossip.misses_stores);
        !misses_stores && (self.is_small_fleet() || higher_ranked.nth(BRIDGES - 1).is_none())
    }

    /// How much later than the first box of its hall this one fetches the items of the metadata
    /// store from outside its hall. All boxes of a hall may fall behind together, and an update may
    /// be megabytes: if all fetched it over the link to another hall or region at once, none might
    /// get it in time. The boxes that rank below get it within their hall meanwhile.
    #[must_use]
    pub fn far_fetch_delay_ms(&self, now_ms: u64) -> u64 {
        let position = u64::try_from(self.higher_ranked(now_ms).count()).unwrap_or(u64::MAX);
        position.saturating_mul(FAR_FETCH_STEP_MS).min(MAX_FAR_FETCH_DELAY_MS)
    }

    /// How much later than the first box of its hall this one reads a long listing of the metadata
    /// store, unless a peer gives it the items before. There is no longest delay: otherwise the boxes
    /// of a large hall would all read it then, and the store's link would be too slow for each of them.
    #[must_use]
    pub fn listing_delay_ms(&self, now_ms: u64) -> u64 {
        if self.is_small_fleet() {
            return 0;
        }
        let may_list = self
            .higher_ranked(now_ms)
            .filter(|(_, peer)| peer.gossip.metadata_store != MetadataStoreStatus::Failing);
        u64::try_from(may_list.count()).unwrap_or(u64::MAX).saturating_mul(LISTING_STEP_MS)
    }

    /// Whether the fleet is large, or its size is not known yet: when it starts, boxes that have not
    /// heard from each other would all ask the store for each of thousands of new entries.
    #[must_use]
    pub fn may_be_large_fleet(&self, now_ms: u64) -> bool {
        !self.is_small_fleet() || !self.is_fleet_known(now_ms)
    }

    /// Interval at which reports of silent peers expire. What peers report is applied as it arrives;
    /// in a large fleet, its expiry is work for hundreds of peers and upstreams.
    #[must_use]
    pub fn expiry_period_ms(&self) -> u64 {
        if self.is_small_fleet() { EXPIRY_PERIOD_MS } else { LARGE_FLEET_EXPIRY_PERIOD_MS }
    }

    /// Boxes of the own hall that rank higher than this one: first by processor share, then by
    /// address.
    fn higher_ranked(&self, now_ms: u64) -> impl Iterator<Item = (&IpAddr, &Peer)> {
        let rank = |millicores: u32, address: IpAddr| (std::cmp::Reverse(millicores), address);
        let own_rank = rank(self.local.millicores, self.local.address.ip());
        self.live_peers(now_ms).filter(move |(address, peer)| {
            peer.gossip.hall == self.local.hall
                && rank(peer.gossip.millicores, **address) < own_rank
        })
    }

    /// The peer from which this box receives the changes of the metadata store: one of its own
    /// hall to which the store is available, and not the same for all boxes. It stays the same
    /// even if it does not answer this box. A different publisher that still defers a removal
    /// would bring back an item that is already gone. Newer changes are fetched from any peer.
    #[must_use]
    pub fn publisher(&self, now_ms: u64) -> Option<SocketAddr> {
        let has_store = |gossip: &Gossip| gossip.metadata_store == MetadataStoreStatus::Available;
        self.preferred(self.live_in_own_hall(now_ms, has_store), |_| true)
    }

    /// The peer from which this box receives the contents of context stores. In a small fleet it may
    /// be of another hall, if none of the own hall follows them.
    #[must_use]
    pub fn cache_publisher(&self, now_ms: u64) -> Option<SocketAddr> {
        let may_be_asked = |peer: &Peer| peer.may_be_asked(now_ms);
        let own_hall = self.live_in_own_hall(now_ms, |gossip| gossip.follows_caches);
        self.preferred(own_hall, may_be_asked).or_else(|| {
            let followers = self.live_peers(now_ms).filter(|(_, peer)| peer.gossip.follows_caches);
            self.preferred(followers.filter(|_| self.is_small_fleet()), may_be_asked)
        })
    }

    fn live_in_own_hall(
        &self,
        now_ms: u64,
        matches: impl Fn(&Gossip) -> bool,
    ) -> impl Iterator<Item = (&IpAddr, &Peer)> {
        self.live_peers(now_ms)
            .filter(move |(_, peer)| peer.gossip.hall == self.local.hall && matches(&peer.gossip))
    }

    /// The preferred one of `peers`, which differs from box to box. Peers that `may_be_asked`
    /// accepts come first.
    fn preferred<'a>(
        &self,
        peers: impl Iterator<Item = (&'a IpAddr, &'a Peer)>,
        may_be_asked: impl Fn(&Peer) -> bool,
    ) -> Option<SocketAddr> {
        let (address, _) = peers.min_by_key(|(_, peer)| (!may_be_asked(peer), peer.preference))?;
        Some(SocketAddr::new(*address, self.local.address.port()))
    }
}
