//! Budget that bounds retries to a fraction of first tries.

/// Hundredths of a retry that each first try earns.
const EARNED_PER_TRY: u32 = 10;
/// Hundredths of a retry that one retry costs.
const RETRY_COST: u32 = 100;
/// Largest balance, in hundredths of a retry.
const BALANCE_LIMIT: u32 = 2_000;
/// Balance at the start, so that a quiet instance can retry at all.
const BALANCE_START: u32 = 300;

/// Token balance earned by first tries and spent by retries.
#[derive(Clone, Copy, Debug)]
pub struct RetryBudget {
    balance: u32,
}

impl Default for RetryBudget {
    fn default() -> Self {
        Self { balance: BALANCE_START }
    }
}

impl RetryBudget {
    /// Counts a first try.
    pub fn deposit(&mut self) {
        self.balance = (self.balance + EARNED_PER_TRY).min(BALANCE_LIMIT);
    }

    /// Takes one retry from the budget; false when it is spent.
    pub fn try_withdraw(&mut self) -> bool {
        let Some(rest) = self.balance.checked_sub(RETRY_COST) else {
            return false;
        };
        self.balance = rest;
        true
    }
}
