//! Engines are told to run requests first that can still meet their objective.

#[path = "common/site.rs"]
mod common;

use common::start_fixture;
use coursestile::gateway::decisions::urgency::{RouteTimeouts, rank};
use coursestile_standins::site::client::request;
use rstest::rstest;

const ROUTE: &str = "summaries";

#[test]
fn waits_from_limits() {
    let mut timeouts = RouteTimeouts::default();
    assert_eq!(
        timeouts.elapsed_ms(100, ROUTE, 2500),
        0,
        "this is the longest time-out seen so far"
    );
    assert_eq!(timeouts.elapsed_ms(200, ROUTE, 4000), 0);
    assert_eq!(timeouts.elapsed_ms(300, ROUTE, 2500), 1500);
    assert_eq!(
        timeouts.elapsed_ms(300, "questions", 2500),
        0,
        "each route has its own longest time-out"
    );
}

#[test]
fn limits_lowered() {
    let mut timeouts = RouteTimeouts::default();
    timeouts.elapsed_ms(9_000, ROUTE, 12_000);
    assert_eq!(timeouts.elapsed_ms(15_000, ROUTE, 4000), 8000);
    assert_eq!(
        timeouts.elapsed_ms(25_000, ROUTE, 4000),
        0,
        "the longer time-out has been forgotten"
    );
    assert_eq!(timeouts.elapsed_ms(26_000, ROUTE, 4000), 0);
}

/// Timeouts of first attempts that are spread evenly over the last `part` of `longest_ms`.
fn first_attempts(longest_ms: u64, part: f64, seed: u64) -> impl Iterator<Item = u64> {
    let mut random = fastrand::Rng::with_seed(seed);
    #[expect(clippy::cast_possible_truncation, clippy::cast_sign_loss, clippy::cast_precision_loss)]
    std::iter::repeat_with(move || (longest_ms as f64 * (1.0 - part * random.f64())) as u64)
}

/// Clients whose timeouts differ are not taken for ones that retry, whatever the spread; those that
/// retry after an outage are.
#[rstest]
#[case::equal(0.0)]
#[case::nearly_equal(0.01)]
#[case::wider_than_objective(0.15)]
#[case::widest(0.4)]
fn spread_of_clients(#[case] part: f64) {
    let (longest_ms, objective_ms) = (4000, 500);
    let mut timeouts = RouteTimeouts::default();
    let mut attempts = first_attempts(longest_ms, part, 7);
    for timeout_ms in attempts.by_ref().take(40) {
        timeouts.elapsed_ms(100, ROUTE, timeout_ms);
    }
    let calm: Vec<u64> = attempts.by_ref().take(1000).collect();
    let mistaken =
        calm.iter().filter(|timeout_ms| timeouts.elapsed_ms(200, ROUTE, **timeout_ms) > 0);
    assert!(mistaken.count() <= 20);
    // After an outage of 1.5 s every other request is a retry for two seconds.
    let mut late = 0;
    for timeout_ms in attempts.by_ref().take(20) {
        timeouts.elapsed_ms(300, ROUTE, timeout_ms);
        late += usize::from(timeouts.elapsed_ms(300, ROUTE, timeout_ms - 1500) >= objective_ms);
    }
    assert!(late >= 15 || part > 0.3, "{late} of 20 retries are late");
}

#[test]
fn routes_dropped() {
    let mut timeouts = RouteTimeouts::default();
    timeouts.elapsed_ms(100, ROUTE, 4000);
    timeouts.retain(|route| route != ROUTE);
    assert_eq!(timeouts.elapsed_ms(200, ROUTE, 2500), 0);
}

#[rstest]
#[case::in_time(1, 1500, 1500, 1)]
#[case::late(1, 1501, 1500, 5)]
#[case::least_urgent(7, 9000, 1500, 9)]
fn late_ones_after(
    #[case] priority: u8,
    #[case] expected_at_ms: u64,
    #[case] objective_at_ms: u64,
    #[case] expected: u8,
) {
    assert_eq!(rank(priority, expected_at_ms, objective_at_ms), expected);
}

#[tokio::test]
async fn told_to_upstreams() {
    let fixture = start_fixture(1).await;
    let long_deadline = request("GET", "/safe/x", "r-1", "", "");
    let short_deadline = String::from_utf8(request("GET", "/safe/x", "r-2", "", "")).unwrap();
    let short_deadline = short_deadline.replace("X-Deadline-Ms: 3000", "X-Deadline-Ms: 1500");
    for bytes in [&long_deadline, short_deadline.as_bytes()] {
        assert_eq!(fixture.send_raw(bytes).await.expect("an answer").status(), 200);
    }
    let priority = |id| fixture.first_arrival(id).header("priority").map(str::to_owned);
    assert_eq!((priority("r-1").as_deref(), priority("r-2").as_deref()), (Some("1"), Some("5")));
    assert!(fixture.gateway.log_text().contains("event=ranked_late request=r-2"));
}
