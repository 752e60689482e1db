//! JSON types of the platform's API and their conversions.

use std::net::SocketAddr;

use base64::Engine;
use base64::engine::general_purpose::STANDARD;
use bytes::Bytes;
use serde::{Deserialize, Serialize};

use super::{CallError, Host, HostState, Page, Record};

/// Response to an append.
#[derive(Clone, Copy, Debug, Serialize, Deserialize)]
pub struct Appended {
    /// Offset of the new record.
    pub offset: u64,
}

/// Response to a read of an expired offset.
#[derive(Clone, Copy, Debug, Serialize, Deserialize)]
pub struct Expired {
    /// Offset of the oldest record in the log.
    pub first: u64,
}

/// Response to a read.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct WirePage {
    /// Offset of the oldest record in the log.
    pub first: u64,
    /// Offset to read from next.
    pub next: u64,
    /// The records.
    pub records: Vec<WireRecord>,
}

/// A record in the response to a read.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct WireRecord {
    /// Offset of the record in the stream.
    pub offset: u64,
    /// The record's data in base64.
    pub data: String,
}

/// A host in the platform's list.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct WireHost {
    /// Address of the target's agent, as `ip:port`.
    pub host: String,
    /// Availability zone of the host.
    pub zone: String,
    /// The service that the target provides.
    pub service: String,
    /// `live` or `leaving`.
    pub state: String,
}

impl TryFrom<WirePage> for Page {
    type Error = CallError;

    fn try_from(page: WirePage) -> Result<Self, CallError> {
        let records: Result<Vec<Record>, CallError> =
            page.records.into_iter().map(Record::try_from).collect();
        let records = records?;
        let ordered = records.is_sorted_by(|a, b| a.offset < b.offset);
        let last = records.last().map_or(0, |record| record.offset + 1);
        if !ordered || page.next < last {
            return Err(CallError::Malformed("offsets out of order".to_owned()));
        }
        Ok(Page {
            first: page.first,
            next: page.next,
            records,
        })
    }
}

impl TryFrom<WireRecord> for Record {
    type Error = CallError;

    fn try_from(record: WireRecord) -> Result<Self, CallError> {
        let data = STANDARD
            .decode(&record.data)
            .map_err(|error| CallError::Malformed(format!("record {}: {error}", record.offset)))?;
        Ok(Record {
            offset: record.offset,
            data: Bytes::from(data),
        })
    }
}

impl From<&Record> for WireRecord {
    fn from(record: &Record) -> Self {
        WireRecord {
            offset: record.offset,
            data: STANDARD.encode(&record.data),
        }
    }
}

impl From<&Page> for WirePage {
    fn from(page: &Page) -> Self {
        WirePage {
            first: page.first,
            next: page.next,
            records: page.records.iter().map(WireRecord::from).collect(),
        }
    }
}

impl TryFrom<WireHost> for Host {
    type Error = CallError;

    fn try_from(host: WireHost) -> Result<Self, CallError> {
        let malformed = |what: &str| CallError::Malformed(format!("host {:?}: {what}", host.host));
        let addr: SocketAddr = host
            .host
            .parse()
            .map_err(|_| malformed("expected ip:port"))?;
        let state = match host.state.as_str() {
            "live" => HostState::Live,
            "leaving" => HostState::Leaving,
            _ => return Err(malformed("expected state live or leaving")),
        };
        Ok(Host {
            addr,
            zone: host.zone,
            service: host.service,
            state,
        })
    }
}

impl From<&Host> for WireHost {
    fn from(host: &Host) -> Self {
        let state = match host.state {
            HostState::Live => "live",
            HostState::Leaving => "leaving",
        };
        WireHost {
            host: host.addr.to_string(),
            zone: host.zone.clone(),
            service: host.service.clone(),
            state: state.to_owned(),
        }
    }
}
