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

const INSTRUMENTATION_SCOPE: &str = "balsampitch";

/// OpenTelemetry providers that export to a collector.
#[derive(Debug)]
struct Providers {
    traces: SdkTracerProvider,
    meters: SdkMeterProvider,
}

/// Metrics and traces of a process. Clones share the same metrics and exporters.
#[derive(Clone, Debug)]
pub struct Telemetry {
    metrics: Arc<Metrics>,
    tracer: Option<SdkTracer>,
    providers: Option<Arc<Providers>>,
    /// Keeps the Prometheus reader registered for the lifetime of the metrics.
    _scrape_provider: Option<SdkMeterProvider>,
}

/// Sets up logging, and the OTLP export if the settings have an endpoint. `process` names the
/// process in logs, metrics and traces.
///
/// # Errors
/// Returns an error if logging cannot be set up, the endpoint is malformed, or there is an endpoint
/// and the caller is outside a Tokio runtime.
pub fn init(settings: &TelemetrySettings, process: &'static str) -> anyhow::Result<Telemetry> {
    logs::init(settings.logs, process, Stream::Stderr)?;
    match &settings.otlp {
        None => Ok(Telemetry::disabled()),
        Some(endpoint) => {
            let traces = export::tracer_provider(endpoint, process)
                .with_context(|| format!("could not set up the export of traces to {endpoint}"))?;
            let meters = export::meter_provider(endpoint, process)
                .with_context(|| format!("could not set up the export of metrics to {endpoint}"))?;
            Ok(Telemetry::exporting(traces, meters))
        }
    }
}

impl Telemetry {
    /// Creates telemetry without export: metrics are collected but can only be read within the
    /// process, and there are no traces.
    pub fn disabled() -> Self {
        Telemetry {
            metrics: Arc::new(Metrics::unexported()),
            tracer: None,
            providers: None,
            _scrape_provider: None,
        }
    }

    /// Creates telemetry that exports traces and metrics through the given providers.
    pub fn exporting(traces: SdkTracerProvider, meters: SdkMeterProvider) -> Self {
        let meter: Meter = meters.meter(INSTRUMENTATION_SCOPE);
        Telemetry {
            metrics: Arc::new(Metrics::exported(&meter)),
            tracer: Some(traces.tracer(INSTRUMENTATION_SCOPE)),
            providers: Some(Arc::new(Providers { traces, meters })),
            _scrape_provider: None,
        }
    }

    /// Creates telemetry without traces, whose metrics are registered with `meters`, a provider
    /// from [`ScrapeRegistry::meter_provider`](scrape::ScrapeRegistry::meter_provider).
    pub fn scraped(meters: SdkMeterProvider) -> Self {
        let meter: Meter = meters.meter(INSTRUMENTATION_SCOPE);
        Telemetry {
            metrics: Arc::new(Metrics::exported(&meter)),
            tracer: None,
            providers: None,
            _scrape_provider: Some(meters),
        }
    }

    /// Metrics of the process.
    pub fn metrics(&self) -> &Arc<Metrics> {
        &self.metrics
    }

    /// Starts a child span of `parent`, or the root span of a new trace. If traces are not
    /// exported, the span only carries the trace context.
    pub fn span(&self, name: &'static str, parent: Option<&TraceContext>) -> Span {
        match &self.tracer {
            Some(tracer) => Span::start(tracer, name, parent),
            None => Span::disabled(parent),
        }
    }

    /// Flushes the exporters and shuts them down.
    ///
    /// # Errors
    /// Returns an error if an exporter fails or times out.
    pub async fn shutdown(&self) -> anyhow::Result<()> {
        let Some(providers) = self.providers.clone() else {
            return Ok(());
        };
        // Both shutdown calls block until the exporters have flushed.
        let shutdown = tokio::task::spawn_blocking(move || {
            let traces = providers.traces.shutdown();
            let meters = providers.meters.shutdown();
            traces.and(meters)
        });
        shutdown
            .await
            .context("the exporters' shutdown task failed")?
            .context("could not flush the exporters")
    }
}
