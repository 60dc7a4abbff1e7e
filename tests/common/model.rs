//! Runs state machine tests from a fixed seed. The environment variable `MODEL_CASES`
//! overrides the number of cases, for longer runs.

use proptest::test_runner::{Config, RngAlgorithm, TestRng, TestRunner};
use proptest_state_machine::{ReferenceStateMachine, StateMachineTest};

/// Runs `cases` random sequences of less than `max_steps` transitions.
pub fn run_state_machine<T: StateMachineTest>(cases: u32, max_steps: usize)
where
    <T::Reference as ReferenceStateMachine>::State: std::fmt::Debug + Clone,
    <T::Reference as ReferenceStateMachine>::Transition: std::fmt::Debug + Clone,
{
    let requested_cases = std::env::var("MODEL_CASES").ok().and_then(|text| text.parse().ok());
    let cases = requested_cases.unwrap_or(cases);
    let config = Config { cases, failure_persistence: None, ..Config::default() };
    let rng = TestRng::deterministic_rng(RngAlgorithm::ChaCha);
    let mut runner = TestRunner::new_with_rng(config.clone(), rng);
    let sequences = T::Reference::sequential_strategy(1..max_steps);
    let result = runner.run(&sequences, |(initial, transitions, seen_counter)| {
        T::test_sequential(config.clone(), initial, transitions, seen_counter);
        Ok(())
    });
    if let Err(error) = result {
        panic!("{error}");
    }
}
