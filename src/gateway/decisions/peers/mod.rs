//! The other boxes (peers): which ones are running, what load they put on upstreams, and whether
//! their view of the metadata store is newer.
//!
//! Each box sends its state to some others several times a second by datagram. The next datagram
//! makes up for a lost one. What does not fit into a datagram is fetched by TCP from the peer
//! that has it.

mod hall_rank;
mod halls;
mod permit_issuer;
mod roles;
mod stream_keepers;
mod sums;
mod targets;
mod trial_owners;
mod tunnel_peers;

use std::collections::{BTreeMap, BTreeSet};
use std::net::{IpAddr, SocketAddr};

use crate::gateway::decisions::gossip_message::{Gossip, LoadChanges, MetadataStoreStatus};
use crate::gateway::decisions::news_pace::{NewsPace, Pace};
use crate::gateway::decisions::peers::halls::HallTotals;
use crate::gateway::decisions::peers::sums::Sums;
pub use crate::gateway::decisions::peers::targets::{Audience, GossipScope, Targets};
use crate::gateway::decisions::view::ViewDigest;
use crate::names::short_id;

/// Time between two messages to the same peers.
pub const GOSSIP_PERIOD_MS: u64 = 250;
/// Most peers of a small fleet, in which every message goes to all peers in all halls.
const SMALL_FLEET: usize = 12;
/// Peers of other halls that get a message in each period in a larger fleet, in turn.
const OTHER_HALLS_FANOUT: usize = 4;
/// Silence after which a peer of the own hall is no longer counted as live, if each of its messages
/// goes to this box.
const PEER_TIMEOUT_MS: u64 = 1500;
/// Number of consecutive messages from a peer that sends to others in between that may be lost.
const MAX_LOST_MESSAGES: u64 = 3;
/// Silence after which a peer is forgotten, unless its messages reach this box less often than that.
pub const PEER_RETENTION_MS: u64 = 30_000;
/// Time for which a silent box may still be running, and be cut off: far longer than the longest network
/// partition.
pub const MAX_ABSENCE_MS: u64 = 600_000;
/// Most peer addresses in one message.
const MAX_SHARED_ADDRESSES: usize = 24;
/// Time for which a peer's view must have been newer before this box asks for an update: the
/// store usually delivers the change itself meanwhile.
const LAG_TOLERANCE_MS: u64 = 300;
/// Time for which a peer that did not answer is asked only if there is no other. Without it, all
/// the time left could go into asking the same peer again.
const UNANSWERED_BACKOFF_MS: u64 = 2000;
/// Time after the first message from any peer within which its messages, and those of the peers
/// that they list, have made the other boxes known.
const DISCOVERY_MS: u64 = 200;
/// Peers that are asked at once to renew a lease, since one may have stopped meanwhile.
const DELEGATES_AT_ONCE: usize = 2;

/// What this box reports of itself in every message.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct LocalBox {
    /// Short id of the box, a hash of its address.
    pub short_id: u32,
    /// Address at which peers reach it.
    pub address: SocketAddr,
    /// Short id of the data hall.
    pub hall: u32,
    /// Processor share of the box, in thousandths of a core.
    pub millicores: u32,
}

#[derive(Clone, Debug, Default)]
struct Peer {
    /// When a message from the peer last arrived. A peer that is only known by its address counts
    /// as silent.
    last_receive_ms: u64,
    gossip: Gossip,
    ahead_since_ms: Option<u64>,
    /// Until when other peers are preferred, because this one did not answer.
    avoid_asking_until_ms: u64,
    /// Until when others are asked for tunnels first, because this one has declined one.
    avoid_tunnels_until_ms: u64,
    /// Whether this box has introduced itself to the peer since the peer last started.
    knows_this_box: bool,
    /// Whether the peer's gossip is included in the sums.
    in_sums: bool,
    /// Revision of the metadata store that the peer has reached, as reported by the bridge of its
    /// hall.
    bridged_revision: u64,
    /// Order in which this box prefers peers to learn from; differs from box to box.
    preference: u32,
    /// Short id of the peer, a hash of its address.
    short_id: u32,
}

