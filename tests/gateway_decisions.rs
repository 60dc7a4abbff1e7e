//! The gateway's decisions, which are pure functions of what a box knows.

use std::net::SocketAddr;

use bytes::Bytes;
use coursestile::gateway::decisions::admission::AdmissionCriteria;
use coursestile::gateway::decisions::budget::{RetryBudget, RetryBudgetConfig};
use coursestile::gateway::decisions::cache_contents::PartKey;
use coursestile::gateway::decisions::cache_reports::{CacheChange, CacheListing, CachedPart};
use coursestile::gateway::decisions::candidates::Candidates;
use coursestile::gateway::decisions::choose::choose;
use coursestile::gateway::decisions::configuration::{EngineSpec, Store};
use coursestile::gateway::decisions::context::{scope_model, scope_version};
use coursestile::gateway::decisions::demand::{AllowedSoftware, Demand};
use coursestile::gateway::decisions::incarnation::Incarnation;
use coursestile::gateway::decisions::prompt::Prompt;
use coursestile::gateway::decisions::regions::AllowedHalls;
use coursestile::gateway::decisions::stores::{Placement, Stores};
use coursestile::gateway::decisions::upstream::UpstreamEntry;
use coursestile::gateway::decisions::upstreams::Upstreams;
use coursestile::gateway::decisions::weights::NamedVersions;
use coursestile::gateway::heads::ForwardHead;
use coursestile::platform::exchange;
use hyper::{HeaderMap, Method, Uri};
use proptest::prelude::*;
use rstest::rstest;

fn entry(hall: &str, port: u16, version: u64) -> UpstreamEntry {
    UpstreamEntry {
        service: "llm".to_owned(),
        software: "v1".to_owned(),
        address: SocketAddr::from(([127, 0, 0, 1], port)),
        hall: hall.to_owned(),
        slots: 4,
        leaving: false,
        cold_left_ms: 0,
        models: vec![("m".to_owned(), version)],
        started_at_ms: None,
    }
}

fn incarnation(id: &str) -> Incarnation {
    Incarnation { id: id.to_owned(), started_at_ms: None }
}

fn engine_spec() -> EngineSpec {
    EngineSpec {
        slots: 4,
        memory_tokens: 40_000,
        bytes_per_token: 18_432,
        link_mbps: 100_000.0,
        per_part_sources: true,
    }
}

fn demand<'a>(prompt: Option<&'a Prompt>, tried: &'a [Incarnation]) -> Demand<'a> {
    Demand {
        service: "llm",
        box_short_id: 0,
        hall: "north",
        prompt,
        context_group: None,
        weights: None,
        weights_apply_ms: 10_000,
        excludes_overdue: true,
        placement: Placement::FastestLink { hall: "north" },
        candidates: Candidates::All,
        allowed_halls: AllowedHalls::ALL,
        software: AllowedSoftware::Any,
        tried,
        max_connections: 200,
        boxes: 1,
        exceeds_share: false,
        brittle: None,
        may_ask_for_permits: true,
        admission: AdmissionCriteria {
            higher_priority_ranks: 0,
            objective_ms: 500,
            objective_missed: false,
            admission_limit: 1.0,
            account_part: 1.0,
            reserved_part: 0.0,
        },
        objective_at_ms: None,
        room: None,
    }
}

#[test]
fn budget_share() {
    let config = RetryBudgetConfig { ratio: 0.2, window_ms: 10_000, extra: 54.0 };
    let mut budget = RetryBudget::new(config, 0);
    assert!(!budget.try_spend(0, "s", 9), "a new process has no part of the extra retries");
    for at_ms in 0..200 {
        budget.record_request(20_000 + at_ms, "s");
    }
    let granted = (0..100).filter(|_| budget.try_spend(20_300, "s", 9)).count();
    // 0.7 x (0.2 x 200 + 54 / 9)
    assert_eq!(granted, 32);
    assert!(!budget.try_spend(20_400, "s", 9));
    assert!(budget.try_spend(31_000, "s", 9), "the window of the earlier retries has passed");
}

#[test]
fn kept_context_draws() {
    let mut upstreams = Upstreams::default();
    upstreams.upsert(0, "a", entry("north", 1, 1));
    upstreams.upsert(0, "b", entry("south", 2, 1));
    let prompt = Prompt::parse("m", "5200,10", "aa:5000,bb:200").unwrap();
    let stores = Stores::default();
    let remote_engine = upstreams.get_mut("b").unwrap();
    remote_engine.contents.set_tokens(PartKey::new("1.m", "aa"), 5000);
    let choice =
        choose(0, &upstreams, &stores, Some(&engine_spec()), &demand(Some(&prompt), &[])).unwrap();
    assert_eq!(choice.upstream.id, "b");
    assert_eq!(choice.context.unwrap().prefill_tokens, 200);
}

