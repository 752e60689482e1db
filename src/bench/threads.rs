//! Processor time of this process's threads, from the kernel's accounts.

use std::fs;
use std::time::Duration;

use anyhow::Context;

const TASKS: &str = "/proc/self/task";

/// Processor time of all threads of this name.
///
/// # Errors
/// When the kernel's accounts cannot be read.
pub fn busy(name: &str) -> anyhow::Result<Duration> {
    let mut total = Duration::ZERO;
    for task in fs::read_dir(TASKS).context("could not list threads")? {
        let path = task?.path();
        let comm = fs::read_to_string(path.join("comm")).unwrap_or_default();
        if comm.trim_end() != name {
            continue;
        }
        let stat = fs::read_to_string(path.join("schedstat"))
            .with_context(|| format!("could not read the account of {name}"))?;
        let nanos = stat.split(' ').next().unwrap_or_default();
        total += Duration::from_nanos(nanos.trim().parse().context("no number of ns")?);
    }
    Ok(total)
}
