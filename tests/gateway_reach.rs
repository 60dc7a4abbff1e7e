//! What a box concludes from its own links: whether it is cut off, which peers help, and that its own
//! cut is held against no upstream.

use std::net::{IpAddr, SocketAddr};

use coursestile::clock::now_ms;
use coursestile::gateway::connections::Path;
use coursestile::gateway::decisions::admission::Occupancy;
use coursestile::gateway::decisions::choose::Choice;
use coursestile::gateway::decisions::gossip_message::Gossip;
use coursestile::gateway::decisions::peers::{LocalBox, Peers};
use coursestile::gateway::decisions::reach::Reach;
use coursestile::gateway::decisions::upstream::{Load, UpstreamEntry};
use coursestile::gateway::decisions::view::ViewDigest;
use coursestile::gateway::in_flight::InFlight;
use coursestile::gateway::kernel::Gateway;
use coursestile::gateway::settings::Settings;
use fastrand::Rng;
use rstest::rstest;

const SETTINGS: &str = "[box]\nname = a\nhall = north\nclients = 127.0.0.1:1\n\
    ready = 127.0.0.1:1\npeers = 127.0.0.1:1\n[platform]\naddress = 127.0.0.1:1\n";

#[test]
fn cut_off_from_all() {
    let mut reach = Reach::default();
    assert!(!reach.update(1, false), "a single upstream is no proof");
    assert!(!reach.update(5, true), "another upstream is reached");
    assert!(reach.update(2, false) && reach.is_cut_off());
    reach.record_store_failure(2);
    assert!(reach.misses_stores());
    assert!(reach.update(2, true) && !reach.is_cut_off());
    assert!(reach.misses_stores(), "some upstreams are still missed");
    reach.update(0, true);
    assert!(!reach.misses_stores());
    reach.record_store_failure(0);
    assert!(!reach.misses_stores(), "the store itself may be down");
}

fn address(host: u8) -> IpAddr {
    [10, 0, 0, host].into()
}

/// Peers of a box in hall 0, each with its hall, tunnels and missed upstreams.
fn peers(all: &[(u32, u16, u16)]) -> Peers {
    let local = LocalBox {
        short_id: 1,
        address: SocketAddr::new(address(100), 7000),
        hall: 0,
        millicores: 250,
    };
    let mut peers = Peers::new(local, &[]);
    for (host, (hall, tunnels, missed_upstreams)) in (1..).zip(all) {
        let gossip = Gossip {
            incarnation: 1,
            hall: *hall,
            millicores: 250,
            offers_tunnels: true,
            tunnels: *tunnels,
            missed_upstreams: *missed_upstreams,
            ..Gossip::default()
        };
        peers.receive_gossip(0, address(host), gossip, ViewDigest::default());
    }
    peers
}

#[rstest]
#[case::own_hall(&[(1, 0, 0), (0, 9, 0), (2, 0, 0)], 2)]
#[case::hall_of_upstream(&[(2, 0, 0), (1, 9, 0), (3, 0, 0)], 2)]
#[case::fewest_tunnels(&[(0, 9, 0), (0, 2, 0), (0, 5, 0)], 2)]
#[case::reaches_upstreams(&[(0, 0, 7), (1, 9, 0), (0, 0, 2)], 2)]
fn helper_preferred(#[case] all: &[(u32, u16, u16)], #[case] preferred: u8) {
    let asked = peers(all).tunnel_peers(1, 1, &mut Rng::with_seed(1));
    assert_eq!(asked[0], address(preferred));
}

/// The load of tunnels is spread over a hall, whatever each box knows of it.
#[test]
fn helpers_spread() {
    let peers = peers(&[(0, 0, 0); 50]);
    let mut rng = Rng::with_seed(1);
    let mut counts = [0_u32; 51];
    for _ in 0..5000 {
        let IpAddr::V4(asked) = peers.tunnel_peers(1, 1, &mut rng)[0] else { unreachable!() };
        counts[usize::from(asked.octets()[3])] += 1;
    }
    assert!(counts[1..].iter().all(|count| (50..200).contains(count)), "{counts:?}");
}

#[test]
fn declining_last() {
    let mut peers = peers(&[(0, 0, 0), (0, 9, 0)]);
    peers.note_declined_tunnel(1, address(1));
    assert_eq!(peers.tunnel_peers(2, 1, &mut Rng::with_seed(1))[0], address(2));
    assert!(!peers.offers_tunnels(2, address(3)), "it was never heard from");
}

/// The only helper, once it had answered late, was not asked for two seconds.
#[test]
fn unanswered_last() {
    let mut peers = peers(&[(0, 0, 0), (0, 0, 7)]);
    peers.note_unanswered(1, address(1));
    let asked = peers.tunnel_peers(2, 1, &mut Rng::with_seed(1));
    assert_eq!(asked, [address(2), address(1)]);
}

/// A box with one engine, which it knows and has used.
fn gateway_with_engine() -> (std::sync::Arc<Gateway>, Choice) {
    let settings = Settings::parse("a.ini", SETTINGS).expect("settings");
    let gateway = Gateway::new(settings).expect("gateway");
    let entry = UpstreamEntry {
        service: "llm".to_owned(),
        software: "v1".to_owned(),
        address: "127.0.0.1:1".parse().unwrap(),
        hall: "north".to_owned(),
        slots: 8,
        leaving: false,
        cold_left_ms: 0,
        models: Vec::new(),
        started_at_ms: None,
    };
    let upstream = {
        let mut state = gateway.state();
        state.upstreams.upsert(now_ms(), "e-0", entry);
        state.upstreams.get("e-0").unwrap().incarnation()
    };
    let choice = Choice {
        upstream,
        software: 0,
        context: None,
        expected_first_token_ms: 10.0,
        engine_wait_negligible: true,
        occupancy: Occupancy::NearlyFull,
        limit: None,
        objective_at_ms: Some(now_ms() - 1),
        memory_tokens: 10,
        load: Load::default(),
        chosen_at_ms: now_ms(),
    };
    (gateway, choice)
}

/// Requests that were lost with the box's own links lowered its admission limit, and made it avoid
/// the upstream.
#[rstest]
#[case::own_cut(true)]
#[case::upstream_late(false)]
fn cut_held_against_upstream(#[case] is_cut: bool) {
    let (gateway, choice) = gateway_with_engine();
    let upstream_address = gateway.state().upstreams.address("e-0").expect("an engine");
    let before = gateway.state().admission_limits.limit_of("llm");
    let mut in_flight =
        InFlight::begin(&gateway, &choice, upstream_address).expect("no rate limit");
    in_flight.record_connected(Path::Direct);
    if is_cut {
        gateway.state().upstreams.get_mut("e-0").unwrap().record_tunnel();
    }
    in_flight.record_failure();
    drop(in_flight);
    let state = gateway.state();
    let is_lowered = state.admission_limits.limit_of("llm") < before;
    let is_avoided = state.upstreams.get("e-0").unwrap().is_unhealthy(now_ms());
    assert_eq!((is_lowered, is_avoided), (!is_cut, !is_cut));
}
