//! Client for the store of the platform (the operator's infrastructure service), from which the
//! configuration and the list of targets are read.

use std::net::SocketAddr;
use std::time::Duration;

use base64::Engine;
use base64::prelude::BASE64_STANDARD;
use bytes::Bytes;
use hyper::StatusCode;
use percent_encoding::{NON_ALPHANUMERIC, utf8_percent_encode};
use serde::Deserialize;
use serde_json::value::RawValue;

use crate::gateway::config::Config;
use crate::gateway::directory::{Change, ChangeBatch, Directory, ListError, Topic};
use crate::gateway::position::{Era, Position};
use crate::log::CallError;
use crate::log::http::{CallLimits, HttpClient, HttpResponse};
use crate::platform::headers;
use crate::platform::records::{self, KeyedRecord};
use crate::platform::wire::{WireConfig, WireTarget};

/// Timeout of a call, on top of the time that it may wait for a record.
const CALL_TIMEOUT: Duration = Duration::from_millis(700);
/// Maximum size of a response, in bytes.
const MAX_RESPONSE_BYTES: usize = 16 * 1024 * 1024;
/// Record key of the configuration.
const CONFIG_KEY: &str = "config";
/// Start of the record keys of evacuations; the name of the zone follows.
const EVACUATION_PREFIX: &str = "evacuate/";
/// Name of the topic that the operator writes to.
const OPERATOR_TOPIC: &str = "keyed.op";
/// Name of the topic that the targets write to.
const TARGETS_TOPIC: &str = "keyed.servers";

/// Client for the store. Clones share connections.
#[derive(Clone, Debug)]
pub struct Store {
    http: HttpClient,
}

/// One page of the newest records by key. Its items are read one by one, so that one that cannot be
/// read does not hide the others.
#[derive(Debug, Deserialize)]
#[serde(rename_all = "camelCase")]
struct NewestPage {
    items: Vec<Box<RawValue>>,
    #[serde(default)]
    has_more: bool,
    end: u64,
}

#[derive(Debug, Deserialize)]
struct Item {
    key: Box<str>,
    value: String,
    offset: Option<u64>,
}

impl Store {
    /// Creates a client for the store at this address.
    pub fn new(addr: SocketAddr) -> Self {
        Store {
            http: HttpClient::new(addr),
        }
    }

    /// Fetches a page of the newest records by key, from the first key after `after` on, or from
    /// the first key of all if it is `None`.
    async fn fetch_newest(
        &self,
        topic: &str,
        after: Option<&str>,
    ) -> Result<(NewestPage, Era), CallError> {
        let after = after.map(|key| utf8_percent_encode(key, NON_ALPHANUMERIC));
        let after = after.map(|key| format!("&after={key}")).unwrap_or_default();
        let path = format!("/v1/log-newest?topic={topic}&part=0{after}");
        let response = self.http.get(&path, limits(Duration::ZERO)).await?;
        Ok((response.json()?, era(&response)?))
    }
}

impl Directory for Store {
    async fn list(&self, topic: Topic) -> Result<ChangeBatch, CallError> {
        let mut batch = ChangeBatch::default();
        let mut after: Option<Box<str>> = None;
        loop {
            let (page, era) = self
                .fetch_newest(topic_name(topic), after.as_deref())
                .await?;
            if after.is_none() {
                // Later pages may hold newer records; reading on from the first page's end repeats
                // those.
                batch.next = Position::new(era, page.end);
            } else if era != batch.next.era {
                return Err(CallError::Malformed(
                    "the pages of a list are of several eras".to_owned(),
                ));
            }
            let records = readable(topic, &page, batch.next.offset);
            let last = records.last().map(|record| record.key.clone());
            let records = records.into_iter();
            batch
                .changes
                .extend(records.filter_map(|r| to_change(topic, era, r)));
            if !page.has_more {
                return Ok(batch);
            }
            if last.is_none() || last == after {
                spdlog::warn!("a list cannot be read to its end", kv: { topic: = topic_name(topic) });
                batch.partial = true;
                return Ok(batch);
            }
            after = last;
        }
    }

    fn decode(&self, source: Bytes) -> Option<Config> {
        decode_config(source)
    }

