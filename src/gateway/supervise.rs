//! Keeps the tasks of a process running that must never end.
//!
//! Nobody waits for these tasks, so one that ends by a panic would go unnoticed: the process would
//! go on with a list that no longer changes.

use std::collections::VecDeque;
use std::future::Future;
use std::time::Duration;

use tokio::task::{JoinError, JoinSet};
use tokio::time::Instant;

/// Pause before a task that has ended is started again.
const RESTART_PAUSE: Duration = Duration::from_millis(500);
/// Number of ends within [`FAILURE_WINDOW`] after which a task is given up.
const MAX_FAILURES: usize = 5;
/// Time for which an end counts.
const FAILURE_WINDOW: Duration = Duration::from_secs(60);

/// A task that ended again and again.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
#[error("the task {0:?} ended {MAX_FAILURES} times within {FAILURE_WINDOW:?}")]
pub struct TaskFailed(pub &'static str);

/// Runs the task that `start` returns, and starts it again whenever it ends, by a panic or not. The
/// task is aborted if this future is dropped.
///
/// # Errors
/// Returns [`TaskFailed`] if it ends too often.
pub async fn keep_running<F, T>(name: &'static str, start: F) -> TaskFailed
where
    F: Fn() -> T,
    T: Future<Output = ()> + Send + 'static,
{
    let mut ends: VecDeque<Instant> = VecDeque::new();
    loop {
        let mut task = JoinSet::new();
        task.spawn(start());
        log_end(name, task.join_next().await);
        let now = Instant::now();
        ends.retain(|&end| now - end < FAILURE_WINDOW);
        ends.push_back(now);
        if ends.len() >= MAX_FAILURES {
            return TaskFailed(name);
        }
        tokio::time::sleep(RESTART_PAUSE).await;
    }
}

fn log_end(name: &str, end: Option<Result<(), JoinError>>) {
    match end {
        Some(Err(error)) => {
            spdlog::error!("a task failed", kv: { task: = name, error: = error });
        }
        _ => spdlog::error!("a task ended that should go on", kv: { task: = name }),
    }
}

#[cfg(test)]
mod tests;
