//! Who tells whom, who follows the metadata store, and how the others learn.

use std::net::{IpAddr, SocketAddr};

use coursestile::gateway::decisions::gossip_message::{Gossip, MetadataStoreStatus};
use coursestile::gateway::decisions::peers::{Audience, GossipScope, LocalBox, Peers};
use coursestile::gateway::decisions::view::{MetadataView, VersionedValue, ViewDigest};
use proptest::prelude::*;

const HALL: u32 = 1;
const OTHER_HALL: u32 = 2;

fn local_box() -> LocalBox {
    LocalBox {
        number: 1,
        address: SocketAddr::from(([10, 0, 1, 100], 7000)),
        hall: HALL,
        millicores: 120,
    }
}

fn address(hall: u32, host: u8) -> IpAddr {
    IpAddr::from([10, 0, u8::try_from(hall).unwrap(), host])
}

/// Whom a box tells that is neither a bridge nor leads, in full or in brief.
fn gossip_targets(peers: &mut Peers, now_ms: u64, audience: Audience) -> Vec<SocketAddr> {
    let targets = peers.next_targets(now_ms, audience, GossipScope::OwnHall);
    assert_eq!((targets.bridges.len(), targets.own_hall.len()), (0, 0));
    targets.full.into_iter().chain(targets.abridged).collect()
}

/// Has `count` peers of a hall heard at `now_ms`.
fn receive_from_hall(
    peers: &mut Peers,
    now_ms: u64,
    hall: u32,
    count: u8,
    millicores: u32,
    status: MetadataStoreStatus,
) {
    for host in 1..=count {
        let gossip = Gossip {
            incarnation: 1,
            hall,
            millicores,
            metadata_store: status,
            ..Gossip::default()
        };
        peers.receive_gossip(now_ms, address(hall, host), gossip, ViewDigest::default());
    }
}

#[test]
fn peers_ahead() {
    let local_box = LocalBox {
        number: 1,
        address: SocketAddr::from(([10, 0, 0, 1], 7000)),
        hall: 1,
        millicores: 250,
    };
    let peer = IpAddr::from([10, 0, 0, 2]);
    let mut peers = Peers::new(local_box, &[peer, local_box.address.ip()]);
    assert_eq!(gossip_targets(&mut peers, 0, Audience::All), [SocketAddr::new(peer, 7000)]);
    let known = ViewDigest { last_change_revision: 5, checksum: 1 };
    let view_digest = ViewDigest { last_change_revision: 9, checksum: 2 };
    let gossip = Gossip { incarnation: 1, view_digest, ..Gossip::default() };
    peers.receive_gossip(1000, peer, gossip, known);
    assert_eq!(peers.live_boxes(1000), 2);
    let status = MetadataStoreStatus::Available;
    assert_eq!(
        peers.catch_up_source(1100, known, status),
        None,
        "the store's own news may be on its way"
    );
    assert_eq!(peers.catch_up_source(1400, known, status), Some(SocketAddr::new(peer, 7000)));
    assert_eq!(
        peers.catch_up_source(9000, known, MetadataStoreStatus::Failing),
        None,
        "it is silent"
    );
}

#[test]
fn hall_told() {
    let mut peers = Peers::new(local_box(), &[]);
    receive_from_hall(&mut peers, 0, HALL, 20, 120, MetadataStoreStatus::NotUsed);
    receive_from_hall(&mut peers, 0, OTHER_HALL, 20, 120, MetadataStoreStatus::NotUsed);
    let mut reached = std::collections::BTreeSet::new();
    for _ in 0..5 {
        let targets = gossip_targets(&mut peers, 0, Audience::All);
        assert_eq!(targets.iter().filter(|target| is_in_hall(target, HALL)).count(), 20);
        reached.extend(targets.into_iter().filter(|target| is_in_hall(target, OTHER_HALL)));
    }
    assert_eq!(reached.len(), 20, "others in turn");
    // Those in turn are heard of more seldom, and count for longer.
    assert_eq!(peers.live_boxes(3000), 21);
}

#[test]
fn newcomers_told() {
    let mut peers = Peers::new(local_box(), &[address(HALL, 1)]);
    let named_peers = (2..40).map(|host| address(OTHER_HALL, host)).collect();
    let gossip = Gossip { incarnation: 1, hall: HALL, peers: named_peers, ..Gossip::default() };
    assert!(peers.receive_gossip(0, address(HALL, 1), gossip.clone(), ViewDigest::default()));
    assert_eq!(gossip_targets(&mut peers, 0, Audience::OwnHall).len(), 39, "all at once");
    assert!(!peers.receive_gossip(0, address(HALL, 1), gossip.clone(), ViewDigest::default()));
    assert_eq!(gossip_targets(&mut peers, 0, Audience::All).len(), 5, "the others in turn");
    let restarted = Gossip { incarnation: 2, ..gossip };
    assert!(
        peers.receive_gossip(0, address(HALL, 1), restarted, ViewDigest::default()),
        "it knows nothing"
    );
}

