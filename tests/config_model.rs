//! The configuration log in a simulation: operators compete, the configuration service loses
//! responses, and boxes receive entries and states late, twice and out of order. A box must
//! never go back to an older revision, nor serve a state that was not accepted.

#[path = "common/model.rs"]
mod model;

use coursestile::configlog::{Change, ChangeProposal, ConfigEntry, ConfigLog, ConfigState};
use proptest::prelude::*;
use proptest_state_machine::{ReferenceStateMachine, StateMachineTest};

const OPERATORS: usize = 3;
const BOXES: usize = 3;

#[derive(Clone, Debug)]
enum Step {
    /// An operator reads the configuration and prepares a change of a model.
    Prepare { operator: usize, model: u8 },
    /// An operator submits the prepared change. If the response is lost, it submits it again
    /// later.
    Write { operator: usize, response_lost: bool },
    /// A box receives entries of the log.
    ReceiveEntries { at: usize, from: usize, count: usize },
    /// A box receives a whole state, current or old.
    ReceiveState { at: usize, revision: usize },
    /// A box sends another one the entries that it lacks.
    Gossip { from: usize, to: usize },
    /// A box restarts with an empty log.
    Restart { at: usize },
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
                .prop_map(|(operator, response_lost)| Step::Write { operator, response_lost }),
            5 => (at(), 0..20_usize, 0..5_usize)
                .prop_map(|(at, from, count)| Step::ReceiveEntries { at, from, count }),
            2 => (at(), 0..20_usize).prop_map(|(at, revision)| Step::ReceiveState { at, revision }),
            4 => (at(), at()).prop_map(|(from, to)| Step::Gossip { from, to }),
            1 => at().prop_map(|at| Step::Restart { at }),
        ]
        .boxed()
    }

    fn apply((): (), _: &Step) {}
}

struct Simulation {
    /// All accepted states, by revision.
    states: Vec<ConfigState>,
    log: Vec<ConfigEntry>,
    proposals: Vec<Option<ChangeProposal>>,
    boxes: Vec<ConfigLog>,
    next_id: u64,
}

impl Simulation {
    fn newest_state(&self) -> &ConfigState {
        self.states.last().unwrap()
    }

    fn prepare(&mut self, operator: usize, model: u8) {
        self.next_id += 1;
        let version = format!("v{}", self.next_id);
        let change = Change::SetModel { model: format!("m{model}"), version };
        let expects_revision = self.newest_state().object_revision(&change.object());
        let (id, name) = (self.next_id.to_string(), operator.to_string());
        let proposal = ChangeProposal { id, operator: name, at_ms: 0, expects_revision, change };
        self.proposals[operator] = Some(proposal);
    }

    /// Submits a proposal with one compare-and-swap, as the operators' tool does.
    fn write(&mut self, operator: usize, response_lost: bool) {
        let Some(proposal) = self.proposals[operator].clone() else {
            return;
        };
        let newest = self.newest_state().clone();
        if newest.accepted_at(&proposal.id).is_none() {
            match newest.accept(&proposal) {
                Ok(entry) => {
                    let mut state = newest;
                    state.apply(&entry);
                    self.states.push(state);
                    self.log.push(entry);
                }
                // Another operator was faster: this one is told, and nothing is overwritten.
                Err(_) => self.proposals[operator] = None,
            }
        }
        if !response_lost {
            self.proposals[operator] = None;
        }
        let applied_count =
            self.log.iter().filter(|entry| entry.proposal.id == proposal.id).count();
        assert!(applied_count <= 1, "a change applied {applied_count} times");
    }

    fn update_box(&mut self, at: usize, update: impl FnOnce(&mut ConfigLog)) {
        let before = self.boxes[at].revision();
        update(&mut self.boxes[at]);
        let after = self.boxes[at].revision();
        assert!(after >= before, "box {at} went back from {before} to {after}");
        let accepted_state = &self.states[usize::try_from(after).unwrap()];
        assert_eq!(self.boxes[at].state(), accepted_state, "box {at} serves what was accepted");
    }
}

impl StateMachineTest for Simulation {
    type SystemUnderTest = Self;
    type Reference = Steps;

    fn init_test((): &()) -> Self {
        Self {
            states: vec![ConfigState::default()],
            log: Vec::new(),
            proposals: vec![None; OPERATORS],
            boxes: (0..BOXES).map(|_| ConfigLog::default()).collect(),
            next_id: 0,
        }
    }

    fn apply(mut simulation: Self, (): &(), step: Step) -> Self {
        match step {
            Step::Prepare { operator, model } => simulation.prepare(operator, model),
            Step::Write { operator, response_lost } => simulation.write(operator, response_lost),
            Step::ReceiveEntries { at, from, count } => {
                let entries: Vec<_> =
                    simulation.log.iter().skip(from).take(count).cloned().collect();
                simulation.update_box(at, |log| {
                    log.adopt_entries(&entries);
                });
            }
            Step::ReceiveState { at, revision } => {
                let state = simulation.states[revision.min(simulation.states.len() - 1)].clone();
                simulation.update_box(at, |log| {
                    log.adopt_state(state);
                });
            }
            Step::Gossip { from, to } => {
                let after = simulation.boxes[to].revision();
                if let Some(entries) = simulation.boxes[from].entries_after(after) {
                    simulation.update_box(to, |log| {
                        log.adopt_entries(&entries);
                    });
                }
            }
            Step::Restart { at } => simulation.boxes[at] = ConfigLog::default(),
        }
        simulation
    }
}

#[test]
fn never_reverts() {
    model::run_state_machine::<Simulation>(400, 80);
}
