//! Compares the block table with a simulated store that knows what a read of each block would
//! find: freed and partially written blocks must never be offered, and pinned ones never be
//! deleted.

#[path = "common/model.rs"]
mod model;

use std::collections::HashMap;

use coursestile::blocks::{Block, BlockId, BlockPhase, Blocks, PIN_MARGIN_MS, Seal};
use coursestile::context::{PrefixHash, Scope};
use proptest::prelude::*;
use proptest_state_machine::{ReferenceStateMachine, StateMachineTest};

#[derive(Clone, Debug)]
enum Step {
    /// Begins to write a new block.
    Write {
        account: u8,
    },
    /// Ends a write. `index` counts back from the newest block.
    Seal {
        index: usize,
    },
    Pin {
        index: usize,
        account: u8,
        duration_ms: u64,
    },
    Free {
        index: usize,
    },
    /// Gives up overdue writes and deletes freed blocks that are not pinned.
    DeleteFreed,
    Advance {
        ms: u64,
    },
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
        let index = || 0..8_usize;
        prop_oneof![
            3 => (0..2_u8).prop_map(|account| Step::Write { account }),
            3 => index().prop_map(|index| Step::Seal { index }),
            5 => (index(), 0..2_u8, 0..5000_u64)
                .prop_map(|(index, account, duration_ms)|
                    Step::Pin { index, account, duration_ms }),
            2 => index().prop_map(|index| Step::Free { index }),
            2 => Just(Step::DeleteFreed),
            2 => (0..4000_u64).prop_map(|ms| Step::Advance { ms }),
        ]
        .boxed()
    }

    fn apply(now_ms: u64, step: &Step) -> u64 {
        if let Step::Advance { ms } = step { now_ms + ms } else { now_ms }
    }
}

/// State of a block in the simulated store.
struct Stored {
    account: u8,
    sealed: bool,
    freed: bool,
    /// Latest time at which a reader that pinned it may still read it.
    read_until_ms: u64,
}

#[derive(Default)]
struct Simulation {
    blocks: Blocks,
    ids: Vec<BlockId>,
    stored: HashMap<BlockId, Stored>,
}

const WRITE_TIMEOUT_MS: u64 = 3000;

fn scope(account: u8) -> Scope {
    let (model, version) = ("m".to_owned(), "v1".to_owned());
    Scope { account: format!("a{account}"), model, version }
}

impl Simulation {
    /// Id of one of the eight newest blocks.
    fn recent_id(&self, index: usize) -> Option<BlockId> {
        let newest = self.ids.iter().rev();
        newest.take(8).nth(index).cloned()
    }

    fn write(&mut self, now_ms: u64, account: u8) {
        let prefix = PrefixHash { tokens: 512, hash: 7 };
        let id = BlockId::new(&scope(account), prefix, "box", self.ids.len() as u64);
        let phase = BlockPhase::Writing { deadline_ms: now_ms + WRITE_TIMEOUT_MS };
        let block = Block {
            scope: scope(account),
            store: "s".to_owned(),
            prefix_end: prefix,
            size_bytes: 10,
            phase,
            pinned_until_ms: 0,
        };
        self.blocks.begin_write(&id, block);
        let stored = Stored { account, sealed: false, freed: false, read_until_ms: 0 };
        assert!(self.stored.insert(id.clone(), stored).is_none(), "an id came twice");
        self.ids.push(id);
    }

    fn seal(&mut self, id: &BlockId) {
        let stored = self.stored.get_mut(id).unwrap();
        let seal = Seal { len_bytes: 10, checksum: "c".to_owned() };
        if self.blocks.seal(id, seal, 10) {
            assert!(!stored.freed && !stored.sealed);
            stored.sealed = true;
        }
    }

    fn pin(&mut self, now_ms: u64, id: &BlockId, account: u8, duration_ms: u64) {
        let stored = self.stored.get_mut(id).unwrap();
        if stored.account != account {
            // The dispatcher does not pin blocks of other accounts; if it did, the pin would fail.
            assert!(self.blocks.pin(id, &scope(account), now_ms + duration_ms).is_none());
            return;
        }
        if self.blocks.pin(id, &scope(account), now_ms + duration_ms).is_some() {
            assert!(stored.sealed && !stored.freed, "a freed or partial block was offered");
            stored.read_until_ms = stored.read_until_ms.max(now_ms + duration_ms);
        }
    }

    fn delete_freed(&mut self, now_ms: u64) {
        self.blocks.expire_writes(now_ms);
        for id in self.blocks.deletable(now_ms) {
            let stored = self.stored.get_mut(&id).unwrap();
            assert!(now_ms >= stored.read_until_ms + PIN_MARGIN_MS || !stored.sealed);
            stored.freed = true;
            self.blocks.remove(&id);
        }
    }
}

impl StateMachineTest for Simulation {
    type SystemUnderTest = Self;
    type Reference = Steps;

    fn init_test(_: &u64) -> Self {
        Self::default()
    }

    fn apply(mut simulation: Self, now_ms: &u64, step: Step) -> Self {
        match step {
            Step::Write { account } => simulation.write(*now_ms, account),
            Step::Seal { index } => {
                let _ = simulation.recent_id(index).map(|id| simulation.seal(&id));
            }
            Step::Pin { index, account, duration_ms } => {
                let _ = simulation
                    .recent_id(index)
                    .map(|id| simulation.pin(*now_ms, &id, account, duration_ms));
            }
            Step::Free { index } => {
                let _ = simulation.recent_id(index).map(|id| simulation.blocks.free(&id));
            }
            Step::DeleteFreed => simulation.delete_freed(*now_ms),
            Step::Advance { .. } => {}
        }
        simulation
    }
}

#[test]
fn read_as_sealed() {
    model::run_state_machine::<Simulation>(400, 80);
}
