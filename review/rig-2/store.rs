//! A stand-in of the platform's store: the two topics that gateways read.

use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Arc, Condvar, Mutex};
use std::time::{Duration, Instant};

use crate::http::Conn;

type Records = Vec<(String, String)>;

#[derive(Default)]
struct Topics {
    op: Records,
    servers: Records,
}

#[derive(Clone, Default)]
pub struct Store {
    topics: Arc<(Mutex<Topics>, Condvar)>,
}

/// An address at which the store is reached, one for each gateway.
#[derive(Clone)]
pub struct Front {
    pub addr: SocketAddr,
    /// Number of reads of the list of workers through it.
    pub reads: Arc<AtomicU64>,
}

impl Store {
    pub fn front(&self) -> Front {
        let listener = TcpListener::bind("127.0.0.1:0").unwrap();
        let front = Front {
            addr: listener.local_addr().unwrap(),
            reads: Arc::default(),
        };
        let (store, reads) = (self.clone(), front.reads.clone());
        std::thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let (store, reads) = (store.clone(), reads.clone());
                std::thread::spawn(move || store.serve(stream, &reads));
            }
        });
        front
    }

    /// Writes the configuration, as the operator does.
    pub fn put_config(&self, config: String) {
        let (topics, changed) = &*self.topics;
        let mut topics = topics.lock().unwrap();
        topics.op.push(("config".to_owned(), config));
        changed.notify_all();
    }

    /// Writes a worker's entry; an empty one takes it out of the list.
    pub fn put_worker(&self, id: &str, entry: String) {
        let (topics, changed) = &*self.topics;
        let mut topics = topics.lock().unwrap();
        topics.servers.push((id.to_owned(), entry));
        changed.notify_all();
    }

    fn serve(&self, stream: TcpStream, reads: &AtomicU64) {
        let mut conn = Conn::new(stream);
        while let Ok(head) = conn.head() {
            if head.path().contains("topic=keyed.servers") {
                reads.fetch_add(1, Ordering::Relaxed);
            }
            if conn.body(&head).is_err() || self.answer(&mut conn, head.path()).is_err() {
                return;
            }
        }
    }

    fn answer(&self, conn: &mut Conn, path: &str) -> std::io::Result<()> {
        let (call, query) = path.split_once('?').unwrap_or((path, ""));
        let arg = |name: &str| {
            let mut pairs = query.split('&').filter_map(|pair| pair.split_once('='));
            pairs.find(|(n, _)| *n == name).map(|(_, value)| value)
        };
        let number = |name| arg(name).and_then(|n| n.parse::<u64>().ok()).unwrap_or(0);
        let is_op = arg("topic") == Some("keyed.op");
        match call {
            "/v1/log-newest" => {
                let body = self.newest(is_op);
                conn.answer("200 OK", "Content-Type: application/json\r\n", &body)
            }
            "/v1/log-read" => {
                let wait = Duration::from_millis(number("waitMs"));
                let body = self.read(is_op, number("from") as usize, wait);
                conn.answer("200 OK", "", &body)
            }
            _ => conn.answer("404 Not Found", "", b""),
        }
    }

    fn newest(&self, is_op: bool) -> Vec<u8> {
        let topics = self.topics.0.lock().unwrap();
        let records = records(&topics, is_op);
        let mut newest: std::collections::BTreeMap<&str, usize> = Default::default();
        for (offset, (key, _)) in records.iter().enumerate() {
            newest.insert(key, offset);
        }
        newest.retain(|_, offset| !records[*offset].1.is_empty());
        let items = newest.into_iter().map(|(key, offset)| {
            let value = base64(records[offset].1.as_bytes());
            format!(r#"{{"key":"{key}","value":"{value}","offset":{offset}}}"#)
        });
        let items = items.collect::<Vec<_>>().join(",");
        let end = records.len();
        format!(r#"{{"items":[{items}],"hasMore":false,"end":{end}}}"#).into_bytes()
    }

    fn read(&self, is_op: bool, from: usize, wait: Duration) -> Vec<u8> {
        let (topics, changed) = &*self.topics;
        let until = Instant::now() + wait;
        let mut topics = topics.lock().unwrap();
        while records(&topics, is_op).len() <= from {
            let left = until.saturating_duration_since(Instant::now());
            if left.is_zero() {
                break;
            }
            topics = changed.wait_timeout(topics, left).unwrap().0;
        }
        let records = records(&topics, is_op);
        let mut body = (records.len() as u64).to_be_bytes().to_vec();
        body.extend(0u64.to_be_bytes());
        for (key, value) in records.iter().skip(from) {
            body.extend((1 + key.len() as u32 + value.len() as u32).to_be_bytes());
            body.push(key.len() as u8);
            body.extend(key.as_bytes());
            body.extend(value.as_bytes());
        }
        body
    }
}

fn records(topics: &Topics, is_op: bool) -> &Records {
    match is_op {
        true => &topics.op,
        false => &topics.servers,
    }
}

fn base64(data: &[u8]) -> String {
    const DIGITS: &[u8; 64] = b"ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";
    let mut out = String::new();
    for group in data.chunks(3) {
        let bytes = [
            group[0],
            *group.get(1).unwrap_or(&0),
            *group.get(2).unwrap_or(&0),
        ];
        let bits = u32::from_be_bytes([0, bytes[0], bytes[1], bytes[2]]);
        for place in 0..4 {
            let digit = DIGITS[(bits >> (18 - 6 * place) & 63) as usize];
            out.push(if place <= group.len() {
                digit as char
            } else {
                '='
            });
        }
    }
    out
}
