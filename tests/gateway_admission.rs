//! Which engines have room for another request, and when a refused one comes back.

use coursestile::gateway::decisions::admission::{
    AdmissionCriteria, AdmissionLimits, Capacity, FirstTokenOutcome, Occupancy, occupancy,
    retry_after_ms,
};
use coursestile::gateway::decisions::upstream::Load;

const CAPACITY: Capacity = Capacity { slots: 64, memory_tokens: 40_000 };
const URGENT: AdmissionCriteria = AdmissionCriteria {
    higher_priority_ranks: 0,
    objective_ms: 500,
    objective_missed: false,
    load_limit: 1.0,
};

fn has_room(load: Load, capacity: Capacity, asked: AdmissionCriteria) -> bool {
    occupancy(load, capacity, asked) != Occupancy::Full
}

fn memory(memory_tokens: u32) -> Load {
    Load { requests: 4, pending_prefill_tokens: 0, memory_tokens }
}

#[test]
fn memory_taken() {
    assert!(has_room(memory(40_000), CAPACITY, URGENT));
    assert!(!has_room(memory(48_000), CAPACITY, URGENT));
}

#[test]
fn reading_taken() {
    let load =
        |pending_prefill_tokens| Load { requests: 4, pending_prefill_tokens, memory_tokens: 9000 };
    assert!(has_room(load(3000), CAPACITY, URGENT));
    assert!(!has_room(load(30_000), CAPACITY, URGENT));
}

#[test]
fn slots_taken() {
    let load = |requests| Load { requests, pending_prefill_tokens: 0, memory_tokens: 9000 };
    assert!(has_room(load(30), CAPACITY, URGENT));
    assert!(!has_room(load(64), CAPACITY, URGENT));
}

/// Wherever a less urgent request has room, a more urgent one has.
#[test]
fn urgent_first() {
    for taken in (0..60_000).step_by(500) {
        let room = |higher_priority_ranks| {
            has_room(memory(taken), CAPACITY, AdmissionCriteria { higher_priority_ranks, ..URGENT })
        };
        assert!((0..9).all(|rank| room(rank) || !room(rank + 1)), "{taken}");
    }
    assert!(has_room(
        memory(0),
        CAPACITY,
        AdmissionCriteria { higher_priority_ranks: 9, objective_missed: true, ..URGENT }
    ));
}

/// Once the limit has fallen, a late request takes only what would stay empty.
#[test]
fn late_last() {
    let in_time = AdmissionCriteria { load_limit: 0.6, ..URGENT };
    let late = AdmissionCriteria { objective_missed: true, ..in_time };
    assert!(has_room(memory(9_000), CAPACITY, late));
    assert!(!has_room(memory(12_000), CAPACITY, late));
    assert!(has_room(memory(25_000), CAPACITY, in_time));
}

/// What is not known does not keep anybody away.
#[test]
fn capacity_unknown() {
    let unknown = Capacity { slots: 0, memory_tokens: 0 };
    assert!(has_room(memory(1_000_000), unknown, URGENT));
}

/// Those refused together come back spread, and in the time that they have.
#[test]
fn returns_spread() {
    let mut buckets = [0; 9];
    for seed in 0..9000_u64 {
        let after_ms = retry_after_ms(seed.wrapping_mul(0x9e37_79b9_7f4a_7c15) >> 8, 3900);
        assert!((400..1300).contains(&after_ms), "{after_ms}");
        buckets[usize::try_from((after_ms - 400) / 100).unwrap()] += 1;
    }
    assert!(buckets.iter().all(|count| (800..1200).contains(count)), "{buckets:?}");
    assert!(retry_after_ms(7, 100) >= 400);
}

/// Late first tokens shrink the limit, those in time from nearly full engines raise it,
/// and it stays within its bounds.
#[test]
fn limit_found() {
    let mut limits = AdmissionLimits::default();
    let most = limits.limit_of("llm");
    limits.record_first_token("llm", FirstTokenOutcome::Late);
    let cut = limits.limit_of("llm");
    assert!(cut < most && (limits.limit_of("other") - most).abs() < 1e-9);
    limits.record_first_token("llm", FirstTokenOutcome::InTime);
    assert!(limits.limit_of("llm") > cut);
    for end in [FirstTokenOutcome::Late, FirstTokenOutcome::InTime] {
        (0..10_000).for_each(|_| limits.record_first_token("llm", end));
        let limit = limits.limit_of("llm");
        assert!((0.2..1.2).contains(&limit), "{limit}");
        assert!(has_room(memory(0), CAPACITY, AdmissionCriteria { load_limit: limit, ..URGENT }));
    }
}

/// Engines whose first tokens are late above a load of their own, whatever the limit was.
#[test]
fn limit_follows_engines() {
    for good in [0.6, 1.0] {
        let mut limits = AdmissionLimits::default();
        let mut seen = Vec::new();
        for step in 0..4000 {
            let limit = limits.limit_of("llm");
            let end =
                if limit > good { FirstTokenOutcome::Late } else { FirstTokenOutcome::InTime };
            limits.record_first_token("llm", end);
            if step > 2000 {
                seen.push(limit);
            }
        }
        assert!(seen.iter().all(|limit| (limit - good).abs() < 0.1), "{good}");
    }
}

/// Boxes go by the mean of what all have found, and come together.
#[test]
fn limits_shared() {
    let (mut one, mut other) = (AdmissionLimits::default(), AdmissionLimits::default());
    (0..20).for_each(|_| one.record_first_token("llm", FirstTokenOutcome::Late));
    other.record_first_token("llm", FirstTokenOutcome::InTime);
    assert!(other.limit_of("llm") - one.limit_of("llm") > 0.3);
    for _ in 0..60 {
        one.set_peer_limits(other.own_limits());
        other.set_peer_limits(one.own_limits());
        one.record_first_token("llm", FirstTokenOutcome::InTime);
        other.record_first_token("llm", FirstTokenOutcome::InTime);
    }
    assert!((one.limit_of("llm") - other.limit_of("llm")).abs() < 0.01);
    assert!(one.own_limits()[0].1.abs_diff(other.own_limits()[0].1) < 50);
}

/// A limit that fell rises again with time alone: what it turns away cannot show that it
/// may.
#[test]
fn limit_recovers() {
    let mut limits = AdmissionLimits::default();
    let most = limits.limit_of("a");
    for _ in 0..100 {
        limits.record_first_token("a", FirstTokenOutcome::Late);
    }
    let fallen = limits.limit_of("a");
    limits.recover(20.0);
    assert!(limits.limit_of("a") > fallen + 0.1, "{fallen} to {}", limits.limit_of("a"));
    limits.recover(600.0);
    assert!((limits.limit_of("a") - most).abs() < f64::EPSILON);
}
