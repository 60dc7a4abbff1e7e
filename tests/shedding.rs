//! When a box closes new connections unread, by how long connections wait after they are accepted.

use coursestile::gateway::decisions::shedding::{LONG_WAIT_MS, Shedding};
use rstest::rstest;

const NOW_MS: u64 = 1_000_000;

/// Whether a connection is shed that follows others, one each millisecond, which waited so long.
fn is_shed_after(shedding: &mut Shedding, from_ms: u64, wait_ms: u64, count: u64) -> bool {
    (0..count).map(|number| shedding.record_wait(from_ms + number, wait_ms)).last().unwrap()
}

#[rstest]
#[case::short(LONG_WAIT_MS - 1, false)]
#[case::long(LONG_WAIT_MS, true)]
#[case::longer(1000, true)]
fn long_waits(#[case] wait_ms: u64, #[case] is_shed: bool) {
    assert_eq!(is_shed_after(&mut Shedding::default(), NOW_MS, wait_ms, 100), is_shed);
}

/// A process that stood still once does not shed what comes afterwards.
#[test]
fn stood_still() {
    let mut shedding = Shedding::default();
    is_shed_after(&mut shedding, NOW_MS, 0, 100);
    shedding.record_wait(NOW_MS + 5100, 5000);
    assert!(!is_shed_after(&mut shedding, NOW_MS + 5101, 1, 10));
}

/// A process that stood still while many connections arrived at once closed most of them, although
/// it had a backlog of some milliseconds.
#[test]
fn burst_after_standstill() {
    let mut shedding = Shedding::default();
    for number in 0..40 {
        assert!(!shedding.record_wait(NOW_MS + number, 40 - number), "connection {number}");
    }
    // Those that arrive afterwards do not wait.
    for number in 0..200 {
        assert!(!shedding.record_wait(NOW_MS + 40 + number, 0), "connection {number} afterwards");
    }
}

/// Once connections wait for a short time again, they are read.
#[test]
fn worked_off() {
    let mut shedding = Shedding::default();
    assert!(is_shed_after(&mut shedding, NOW_MS, 200, 300));
    assert!(!is_shed_after(&mut shedding, NOW_MS + 300, 1, 250));
}

/// Single connections that wait for long, as on a machine that other programs keep busy, are read.
#[test]
fn few_connections() {
    let mut shedding = Shedding::default();
    for number in 0..100 {
        assert!(!shedding.record_wait(NOW_MS + 100 * number, 50));
    }
}
