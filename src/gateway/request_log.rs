//! Log lines about requests that are rejected, refused, retried, late, cut or given up.

use std::cmp::Reverse;
use std::collections::HashMap;
use std::sync::Arc;
use std::time::Duration;

use crate::gateway::admission::AdmissionContext;
use crate::gateway::crash_tracker::BrokenRequest;
use crate::gateway::in_flight::InFlight;
use crate::gateway::overload::Overload;
use crate::gateway::part_quarantine::QuarantineChange;
use crate::gateway::pool::ConnectError;
use crate::gateway::relay::BrokenStream;
use crate::gateway::request::ClientRequest;
use crate::gateway::retry::Failure;
use crate::gateway::state::GatewayState;
use crate::gateway::targets::{TargetKey, TargetRun};
use crate::problem::Problem;
use crate::telemetry::Outcome;

/// Maximum number of prompt parts in a log line.
const MAX_LOGGED_PARTS: usize = 24;

/// How a gateway learned of a notice. The names of the values are written to the log field `source`.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum NoticeSource {
    /// From an answer of the target.
    Answer,
    /// From another gateway.
    Gateway,
}

/// Logs a request that was refused without being sent to a target.
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
        standing: = context.share.log_label(),
        expected_ms = choice.map_or(0, |c| c.expected.as_ms()),
        wait_ms = choice.map_or(0, |c| c.wait.as_ms()),
        pressure_ms = context.backlog.as_ms(),
        aim_ms = context.latency_objective.as_ms(),
        restricted = request.is_restricted(),
        left_out = left_out,
        retry_ms = problem.retry_after.map_or(0, |delay| delay.as_millis() as u64),
    });
}

/// Logs a request that was turned away because this gateway is overloaded. `id` is its id.
pub fn shed(gateway: &GatewayState, id: &str, overload: &Overload) {
    let Some(left_out) = gateway.may_log_shed() else {
        return;
    };
    spdlog::info!("turned away", kv: {
        request: = id,
        lag_ms: = overload.lag().as_ms(),
        shed: = overload.shed(),
        resting: = overload.is_resting(),
        left_out = left_out,
    });
}

/// Logs an attempt that yielded no usable response.
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
        after_ms = elapsed_ms(gateway, request),
        left_out = left_out,
    });
}

/// Logs a stream that goes on at another target, with the versions of both targets' software.
pub fn resumed(
    gateway: &GatewayState,
    request: &ClientRequest,
    [from, to]: [&TargetRun; 2],
    last_event: Option<&str>,
) {
    let Some(left_out) = gateway.may_log() else {
        return;
    };
    spdlog::info!("stream resumed", kv: {
        request: = request.id_str(),
        route: = request.route.name.as_ref(),
        from: = from.id.as_ref(),
        from_version: = from.version_name(),
        to: = to.id.as_ref(),
        to_version: = to.version_name(),
        last_event: = last_event.unwrap_or("none"),
        after_ms = elapsed_ms(gateway, request),
        left_out = left_out,
    });
}

/// Logs a stream that a client has taken up again, and where it goes on.
pub fn taken_up(gateway: &GatewayState, request: &ClientRequest, at: &TargetRun) {
    let Some(left_out) = gateway.may_log() else {
        return;
    };
    spdlog::info!("stream taken up", kv: {
        request: = request.id_str(),
        route: = request.route.name.as_ref(),
        origin: = request.origin_str(),
        target: = at.id.as_ref(),
        version: = at.version_name(),
        after_ms = elapsed_ms(gateway, request),
        left_out = left_out,
    });
}

/// Logs a stream that a client has taken up and that is refused, as no gateway that answered knows
/// the version that began it.
pub fn not_taken_up(gateway: &GatewayState, request: &ClientRequest, problem: &Problem) {
    let Some(left_out) = gateway.may_log() else {
        return;
    };
    spdlog::info!("stream not taken up", kv: {
        request: = request.id_str(),
        route: = request.route.name.as_ref(),
        origin: = request.origin_str(),
        reason:? = problem.reason,
        after_ms = elapsed_ms(gateway, request),
        left_out = left_out,
    });
}

/// Logs a stream that is not resumed, because its silent target may still run the request.
pub fn not_stopped(gateway: &GatewayState, request: &ClientRequest, target: &Arc<str>) {
    let Some(left_out) = gateway.may_log() else {
        return;
    };
    spdlog::info!("not resumed", kv: {
        request: = request.id_str(),
        target: = target.as_ref(),
        after_ms = elapsed_ms(gateway, request),
        left_out = left_out,
    });
}

/// Logs a failed connection attempt.
pub fn connect_failed(
    gateway: &GatewayState,
    request: &ClientRequest,
    target: &Arc<str>,
    error: &ConnectError,
) {
    let Some(left_out) = gateway.may_log() else {
        return;
    };
    spdlog::info!("could not connect to target", kv: {
        request: = request.id_str(),
        target: = target.as_ref(),
        error: = error,
        after_ms = elapsed_ms(gateway, request),
        left_out = left_out,
    });
}

/// Logs a target that crashed, with the requests whose connections broke off: how many they are, how
/// many of them it had not begun to answer, and the prompt parts that most of the latter share.
pub fn target_crashed(gateway: &GatewayState, target: TargetKey, crashed: &[BrokenRequest]) {
    let name = gateway.target_entry(target);
    let name = name.map_or_else(|| "gone".into(), |(id, _)| id);
    let waiting = crashed.iter().filter(|request| !request.began);
    spdlog::info!("target crashed", kv: {
        target: = name.as_ref(),
        requests = crashed.len(),
        waiting = waiting.clone().count(),
        parts: = common_parts(waiting),
    });
}