#[test]
fn context_stays_in_scope() {
    let mut upstreams = Upstreams::default();
    upstreams.upsert(0, "a", entry("north", 1, 1));
    let prompt = Prompt::parse("m", "5200,10", "aa:5000,bb:200").unwrap();
    let engine = upstreams.get_mut("a").unwrap();
    engine.contents.set_tokens(PartKey::new("1.m", "aa"), 5000);
    let stores = Stores::default();
    let mut request_demand = demand(Some(&prompt), &[]);
    request_demand.context_group = Some("petra");
    let plan = choose(0, &upstreams, &stores, Some(&engine_spec()), &request_demand)
        .unwrap()
        .context
        .unwrap();
    assert_eq!((plan.scope.as_str(), plan.prefill_tokens), ("1.m.petra", 5200));
    upstreams.get_mut("a").unwrap().record_weight_version("m", 2);
    let request_demand = demand(Some(&prompt), &[]);
    let plan = choose(0, &upstreams, &stores, Some(&engine_spec()), &request_demand)
        .unwrap()
        .context
        .unwrap();
    assert_eq!((plan.scope.as_str(), plan.prefill_tokens), ("2.m", 5200));
    assert_eq!((scope_version(&plan.scope), scope_model(&plan.scope)), (Some(2), Some("m")));
}

#[test]
fn silent_avoided() {
    let mut upstreams = Upstreams::default();
    upstreams.upsert(0, "a", entry("north", 1, 1));
    upstreams.upsert(0, "b", entry("south", 2, 1));
    upstreams.get_mut("a").unwrap().record_sent(0, 0, 0);
    let stores = Stores::default();
    let chosen_at =
        |now_ms| choose(now_ms, &upstreams, &stores, None, &demand(None, &[])).unwrap().upstream.id;
    assert_eq!(chosen_at(5000), "b", "it has not answered, and nothing has been received from it");
    let tried = [incarnation("a"), incarnation("b")];
    assert_eq!(choose(0, &upstreams, &stores, None, &demand(None, &tried)), None);
}

/// Context headers that an engine gets which supports a source for each part, or only one for all.
fn context_headers(per_part_sources: bool) -> [Option<String>; 2] {
    let mut upstreams = Upstreams::default();
    upstreams.upsert(0, "a", entry("north", 1, 1));
    let complete_part = |part: &str, tokens| CacheChange {
        part: CachedPart { scope: "1.m".to_owned(), part_id: part.to_owned() },
        tokens,
    };
    let mut stores = Stores::default();
    stores.configure(&[store("big", 2, 29_000.0), store("small", 3, 100_000.0)]);
    for (name, part, tokens) in [("big", "bb", 4000), ("small", "aa", 1000)] {
        let listing = CacheListing {
            boot_epoch: 1,
            next_position: 0,
            complete: vec![complete_part(part, tokens)],
            partial: Vec::new(),
        };
        stores.get_mut(name).unwrap().1.contents.apply_listing(&listing);
    }
    let prompt = Prompt::parse("m", "5300,10", "aa:1000,bb:4000,cc:100,dd:200").unwrap();
    let engine_spec = EngineSpec { per_part_sources, ..engine_spec() };
    let choice =
        choose(0, &upstreams, &stores, Some(&engine_spec), &demand(Some(&prompt), &[])).unwrap();
    let request = exchange::upstream_request(
        &Method::POST,
        &Uri::from_static("/a/"),
        &HeaderMap::new(),
        &Bytes::new(),
        &ForwardHead {
            upstream_id: "a",
            remaining_ms: 1000,
            account: None,
            priority: 0,
            context: choice.context.as_ref(),
            transfers_until_ms: Some(5000),
            last_event_id: None,
        },
    );
    ["kv-fetch", "kv-save"]
        .map(|name| request.headers().get(name).map(|value| value.to_str().unwrap().to_owned()))
}

fn store(name: &str, port: u16, link_mbps: f64) -> Store {
    Store {
        name: name.to_owned(),
        address: SocketAddr::from(([127, 0, 0, 1], port)),
        hall: "north".to_owned(),
        capacity_tokens: 1_000_000,
        link_mbps,
        transfer_setup_ms: 1.0,
        managed: true,
    }
}

