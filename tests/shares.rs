//! Fair queueing: what accounts get, compared with an ideal server that divides its capacity
//! continuously (generalized processor sharing).

use coursestile::share::{SharePolicy, ShareQueue};
use proptest::prelude::*;
use rstest::rstest;

const NO_DEADLINE_MS: u64 = u64::MAX;

/// Serves `rounds` items while every account always has items queued. Returns the work that each
/// account got.
fn serve(shares: &[f64], work: &[f64], rounds: usize) -> Vec<f64> {
    let mut queue = ShareQueue::new(SharePolicy::Fair);
    let mut served = vec![0.0; shares.len()];
    for (account, share) in shares.iter().enumerate() {
        for _ in 0..3 {
            queue.push(&account.to_string(), *share, 0, account, work[account], NO_DEADLINE_MS);
        }
    }
    for _ in 0..rounds {
        let (name, waiting) = queue.pop(|_| true).unwrap();
        let account = waiting.item;
        served[account] += waiting.work_tokens;
        queue.finish(&name, 0.0);
        queue.push(&name, shares[account], 0, account, work[account], NO_DEADLINE_MS);
    }
    served
}

proptest! {
    #![proptest_config(ProptestConfig { cases: 128, failure_persistence: None, rng_seed: proptest::test_runner::RngSeed::Fixed(7), ..ProptestConfig::default() })]

    #[test]
    fn shares_kept(
        shares in proptest::collection::vec(0.5..10.0_f64, 2..8),
        work in proptest::collection::vec(10.0..1000.0_f64, 8),
    ) {
        let served = serve(&shares, &work, 4000);
        let per_share: Vec<_> =
            served.iter().zip(&shares).map(|(tokens, share)| tokens / share).collect();
        let max = per_share.iter().copied().fold(0.0, f64::max);
        let min = per_share.iter().copied().fold(f64::MAX, f64::min);
        // Work per share differs by at most one item between accounts.
        let tolerance =
            work.iter().zip(&shares).map(|(work, share)| work / share).fold(0.0, f64::max);
        prop_assert!(max - min <= tolerance + 1e-6, "{per_share:?}");
    }
}

#[test]
fn return_saves_nothing() {
    let mut queue = ShareQueue::new(SharePolicy::Fair);
    for number in 0..100 {
        queue.push("busy", 1.0, 0, number, 100.0, NO_DEADLINE_MS);
    }
    for _ in 0..50 {
        let (name, _) = queue.pop(|_| true).unwrap();
        queue.finish(&name, 0.0);
    }
    for number in 0..50 {
        queue.push("away", 1.0, 0, number, 100.0, NO_DEADLINE_MS);
    }
    let next_accounts: Vec<_> = (0..20).map(|_| queue.pop(|_| true).unwrap().0).collect();
    let away = next_accounts.iter().filter(|name| *name == "away").count();
    assert!((9..=11).contains(&away), "the account that was away got {away} of 20");
}

#[test]
fn priority_bounded() {
    let mut queue = ShareQueue::new(SharePolicy::Fair);
    for number in 0..400 {
        queue.push("first", 1.0, -2, number, 100.0, NO_DEADLINE_MS);
        queue.push("last", 1.0, 2, number, 100.0, NO_DEADLINE_MS);
    }
    let served: Vec<_> = (0..300).map(|_| queue.pop(|_| true).unwrap().0).collect();
    assert!(served[..50].iter().all(|name| name == "first"), "priority orders work");
    let last_count = served[100..].iter().filter(|name| *name == "last").count();
    assert!(last_count >= 90, "and starves nobody: {last_count}");
}

#[rstest]
#[case(SharePolicy::Fifo, 1000.0)]
#[case(SharePolicy::Fair, 0.0)]
fn work_ahead(#[case] policy: SharePolicy, #[case] expected: f64) {
    let mut queue = ShareQueue::new(policy);
    for number in 0..10 {
        queue.push("busy", 1.0, 0, number, 100.0, NO_DEADLINE_MS);
    }
    let ahead = queue.tokens_ahead("new", 1.0);
    assert!((ahead - expected).abs() < 1e-9, "{ahead}");
}

#[test]
fn unfit_passed_over() {
    let mut queue = ShareQueue::new(SharePolicy::Fair);
    queue.push("a", 1.0, 0, 1, 10.0, NO_DEADLINE_MS);
    queue.push("b", 1.0, 0, 2, 10.0, NO_DEADLINE_MS);
    assert_eq!(queue.pop(|item| *item == 2).unwrap().0, "b");
    assert!(queue.pop(|item| *item == 2).is_none());
    assert_eq!(queue.remove_where(|_| true), [1]);
}