impl Peer {
    /// A peer from which nothing has been received yet.
    fn new(own_address: IpAddr, address: IpAddr) -> Self {
        Self {
            preference: short_id(&format!("{address} {own_address}")),
            short_id: short_id(&address.to_string()),
            ..Self::default()
        }
    }

    /// Whether the peer may be asked, because it has not recently failed to answer.
    fn may_be_asked(&self, now_ms: u64) -> bool {
        now_ms >= self.avoid_asking_until_ms
    }
}

/// The other boxes.
#[derive(Debug)]
pub struct Peers {
    local: LocalBox,
    seeds: Vec<IpAddr>,
    known: BTreeMap<IpAddr, Peer>,
    /// Boxes that are forgotten and may still be running, with the time when each was last heard.
    absent: BTreeMap<IpAddr, u64>,
    rotation: usize,
    hall_rotation: usize,
    /// When the next message to all halls is due, however often the own hall gets one before.
    all_halls_due_at_ms: u64,
    delegate_rotation: usize,
    first_receive_ms: Option<u64>,
    /// Whether this box still has to introduce itself to some peer.
    has_uninformed_peer: bool,
    /// When the next hall summaries are due.
    summaries_due_at_ms: u64,
    /// Sums over the gossip of all live peers.
    sums: Sums,
    /// Summaries of other halls, received from bridges.
    halls: HallTotals,
    /// How soon this box tells its hall of load.
    news_pace: NewsPace,
}

impl Peers {
    /// Creates a list that knows no peers yet, only the addresses of `seeds` to contact first.
    #[must_use]
    pub fn new(local: LocalBox, seeds: &[IpAddr]) -> Self {
        let seeds = seeds.iter().copied().filter(|seed| *seed != local.address.ip()).collect();
        let known = BTreeMap::new();
        Self {
            local,
            seeds,
            known,
            absent: BTreeMap::new(),
            rotation: 0,
            hall_rotation: 0,
            all_halls_due_at_ms: 0,
            delegate_rotation: 0,
            first_receive_ms: None,
            has_uninformed_peer: false,
            summaries_due_at_ms: 0,
            sums: Sums::default(),
            halls: HallTotals::default(),
            news_pace: NewsPace::default(),
        }
    }

    /// What this box reports of itself.
    #[must_use]
    pub fn local(&self) -> LocalBox {
        self.local
    }

    /// How soon this box tells its hall of load.
    #[must_use]
    pub fn news_pace(&self) -> Pace {
        self.news_pace.pace()
    }

    /// Takes over the number of requests in progress at all `upstreams`, as far as this box knows.
    pub fn update_news_pace(&mut self, now_ms: u64, requests: u32, upstreams: usize) {
        self.news_pace.update(now_ms, requests, upstreams);
    }

    /// Takes over gossip from a peer. Returns true if this box still has to introduce itself to
    /// some peer.
    pub fn receive_gossip(
        &mut self,
        now_ms: u64,
        from: IpAddr,
        gossip: Gossip,
        own: ViewDigest,
    ) -> bool {
        for address in &gossip.peers {
            self.add_address(now_ms, *address);
        }
        let own_address = self.local.address.ip();
        let is_small = self.is_small_fleet();
        self.absent.remove(&from);
        let peer = self.known.entry(from).or_insert_with(|| Peer::new(own_address, from));
        if gossip.incarnation < peer.gossip.incarnation {
            return false;
        }
        // A restarted peer knows nothing of this box.
        peer.knows_this_box &= gossip.incarnation == peer.gossip.incarnation;
        self.has_uninformed_peer |= !peer.knows_this_box;
        peer.last_receive_ms = now_ms;
        self.first_receive_ms.get_or_insert(now_ms);
        if is_ahead(gossip.view_digest, own) {
            peer.ahead_since_ms.get_or_insert(now_ms);
        } else {
            peer.ahead_since_ms = None;
        }
        if peer.in_sums {
            self.sums.subtract(&peer.gossip);
            self.sums.accounts.subtract_work(&peer.gossip.accounts);
        }
        // The load of other halls comes with the summaries from bridges.
        peer.in_sums = is_small || gossip.hall == self.local.hall;
        if peer.in_sums {
            self.sums.add(&gossip);
            self.sums.note_received(now_ms, &gossip.loads);
            self.sums.accounts.add_work(&gossip.accounts);
            self.sums.accounts.note_refusals(now_ms, &gossip.accounts);
        }
        peer.gossip = gossip;
        self.has_uninformed_peer
    }

