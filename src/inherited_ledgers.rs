//! Ledgers that stopped boxes have handed over to this box, their heir.
//!
//! They are closed: calls are only answered from them. Once this box hands them over itself, it
//! takes no more, since they would end with it, but answers from those that it has until it stops.

use std::collections::HashMap;

use crate::ledger::Ledger;
use crate::ticket::BoxRef;

/// Ledgers by the box that issued their tickets.
#[derive(Debug, Default)]
pub struct InheritedLedgers {
    ledgers: HashMap<BoxRef, Ledger>,
    /// Whether this box hands its ledgers over.
    closed: bool,
}

impl InheritedLedgers {
    /// Takes a ledger over, unless this box hands its own over; returns whether it did. An empty
    /// ledger counts as taken, but is not kept.
    pub fn accept(&mut self, of: BoxRef, ledger: Ledger) -> bool {
        if !self.closed && !ledger.is_empty() {
            self.ledgers.insert(of, ledger);
        }
        !self.closed
    }

    /// Takes no more ledgers from now on; returns copies of those that are not empty.
    pub fn close(&mut self) -> Vec<(BoxRef, Ledger)> {
        self.closed = true;
        let ledgers = self.ledgers.iter().filter(|(_, ledger)| !ledger.is_empty());
        ledgers.map(|(of, ledger)| (of.clone(), ledger.clone())).collect()
    }

    /// The ledger of a stopped box.
    pub fn get_mut(&mut self, of: &BoxRef) -> Option<&mut Ledger> {
        self.ledgers.get_mut(of)
    }

    /// Drops keys with an expired ticket, and ledgers without keys.
    pub fn expire(&mut self, now_ms: u64) {
        self.ledgers.retain(|_, ledger| {
            ledger.expire(now_ms);
            !ledger.is_empty()
        });
    }
}
