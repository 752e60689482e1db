//! Runs a service until a signal shuts it down.

use std::future::Future;

use anyhow::Context;
use tokio::runtime::Builder;
use tokio::signal::unix::{SignalKind, signal};
use tokio_util::sync::CancellationToken;

/// Runs a service on a new runtime with one worker thread per core. SIGTERM or SIGINT cancels the
/// token passed to the service, which then drains and returns.
///
/// # Errors
/// Returns an error if the runtime or the signal handlers cannot be set up, or if the service
/// fails.
pub fn block_on<F, R>(service: F) -> anyhow::Result<()>
where
    F: FnOnce(CancellationToken) -> R,
    R: Future<Output = anyhow::Result<()>>,
{
    run_on(Builder::new_multi_thread(), service)
}

/// Same as [`block_on`], on a single thread, for hosts that grant the process only part of a core.
///
/// # Errors
/// Returns an error in the same cases as [`block_on`].
pub fn block_on_current_thread<F, R>(service: F) -> anyhow::Result<()>
where
    F: FnOnce(CancellationToken) -> R,
    R: Future<Output = anyhow::Result<()>>,
{
    run_on(Builder::new_current_thread(), service)
}

fn run_on<F, R>(mut builder: Builder, service: F) -> anyhow::Result<()>
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
        let mut term =
            signal(SignalKind::terminate()).context("could not install the SIGTERM handler")?;
        let mut int =
            signal(SignalKind::interrupt()).context("could not install the SIGINT handler")?;
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
