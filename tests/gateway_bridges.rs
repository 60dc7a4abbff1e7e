//! Gossip between halls in a large fleet: bridge boxes send each other summaries of their halls and
//! pass the summaries of other halls on within their own hall.

use std::net::{IpAddr, SocketAddr};

use coursestile::gateway::decisions::account_shares::{AccountReports, AccountWork, RefusalReport};
use coursestile::gateway::decisions::gossip_message::{Gossip, LoadReport};
use coursestile::gateway::decisions::hall_summary::HallSummary;
use coursestile::gateway::decisions::peers::{Audience, GossipScope, LocalBox, Peers, Targets};
use coursestile::gateway::decisions::upstream::Load;
use coursestile::gateway::decisions::view::ViewDigest;
use coursestile::gateway::gossip::{Datagram, MAX_DATAGRAM_BYTES};

const HALLS: u32 = 5;
/// Boxes of each hall, as in a fleet of 295 boxes; the first three have more CPU than the others.
const BOXES_PER_HALL: u8 = 59;
const STRONG_BOXES: u8 = 3;
const UPSTREAM: u32 = 7;
const STORE: u32 = 8;

fn address(hall: u32, host: u8) -> IpAddr {
    IpAddr::from([10, u8::try_from(hall).unwrap(), 0, host])
}

fn load_report(requests: u32) -> LoadReport {
    let load =
        Load { requests, pending_prefill_tokens: requests * 100, memory_tokens: requests * 10 };
    LoadReport { upstream: UPSTREAM, load, receive_age_ms: 0 }
}

fn gossip(hall: u32, host: u8, requests: u32) -> Gossip {
    let loads = if requests > 0 { vec![load_report(requests)] } else { Vec::new() };
    let view_digest = ViewDigest { last_change_revision: 5, checksum: 0 };
    Gossip {
        incarnation: 1,
        hall,
        millicores: if host <= STRONG_BOXES { 500 } else { 120 },
        loads,
        view_digest,
        fetches: vec![(STORE, 10)],
        ..Gossip::default()
    }
}

/// Reports of accounts by a box that has refused requests.
fn account_reports(accounts: std::ops::Range<u32>) -> AccountReports {
    let work = accounts.map(|number| AccountWork {
        account: number.wrapping_mul(0x9e37_79b9),
        service: u32::MAX,
        admitted: 50_000,
        offered: 100_000,
        unmet: 2_000,
    });
    let refusal = RefusalReport { service: u32::MAX, age_ms: 100 };
    AccountReports { work: work.collect(), refusals: vec![refusal] }
}

/// A box that has received gossip from all others, each of which sends `requests` requests to one
/// upstream.
fn fleet_box(hall: u32, host: u8, requests: u32) -> Peers {
    let own_address = SocketAddr::new(address(hall, host), 7000);
    let own = LocalBox { short_id: 1, address: own_address, hall, millicores: 120 };
    let mut peers = Peers::new(own, &[]);
    for other_hall in 0..HALLS {
        for other_host in 1..=BOXES_PER_HALL {
            let message = gossip(other_hall, other_host, requests);
            let message = if other_hall == hall { message } else { message.abridged() };
            if (other_hall, other_host) != (hall, host) {
                peers.receive_gossip(
                    0,
                    address(other_hall, other_host),
                    message,
                    ViewDigest::default(),
                );
            }
        }
    }
    peers.next_targets(0, Audience::All, GossipScope::OwnHall);
    peers
}

fn ips(targets: &[SocketAddr]) -> Vec<IpAddr> {
    targets.iter().map(SocketAddr::ip).collect()
}

/// The two bridges of each of the four other halls.
fn bridges_of_other_halls(hall: u32) -> Vec<IpAddr> {
    let others = (0..HALLS).filter(|other_hall| *other_hall != hall);
    others.flat_map(|other_hall| [address(other_hall, 1), address(other_hall, 2)]).collect()
}

#[test]
fn bridges_reached() {
    let mut peers = fleet_box(0, 1, 0);
    let Targets { full, abridged, bridges, own_hall, .. } =
        peers.next_targets(300, Audience::All, GossipScope::AllBridges);
    let full = ips(&full);
    assert!(bridges_of_other_halls(0).iter().all(|bridge| full.contains(bridge)));
    assert_eq!(full.len(), 58 + 8, "own hall and the bridges of all other halls");
    assert_eq!(abridged.len(), 4, "boxes of other halls, in rotation");
    assert_eq!(ips(&bridges), bridges_of_other_halls(0));
    assert_eq!(own_hall.len(), 58);
    let next_targets = peers.next_targets(320, Audience::All, GossipScope::AllBridges);
    assert_eq!(
        (next_targets.bridges.len(), next_targets.own_hall.len()),
        (0, 0),
        "hall summaries have a period of their own"
    );
    let non_bridge_targets = peers.next_targets(600, Audience::All, GossipScope::OwnHall);
    assert_eq!(
        (non_bridge_targets.full.len(), non_bridge_targets.abridged.len()),
        (58, 4),
        "as for any box that is no bridge"
    );
}

#[test]
fn new_bridge_reached() {
    let mut peers = fleet_box(0, 1, 0);
    let new_bridge = Gossip { follows_caches: true, ..gossip(1, 3, 0) };
    peers.receive_gossip(300, address(1, 3), new_bridge, ViewDigest::default());
    let targets = peers.next_targets(310, Audience::All, GossipScope::AllBridges);
    assert!(
        ips(&targets.bridges).contains(&address(1, 3)),
        "its gossip says that it follows the caches of its hall"
    );
}

