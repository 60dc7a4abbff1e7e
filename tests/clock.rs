//! The clock counts the time for which the machine is suspended. With a monotonic clock that
//! leaves it out, a box relied on leases and deadlines that had expired for all others.

use std::time::Duration;

use coursestile::clock::{Clock, now_ms, since_boot};

#[test]
fn suspension_counts() {
    let clock = Clock::new(Duration::from_secs(1000), Duration::from_secs(50));
    assert_eq!(clock.at(Duration::from_secs(57)), Duration::from_secs(1007));
    assert_eq!(clock.at(Duration::from_secs(49)), Duration::from_secs(1000), "it never goes back");
}

/// The process's clock advances as the time since boot does.
#[test]
fn follows_boot() {
    let (earliest, start_ms, start) = (since_boot(), now_ms(), since_boot());
    std::thread::sleep(Duration::from_millis(30));
    let (end, end_ms, latest) = (since_boot(), now_ms(), since_boot());
    let elapsed = Duration::from_millis(end_ms - start_ms);
    let rounding = Duration::from_millis(1);
    assert!(elapsed + rounding >= end.saturating_sub(start));
    assert!(elapsed <= latest.saturating_sub(earliest) + rounding);
}
