//! A scripted target that writes raw HTTP.

use std::collections::VecDeque;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex};
use std::time::Duration;

use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream};
use tokio::time::Instant;
use tokio_util::sync::CancellationToken;

/// How a target answers one request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Behaviour {
    /// A complete answer.
    Complete,
    /// A complete answer that names a limit of 4 requests a second.
    Limited,
    /// A complete answer that names the longest idle timeout that a number can hold.
    KeptForever,
    /// A complete answer, followed by one that belongs to no request.
    CompleteAndStray,
    /// A complete answer with the id of another request.
    OtherRequest,
    /// Half of an answer, then the connection is closed.
    Truncated,
    /// An answer without a length, delimited by the end of its connection.
    CloseDelimited,
    /// An answer without a length whose connection is reset.
    CloseDelimitedReset,
    /// An answer without the signature header.
    Unsigned,
    /// A 503 that says the request was not run.
    Declined,
    /// A 503 that does not say whether the request was run.
    PlainUnavailable,
    /// A 421: another target now uses the address.
    Moved,
    /// A 500 of the target itself.
    Failed,
    /// The connection is reset.
    Reset,
    /// A complete answer; a request for `/poison` crashes the target instead.
    CrashOnPoison,
    /// An endless stream of events, 20 ms apart; a request for `/poison` crashes the target instead.
    CrashOnPoisonAmidStreams,
    /// Events 1 to 3; a request with the prompt part `dead` crashes the target once it has sent the
    /// head and half of an event.
    CrashOnPart,
    /// No answer.
    Hang,
    /// Events 1 to 3.
    Events,
    /// Event 1 and a part of event 2, then the connection is closed.
    TruncatedEvents,
    /// Events 1 to 3 without length or chunks, delimited by the end of the connection.
    UnframedEvents,
    /// The head of a stream without length or chunks, then the connection is closed.
    UnframedNoEvents,
    /// The head of a stream with the chunk that ends it.
    NoEvents,
    /// Event 1 and a part of event 2 without length or chunks, then the connection is closed.
    UnframedEventsCut,
    /// Event 1 without length or chunks, then the connection is reset.
    UnframedEventsReset,
    /// Events 2 and 3 without length or chunks, as resumed after event 1.
    UnframedEventsResumed,
    /// A 204 without length.
    NoContent,
    /// A complete answer to a HEAD request: the length of a body that does not follow.
    HeadOnly,
    /// Events 1 to 3 after 400 ms.
    LateEvents,
    /// Event 1, then the stream stalls.
    EventAndHang,
    /// Events 2 and 3, as resumed after event 1.
    ResumedEvents,
    /// Events 2 and 3, as resumed after event 1, then the stream stalls.
    ResumedEventsAndHang,
    /// An endless stream of events, 20 ms apart.
    EndlessEvents,
    /// A complete answer with these header lines.
    CompleteWith(&'static str),
    /// A 503 with these header lines.
    UnavailableWith(&'static str),
    /// A 503 with these header lines, whose body does not end.
    UnavailableWithoutEnd(&'static str),
    /// An endless stream of events with these header lines, 20 ms apart.
    EndlessEventsWith(&'static str),
}

/// How a target answers requests for its report, which do not count as received.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum Report {
    /// Lists no requests.
    #[default]
    Empty,
    /// Lists every request that it has received.
    Received,
    /// A plain answer without a list of requests.
    Unreadable,
    /// None: the target refuses all connections after its first.
    Refused,
}

/// How a target answers requests for a reservation, which do not count as received.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum Reservations {
    /// With the id `room-1`.
    #[default]
    Granted,
    /// With a 503.
    Declined,
    /// With an id that no header can carry.
    Unreadable,
    /// Not at all.
    Silent,
}

/// Requests and disconnects that a target has seen.
#[derive(Clone, Debug, Default)]
pub struct Received {
    /// Heads of the requests, in order of arrival.
    pub heads: Vec<String>,
    /// Connections that were closed by the client before the answer was complete.
    pub disconnects: usize,
}

/// A scripted target.
#[derive(Clone, Debug)]
pub struct Target {
    /// Address that it listens on.
    pub addr: SocketAddr,
    behaviours: Arc<Mutex<VecDeque<Behaviour>>>,
    received: Arc<Mutex<Received>>,
    crash: CancellationToken,
    /// End of its cold time, which it tells on [`HEALTH_PATH`].
    cold_end: Arc<Mutex<Option<Instant>>>,
    report: Report,
    reservations: Arc<Mutex<Reservations>>,
}

/// Path of the question for the health of a target. It does not count as a request.
pub const HEALTH_PATH: &str = "/health";

impl Target {
    /// Starts a target that applies the behaviours in order and repeats the last one.
    pub async fn start(behaviours: &[Behaviour]) -> Target {
        Target::with_behaviours(Arc::new(Mutex::new(behaviours.iter().copied().collect()))).await
    }

    /// Starts a target with one behaviour and this kind of report.
    pub async fn reporting(behaviour: Behaviour, report: Report) -> Target {
        let behaviours = Arc::new(Mutex::new([behaviour].into()));
        Target::with_report(behaviours, report).await
    }

    /// Starts another target that takes its behaviours from the same queue.
    pub async fn twin(&self) -> Target {
        Target::with_behaviours(self.behaviours.clone()).await
    }

    async fn with_behaviours(behaviours: Arc<Mutex<VecDeque<Behaviour>>>) -> Target {
        Target::with_report(behaviours, Report::Empty).await
    }

    async fn with_report(behaviours: Arc<Mutex<VecDeque<Behaviour>>>, report: Report) -> Target {
        let listener = TcpListener::bind("127.0.0.1:0")
            .await
            .expect("loopback has ports");
        let target = Target {
            addr: listener.local_addr().expect("it is bound"),
            behaviours,
            received: Arc::default(),
            crash: CancellationToken::new(),
            cold_end: Arc::default(),
            report,
            reservations: Arc::default(),
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
                if serving.report == Report::Refused {
                    return;
                }
            }
        });
        target
    }

    /// A target whose address refuses all connections.
    pub async fn unreachable() -> Target {
        let listener = TcpListener::bind("127.0.0.1:0")
            .await
            .expect("loopback has ports");
        Target {
            addr: listener.local_addr().expect("it is bound"),
            behaviours: Arc::default(),
            received: Arc::default(),
            crash: CancellationToken::new(),
            cold_end: Arc::default(),
            report: Report::Empty,
            reservations: Arc::default(),
        }
    }

    /// Makes it cold for this long.
    pub fn set_cold(&self, time: Duration) {
        *self.cold_end.lock().expect("no holder panics") = Some(Instant::now() + time);
    }

    /// Sets how it answers requests for a reservation.
    pub fn set_reservations(&self, reservations: Reservations) {
        *self.reservations.lock().expect("no holder panics") = reservations;
    }

    /// The answer to a request for a reservation; `None` if there is none.
    fn reservation_answer(&self) -> Option<String> {
        let (status, body) = match *self.reservations.lock().expect("no holder panics") {
            Reservations::Granted => ("200 OK", r#"{"hold":"room-1"}"#),
            Reservations::Declined => ("503 Service Unavailable", "{}"),
            Reservations::Unreadable => ("200 OK", r#"{"hold":"room\n1"}"#),
            Reservations::Silent => return None,
        };
        let length = body.len();
        Some(format!(
            "HTTP/1.1 {status}\r\nContent-Length: {length}\r\n\r\n{body}"
        ))
    }

    /// The answer to the question for its health.
    fn health(&self) -> String {
        let end = *self.cold_end.lock().expect("no holder panics");
        let remaining = end.map_or(Duration::ZERO, |end| end - Instant::now());
        let remaining = remaining.as_millis();
        format!("HTTP/1.1 200 OK\r\nCold-Remaining: {remaining}\r\nContent-Length: 2\r\n\r\nok")
    }

    /// Returns what the target has seen so far.
    pub fn received(&self) -> Received {
        self.received.lock().expect("no holder panics").clone()
    }

    /// Returns the number of requests received.
    pub fn count(&self) -> usize {
        self.received().heads.len()
    }

    /// Crashes the target: its connections are closed, and it refuses others.
    pub fn crash(&self) {
        self.crash.cancel();
    }

    /// Returns whether the target has crashed.
    pub fn is_down(&self) -> bool {
        self.crash.is_cancelled()
    }

    fn is_poison(&self) -> bool {
        let received = self.received.lock().expect("no holder panics");
        received
            .heads
            .last()
            .is_some_and(|head| head.contains("/poison"))
    }

    fn has_part(&self, id: &str) -> bool {
        let received = self.received.lock().expect("no holder panics");
        let parts = received
            .heads
            .last()
            .and_then(|head| header(head, "prompt-prefix"));
        parts.is_some_and(|parts| parts.contains(&format!("{id}:")))
    }

    fn next(&self) -> Behaviour {
        let mut behaviours = self.behaviours.lock().expect("no holder panics");
        match behaviours.len() {
            1 => behaviours[0],
            _ => behaviours.pop_front().expect("it has an answer"),
        }
    }

    async fn serve(self, mut stream: TcpStream) {
        while let Some(head) = read_request(&mut stream).await {
            if head.starts_with(&format!("GET {HEALTH_PATH} ")) {
                if stream.write_all(self.health().as_bytes()).await.is_err() {
                    return;
                }
                continue;
            }
            if head.starts_with("GET /v1/report ") {
                // The gateway may have stopped waiting for it.
                let _ = stream.write_all(self.report_answer().as_bytes()).await;
                continue;
            }
            if head.starts_with("POST /v1/hold-take ") {
                let Some(answer) = self.reservation_answer() else {
                    std::future::pending().await
                };
                let _ = stream.write_all(answer.as_bytes()).await;
                continue;
            }
            let id = header(&head, "attempt-id").unwrap_or_default();
            self.received
                .lock()
                .expect("no holder panics")
                .heads
                .push(head);
            if !self.answer(&mut stream, &id, self.next()).await {
                return;
            }
        }
    }

    fn report_answer(&self) -> String {
        let heads = self.received().heads;
        let ids = heads.iter().filter_map(|head| header(head, "attempt-id"));
        let rows: Vec<_> = ids.map(|id| format!("[\"{id}\",90,1,0]")).collect();
        let body = match self.report {
            Report::Empty => "{\"runs\":[]}".to_owned(),
            Report::Received => format!("{{\"runs\":[{}]}}", rows.join(",")),
            Report::Unreadable | Report::Refused => "body".to_owned(),
        };
        let length = body.len();
        format!("HTTP/1.1 200 OK\r\nContent-Length: {length}\r\n\r\n{body}")
    }

    /// Answers one request; returns `false` if the connection is to be closed.
    async fn answer(&self, stream: &mut TcpStream, id: &str, behaviour: Behaviour) -> bool {
        let head = |status: &str, rest: &str| {
            format!("HTTP/1.1 {status}\r\nAttempt-Id: {id}\r\nServer-Stamp: s\r\n{rest}\r\n")
        };
        let complete = head("200 OK", "Content-Length: 4\r\n") + "body";
        let events = "Content-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n";
        let unframed = "Content-Type: text/event-stream\r\nConnection: close\r\n";
        let (text, keep) = match behaviour {
            Behaviour::Complete => (complete, true),
            Behaviour::Limited => {
                let rest = "Server-Limit: 4\r\nContent-Length: 4\r\n";
                (head("200 OK", rest) + "body", true)
            }
            Behaviour::KeptForever => {
                let rest = format!("Keep-Alive: timeout={}\r\nContent-Length: 4\r\n", u64::MAX);
                (head("200 OK", &rest) + "body", true)
            }
            Behaviour::CompleteAndStray => {
                (complete.clone() + &complete.replace(id, "stray"), true)
            }
            Behaviour::OtherRequest => (complete.replace(id, "other"), true),
            Behaviour::Truncated => (head("200 OK", "Content-Length: 9\r\n") + "body", false),
            Behaviour::CloseDelimited => (head("200 OK", "Connection: close\r\n") + "body", false),
            Behaviour::CloseDelimitedReset => {
                let text = head("200 OK", "Connection: close\r\n") + "body";
                stream.write_all(text.as_bytes()).await.expect("it is read");
                tokio::time::sleep(Duration::from_millis(50)).await;
                stream.set_zero_linger().expect("it can be reset");
                return false;
            }
            Behaviour::Unsigned => (complete.replace("Server-Stamp: s\r\n", ""), true),
            Behaviour::Declined => {
                let rest = "Not-Executed: 1\r\nContent-Length: 0\r\n";
                (head("503 Service Unavailable", rest), true)
            }
            Behaviour::PlainUnavailable => (
                head("503 Service Unavailable", "Content-Length: 0\r\n"),
                true,
            ),
            Behaviour::Moved => (
                head("421 Misdirected Request", "Content-Length: 0\r\n"),
                true,
            ),
            Behaviour::Failed => (head("500 Oh No", "Content-Length: 4\r\n") + "oops", true),
            Behaviour::CrashOnPoison | Behaviour::CrashOnPoisonAmidStreams if self.is_poison() => {
                self.crash.cancel();
                stream.set_zero_linger().expect("it can be reset");
                return false;
            }
            Behaviour::CrashOnPoison => (complete, true),
            Behaviour::CrashOnPart if self.has_part("dead") => {
                let text = head("200 OK", events) + "8\r\nid: 1\nda\r\n";
                // The caller may have left.
                let _ = stream.write_all(text.as_bytes()).await;
                tokio::time::sleep(Duration::from_millis(20)).await;
                self.crash.cancel();
                stream.set_zero_linger().expect("it can be reset");
                return false;
            }
            Behaviour::Reset => {
                stream.set_zero_linger().expect("it can be reset");
                return false;
            }
            Behaviour::Hang => {
                self.wait_for_end(stream).await;
                return false;
            }
            Behaviour::UnframedEvents => {
                let text = [1, 2, 3].map(event_text).concat();
                (head("200 OK", unframed) + &text, false)
            }
            Behaviour::UnframedNoEvents => (head("200 OK", unframed), false),
            Behaviour::NoEvents => (head("200 OK", events) + "0\r\n\r\n", true),
            Behaviour::UnframedEventsCut => {
                let text = event_text(1) + "id: 2\nda";
                (head("200 OK", unframed) + &text, false)
            }
            Behaviour::UnframedEventsReset => {
                let text = head("200 OK", unframed) + &event_text(1);
                stream.write_all(text.as_bytes()).await.expect("it is read");
                tokio::time::sleep(Duration::from_millis(50)).await;
                stream.set_zero_linger().expect("it can be reset");
                return false;
            }
            Behaviour::UnframedEventsResumed => {
                let text = [2, 3].map(event_text).concat();
                (head("200 OK", unframed) + &text, false)
            }
            Behaviour::NoContent => (head("204 No Content", ""), true),
            Behaviour::HeadOnly => (head("200 OK", "Content-Length: 4\r\n"), true),
            Behaviour::LateEvents => {
                tokio::time::sleep(Duration::from_millis(400)).await;
                let rest = event(1) + &event(2) + &event(3) + "0\r\n\r\n";
                (head("200 OK", events) + &rest, true)
            }
            Behaviour::Events | Behaviour::CrashOnPart => {
                let rest = event(1) + &event(2) + &event(3) + "0\r\n\r\n";
                (head("200 OK", events) + &rest, true)
            }
            Behaviour::TruncatedEvents => {
                let rest = event(1) + "8\r\nid: 2\nda\r\n";
                (head("200 OK", events) + &rest, false)
            }
            Behaviour::EventAndHang => {
                let text = head("200 OK", events) + &event(1);
                if stream.write_all(text.as_bytes()).await.is_ok() {
                    self.wait_for_end(stream).await;
                }
                return false;
            }
            Behaviour::ResumedEvents => {
                let rest = event(2) + &event(3) + "0\r\n\r\n";
                (head("200 OK", events) + &rest, true)
            }
            Behaviour::ResumedEventsAndHang => {
                let text = head("200 OK", events) + &event(2) + &event(3);
                if stream.write_all(text.as_bytes()).await.is_ok() {
                    self.wait_for_end(stream).await;
                }
                return false;
            }
            Behaviour::CompleteWith(lines) => {
                let rest = format!("{lines}Content-Length: 4\r\n");
                (head("200 OK", &rest) + "body", true)
            }
            Behaviour::UnavailableWith(lines) => {
                let rest = format!("{lines}Content-Length: 0\r\n");
                (head("503 Service Unavailable", &rest), true)
            }
            Behaviour::EndlessEvents
            | Behaviour::CrashOnPoisonAmidStreams
            | Behaviour::EndlessEventsWith(_)
            | Behaviour::UnavailableWithoutEnd(_) => {
                let mut number = 1;
                let mut text = match behaviour {
                    Behaviour::UnavailableWithoutEnd(lines) => {
                        head("503 Service Unavailable", &format!("{lines}{events}"))
                    }
                    Behaviour::EndlessEventsWith(lines) => {
                        head("200 OK", &format!("{lines}{events}"))
                    }
                    _ => head("200 OK", events),
                };
                while stream
                    .write_all((text + &event(number)).as_bytes())
                    .await
                    .is_ok()
                {
                    text = String::new();
                    number += 1;
                    tokio::time::sleep(Duration::from_millis(20)).await;
                }
                self.received.lock().expect("no holder panics").disconnects += 1;
                return false;
            }
        };
        stream.write_all(text.as_bytes()).await.is_ok() && keep
    }

    async fn wait_for_end(&self, stream: &mut TcpStream) {
        // Any result means that the client has closed the connection or broken the protocol.
        let _ = stream.read(&mut [0; 64]).await;
        self.received.lock().expect("no holder panics").disconnects += 1;
    }
}

fn event_text(number: u32) -> String {
    format!("id: {number}\ndata: {number}\n\n")
}

/// Encodes an event as an HTTP chunk.
fn event(number: u32) -> String {
    let text = event_text(number);
    format!("{:x}\r\n{text}\r\n", text.len())
}

/// Returns a header of a request or response head by name.
pub fn header(head: &str, name: &str) -> Option<String> {
    head.lines().find_map(|line| {
        let (found, value) = line.split_once(':')?;
        found
            .eq_ignore_ascii_case(name)
            .then(|| value.trim().to_owned())
    })
}

/// Reads a request with its body and returns its head; `None` if the connection has been closed.
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