    /// Takes over the loads that changed since the peer's last gossip. They are ignored if no
    /// gossip of this incarnation has been received yet.
    pub fn receive_load_changes(&mut self, now_ms: u64, from: IpAddr, changes: &LoadChanges) {
        let Some(peer) = self.known.get_mut(&from) else { return };
        if changes.incarnation != peer.gossip.incarnation {
            return;
        }
        peer.last_receive_ms = now_ms;
        if peer.gossip.hall != self.local.hall {
            return;
        }
        if peer.in_sums {
            self.sums.subtract(&peer.gossip);
        } else {
            self.sums.accounts.add_work(&peer.gossip.accounts);
        }
        peer.gossip.change_loads(&changes.loads);
        self.sums.add(&peer.gossip);
        self.sums.note_received(now_ms, &changes.loads);
        peer.in_sums = true;
    }

    /// Adds the address of a box that may be running.
    pub fn add_address(&mut self, now_ms: u64, address: IpAddr) {
        let own_address = self.local.address.ip();
        if address != own_address && !self.known.contains_key(&address) {
            let last_receive_ms = now_ms.saturating_sub(PEER_TIMEOUT_MS);
            let peer = Peer { last_receive_ms, ..Peer::new(own_address, address) };
            self.known.insert(address, peer);
            self.absent.remove(&address);
            self.has_uninformed_peer = true;
        }
    }

    /// Whether the peer's view of the metadata store is newer than that of this box, or differs
    /// at the same revision.
    #[must_use]
    pub fn has_different_view(&self, address: IpAddr, own: ViewDigest) -> bool {
        self.known.get(&address).is_some_and(|peer| {
            let view_digest = peer.gossip.view_digest;
            is_ahead(view_digest, own)
                || view_digest.last_change_revision == own.last_change_revision
                    && view_digest.checksum != own.checksum
        })
    }

    /// The peer from which to fetch an update of the metadata view, if one has been ahead for
    /// long enough. A box that does not follow the metadata store itself asks its publisher at
    /// once. At equal revisions it goes by its publisher only: followers can differ for a while,
    /// because they end the deferral of removals at different times.
    #[must_use]
    pub fn catch_up_source(
        &self,
        now_ms: u64,
        own: ViewDigest,
        metadata_store: MetadataStoreStatus,
    ) -> Option<SocketAddr> {
        let publisher =
            self.publisher(now_ms).filter(|_| metadata_store == MetadataStoreStatus::NotUsed);
        let other_hall_delay_ms = self.far_fetch_delay_ms(now_ms);
        // A box of a small fleet reads the items from the store itself, which is as soon.
        let needs_items = own.last_change_revision == 0 && !self.is_small_fleet();
        let ahead = self.live_peers(now_ms).filter(|(address, peer)| {
            let view_digest = peer.gossip.view_digest;
            let is_publisher = publisher.is_some_and(|publisher| publisher.ip() == **address);
            if is_publisher && view_digest.last_change_revision == own.last_change_revision {
                return view_digest.checksum != own.checksum;
            }
            let at_once =
                is_publisher || needs_items || metadata_store == MetadataStoreStatus::Failing;
            let is_own_hall = peer.gossip.hall == self.local.hall;
            let min_ms = if at_once { 0 } else { LAG_TOLERANCE_MS }
                + if is_own_hall { 0 } else { other_hall_delay_ms };
            let since_ms = peer.ahead_since_ms.filter(|_| is_ahead(view_digest, own));
            since_ms.is_some_and(|since_ms| now_ms >= since_ms + min_ms)
        });
        // To a box without items, each peer that has them is as good as the newest, and asking
        // different ones spreads the load when all boxes start together.
        let (address, _) = ahead.max_by_key(|(_, peer)| {
            (
                peer.may_be_asked(now_ms),
                peer.gossip.hall == self.local.hall,
                if needs_items { 0 } else { peer.gossip.view_digest.last_change_revision },
                peer.preference,
            )
        })?;
        Some(SocketAddr::new(*address, self.local.address.port()))
    }

