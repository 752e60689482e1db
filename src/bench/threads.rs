//! CPU time of this process's threads, read from `/proc`.

use std::fs;
use std::time::Duration;

use anyhow::Context;

const TASK_DIR: &str = "/proc/self/task";

/// Total CPU time of all threads with this name.
///
/// # Errors
/// Returns an error if the thread list or a `schedstat` file cannot be read or parsed.
pub fn cpu_time(name: &str) -> anyhow::Result<Duration> {
    let mut total = Duration::ZERO;
    for task in fs::read_dir(TASK_DIR).context("could not list threads")? {
        let path = task?.path();
        let comm = fs::read_to_string(path.join("comm")).unwrap_or_default();
        if comm.trim_end() != name {
            continue;
        }
        let stat = fs::read_to_string(path.join("schedstat"))
            .with_context(|| format!("could not read schedstat of thread {name}"))?;
        let nanos = stat.split(' ').next().unwrap_or_default();
        total += Duration::from_nanos(
            nanos
                .trim()
                .parse()
                .context("schedstat does not start with a CPU time in nanoseconds")?,
        );
    }
    Ok(total)
}
