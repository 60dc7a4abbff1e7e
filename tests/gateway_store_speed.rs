//! How soon boxes notice that a context store has turned slow, and that it is fast again.

use coursestile::gateway::decisions::store_speed::{FetchExpectation, StoreSpeed};

const EXPECTED: Option<FetchExpectation> =
    Some(FetchExpectation { first_token_ms: 150.0, fetch_ms: 100.0 });

/// Plays a box that fetches once, with the first token after `first_token_ms`.
fn fetch_once(speed: &mut StoreSpeed, now_ms: u64, first_token_ms: u64) {
    let id = speed.record_start(now_ms, 5000, EXPECTED);
    speed.record_first_token(now_ms + first_token_ms, id);
}

/// A hall of 24 boxes, each of which fetches from one store every 12 s. For 5 s the store's link is
/// four times slower.
#[test]
fn slow_link_in_hall() {
    let mut boxes: Vec<StoreSpeed> = (0..24).map(|_| StoreSpeed::default()).collect();
    let mut running = Vec::new();
    let mut unnoticed = 0;
    for step in 0..100_u64 {
        let now_ms = step * 50;
        if step % 10 == 0 {
            let fetching = usize::try_from(step / 10).unwrap() * 7 % boxes.len();
            unnoticed += u32::from(boxes[fetching].slowdown(now_ms) < 2.0);
            let id = boxes[fetching].record_start(now_ms, 5000, EXPECTED);
            running.push((fetching, id, now_ms + 700));
        }
        running.retain(|(index, id, ends_at_ms)| {
            let ends = now_ms >= *ends_at_ms;
            if ends {
                boxes[*index].record_first_token(now_ms, *id);
            }
            !ends
        });
        for index in 0..boxes.len() {
            boxes[index].check_overdue(now_ms);
            for slowdown in boxes[index].take_unreported() {
                for (other, peer) in boxes.iter_mut().enumerate() {
                    if other != index {
                        peer.observe(now_ms, slowdown);
                    }
                }
            }
        }
    }
    assert!(unnoticed <= 4, "{unnoticed} of 10 fetches were planned as if the link were fast");
}

#[test]
fn overdue_before_end() {
    let mut speed = StoreSpeed::default();
    speed.record_start(0, 5000, EXPECTED);
    speed.check_overdue(300);
    assert!((speed.slowdown(300) - 1.0).abs() < 0.01, "it is late, but not twice as long");
    speed.check_overdue(320);
    let noticed = speed.slowdown(320);
    assert!(noticed > 1.2, "{noticed}");
    speed.check_overdue(400);
    assert!(speed.slowdown(400) <= noticed, "a fetch counts once before it ends");
    assert_eq!(speed.take_unreported().len(), 1);
}

/// Fetches that take as long as expected confirm a slowdown that was expected.
#[test]
fn known_slowdown_confirmed() {
    let mut speed = StoreSpeed::default();
    for _ in 0..20 {
        speed.observe(0, 4.0);
    }
    let slowed = FetchExpectation { first_token_ms: 450.0, fetch_ms: 100.0 * speed.slowdown(0) };
    let id = speed.record_start(0, 5000, Some(slowed));
    speed.record_first_token(510, id);
    assert!(speed.slowdown(510) > 3.5);
    fetch_once(&mut speed, 510, 100);
    assert!(speed.slowdown(610) < 3.5, "the link is fast again");
}

#[test]
fn unattributed_ignored() {
    let mut speed = StoreSpeed::default();
    let id = speed.record_start(0, 5000, None);
    assert_eq!(speed.fetch_tokens(), 5000);
    speed.check_overdue(5000);
    speed.record_first_token(6000, id);
    let id = speed.record_start(6000, 5000, EXPECTED);
    speed.record_abort(id);
    assert_eq!((speed.fetch_tokens(), speed.take_unreported().len()), (0, 0));
    assert!((speed.slowdown(6000) - 1.0).abs() < f64::EPSILON);
}
