//! The configuration log against a service that loses answers, with racing
//! operators and boxes that hear late, twice and out of order.

#[path = "common/model.rs"]
mod model;

use coursestile::configlog::{Change, ChangeProposal, ConfigEntry, ConfigLog, ConfigState};
use proptest::prelude::*;
use proptest_state_machine::{ReferenceStateMachine, StateMachineTest};

const OPERATORS: usize = 3;
const BOXES: usize = 3;

#[derive(Clone, Debug)]
enum Step {
    /// An operator reads and prepares a change of a model.
    Prepare { operator: usize, model: u8 },
    /// It writes; the answer may be lost, so that it sends the change again.
    Write { operator: usize, answer_lost: bool },
    /// A box hears entries from the log.
    Hear { at: usize, from: usize, count: usize },
    /// A box hears a whole state, new or old.
    HearState { at: usize, revision: usize },
    /// A box tells another what it has.
    Tell { from: usize, to: usize },
    /// A box is replaced.
    Replace { at: usize },
}

#[derive(Clone, Debug)]
struct Steps;

impl ReferenceStateMachine for Steps {
    type State = ();
    type Transition = Step;

    fn init_state() -> BoxedStrategy<()> {
        Just(()).boxed()
    }

    fn transitions((): &()) -> BoxedStrategy<Step> {
        let operator = || 0..OPERATORS;
        let at = || 0..BOXES;
        prop_oneof![
            4 => (operator(), 0..3_u8).prop_map(|(operator, model)| Step::Prepare { operator, model }),
            6 => (operator(), any::<bool>())
                .prop_map(|(operator, answer_lost)| Step::Write { operator, answer_lost }),
            5 => (at(), 0..20_usize, 0..5_usize)
                .prop_map(|(at, from, count)| Step::Hear { at, from, count }),
            2 => (at(), 0..20_usize).prop_map(|(at, revision)| Step::HearState { at, revision }),
            4 => (at(), at()).prop_map(|(from, to)| Step::Tell { from, to }),
            1 => at().prop_map(|at| Step::Replace { at }),
        ]
        .boxed()
    }

    fn apply((): (), _: &Step) {}
}

struct World {
    /// Each state that ever was, by revision.
    states: Vec<ConfigState>,
    log: Vec<ConfigEntry>,
    prepared: Vec<Option<ChangeProposal>>,
    boxes: Vec<ConfigLog>,
    next_id: u64,
}

impl World {
    fn newest(&self) -> &ConfigState {
        self.states.last().unwrap()
    }

    fn prepare(&mut self, operator: usize, model: u8) {
        self.next_id += 1;
        let version = format!("v{}", self.next_id);
        let change = Change::SetModel { model: format!("m{model}"), version };
        let expects_revision = self.newest().object_revision(&change.object());
        let (id, name) = (self.next_id.to_string(), operator.to_string());
        let proposal = ChangeProposal { id, operator: name, at_ms: 0, expects_revision, change };
        self.prepared[operator] = Some(proposal);
    }

    /// The write of an operator's tool, as one compare-and-swap.
    fn write(&mut self, operator: usize, answer_lost: bool) {
        let Some(proposal) = self.prepared[operator].clone() else {
            return;
        };
        let newest = self.newest().clone();
        if newest.accepted_at(&proposal.id).is_none() {
            match newest.accept(&proposal) {
                Ok(entry) => {
                    let mut state = newest;
                    state.apply(&entry);
                    self.states.push(state);
                    self.log.push(entry);
                }
                // Another one was faster: it learns so, and nothing is overwritten.
                Err(_) => self.prepared[operator] = None,
            }
        }
        if !answer_lost {
            self.prepared[operator] = None;
        }
        let times = self.log.iter().filter(|entry| entry.proposal.id == proposal.id).count();
        assert!(times <= 1, "a change applied {times} times");
    }

    fn hear(&mut self, at: usize, what: impl FnOnce(&mut ConfigLog)) {
        let before = self.boxes[at].revision();
        what(&mut self.boxes[at]);
        let after = self.boxes[at].revision();
        assert!(after >= before, "box {at} went back from {before} to {after}");
        let truth = &self.states[usize::try_from(after).unwrap()];
        assert_eq!(self.boxes[at].state(), truth, "box {at} serves what was accepted");
    }
}

impl StateMachineTest for World {
    type SystemUnderTest = Self;
    type Reference = Steps;

    fn init_test((): &()) -> Self {
        Self {
            states: vec![ConfigState::default()],
            log: Vec::new(),
            prepared: vec![None; OPERATORS],
            boxes: (0..BOXES).map(|_| ConfigLog::default()).collect(),
            next_id: 0,
        }
    }

    fn apply(mut world: Self, (): &(), step: Step) -> Self {
        match step {
            Step::Prepare { operator, model } => world.prepare(operator, model),
            Step::Write { operator, answer_lost } => world.write(operator, answer_lost),
            Step::Hear { at, from, count } => {
                let entries: Vec<_> = world.log.iter().skip(from).take(count).cloned().collect();
                world.hear(at, |log| {
                    log.adopt_entries(&entries);
                });
            }
            Step::HearState { at, revision } => {
                let state = world.states[revision.min(world.states.len() - 1)].clone();
                world.hear(at, |log| {
                    log.adopt_state(state);
                });
            }
            Step::Tell { from, to } => {
                let after = world.boxes[to].revision();
                if let Some(entries) = world.boxes[from].entries_after(after) {
                    world.hear(to, |log| {
                        log.adopt_entries(&entries);
                    });
                }
            }
            Step::Replace { at } => world.boxes[at] = ConfigLog::default(),
        }
        world
    }
}

#[test]
fn never_reverts() {
    model::run_state_machine::<World>(400, 80);
}
