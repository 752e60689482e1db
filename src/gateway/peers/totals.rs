//! What one or several gateways cause and know: the load of targets, the use of their limits, the
//! usage of client accounts, and the demand for services.

use std::collections::HashMap;

use rustc_hash::FxBuildHasher;

use crate::gateway::fair_share::{AccountTag, Usage};
use crate::gateway::service_demand::DemandMap;
use crate::gateway::target_limit::LimitedUse;
use crate::gateway::targets::TargetTag;

/// The part of a target's load that one or several gateways cause.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct TargetLoad {
    /// Number of requests in flight at the target.
    pub active: u32,
    /// Prompt tokens of these requests that the target must process before their first event.
    pub prefill_tokens: u64,
}

/// Load and limits by target, usage by client account, and demand by service.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Totals {
    /// Load by target; idle targets may be absent.
    pub loads: HashMap<TargetTag, TargetLoad, FxBuildHasher>,
    /// Usage by client account; idle accounts may be absent.
    pub usage: HashMap<AccountTag, Usage, FxBuildHasher>,
    /// Requests sent to the targets that name a limit, with their newest answers.
    pub limited: HashMap<TargetTag, LimitedUse, FxBuildHasher>,
    /// Requests by service; idle services may be absent.
    pub demand: DemandMap,
}

impl Totals {
    /// Adds what other gateways cause.
    pub fn add(&mut self, other: &Totals) {
        for (&tag, load) in &other.loads {
            let sum = self.loads.entry(tag).or_default();
            sum.active = sum.active.saturating_add(load.active);
            sum.prefill_tokens = sum.prefill_tokens.saturating_add(load.prefill_tokens);
        }
        for (&tag, usage) in &other.usage {
            let sum = self.usage.entry(tag).or_default();
            sum.requested += usage.requested;
            sum.served += usage.served;
        }
        for (&tag, used) in &other.limited {
            self.limited.entry(tag).or_default().add(used);
        }
        for (&service, count) in &other.demand {
            let sum = self.demand.entry(service).or_default();
            *sum = sum.saturating_add(*count);
        }
    }

    /// Removes what one of the gateways in this sum causes.
    pub fn subtract(&mut self, part: &Totals) {
        for (tag, load) in &part.loads {
            if let Some(sum) = self.loads.get_mut(tag) {
                sum.active = sum.active.saturating_sub(load.active);
                sum.prefill_tokens = sum.prefill_tokens.saturating_sub(load.prefill_tokens);
            }
        }
        for (tag, usage) in &part.usage {
            if let Some(sum) = self.usage.get_mut(tag) {
                sum.requested = (sum.requested - usage.requested).max(0.0);
                sum.served = (sum.served - usage.served).max(0.0);
            }
        }
        for (tag, used) in &part.limited {
            if let Some(sum) = self.limited.get_mut(tag) {
                sum.sent = sum.sent.saturating_sub(used.sent);
            }
        }
        for (service, count) in &part.demand {
            if let Some(sum) = self.demand.get_mut(service) {
                *sum = sum.saturating_sub(*count);
            }
        }
    }
}
