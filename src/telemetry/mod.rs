//! Logs, metrics and traces.

pub mod export;
pub mod latency;
pub mod logs;
pub mod metrics;
pub mod scrape;
pub mod trace;

#[cfg(test)]
mod tests;

use std::sync::Arc;

use anyhow::Context;
use opentelemetry::metrics::{Meter, MeterProvider};
use opentelemetry::trace::TracerProvider;
use opentelemetry_sdk::metrics::SdkMeterProvider;
use opentelemetry_sdk::trace::{SdkTracer, SdkTracerProvider};

use crate::settings::TelemetrySettings;
use crate::telemetry::logs::Stream;

pub use metrics::{Event, Gauge, Metrics, Outcome};
pub use trace::{Span, TraceContext};

/// Name of the instrumentation scope.
const SCOPE: &str = "balsampitch";

/// Providers that export, when settings ask for it.
#[derive(Debug)]
struct Providers {
    traces: SdkTracerProvider,
    meters: SdkMeterProvider,
}

/// A process's metrics and traces. Clones share them.
#[derive(Clone, Debug)]
pub struct Telemetry {
    metrics: Arc<Metrics>,
    tracer: Option<SdkTracer>,
    providers: Option<Arc<Providers>>,
    /// Kept alive while metrics are fetched as text.
    _meters: Option<SdkMeterProvider>,
}

/// Sets up logs, and export when the settings name an endpoint. `process` names the process in
/// logs and telemetry.
///
/// # Errors
/// When logs cannot be set up, the endpoint is malformed, or there is an endpoint and no runtime.
pub fn init(settings: &TelemetrySettings, process: &'static str) -> anyhow::Result<Telemetry> {
    logs::init(settings.logs, process, Stream::Stderr)?;
    match &settings.otlp {
        None => Ok(Telemetry::disabled()),
        Some(endpoint) => {
            let traces = export::traces(endpoint, process)
                .with_context(|| format!("could not export traces to {endpoint}"))?;
            let meters = export::meters(endpoint, process)
                .with_context(|| format!("could not export metrics to {endpoint}"))?;
            Ok(Telemetry::exporting(traces, meters))
        }
    }
}

impl Telemetry {
    /// Counts within the process and exports nothing.
    pub fn disabled() -> Self {
        Telemetry {
            metrics: Arc::new(Metrics::unexported()),
            tracer: None,
            providers: None,
            _meters: None,
        }
    }

    /// Exports through the given providers.
    pub fn exporting(traces: SdkTracerProvider, meters: SdkMeterProvider) -> Self {
        let meter: Meter = meters.meter(SCOPE);
        Telemetry {
            metrics: Arc::new(Metrics::exported(&meter)),
            tracer: Some(traces.tracer(SCOPE)),
            providers: Some(Arc::new(Providers { traces, meters })),
            _meters: None,
        }
    }

    /// Counts for those who fetch the metrics as text.
    pub fn scraped(meters: SdkMeterProvider) -> Self {
        let meter: Meter = meters.meter(SCOPE);
        Telemetry {
            metrics: Arc::new(Metrics::exported(&meter)),
            tracer: None,
            providers: None,
            _meters: Some(meters),
        }
    }

    /// The process's counters and latencies.
    pub fn metrics(&self) -> &Arc<Metrics> {
        &self.metrics
    }

    /// Starts a span below `parent`, or the first span of a new trace.
    pub fn span(&self, name: &'static str, parent: Option<&TraceContext>) -> Span {
        match &self.tracer {
            Some(tracer) => Span::start(tracer, name, parent),
            None => Span::disabled(parent),
        }
    }

    /// Exports what is left, then stops exporting.
    ///
    /// # Errors
    /// When an exporter fails or takes too long.
    pub async fn shutdown(&self) -> anyhow::Result<()> {
        let Some(providers) = self.providers.clone() else {
            return Ok(());
        };
        // Both calls block until the exporters are done.
        let stopping = tokio::task::spawn_blocking(move || {
            let traces = providers.traces.shutdown();
            let meters = providers.meters.shutdown();
            traces.and(meters)
        });
        stopping
            .await
            .context("could not wait for the exporters")?
            .context("could not export what was left")
    }
}
