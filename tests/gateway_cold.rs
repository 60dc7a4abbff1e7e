//! Upstreams that have just started get no more requests than they can take, from all boxes
//! together.

#[path = "common/site.rs"]
mod common;

use std::net::{IpAddr, SocketAddr};
use std::time::Instant;

use common::start_fixture_on;
use coursestile::gateway::decisions::cold_start::{
    ColdStart, ColdState, ColdTolerance, HallRank, allowance,
};
use coursestile::gateway::decisions::gossip_message::Gossip;
use coursestile::gateway::decisions::peers::{Audience, GossipScope, LocalBox, Peers};
use coursestile::gateway::decisions::view::ViewDigest;
use coursestile::names::short_id;
use coursestile_standins::site::{Site, config_document, service_entry};
use fastrand::Rng;
use rstest::rstest;

const UPSTREAM: u32 = 4711;

#[test]
fn limit_of_service() {
    let tolerance = ColdTolerance { ratio: 1.5, extra: 5.0 };
    let cold_start = ColdStart { duration_ms: 3000, requests_per_s: 11.0 };
    assert_eq!(cold_start.limit(tolerance), Some(21));
    assert_eq!(ColdStart::default().limit(tolerance), None);
}

/// Boxes count others that have stopped, each a different number of them.
#[rstest]
#[case::few_boxes(21, 3, 2)]
#[case::as_many(21, 3, 7)]
#[case::dozens(21, 3, 24)]
#[case::one_hall(5, 1, 3)]
#[case::more_halls(2, 3, 4)]
fn halls_within_limit(#[case] limit: u64, #[case] halls: usize, #[case] boxes: usize) {
    let mut random = Rng::with_seed(1);
    for _ in 0..200 {
        let hall_sum: u64 = (0..boxes)
            .map(|rank| {
                let stopped = random.usize(0..3);
                let stopped_before = random.usize(0..=stopped);
                let rank = HallRank { rank: rank + stopped_before, boxes: boxes + stopped };
                allowance(limit, halls, rank)
            })
            .sum();
        assert!(hall_sum * halls as u64 <= limit, "{hall_sum} in each of {halls} halls");
    }
    let all_known: u64 =
        (0..boxes).map(|rank| allowance(limit, halls, HallRank { rank, boxes })).sum();
    assert_eq!(all_known, limit / halls as u64, "the share of the hall is used up");
}

fn address(number: u8) -> IpAddr {
    IpAddr::from([10, 1, 0, number])
}

/// The peers of box `own`, which has received gossip from the boxes `heard` of its hall.
fn hall_peers(own: u8, heard: &[u8], at_ms: u64) -> Peers {
    let local = LocalBox {
        short_id: short_id(&address(own).to_string()),
        address: SocketAddr::new(address(own), 7000),
        hall: 1,
        millicores: 120,
    };
    let mut peers = Peers::new(local, &[address(1), address(2)]);
    for number in heard.iter().filter(|number| **number != own) {
        hear(&mut peers, *number, at_ms);
    }
    peers
}

/// Receives gossip from box `from`.
fn hear(peers: &mut Peers, from: u8, at_ms: u64) {
    let gossip = Gossip { incarnation: 1, hall: 1, ..Gossip::default() };
    peers.receive_gossip(at_ms, address(from), gossip, ViewDigest::default());
}

#[test]
fn ranks_differ() {
    let boxes: Vec<u8> = (1..=20).collect();
    let mut ranks: Vec<usize> = boxes
        .iter()
        .map(|own| {
            let mut peers = hall_peers(*own, &boxes, 1000);
            hear(&mut peers, own % 20 + 1, 2000);
            peers.hall_rank(2600, UPSTREAM).expect("all are known").rank
        })
        .collect();
    ranks.sort_unstable();
    assert_eq!(ranks, (0..20).collect::<Vec<_>>());
}

#[test]
fn unsure_boxes() {
    assert_eq!(hall_peers(1, &[], 1000).hall_rank(9000, UPSTREAM), None, "it hears no box");
    let mut peers = hall_peers(1, &[2, 3, 4], 10_000);
    assert_eq!(peers.hall_rank(11_499, UPSTREAM), None, "it has just started");
    assert_eq!(peers.hall_rank(11_600, UPSTREAM), None, "it is cut off");
    hear(&mut peers, 2, 11_500);
    let rank = peers.hall_rank(11_600, UPSTREAM).expect("it hears a box");
    assert_eq!(rank.boxes, 4, "boxes that were heard before still count");
    let later_ms = 60_000;
    peers.next_targets(later_ms, Audience::All, GossipScope::OwnHall);
    assert_eq!(peers.hall_rank(later_ms, UPSTREAM), None, "all others are forgotten");
}

#[test]
fn recent_requests() {
    let mut cold = ColdState::default();
    cold.record_sent(900);
    assert!(cold.may_send(1000), "it is warm");
    cold.extend(1000, 4000);
    assert!(!cold.may_send(1000), "no allowance is known");
    cold.set_allowance(2);
    assert!(cold.may_send(1000));
    cold.record_sent(1000);
    assert!(!cold.may_send(2199), "requests from before it turned cold count");
    assert!(cold.may_send(2200));
    assert!(cold.may_send(4000), "it is warm again");
    cold.extend(9000, 12_000);
    assert!(!cold.may_send(9000), "an earlier allowance no longer holds");
}

/// The only box of a fleet sends the only upstream what it can take while cold, and refuses the
/// rest.
#[tokio::test]
async fn filled_slowly() {
    let mut site = Site::start().await;
    site.cold_extra = 1.0;
    let fixture = start_fixture_on(site, 1).await;
    let mut document = config_document(8);
    document["services"][0]["cold_start_s"] = 60.into();
    document["services"][0]["cold_per_s"] = 2.into();
    fixture.site.configure(&document);
    let mut entry = service_entry("plain", &fixture.servers[0].address, "ready");
    entry["cold_left_ms"] = 60_000.into();
    fixture.site.register("s-0", &entry);
    common::wait_for_log(&fixture, "event=upstream_cold upstream=s-0").await;
    let started = Instant::now();
    let before = fixture.servers[0].received().len();
    let mut refused = 0;
    for number in 0..20 {
        match fixture.send("GET", "/safe/", &format!("r-{number}")).await.status() {
            200 => {}
            503 => refused += 1,
            other => panic!("status {other}"),
        }
    }
    let seconds = started.elapsed().as_millis() / 1000 + 1;
    let received = fixture.servers[0].received().len() - before;
    assert_eq!(received + refused, 20);
    assert!(received > 0, "it gets some requests");
    assert!(received as u128 <= 3 * seconds, "{received} in {seconds} s");
}
