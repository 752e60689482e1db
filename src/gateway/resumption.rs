//! Finds the version of the targets' software that began a stream which a client takes up again.
//!
//! The stream goes on only there. If this gateway does not know the version, it asks others; if none
//! knows it, the request is refused: the client may begin anew, or find a gateway that knows.

use std::pin::pin;
use std::time::Duration;

use tokio::time::timeout;

use crate::gateway::admission;
use crate::gateway::config::RouteClass;
use crate::gateway::peers::wire_streams::StreamQuestion;
use crate::gateway::request::ClientRequest;
use crate::gateway::request_log;
use crate::gateway::service_demand::ServiceTag;
use crate::gateway::state::GatewayState;
use crate::gateway::stream_book::StreamTag;
use crate::gateway::versions::{VersionRule, VersionTag};
use crate::problem::{Problem, Reason};
use crate::units::Micros;

/// Time for the answers of other gateways. Round trips between zones take a few milliseconds.
const ANSWER_TIME: Duration = Duration::from_millis(120);
/// Number of times that other gateways are asked, as datagrams may be lost.
const MAX_QUESTIONS: usize = 2;
/// Time that a stream may have lasted, and its client may have waited to take it up, beyond the
/// route's timeout.
const RETURN_TIME: Micros = Micros::from_secs(2);
/// `Retry-After` for a stream whose version is not known, before jitter.
const UNKNOWN_RETRY_AFTER: Micros = Micros::from_ms(500);

/// Returns which versions may get the request: all, unless it takes up a stream that may be resumed.
///
/// # Errors
/// Returns the error response for the client if the version that began the stream is not known.
pub async fn version_rule(
    gateway: &GatewayState,
    request: &ClientRequest,
) -> Result<VersionRule, Problem> {
    let Some(resumption) = &request.resumption else {
        return Ok(VersionRule::Any);
    };
    if request.route.class != RouteClass::ResumableStream {
        return Ok(VersionRule::Any);
    }
    let span = Micros::from(request.route.timeout) + RETURN_TIME;
    let service = ServiceTag::of(&request.service);
    let version = match &resumption.origin {
        Some(id) => {
            let stream = StreamTag::of(id);
            let question = StreamQuestion {
                stream,
                service,
                span,
            };
            find(gateway, question).await
        }
        None => gateway.sole_version(service, span),
    };
    version.map(VersionRule::Only).ok_or_else(|| {
        let problem = Problem::not_run(503, Reason::UnknownVersion);
        let wait = Some(UNKNOWN_RETRY_AFTER);
        let problem = admission::with_retry_after(problem, wait, rand::random());
        request_log::not_taken_up(gateway, request, &problem);
        problem
    })
}

/// The version that began a stream, by what this gateway knows or others tell.
async fn find(gateway: &GatewayState, question: StreamQuestion) -> Option<VersionTag> {
    let stream = question.stream;
    for _ in 0..MAX_QUESTIONS {
        if let Some(version) = gateway.stream_version(question) {
            return Some(version);
        }
        if !gateway.ask_for_stream(question) {
            return None;
        }
        let answered = timeout(ANSWER_TIME, await_answers(gateway, stream)).await;
        gateway.close_question(stream);
        if answered.is_ok() {
            return gateway.stream_version(question);
        }
    }
    None
}

/// Waits until a gateway has told the version that began a stream, or all have answered.
async fn await_answers(gateway: &GatewayState, stream: StreamTag) {
    loop {
        let mut told = pin!(gateway.stream_answers.notified());
        told.as_mut().enable();
        if !gateway.awaits_answers(stream) {
            return;
        }
        told.await;
    }
}
