//! The assembler delivers each piece of a response once and in order when pieces arrive late,
//! twice, out of order or from an older attempt.

use coursestile::assembler::{Assembler, Dropped, Piece};
use proptest::prelude::*;

fn piece(attempt: u32, seq: u64, last_seq: u64) -> Piece {
    let finish = (seq == last_seq).then(|| "length".to_owned());
    Piece { attempt, seq, text: format!("{seq} "), finish }
}

proptest! {
    #![proptest_config(ProptestConfig { cases: 256, failure_persistence: None, rng_seed: proptest::test_runner::RngSeed::Fixed(11), ..ProptestConfig::default() })]

    #[test]
    fn whole_in_order(
        arrival_order in Just((0..20_u64).collect::<Vec<_>>()).prop_shuffle(),
        duplicates in proptest::collection::vec(0..20_u64, 0..10),
        new_attempt_at in 0..30_usize,
    ) {
        let mut assembler = Assembler::default();
        let mut attempt = assembler.start_attempt();
        let mut text = String::new();
        let mut arrivals: Vec<u64> = arrival_order.iter().chain(&duplicates).copied().collect();
        let all_once_more = arrivals.clone();
        arrivals.extend(all_once_more);
        for (index, seq) in arrivals.into_iter().enumerate() {
            if index == new_attempt_at {
                let old_attempt = attempt;
                attempt = assembler.start_attempt();
                prop_assert_eq!(
                    assembler.take(piece(old_attempt, seq, 19)),
                    Err(Dropped::OldAttempt)
                );
            }
            for ready in assembler.take(piece(attempt, seq, 19)).unwrap_or_default() {
                prop_assert!(assembler.finish().is_none() || assembler.next_seq() == 20);
                text.push_str(&ready.text);
            }
        }
        prop_assert_eq!(assembler.finish(), Some("length"));
        let expected: Vec<_> = (0..20).map(|seq| format!("{seq} ")).collect();
        prop_assert_eq!(text, expected.concat());
    }
}

#[test]
fn gap_unfinished() {
    let mut assembler = Assembler::default();
    let attempt = assembler.start_attempt();
    assert_eq!(assembler.take(piece(attempt, 1, 1)).unwrap(), []);
    assert_eq!(assembler.finish(), None, "the last piece alone ends nothing");
    assert_eq!(assembler.take(piece(attempt, 0, 1)).unwrap().len(), 2);
    assert_eq!(assembler.take(piece(attempt, 2, 9)), Err(Dropped::AfterEnd));
}
