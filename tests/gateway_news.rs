//! How many messages boxes of a large hall send about their load.

use std::net::{IpAddr, SocketAddr};

use coursestile::gateway::decisions::gossip_message::Gossip;
use coursestile::gateway::decisions::news_pace::Pace;
use coursestile::gateway::decisions::peers::{Audience, GossipScope, LocalBox, Peers};
use coursestile::gateway::decisions::view::ViewDigest;
use coursestile::gateway::gossip::gossip_scope;
use coursestile::gateway::kernel::Gateway;
use coursestile::gateway::settings::Settings;

const HALL: u32 = 1;
const OTHER_HALL: u32 = 2;
/// Boxes of a hall of the whole fleet, and twice as many.
const HALLS_OF_BOXES: [u16; 2] = [197, 394];
/// Engines and requests in progress of the whole fleet.
const ENGINES: usize = 9773;
const REQUESTS: u32 = 110;

fn address(hall: u32, number: u16) -> IpAddr {
    let [high, low] = number.to_be_bytes();
    IpAddr::from([10, u8::try_from(hall).unwrap(), high, low])
}

/// A box of a hall with `count` other boxes, two of them bridges, all heard and told at `now_ms`.
fn peers_of_hall(now_ms: u64, count: u16) -> Peers {
    let local_address = SocketAddr::from(([10, 1, 200, 1], 7000));
    let local = LocalBox { short_id: 1, address: local_address, hall: HALL, millicores: 120 };
    let mut peers = Peers::new(local, &[]);
    for number in 1..=count {
        let follows_caches = number <= 2;
        let gossip = Gossip { incarnation: 1, hall: HALL, follows_caches, ..Gossip::default() };
        peers.receive_gossip(now_ms, address(HALL, number), gossip, ViewDigest::default());
    }
    peers.next_targets(now_ms, Audience::All, GossipScope::OwnHall);
    peers
}

/// Updates the pace each tenth of a second.
fn pass_time(peers: &mut Peers, from_ms: u64, to_ms: u64, requests: u32) {
    for now_ms in (from_ms..to_ms).step_by(100) {
        peers.update_news_pace(now_ms, requests, ENGINES);
    }
}

/// Messages that a box sends in one round, and the boxes of its hall that they reach.
fn round(peers: &mut Peers, from_ms: u64) -> (u64, usize, Vec<usize>) {
    let round_ms = u64::from(peers.round_ms(GossipScope::OwnHall));
    let periods = (from_ms..from_ms + round_ms).step_by(250);
    let sent: Vec<Vec<SocketAddr>> = periods
        .map(|now_ms| peers.next_targets(now_ms, Audience::NextPart, GossipScope::OwnHall).full)
        .collect();
    let mut reached: Vec<&SocketAddr> = sent.iter().flatten().collect();
    reached.sort_unstable();
    reached.dedup();
    (round_ms, reached.len(), sent.iter().map(Vec::len).collect())
}

/// One engine in ninety is busy: news of it is no reason to send 260 messages a second.
#[test]
fn sparse_load() {
    for boxes in HALLS_OF_BOXES {
        let mut peers = peers_of_hall(0, boxes);
        pass_time(&mut peers, 0, 4900, REQUESTS);
        assert_eq!(peers.news_pace(), Pace::Prompt, "a box that has just started");
        pass_time(&mut peers, 4900, 5200, REQUESTS);
        assert_eq!(peers.news_pace(), Pace::Relaxed);
        let (round_ms, reached, sent) = round(&mut peers, 5200);
        assert_eq!(reached, usize::from(boxes), "all are told in a round of {round_ms} ms");
        assert!(sent.iter().all(|count| *count <= 18), "a part and the bridges: {sent:?}");
    }
}

/// Boxes meet on the same engines: they tell each other as soon as before.
#[test]
fn dense_load() {
    let mut peers = peers_of_hall(0, 197);
    pass_time(&mut peers, 0, 6000, REQUESTS);
    pass_time(&mut peers, 6000, 6100, 900);
    assert_eq!(peers.news_pace(), Pace::Relaxed, "the pace does not change with each request");
    pass_time(&mut peers, 6100, 6200, 1000);
    assert_eq!(peers.news_pace(), Pace::Prompt);
    let (round_ms, reached, _) = round(&mut peers, 6200);
    assert_eq!((round_ms, reached), (1000, 197));
    pass_time(&mut peers, 7200, 12_100, 400);
    assert_eq!(peers.news_pace(), Pace::Prompt, "load must have been sparse for a while");
}

/// A box that tells its hall in more turns is missed later, by what it says of itself.
#[test]
fn round_told() {
    let mut peers = peers_of_hall(0, 100);
    let gossip = Gossip { incarnation: 1, hall: HALL, round_ms: 3250, ..Gossip::default() };
    peers.receive_gossip(0, address(HALL, 200), gossip, ViewDigest::default());
    assert_eq!(peers.live_boxes(1499), 102);
    assert_eq!(peers.live_boxes(1500), 2);
    assert_eq!(peers.live_boxes(1500 + 3 * 3000 - 1), 2);
    assert_eq!(peers.live_boxes(1500 + 3 * 3000), 1);
}

/// The 788 boxes of other halls send to this one each 49 s. They were forgotten after 30 s, left the
/// list of boxes, and had to be introduced again.
#[test]
fn other_halls_kept() {
    let mut peers = peers_of_hall(0, 197);
    for number in 1..=788 {
        let gossip = Gossip { incarnation: 1, hall: OTHER_HALL, ..Gossip::default() };
        peers.receive_gossip(0, address(OTHER_HALL, number), gossip, ViewDigest::default());
    }
    peers.next_targets(49_000, Audience::All, GossipScope::OwnHall);
    let far = peers.gossip_senders().into_iter().filter(|peer| *peer >= address(OTHER_HALL, 0));
    assert_eq!(far.count(), 788);
    assert!(peers.retention_ms() > 49_000, "nor does the leader drop them before");
}

/// Each of the 197 boxes of a hall that is cut off from the store takes itself for its follower, and sent
/// all of its messages to all others.
#[test]
fn followers_without_store() {
    let settings = "[box]\nname = a\nhall = north\nclients = 127.0.0.1:1\nready = 127.0.0.1:1\n\
        peers = 127.0.0.1:1\n[platform]\naddress = 127.0.0.1:1\n";
    let gateway = Gateway::new(Settings::parse("a.ini", settings).unwrap()).unwrap();
    let mut state = gateway.state();
    assert!(state.follows_metadata);
    assert_eq!(gossip_scope(&state), GossipScope::OwnHall);
    state.view.note_store_answer(1000);
    assert_eq!(gossip_scope(&state), GossipScope::WholeHall);
    state.view.note_store_failure();
    assert_eq!(gossip_scope(&state), GossipScope::OwnHall);
}
