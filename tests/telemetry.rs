//! OTLP export to a collector over HTTP.

mod common;

use std::time::Duration;

use balsampitch::settings::{LogFormat, TelemetrySettings};
use balsampitch::telemetry::{self, Outcome};
use common::collector::Collector;

const EXPORT_TIMEOUT: Duration = Duration::from_secs(30);

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn traces_and_metrics_reach_the_collector() {
    let mut collector = Collector::start().await;
    let settings = TelemetrySettings {
        logs: LogFormat::Json,
        otlp: Some(format!("http://{}", collector.address)),
    };
    let telemetry = telemetry::init(&settings, "balsampitch-test").expect("the settings are valid");
    drop(telemetry.span("entry", None));
    telemetry.metrics().record_outcome(Outcome::Whole);
    telemetry
        .shutdown()
        .await
        .expect("the collector accepts all exports");

    let (mut traces, mut metrics) = (false, false);
    while !(traces && metrics) {
        let export = tokio::time::timeout(EXPORT_TIMEOUT, collector.exports.recv())
            .await
            .expect("traces and metrics are exported within the timeout")
            .expect("the collector runs");
        assert!(export.contains("balsampitch-test"));
        match export.path.as_str() {
            "/v1/traces" => traces |= export.contains("entry"),
            "/v1/metrics" => metrics |= export.contains("balsampitch.requests"),
            path => panic!("unexpected export to {path}"),
        }
    }
}

macro_rules! bad_endpoints {
    ($($name:ident: $endpoint:literal,)+) => {
        $(
            #[tokio::test]
            async fn $name() {
                let otlp = Some($endpoint.into());
                let settings = TelemetrySettings { otlp, ..Default::default() };
                assert!(telemetry::init(&settings, "balsampitch-test").is_err());
            }
        )+
    };
}

bad_endpoints! {
    endpoint_is_not_an_address: "not an address",
    endpoint_without_scheme: "127.0.0.1:4318",
    endpoint_with_path: "http://127.0.0.1:4318/v1/traces",
    endpoint_with_tls: "https://127.0.0.1:4318",
}