    /// Notes that a peer did not answer a request. Its gossip may still arrive.
    pub fn note_unanswered(&mut self, now_ms: u64, address: IpAddr) {
        if let Some(peer) = self.known.get_mut(&address) {
            peer.avoid_asking_until_ms = now_ms + UNANSWERED_BACKOFF_MS;
        }
    }

    /// Whether the known peers show the size of the fleet: this box has no seeds, or the first peer
    /// from which it received gossip has had time to make it known to the others.
    #[must_use]
    pub fn is_fleet_known(&self, now_ms: u64) -> bool {
        self.seeds.is_empty()
            || self.first_receive_ms.is_some_and(|receive_ms| now_ms >= receive_ms + DISCOVERY_MS)
    }

    /// Number of live boxes, including this one.
    #[must_use]
    pub fn live_boxes(&self, now_ms: u64) -> usize {
        1 + self.live_peers(now_ms).count()
    }

    /// Number of boxes that may be running, including this one, those that it does not hear and those
    /// that it knows by name only. A box that is cut off hears none of the others.
    #[must_use]
    pub fn possible_boxes(&self) -> usize {
        let unknown_seeds = self
            .seeds
            .iter()
            .filter(|seed| !self.known.contains_key(*seed) && !self.absent.contains_key(*seed));
        1 + self.known.len() + self.absent.len() + unknown_seeds.count()
    }

    /// Boxes that are forgotten and may still be running, with the time when each was last heard.
    pub fn absent(&self) -> impl Iterator<Item = (IpAddr, u64)> {
        self.absent.iter().map(|(address, last_receive_ms)| (*address, *last_receive_ms))
    }

    /// When the load reports of other boxes of the own hall arrived, on average; now if there are none.
    /// Those of boxes that have just fallen silent count until they expire.
    #[must_use]
    pub fn mean_report_at_ms(&self, now_ms: u64) -> u64 {
        let hall = self.local.hall;
        let reporting = self.known.values().filter(|peer| peer.in_sums && peer.gossip.hall == hall);
        let ages_ms = reporting.map(|peer| now_ms.saturating_sub(peer.last_receive_ms));
        let (sum_ms, count) =
            ages_ms.fold((0_u64, 0_u64), |(sum_ms, count), age_ms| (sum_ms + age_ms, count + 1));
        now_ms - sum_ms.checked_div(count).unwrap_or_default()
    }

    /// Whether another box of the own hall is live.
    #[must_use]
    pub fn has_live_hall_peer(&self, now_ms: u64) -> bool {
        self.live_peers(now_ms).any(|(_, peer)| peer.gossip.hall == self.local.hall)
    }

    /// Forgets peers that have been silent for too long.
    fn forget_silent(&mut self, now_ms: u64) {
        let (retention_ms, own_hall) = (self.retention_ms(), self.local.hall);
        let (sums, absent) = (&mut self.sums, &mut self.absent);
        absent.retain(|_, last_receive_ms| now_ms < *last_receive_ms + MAX_ABSENCE_MS);
        self.known.retain(|address, peer| {
            let is_of_other_hall = peer.gossip.incarnation > 0 && peer.gossip.hall != own_hall;
            let peer_retention_ms = if is_of_other_hall { retention_ms } else { PEER_RETENTION_MS };
            let is_kept = now_ms < peer.last_receive_ms + peer_retention_ms;
            if !is_kept && peer.in_sums {
                sums.subtract(&peer.gossip);
            }
            // Boxes offer tunnels for as long as they are not stopping.
            let may_run = peer.gossip.incarnation == 0 || peer.gossip.offers_tunnels;
            if !is_kept && may_run {
                absent.insert(*address, peer.last_receive_ms);
            }
            is_kept
        });
    }

    /// Time in which every running box has been heard from. Boxes of other halls send to this one in
    /// turn with others: the larger the fleet, the less often.
    #[must_use]
    pub fn retention_ms(&self) -> u64 {
        PEER_RETENTION_MS.max(self.silence_limits().other_hall_ms)
    }

