//! Runs a process until a signal asks it to stop.

use std::future::Future;

use anyhow::Context;
use tokio::runtime::Builder;
use tokio::signal::unix::{SignalKind, signal};
use tokio_util::sync::CancellationToken;

/// Runs a service on a runtime of its own, with a thread for each core. SIGTERM or SIGINT cancels
/// the token it is given; the service then finishes what it has and returns.
///
/// # Errors
/// When the runtime or the signal handlers cannot be set up, or the service fails.
pub fn block_on<F, R>(service: F) -> anyhow::Result<()>
where
    F: FnOnce(CancellationToken) -> R,
    R: Future<Output = anyhow::Result<()>>,
{
    on(Builder::new_multi_thread(), service)
}

/// As [`block_on`], on one thread: for hosts that give the process a part of one core.
///
/// # Errors
/// As [`block_on`].
pub fn block_on_one<F, R>(service: F) -> anyhow::Result<()>
where
    F: FnOnce(CancellationToken) -> R,
    R: Future<Output = anyhow::Result<()>>,
{
    on(Builder::new_current_thread(), service)
}

fn on<F, R>(mut builder: Builder, service: F) -> anyhow::Result<()>
where
    F: FnOnce(CancellationToken) -> R,
    R: Future<Output = anyhow::Result<()>>,
{
    let runtime = builder
        .enable_all()
        .build()
        .context("could not start the runtime")?;
    runtime.block_on(async {
        let drain = CancellationToken::new();
        let mut term = signal(SignalKind::terminate()).context("could not watch for SIGTERM")?;
        let mut int = signal(SignalKind::interrupt()).context("could not watch for SIGINT")?;
        let stop = drain.clone();
        tokio::spawn(async move {
            tokio::select! {
                _ = term.recv() => {}
                _ = int.recv() => {}
            }
            stop.cancel();
        });
        service(drain).await
    })
}