#[test]
fn fleet_unknown() {
    let mut peers = Peers::new(local_box(), &[address(HALL, 1)]);
    assert!(!peers.is_fleet_known(60_000), "the seed has said nothing");
    receive_from_hall(&mut peers, 60_000, HALL, 1, 120, MetadataStoreStatus::Available);
    assert!(!peers.is_fleet_known(60_100), "those that it names may follow");
    assert!(peers.is_fleet_known(60_200));
    assert!(Peers::new(local_box(), &[]).is_fleet_known(0), "it is alone");
}

fn is_in_hall(address: &SocketAddr, hall: u32) -> bool {
    matches!(address.ip(), IpAddr::V4(ip) if u32::from(ip.octets()[2]) == hall)
}

#[test]
fn few_followers() {
    let mut peers = Peers::new(local_box(), &[]);
    assert!(peers.is_follower(0), "nobody else is known");
    receive_from_hall(&mut peers, 0, HALL, 20, 120, MetadataStoreStatus::NotUsed);
    assert!(peers.is_follower(0), "the others have not begun to");
    receive_from_hall(&mut peers, 0, HALL, 2, 500, MetadataStoreStatus::Available);
    assert!(!peers.is_follower(0));
    receive_from_hall(&mut peers, 0, HALL, 1, 500, MetadataStoreStatus::Failing);
    receive_from_hall(&mut peers, 0, OTHER_HALL, 9, 500, MetadataStoreStatus::Available);
    assert!(!peers.is_follower(0), "a weaker one goes before by its address");
    assert!(peers.is_follower(9000), "all are silent");
}

#[test]
fn caches_without_store() {
    let mut peers = Peers::new(local_box(), &[]);
    receive_from_hall(&mut peers, 0, HALL, 20, 120, MetadataStoreStatus::Failing);
    assert!(peers.is_follower(0), "somebody must find out when the store is back");
    receive_from_hall(&mut peers, 0, HALL, 2, 500, MetadataStoreStatus::Failing);
    assert!(!peers.is_cache_follower(0), "the two strongest still follow the stores of context");
    assert_eq!(peers.cache_publisher(0), None, "nobody has said so");
    let follows_caches = true;
    let gossip = Gossip { incarnation: 1, hall: HALL, follows_caches, ..Gossip::default() };
    peers.receive_gossip(0, address(HALL, 1), gossip, ViewDigest::default());
    assert_eq!(peers.cache_publisher(0).map(|found| found.ip()), Some(address(HALL, 1)));
}

#[derive(Clone, Debug)]
enum Step {
    Write { key: u8 },
    Remove { key: u8 },
    CatchUp,
}

fn steps() -> impl Strategy<Value = Vec<Step>> {
    let step = prop_oneof![
        3 => (0..9_u8).prop_map(|key| Step::Write { key }),
        2 => (0..9_u8).prop_map(|key| Step::Remove { key }),
        2 => Just(Step::CatchUp),
    ];
    prop::collection::vec(step, 1..60)
}

proptest! {
    #![proptest_config(ProptestConfig { cases: 256, failure_persistence: None, rng_seed: proptest::test_runner::RngSeed::Fixed(6), ..ProptestConfig::default() })]

    #[test]
    fn views_alike(steps in steps()) {
        let (mut follower, mut lagging) = (MetadataView::default(), MetadataView::default());
        for (step, revision) in steps.into_iter().zip(1_u64..) {
            match step {
                Step::Write { key } => {
                    follower.put(key.to_string(), VersionedValue { revision, value: vec![key] });
                }
                Step::Remove { key } => drop(follower.remove(0, &key.to_string(), revision, false)),
                Step::CatchUp => drop(lagging.apply_catch_up(0, follower.catch_up(lagging.digest()), |_| true)),
            }
        }
        lagging.apply_catch_up(0, follower.catch_up(lagging.digest()), |_| true);
        prop_assert_eq!(lagging.digest().checksum, follower.digest().checksum);
        prop_assert_eq!(lagging.snapshot().items, follower.snapshot().items);
    }
}

#[test]
fn late_removal() {
    let (mut follower, mut lagging) = (MetadataView::default(), MetadataView::default());
    follower.note_store_answer(0);
    follower.put("u".to_owned(), VersionedValue { revision: 1, value: vec![1] });
    follower.note_store_failure();
    follower.remove(1000, "u", 2, true);
    lagging.apply_catch_up(1000, follower.catch_up(lagging.digest()), |_| true);
    assert!(lagging.contains_key("u"), "its removal is in doubt");
    follower.note_store_answer(2000);
    assert_eq!(follower.apply_due_removals(9000).len(), 1);
    assert_ne!(lagging.digest(), follower.digest());
    lagging.apply_catch_up(9000, follower.catch_up(lagging.digest()), |_| true);
    assert!(!lagging.contains_key("u"));
}

