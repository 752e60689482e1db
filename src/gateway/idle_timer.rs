//! Watches a stream for silence.
//!
//! One timer a stream: what comes notes the time only, and the timer looks at it when it fires.

use std::pin::Pin;
use std::task::{Context, Poll};
use std::time::Duration;

use tokio::time::{Instant, Sleep};

/// Fires once when nothing has come for too long.
#[derive(Debug)]
pub struct IdleTimer {
    timer: Pin<Box<Sleep>>,
    last_activity: Instant,
    limit: Duration,
}

impl IdleTimer {
    /// Begins now; fires after `limit` without anything.
    pub fn new(limit: Duration) -> Self {
        let last_activity = Instant::now();
        IdleTimer {
            timer: Box::pin(tokio::time::sleep_until(last_activity + limit)),
            last_activity,
            limit,
        }
    }

    /// Something has come.
    pub fn reset(&mut self) {
        self.last_activity = Instant::now();
    }

    /// Ready when nothing has come for too long.
    pub fn poll(&mut self, context: &mut Context<'_>) -> Poll<()> {
        while self.timer.as_mut().poll(context).is_ready() {
            let due = self.last_activity + self.limit;
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
