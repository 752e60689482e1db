//! OTLP/HTTP exporters for traces and metrics.

use std::pin::pin;
use std::time::Duration;

use anyhow::Context;
use hyper::Uri;
use opentelemetry_otlp::{MetricExporter, Protocol, SpanExporter, WithExportConfig};
use opentelemetry_sdk::Resource;
use opentelemetry_sdk::error::OTelSdkResult;
use opentelemetry_sdk::metrics::data::ResourceMetrics;
use opentelemetry_sdk::metrics::exporter::PushMetricExporter;
use opentelemetry_sdk::metrics::{PeriodicReader, SdkMeterProvider, Temporality};
use opentelemetry_sdk::runtime;
use opentelemetry_sdk::trace::SdkTracerProvider;
use opentelemetry_sdk::trace::span_processor_with_async_runtime::BatchSpanProcessor;
use tokio::runtime::Handle;

/// Timeout of one export request.
const EXPORT_TIMEOUT: Duration = Duration::from_secs(3);
/// Interval between metric exports.
const METRICS_INTERVAL: Duration = Duration::from_secs(15);

/// Builds a tracer provider that exports spans in batches.
///
/// # Errors
/// Returns an error if the endpoint is malformed or the caller is outside a Tokio runtime.
pub fn tracer_provider(endpoint: &str, process: &'static str) -> anyhow::Result<SdkTracerProvider> {
    Handle::try_current().context("not called from within a Tokio runtime")?;
    let exporter = SpanExporter::builder()
        .with_http()
        .with_protocol(Protocol::HttpBinary)
        .with_endpoint(signal_url(endpoint, "traces")?)
        .with_timeout(EXPORT_TIMEOUT)
        .build()
        .context("could not build the OTLP span exporter")?;
    let processor = BatchSpanProcessor::builder(exporter, runtime::Tokio).build();
    Ok(SdkTracerProvider::builder()
        .with_span_processor(processor)
        .with_resource(resource(process))
        .build())
}

/// Builds a meter provider that exports metrics every `METRICS_INTERVAL`.
///
/// # Errors
/// Returns an error if the endpoint is malformed or the caller is outside a Tokio runtime.
pub fn meter_provider(endpoint: &str, process: &'static str) -> anyhow::Result<SdkMeterProvider> {
    let handle = Handle::try_current().context("not called from within a Tokio runtime")?;
    let exporter = MetricExporter::builder()
        .with_http()
        .with_protocol(Protocol::HttpBinary)
        .with_endpoint(signal_url(endpoint, "metrics")?)
        .with_timeout(EXPORT_TIMEOUT)
        .build()
        .context("could not build the OTLP metric exporter")?;
    let reader = PeriodicReader::builder(RuntimeExporter { exporter, handle })
        .with_interval(METRICS_INTERVAL)
        .build();
    Ok(SdkMeterProvider::builder()
        .with_reader(reader)
        .with_resource(resource(process))
        .build())
}

fn resource(process: &'static str) -> Resource {
    Resource::builder().with_service_name(process).build()
}

/// Returns the URL that receives `signal` (`traces` or `metrics`) at an OTLP endpoint.
fn signal_url(endpoint: &str, signal: &str) -> anyhow::Result<String> {
    let uri: Uri = endpoint
        .parse()
        .context("could not parse the OTLP endpoint")?;
    let is_bare = uri.path() == "/" && uri.query().is_none();
    anyhow::ensure!(
        uri.scheme_str() == Some("http") && is_bare,
        "the OTLP endpoint must be http://ip:port"
    );
    Ok(format!("{}/v1/{signal}", endpoint.trim_end_matches('/')))
}

/// Polls the inner exporter inside a Tokio runtime.
///
/// The periodic reader exports from its own thread, which has no runtime for the HTTP client.
struct RuntimeExporter {
    exporter: MetricExporter,
    handle: Handle,
}

impl PushMetricExporter for RuntimeExporter {
    async fn export(&self, metrics: &ResourceMetrics) -> OTelSdkResult {
        let mut export = pin!(self.exporter.export(metrics));
        std::future::poll_fn(|cx| {
            let _guard = self.handle.enter();
            export.as_mut().poll(cx)
        })
        .await
    }

    fn force_flush(&self) -> OTelSdkResult {
        self.exporter.force_flush()
    }

    fn shutdown_with_timeout(&self, timeout: Duration) -> OTelSdkResult {
        self.exporter.shutdown_with_timeout(timeout)
    }

    fn temporality(&self) -> Temporality {
        self.exporter.temporality()
    }
}
