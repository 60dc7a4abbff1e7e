//! How many boxes share what all of them have together, as far as one of them can know.

use std::net::{IpAddr, SocketAddr};

use coursestile::gateway::decisions::budget::{RetryBudget, RetryBudgetConfig};
use coursestile::gateway::decisions::gossip_message::Gossip;
use coursestile::gateway::decisions::peers::{
    Audience, GossipScope, LocalBox, MAX_ABSENCE_MS, PEER_RETENTION_MS, Peers,
};
use coursestile::gateway::decisions::view::ViewDigest;

const BOXES: u8 = 4;

fn address(host: u8) -> IpAddr {
    IpAddr::from([10, 0, 0, host])
}

fn new_peers(host: u8, seeds: &[IpAddr]) -> Peers {
    let local_box = LocalBox {
        short_id: u32::from(host),
        address: SocketAddr::new(address(host), 7000),
        hall: u32::from(host % 2),
        millicores: 100,
    };
    Peers::new(local_box, seeds)
}

fn receive(peers: &mut Peers, now_ms: u64, from: u8, is_stopping: bool) {
    let gossip = Gossip {
        incarnation: 1,
        hall: u32::from(from % 2),
        offers_tunnels: !is_stopping,
        ..Gossip::default()
    };
    peers.receive_gossip(now_ms, address(from), gossip, ViewDigest::default());
}

/// Forgets the peers that have been silent for long enough.
fn forget(peers: &mut Peers, now_ms: u64) {
    peers.next_targets(now_ms, Audience::All, GossipScope::OwnHall);
}

/// Boxes that were cut off from each other each took the share of the boxes that they did not hear.
#[test]
fn shares_while_cut() {
    let config = RetryBudgetConfig { ratio: 0.2, window_ms: 10_000, extra: 12.0 };
    for cut_ms in [2000, PEER_RETENTION_MS + 1000, MAX_ABSENCE_MS - 1000] {
        let mut granted = 0;
        for host in 1..=BOXES {
            let mut peers = new_peers(host, &[]);
            for other in (1..=BOXES).filter(|other| *other != host) {
                receive(&mut peers, 0, other, false);
            }
            forget(&mut peers, cut_ms);
            assert_eq!(peers.live_boxes(cut_ms), 1);
            let mut budget = RetryBudget::new(config, 0);
            let now_ms = cut_ms + config.window_ms;
            let boxes = peers.possible_boxes();
            granted += (0..100).filter(|_| budget.try_spend(now_ms, "s", boxes)).count();
        }
        assert!(granted <= 12, "{granted} retries after {cut_ms} ms");
        assert!(granted >= usize::from(BOXES), "{granted} retries after {cut_ms} ms");
    }
}

/// A box that starts while it is cut off knows others by name only.
#[test]
fn known_by_name() {
    let mut peers = new_peers(1, &[address(2)]);
    assert_eq!(peers.possible_boxes(), 2);
    peers.add_address(0, address(2));
    peers.add_address(0, address(3));
    assert_eq!(peers.possible_boxes(), 3);
    forget(&mut peers, PEER_RETENTION_MS);
    assert_eq!(peers.possible_boxes(), 3);
    receive(&mut peers, PEER_RETENTION_MS, 3, false);
    assert_eq!(peers.possible_boxes(), 3, "a box that returns counts once");
}

/// The share of a box that has stopped must not be lost for longer than others remember it.
#[test]
fn stopped_and_long_absent() {
    let mut peers = new_peers(1, &[]);
    receive(&mut peers, 0, 2, true);
    receive(&mut peers, 0, 3, false);
    assert_eq!(peers.possible_boxes(), 3);
    forget(&mut peers, PEER_RETENTION_MS);
    assert_eq!(peers.possible_boxes(), 2, "the box that was stopping is gone");
    forget(&mut peers, MAX_ABSENCE_MS);
    assert_eq!(peers.possible_boxes(), 1);
}
