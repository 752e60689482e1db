//! A target whose answers are scripted byte by byte, for faults of a target's HTTP.

use std::net::SocketAddr;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::sync::{Arc, Mutex};
use std::time::Duration;

use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream};
use tokio::time::sleep;

use crate::target::header;

/// A step of a connection.
#[derive(Clone, Copy, Debug)]
pub enum Step {
    /// Reads the head of a request and this many bytes of its body at least.
    Read(usize),
    /// Reads this many bytes of a request.
    ReadPart(usize),
    /// Writes text, in which `{id}` stands for the id of the request that was read last, and
    /// `{first}` for that of the connection's first one.
    Write(&'static str),
    /// Waits for this many milliseconds.
    Wait(u64),
    /// Resets the connection.
    Reset,
}

/// A running target. Its connections play the scripts in order, all further ones the last script, and
/// are then closed.
#[derive(Clone, Debug)]
pub struct RawTarget {
    /// Address that it listens on.
    pub addr: SocketAddr,
    requests: Arc<AtomicUsize>,
}

impl RawTarget {
    /// Starts a target with these scripts.
    pub async fn start(scripts: &'static [&'static [Step]]) -> RawTarget {
        let listener = TcpListener::bind("127.0.0.1:0").await;
        let listener = listener.expect("loopback has ports");
        let target = RawTarget {
            addr: listener.local_addr().expect("it is bound"),
            requests: Arc::default(),
        };
        let requests = target.requests.clone();
        tokio::spawn(async move {
            let mut scripts = scripts.iter();
            let mut script = scripts.next().expect("there is a script");
            while let Ok((stream, _)) = listener.accept().await {
                tokio::spawn(play(script, stream, requests.clone()));
                script = scripts.next().unwrap_or(script);
            }
        });
        target
    }

    /// Number of requests whose heads it has read.
    pub fn count(&self) -> usize {
        self.requests.load(Ordering::Relaxed)
    }
}

async fn play(script: &'static [Step], mut stream: TcpStream, requests: Arc<AtomicUsize>) {
    let ids = Mutex::new(Vec::<String>::new());
    for step in script {
        match *step {
            Step::Read(body) => {
                let Some(id) = read(&mut stream, body).await else {
                    return;
                };
                requests.fetch_add(1, Ordering::Relaxed);
                ids.lock().expect("no holder panics").push(id);
            }
            Step::ReadPart(bytes) => {
                if stream.read_exact(&mut vec![0; bytes]).await.is_err() {
                    return;
                }
            }
            Step::Write(text) => {
                let text = {
                    let ids = ids.lock().expect("no holder panics");
                    let id = |id: Option<&String>| id.cloned().unwrap_or_default();
                    let text = text.replace("{id}", &id(ids.last()));
                    text.replace("{first}", &id(ids.first()))
                };
                if stream.write_all(text.as_bytes()).await.is_err() {
                    return;
                }
            }
            Step::Wait(ms) => sleep(Duration::from_millis(ms)).await,
            Step::Reset => {
                stream.set_zero_linger().expect("it can be reset");
                return;
            }
        }
    }
}

/// Reads a request's head and this many bytes of its body; returns its id.
async fn read(stream: &mut TcpStream, body: usize) -> Option<String> {
    let mut data = Vec::new();
    loop {
        let end = data.windows(4).position(|four| four == b"\r\n\r\n");
        if let Some(end) = end.filter(|end| data.len() - end - 4 >= body) {
            let head = String::from_utf8_lossy(&data[..end]).into_owned();
            return Some(header(&head, "attempt-id").unwrap_or_default());
        }
        if stream.read_buf(&mut data).await.ok()? == 0 {
            return None;
        }
    }
}
