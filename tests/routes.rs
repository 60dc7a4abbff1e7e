//! Which engine the routing policies choose, and whether stored context is imported.

use coursestile::account::Weights;
use coursestile::route::{
    EngineCandidate, ImportEstimate, RoutePolicy, RoutingRequest, choose_engine,
};
use rstest::rstest;

fn candidate(engine: usize, outstanding: u32, wait_ms: f64, cached_tokens: u32) -> EngineCandidate {
    EngineCandidate { engine, outstanding, wait_ms, prefill_ms_per_token: 0.03, cached_tokens }
}

fn routing_request(import: Option<ImportEstimate>) -> RoutingRequest {
    RoutingRequest { prompt_tokens: 6000, weights: Weights::default(), import }
}

#[rstest]
#[case::warm_wins(&[candidate(0, 0, 0.0, 0), candidate(1, 3, 40.0, 5888)], 1)]
#[case::too_busy(&[candidate(0, 0, 0.0, 0), candidate(1, 7, 400.0, 5888)], 0)]
#[case::tie_to_idle(&[candidate(0, 2, 0.0, 0), candidate(1, 1, 0.0, 0)], 1)]
fn cost_compared(#[case] candidates: &[EngineCandidate], #[case] expected: usize) {
    let choice = choose_engine(RoutePolicy::Cost, &routing_request(None), candidates, 0).unwrap();
    assert_eq!((choice.engine, choice.import), (expected, false));
}

#[rstest]
#[case::link_free(60.0, 0, true)]
#[case::link_busy(500.0, 0, false)]
#[case::already_there(60.0, 5888, false)]
fn import_weighed(#[case] link_ms: f64, #[case] cached_tokens: u32, #[case] expected: bool) {
    let estimate = ImportEstimate { tokens: 5888, link_ms, transfer_ms: 60.0 };
    let candidates = [candidate(0, 0, 0.0, cached_tokens)];
    let choice =
        choose_engine(RoutePolicy::Cost, &routing_request(Some(estimate)), &candidates, 0).unwrap();
    assert_eq!(choice.import, expected);
}

#[test]
fn weights_decide() {
    let estimate = ImportEstimate { tokens: 5888, link_ms: 200.0, transfer_ms: 60.0 };
    let candidates = [candidate(0, 0, 0.0, 0)];
    let imports = |weights| {
        let request = RoutingRequest { weights, ..routing_request(Some(estimate)) };
        choose_engine(RoutePolicy::Cost, &request, &candidates, 0).unwrap().import
    };
    assert!(!imports(Weights { first_token: 1.0, recompute: 0.0, link: 0.0 }), "slower");
    assert!(imports(Weights { first_token: 1.0, recompute: 1.0, link: 0.0 }), "recomputes less");
    assert!(!imports(Weights { first_token: 0.0, recompute: 0.1, link: 1.0 }), "spares the link");
}

#[rstest]
#[case(RoutePolicy::RoundRobin, 1)]
#[case(RoutePolicy::LeastOutstanding, 2)]
#[case(RoutePolicy::LongestPrefix, 0)]
fn baselines_differ(#[case] policy: RoutePolicy, #[case] expected: usize) {
    let candidates =
        [candidate(0, 5, 90.0, 5000), candidate(1, 4, 50.0, 0), candidate(2, 0, 0.0, 0)];
    assert_eq!(
        choose_engine(policy, &routing_request(None), &candidates, 4).unwrap().engine,
        expected
    );
}

#[test]
fn nobody_free() {
    assert!(choose_engine(RoutePolicy::Cost, &routing_request(None), &[], 0).is_none());
}
