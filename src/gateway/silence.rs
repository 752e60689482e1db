//! Watches a stream for silence.
//!
//! One timer a stream: what comes notes the time only, and the timer looks at it when it fires.

use std::pin::Pin;
use std::task::{Context, Poll};
use std::time::Duration;

use tokio::time::{Instant, Sleep};

/// Fires once when nothing has come for too long.
#[derive(Debug)]
pub struct Silence {
    timer: Pin<Box<Sleep>>,
    heard: Instant,
    most: Duration,
}

impl Silence {
    /// Begins now; fires after `most` without anything.
    pub fn after(most: Duration) -> Self {
        let heard = Instant::now();
        Silence {
            timer: Box::pin(tokio::time::sleep_until(heard + most)),
            heard,
            most,
        }
    }

    /// Something has come.
    pub fn heard(&mut self) {
        self.heard = Instant::now();
    }

    /// Ready when nothing has come for too long.
    pub fn poll(&mut self, context: &mut Context<'_>) -> Poll<()> {
        while self.timer.as_mut().poll(context).is_ready() {
            let due = self.heard + self.most;
            if Instant::now() >= due {
                return Poll::Ready(());
            }
            self.timer.as_mut().reset(due);
        }
        Poll::Pending
    }
}

#[cfg(test)]
mod tests;
