//! Resumes a broken stream at another target.

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

/// Asks the target of `choice` to resume the stream after the event with id `last_event`, and
/// further targets if the attempt fails. `last_event` is `None` if the client has received no event
/// with an id. With a `check`, first waits until the target before has stopped. Stops when the
/// receiver is dropped.
pub fn start(
    attempts: Attempts,
    choice: Choice,
    last_event: Option<String>,
    check: Option<RunCheck>,
) -> ResumeReceiver {
    let (mut sender, receiver) = oneshot::channel();
    tokio::spawn(async move {
        tokio::select! {
            // Sending fails only if the client has disconnected.
            stream = run(attempts, choice, last_event.as_deref(), check) => drop(sender.send(stream)),
            () = sender.closed() => {}
        }
    });
    receiver
}

async fn run(
    mut attempts: Attempts,
    first: Choice,
    last_event: Option<&str>,
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
            last_event,
            response_timeout: None,
        };
        let progress = Progress::not_begun(attempts.gateway.clock.now());
        let failure = match send::dispatch(&attempts.gateway, &attempts.request, sending).await {
            Ok(upstream) if upstream.head.status.is_success() => {
                return Some(ResumedStream { upstream, attempts });
            }
            Ok(upstream) => upstream.failure(),
            Err(failure) => failure,
        };
        attempts.record_failure(choice.target, failure, progress);
        choice = attempts.next_target()?;
    }
}
