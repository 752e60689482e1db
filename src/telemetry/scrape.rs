//! Metrics in the Prometheus text format, for scraping.

use anyhow::Context;
use opentelemetry_sdk::metrics::SdkMeterProvider;
use prometheus::{Registry, TextEncoder};

/// Media type of the Prometheus text format.
pub const CONTENT_TYPE: &str = "text/plain; version=0.0.4";

/// Prometheus registry of a process. Clones share the registry.
#[derive(Clone, Debug, Default)]
pub struct ScrapeRegistry {
    registry: Registry,
}

impl ScrapeRegistry {
    /// Builds a meter provider whose metrics are registered in this registry.
    ///
    /// # Errors
    /// Returns an error if the exporter cannot be built.
    pub fn meter_provider(&self) -> anyhow::Result<SdkMeterProvider> {
        let exporter = opentelemetry_prometheus::exporter()
            .with_registry(self.registry.clone())
            .without_target_info()
            .build()
            .context("could not build the Prometheus exporter")?;
        Ok(SdkMeterProvider::builder().with_reader(exporter).build())
    }

    /// Encodes the current metrics in the text format.
    ///
    /// # Errors
    /// Returns an error if a metric cannot be encoded.
    pub fn encode(&self) -> anyhow::Result<String> {
        let families = self.registry.gather();
        TextEncoder::new()
            .encode_to_string(&families)
            .context("could not encode the metrics")
    }
}
