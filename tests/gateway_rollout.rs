//! Which engines load new weights next, and how many of them at once.

use std::net::SocketAddr;

use coursestile::gateway::decisions::rollout::{
    RolloutCandidate, max_concurrent_loads, next_engines,
};
use coursestile::gateway::decisions::upstream::UpstreamEntry;
use coursestile::gateway::decisions::upstreams::Upstreams;

#[test]
fn oldest_weights_first() {
    let candidate = |id: &str, version, requests| RolloutCandidate {
        id: id.to_owned(),
        version,
        time_left_ms: 10_000,
        is_loading: false,
        may_be_ordered: true,
        failed_orders: 0,
        requests,
        unhealthy: false,
    };
    let candidates = [candidate("a", 2, 0), candidate("b", 1, 9), candidate("c", 3, 0)];
    assert_eq!(next_engines(&candidates, 3), ["b", "a"]);
    assert_eq!(max_concurrent_loads(&outdated(18, 10_000), 2), 3);
    assert_eq!(
        max_concurrent_loads(&outdated(18, 3000), 2),
        9,
        "little time is left: up to half of the engines"
    );
    assert_eq!(max_concurrent_loads(&outdated(60, 10_000), 2), 12);
}

/// Engines with version 1, which must have a newer one in `remaining_ms`.
fn outdated(count: usize, remaining_ms: u64) -> Vec<RolloutCandidate> {
    let engine = |number| RolloutCandidate {
        id: format!("e-{number}"),
        version: 1,
        time_left_ms: remaining_ms,
        is_loading: false,
        may_be_ordered: true,
        failed_orders: 0,
        requests: 0,
        unhealthy: false,
    };
    (0..count).map(engine).collect()
}

#[test]
fn hurry_for_oldest() {
    let mut engines = outdated(6, 4400);
    let mut newer = outdated(12, 8400);
    for engine in &mut newer {
        engine.version = 2;
    }
    engines.extend(newer);
    // There is time for three rounds of loads for the oldest six, and for six rounds for all.
    assert_eq!(max_concurrent_loads(&engines, 3), 3);
    let unhealthy_engines =
        outdated(9, 0).into_iter().map(|engine| RolloutCandidate { unhealthy: true, ..engine });
    engines.extend(unhealthy_engines);
    assert_eq!(
        max_concurrent_loads(&engines, 3),
        5,
        "27 / 5; unhealthy engines do not shorten the time left"
    );
}

#[test]
fn small_pool_serves() {
    for (count, expected) in [(1, 1), (2, 1), (3, 2), (4, 3), (6, 3), (9, 3), (18, 4)] {
        assert_eq!(next_engines(&outdated(count, 10_000), 2).len(), expected, "of {count}");
    }
    assert_eq!(
        next_engines(&outdated(4, 0), 2).len(),
        3,
        "one engine stays in service, even without time left"
    );
}

/// A leader that was cut off from the engines found each of them unhealthy, counted none of the
/// loads that it had started, and took all 18 out of service within a second.
#[test]
fn doubtful_stay_in_use() {
    let mut engines = outdated(18, 10_000);
    for engine in &mut engines {
        engine.unhealthy = true;
    }
    for _ in 0..18 {
        for id in next_engines(&engines, 2) {
            let ordered = engines.iter_mut().find(|engine| engine.id == id).unwrap();
            ordered.is_loading = true;
        }
    }
    assert_eq!(
        engines.iter().filter(|engine| engine.is_loading).count(),
        9,
        "half of the engines stay in service"
    );
    let mut healthy = outdated(1, 10_000);
    healthy[0].id = "sound".to_owned();
    engines.extend(healthy);
    assert_eq!(
        next_engines(&engines, 2),
        ["sound"],
        "unhealthy engines do not delay a healthy one"
    );
}

/// A leader that is cut off from the engines must leave the orders to a box that reaches them.
#[test]
fn way_is_cut() {
    let mut upstreams = Upstreams::default();
    for number in 0..4 {
        let entry = UpstreamEntry {
            service: "llm".to_owned(),
            software: "v1".to_owned(),
            address: SocketAddr::from(([127, 0, 0, 1], 8000 + number)),
            hall: "north".to_owned(),
            slots: 8,
            leaving: false,
            cold_left_ms: 0,
            models: vec![("m".to_owned(), 1)],
            started_at_ms: None,
        };
        upstreams.upsert(0, &format!("e-{number}"), entry);
    }
    upstreams.update_active(|engine| engine.record_peer_receive(9000));
    assert!(!upstreams.is_partitioned(9500, "m"));
    for id in ["e-0", "e-1"] {
        upstreams.get_mut(id).unwrap().record_connect_timeout(9400);
    }
    assert!(!upstreams.is_partitioned(9500, "m"), "half of the engines may be down");
    upstreams.get_mut("e-2").unwrap().record_connect_timeout(9400);
    assert!(upstreams.is_partitioned(9500, "m"));
    assert!(
        !upstreams.is_partitioned(12_000, "m"),
        "no peer has received anything from them: the engines are down"
    );
}

/// An engine with a failed order was ordered after all those without one. While versions were named
/// faster than all engines could load them, the others were outdated again and again, and this
/// engine got no order for 17.3 s.
#[test]
fn failed_goes_on() {
    let mut engines = outdated(18, 8000);
    for engine in &mut engines[1..] {
        engine.version = 2;
    }
    engines[0].failed_orders = 1;
    assert!(
        next_engines(&engines, 3).contains(&engines[0].id),
        "engines with the oldest weights go first"
    );
    let mut equally_outdated = outdated(18, 10_000);
    equally_outdated[0].failed_orders = 1;
    assert!(
        !next_engines(&equally_outdated, 2).contains(&equally_outdated[0].id),
        "among equally outdated engines, those without a failed order go first"
    );
}
