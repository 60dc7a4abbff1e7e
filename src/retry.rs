//! A budget for retries.
//!
//! Each first attempt earns a part of a retry and each retry spends a whole
//! one, so that retries stay a fixed share of the load however slow an
//! upstream gets.

/// Retries earned by a first attempt, in thousandths.
const EARNED_MILLI: u64 = 100;
/// What a retry costs, in thousandths.
const COST_MILLI: u64 = 1000;
/// Most that may be saved up, in thousandths.
const CAP_MILLI: u64 = 20 * COST_MILLI;
/// What a new budget starts with, in thousandths.
const START_MILLI: u64 = 5 * COST_MILLI;

/// The budget of one box towards one pool of upstreams.
#[derive(Debug)]
pub struct RetryBudget {
    saved_milli: u64,
}

impl Default for RetryBudget {
    fn default() -> Self {
        Self { saved_milli: START_MILLI }
    }
}

impl RetryBudget {
    /// Counts a first attempt.
    pub fn earn(&mut self) {
        self.saved_milli = (self.saved_milli + EARNED_MILLI).min(CAP_MILLI);
    }

    /// Takes one retry; false when the budget is spent.
    pub fn spend(&mut self) -> bool {
        let Some(rest) = self.saved_milli.checked_sub(COST_MILLI) else {
            return false;
        };
        self.saved_milli = rest;
        true
    }
}
