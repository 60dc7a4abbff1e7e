//! Runs state machine tests from a fixed seed; `MODEL_CASES` makes them longer.

use proptest::test_runner::{Config, RngAlgorithm, TestRng, TestRunner};
use proptest_state_machine::{ReferenceStateMachine, StateMachineTest};

/// Runs `cases` random sequences of up to `steps` steps.
pub fn run<T: StateMachineTest>(cases: u32, steps: usize)
where
    <T::Reference as ReferenceStateMachine>::State: std::fmt::Debug + Clone,
    <T::Reference as ReferenceStateMachine>::Transition: std::fmt::Debug + Clone,
{
    let asked = std::env::var("MODEL_CASES").ok().and_then(|text| text.parse().ok());
    let cases = asked.unwrap_or(cases);
    let config = Config { cases, failure_persistence: None, ..Config::default() };
    let rng = TestRng::deterministic_rng(RngAlgorithm::ChaCha);
    let mut runner = TestRunner::new_with_rng(config.clone(), rng);
    let sequences = T::Reference::sequential_strategy(1..steps);
    let result = runner.run(&sequences, |(initial, transitions, seen)| {
        T::test_sequential(config.clone(), initial, transitions, seen);
        Ok(())
    });
    if let Err(error) = result {
        panic!("{error}");
    }
}
