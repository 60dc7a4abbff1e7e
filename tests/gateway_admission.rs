//! Admission: whether an engine has capacity for another request, and after how long a refused
//! request is asked to come back.

use coursestile::gateway::decisions::admission::{
    AdmissionCriteria, AdmissionLimits, Capacity, FirstTokenOutcome, Occupancy, PeerLimit,
    occupancy, retry_after_ms,
};
use coursestile::gateway::decisions::engine_speed::Speed;
use coursestile::gateway::decisions::upstream::Load;

const NOW_MS: u64 = 1_000_000;
const CAPACITY: Capacity = Capacity { slots: 64, memory_tokens: 40_000 };
const HIGHEST_PRIORITY: AdmissionCriteria = AdmissionCriteria {
    higher_priority_ranks: 0,
    objective_ms: 500,
    objective_missed: false,
    admission_limit: 1.0,
    account_part: 1.0,
    reserved_part: 0.0,
};

fn has_room(load: Load, capacity: Capacity, criteria: AdmissionCriteria) -> bool {
    occupancy(load, capacity, Speed::PRIOR, criteria) != Occupancy::Full
}

fn load_with_memory(memory_tokens: u32) -> Load {
    Load { requests: 4, pending_prefill_tokens: 0, memory_tokens }
}

#[test]
fn memory_taken() {
    assert!(has_room(load_with_memory(40_000), CAPACITY, HIGHEST_PRIORITY));
    assert!(!has_room(load_with_memory(48_000), CAPACITY, HIGHEST_PRIORITY));
}

#[test]
fn reading_taken() {
    let load =
        |pending_prefill_tokens| Load { requests: 4, pending_prefill_tokens, memory_tokens: 9000 };
    assert!(has_room(load(3000), CAPACITY, HIGHEST_PRIORITY));
    assert!(!has_room(load(30_000), CAPACITY, HIGHEST_PRIORITY));
}

#[test]
fn slots_taken() {
    let load = |requests| Load { requests, pending_prefill_tokens: 0, memory_tokens: 9000 };
    assert!(has_room(load(30), CAPACITY, HIGHEST_PRIORITY));
    assert!(!has_room(load(64), CAPACITY, HIGHEST_PRIORITY));
}

/// Where a request of lower priority is admitted, one of higher priority is too.
#[test]
fn urgent_first() {
    for used_tokens in (0..60_000).step_by(500) {
        let has_room_at = |higher_priority_ranks| {
            has_room(
                load_with_memory(used_tokens),
                CAPACITY,
                AdmissionCriteria { higher_priority_ranks, ..HIGHEST_PRIORITY },
            )
        };
        assert!((0..9).all(|rank| has_room_at(rank) || !has_room_at(rank + 1)), "{used_tokens}");
    }
    assert!(has_room(
        load_with_memory(0),
        CAPACITY,
        AdmissionCriteria { higher_priority_ranks: 9, objective_missed: true, ..HIGHEST_PRIORITY }
    ));
}

/// With a lowered load limit, a request that has missed its objective uses only capacity that would
/// otherwise stay free.
#[test]
fn late_last() {
    let in_time = AdmissionCriteria { admission_limit: 0.6, ..HIGHEST_PRIORITY };
    let late = AdmissionCriteria { objective_missed: true, ..in_time };
    assert!(has_room(load_with_memory(9_000), CAPACITY, late));
    assert!(!has_room(load_with_memory(12_000), CAPACITY, late));
    assert!(has_room(load_with_memory(25_000), CAPACITY, in_time));
}

/// An engine whose capacity is unknown refuses no request.
#[test]
fn capacity_unknown() {
    let unknown = Capacity { slots: 0, memory_tokens: 0 };
    assert!(has_room(load_with_memory(1_000_000), unknown, HIGHEST_PRIORITY));
}

/// Requests that are refused together are told to retry at spread-out times, within the time that
/// they have left.
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

/// Late first tokens lower the load limit, first tokens in time from nearly full engines raise it,
/// and it stays within its bounds.
#[test]
fn limit_found() {
    let mut limits = AdmissionLimits::default();
    let initial_limit = limits.limit_of("llm");
    limits.record_first_token(NOW_MS, "llm", FirstTokenOutcome::Late);
    let lowered_limit = limits.limit_of("llm");
    assert!(
        lowered_limit < initial_limit && (limits.limit_of("other") - initial_limit).abs() < 1e-9
    );
    limits.record_first_token(NOW_MS, "llm", FirstTokenOutcome::InTime);
    assert!(limits.limit_of("llm") > lowered_limit);
    for outcome in [FirstTokenOutcome::Late, FirstTokenOutcome::InTime] {
        (0..10_000).for_each(|_| limits.record_first_token(NOW_MS, "llm", outcome));
        let limit = limits.limit_of("llm");
        assert!((0.2..1.2).contains(&limit), "{limit}");
        assert!(has_room(
            load_with_memory(0),
            CAPACITY,
            AdmissionCriteria { admission_limit: limit, ..HIGHEST_PRIORITY }
        ));
    }
}

