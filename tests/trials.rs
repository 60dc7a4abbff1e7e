//! Trials of suspect parts: who grants them, and how many run at a time.

use std::net::{IpAddr, SocketAddr};

use coursestile::gateway::decisions::gossip_message::Gossip;
use coursestile::gateway::decisions::peers::{LocalBox, Peers};
use coursestile::gateway::decisions::trials::{MAX_TRIAL_MS, TrialQuery, Trials};
use coursestile::gateway::decisions::view::ViewDigest;
use coursestile::names::short_id;
use coursestile::part_key::PartKey;

const NOW_MS: u64 = 1_000_000;
const PART: PartKey = PartKey(7);
const QUERY: TrialQuery = TrialQuery { number: 1, part: PART };
const OTHER_QUERY: TrialQuery = TrialQuery { number: 2, part: PART };

fn address(number: u8) -> IpAddr {
    IpAddr::from([10, 0, 0, number])
}

#[test]
fn one_at_a_time() {
    let mut trials = Trials::default();
    assert!(trials.grant(NOW_MS, address(1), QUERY, None).is_granted);
    assert!(!trials.grant(NOW_MS + 10, address(2), OTHER_QUERY, None).is_granted);
    assert!(trials.grant(NOW_MS + 20, address(1), QUERY, None).is_granted, "the answer was lost");
    let other_part = TrialQuery { number: 3, part: PartKey(8) };
    assert!(trials.grant(NOW_MS + 30, address(2), other_part, None).is_granted);
    assert!(!trials.end(address(2), OTHER_QUERY));
    assert!(!trials.grant(NOW_MS + 40, address(2), OTHER_QUERY, None).is_granted, "not its trial");
    assert!(trials.end(address(1), QUERY));
    assert!(trials.grant(NOW_MS + 50, address(2), OTHER_QUERY, None).is_granted);
}

/// A trial ends if its holder does not say so, and when the part is cleared.
#[test]
fn ends_by_itself() {
    let mut trials = Trials::default();
    assert!(trials.grant(NOW_MS, address(1), QUERY, None).is_granted);
    assert!(!trials.grant(NOW_MS + 10, address(2), OTHER_QUERY, Some(NOW_MS - 1)).is_granted);
    assert!(trials.grant(NOW_MS + 20, address(2), OTHER_QUERY, Some(NOW_MS + 15)).is_granted);
    let next_ms = NOW_MS + 20 + MAX_TRIAL_MS;
    assert!(!trials.grant(next_ms - 1, address(1), QUERY, None).is_granted);
    assert!(trials.grant(next_ms, address(1), QUERY, None).is_granted);
}

/// The peers of box `number` in a fleet with the given hall for each box.
fn peers_of(number: u8, halls: &[u32]) -> Peers {
    let local = LocalBox {
        short_id: short_id(&address(number).to_string()),
        address: SocketAddr::new(address(number), 7000),
        hall: halls[usize::from(number)],
        millicores: 250,
    };
    let mut peers = Peers::new(local, &[]);
    for (other, hall) in (0..).zip(halls) {
        if other != number {
            let gossip = Gossip { incarnation: 1, hall: *hall, ..Gossip::default() };
            peers.receive_gossip(NOW_MS, address(other), gossip, ViewDigest::default());
        }
    }
    peers
}

/// All boxes of a small fleet find the same owner, and those of a hall of a large one.
#[test]
fn one_owner() {
    let owner = |number: u8, halls: &[u32], part: u64| {
        peers_of(number, halls).trial_owners(NOW_MS, PartKey(part))[0]
    };
    let (small, large) = ([1, 1, 1, 2, 2, 2, 3, 3, 3], [1, 2, 3].repeat(8));
    let mut owners = std::collections::BTreeSet::new();
    for part in 0..50 {
        let first = owner(0, &small, part);
        owners.insert(first);
        assert!((0..9).all(|number| owner(number, &small, part) == first), "part {part}");
        let hall_owner = owner(0, &large, part);
        assert!((0..24).step_by(3).all(|number| owner(number, &large, part) == hall_owner));
    }
    assert_eq!(owners.len(), 9, "each box owns some parts");
}

/// The halls of a large fleet do not try a part at the same time.
#[test]
fn halls_take_turns() {
    let halls = [1, 2, 3].repeat(8);
    let delays: Vec<u64> =
        (0..3).map(|number| peers_of(number, &halls).trial_delay_ms(NOW_MS)).collect();
    assert_eq!(delays, [0, 5000, 10_000]);
    assert_eq!(peers_of(8, &halls[..9]).trial_delay_ms(NOW_MS), 0, "one owner for all");
}