#[test]
fn one_believed() {
    let mut peers = Peers::new(local_box(), &[]);
    receive_from_hall(&mut peers, 0, HALL, 20, 120, MetadataStoreStatus::NotUsed);
    let known = ViewDigest { last_change_revision: 5, checksum: 1 };
    let mut receive = |host: u8, view_digest: ViewDigest| {
        let status = MetadataStoreStatus::Available;
        let gossip = Gossip {
            incarnation: 1,
            hall: HALL,
            metadata_store: status,
            view_digest,
            ..Gossip::default()
        };
        peers.receive_gossip(1000, address(HALL, host), gossip, known);
    };
    receive(1, known);
    receive(2, known);
    let publisher = peers.publisher(1000).unwrap().ip();
    let other_host = if publisher == address(HALL, 1) { 2 } else { 1 };
    let other_digest = ViewDigest { checksum: 2, ..known };
    let gossip =
        Gossip { incarnation: 1, hall: HALL, view_digest: other_digest, ..Gossip::default() };
    let follower_gossip = Gossip { metadata_store: MetadataStoreStatus::Available, ..gossip };
    peers.receive_gossip(1000, address(HALL, other_host), follower_gossip.clone(), known);
    assert_eq!(
        peers.catch_up_source(2000, known, MetadataStoreStatus::NotUsed),
        None,
        "the publisher does not"
    );
    peers.receive_gossip(1000, publisher, follower_gossip, known);
    let found =
        peers.catch_up_source(1000, known, MetadataStoreStatus::NotUsed).map(|found| found.ip());
    assert_eq!(found, Some(publisher));
}

/// Long prompts have the own hall told at once, several times in a period.
#[test]
fn other_halls_in_time() {
    let mut peers = Peers::new(local_box(), &[]);
    receive_from_hall(&mut peers, 0, OTHER_HALL, 1, 120, MetadataStoreStatus::NotUsed);
    gossip_targets(&mut peers, 0, Audience::All);
    let targets_by_time =
        (1..=20).map(|turn| (turn * 90, gossip_targets(&mut peers, turn * 90, Audience::OwnHall)));
    let told_at_ms: Vec<u64> = targets_by_time
        .filter(|(_, targets)| !targets.is_empty())
        .map(|targets_at| targets_at.0)
        .collect();
    assert_eq!(told_at_ms, [270, 540, 810, 1080, 1350, 1620]);
}

/// A peer of the own hall took connections and never answered; its gossip arrived,
/// and no other was asked.
#[test]
fn unanswered_last() {
    let mut peers = Peers::new(local_box(), &[]);
    let mut receive = |hall: u32| {
        let view_digest = ViewDigest { last_change_revision: 9, checksum: 2 };
        let gossip = Gossip { incarnation: 1, hall, view_digest, ..Gossip::default() };
        peers.receive_gossip(1000, address(hall, 1), gossip, ViewDigest::default());
    };
    receive(HALL);
    receive(OTHER_HALL);
    let source = |peers: &Peers, now_ms: u64| {
        peers
            .catch_up_source(now_ms, ViewDigest::default(), MetadataStoreStatus::Failing)
            .map(|found| found.ip())
    };
    assert_eq!(source(&peers, 1000), Some(address(HALL, 1)));
    peers.note_unanswered(1000, address(HALL, 1));
    assert_eq!(source(&peers, 1000), Some(address(OTHER_HALL, 1)));
    peers.note_unanswered(1000, address(OTHER_HALL, 1));
    assert_eq!(source(&peers, 1000), Some(address(HALL, 1)), "one is asked in any case");
    assert_eq!(source(&peers, 3000), None, "both are silent by now");
}

/// A box kept to the follower that it believes of equal revisions, also when that did not
/// answer once: another still held in doubt an upstream that was gone, and would have
/// brought it back.
#[test]
fn publisher_kept() {
    let mut peers = Peers::new(local_box(), &[]);
    for number in 1..4 {
        let status = MetadataStoreStatus::Available;
        let gossip =
            Gossip { incarnation: 1, hall: HALL, metadata_store: status, ..Gossip::default() };
        peers.receive_gossip(1000, address(HALL, number), gossip, ViewDigest::default());
    }
    let publisher = peers.publisher(1000).expect("some follow");
    peers.note_unanswered(1000, publisher.ip());
    assert_eq!(peers.publisher(1100), Some(publisher));
}
