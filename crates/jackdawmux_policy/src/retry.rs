//! Retry budget that limits retries to a fraction of first attempts.

/// Credit for each first attempt, in hundredths of a retry.
const CREDIT_PER_ATTEMPT: u32 = 10;
/// Cost of one retry, in hundredths of a retry.
const RETRY_COST: u32 = 100;
/// Maximum balance, in hundredths of a retry.
const MAX_BALANCE: u32 = 2_000;
/// Initial balance, in hundredths of a retry; without it an instance with little traffic could not
/// retry at all.
const INITIAL_BALANCE: u32 = 300;

/// Token balance that first attempts credit and retries debit.
#[derive(Clone, Copy, Debug)]
pub struct RetryBudget {
    balance: u32,
}

impl Default for RetryBudget {
    fn default() -> Self {
        Self { balance: INITIAL_BALANCE }
    }
}

impl RetryBudget {
    /// Adds the credit for one first attempt, up to the maximum balance.
    pub fn deposit(&mut self) {
        self.balance = (self.balance + CREDIT_PER_ATTEMPT).min(MAX_BALANCE);
    }

    /// Withdraws the cost of one retry; returns false and changes nothing when the balance is too
    /// low.
    pub fn try_withdraw(&mut self) -> bool {
        let Some(remaining) = self.balance.checked_sub(RETRY_COST) else {
            return false;
        };
        self.balance = remaining;
        true
    }
}
