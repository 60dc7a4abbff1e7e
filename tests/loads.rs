//! Which engines are ordered to load weights, and when: engines that hang, refuse or already
//! load must not keep others from loading.

use coursestile::lease::{LOAD_SLOT_MS, MAX_LOADS, ObservedEngine, WeightLoads};

const NAMES: [&str; 6] = ["e1", "e2", "e3", "e4", "e5", "e6"];

fn observed(name: &str, version: &str, loading: bool) -> ObservedEngine {
    let (name, version) = (name.to_owned(), version.to_owned());
    ObservedEngine { name, model: "summary".to_owned(), version, loading }
}

/// Plans and begins loads of version v2 on engines that have v1; returns the engines.
fn begin_planned_loads(
    loads: &mut WeightLoads,
    now_ms: u64,
    engines: &[ObservedEngine],
) -> Vec<String> {
    let planned = loads.plan(now_ms, engines, |_| Some("v2".to_owned()));
    for load in &planned {
        assert_eq!((load.expect_version.as_str(), load.version.as_str()), ("v1", "v2"));
        loads.begin(now_ms, &load.engine);
    }
    planned.into_iter().map(|load| load.engine).collect()
}

fn engines_on_v1() -> Vec<ObservedEngine> {
    NAMES.iter().map(|name| observed(name, "v1", false)).collect()
}

#[test]
fn three_at_once() {
    let mut loads = WeightLoads::default();
    assert_eq!(begin_planned_loads(&mut loads, 1000, &engines_on_v1()), NAMES[..MAX_LOADS]);
    assert!(begin_planned_loads(&mut loads, 1001, &engines_on_v1()[MAX_LOADS..]).is_empty());
    loads.end("e2");
    assert_eq!(begin_planned_loads(&mut loads, 1002, &engines_on_v1()[MAX_LOADS..]), ["e4"]);
}

#[test]
fn hanging_passed() {
    let mut loads = WeightLoads::default();
    begin_planned_loads(&mut loads, 1000, &engines_on_v1());
    assert_eq!(
        begin_planned_loads(&mut loads, 1000 + LOAD_SLOT_MS, &engines_on_v1()[MAX_LOADS..]),
        NAMES[MAX_LOADS..]
    );
}

#[test]
fn refusing_last() {
    let mut loads = WeightLoads::default();
    let expected = [&NAMES[..MAX_LOADS], &NAMES[MAX_LOADS..], &NAMES[..MAX_LOADS]];
    for (now_ms, expected) in (1000..).step_by(1000).zip(expected) {
        let begun = begin_planned_loads(&mut loads, now_ms, &engines_on_v1());
        assert_eq!(begun, expected);
        for engine in &begun {
            loads.end(engine);
        }
    }
}

#[test]
fn loading_left() {
    let mut engines = engines_on_v1();
    engines[0].loading = true;
    engines[1].version = "v2".to_owned();
    assert_eq!(
        begin_planned_loads(&mut WeightLoads::default(), 1000, &engines),
        ["e3", "e4", "e5"]
    );
}
