//! Stand-in for the platform's store: the two reading calls of its log, in memory.

use std::collections::{BTreeMap, HashMap};
use std::io::{BufReader, Write};
use std::net::{SocketAddr, TcpListener};
use std::sync::{Arc, Condvar, Mutex};
use std::thread;
use std::time::{Duration, Instant};

use crate::http;

/// Time of an answer.
const ANSWER: Duration = Duration::from_millis(4);
/// Entries of a page of the newest records.
const PAGE: usize = 500;

type Record = (String, Vec<u8>);

#[derive(Default)]
struct State {
    topics: HashMap<String, Vec<Record>>,
}

#[derive(Clone, Default)]
pub struct Store {
    shared: Arc<(Mutex<State>, Condvar)>,
}

impl Store {
    pub fn start(addr: SocketAddr) -> std::io::Result<Store> {
        let store = Store::default();
        let listener = TcpListener::bind(addr)?;
        let server = store.clone();
        thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let server = server.clone();
                thread::spawn(move || {
                    let _ = stream.set_nodelay(true);
                    let mut writer = stream.try_clone().expect("a socket can be cloned");
                    let mut reader = BufReader::new(stream);
                    while let Ok(request) = http::read_request(&mut reader) {
                        let (status, body) = server.answer(&request);
                        thread::sleep(ANSWER);
                        let head = format!(
                            "HTTP/1.1 {status} X\r\nContent-Length: {}\r\n\r\n",
                            body.len()
                        );
                        if writer
                            .write_all(&[head.as_bytes(), &body].concat())
                            .is_err()
                        {
                            return;
                        }
                    }
                });
            }
        });
        Ok(store)
    }

    /// Appends a record; one without a value removes its key.
    pub fn append(&self, topic: &str, key: &str, value: &str) {
        let (state, changed) = &*self.shared;
        let mut state = state.lock().unwrap();
        let records = state.topics.entry(topic.to_owned()).or_default();
        records.push((key.to_owned(), value.as_bytes().to_vec()));
        changed.notify_all();
    }

    fn answer(&self, request: &http::Request) -> (u16, Vec<u8>) {
        let (path, query) = request.path.split_once('?').unwrap_or((&request.path, ""));
        let query: HashMap<&str, &str> =
            query.split('&').filter_map(|p| p.split_once('=')).collect();
        let topic = query.get("topic").copied().unwrap_or_default();
        let number = |name: &str| {
            query
                .get(name)
                .and_then(|v| v.parse::<u64>().ok())
                .unwrap_or(0)
        };
        match path {
            "/v1/log-newest" => (200, self.newest(topic, query.get("after").copied())),
            "/v1/log-read" => (200, self.read(topic, number("from"), number("waitMs"))),
            _ => (404, Vec::new()),
        }
    }

    fn newest(&self, topic: &str, after: Option<&str>) -> Vec<u8> {
        let state = self.shared.0.lock().unwrap();
        let records = state.topics.get(topic).map_or(&[][..], Vec::as_slice);
        let mut newest: BTreeMap<&str, (usize, &[u8])> = BTreeMap::new();
        for (offset, (key, value)) in records.iter().enumerate() {
            newest.insert(key, (offset, value));
        }
        let listed = newest.iter().filter(|(key, (_, value))| {
            !value.is_empty() && after.is_none_or(|after| **key > after)
        });
        let items: Vec<String> = listed
            .map(|(key, (offset, value))| {
                let value = base64(value);
                format!("{{\"key\":\"{key}\",\"value\":\"{value}\",\"offset\":{offset}}}")
            })
            .collect();
        let more = items.len() > PAGE;
        let items = items[..items.len().min(PAGE)].join(",");
        format!(
            "{{\"items\":[{items}],\"hasMore\":{more},\"end\":{}}}",
            records.len()
        )
        .into_bytes()
    }

    fn read(&self, topic: &str, from: u64, wait_ms: u64) -> Vec<u8> {
        let until = Instant::now() + Duration::from_millis(wait_ms);
        let (state, changed) = &*self.shared;
        let mut state = state.lock().unwrap();
        loop {
            let records = state.topics.get(topic).map_or(&[][..], Vec::as_slice);
            let new = records.get(from as usize..).unwrap_or_default();
            let now = Instant::now();
            if !new.is_empty() || now >= until {
                let mut body = (records.len() as u64).to_be_bytes().to_vec();
                body.extend_from_slice(&0u64.to_be_bytes());
                for (key, value) in new {
                    body.extend_from_slice(&((1 + key.len() + value.len()) as u32).to_be_bytes());
                    body.push(key.len() as u8);
                    body.extend_from_slice(key.as_bytes());
                    body.extend_from_slice(value);
                }
                return body;
            }
            state = changed.wait_timeout(state, until - now).unwrap().0;
        }
    }
}

fn base64(data: &[u8]) -> String {
    const DIGITS: &[u8] = b"ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";
    let mut text = String::new();
    for group in data.chunks(3) {
        let bits = group
            .iter()
            .fold(0u32, |bits, &byte| bits << 8 | u32::from(byte))
            << (8 * (3 - group.len()));
        for digit in 0..4 {
            match digit <= group.len() {
                true => text.push(DIGITS[(bits >> (18 - 6 * digit) & 63) as usize] as char),
                false => text.push('='),
            }
        }
    }
    text
}
