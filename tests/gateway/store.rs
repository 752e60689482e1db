//! Stand-in for the platform's store: the two reading calls of its log, in memory. It can be away, and
//! come back from an older copy.

use std::collections::{BTreeMap, HashMap};
use std::net::SocketAddr;
use std::sync::{Arc, Mutex, MutexGuard};
use std::time::Duration;

use base64::Engine;
use base64::prelude::BASE64_STANDARD;
use serde_json::{Value, json};
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream};
use tokio::time::sleep;

use crate::harness::KEY;

/// Topic of the targets' entries.
pub const TARGETS: &str = "keyed.servers";
/// Topic of the operator's configuration and evacuations.
pub const OPERATOR: &str = "keyed.op";
/// Time between two looks at the records while a read waits.
const POLL: Duration = Duration::from_millis(10);

/// A record: its key and its value, which is empty if the key has been deleted.
type Record = (Vec<u8>, Vec<u8>);

/// A store. Clones share its records.
#[derive(Clone, Debug)]
pub struct Store {
    /// Address that it listens on.
    pub addr: SocketAddr,
    /// Maximum number of items in a page of the newest records.
    page: usize,
    contents: Arc<Mutex<Contents>>,
}

#[derive(Debug, Default)]
struct Contents {
    topics: HashMap<String, Vec<Record>>,
    /// Number of restores.
    era: u64,
    is_away: bool,
}

impl Store {
    /// Starts a store without records, with pages of this many items.
    pub async fn start(page: usize) -> Store {
        let listener = TcpListener::bind("127.0.0.1:0").await;
        let listener = listener.expect("loopback has ports");
        let store = Store {
            addr: listener.local_addr().expect("it is bound"),
            page,
            contents: Arc::default(),
        };
        let serving = store.clone();
        tokio::spawn(async move {
            while let Ok((stream, _)) = listener.accept().await {
                tokio::spawn(serving.clone().serve(stream));
            }
        });
        store
    }

    /// Appends a record.
    pub fn append(&self, topic: &str, key: &[u8], value: &[u8]) {
        let mut contents = self.contents();
        let records = contents.topics.entry(topic.to_owned()).or_default();
        records.push((key.to_vec(), value.to_vec()));
    }

    /// Evacuates a zone, or ends its evacuation.
    pub fn set_evacuated(&self, zone: &str, evacuated: bool) {
        let value: &[u8] = if evacuated { b"{}" } else { b"" };
        self.append(OPERATOR, format!("evacuate/{zone}").as_bytes(), value);
    }

    /// Sets whether it turns all calls away.
    pub fn set_away(&self, away: bool) {
        self.contents().is_away = away;
    }

    /// Restores an older copy, in which the last `lost` records of each of these topics are missing.
    pub fn restore(&self, topics: &[(&str, usize)]) {
        let mut contents = self.contents();
        for (topic, lost) in topics {
            let records = contents.topics.entry((*topic).to_owned()).or_default();
            records.truncate(records.len() - lost);
        }
        contents.era += 1;
    }

