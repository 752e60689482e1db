//! Requests through a fleet that runs within the test process.

use std::net::{Ipv4Addr, SocketAddr};
use std::sync::Arc;
use std::sync::atomic::{AtomicU16, Ordering};
use std::time::Duration;

use balsampitch::local::{self, LocalOptions};
use balsampitch::telemetry::{Telemetry, TraceContext};
use bytes::Bytes;
use http_body_util::{BodyExt, Full};
use hyper::Request;
use hyper_util::client::legacy::Client;
use hyper_util::client::legacy::connect::HttpConnector;
use hyper_util::rt::TokioExecutor;
use opentelemetry_sdk::metrics::SdkMeterProvider;
use opentelemetry_sdk::trace::{InMemorySpanExporter, SdkTracerProvider};
use tokio::net::TcpListener;
use tokio::task::JoinSet;
use tokio_util::sync::CancellationToken;

/// Trace flag of a sampled trace.
const SAMPLED: u8 = 1;

type Http = Client<HttpConnector, Full<Bytes>>;

/// Next port to hand out; each is handed out once. The first is below the range of ephemeral ports,
/// so that outgoing connections do not take them.
static NEXT_PORT: AtomicU16 = AtomicU16::new(21_000);

async fn free_port() -> u16 {
    loop {
        let port = NEXT_PORT.fetch_add(1, Ordering::Relaxed);
        if TcpListener::bind((Ipv4Addr::LOCALHOST, port)).await.is_ok() {
            return port;
        }
    }
}

struct Fleet {
    callers: SocketAddr,
    http: Http,
    drain: CancellationToken,
}

impl Fleet {
    async fn start() -> Fleet {
        Fleet::start_with(Telemetry::disabled()).await
    }

    async fn start_with(telemetry: Telemetry) -> Fleet {
        let options = LocalOptions {
            port: free_port().await,
            admin: free_port().await,
            entries: 1,
            targets: 1,
            slots: 2,
        };
        let drain = CancellationToken::new();
        let running = local::run_with(options, telemetry, drain.clone());
        tokio::spawn(async move { running.await.expect("the fleet runs") });
        let callers = (Ipv4Addr::LOCALHOST, options.port).into();
        let fleet = Fleet {
            callers,
            http: http(),
            drain,
        };
        fleet.await_ready(options.admin).await;
        fleet
    }

    async fn await_ready(&self, admin: u16) {
        let uri: hyper::Uri = format!("http://127.0.0.1:{admin}/readyz")
            .parse()
            .expect("the address is a URI");
        for _ in 0..500 {
            if self
                .http
                .get(uri.clone())
                .await
                .is_ok_and(|r| r.status() == 200)
            {
                return;
            }
            tokio::time::sleep(Duration::from_millis(20)).await;
        }
        panic!("the entry is not ready");
    }

    async fn call(&self, key: &str, path: &str, body: &str) -> (u16, String, bool) {
        let request = Request::post(format!("http://{}{path}", self.callers))
            .header("authorization", format!("Bearer {key}"))
            .body(Full::from(body.to_owned()))
            .expect("the request is well formed");
        let response = self
            .http
            .request(request)
            .await
            .expect("the entry responds");
        let has_id = response.headers().contains_key("x-request-id");
        let status = response.status().as_u16();
        let body = response
            .into_body()
            .collect()
            .await
            .expect("the response is complete")
            .to_bytes();
        (
            status,
            String::from_utf8(body.to_vec()).expect("the response is text"),
            has_id,
        )
    }
}

fn http() -> Http {
    Client::builder(TokioExecutor::new()).build_http()
}

impl Drop for Fleet {
    fn drop(&mut self) {
        self.drain.cancel();
    }
}

macro_rules! calls {
    ($($name:ident: $key:expr, $path:expr, $body:expr => $status:expr, $part:expr;)*) => {
        $(
            #[tokio::test]
            async fn $name() {
                let fleet = Fleet::start().await;
                let (status, body, has_id) = fleet.call($key, $path, $body).await;
                assert_eq!(status, $status, "{body}");
                assert!(body.contains($part), "{body}");
                assert!(has_id);
            }
        )*
    };
}

calls! {
    echoes_through_the_model: "school-key", "/model/run?ms=5", "hello" => 200, "hello";
    runs_an_order: "club-key", "/orders/run?ms=5", "order 1" => 200, "order 1";
    streams: "school-key", "/model/stream?chunks=5&ms=2", "piece" => 200, "piece";
    answers_many_bytes: "school-key", "/model/run?ms=1&bytes=3000000", "" => 200, "";
    refuses_a_wrong_key: "wrong", "/model/run", "" => 401, "not_run";
    refuses_an_unknown_service: "school-key", "/nothing/run", "" => 404, "not_run";
    refuses_a_large_body: "school-key", "/model/run", &"x".repeat(2_000_000) => 413, "not_run";
}

#[tokio::test]
async fn one_trace_has_a_span_for_each_hop() {
    let spans = InMemorySpanExporter::default();
    let tracer = SdkTracerProvider::builder()
        .with_simple_exporter(spans.clone())
        .build();
    let meters = SdkMeterProvider::builder().build();
    let fleet = Fleet::start_with(Telemetry::exporting(tracer, meters)).await;
    let caller = TraceContext {
        flags: SAMPLED,
        ..TraceContext::random()
    };
    let request = Request::post(format!("http://{}/model/headers", fleet.callers))
        .header("authorization", "Bearer school-key")
        .header("traceparent", caller.to_string())
        .body(Full::default())
        .expect("the request is well formed");
    let response = fleet
        .http
        .request(request)
        .await
        .expect("the entry responds");
    let seen = response
        .into_body()
        .collect()
        .await
        .expect("the response is complete")
        .to_bytes();
    let seen = String::from_utf8(seen.to_vec()).expect("the response is text");
    let trace = format!("{:032x}", caller.trace);
    assert!(
        seen.contains(&format!("traceparent: 00-{trace}-")),
        "{seen}"
    );

    let mut names: Vec<String> = Vec::new();
    for _ in 0..100 {
        let ended = spans.get_finished_spans().expect("spans are kept");
        let own = ended
            .iter()
            .filter(|s| s.span_context.trace_id().to_string() == trace);
        names = own.map(|s| s.name.to_string()).collect();
        if names.len() >= 4 {
            break;
        }
        tokio::time::sleep(Duration::from_millis(20)).await;
    }
    names.sort();
    assert_eq!(names, ["agent", "entry", "queue", "target"]);
}

#[tokio::test]
async fn a_drain_finishes_waiting_requests() {
    let fleet = Arc::new(Fleet::start().await);
    let mut calls = JoinSet::new();
    for _ in 0..6 {
        let fleet = fleet.clone();
        calls.spawn(async move { fleet.call("school-key", "/model/run?ms=200", "a").await });
    }
    // By now two of the requests run and four wait.
    tokio::time::sleep(Duration::from_millis(100)).await;
    fleet.drain.cancel();
    while let Some(response) = calls.join_next().await {
        let (status, body, _) = response.expect("a call does not panic");
        assert_eq!(status, 200, "{body}");
    }
}
