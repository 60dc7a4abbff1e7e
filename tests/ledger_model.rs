//! The ledger against an upstream that counts runs: random calls, ends,
//! expiries and handovers never run a key twice.

#[path = "common/model.rs"]
mod model;

use std::collections::HashMap;

use coursestile::ledger::{Answer, CallDecision, CallKey, Ledger, Outcome};
use proptest::prelude::*;
use proptest_state_machine::{ReferenceStateMachine, StateMachineTest};

const EXPIRES_AT_MS: u64 = 1000;

#[derive(Clone, Debug)]
enum Step {
    Call { key: u8, fingerprint: u64 },
    End { key: u8, end: u8 },
    Expire,
    Pass { ms: u64 },
    Handover,
}

#[derive(Clone, Debug)]
struct Steps;

impl ReferenceStateMachine for Steps {
    type State = u64;
    type Transition = Step;

    fn init_state() -> BoxedStrategy<u64> {
        Just(0).boxed()
    }

    fn transitions(_: &u64) -> BoxedStrategy<Step> {
        prop_oneof![
            8 => (0..6_u8, 0..2_u64).prop_map(|(key, fingerprint)| Step::Call { key, fingerprint }),
            6 => (0..6_u8, 0..3_u8).prop_map(|(key, end)| Step::End { key, end }),
            1 => Just(Step::Expire),
            1 => (0..200_u64).prop_map(|ms| Step::Pass { ms }),
            1 => Just(Step::Handover),
        ]
        .boxed()
    }

    fn apply(now_ms: u64, step: &Step) -> u64 {
        if let Step::Pass { ms } = step { now_ms + ms } else { now_ms }
    }
}

/// What is true of a key.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
struct Truth {
    runs: u32,
    fingerprint: Option<u64>,
    running: bool,
    answered: bool,
}

struct World {
    ledger: Ledger,
    closed: bool,
    truth: HashMap<u8, Truth>,
}

fn call_key(key: u8) -> CallKey {
    CallKey { account: format!("a{}", key % 2), key: key.to_string() }
}

impl World {
    fn call(&mut self, now_ms: u64, key: u8, fingerprint: u64) {
        let begin = self.ledger.begin(now_ms, &call_key(key), fingerprint, EXPIRES_AT_MS);
        let truth = self.truth.entry(key).or_default();
        match begin {
            CallDecision::Run => {
                assert!(!self.closed && now_ms < EXPIRES_AT_MS);
                *truth = Truth {
                    runs: truth.runs + 1,
                    fingerprint: Some(fingerprint),
                    running: true,
                    answered: false,
                };
                assert_eq!(truth.runs, 1, "key {key} ran twice");
            }
            CallDecision::Wait => assert!(truth.running),
            CallDecision::Replay(answer) => assert!(truth.answered && answer.body == [key]),
            CallDecision::Unknown => assert!(truth.runs == 1 && !truth.answered),
            CallDecision::Mismatch => assert_ne!(truth.fingerprint, Some(fingerprint)),
            CallDecision::Expired => assert!(now_ms >= EXPIRES_AT_MS),
            CallDecision::Closed => assert!(self.closed && truth.runs == 0, "'not run' is true"),
            CallDecision::Full => panic!("six keys are not too many"),
        }
    }

    fn end(&mut self, key: u8, end: u8) {
        let truth = self.truth.entry(key).or_default();
        if !truth.running {
            return;
        }
        truth.running = false;
        let outcome = match end {
            0 => Outcome::NotRun,
            1 => Outcome::Unknown,
            _ => Outcome::Answered(Answer { status: 200, content_type: None, body: vec![key] }),
        };
        truth.answered = end == 2;
        if end == 0 {
            *truth = Truth::default();
        }
        self.ledger.record_outcome(&call_key(key), &outcome);
    }

    fn hand_over(&mut self) {
        self.ledger = self.ledger.handover_copy();
        self.closed = true;
        for truth in self.truth.values_mut() {
            truth.running = false;
        }
    }
}

impl StateMachineTest for World {
    type SystemUnderTest = Self;
    type Reference = Steps;

    fn init_test(_: &u64) -> Self {
        Self { ledger: Ledger::default(), closed: false, truth: HashMap::new() }
    }

    fn apply(mut world: Self, now_ms: &u64, step: Step) -> Self {
        match step {
            Step::Call { key, fingerprint } => world.call(*now_ms, key, fingerprint),
            Step::End { key, end } => world.end(key, end),
            Step::Expire => world.ledger.expire(*now_ms),
            Step::Pass { .. } => {}
            Step::Handover => world.hand_over(),
        }
        world
    }
}

#[test]
fn spent_once() {
    model::run_state_machine::<World>(400, 60);
}
