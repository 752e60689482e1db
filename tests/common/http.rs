//! A small HTTP client for tests.

use std::net::SocketAddr;

use bytes::Bytes;
use http_body_util::{BodyExt, Full};
use hyper::header::HeaderMap;
use hyper::{Method, Request};
use hyper_util::client::legacy::Client;
use hyper_util::client::legacy::connect::HttpConnector;
use hyper_util::rt::TokioExecutor;
use serde_json::Value;

use super::WAIT_TIMEOUT;

/// A whole answer.
#[derive(Clone, Debug)]
pub struct Reply {
    pub status: u16,
    pub headers: HeaderMap,
    pub body: Bytes,
}

impl Reply {
    /// The body as text.
    pub fn text(&self) -> String {
        String::from_utf8_lossy(&self.body).into_owned()
    }

    /// The body as JSON.
    pub fn json(&self) -> Value {
        serde_json::from_slice(&self.body).expect("the answer is JSON")
    }
}

/// No whole answer came.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum CallError {
    /// Nothing of the answer came.
    NoResponse(String),
    /// The answer broke off.
    Truncated(String),
    /// The answer took too long.
    TimedOut,
}

/// A request to be made.
#[derive(Clone, Debug)]
pub struct Call {
    method: Method,
    path: String,
    headers: Vec<(&'static str, String)>,
    body: Bytes,
}

impl Call {
    pub fn get(path: impl Into<String>) -> Self {
        Call::new(Method::GET, path, "")
    }

    pub fn post(path: impl Into<String>, body: impl Into<Bytes>) -> Self {
        Call::new(Method::POST, path, body)
    }

    pub fn new(method: Method, path: impl Into<String>, body: impl Into<Bytes>) -> Self {
        Call {
            method,
            path: path.into(),
            headers: Vec::new(),
            body: body.into(),
        }
    }

    pub fn header(mut self, name: &'static str, value: impl Into<String>) -> Self {
        self.headers.push((name, value.into()));
        self
    }

    /// Makes the call as the holder of a client account's key.
    pub fn key(self, key: &str) -> Self {
        self.header("authorization", format!("Bearer {key}"))
    }
}

/// Makes calls; clones share their connections.
#[derive(Clone)]
pub struct Caller {
    client: Client<HttpConnector, Full<Bytes>>,
}

impl Caller {
    pub fn new() -> Self {
        Caller {
            client: Client::builder(TokioExecutor::new()).build_http(),
        }
    }

    /// Makes a call and reads the whole answer. A call that was sent is not sent again.
    pub async fn call(&self, to: SocketAddr, call: Call) -> Result<Reply, CallError> {
        tokio::time::timeout(WAIT_TIMEOUT, self.exchange(to, call))
            .await
            .unwrap_or(Err(CallError::TimedOut))
    }

    async fn exchange(&self, to: SocketAddr, call: Call) -> Result<Reply, CallError> {
        let mut request = Request::builder()
            .method(call.method)
            .uri(format!("http://{to}{}", call.path));
        for (name, value) in call.headers {
            request = request.header(name, value);
        }
        let request = request
            .body(Full::new(call.body))
            .expect("calls of tests are well formed");
        let answer = self
            .client
            .request(request)
            .await
            .map_err(|error| CallError::NoResponse(format!("{error:?}")))?;
        let (head, body) = answer.into_parts();
        let body = body
            .collect()
            .await
            .map_err(|error| CallError::Truncated(format!("{error:?}")))?;
        Ok(Reply {
            status: head.status.as_u16(),
            headers: head.headers,
            body: body.to_bytes(),
        })
    }
}
