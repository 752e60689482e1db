//! A collector of telemetry.

use std::convert::Infallible;
use std::net::SocketAddr;

use bytes::Bytes;
use http_body_util::{BodyExt, Full};
use hyper::body::Incoming;
use hyper::server::conn::http1;
use hyper::service::service_fn;
use hyper::{Request, Response};
use hyper_util::rt::TokioIo;
use tokio::net::TcpListener;
use tokio::sync::mpsc;
use tokio::task::JoinHandle;

/// What one export brought.
pub struct Export {
    pub path: String,
    pub body: Bytes,
}

impl Export {
    /// Whether the text is anywhere in it.
    pub fn contains(&self, text: &str) -> bool {
        let mut windows = self.body.windows(text.len());
        windows.any(|window| window == text.as_bytes())
    }
}

/// A collector on the loopback address; it ends when dropped.
pub struct Collector {
    pub address: SocketAddr,
    pub exports: mpsc::UnboundedReceiver<Export>,
    task: JoinHandle<()>,
}

impl Collector {
    /// Starts one.
    pub async fn start() -> Self {
        let listener = TcpListener::bind("127.0.0.1:0").await;
        let listener = listener.expect("loopback binds");
        let address = listener.local_addr();
        let (sender, exports) = mpsc::unbounded_channel();
        Collector {
            address: address.expect("a bound socket has an address"),
            exports,
            task: tokio::spawn(collect(listener, sender)),
        }
    }
}

impl Drop for Collector {
    fn drop(&mut self) {
        self.task.abort();
    }
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
