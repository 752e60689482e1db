//! HTTP client of the platform's log and host list.

use std::net::SocketAddr;
use std::time::Duration;

use bytes::Bytes;
use hyper::StatusCode;
use serde_json::value::RawValue;

use super::http::{CallLimits, HttpClient};
use super::wire::{Appended, Expired, WireHost, WirePage};
use super::{AppendError, CallError, Host, Hosts, Log, Page, ReadError, Stream};

/// Timeout of a call. For a read, it is added to the time that the read may wait for a record.
pub const CALL_TIMEOUT: Duration = Duration::from_secs(5);
/// Maximum size of the response to an append, in bytes.
pub const MAX_APPEND_RESPONSE_BYTES: usize = 4 * 1024;
/// Maximum size of the response to a read, in bytes.
pub const MAX_READ_RESPONSE_BYTES: usize = 16 * 1024 * 1024;
/// Maximum size of the host list, in bytes.
pub const MAX_HOSTS_RESPONSE_BYTES: usize = 4 * 1024 * 1024;

/// A client of the platform. Clones share connections.
#[derive(Clone, Debug)]
pub struct Client {
    http: HttpClient,
}

impl Client {
    /// Creates a client of the platform at this address.
    pub fn new(addr: SocketAddr) -> Self {
        Client {
            http: HttpClient::new(addr),
        }
    }
}

impl Log for Client {
    async fn append(&self, stream: Stream, data: Bytes) -> Result<u64, AppendError> {
        let path = format!("/log/{}", stream.0);
        let limits = CallLimits {
            timeout: CALL_TIMEOUT,
            max_response: MAX_APPEND_RESPONSE_BYTES,
        };
        let response = self.http.post(&path, data, limits).await?;
        let appended: Appended = response.json()?;
        Ok(appended.offset)
    }

    async fn read(&self, stream: Stream, from: u64, wait: Duration) -> Result<Page, ReadError> {
        let path = format!("/log/{}?from={from}&wait_ms={}", stream.0, wait.as_millis());
        let limits = CallLimits {
            timeout: wait + CALL_TIMEOUT,
            max_response: MAX_READ_RESPONSE_BYTES,
        };
        let response = self.http.get(&path, limits).await?;
        if response.status == StatusCode::GONE {
            let Expired { first } = response.decode()?;
            return Err(ReadError::Expired { first });
        }
        let page: WirePage = response.json()?;
        Ok(Page::try_from(page)?)
    }
}

/// Reads a row of the host list; logs and leaves out one that cannot be read.
fn read_host(row: &RawValue) -> Option<Host> {
    let host = serde_json::from_str::<WireHost>(row.get());
    let host = host.map_err(|error| CallError::Malformed(error.to_string()));
    match host.and_then(Host::try_from) {
        Ok(host) => Some(host),
        Err(error) => {
            spdlog::warn!("left out a host that cannot be read", kv: { error: = error });
            None
        }
    }
}

impl Hosts for Client {
    async fn hosts(&self) -> Result<Vec<Host>, ReadError> {
        let limits = CallLimits {
            timeout: CALL_TIMEOUT,
            max_response: MAX_HOSTS_RESPONSE_BYTES,
        };
        let response = self.http.get("/hosts", limits).await?;
        let rows: Vec<Box<RawValue>> = response.json()?;
        Ok(rows.iter().filter_map(|row| read_host(row)).collect())
    }
}
