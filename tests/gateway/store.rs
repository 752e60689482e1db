//! Stand-in for the platform's store: the two reading calls of its log, in memory.

use std::collections::{BTreeMap, HashMap};
use std::net::SocketAddr;
use std::sync::{Arc, Mutex};
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
const OPERATOR: &str = "keyed.op";
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
    topics: Arc<Mutex<HashMap<String, Vec<Record>>>>,
}

impl Store {
    /// Starts a store without records, with pages of this many items.
    pub async fn start(page: usize) -> Store {
        let listener = TcpListener::bind("127.0.0.1:0").await;
        let listener = listener.expect("loopback has ports");
        let store = Store {
            addr: listener.local_addr().expect("it is bound"),
            page,
            topics: Arc::default(),
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
        let mut topics = self.topics.lock().expect("no holder panics");
        let records = topics.entry(topic.to_owned()).or_default();
        records.push((key.to_vec(), value.to_vec()));
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

    /// Lists a target of the first service that is ready.
    pub fn put_target(&self, id: &str, addr: SocketAddr) {
        self.put_target_of("desk", id, addr);
    }

    /// Lists a target of a service that is ready.
    pub fn put_target_of(&self, service: &str, id: &str, addr: SocketAddr) {
        let entry = json!({
            "backend": service, "address": addr, "zone": "a", "version": "v1", "slots": 128,
            "state": "ready", "coldRemainingMs": 0, "callSeq": 1, "born": 17,
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
            let body = self.answer(target).await;
            let head = format!("HTTP/1.1 200 OK\r\nContent-Length: {}\r\n\r\n", body.len());
            let sent = stream.write_all(&[head.as_bytes(), &body].concat()).await;
            if sent.is_err() {
                return;
            }
        }
    }

    async fn answer(&self, target: &str) -> Vec<u8> {
        let (path, query) = target.split_once('?').unwrap_or((target, ""));
        let params = query.split('&').filter_map(|param| param.split_once('='));
        let params: HashMap<&str, &str> = params.collect();
        let topic = params.get("topic").copied().unwrap_or_default();
        let number = |name: &str| -> usize {
            let text = params.get(name).copied().unwrap_or_default();
            text.parse().unwrap_or_default()
        };
        match path {
            "/v1/log-newest" => self.newest(topic, params.get("after").copied()),
            _ => self.read(topic, number("from"), number("waitMs")).await,
        }
    }

    fn records(&self, topic: &str) -> Vec<Record> {
        let topics = self.topics.lock().expect("no holder panics");
        topics.get(topic).cloned().unwrap_or_default()
    }

    fn newest(&self, topic: &str, after: Option<&str>) -> Vec<u8> {
        let records = self.records(topic);
        let after = after.map(|key| percent_encoding::percent_decode_str(key).collect::<Vec<u8>>());
        let records = records.iter().enumerate();
        let newest: BTreeMap<&Vec<u8>, (usize, &Vec<u8>)> = records
            .map(|(offset, (key, value))| (key, (offset, value)))
            .collect();
        let end = newest.values().map(|(offset, _)| offset + 1).max();
        let listed = newest.iter().filter(|(key, (_, value))| {
            !value.is_empty() && after.as_ref().is_none_or(|after| **key > after)
        });
        let items: Vec<_> = listed
            .map(|(key, (offset, value))| {
                let key = String::from_utf8_lossy(key);
                json!({"key": key, "value": BASE64_STANDARD.encode(value), "offset": offset})
            })
            .collect();
        let page = &items[..items.len().min(self.page)];
        let more = items.len() > page.len();
        let body = json!({"items": page, "hasMore": more, "end": end.unwrap_or_default()});
        body.to_string().into_bytes()
    }

    async fn read(&self, topic: &str, from: usize, wait_ms: usize) -> Vec<u8> {
        let mut records = self.records(topic);
        for _ in 0..wait_ms / POLL.as_millis() as usize {
            if records.len() > from {
                break;
            }
            sleep(POLL).await;
            records = self.records(topic);
        }
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
}
