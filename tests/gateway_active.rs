//! Which upstreams periodic work and messages look at. Each box of a large fleet knows thousands of
//! upstreams and uses a few.

use std::collections::BTreeSet;
use std::net::SocketAddr;

use coursestile::gateway::decisions::notice::NoticeState;
use coursestile::gateway::decisions::upstream::{Upstream, UpstreamEntry};
use coursestile::gateway::decisions::upstreams::Upstreams;
use fastrand::Rng;

const HALLS: [&str; 3] = ["north", "east", "west"];

fn id(number: usize) -> String {
    format!("e-{number}")
}

fn entry(number: usize, started_at_ms: u64) -> UpstreamEntry {
    UpstreamEntry {
        service: "llm".to_owned(),
        software: "v1".to_owned(),
        address: SocketAddr::from(([10, 0, 0, 1], 8000)),
        hall: HALLS[number % HALLS.len()].to_owned(),
        slots: 8,
        leaving: false,
        cold_left_ms: 0,
        models: vec![("m".to_owned(), 1)],
        started_at_ms: Some(started_at_ms),
    }
}

fn upstreams(count: usize) -> Upstreams {
    let mut upstreams = Upstreams::default();
    for number in 0..count {
        upstreams.upsert(0, &id(number), entry(number, 0));
    }
    upstreams
}

/// A message or a tick of a box looks at the engines in use, however many there are.
#[test]
fn work_follows_use() {
    let mut upstreams = upstreams(10_000);
    upstreams.retire_resting(5000);
    assert_eq!(upstreams.active().count(), 0);
    for number in [5, 700, 9999] {
        upstreams.get_mut(&id(number)).unwrap().record_sent(5000, 100, 200);
    }
    upstreams.retire_resting(5100);
    assert_eq!(upstreams.active().count(), 3);
    for number in [5, 700, 9999] {
        let engine = upstreams.get_mut(&id(number)).unwrap();
        engine.record_receive(5200);
        engine.record_prefill_end(100);
        engine.record_request_end(200);
    }
    upstreams.retire_resting(5300);
    assert_eq!(upstreams.active().count(), 3, "peers are told that bytes came from them");
    upstreams.retire_resting(6000);
    assert_eq!(upstreams.active().count(), 0);
    assert_eq!(upstreams.iter().count(), 10_000);
}

/// Whatever happens to an upstream, it is looked at until it is at rest.
#[test]
fn none_missed() {
    for seed in 0..50 {
        let mut rng = Rng::with_seed(seed);
        let mut upstreams = upstreams(30);
        let mut now_ms = 5000;
        for _ in 0..300 {
            now_ms += rng.u64(0..400);
            change(&mut rng, &mut upstreams, now_ms);
            if rng.u8(0..3) == 0 {
                upstreams.retire_resting(now_ms);
            }
            let active: BTreeSet<&str> =
                upstreams.active().map(|upstream| upstream.id.as_str()).collect();
            let missed = upstreams
                .iter()
                .filter(|upstream| !upstream.is_at_rest(now_ms))
                .find(|upstream| !active.contains(upstream.id.as_str()));
            assert!(missed.is_none(), "seed {seed}: {missed:?}");
        }
    }
}

/// Changes an upstream at random in one of the ways in which boxes do.
fn change(rng: &mut Rng, upstreams: &mut Upstreams, now_ms: u64) {
    let number = rng.usize(0..30);
    let id = id(number);
    let Some(incarnation) = upstreams.get(&id).map(Upstream::incarnation) else {
        upstreams.upsert(now_ms, &id, entry(number, now_ms));
        return;
    };
    match rng.u8(0..12) {
        0 => upstreams.remove(now_ms, &id),
        1 => {
            upstreams.upsert(
                now_ms,
                &id,
                UpstreamEntry { cold_left_ms: 900, ..entry(number, now_ms) },
            );
        }
        2 => {
            let hall = HALLS[number % HALLS.len()];
            upstreams.begin_evacuation(hall);
            upstreams.end_evacuation(now_ms, hall, |_| 700);
        }
        3 => upstreams.record_connect_timeout(now_ms, &incarnation, "elsewhere"),
        4 => {
            let notices = NoticeState { backoff_until_ms: now_ms + 600, ..NoticeState::default() };
            upstreams.apply_notices(now_ms, &incarnation, notices);
        }
        5 => {
            upstreams.record_answering_incarnation(now_ms, &id, Some(now_ms), now_ms);
        }
        6 => {
            upstreams.mark_silent_unreachable(now_ms);
        }
        7 => {
            let short_id = upstreams.get(&id).unwrap().short_id;
            upstreams.get_by_short_id_mut(short_id).unwrap().set_loading_until(now_ms + 500);
        }
        8 => upstreams.get_incarnation_mut(&incarnation).unwrap().record_failure(now_ms),
        9 => upstreams.get_mut(&id).unwrap().record_rejection(now_ms),
        10 => upstreams.get_mut(&id).unwrap().record_sent(now_ms, 10, 20),
        _ => {
            let upstream = upstreams.get_mut(&id).unwrap();
            upstream.record_receive(now_ms);
            upstream.record_prefill_end(10);
            upstream.record_request_end(20);
            upstream.mark_reachable();
        }
    }
}

/// A short id leads to the present incarnation only, also after restarts and removals.
#[test]
fn short_ids() {
    let mut upstreams = upstreams(3);
    let first = upstreams.get("e-1").unwrap().short_id;
    upstreams.upsert(10, "e-1", entry(1, 10));
    let second = upstreams.get("e-1").unwrap().short_id;
    assert!(upstreams.get_by_short_id_mut(first).is_none());
    assert_eq!(upstreams.get_by_short_id_mut(second).unwrap().id, "e-1");
    upstreams.record_answering_incarnation(20, "e-1", Some(20), 15);
    upstreams.remove(30, "e-1");
    assert!(upstreams.get_by_short_id_mut(second).is_none());
    let other = upstreams.get("e-2").unwrap().short_id;
    assert_eq!(upstreams.get_by_short_id_mut(other).unwrap().id, "e-2");
}
