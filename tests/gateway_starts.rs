//! Boxes of a large fleet that start together, as after a loss of power: how many of them read all
//! items from the metadata store, and how soon the others have them from a peer.

#[path = "common/site.rs"]
mod common;

use std::collections::{BTreeSet, HashMap};
use std::net::{IpAddr, SocketAddr};
use std::time::Duration;

use common::{is_ready, wait_ready};
use coursestile::gateway::catch_up::MAX_LARGE_UPDATES;
use coursestile::gateway::decisions::gossip_message::{Gossip, MetadataStoreStatus};
use coursestile::gateway::decisions::listing::Listing;
use coursestile::gateway::decisions::peers::{LocalBox, Peers};
use coursestile::gateway::decisions::view::ViewDigest;
use coursestile::gateway::members::Members;
use coursestile::gateway::metadata::{Freshness, Item, Page};
use coursestile_standins::site::metadata::StoreFault;
use coursestile_standins::site::{Gateway, Site, config_document, eventually, service_entry};
use rstest::rstest;

/// More boxes than a small fleet has.
const BOXES: usize = 16;
/// Boxes that the store turns away, a third.
const TURNED_AWAY: usize = 5;
const UPSTREAMS: u64 = 60;
/// Items on a page of the stand-in.
const PAGE_ITEMS: u64 = 3;

fn register_upstreams(site: &Site) {
    for number in 0..UPSTREAMS {
        let address = format!("127.0.0.1:{}", 20_000 + number);
        site.register(&format!("s-{number:02}"), &service_entry("plain", &address, "ready"));
    }
    site.configure(&config_document(7));
}

/// A fleet of one hall that has written its list of members, and whose boxes were then all killed.
async fn killed_fleet() -> (Site, Vec<Gateway>) {
    let mut site = Site::start().await;
    register_upstreams(&site);
    let mut gateways: Vec<Gateway> = Vec::new();
    for _ in 0..BOXES {
        let seeds: Vec<&Gateway> = gateways.iter().take(3).collect();
        gateways.push(site.gateway("north", &seeds));
    }
    eventually("all boxes are listed", async || {
        let listed = site.metadata.value("coursestile/members").unwrap_or_default();
        postcard::from_bytes::<Members>(&listed).is_ok_and(|members| members.len() == BOXES)
    })
    .await;
    for gateway in &gateways {
        gateway.signal("-9");
    }
    eventually("all boxes have ended", async || gateways.iter().all(|gateway| !gateway.is_alive()))
        .await;
    (site, gateways)
}

async fn restart_all(gateways: &[Gateway]) {
    for gateway in gateways {
        gateway.restart_if_exited();
    }
    for gateway in gateways {
        wait_ready(gateway).await;
    }
}

/// How often all entries of upstreams were read from the store.
fn listings(site: &Site) -> u64 {
    site.metadata.page_count("servers/") / (UPSTREAMS / PAGE_ITEMS)
}

/// All boxes of a fleet read all entries at once, 2.3 GB over the store's link, and served late.
#[tokio::test]
async fn listed_by_few() {
    let (site, gateways) = killed_fleet().await;
    let before = listings(&site);
    restart_all(&gateways).await;
    let listings = listings(&site) - before;
    assert!(listings <= BOXES as u64 / 4, "{listings} listings by {BOXES} boxes");
}

/// The store answers nobody while the boxes start.
#[tokio::test]
async fn listed_after_outage() {
    let (site, gateways) = killed_fleet().await;
    site.metadata.set_fault(StoreFault::Unavailable);
    for gateway in &gateways {
        gateway.restart_if_exited();
    }
    tokio::time::sleep(Duration::from_secs(2)).await;
    assert!(!is_ready(&gateways[0]).await, "it knows no configuration");
    let before = listings(&site);
    site.metadata.set_fault(StoreFault::None);
    restart_all(&gateways).await;
    let listings = listings(&site) - before;
    assert!(listings <= BOXES as u64 / 4, "{listings} listings by {BOXES} boxes");
}

/// The boxes that rank highest, and thus read first, die as they begin.
#[tokio::test]
async fn readers_die() {
    let (_site, gateways) = killed_fleet().await;
    for gateway in &gateways {
        gateway.restart_if_exited();
    }
    tokio::time::sleep(Duration::from_millis(200)).await;
    for gateway in &gateways[..3] {
        gateway.signal("-9");
    }
    for gateway in &gateways[3..] {
        wait_ready(gateway).await;
    }
}

/// The first reader hangs in the middle: it is alive to its peers, and reads nothing.
#[tokio::test]
async fn reader_hangs() {
    let (_site, gateways) = killed_fleet().await;
    for gateway in &gateways {
        gateway.restart_if_exited();
    }
    tokio::time::sleep(Duration::from_millis(200)).await;
    gateways[0].signal("-STOP");
    for gateway in &gateways[1..] {
        wait_ready(gateway).await;
    }
    gateways[0].signal("-CONT");
    wait_ready(&gateways[0]).await;
}

/// The store turns away the boxes that rank highest: the next one reads, and gives them the items.
#[tokio::test]
async fn readers_turned_away() {
    let mut site = Site::start().await;
    register_upstreams(&site);
    let endpoint = site.metadata.open_endpoint().await;
    endpoint.refuse_calls();
    let mut gateways: Vec<Gateway> = Vec::new();
    for number in 0..BOXES {
        let address =
            if number < TURNED_AWAY { &endpoint.address } else { &site.metadata.address }.clone();
        let seeds: Vec<&Gateway> = gateways.iter().rev().take(3).collect();
        gateways.push(site.gateway_at("north", &seeds, &address));
    }
    for gateway in &gateways {
        wait_ready(gateway).await;
    }
}