    fn contents(&self) -> MutexGuard<'_, Contents> {
        self.contents.lock().expect("no holder panics")
    }

    /// Publishes a configuration with a route of each class before one service and a route `other`
    /// before another one, with these limits on the sizes of bodies and the time of requests.
    pub fn put_config(&self, version: u64, max_body: usize, timeout: Duration) {
        self.put_restricted_config(version, max_body, timeout, &json!(null));
    }

    /// As [`Store::put_config`], with this value as the allowed regions of all routes.
    pub fn put_restricted_config(
        &self,
        version: u64,
        max_body: usize,
        timeout: Duration,
        regions: &Value,
    ) {
        let route = |class: &str, resume: bool| {
            let name = if resume { "resumed" } else { class };
            json!({
                "name": name, "authority": "pool.example", "pathPrefix": format!("/{name}/"),
                "routeClass": class, "timeoutMs": timeout.as_millis() as u64, "targetLatencyMs": 300,
                "backend": "desk", "maxAttempts": 2, "streamResume": resume,
                "allowedRegions": regions,
            })
        };
        let mut other = route("idempotent", false);
        other["name"] = json!("other");
        other["pathPrefix"] = json!("/other/");
        other["backend"] = json!("other");
        let config = json!({
            "version": version,
            "routes": [
                route("idempotent", false), route("non_idempotent", false),
                route("streaming", false), route("streaming", true), other,
            ],
            "services": [{"name": "desk", "maxConnections": 600}, {"name": "other", "maxConnections": 600}],
            "limits": {"maxBodyBytes": max_body, "headerBytes": 16384, "idleTimeoutMs": 15000},
            "tenants": [{"name": "school", "apiKeys": [KEY]}],
        });
        self.append(OPERATOR, b"config", config.to_string().as_bytes());
    }

    /// Lists a target of the first service that is draining.
    pub fn drain_target(&self, id: &str, addr: SocketAddr) {
        self.put_entry("desk", id, addr, "draining");
    }

    /// Lists a target of the first service that is ready.
    pub fn put_target(&self, id: &str, addr: SocketAddr) {
        self.put_target_of("desk", id, addr);
    }

    /// Lists a target of a service that is ready.
    pub fn put_target_of(&self, service: &str, id: &str, addr: SocketAddr) {
        self.put_entry(service, id, addr, "ready");
    }

    fn put_entry(&self, service: &str, id: &str, addr: SocketAddr, state: &str) {
        let entry = json!({
            "backend": service, "address": addr, "zone": "a", "version": "v1", "slots": 128,
            "state": state, "coldRemainingMs": 0, "callSeq": 1, "born": 17,
        });
        self.append(TARGETS, id.as_bytes(), entry.to_string().as_bytes());
    }

    async fn serve(self, mut stream: TcpStream) {
        let mut data = Vec::new();
        loop {
            while !data.ends_with(b"\r\n\r\n") {
                match stream.read_buf(&mut data).await {
                    Ok(count) if count > 0 => {}
                    _ => return,
                }
            }
            let head = String::from_utf8_lossy(&data).into_owned();
            data.clear();
            let target = head.split(' ').nth(1).unwrap_or_default();
            let Answer { status, body, era } = self.answer(target).await;
            let head = format!(
                "HTTP/1.1 {status}\r\nStore-Era: {era}\r\nContent-Length: {}\r\n\r\n",
                body.len()
            );
            let sent = stream.write_all(&[head.as_bytes(), &body].concat()).await;
            if sent.is_err() {
                return;
            }
        }
    }

    async fn answer(&self, target: &str) -> Answer {
        let (path, query) = target.split_once('?').unwrap_or((target, ""));
        let params = query.split('&').filter_map(|param| param.split_once('='));
        let params: HashMap<&str, &str> = params.collect();
        let topic = params.get("topic").copied().unwrap_or_default();
        let number = |name: &str| -> usize {
            let text = params.get(name).copied().unwrap_or_default();
            text.parse().unwrap_or_default()
        };
        if path == "/v1/log-read" {
            self.await_records(topic, number("from"), number("waitMs"))
                .await;
        }
        let contents = self.contents();
        let records = contents.topics.get(topic).map_or(&[][..], Vec::as_slice);
        let (status, body) = match path {
            _ if contents.is_away => ("503 Service Unavailable", Vec::new()),
            "/v1/log-newest" => (
                "200 OK",
                newest(records, params.get("after").copied(), self.page),
            ),
            _ if number("from") > records.len() => ("410 Gone", br#"{"first":0}"#.to_vec()),
            _ => ("200 OK", read(records, number("from"))),
        };
        Answer {
            status,
            body,
            era: contents.era,
        }
    }

    /// Waits until there is a record at the offset `from`, for this time at most.
    async fn await_records(&self, topic: &str, from: usize, wait_ms: usize) {
        let has_records = || {
            let contents = self.contents();
            let records = contents.topics.get(topic);
            contents.is_away || records.is_some_and(|records| records.len() != from)
        };
        for _ in 0..wait_ms / POLL.as_millis() as usize {
            if has_records() {
                break;
            }
            sleep(POLL).await;
        }
    }
}

struct Answer {
    status: &'static str,
    body: Vec<u8>,
    era: u64,
}

fn newest(records: &[Record], after: Option<&str>, page: usize) -> Vec<u8> {
    let after = after.map(|key| percent_encoding::percent_decode_str(key).collect::<Vec<u8>>());
    let end = records.len();
    let records = records.iter().enumerate();
    let newest: BTreeMap<&Vec<u8>, (usize, &Vec<u8>)> = records
        .map(|(offset, (key, value))| (key, (offset, value)))
        .collect();
    let listed = newest.iter().filter(|(key, (_, value))| {
        !value.is_empty() && after.as_ref().is_none_or(|after| **key > after)
    });
    let items: Vec<_> = listed
        .map(|(key, (offset, value))| {
            let key = String::from_utf8_lossy(key);
            json!({"key": key, "value": BASE64_STANDARD.encode(value), "offset": offset})
        })
        .collect();
    let page = &items[..items.len().min(page)];
    let more = items.len() > page.len();
    let body = json!({"items": page, "hasMore": more, "end": end});
    body.to_string().into_bytes()
}

fn read(records: &[Record], from: usize) -> Vec<u8> {
    let mut body = (records.len() as u64).to_be_bytes().to_vec();
    body.extend(0_u64.to_be_bytes());
    for (key, value) in records.iter().skip(from) {
        body.extend(((1 + key.len() + value.len()) as u32).to_be_bytes());
        body.push(key.len() as u8);
        body.extend(key);
        body.extend(value);
    }
    body
}
