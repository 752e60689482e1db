//! Resumes a broken stream at another target.

use hyper::StatusCode;
use hyper::header::{CONTENT_TYPE, HeaderValue};
use tokio::sync::oneshot;

use crate::gateway::attempts::{Attempts, Progress};
use crate::gateway::run_check::RunCheck;
use crate::gateway::selection::Choice;
use crate::gateway::send::{self, Dispatch, Upstream};

/// A resumed stream and the attempts that preceded it.
#[derive(Debug)]
pub struct ResumedStream {
    /// Stream of the new target.
    pub upstream: Upstream,
    /// Attempts before the one that resumed the stream.
    pub attempts: Attempts,
}

/// Receives the resumed stream; `None` if no target can resume it.
pub type ResumeReceiver = oneshot::Receiver<Option<ResumedStream>>;

/// Where and how a stream goes on.
#[derive(Clone, Debug)]
pub struct ResumePoint {
    /// Id of the last event that the client has received; `None` if it has received none with an id.
    pub last_event: Option<String>,
    /// Content type of the answer that the client gets; `None` if it has none.
    pub content_type: Option<HeaderValue>,
}

impl ResumePoint {
    /// Whether a target goes on with the stream: its answer is one of the same kind. An error is not,
    /// whatever its body.
    fn is_continued_by(&self, upstream: &Upstream) -> bool {
        let content_type = upstream.head.headers.get(CONTENT_TYPE);
        upstream.head.status == StatusCode::OK && content_type == self.content_type.as_ref()
    }
}

/// Asks the target of `choice` to resume the stream at `point`, and further targets if the attempt
/// fails. With a `check`, first waits until the target before has stopped. Stops when the
/// receiver is dropped.
pub fn start(
    attempts: Attempts,
    choice: Choice,
    point: ResumePoint,
    check: Option<RunCheck>,
) -> ResumeReceiver {
    let (mut sender, receiver) = oneshot::channel();
    tokio::spawn(async move {
        tokio::select! {
            // Sending fails only if the client has disconnected.
            stream = run(attempts, choice, &point, check) => drop(sender.send(stream)),
            () = sender.closed() => {}
        }
    });
    receiver
}

async fn run(
    mut attempts: Attempts,
    first: Choice,
    point: &ResumePoint,
    check: Option<RunCheck>,
) -> Option<ResumedStream> {
    let mut choice = first;
    if let Some(check) = check {
        if !check.wait_until_stopped().await {
            return None;
        }
        choice = attempts.choose_again(first);
    }
    loop {
        let sending = Dispatch {
            choice,
            versions: attempts.versions,
            last_event: point.last_event.as_deref(),
            response_timeout: None,
        };
        let progress = Progress::not_begun(attempts.gateway.clock.now());
        let failure = match send::dispatch(&attempts.gateway, &attempts.request, sending).await {
            Ok(upstream) if point.is_continued_by(&upstream) => {
                return Some(ResumedStream { upstream, attempts });
            }
            Ok(upstream) => upstream.failure(),
            Err(failure) => failure,
        };
        attempts.record_failure(choice.target, failure, progress);
        choice = attempts.next_target()?;
    }
}
