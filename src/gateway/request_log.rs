//! Log lines of what happens to requests.

use std::sync::Arc;

use crate::gateway::admission::AdmissionContext;
use crate::gateway::in_flight::InFlight;
use crate::gateway::pool::ConnectError;
use crate::gateway::relay::BrokenStream;
use crate::gateway::request::ClientRequest;
use crate::gateway::retry::Failure;
use crate::gateway::state::GatewayState;
use crate::gateway::targets::TargetKey;
use crate::problem::Problem;
use crate::telemetry::Outcome;

/// A request was refused without being sent.
pub fn refused(
    gateway: &GatewayState,
    request: &ClientRequest,
    problem: &Problem,
    context: &AdmissionContext,
) {
    let Some(left_out) = gateway.may_log() else {
        return;
    };
    let choice = context.choice;
    spdlog::info!("refused", kv: {
        request: = request.id_str(),
        route: = request.route.name.as_ref(),
        account: = request.account.as_deref().unwrap_or("none"),
        reason:? = problem.reason,
        standing:? = context.share,
        expected_ms = choice.map_or(0, |c| c.expected.as_ms()),
        wait_ms = choice.map_or(0, |c| c.wait.as_ms()),
        pressure_ms = context.backlog.as_ms(),
        aim_ms = context.latency_objective.as_ms(),
        left_out = left_out,
        retry_ms = problem.retry_after.map_or(0, |wait| wait.as_millis() as u64),
    });
}

/// A try brought no usable answer.
pub fn failed(
    request: &ClientRequest,
    gateway: &GatewayState,
    target: TargetKey,
    failure: Failure,
) {
    let Some(left_out) = gateway.may_log() else {
        return;
    };
    let name = gateway
        .target_entry(target)
        .map_or_else(|| "gone".into(), |(id, _)| id);
    spdlog::info!("try failed", kv: {
        request: = request.id_str(),
        route: = request.route.name.as_ref(),
        target: = name.as_ref(),
        failure:? = failure,
        after_ms = age(gateway, request),
        left_out = left_out,
    });
}

/// No connection to a target was made.
pub fn unreached(
    gateway: &GatewayState,
    request: &ClientRequest,
    target: &Arc<str>,
    error: &ConnectError,
) {
    let Some(left_out) = gateway.may_log() else {
        return;
    };
    spdlog::info!("target unreached", kv: {
        request: = request.id_str(),
        target: = target.as_ref(),
        error: = error,
        after_ms = age(gateway, request),
        left_out = left_out,
    });
}

/// A stream broke off towards its caller.
pub fn broken(gateway: &GatewayState, request: &ClientRequest, begun: bool, cause: BrokenStream) {
    gateway.metrics().request(Outcome::Cut);
    let Some(left_out) = gateway.may_log() else {
        return;
    };
    spdlog::info!("stream broken off", kv: {
        request: = request.id_str(),
        route: = request.route.name.as_ref(),
        cause: = cause,
        begun = begun,
        after_ms = age(gateway, request),
        left_out = left_out,
    });
}

/// A stream's first event came later than its operator aims at.
pub fn late(gateway: &GatewayState, request: &ClientRequest, in_flight: &InFlight) {
    let Some(left_out) = gateway.may_log() else {
        return;
    };
    let name = gateway.target_entry(in_flight.target);
    let name = name.map_or_else(|| "gone".into(), |(id, _)| id);
    spdlog::info!("late", kv: {
        request: = request.id_str(),
        route: = request.route.name.as_ref(),
        target: = name.as_ref(),
        after_ms = age(gateway, request),
        sent_ms = in_flight.sent.saturating_sub(request.arrived).as_ms(),
        expected_ms = in_flight.expected.as_ms(),
        unread = in_flight.prefill_tokens,
        tokens = request.prompt.as_ref().map_or(0, |prompt| prompt.tokens),
        aim_ms = request.route.latency_objective.as_millis() as u64,
        left_out = left_out,
    });
}

/// A request was given up after its tries, or refused as its caller sent it.
pub fn given_up(gateway: &GatewayState, request: &ClientRequest, problem: &Problem) {
    let Some(left_out) = gateway.may_log() else {
        return;
    };
    spdlog::info!("given up", kv: {
        request: = request.id_str(),
        route: = request.route.name.as_ref(),
        status = problem.status,
        reason:? = problem.reason,
        execution:? = problem.execution,
        after_ms = age(gateway, request),
        timeout_ms = request.route.timeout.as_millis() as u64,
        left_out = left_out,
    });
}

/// A request could not be taken as its caller sent it. `version` is that of the configuration which
/// decided.
pub fn rejected(gateway: &GatewayState, id: &str, problem: &Problem, version: u64) {
    let Some(left_out) = gateway.may_log() else {
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
fn age(gateway: &GatewayState, request: &ClientRequest) -> u64 {
    gateway.clock.now().saturating_sub(request.arrived).as_ms()
}
