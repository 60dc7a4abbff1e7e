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
const MAX_BALANCE_MILLI: u64 = 20 * COST_MILLI;
/// What a new budget starts with, in thousandths.
const INITIAL_BALANCE_MILLI: u64 = 5 * COST_MILLI;

/// The budget of one box towards one pool of upstreams.
#[derive(Debug)]
pub struct RetryBudget {
    balance_milli: u64,
}

impl Default for RetryBudget {
    fn default() -> Self {
        Self { balance_milli: INITIAL_BALANCE_MILLI }
    }
}

impl RetryBudget {
    /// Counts a first attempt.
    pub fn earn(&mut self) {
        self.balance_milli = (self.balance_milli + EARNED_MILLI).min(MAX_BALANCE_MILLI);
    }

    /// Takes one retry; false when the budget is spent.
    pub fn spend(&mut self) -> bool {
        let Some(balance_milli) = self.balance_milli.checked_sub(COST_MILLI) else {
            return false;
        };
        self.balance_milli = balance_milli;
        true
    }
}
