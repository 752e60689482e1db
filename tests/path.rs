//! One request from end to end, within one process.

use std::net::{Ipv4Addr, SocketAddr};
use std::time::Duration;

use balsampitch::local::{self, LocalOptions};
use bytes::Bytes;
use http_body_util::{BodyExt, Full};
use hyper::Request;
use hyper_util::client::legacy::Client;
use hyper_util::client::legacy::connect::HttpConnector;
use hyper_util::rt::TokioExecutor;
use tokio::net::TcpListener;
use tokio_util::sync::CancellationToken;

type Http = Client<HttpConnector, Full<Bytes>>;

async fn free_port() -> u16 {
    let listener = TcpListener::bind("127.0.0.1:0")
        .await
        .expect("a port is free");
    listener
        .local_addr()
        .expect("a bound listener has an address")
        .port()
}

struct Fleet {
    callers: SocketAddr,
    http: Http,
    drain: CancellationToken,
}

impl Fleet {
    async fn start() -> Fleet {
        let options = LocalOptions {
            port: free_port().await,
            admin: free_port().await,
            entries: 1,
            targets: 1,
            slots: 2,
        };
        let drain = CancellationToken::new();
        tokio::spawn(local::run(options, drain.clone()));
        let callers = (Ipv4Addr::LOCALHOST, options.port).into();
        let fleet = Fleet {
            callers,
            http: http(),
            drain,
        };
        fleet.ready(options.admin).await;
        fleet
    }

    async fn ready(&self, admin: u16) {
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
        let response = self.http.request(request).await.expect("the entry answers");
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
