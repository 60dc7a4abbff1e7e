//! Trials of parts of prompts: requests with a part under which upstreams have crashed run one at a
//! time.
//!
//! The owner of a part, a live box that rendezvous hashing finds, grants its trials. A large fleet
//! has an owner in each hall, and the halls take turns to try a part that is quarantined, so that one
//! hall learns of another's crash before its own turn.

use std::collections::HashMap;
use std::net::IpAddr;

use serde::{Deserialize, Serialize};

use crate::part_key::PartKey;

/// Longest time for which a trial keeps others from running, in case its end is not reported.
pub const MAX_TRIAL_MS: u64 = 10_000;

/// Asks the owner of a part for a trial.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct TrialQuery {
    /// Identifies the trial among those of the sender.
    pub number: u64,
    pub part: PartKey,
}

/// The answer to a [`TrialQuery`].
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct TrialAnswer {
    /// See [`TrialQuery::number`].
    pub number: u64,
    pub is_granted: bool,
}

/// The trials that this box has granted and that may still run.
#[derive(Debug, Default)]
pub struct Trials {
    running: HashMap<PartKey, Trial>,
}

#[derive(Clone, Copy, Debug)]
struct Trial {
    holder: IpAddr,
    number: u64,
    granted_at_ms: u64,
}

impl Trials {
    /// Grants a trial if none runs. One that is asked for again, because the answer was lost, is
    /// granted again. `cleared_at_ms` is when the part was last cleared, which ends its trial.
    pub fn grant(
        &mut self,
        now_ms: u64,
        holder: IpAddr,
        query: TrialQuery,
        cleared_at_ms: Option<u64>,
    ) -> TrialAnswer {
        self.running.retain(|_, trial| now_ms < trial.granted_at_ms + MAX_TRIAL_MS);
        let running = self.running.get(&query.part).filter(|trial| {
            let is_same = trial.holder == holder && trial.number == query.number;
            let is_over = cleared_at_ms.is_some_and(|at_ms| at_ms >= trial.granted_at_ms);
            !is_same && !is_over
        });
        let is_granted = running.is_none();
        if is_granted {
            let trial = Trial { holder, number: query.number, granted_at_ms: now_ms };
            self.running.insert(query.part, trial);
        }
        TrialAnswer { number: query.number, is_granted }
    }

    /// Ends a trial; returns whether it was running.
    pub fn end(&mut self, holder: IpAddr, query: TrialQuery) -> bool {
        let is_it = |trial: &Trial| trial.holder == holder && trial.number == query.number;
        let is_running = self.running.get(&query.part).is_some_and(is_it);
        if is_running {
            self.running.remove(&query.part);
        }
        is_running
    }
}
