//! A target that answers as it is told, in raw bytes.

use std::collections::VecDeque;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex};
use std::time::Duration;

use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream};
use tokio_util::sync::CancellationToken;

/// How a target answers one request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Say {
    /// A whole answer.
    Whole,
    /// A whole answer, and then one to nobody.
    WholeAndStray,
    /// A whole answer to another request.
    Crossed,
    /// Half of an answer, then the end of the connection.
    Truncated,
    /// An answer without a length, which ends with its connection.
    Unframed,
    /// An answer without a length whose connection is reset.
    UnframedReset,
    /// An answer with a coding that nobody asked for and no signature.
    Unsigned,
    /// "Not run", truly.
    Declined,
    /// A 503 that does not say so.
    Unsure,
    /// Another target has the address.
    Moved,
    /// A failure of the target's own.
    Failed,
    /// The connection is reset.
    Reset,
    /// A whole answer; a request for poison ends the target instead.
    Fragile,
    /// Nothing at all.
    Hang,
    /// Events 1 to 3, whole.
    Events,
    /// Event 1 and a part of event 2, then the end.
    CutEvents,
    /// Events 1 to 3, whole, 400 ms late.
    LateEvents,
    /// Event 1, and then nothing.
    EventAndHang,
    /// Events 2 and 3: goes on after event 1.
    Rest,
    /// Events 2 and 3, and then nothing: goes on after event 1 and does not end.
    RestAndHang,
    /// Events without end, 20 ms apart.
    Endless,
}

/// What a target saw.
#[derive(Clone, Debug, Default)]
pub struct Seen {
    /// Heads of the requests, in order.
    pub heads: Vec<String>,
    /// Connections that ended while an answer was due.
    pub gone: usize,
}

/// A target that answers as it is told.
#[derive(Clone, Debug)]
pub struct Target {
    /// Where it listens.
    pub addr: SocketAddr,
    says: Arc<Mutex<VecDeque<Say>>>,
    seen: Arc<Mutex<Seen>>,
    crash: CancellationToken,
}

impl Target {
    /// Gives one answer after the other; the last one again and again.
    pub async fn start(says: &[Say]) -> Target {
        Target::saying(Arc::new(Mutex::new(says.iter().copied().collect()))).await
    }

    /// Another target; each answer is given by one of the two.
    pub async fn twin(&self) -> Target {
        Target::saying(self.says.clone()).await
    }

    async fn saying(says: Arc<Mutex<VecDeque<Say>>>) -> Target {
        let listener = TcpListener::bind("127.0.0.1:0")
            .await
            .expect("loopback has ports");
        let target = Target {
            addr: listener.local_addr().expect("it is bound"),
            says,
            seen: Arc::default(),
            crash: CancellationToken::new(),
        };
        let serving = target.clone();
        tokio::spawn(async move {
            loop {
                let crashed = serving.crash.clone().cancelled_owned();
                let accepted = tokio::select! {
                    accepted = listener.accept() => accepted,
                    () = serving.crash.cancelled() => return,
                };
                let Ok((stream, _)) = accepted else { return };
                let answering = serving.clone().serve(stream);
                tokio::spawn(async {
                    tokio::select! {
                        () = answering => {}
                        () = crashed => {}
                    }
                });
            }
        });
        target
    }

    /// Refuses every connection.
    pub async fn dead() -> Target {
        let listener = TcpListener::bind("127.0.0.1:0")
            .await
            .expect("loopback has ports");
        Target {
            addr: listener.local_addr().expect("it is bound"),
            says: Arc::default(),
            seen: Arc::default(),
            crash: CancellationToken::new(),
        }
    }

    /// What it saw so far.
    pub fn seen(&self) -> Seen {
        self.seen.lock().expect("no holder panics").clone()
    }

    /// How many requests it got.
    pub fn count(&self) -> usize {
        self.seen().heads.len()
    }

    /// Whether it crashed.
    pub fn is_down(&self) -> bool {
        self.crash.is_cancelled()
    }

    fn is_poison(&self) -> bool {
        let seen = self.seen.lock().expect("no holder panics");
        seen.heads
            .last()
            .is_some_and(|head| head.contains("/poison"))
    }

    fn next(&self) -> Say {
        let mut says = self.says.lock().expect("no holder panics");
        match says.len() {
            1 => says[0],
            _ => says.pop_front().expect("it has an answer"),
        }
    }

    async fn serve(self, mut stream: TcpStream) {
        while let Some(head) = read_request(&mut stream).await {
            let id = header(&head, "attempt-id").unwrap_or_default();
            self.seen.lock().expect("no holder panics").heads.push(head);
            if !self.answer(&mut stream, &id, self.next()).await {
                return;
            }
        }
    }

