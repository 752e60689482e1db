//! Metrics as text, for those who fetch them.

use anyhow::Context;
use opentelemetry_sdk::metrics::SdkMeterProvider;
use prometheus::{Registry, TextEncoder};

/// Media type of the text.
pub const CONTENT_TYPE: &str = "text/plain; version=0.0.4";

/// The metrics of a process, to be fetched as text. Clones share them.
#[derive(Clone, Debug, Default)]
pub struct ScrapeRegistry {
    registry: Registry,
}

impl ScrapeRegistry {
    /// A provider of meters whose metrics are in the text.
    ///
    /// # Errors
    /// When the exporter cannot be built.
    pub fn meter_provider(&self) -> anyhow::Result<SdkMeterProvider> {
        let exporter = opentelemetry_prometheus::exporter()
            .with_registry(self.registry.clone())
            .without_target_info()
            .build()
            .context("could not export metrics as text")?;
        Ok(SdkMeterProvider::builder().with_reader(exporter).build())
    }

    /// The metrics as they stand now.
    ///
    /// # Errors
    /// When a metric cannot be encoded.
    pub fn encode(&self) -> anyhow::Result<String> {
        let families = self.registry.gather();
        TextEncoder::new()
            .encode_to_string(&families)
            .context("could not encode the metrics")
    }
}