/// Whatever the limit was, it settles at the load above which the first tokens of these engines are
/// late.
#[test]
fn limit_follows_engines() {
    for sustainable_limit in [0.6, 1.0] {
        let mut limits = AdmissionLimits::default();
        let mut settled_limits = Vec::new();
        for step in 0..4000 {
            let limit = limits.limit_of("llm");
            let outcome = if limit > sustainable_limit {
                FirstTokenOutcome::Late
            } else {
                FirstTokenOutcome::InTime
            };
            limits.record_first_token(NOW_MS, "llm", outcome);
            if step > 2000 {
                settled_limits.push(limit);
            }
        }
        assert!(
            settled_limits.iter().all(|limit| (limit - sustainable_limit).abs() < 0.1),
            "{sustainable_limit}"
        );
    }
}

/// Boxes use the mean of the limits that all boxes have found, so that their limits converge.
#[test]
fn limits_shared() {
    let (mut first, mut second) = (AdmissionLimits::default(), AdmissionLimits::default());
    (0..20).for_each(|_| first.record_first_token(NOW_MS, "llm", FirstTokenOutcome::Late));
    second.record_first_token(NOW_MS, "llm", FirstTokenOutcome::InTime);
    assert!(second.limit_of("llm") - first.limit_of("llm") > 0.3);
    for _ in 0..60 {
        first.set_peer_limits(received_limits(&second, NOW_MS));
        second.set_peer_limits(received_limits(&first, NOW_MS));
        first.record_first_token(NOW_MS, "llm", FirstTokenOutcome::InTime);
        second.record_first_token(NOW_MS, "llm", FirstTokenOutcome::InTime);
    }
    assert!((first.limit_of("llm") - second.limit_of("llm")).abs() < 0.01);
    let thousandths = |limits: &AdmissionLimits| limits.own_limits(NOW_MS)[0].thousandths;
    assert!(thousandths(&first).abs_diff(thousandths(&second)) < 50);
}

/// A lowered limit recovers with time alone: refused requests cannot show that the engines have
/// capacity again.
#[test]
fn limit_recovers() {
    let mut limits = AdmissionLimits::default();
    let initial_limit = limits.limit_of("a");
    for _ in 0..100 {
        limits.record_first_token(NOW_MS, "a", FirstTokenOutcome::Late);
    }
    let lowered_limit = limits.limit_of("a");
    limits.recover(NOW_MS + 20, 20.0);
    assert!(
        limits.limit_of("a") > lowered_limit + 0.1,
        "{lowered_limit} to {}",
        limits.limit_of("a")
    );
    limits.recover(NOW_MS + 30, 600.0);
    assert!((limits.limit_of("a") - initial_limit).abs() < f64::EPSILON);
}

/// The limits of a box as its peers receive them.
fn received_limits(limits: &AdmissionLimits, now_ms: u64) -> Vec<PeerLimit> {
    let reports = limits.own_limits(now_ms).into_iter();
    reports.map(|report| PeerLimit { received_at_ms: now_ms, report }).collect()
}

/// Limits that fell in an overload are back within seconds after its last late first token, not
/// after a minute.
#[test]
fn overload_ends() {
    let mut limits = AdmissionLimits::default();
    let initial_limit = limits.limit_of("llm");
    (0..100).for_each(|_| limits.record_first_token(NOW_MS, "llm", FirstTokenOutcome::Late));
    let lowered_limit = limits.limit_of("llm");
    for now_ms in (NOW_MS..NOW_MS + 1000).step_by(100) {
        limits.recover(now_ms, 0.1);
    }
    assert!(limits.limit_of("llm") < lowered_limit + 0.05, "the overload may go on");
    for now_ms in (NOW_MS + 1000..NOW_MS + 4000).step_by(100) {
        limits.recover(now_ms, 0.1);
    }
    assert!((limits.limit_of("llm") - initial_limit).abs() < 0.05, "{}", limits.limit_of("llm"));
}

/// A box whose own clients see no late first token goes by what its peers see.
#[test]
fn overload_elsewhere() {
    let (mut first, mut second) = (AdmissionLimits::default(), AdmissionLimits::default());
    (0..100).for_each(|_| first.record_first_token(NOW_MS, "llm", FirstTokenOutcome::Late));
    let lowered_limit = first.limit_of("llm");
    for now_ms in (NOW_MS..NOW_MS + 10_000).step_by(100) {
        second.record_first_token(now_ms, "llm", FirstTokenOutcome::Late);
        first.set_peer_limits(received_limits(&second, now_ms));
        first.recover(now_ms, 0.1);
    }
    assert!(first.own_limits(NOW_MS)[0].thousandths < 450, "{lowered_limit}");
}

/// What is kept from a request lowers the capacity that it may use, and nothing else does.
#[test]
fn parts_kept() {
    let prefilling = Load { requests: 4, pending_prefill_tokens: 8000, memory_tokens: 9000 };
    let half_account = AdmissionCriteria { account_part: 0.5, ..HIGHEST_PRIORITY };
    let half_reserved = AdmissionCriteria { reserved_part: 0.5, ..HIGHEST_PRIORITY };
    for criteria in [half_account, half_reserved] {
        assert!(has_room(load_with_memory(20_000), CAPACITY, criteria));
        assert!(!has_room(load_with_memory(30_000), CAPACITY, criteria));
        assert!(!has_room(prefilling, CAPACITY, criteria));
    }
    assert!(has_room(load_with_memory(30_000), CAPACITY, HIGHEST_PRIORITY));
    assert!(has_room(prefilling, CAPACITY, HIGHEST_PRIORITY));
}
