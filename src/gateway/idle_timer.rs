//! Idle timeout of a stream.
//!
//! Activity only records the time; the timer is re-armed when it fires, not for every frame.

use std::pin::Pin;
use std::task::{Context, Poll};
use std::time::Duration;

use tokio::time::{Instant, Sleep};

/// Fires once after a period without activity.
#[derive(Debug)]
pub struct IdleTimer {
    timer: Pin<Box<Sleep>>,
    last_activity: Instant,
    timeout: Duration,
}

impl IdleTimer {
    /// Starts a timer that fires after `timeout` without activity.
    pub fn new(timeout: Duration) -> Self {
        let last_activity = Instant::now();
        IdleTimer {
            timer: Box::pin(tokio::time::sleep_until(last_activity + timeout)),
            last_activity,
            timeout,
        }
    }

    /// Records activity.
    pub fn reset(&mut self) {
        self.last_activity = Instant::now();
    }

    /// Ready once there has been no activity for the timeout.
    pub fn poll(&mut self, context: &mut Context<'_>) -> Poll<()> {
        while self.timer.as_mut().poll(context).is_ready() {
            let due = self.last_activity + self.timeout;
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
