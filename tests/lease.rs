//! Whose a hall's lease is.

use coursestile::lease::{LeaseRecord, LeaseStatus, lease_status};
use coursestile::ticket::BoxRef;
use rstest::rstest;

fn run(name: &str, incarnation: u64) -> BoxRef {
    BoxRef { name: name.to_owned(), incarnation }
}

fn held(session: &str, holder: Option<BoxRef>) -> LeaseRecord {
    LeaseRecord { session: session.to_owned(), holder }
}

fn orphaned(session: &str) -> LeaseStatus {
    LeaseStatus::Orphaned(session.to_owned())
}

#[rstest]
#[case::free(None, LeaseStatus::Free)]
#[case::own(Some(held("mine", Some(run("b1", 7)))), LeaseStatus::HeldByThisBox)]
#[case::taken_unheard(Some(held("mine", None)), LeaseStatus::HeldByThisBox)]
#[case::answer_lost(Some(held("given up", Some(run("b1", 7)))), orphaned("given up"))]
#[case::before_restart(Some(held("old", Some(run("b1", 6)))), orphaned("old"))]
#[case::gone(Some(held("old", Some(run("b2", 1)))), orphaned("old"))]
#[case::alive(Some(held("theirs", Some(run("b3", 1)))), LeaseStatus::HeldByOtherBox)]
#[case::unreadable(Some(held("theirs", None)), LeaseStatus::HeldByOtherBox)]
fn whose_lease(#[case] held: Option<LeaseRecord>, #[case] expected: LeaseStatus) {
    let gone = [run("b1", 6), run("b2", 1)];
    let found = lease_status(held, &run("b1", 7), Some("mine"), |holder| gone.contains(holder));
    assert_eq!(found, expected);
}

// Late orders of a holder that has gone are refused by engines that check only.
#[test]
fn lapse_awaited() {
    let others = held("old", Some(run("b2", 1)));
    assert_eq!(
        lease_status(Some(others), &run("b1", 7), None, |_| false),
        LeaseStatus::HeldByOtherBox
    );
}
