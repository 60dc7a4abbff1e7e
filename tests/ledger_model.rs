//! The ledger in a simulation that counts runs: whatever the order of calls, outcomes, expiries
//! and handovers, a call with a given key runs at most once.

#[path = "common/model.rs"]
mod model;

use std::collections::HashMap;

use coursestile::ledger::{Answer, CallDecision, CallKey, Ledger, Outcome};
use proptest::prelude::*;
use proptest_state_machine::{ReferenceStateMachine, StateMachineTest};

const EXPIRES_AT_MS: u64 = 1000;

#[derive(Clone, Debug)]
enum Step {
    /// A call with a key arrives; calls with the same fingerprint are equal.
    Call {
        key: u8,
        fingerprint: u64,
    },
    /// A running call ends: not run, with unknown outcome, or with an answer.
    Complete {
        key: u8,
        end_kind: u8,
    },
    /// The ledger removes expired keys.
    Expire,
    Advance {
        ms: u64,
    },
    /// Another box takes over the ledger and closes it to new keys.
    HandOver,
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
            6 => (0..6_u8, 0..3_u8).prop_map(|(key, end_kind)| Step::Complete { key, end_kind }),
            1 => Just(Step::Expire),
            1 => (0..200_u64).prop_map(|ms| Step::Advance { ms }),
            1 => Just(Step::HandOver),
        ]
        .boxed()
    }

    fn apply(now_ms: u64, step: &Step) -> u64 {
        if let Step::Advance { ms } = step { now_ms + ms } else { now_ms }
    }
}

/// What has happened to the calls with a key.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
struct KeyFacts {
    runs: u32,
    fingerprint: Option<u64>,
    is_running: bool,
    is_answered: bool,
}

struct Simulation {
    ledger: Ledger,
    closed: bool,
    facts: HashMap<u8, KeyFacts>,
}

fn call_key(key: u8) -> CallKey {
    CallKey { account: format!("a{}", key % 2), key: key.to_string() }
}

impl Simulation {
    fn call(&mut self, now_ms: u64, key: u8, fingerprint: u64) {
        let decision =
            self.ledger.try_spend_key(now_ms, &call_key(key), fingerprint, EXPIRES_AT_MS);
        let facts = self.facts.entry(key).or_default();
        match decision {
            CallDecision::Run => {
                assert!(!self.closed && now_ms < EXPIRES_AT_MS);
                *facts = KeyFacts {
                    runs: facts.runs + 1,
                    fingerprint: Some(fingerprint),
                    is_running: true,
                    is_answered: false,
                };
                assert_eq!(facts.runs, 1, "key {key} ran twice");
            }
            CallDecision::Wait => assert!(facts.is_running),
            CallDecision::Replay(answer) => assert!(facts.is_answered && answer.body == [key]),
            CallDecision::Unknown => assert!(facts.runs == 1 && !facts.is_answered),
            CallDecision::Mismatch => assert_ne!(facts.fingerprint, Some(fingerprint)),
            CallDecision::Expired => assert!(now_ms >= EXPIRES_AT_MS),
            CallDecision::Closed => assert!(self.closed && facts.runs == 0, "'not run' is true"),
            CallDecision::Full => panic!("six keys are not too many"),
        }
    }

    fn complete(&mut self, key: u8, end_kind: u8) {
        let facts = self.facts.entry(key).or_default();
        if !facts.is_running {
            return;
        }
        facts.is_running = false;
        let outcome = match end_kind {
            0 => Outcome::NotRun,
            1 => Outcome::Unknown,
            _ => Outcome::Answered(Answer { status: 200, content_type: None, body: vec![key] }),
        };
        facts.is_answered = end_kind == 2;
        if end_kind == 0 {
            *facts = KeyFacts::default();
        }
        self.ledger.record_outcome(&call_key(key), &outcome);
    }

    fn hand_over(&mut self) {
        self.ledger = self.ledger.handover_copy();
        self.closed = true;
        for facts in self.facts.values_mut() {
            facts.is_running = false;
        }
    }
}

impl StateMachineTest for Simulation {
    type SystemUnderTest = Self;
    type Reference = Steps;

    fn init_test(_: &u64) -> Self {
        Self { ledger: Ledger::default(), closed: false, facts: HashMap::new() }
    }

    fn apply(mut simulation: Self, now_ms: &u64, step: Step) -> Self {
        match step {
            Step::Call { key, fingerprint } => simulation.call(*now_ms, key, fingerprint),
            Step::Complete { key, end_kind } => simulation.complete(key, end_kind),
            Step::Expire => simulation.ledger.expire(*now_ms),
            Step::Advance { .. } => {}
            Step::HandOver => simulation.hand_over(),
        }
        simulation
    }
}

#[test]
fn spent_once() {
    model::run_state_machine::<Simulation>(400, 60);
}
