//! Budgets for second copies of requests, by service.

use std::collections::HashMap;

use crate::hedge::Budget;
use crate::ids::ServiceKey;
use crate::rules::Service;

/// Budgets of one service.
#[derive(Clone, Copy, Debug)]
pub struct Budgets {
    /// For second copies of slow requests.
    pub hedge: Budget,
    /// For repeats after a failure.
    pub retry: Budget,
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
            hedge: Budget::new(rule.hedge_percent),
            retry: Budget::saved(rule.retry_percent),
        };
        let budgets = self.services.entry(key).or_insert(fresh);
        budgets.hedge.set_percent(rule.hedge_percent);
        budgets.retry.set_percent(rule.retry_percent);
        budgets
    }
}