#[test]
fn loads_cross_halls() {
    let north = fleet_box(0, 1, 2);
    let summary = north.hall_summary(100, [load_report(3)].into_iter(), &[(STORE, 5)]);
    let mut south = fleet_box(1, 1, 1);
    assert_eq!(south.load(UPSTREAM).requests, 58, "only the own hall is known so far");
    south.receive_hall_summary(100, summary.clone());
    assert_eq!(south.load(UPSTREAM).requests, 58 + 58 * 2 + 3);
    assert_eq!(south.fetch_tokens(STORE), 580 + 580 + 5);
    south.receive_hall_summary(110, summary);
    assert_eq!(
        south.load(UPSTREAM).requests,
        58 + 58 * 2 + 3,
        "the second bridge's copy of a summary counts once"
    );
    // A box of the south that is no bridge gets the summary from the bridge.
    let mut non_bridge = fleet_box(1, 40, 1);
    non_bridge.receive_other_halls(200, &south.other_halls_summary(200));
    assert_eq!(non_bridge.load(UPSTREAM).requests, 58 + 58 * 2 + 3);
    assert_eq!(non_bridge.fetch_tokens(STORE), 580 + 580 + 5);
    non_bridge.expire(1200);
    assert_eq!(non_bridge.load(UPSTREAM).requests, 58 + 58 * 2 + 3);
    non_bridge.expire(1700);
    assert_eq!(non_bridge.load(UPSTREAM), Load::default(), "all loads have expired");
}

/// An account whose clients turn to another hall was taken for a small one, and a hall that refused no
/// requests itself did not divide its part.
#[test]
fn accounts_cross_halls() {
    let north = fleet_box(0, 1, 0);
    let mut summary = north.hall_summary(100, std::iter::empty(), &[]);
    summary.accounts = north.hall_account_reports(100, &account_reports(1..4));
    let mut south = fleet_box(1, 1, 0);
    south.receive_hall_summary(100, summary.clone());
    south.receive_hall_summary(110, summary);
    let mut non_bridge = fleet_box(1, 40, 0);
    non_bridge.receive_other_halls(200, &south.other_halls_summary(200));
    let reports = non_bridge.account_sums().reports(250);
    assert_eq!(reports.work.len(), 3);
    assert!(reports.work.iter().all(|work| work.offered == 100_000), "{reports:?}");
    let [refusal] = reports.refusals[..] else { panic!("{reports:?}") };
    assert_eq!(refusal.age_ms, 240, "counted from when it was sent");
    non_bridge.expire(1700);
    assert_eq!(non_bridge.account_sums().reports(1700).work, []);
}

#[test]
fn revisions_cross_halls() {
    let mut leader = fleet_box(0, 1, 0);
    let mut south = fleet_box(1, 1, 0);
    let view_digest = ViewDigest { last_change_revision: 9, checksum: 0 };
    for host in 2..=BOXES_PER_HALL {
        let message = Gossip { view_digest, ..gossip(1, host, 0) };
        south.receive_gossip(1000, address(1, host), message, ViewDigest::default());
    }
    assert!(
        !leader.has_reached_revision(address(1, 50), 9),
        "no gossip with that revision has arrived yet"
    );
    leader.receive_hall_summary(1010, south.hall_summary(1000, std::iter::empty(), &[]));
    assert!((2..=BOXES_PER_HALL).all(|host| leader.has_reached_revision(address(1, host), 9)));
    assert!(!leader.has_reached_revision(address(2, 50), 9));
}

/// While a thousand upstreams were in use, the summaries were longer than what is read of a datagram, and
/// boxes knew nothing of the load of other halls.
#[test]
fn summaries_cut_short() {
    let own = LocalBox {
        short_id: 1,
        address: SocketAddr::new(address(0, 1), 7000),
        hall: 0,
        millicores: 500,
    };
    let mut peers = Peers::new(own, &[]);
    // Twice the hall of the whole fleet, all of whose engines are in use.
    for number in 1..=394_u32 {
        let [.., high, low] = number.to_be_bytes();
        let used = (0..26).map(|index| {
            let mut report = load_report(1 + index % 4);
            report.upstream = (number * 26 + index).wrapping_mul(0x9e37_79b9);
            report
        });
        let accounts = account_reports(number..number + 64);
        let message = Gossip { loads: used.collect(), accounts, ..gossip(0, 9, 0) };
        let from = IpAddr::from([10, 0, 1 + high, low]);
        peers.receive_gossip(0, from, message, ViewDigest::default());
    }
    let mut summary = peers.hall_summary(0, std::iter::empty(), &[]);
    summary.accounts = peers.hall_account_reports(0, &AccountReports::default());
    assert!(summary.loads.iter().all(|report| report.load.requests == 4), "the busiest");
    peers.receive_hall_summary(0, HallSummary { hall: 1, ..summary.clone() });
    let others = peers.other_halls_summary(0);
    for datagram in [Datagram::HallSummary(summary), Datagram::OtherHallsSummary(others)] {
        let bytes = postcard::to_stdvec(&datagram).unwrap();
        assert!(bytes.len() <= MAX_DATAGRAM_BYTES, "{}", bytes.len());
    }
}