/// A box that knows nobody, by no list and no seed, reads everything itself.
#[tokio::test]
async fn nobody_known() {
    let mut site = Site::start().await;
    register_upstreams(&site);
    let alone = site.gateway("north", &[]);
    wait_ready(&alone).await;
    assert_eq!(listings(&site), 1);
}

/// Milliseconds in which service must be back after a loss of power.
const RECOVERY_MS: usize = 18_000;
/// Bytes a millisecond of the slowest link, 20 Mbit/s.
const LINK_BYTES_PER_MS: usize = 2500;
/// Bytes of an update with all items, for each box of a hall, as compressed.
const UPDATE_BYTES_PER_HALL_BOX: usize = 2500;
const HALL: u32 = 1;

fn address(host: usize) -> IpAddr {
    let [.., high, low] = u32::try_from(host).unwrap().to_be_bytes();
    IpAddr::from([10, 1, high, low])
}

/// What the box `host` of a hall knows when it has heard from all others, none of which has items.
fn hall_peers(host: usize, boxes: usize) -> Peers {
    let local = LocalBox {
        short_id: u32::try_from(host).unwrap(),
        address: SocketAddr::new(address(host), 7000),
        hall: HALL,
        millicores: 120,
    };
    let mut peers = Peers::new(local, &[]);
    for other in (0..boxes).filter(|other| *other != host) {
        receive(&mut peers, other, ViewDigest::default());
    }
    peers
}

fn receive(peers: &mut Peers, host: usize, view_digest: ViewDigest) {
    let metadata_store = MetadataStoreStatus::NotUsed;
    let gossip = Gossip {
        incarnation: 1,
        hall: HALL,
        millicores: 120,
        round_ms: u16::MAX,
        metadata_store,
        view_digest,
        ..Gossip::default()
    };
    peers.receive_gossip(0, address(host), gossip, ViewDigest::default());
}

/// Time in which all boxes of a hall have all items, if one has them and each gives them to four others
/// at a time.
fn told_after_ms(boxes: usize) -> usize {
    let mut fleet: Vec<Peers> = (0..boxes).map(|host| hall_peers(host, boxes)).collect();
    let mut told = vec![false; boxes];
    let mut newly_told = vec![0];
    let mut rounds = 0;
    let with_items = ViewDigest { last_change_revision: 9, checksum: 9 };
    while !newly_told.is_empty() {
        for host in newly_told.drain(..) {
            told[host] = true;
            for (_, peers) in fleet.iter_mut().enumerate().filter(|(other, _)| *other != host) {
                receive(peers, host, with_items);
            }
        }
        rounds += 1;
        let mut asked: HashMap<IpAddr, usize> = HashMap::new();
        for (host, peers) in fleet.iter_mut().enumerate().filter(|(host, _)| !told[*host]) {
            // Two tries, since a box that sends to others already is soon found out.
            for now_ms in [0, 1] {
                let status = MetadataStoreStatus::NotUsed;
                let source = peers.catch_up_source(now_ms, ViewDigest::default(), status);
                let source = source.expect("a box that has the items").ip();
                let count = asked.entry(source).or_default();
                *count += 1;
                if *count <= MAX_LARGE_UPDATES {
                    newly_told.push(host);
                    break;
                }
                peers.note_unanswered(now_ms, source);
            }
        }
    }
    let bytes = boxes * UPDATE_BYTES_PER_HALL_BOX * MAX_LARGE_UPDATES;
    (rounds - 1) * bytes / LINK_BYTES_PER_MS
}

/// One box gave all items to its whole hall over one link.
#[rstest]
#[case::hall_of_the_fleet(197)]
#[case::twice_the_size(394)]
fn told_in_turns(#[case] boxes: usize) {
    let took_ms = told_after_ms(boxes);
    assert!(took_ms * 2 <= RECOVERY_MS, "{took_ms} ms");
}

/// However large the hall, one box after the other begins to read all items.
#[rstest]
#[case::hall_of_the_fleet(197)]
#[case::twice_the_size(394)]
fn readers_by_time(#[case] boxes: usize) {
    let delays_ms: Vec<u64> =
        (0..boxes).map(|host| hall_peers(host, boxes).listing_delay_ms(0)).collect();
    for now_ms in [0, 2000, 10_000, 40_000] {
        let readers = delays_ms.iter().filter(|delay_ms| **delay_ms <= now_ms).count();
        assert!(readers as u64 <= 1 + now_ms / 500, "{readers} after {now_ms} ms");
    }
    let distinct: BTreeSet<u64> = delays_ms.iter().copied().collect();
    assert_eq!(distinct.len(), boxes, "each has its turn");
}

/// A page that does not arrive costs one call more, not the listing.
#[test]
fn pages_kept() {
    const PREFIXES: &[&str] = &["a/", "b/"];
    let mut listing = Listing::new(0, PREFIXES, Freshness::Stale);
    let mut calls = 0;
    while let Some(request) = listing.next_page() {
        calls += 1;
        if calls % 20 == 0 {
            continue;
        }
        let number = listing.pages() % 100;
        let key = format!("{}{number:02}", request.prefix);
        assert!(request.after.is_none_or(|after| after < key));
        let item = Item { key, value: vec![1], revision: 5 };
        let at_revision = 900 - u64::try_from(listing.pages()).unwrap();
        listing.add_page(Page { items: vec![item], has_more: number < 99, at_revision });
    }
    assert_eq!((listing.pages(), calls), (200, 210));
    let snapshot = listing.into_snapshot();
    assert_eq!((snapshot.items.len(), snapshot.at_revision), (200, 701), "the oldest page");
}
