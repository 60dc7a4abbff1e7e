//! Who holds a hall's lease: this box, another one, or none that still runs.

use coursestile::lease::{LeaseRecord, LeaseStatus, lease_status};
use coursestile::ticket::BoxRef;
use rstest::rstest;

fn box_ref(name: &str, incarnation: u64) -> BoxRef {
    BoxRef { name: name.to_owned(), incarnation }
}

fn lease_record(session: &str, holder: Option<BoxRef>) -> LeaseRecord {
    LeaseRecord { session: session.to_owned(), holder }
}

fn orphaned(session: &str) -> LeaseStatus {
    LeaseStatus::Orphaned(session.to_owned())
}

#[rstest]
#[case::free(None, LeaseStatus::Free)]
#[case::own(Some(lease_record("mine", Some(box_ref("b1", 7)))), LeaseStatus::HeldByThisBox)]
#[case::taken_unheard(Some(lease_record("mine", None)), LeaseStatus::HeldByThisBox)]
#[case::answer_lost(Some(lease_record("given up", Some(box_ref("b1", 7)))), orphaned("given up"))]
#[case::before_restart(Some(lease_record("old", Some(box_ref("b1", 6)))), orphaned("old"))]
#[case::gone(Some(lease_record("old", Some(box_ref("b2", 1)))), orphaned("old"))]
#[case::alive(Some(lease_record("theirs", Some(box_ref("b3", 1)))), LeaseStatus::HeldByOtherBox)]
#[case::unreadable(Some(lease_record("theirs", None)), LeaseStatus::HeldByOtherBox)]
fn whose_lease(#[case] record: Option<LeaseRecord>, #[case] expected: LeaseStatus) {
    let gone = [box_ref("b1", 6), box_ref("b2", 1)];
    let status =
        lease_status(record, &box_ref("b1", 7), Some("mine"), |holder| gone.contains(holder));
    assert_eq!(status, expected);
}

// Only engines that check fencing tokens refuse late orders of a holder that is gone. With
// engines that do not, its lease counts as held until it expires.
#[test]
fn lapse_awaited() {
    let record = lease_record("old", Some(box_ref("b2", 1)));
    assert_eq!(
        lease_status(Some(record), &box_ref("b1", 7), None, |_| false),
        LeaseStatus::HeldByOtherBox
    );
}