    /// Peers to which the metadata store is available.
    fn delegates(&self, now_ms: u64) -> impl Iterator<Item = IpAddr> {
        self.live_peers(now_ms)
            .filter(|(_, peer)| peer.gossip.metadata_store == MetadataStoreStatus::Available)
            .map(|(address, _)| *address)
    }

    /// Whether the metadata store is available to a peer.
    #[must_use]
    pub fn has_delegate(&self, now_ms: u64) -> bool {
        self.delegates(now_ms).next().is_some()
    }

    /// Some peers to which the metadata store is available, in turn.
    pub fn next_delegates(&mut self, now_ms: u64) -> Vec<SocketAddr> {
        let mut delegates: Vec<IpAddr> = self.delegates(now_ms).collect();
        if !delegates.is_empty() {
            let start = self.delegate_rotation % delegates.len();
            delegates.rotate_left(start);
        }
        self.delegate_rotation = self.delegate_rotation.wrapping_add(DELEGATES_AT_ONCE);
        delegates.truncate(DELEGATES_AT_ONCE);
        self.at_peer_port(delegates)
    }

    /// All boxes from which gossip was received and that are not forgotten, including this one.
    #[must_use]
    pub fn gossip_senders(&self) -> BTreeSet<IpAddr> {
        let senders = self.known.iter().filter(|(_, peer)| peer.gossip.incarnation > 0);
        senders.map(|(address, _)| *address).chain([self.local.address.ip()]).collect()
    }

    /// All peers that may be running, including those from which nothing was received.
    #[must_use]
    pub fn addresses(&self) -> Vec<IpAddr> {
        self.known.keys().copied().collect()
    }

    /// Whether a peer is known to have reached a revision of the metadata store.
    #[must_use]
    pub fn has_reached_revision(&self, address: IpAddr, revision: u64) -> bool {
        let peer = self.known.get(&address).filter(|peer| peer.gossip.incarnation > 0);
        peer.is_some_and(|peer| {
            peer.gossip.view_digest.last_change_revision.max(peer.bridged_revision) >= revision
        })
    }

    /// Some live peers whose addresses are sent to other boxes, in turn.
    #[must_use]
    pub fn addresses_to_share(&self, now_ms: u64) -> Vec<IpAddr> {
        let skip = self.rotation % self.known.len().max(1);
        self.live_peers(now_ms)
            .map(|(address, _)| *address)
            .cycle()
            .skip(skip)
            .take(self.live_peers(now_ms).count().min(MAX_SHARED_ADDRESSES))
            .collect()
    }

    fn live_peers(&self, now_ms: u64) -> impl Iterator<Item = (&IpAddr, &Peer)> + Clone {
        let silence_limits = self.silence_limits();
        let senders = self.known.iter().filter(|(_, peer)| peer.gossip.incarnation > 0);
        senders.filter(move |(_, peer)| silence_limits.is_live(now_ms, peer))
    }

    fn silence_limits(&self) -> SilenceLimits {
        let rounds = (self.known.len() / OTHER_HALLS_FANOUT) as u64;
        let rounds_ms = MAX_LOST_MESSAGES * rounds * GOSSIP_PERIOD_MS;
        let other_hall_ms = PEER_TIMEOUT_MS + if self.is_small_fleet() { 0 } else { rounds_ms };
        SilenceLimits { own_hall: self.local.hall, other_hall_ms }
    }
}

/// Longest silence after which a peer still counts as live.
#[derive(Clone, Copy, Debug)]
struct SilenceLimits {
    own_hall: u32,
    /// For peers of other halls, which send messages to this box only in turn with others.
    other_hall_ms: u64,
}

impl SilenceLimits {
    fn is_live(&self, now_ms: u64, peer: &Peer) -> bool {
        let limit_ms = if peer.gossip.hall == self.own_hall {
            let turn_ms = u64::from(peer.gossip.round_ms).saturating_sub(GOSSIP_PERIOD_MS);
            PEER_TIMEOUT_MS + MAX_LOST_MESSAGES * turn_ms
        } else {
            self.other_hall_ms
        };
        now_ms < peer.last_receive_ms + limit_ms
    }
}

fn is_ahead(view_digest: ViewDigest, own: ViewDigest) -> bool {
    view_digest.last_change_revision > own.last_change_revision
}
