//! Log lines of what happens to requests.

use std::sync::Arc;

use crate::gateway::gate::Gate;
use crate::gateway::in_flight::InFlight;
use crate::gateway::order::Order;
use crate::gateway::pool::ConnectError;
use crate::gateway::relay::BrokenStream;
use crate::gateway::repeat::Failure;
use crate::gateway::targets::TargetKey;
use crate::gateway::turn_away::Offer;
use crate::problem::Problem;
use crate::telemetry::Outcome;

/// A request was refused without being sent.
pub fn refused(gate: &Gate, order: &Order, problem: &Problem, offer: &Offer) {
    let Some(left_out) = gate.may_log() else {
        return;
    };
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
        left_out = left_out,
        retry_ms = problem.retry_after.map_or(0, |wait| wait.as_millis() as u64),
    });
}

/// A try brought no usable answer.
pub fn failed(order: &Order, gate: &Gate, target: TargetKey, failure: Failure) {
    let Some(left_out) = gate.may_log() else {
        return;
    };
    let name = gate
        .entry(target)
        .map_or_else(|| "gone".into(), |(id, _)| id);
    spdlog::info!("try failed", kv: {
        request: = order.name(),
        route: = order.route.name.as_ref(),
        target: = name.as_ref(),
        failure:? = failure,
        after_ms = age(gate, order),
        left_out = left_out,
    });
}

/// No connection to a target was made.
pub fn unreached(gate: &Gate, order: &Order, target: &Arc<str>, error: &ConnectError) {
    let Some(left_out) = gate.may_log() else {
        return;
    };
    spdlog::info!("target unreached", kv: {
        request: = order.name(),
        target: = target.as_ref(),
        error: = error,
        after_ms = age(gate, order),
        left_out = left_out,
    });
}

/// A stream broke off towards its caller.
pub fn broken(gate: &Gate, order: &Order, begun: bool, cause: BrokenStream) {
    gate.metrics().request(Outcome::Cut);
    let Some(left_out) = gate.may_log() else {
        return;
    };
    spdlog::info!("stream broken off", kv: {
        request: = order.name(),
        route: = order.route.name.as_ref(),
        cause: = cause,
        begun = begun,
        after_ms = age(gate, order),
        left_out = left_out,
    });
}

/// A stream's first event came later than its operator aims at.
pub fn late(gate: &Gate, order: &Order, flight: &InFlight) {
    let Some(left_out) = gate.may_log() else {
        return;
    };
    let name = gate.entry(flight.target);
    let name = name.map_or_else(|| "gone".into(), |(id, _)| id);
    spdlog::info!("late", kv: {
        request: = order.name(),
        route: = order.route.name.as_ref(),
        target: = name.as_ref(),
        after_ms = age(gate, order),
        sent_ms = flight.sent.saturating_sub(order.arrived).as_ms(),
        expected_ms = flight.expected.as_ms(),
        unread = flight.unread,
        tokens = order.prompt.as_ref().map_or(0, |prompt| prompt.tokens),
        aim_ms = order.route.latency_objective.as_millis() as u64,
        left_out = left_out,
    });
}

/// A request was given up after its tries, or refused as its caller sent it.
pub fn given_up(gate: &Gate, order: &Order, problem: &Problem) {
    let Some(left_out) = gate.may_log() else {
        return;
    };
    spdlog::info!("given up", kv: {
        request: = order.name(),
        route: = order.route.name.as_ref(),
        status = problem.status,
        reason:? = problem.reason,
        execution:? = problem.execution,
        after_ms = age(gate, order),
        timeout_ms = order.route.timeout.as_millis() as u64,
        left_out = left_out,
    });
}

/// A request could not be taken as its caller sent it. `version` is that of the configuration which
/// decided.
pub fn rejected(gate: &Gate, id: &str, problem: &Problem, version: u64) {
    let Some(left_out) = gate.may_log() else {
        return;
    };
    spdlog::info!("not taken", kv: {
        request: = id,
        status = problem.status,
        reason:? = problem.reason,
        version = version,
        left_out = left_out,
    });
}

/// How long a request has been here, in milliseconds.
fn age(gate: &Gate, order: &Order) -> u64 {
    gate.clock.now().saturating_sub(order.arrived).as_ms()
}