#[test]
fn one_source_named() {
    let [fetch, save] = context_headers(true);
    assert_eq!(fetch.as_deref(), Some("127.0.0.1:3,127.0.0.1:2,-,-"));
    assert_eq!(save.as_deref(), Some("-,-,127.0.0.1:3,-"));
    // An engine without support for lists gets the address for the longest part.
    let [fetch, save] = context_headers(false);
    assert_eq!(fetch.as_deref(), Some("127.0.0.1:2"));
    assert_eq!(save.as_deref(), Some("127.0.0.1:3"));
}

/// The link of the store is busy for 300 ms. Prefilling a short part again is faster, but a caller
/// whose objective allows a second waits anyway, and then the engine time that a fetch saves is
/// worth more.
#[test]
fn fetched_while_in_time() {
    let mut upstreams = Upstreams::default();
    upstreams.upsert(0, "a", entry("north", 1, 1));
    let prompt = Prompt::parse("m", "700,10", "aa:500,bb:200").unwrap();
    let mut stores = Stores::default();
    stores.configure(&[store("large", 2, 28_000.0)]);
    let (_, large) = stores.get_mut("large").unwrap();
    large.contents.set_tokens(PartKey::new("1.m", "aa"), 500);
    large.set_peer_fetch_tokens(60_000);
    let prefill_tokens = |objective_ms| {
        let mut request_demand = demand(Some(&prompt), &[]);
        request_demand.admission.objective_ms = objective_ms;
        let choice = choose(0, &upstreams, &stores, Some(&engine_spec()), &request_demand).unwrap();
        choice.context.unwrap().prefill_tokens
    };
    assert_eq!(prefill_tokens(500), 700, "the fetch would take most of the objective");
    assert_eq!(prefill_tokens(1200), 200);
}

/// A busy engine may send nothing to one box for a second while it streams to others.
/// While a store's link is slow, an idle engine recomputes what it can within the objective; a busy
/// one waits for the transfer, since recomputing would delay other requests.
#[rstest]
#[case::idle(0, 5200)]
#[case::busy(2000, 200)]
fn slow_link(#[case] pending_prefill_tokens: u32, #[case] expected_prefill_tokens: u32) {
    let mut upstreams = Upstreams::default();
    upstreams.upsert(0, "a", entry("north", 1, 1));
    upstreams.get_mut("a").unwrap().peer_load.pending_prefill_tokens = pending_prefill_tokens;
    let mut stores = Stores::default();
    stores.configure(&[store("large", 2, 28_000.0)]);
    let (_, state) = stores.get_mut("large").unwrap();
    state.contents.set_tokens(PartKey::new("1.m", "aa"), 5000);
    // The transfer takes 26 ms, and more than half of the objective when it is slowed.
    for _ in 0..40 {
        state.speed.observe(0, 12.0);
    }
    let prompt = Prompt::parse("m", "5200,10", "aa:5000,bb:200").unwrap();
    let request_demand = demand(Some(&prompt), &[]);
    let choice = choose(0, &upstreams, &stores, Some(&engine_spec()), &request_demand).unwrap();
    assert_eq!(choice.context.unwrap().prefill_tokens, expected_prefill_tokens);
}

#[test]
fn busy_is_not_silent() {
    let mut upstreams = Upstreams::default();
    upstreams.upsert(0, "a", entry("north", 1, 1));
    let engine = upstreams.get_mut("a").unwrap();
    engine.record_sent(0, 0, 0);
    assert!(engine.is_silent(801), "no box has received anything from it");
    engine.record_peer_receive(500);
    assert!(!engine.is_silent(1300), "a peer received something 800 ms ago");
    assert!(engine.is_silent(1301));
    engine.record_peer_receive(1600);
    assert!(!engine.is_silent(1600));
    assert!(engine.is_silent(1601), "the path from this box may be cut");
    engine.record_receive(1600);
    assert!(!engine.is_silent(2400));
}

#[test]
fn hall_unreachable() {
    let mut upstreams = Upstreams::default();
    for (id, hall) in [("a", "north"), ("b", "south"), ("c", "south"), ("d", "south")] {
        upstreams.upsert(0, id, entry(hall, 1, 1));
    }
    upstreams.record_connect_timeout(1000, &incarnation("b"), "north");
    assert!(!upstreams.get("d").unwrap().is_unreachable());
    upstreams.record_connect_timeout(1200, &incarnation("c"), "north");
    assert!(upstreams.get("d").unwrap().is_unhealthy(1200), "the path to the hall is cut");
    assert!(!upstreams.get("a").unwrap().is_unhealthy(1200));
    upstreams.get_mut("d").unwrap().mark_reachable();
    assert!(!upstreams.get("d").unwrap().is_unhealthy(1200));
}

