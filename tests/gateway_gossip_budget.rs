//! The bytes of urgent gossip are bounded by the box's link.

use coursestile::gateway::decisions::gossip_budget::GossipBudget;
use rstest::rstest;

const NOW_MS: u64 = 1_000_000;
/// A message of 7 KB to each of 29 boxes, at most each 20 ms: seen while a third of 90 engines crashed.
const ROUND_BYTES: usize = 29 * 7000;
const MIN_PERIOD_MS: u64 = 20;

/// Bytes that are sent in `duration_ms` if there is always something urgent.
fn sent_bytes(link_mbps: f64, round_bytes: usize, duration_ms: u64) -> usize {
    let mut budget = GossipBudget::new(NOW_MS, link_mbps);
    let (mut now_ms, mut sent) = (NOW_MS, 0);
    while now_ms < NOW_MS + duration_ms {
        sent += round_bytes;
        budget.record_sent(now_ms, round_bytes);
        now_ms = (now_ms + MIN_PERIOD_MS).max(budget.next_urgent_at_ms());
    }
    sent
}

/// Guards against a storm of messages that fills the links of all boxes: 50 rounds a second.
#[rstest]
#[case::slow_link(10.0)]
#[case::faster_link(30.0)]
fn storm_bounded(#[case] link_mbps: f64) {
    let (unbounded, sent) = (ROUND_BYTES * 500, sent_bytes(link_mbps, ROUND_BYTES, 10_000));
    let link_bytes = link_mbps * 1e6 / 8.0 * 10.0;
    #[expect(clippy::cast_precision_loss, reason = "some million bytes")]
    let sent_part = sent as f64 / link_bytes;
    assert!(sent < unbounded / 10 && (0.15..0.25).contains(&sent_part), "{sent_part}");
}

/// Guards against delays where the link has room: all rounds are sent at once.
#[test]
fn fast_link_unbounded() {
    assert_eq!(sent_bytes(1000.0, ROUND_BYTES / 2, 10_000), ROUND_BYTES / 2 * 500);
}

/// Guards against a pause that outlasts its cause: a box that has been quiet sends at once.
#[test]
fn recovers() {
    let mut budget = GossipBudget::new(NOW_MS, 10.0);
    budget.record_sent(NOW_MS, 10 * ROUND_BYTES);
    let next_ms = budget.next_urgent_at_ms();
    assert!(next_ms > NOW_MS + 5000, "{next_ms}");
    budget.record_sent(next_ms + 1000, 1000);
    assert_eq!(budget.next_urgent_at_ms(), next_ms + 1000);
}
