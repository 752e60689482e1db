//! Retry and hedge budgets, by service.

use std::collections::HashMap;

use crate::ids::ServiceKey;
use crate::retry_budget::RetryBudget;
use crate::rules::Service;

/// The budgets of one service.
#[derive(Clone, Copy, Debug)]
pub struct Budgets {
    /// Budget for hedges of slow requests.
    pub hedge: RetryBudget,
    /// Budget for retries after a failure.
    pub retry: RetryBudget,
}

/// Whether a request has earned credit for the budgets. Only its first dispatch earns credit: if
/// retries did as well, they would pay for further retries.
#[derive(Clone, Copy, Debug, Default)]
pub struct BudgetCredit(bool);

impl Budgets {
    /// Credits the budgets for a primary dispatch of a request, unless they were credited for an
    /// earlier dispatch of it.
    pub fn record_dispatch(&mut self, credit: &mut BudgetCredit) {
        if !std::mem::replace(&mut credit.0, true) {
            self.retry.deposit();
            self.hedge.deposit();
        }
    }
}

/// The budgets of all services.
#[derive(Debug, Default)]
pub struct BudgetTable {
    services: HashMap<ServiceKey, Budgets>,
}

impl BudgetTable {
    /// Returns the service's budgets, with the percentages of the current rules.
    pub fn of(&mut self, key: ServiceKey, rule: &Service) -> &mut Budgets {
        let fresh = Budgets {
            hedge: RetryBudget::new(rule.hedge_percent),
            retry: RetryBudget::full(rule.retry_percent),
        };
        let budgets = self.services.entry(key).or_insert(fresh);
        budgets.hedge.set_percent(rule.hedge_percent);
        budgets.retry.set_percent(rule.retry_percent);
        budgets
    }
}

#[cfg(test)]
mod tests;
