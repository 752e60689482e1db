//! Export of telemetry to a collector over HTTP.

use std::convert::Infallible;
use std::time::Duration;

use balsampitch::settings::{LogForm, TelemetrySettings};
use balsampitch::telemetry::{self, Outcome};
use bytes::Bytes;
use http_body_util::{BodyExt, Full};
use hyper::body::Incoming;
use hyper::server::conn::http1;
use hyper::service::service_fn;
use hyper::{Request, Response};
use hyper_util::rt::TokioIo;
use tokio::net::TcpListener;
use tokio::sync::mpsc;

/// Longest wait for an export that must come.
const PATIENCE: Duration = Duration::from_secs(30);

struct Export {
    path: String,
    body: Bytes,
}

async fn collect(listener: TcpListener, exports: mpsc::UnboundedSender<Export>) {
    loop {
        let (socket, _) = listener.accept().await.expect("the listener accepts");
        let exports = exports.clone();
        let service = service_fn(move |request: Request<Incoming>| {
            let exports = exports.clone();
            async move {
                let path = request.uri().path().to_owned();
                let body = request.into_body().collect().await;
                let body = body.expect("an export arrives whole").to_bytes();
                let _ = exports.send(Export { path, body });
                Ok::<_, Infallible>(Response::new(Full::<Bytes>::default()))
            }
        });
        tokio::spawn(http1::Builder::new().serve_connection(TokioIo::new(socket), service));
    }
}

fn holds(export: &Export, text: &str) -> bool {
    let mut windows = export.body.windows(text.len());
    windows.any(|window| window == text.as_bytes())
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn traces_and_metrics_reach_the_collector() {
    let listener = TcpListener::bind("127.0.0.1:0")
        .await
        .expect("loopback binds");
    let address = listener
        .local_addr()
        .expect("a bound socket has an address");
    let (sender, mut exports) = mpsc::unbounded_channel();
    let collector = tokio::spawn(collect(listener, sender));

    let settings = TelemetrySettings {
        logs: LogForm::Json,
        otlp: Some(format!("http://{address}")),
    };
    let telemetry = telemetry::init(&settings, "balsampitch-test").expect("the settings are good");
    drop(telemetry.span("entry", None));
    telemetry.metrics().request(Outcome::Whole);
    telemetry
        .shutdown()
        .await
        .expect("the collector takes everything");

    let (mut traces, mut metrics) = (false, false);
    while !(traces && metrics) {
        let export = tokio::time::timeout(PATIENCE, exports.recv())
            .await
            .expect("traces and metrics are exported in time")
            .expect("the collector runs");
        assert!(holds(&export, "balsampitch-test"));
        match export.path.as_str() {
            "/v1/traces" => traces |= holds(&export, "entry"),
            "/v1/metrics" => metrics |= holds(&export, "balsampitch.requests"),
            path => panic!("an export came to {path}"),
        }
    }
    collector.abort();
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
    endpoint_is_no_address: "not an address",
    endpoint_without_scheme: "127.0.0.1:4318",
    endpoint_with_path: "http://127.0.0.1:4318/v1/traces",
    endpoint_with_tls: "https://127.0.0.1:4318",
}
