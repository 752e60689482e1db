//! One request from end to end, within one process.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use balsampitch::rules::{self, Table};
use balsampitch::settings::{AgentSettings, EntrySettings, TelemetrySettings};
use balsampitch::standin::{Target, TargetOptions};
use bytes::Bytes;
use http_body_util::{BodyExt, Full};
use hyper::{Request, Response};
use hyper_util::client::legacy::Client;
use hyper_util::rt::TokioExecutor;
use tokio::net::TcpListener;
use tokio::sync::watch;
use tokio_util::sync::CancellationToken;

const SECRET: &str = "a key for tests only";

async fn free() -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0")
        .await
        .expect("a port is free");
    listener
        .local_addr()
        .expect("a bound listener has an address")
}

struct Fleet {
    callers: SocketAddr,
    drain: CancellationToken,
}

impl Fleet {
    async fn start() -> Fleet {
        let text = include_str!("../examples/local.rules");
        let rules = rules::parse(text).expect("the example is right");
        let (_, table) = watch::channel(Arc::new(rules.table(&Table::default(), 1)));
        let (callers, peer, unused) = (free().await, free().await, free().await);
        let drain = CancellationToken::new();
        let entry = EntrySettings {
            listen: callers,
            peer,
            admin: unused,
            zone: "a".into(),
            entries: vec![peer],
            platform: unused,
            secret: SECRET.into(),
            telemetry: TelemetrySettings::default(),
        };
        tokio::spawn(balsampitch::entry::run(entry, table, drain.clone()));
        for service in ["model", "orders"] {
            let listener = TcpListener::bind("127.0.0.1:0")
                .await
                .expect("a port is free");
            let target = listener
                .local_addr()
                .expect("a bound listener has an address");
            let options = TargetOptions::default();
            tokio::spawn(Target::new(options).serve(listener));
            let agent = AgentSettings {
                target,
                service: service.into(),
                slots: 2,
                zone: "a".into(),
                admin: unused,
                entries: vec![peer],
                platform: unused,
                secret: SECRET.into(),
                telemetry: TelemetrySettings::default(),
            };
            tokio::spawn(balsampitch::agent::run(agent, drain.clone()));
        }
        tokio::time::sleep(Duration::from_millis(100)).await;
        Fleet { callers, drain }
    }

    async fn call(&self, key: &str, path: &str, body: &str) -> (u16, String, bool) {
        let client: Client<_, Full<Bytes>> = Client::builder(TokioExecutor::new()).build_http();
        let request = Request::post(format!("http://{}{path}", self.callers))
            .header("authorization", format!("Bearer {key}"))
            .body(Full::from(body.to_owned()))
            .expect("the request is well formed");
        let response: Response<_> = client.request(request).await.expect("the entry answers");
        let named = response.headers().contains_key("x-request-id");
        let status = response.status().as_u16();
        let body = response
            .into_body()
            .collect()
            .await
            .expect("the answer is whole")
            .to_bytes();
        (
            status,
            String::from_utf8(body.to_vec()).expect("the answer is text"),
            named,
        )
    }
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
                let (status, body, named) = fleet.call($key, $path, $body).await;
                assert_eq!(status, $status, "{body}");
                assert!(body.contains($part), "{body}");
                assert!(named);
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
