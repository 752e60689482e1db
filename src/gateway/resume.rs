//! Asks other targets to go on with a stream.

use tokio::sync::oneshot;

use crate::gateway::attempts::Attempts;
use crate::gateway::selection::Choice;
use crate::gateway::send::{self, Dispatch, Upstream};

/// A stream that another target goes on with, and the tries until then.
#[derive(Debug)]
pub struct ResumedStream {
    /// The target's stream.
    pub upstream: Upstream,
    /// All tries before it.
    pub attempts: Attempts,
}

/// Tells which target goes on; `None` when none does.
pub type ResumeReceiver = oneshot::Receiver<Option<ResumedStream>>;

/// Asks `choice` to go on after the event `last_event`, and others if it declines. Ends when the
/// receiver is dropped.
pub fn start(attempts: Attempts, choice: Choice, last_event: Option<String>) -> ResumeReceiver {
    let (mut back, resumed) = oneshot::channel();
    tokio::spawn(async move {
        tokio::select! {
            // A caller that is gone needs no stream.
            goes_on = run(attempts, choice, last_event.as_deref()) => drop(back.send(goes_on)),
            () = back.closed() => {}
        }
    });
    resumed
}

async fn run(
    mut attempts: Attempts,
    first: Choice,
    last_event: Option<&str>,
) -> Option<ResumedStream> {
    let mut choice = first;
    loop {
        let sending = Dispatch {
            choice,
            last_event,
            silence: None,
        };
        let failure = match send::dispatch(&attempts.gateway, &attempts.request, sending).await {
            Ok(upstream) if upstream.head.status.is_success() => {
                return Some(ResumedStream { upstream, attempts });
            }
            Ok(upstream) => upstream.failure(),
            Err(failure) => failure,
        };
        attempts.record_failure(choice.target, failure);
        choice = attempts.next_target()?;
    }
}