    async fn changes(
        &self,
        topic: Topic,
        from: Position,
        wait: Duration,
    ) -> Result<ChangeBatch, ListError> {
        let (name, ms) = (topic_name(topic), wait.as_millis());
        let path = format!(
            "/v1/log-read?topic={name}&part=0&from={}&waitMs={ms}",
            from.offset
        );
        let response = self.http.get(&path, limits(wait)).await?;
        if response.status == StatusCode::GONE {
            return Err(ListError::Expired);
        }
        if !response.status.is_success() {
            return Err(CallError::Status(response.status.as_u16()).into());
        }
        let era = era(&response)?;
        let page = records::decode_page(response.body, from.offset);
        let page = page.map_err(|e| CallError::Malformed(e.to_string()))?;
        if page.unreadable > 0 {
            log_unreadable(topic, page.unreadable);
        }
        Ok(ChangeBatch {
            next: Position::new(era, from.offset + page.count),
            partial: false,
            changes: page
                .records
                .into_iter()
                .filter_map(|r| to_change(topic, era, r))
                .collect(),
        })
    }
}

impl TryFrom<(Item, u64)> for KeyedRecord {
    type Error = CallError;

    /// Decodes an item of a list that ends at the offset `end`.
    fn try_from((item, end): (Item, u64)) -> Result<Self, CallError> {
        let value = BASE64_STANDARD.decode(item.value);
        let value = value.map_err(|error| CallError::Malformed(error.to_string()))?;
        Ok(KeyedRecord {
            // An item without an offset is as new as the list, and none is newer: an offset beyond the
            // end would outweigh all later records.
            offset: item.offset.unwrap_or(u64::MAX).min(end.saturating_sub(1)),
            key: item.key,
            value: Bytes::from(value),
        })
    }
}

/// Returns the items of a page that can be read, of a list that is complete up to the offset `end`.
fn readable(topic: Topic, page: &NewestPage, end: u64) -> Vec<KeyedRecord> {
    let records = page.items.iter().filter_map(|item| {
        let item: Item = serde_json::from_str(item.get()).ok()?;
        KeyedRecord::try_from((item, end)).ok()
    });
    let records: Vec<KeyedRecord> = records.collect();
    let unreadable = page.items.len() - records.len();
    if unreadable > 0 {
        log_unreadable(topic, unreadable as u64);
    }
    records
}

fn log_unreadable(topic: Topic, count: u64) {
    spdlog::warn!("left out records that cannot be read", kv: {
        topic: = topic_name(topic), records = count,
    });
}

fn era(response: &HttpResponse) -> Result<Era, CallError> {
    let era = headers::parse_era(&response.headers);
    era.ok_or_else(|| CallError::Malformed("the era cannot be read".to_owned()))
}

fn limits(wait: Duration) -> CallLimits {
    CallLimits {
        timeout: wait + CALL_TIMEOUT,
        max_response: MAX_RESPONSE_BYTES,
    }
}

fn topic_name(topic: Topic) -> &'static str {
    match topic {
        Topic::Config => OPERATOR_TOPIC,
        Topic::Targets => TARGETS_TOPIC,
    }
}

/// Converts a record to a change; `None` if the gateway does not use the record.
fn to_change(topic: Topic, era: Era, record: KeyedRecord) -> Option<Change> {
    let position = Position::new(era, record.offset);
    match topic {
        Topic::Config => operator_change(position, record),
        Topic::Targets if record.value.is_empty() => Some(Change::Removed(record.key, position)),
        Topic::Targets => Some(target_change(position, record)),
    }
}

fn operator_change(position: Position, record: KeyedRecord) -> Option<Change> {
    if let Some(zone) = record.key.strip_prefix(EVACUATION_PREFIX) {
        return Some(match record.value.is_empty() {
            true => Change::ZoneRestored(zone.into()),
            false => Change::ZoneEvacuated(zone.into()),
        });
    }
    let is_config = record.key.as_ref() == CONFIG_KEY && !record.value.is_empty();
    is_config.then(|| config_change(position, record))
}

fn config_change(position: Position, record: KeyedRecord) -> Change {
    match decode_config(record.value) {
        Some(config) => Change::Config(Box::new(config)),
        None => Change::Unreadable(record.key, position),
    }
}

fn decode_config(source: Bytes) -> Option<Config> {
    let wire: WireConfig = serde_json::from_slice(&source).ok()?;
    Some(Config::from(wire).with_source(source))
}

fn target_change(position: Position, record: KeyedRecord) -> Change {
    let wire = serde_json::from_slice::<WireTarget>(&record.value);
    let wire = wire.ok().filter(WireTarget::is_usable);
    match wire {
        Some(wire) if headers::is_target_id(&record.key) => {
            Change::Target(record.key, wire.into(), position)
        }
        _ => Change::Unreadable(record.key, position),
    }
}
