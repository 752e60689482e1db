//! Budgets for second copies of requests, by service.

use std::collections::HashMap;

use crate::ids::ServiceKey;
use crate::retry_budget::RetryBudget;
use crate::rules::Service;

/// Budgets of one service.
#[derive(Clone, Copy, Debug)]
pub struct Budgets {
    /// For second copies of slow requests.
    pub hedge: RetryBudget,
    /// For repeats after a failure.
    pub retry: RetryBudget,
}

/// Whether a request's first copy has been counted. Copies after a failure earn nothing: else
/// repeats would pay for repeats.
#[derive(Clone, Copy, Debug, Default)]
pub struct Counted(bool);

impl Budgets {
    /// A copy of a request was sent that is no second one of a hedge.
    pub fn dispatched(&mut self, counted: &mut Counted) {
        if !std::mem::replace(&mut counted.0, true) {
            self.retry.deposit();
            self.hedge.deposit();
        }
    }
}

/// Budgets of all services.
#[derive(Debug, Default)]
pub struct BudgetTable {
    services: HashMap<ServiceKey, Budgets>,
}

impl BudgetTable {
    /// The service's budgets, with the percentages of the rules in force.
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