/// The path to a hall works again: its upstreams are not probed one by one, which would take longer
/// the more there are.
#[test]
fn hall_reached() {
    let mut upstreams = Upstreams::default();
    for id in ["b", "c", "d", "e", "f"] {
        upstreams.upsert(0, id, entry("south", 1, 1));
    }
    upstreams.record_connect_timeout(1000, &incarnation("b"), "north");
    upstreams.record_connect_timeout(1200, &incarnation("c"), "north");
    upstreams.record_reached("d");
    let reached = |id| !upstreams.get(id).unwrap().is_unreachable();
    assert!(reached("d") && reached("e") && reached("f"));
    assert!(!reached("b") && !reached("c"), "these were missed themselves");
}

#[test]
fn overdue_weights_avoided() {
    let mut upstreams = Upstreams::default();
    upstreams.upsert(0, "a", entry("north", 1, 1));
    upstreams.upsert(0, "b", entry("south", 2, 2));
    let prompt = Prompt::parse("m", "5200,10", "aa:5000,bb:200").unwrap();
    upstreams.get_mut("a").unwrap().contents.set_tokens(PartKey::new("1.m", "aa"), 5000);
    upstreams.get_mut("b").unwrap().record_sent(0, 40_000, 0);
    upstreams.get_mut("b").unwrap().record_receive(10_000);
    let mut weights = NamedVersions::default();
    assert!(
        weights.add_named_at(0, 1)
            && weights.add_named_at(1000, 2)
            && !weights.add_named_at(1500, 2)
    );
    let stores = Stores::default();
    let mut request_demand = demand(Some(&prompt), &[]);
    request_demand.weights = Some(&weights);
    let mut chosen_at = |now_ms| {
        upstreams.get_mut("b").unwrap().record_receive(now_ms);
        choose(now_ms, &upstreams, &stores, Some(&engine_spec()), &request_demand)
            .unwrap()
            .upstream
            .id
    };
    assert_eq!(
        chosen_at(5000),
        "a",
        "its weights are outdated but not overdue, and it is much faster"
    );
    assert_eq!(chosen_at(10_100), "b", "a request might begin after the weights are overdue");
}

#[test]
fn busy_engine_speaks_not() {
    let mut upstreams = Upstreams::default();
    upstreams.upsert(0, "a", entry("north", 1, 1));
    let prompt = Prompt::parse("m", "5200,10", "aa:5000,bb:200").unwrap();
    let stores = Stores::default();
    let request_demand = demand(Some(&prompt), &[]);
    let wait_negligible = |upstreams: &Upstreams| {
        choose(0, upstreams, &stores, Some(&engine_spec()), &request_demand)
            .unwrap()
            .engine_wait_negligible
    };
    assert!(
        wait_negligible(&upstreams),
        "with an idle engine, only the store could delay the first token"
    );
    upstreams.get_mut("a").unwrap().record_sent(0, 4000, 0);
    assert!(
        !wait_negligible(&upstreams),
        "the engine first prefills another prompt for some 80 ms"
    );
}

#[test]
fn alike_are_spread() {
    let mut upstreams = Upstreams::default();
    for number in 0..8 {
        upstreams.upsert(0, &format!("u-{number}"), entry("north", number, 1));
    }
    let stores = Stores::default();
    let chosen = |box_short_id| {
        let request_demand = Demand { box_short_id, ..demand(None, &[]) };
        choose(0, &upstreams, &stores, None, &request_demand).unwrap().upstream.id
    };
    let chosen_ids: std::collections::BTreeSet<String> = (0..40).map(chosen).collect();
    assert!(chosen_ids.len() > 4, "boxes that know no load choose {chosen_ids:?}");
    assert_eq!(chosen(7), chosen(7));
}

proptest! {
    #![proptest_config(ProptestConfig { cases: 256, failure_persistence: None, rng_seed: proptest::test_runner::RngSeed::Fixed(8), ..ProptestConfig::default() })]

    #[test]
    fn prompt_never_panics(model in ".*", lengths in ".*", parts in ".*") {
        let _ = Prompt::parse(&model, &lengths, &parts);
    }
}
