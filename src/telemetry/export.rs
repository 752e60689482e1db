//! Export of traces and metrics by OTLP over HTTP.

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

/// Time for one export.
const EXPORT_TIMEOUT: Duration = Duration::from_secs(3);
/// Time between two exports of metrics.
const METRICS_INTERVAL: Duration = Duration::from_secs(15);

/// A provider that exports spans in batches.
///
/// # Errors
/// When the endpoint is malformed or no runtime is there.
pub fn traces(endpoint: &str, process: &'static str) -> anyhow::Result<SdkTracerProvider> {
    Handle::try_current().context("could not find the runtime")?;
    let exporter = SpanExporter::builder()
        .with_http()
        .with_protocol(Protocol::HttpBinary)
        .with_endpoint(signal_url(endpoint, "traces")?)
        .with_timeout(EXPORT_TIMEOUT)
        .build()
        .context("could not build the exporter")?;
    let processor = BatchSpanProcessor::builder(exporter, runtime::Tokio).build();
    Ok(SdkTracerProvider::builder()
        .with_span_processor(processor)
        .with_resource(resource(process))
        .build())
}

/// A provider that exports metrics at intervals.
///
/// # Errors
/// When the endpoint is malformed or no runtime is there.
pub fn meters(endpoint: &str, process: &'static str) -> anyhow::Result<SdkMeterProvider> {
    let handle = Handle::try_current().context("could not find the runtime")?;
    let exporter = MetricExporter::builder()
        .with_http()
        .with_protocol(Protocol::HttpBinary)
        .with_endpoint(signal_url(endpoint, "metrics")?)
        .with_timeout(EXPORT_TIMEOUT)
        .build()
        .context("could not build the exporter")?;
    let reader = PeriodicReader::builder(WithinRuntime { exporter, handle })
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

/// Address of one kind of telemetry below an endpoint.
fn signal_url(endpoint: &str, signal: &str) -> anyhow::Result<String> {
    let uri: Uri = endpoint.parse().context("could not parse the endpoint")?;
    let bare = uri.path() == "/" && uri.query().is_none();
    anyhow::ensure!(
        uri.scheme_str() == Some("http") && bare,
        "the endpoint must be http://ip:port"
    );
    Ok(format!("{}/v1/{signal}", endpoint.trim_end_matches('/')))
}

/// Runs an exporter's calls within the runtime: the periodic reader polls them on a thread of its
/// own, where the HTTP client would find none.
struct WithinRuntime {
    exporter: MetricExporter,
    handle: Handle,
}

impl PushMetricExporter for WithinRuntime {
    async fn export(&self, metrics: &ResourceMetrics) -> OTelSdkResult {
        let mut exporting = pin!(self.exporter.export(metrics));
        std::future::poll_fn(|cx| {
            let _entered = self.handle.enter();
            exporting.as_mut().poll(cx)
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
