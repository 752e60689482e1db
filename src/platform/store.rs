//! Calls to the platform's store.

use std::net::SocketAddr;
use std::time::Duration;

use base64::Engine;
use base64::prelude::BASE64_STANDARD;
use bytes::Bytes;
use hyper::StatusCode;
use serde::Deserialize;

use crate::gateway::config::Config;
use crate::gateway::directory::{Change, ChangeBatch, Directory, Topic};
use crate::log::http::{CallLimits, HttpClient};
use crate::log::{CallError, ReadError};
use crate::platform::records::{self, Keyed};
use crate::platform::wire::{WireConfig, WireWorker};

/// Longest time for a call, beyond the time that it may wait for a record.
const CALL_TIMEOUT: Duration = Duration::from_millis(700);
/// Largest answer, in bytes.
const MAX_ANSWER_BYTES: usize = 16 * 1024 * 1024;
/// Key of the configuration in its topic.
const CONFIG_KEY: &str = "config";
/// Topic of what the operator writes.
const OPERATOR_TOPIC: &str = "keyed.op";
/// Topic of what the workers write.
const WORKERS_TOPIC: &str = "keyed.servers";

/// The platform's store. Clones share connections.
#[derive(Clone, Debug)]
pub struct Store {
    http: HttpClient,
}

/// The newest record of each key.
#[derive(Debug, Deserialize)]
#[serde(rename_all = "camelCase")]
struct Newest {
    items: Vec<Item>,
    #[serde(default)]
    has_more: bool,
    end: u64,
}

#[derive(Debug, Deserialize)]
struct Item {
    key: Box<str>,
    value: String,
}

impl Store {
    /// The store at this address.
    pub fn new(addr: SocketAddr) -> Self {
        Store {
            http: HttpClient::new(addr),
        }
    }

    async fn newest(&self, topic: &str, after: Option<&str>) -> Result<Newest, CallError> {
        let after = after.map(|key| format!("&after={key}")).unwrap_or_default();
        let path = format!("/v1/log-newest?topic={topic}&part=0{after}");
        let answer = self.http.get(&path, limits(Duration::ZERO)).await?;
        answer.json()
    }
}

impl Directory for Store {
    async fn list(&self, topic: Topic) -> Result<ChangeBatch, CallError> {
        let mut news = ChangeBatch::default();
        let mut after: Option<Box<str>> = None;
        loop {
            let page = self.newest(name(topic), after.as_deref()).await?;
            if after.is_none() {
                // Later pages may be newer; what they repeat is then read once more.
                news.next = page.end;
            }
            after = page.items.last().map(|item| item.key.clone());
            let records = page.items.into_iter().map(Keyed::try_from);
            let records = records.collect::<Result<Vec<_>, _>>()?;
            news.changes
                .extend(records.into_iter().filter_map(|r| change(topic, r)));
            if !page.has_more || after.is_none() {
                return Ok(news);
            }
        }
    }

    fn decode(&self, source: Bytes) -> Option<Config> {
        decoded(source)
    }

    async fn changes(
        &self,
        topic: Topic,
        from: u64,
        wait: Duration,
    ) -> Result<ChangeBatch, ReadError> {
        let (name, ms) = (name(topic), wait.as_millis());
        let path = format!("/v1/log-read?topic={name}&part=0&from={from}&waitMs={ms}");
        let answer = self.http.get(&path, limits(wait)).await?;
        if answer.status == StatusCode::GONE {
            return Err(ReadError::Expired { first: from });
        }
        if !answer.status.is_success() {
            return Err(CallError::Status(answer.status.as_u16()).into());
        }
        let page = records::page(answer.body).map_err(|e| CallError::Malformed(e.to_string()))?;
        Ok(ChangeBatch {
            next: from + page.count,
            changes: page
                .records
                .into_iter()
                .filter_map(|r| change(topic, r))
                .collect(),
        })
    }
}

impl TryFrom<Item> for Keyed {
    type Error = CallError;

    fn try_from(item: Item) -> Result<Self, CallError> {
        let value = BASE64_STANDARD.decode(item.value);
        let value = value.map_err(|error| CallError::Malformed(error.to_string()))?;
        Ok(Keyed {
            key: item.key,
            value: Bytes::from(value),
        })
    }
}

fn limits(wait: Duration) -> CallLimits {
    CallLimits {
        timeout: wait + CALL_TIMEOUT,
        max_response: MAX_ANSWER_BYTES,
    }
}

fn name(topic: Topic) -> &'static str {
    match topic {
        Topic::Config => OPERATOR_TOPIC,
        Topic::Targets => WORKERS_TOPIC,
    }
}

/// What a record says; `None`: nothing that concerns the system.
fn change(topic: Topic, record: Keyed) -> Option<Change> {
    match topic {
        Topic::Config if record.key.as_ref() != CONFIG_KEY || record.value.is_empty() => None,
        Topic::Config => Some(config(record)),
        Topic::Targets if record.value.is_empty() => Some(Change::Removed(record.key)),
        Topic::Targets => Some(worker(record)),
    }
}

fn config(record: Keyed) -> Change {
    match decoded(record.value) {
        Some(config) => Change::Config(Box::new(config)),
        None => Change::Unreadable(record.key),
    }
}

fn decoded(source: Bytes) -> Option<Config> {
    let wire: WireConfig = serde_json::from_slice(&source).ok()?;
    Some(Config::from(wire).with_source(source))
}

fn worker(record: Keyed) -> Change {
    match serde_json::from_slice::<WireWorker>(&record.value) {
        Ok(wire) => Change::Target(record.key, wire.into()),
        Err(_) => Change::Unreadable(record.key),
    }
}
