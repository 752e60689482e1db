//! Log lines of what happens to requests.

use std::sync::Arc;

use crate::gateway::gate::Gate;
use crate::gateway::links::ConnectError;
use crate::gateway::order::Order;
use crate::gateway::repeat::Failure;
use crate::gateway::targets::TargetKey;
use crate::gateway::turn_away::Offer;
use crate::problem::Problem;

/// A request was refused without being sent.
pub fn refused(order: &Order, problem: &Problem, offer: &Offer) {
    let choice = offer.choice;
    spdlog::info!("refused", kv: {
        request: = order.name(),
        route: = order.route.name.as_ref(),
        account: = order.account.as_deref().unwrap_or("none"),
        reason:? = problem.reason,
        standing:? = offer.standing,
        expected_ms = choice.map_or(0, |c| c.expected.as_ms()),
        wait_ms = choice.map_or(0, |c| c.wait.as_ms()),
        pressure_ms = offer.pressure.as_ms(),
        aim_ms = offer.aim.as_ms(),
        retry_ms = problem.retry_after.map_or(0, |wait| wait.as_millis() as u64),
    });
}

/// A try brought no usable answer.
pub fn failed(order: &Order, gate: &Gate, target: TargetKey, failure: Failure) {
    let name = gate
        .entry(target)
        .map_or_else(|| "gone".into(), |(id, _)| id);
    spdlog::info!(
        "try failed", kv: {
        request: = order.name(),
        route: = order.route.name.as_ref(),
        target: = name.as_ref(),
        failure:? = failure }
    );
}

/// No connection to a target was made.
pub fn unreached(order: &Order, target: &Arc<str>, error: &ConnectError) {
    spdlog::info!(
        "target unreached", kv: {
        request: = order.name(),
        target: = target.as_ref(),
        error: = error }
    );
}

/// A stream broke off towards its caller.
pub fn broken(order: &Order, begun: bool) {
    spdlog::info!(
        "stream broken off", kv: {
        request: = order.name(),
        route: = order.route.name.as_ref(),
        begun: = begun }
    );
}