/// Logs that a request which was in flight at targets that crashed is taken again, with the number of
/// these crashes that this gateway knows of.
pub fn suspected(gateway: &GatewayState, request: &ClientRequest) {
    let crashes = gateway.crashes_of(request);
    if crashes == 0 {
        return;
    }
    let Some(left_out) = gateway.may_log() else {
        return;
    };
    spdlog::info!("suspected request taken", kv: {
        request: = request.id_str(),
        route: = request.route.name.as_ref(),
        crashes = crashes,
        left_out = left_out,
    });
}

/// Logs that a message to other gateways had no room for all suspicions that are due; the next ones
/// carry the rest.
pub fn suspicions_left_out(left_out: usize) {
    spdlog::info!("suspicions left for later messages", kv: { left_out = left_out });
}

/// Logs that a target has named a limit on its requests, or names none any more.
pub fn limit_changed(gateway: &GatewayState, target: TargetKey, limit: Option<f64>) {
    let name = gateway.target_entry(target);
    let name = name.map_or_else(|| "gone".into(), |(id, _)| id);
    match limit {
        Some(limit) => spdlog::info!("target names a limit", kv: {
            target: = name.as_ref(), per_second = limit,
        }),
        None => spdlog::info!("target names no limit", kv: { target: = name.as_ref() }),
    }
}

/// Logs that a target is leaving. `source` says how this gateway knows.
pub fn target_leaving(id: &str, source: NoticeSource) {
    spdlog::info!("target is leaving", kv: { target: = id, source:? = source });
}

/// Logs that a target asks for a pause of this length.
pub fn target_paused(gateway: &GatewayState, id: &str, pause: Duration) {
    let Some(left_out) = gateway.may_log() else {
        return;
    };
    spdlog::info!("target asks for a pause", kv: {
        target: = id,
        pause_ms = pause.as_millis() as u64,
        left_out = left_out,
    });
}

/// Logs which prompt parts have been quarantined or released since the last call.
pub fn quarantine_changes(gateway: &GatewayState) {
    for change in gateway.take_quarantine_changes() {
        let (message, parts) = match &change {
            QuarantineChange::Added(parts) => ("prompt parts quarantined", parts),
            QuarantineChange::Removed(parts) => ("prompt parts released", parts),
        };
        let parts: Vec<String> = parts.iter().map(|part| format!("{part:x}")).collect();
        spdlog::info!("{}", message, kv: { parts: = parts.join(" ") });
    }
}

/// The prompt parts that most of these requests share, each with their number.
fn common_parts<'a>(requests: impl Iterator<Item = &'a BrokenRequest>) -> String {
    let mut counts: HashMap<u64, usize> = HashMap::new();
    for part in requests.flat_map(|request| &request.parts) {
        *counts.entry(*part).or_default() += 1;
    }
    let mut counts: Vec<(u64, usize)> = counts.into_iter().collect();
    counts.sort_by_key(|&(part, count)| (Reverse(count), part));
    let shown = counts.iter().take(MAX_LOGGED_PARTS);
    let shown: Vec<String> = shown.map(|(part, n)| format!("{part:x}x{n}")).collect();
    shown.join(" ")
}

/// Logs a stream that was cut before its end, and counts it in the metrics.
pub fn stream_broken(
    gateway: &GatewayState,
    request: &ClientRequest,
    started: bool,
    cause: BrokenStream,
) {
    gateway.metrics().record_outcome(Outcome::Cut);
    let Some(left_out) = gateway.may_log() else {
        return;
    };
    spdlog::info!("stream broken off", kv: {
        request: = request.id_str(),
        route: = request.route.name.as_ref(),
        cause: = cause,
        begun = started,
        after_ms = elapsed_ms(gateway, request),
        left_out = left_out,
    });
}

/// Logs a stream whose first event came later than the route's latency objective.
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
        after_ms = elapsed_ms(gateway, request),
        sent_ms = in_flight.sent.saturating_sub(request.arrived).as_ms(),
        expected_ms = in_flight.choice.expected.as_ms(),
        unread = in_flight.choice.prefill_tokens,
        fetched: = in_flight.fetched,
        reserved: = in_flight.reserved,
        tokens = request.prompt.as_ref().map_or(0, |prompt| prompt.tokens),
        aim_ms = request.route.latency_objective.as_millis() as u64,
        left_out = left_out,
    });
}

/// Logs a request that was given up after its attempts failed, or because it is quarantined.
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
        after_ms = elapsed_ms(gateway, request),
        timeout_ms = request.route.timeout.as_millis() as u64,
        left_out = left_out,
    });
}

/// Logs a request that was rejected while it was read. `version` is the version of the
/// configuration by which it was rejected.
pub fn rejected(gateway: &GatewayState, id: &str, problem: &Problem, version: u64) {
    let Some(left_out) = gateway.may_log() else {
        return;
    };
    spdlog::info!("request rejected", kv: {
        request: = id,
        status = problem.status,
        reason:? = problem.reason,
        version = version,
        left_out = left_out,
    });
}

/// Time since a request arrived, in milliseconds.
fn elapsed_ms(gateway: &GatewayState, request: &ClientRequest) -> u64 {
    gateway.clock.now().saturating_sub(request.arrived).as_ms()
}

#[cfg(test)]
mod tests;
