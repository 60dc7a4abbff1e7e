//! Which peers a box waits for when it reports a crash.

use coursestile::acknowledgements::Acknowledgements;

const REPORT: u64 = 7;

#[test]
fn all_awaited() {
    let mut acknowledgements = Acknowledgements::default();
    acknowledgements.start(REPORT, ["b1", "b2"]);
    assert!(!acknowledgements.is_complete());
    assert!(!acknowledgements.record(REPORT, "b1"));
    assert!(!acknowledgements.record(REPORT, "b1"), "an acknowledgement counts once");
    assert!(acknowledgements.record(REPORT, "b2"));
    assert!(acknowledgements.is_complete());
}

#[test]
fn earlier_report() {
    let mut acknowledgements = Acknowledgements::default();
    acknowledgements.start(REPORT, ["b1"]);
    acknowledgements.start(REPORT + 1, ["b1"]);
    assert!(!acknowledgements.record(REPORT, "b1"));
    assert!(!acknowledgements.is_complete());
}

// A peer that has vanished must not hold up each report until it is considered dead.
#[test]
fn silent_peer() {
    let mut acknowledgements = Acknowledgements::default();
    acknowledgements.start(REPORT, ["b1", "b2"]);
    acknowledgements.record(REPORT, "b1");
    assert_eq!(acknowledgements.give_up(), ["b2"]);
    acknowledgements.start(REPORT + 1, ["b1", "b2"]);
    assert!(acknowledgements.record(REPORT + 1, "b1"), "the silent one is not waited for");
    acknowledgements.record_heard("b2");
    acknowledgements.start(REPORT + 2, ["b1", "b2"]);
    assert!(!acknowledgements.record(REPORT + 2, "b1"), "it is waited for again");
}
