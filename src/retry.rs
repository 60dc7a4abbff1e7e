//! Retry budget.
//!
//! Each first attempt earns a fraction of a retry, and each retry spends a whole one, so that
//! retries remain a fixed share of the load however slow an upstream becomes.

/// Retries earned by a first attempt, in thousandths.
const EARNED_MILLI: u64 = 100;
/// Cost of a retry, in thousandths.
const COST_MILLI: u64 = 1000;
/// Upper bound of the balance, in thousandths.
const MAX_BALANCE_MILLI: u64 = 20 * COST_MILLI;
/// Initial balance, in thousandths.
const INITIAL_BALANCE_MILLI: u64 = 5 * COST_MILLI;

/// Retry budget of one box for one pool of upstreams.
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
    /// Records a first attempt.
    pub fn earn(&mut self) {
        self.balance_milli = (self.balance_milli + EARNED_MILLI).min(MAX_BALANCE_MILLI);
    }

    /// Spends one retry; returns false if the balance is too low.
    pub fn spend(&mut self) -> bool {
        let Some(balance_milli) = self.balance_milli.checked_sub(COST_MILLI) else {
            return false;
        };
        self.balance_milli = balance_milli;
        true
    }
}
