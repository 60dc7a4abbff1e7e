//! A stopping box hands its ledgers over so that the outcomes of calls remain known.

mod common;
#[path = "common/peer.rs"]
mod peer;

use std::time::Duration;

use common::start_fleet;
use coursestile::clock::now_ms;
use coursestile::inherited_ledgers::InheritedLedgers;
use coursestile::ledger::{CallKey, Ledger, Outcome};
use coursestile::member::Health;
use coursestile::ticket::BoxRef;
use coursestile::wire::Message;
use coursestile_standins::fleet::{Fleet, Plan};
use peer::SimulatedPeer;

/// Time within which a box begins to hand its ledgers over after the signal to stop.
const HANDOVER_START_TIMEOUT: Duration = Duration::from_secs(10);

fn box_ref(name: &str) -> BoxRef {
    BoxRef { name: name.to_owned(), incarnation: 1 }
}

/// A closed ledger with one key, whose call's outcome is unknown.
fn ledger() -> Ledger {
    let mut ledger = Ledger::default();
    let key = CallKey { account: "petra".to_owned(), key: "kept".to_owned() };
    ledger.try_spend_key(now_ms(), &key, 0, now_ms() + 60_000);
    ledger.handover_copy()
}

fn handover_of(of: &BoxRef) -> Message {
    Message::Handover { of: of.clone(), ledger: Box::new(ledger()) }
}

/// Starts one box with a peer, whose ledger it takes over.
async fn start_heir() -> (Fleet, SimulatedPeer) {
    let fleet = start_fleet(&Plan::one_hall(1, 1, 1)).await;
    let mut peer = SimulatedPeer::new(&fleet).await;
    peer.introduce(Health::Alive);
    fleet.wait_for_revision(&[&fleet.boxes[0]], 4, 2).await;
    peer.send(handover_of(&box_ref("earlier")));
    while peer.next_message().await != (Message::HandoverConfirmed { of: box_ref("earlier") }) {}
    (fleet, peer)
}

/// Waits for the next ledger that the box hands over, and returns whose it is.
async fn next_handover(peer: &mut SimulatedPeer) -> BoxRef {
    let handover = async {
        loop {
            if let Message::Handover { of, .. } = peer.next_message().await {
                return of;
            }
        }
    };
    tokio::time::timeout(HANDOVER_START_TIMEOUT, handover).await.expect("a ledger is handed over")
}

// The heir must know that it has all ledgers of the leaving box. A box without calls of its own
// handed over only what it had inherited: if it ended before it had announced the heir, no box
// knew where that was.
#[tokio::test]
async fn own_ledger_last() {
    let (fleet, mut peer) = start_heir().await;
    fleet.boxes[0].process.signal("-TERM");
    let inherited = next_handover(&mut peer).await;
    assert_eq!(inherited, box_ref("earlier"));
    peer.send(Message::HandoverConfirmed { of: inherited });
    let mut last = next_handover(&mut peer).await;
    while last == box_ref("earlier") {
        last = next_handover(&mut peer).await;
    }
    assert_eq!(last, peer.box_id);
}

// A box that hands its ledgers over must not take over another one, which would end with it.
#[tokio::test]
async fn heir_stopping() {
    let (fleet, mut peer) = start_heir().await;
    fleet.boxes[0].process.signal("-TERM");
    next_handover(&mut peer).await;
    peer.send(handover_of(&box_ref("late")));
    // The box tries the peer for several seconds, since the peer confirms nothing.
    let confirmed = async {
        while peer.next_message().await != (Message::HandoverConfirmed { of: box_ref("late") }) {}
    };
    assert!(tokio::time::timeout(Duration::from_secs(1), confirmed).await.is_err());
}

// Until it stops, a box must answer from the ledgers that it hands over, as the others learn of
// their heir later. It answered that it had none.
#[tokio::test]
async fn answers_meanwhile() {
    let (fleet, mut peer) = start_heir().await;
    fleet.boxes[0].process.signal("-TERM");
    next_handover(&mut peer).await;
    peer.forward_for(&box_ref("earlier"), 1, "not spent");
    let (_, end) = peer.next_call_end().await;
    assert_eq!(end.outcome, Outcome::NotRun, "a key that a closed ledger does not have");
}

// If all peers are considered dead, one of them may be running nevertheless. The ledger was handed
// to nobody.
#[tokio::test]
async fn peers_considered_dead() {
    let (fleet, mut peer) = start_heir().await;
    peer.introduce(Health::Dead);
    fleet.boxes[0].process.signal("-TERM");
    assert_eq!(next_handover(&mut peer).await, box_ref("earlier"));
}

#[test]
fn closed_inheritance() {
    let mut inherited = InheritedLedgers::default();
    assert!(inherited.accept(box_ref("earlier"), ledger()));
    assert!(inherited.accept(box_ref("idle"), Ledger::default()), "nothing to keep");
    let handed_over: Vec<_> = inherited.close().into_iter().map(|(of, _)| of).collect();
    assert_eq!(handed_over, [box_ref("earlier")]);
    assert!(!inherited.accept(box_ref("late"), ledger()));
    assert!(inherited.get_mut(&box_ref("earlier")).is_some(), "it still answers");
    assert!(inherited.get_mut(&box_ref("late")).is_none());
}