    /// Answers; `false` when the connection is to end.
    async fn answer(&self, stream: &mut TcpStream, id: &str, say: Say) -> bool {
        let head = |status: &str, rest: &str| {
            format!("HTTP/1.1 {status}\r\nAttempt-Id: {id}\r\nServer-Stamp: s\r\n{rest}\r\n")
        };
        let whole = head("200 OK", "Content-Length: 4\r\n") + "body";
        let events = "Content-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n";
        let (text, keep) = match say {
            Say::Whole => (whole, true),
            Say::WholeAndStray => (whole.clone() + &whole.replace(id, "stray"), true),
            Say::Crossed => (whole.replace(id, "other"), true),
            Say::Truncated => (head("200 OK", "Content-Length: 9\r\n") + "body", false),
            Say::Unframed => (head("200 OK", "Connection: close\r\n") + "body", false),
            Say::UnframedReset => {
                let text = head("200 OK", "Connection: close\r\n") + "body";
                stream.write_all(text.as_bytes()).await.expect("it is read");
                tokio::time::sleep(Duration::from_millis(50)).await;
                stream.set_zero_linger().expect("it can be reset");
                return false;
            }
            Say::Unsigned => (whole.replace("Server-Stamp: s\r\n", ""), true),
            Say::Declined => {
                let rest = "Not-Executed: 1\r\nContent-Length: 0\r\n";
                (head("503 Service Unavailable", rest), true)
            }
            Say::Unsure => (
                head("503 Service Unavailable", "Content-Length: 0\r\n"),
                true,
            ),
            Say::Moved => (
                head("421 Misdirected Request", "Content-Length: 0\r\n"),
                true,
            ),
            Say::Failed => (head("500 Oh No", "Content-Length: 4\r\n") + "oops", true),
            Say::Fragile if self.is_poison() => {
                self.crash.cancel();
                stream.set_zero_linger().expect("it can be reset");
                return false;
            }
            Say::Fragile => (whole, true),
            Say::Reset => {
                stream.set_zero_linger().expect("it can be reset");
                return false;
            }
            Say::Hang => {
                self.wait_for_end(stream).await;
                return false;
            }
            Say::LateEvents => {
                tokio::time::sleep(Duration::from_millis(400)).await;
                let rest = event(1) + &event(2) + &event(3) + "0\r\n\r\n";
                (head("200 OK", events) + &rest, true)
            }
            Say::Events => {
                let rest = event(1) + &event(2) + &event(3) + "0\r\n\r\n";
                (head("200 OK", events) + &rest, true)
            }
            Say::CutEvents => {
                let rest = event(1) + "8\r\nid: 2\nda\r\n";
                (head("200 OK", events) + &rest, false)
            }
            Say::EventAndHang => {
                let text = head("200 OK", events) + &event(1);
                if stream.write_all(text.as_bytes()).await.is_ok() {
                    self.wait_for_end(stream).await;
                }
                return false;
            }
            Say::Rest => {
                let rest = event(2) + &event(3) + "0\r\n\r\n";
                (head("200 OK", events) + &rest, true)
            }
            Say::RestAndHang => {
                let text = head("200 OK", events) + &event(2) + &event(3);
                if stream.write_all(text.as_bytes()).await.is_ok() {
                    self.wait_for_end(stream).await;
                }
                return false;
            }
            Say::Endless => {
                let mut number = 1;
                let mut text = head("200 OK", events);
                while stream
                    .write_all((text + &event(number)).as_bytes())
                    .await
                    .is_ok()
                {
                    text = String::new();
                    number += 1;
                    tokio::time::sleep(Duration::from_millis(20)).await;
                }
                self.seen.lock().expect("no holder panics").gone += 1;
                return false;
            }
        };
        stream.write_all(text.as_bytes()).await.is_ok() && keep
    }

    async fn wait_for_end(&self, stream: &mut TcpStream) {
        // Bytes or an error: either way the caller is done.
        let _ = stream.read(&mut [0; 64]).await;
        self.seen.lock().expect("no holder panics").gone += 1;
    }
}

/// An event as a chunk.
fn event(number: u32) -> String {
    let text = format!("id: {number}\ndata: {number}\n\n");
    format!("{:x}\r\n{text}\r\n", text.len())
}

/// A header of a head, by its name in lower case.
pub fn header(head: &str, name: &str) -> Option<String> {
    head.lines().find_map(|line| {
        let (found, value) = line.split_once(':')?;
        found
            .eq_ignore_ascii_case(name)
            .then(|| value.trim().to_owned())
    })
}

/// Reads a request with its body. `None`: the connection has ended.
async fn read_request(stream: &mut TcpStream) -> Option<String> {
    let mut data = Vec::new();
    let end = loop {
        if let Some(at) = data.windows(4).position(|four| four == b"\r\n\r\n") {
            break at + 4;
        }
        if stream.read_buf(&mut data).await.ok()? == 0 {
            return None;
        }
    };
    let head = String::from_utf8(data[..end].to_vec()).ok()?;
    let length = header(&head, "content-length").map_or(Ok(0), |text| text.parse::<usize>());
    let mut missing = length.ok()?.saturating_sub(data.len() - end);
    while missing > 0 {
        let read = stream.read(&mut [0; 1024]).await.ok()?;
        missing = missing.saturating_sub(read.max(1));
    }
    Some(head)
}
