//! Clients with kept connections.

use std::net::{SocketAddr, TcpStream};
use std::time::Duration;

use crate::http::Conn;
use crate::world::World;

pub struct Client {
    world: World,
    addr: SocketAddr,
    conn: Option<Conn>,
}

/// What a client got.
#[derive(Clone, Debug)]
pub struct Outcome {
    pub id: String,
    /// 0 without an answer.
    pub status: u16,
    pub events: Vec<u64>,
    /// Whether the answer was complete.
    pub complete: bool,
    /// Seconds from sending the request to the end.
    pub took: f64,
}

/// A request for a stream.
pub struct Ask<'a> {
    pub id: &'a str,
    pub path: &'a str,
    pub key: &'a str,
    pub budget_ms: u64,
}

impl Client {
    pub fn new(world: &World, addr: SocketAddr) -> Self {
        Client {
            world: world.clone(),
            addr,
            conn: None,
        }
    }

    /// Sends a request on the kept connection, or a new one, and reads the answer.
    pub fn call(&mut self, ask: &Ask<'_>) -> Outcome {
        let sent = self.world.now();
        let mut outcome = Outcome {
            id: ask.id.to_owned(),
            status: 0,
            events: Vec::new(),
            complete: false,
            took: 0.0,
        };
        let kept = if self.conn.is_some() {
            "a kept"
        } else {
            "a new"
        };
        self.world
            .note(format!("client: sends {} on {kept} connection", ask.id));
        let ended = self.exchange(ask, &mut outcome);
        outcome.took = self.world.now() - sent;
        outcome.complete = ended.is_ok();
        let how = match &ended {
            Ok(()) => "complete".to_owned(),
            Err(error) => format!("not complete: {error}"),
        };
        self.world.note(format!(
            "client: {} ended after {:.3} s, status {}, {} events, {how}",
            ask.id,
            outcome.took,
            outcome.status,
            outcome.events.len()
        ));
        outcome
    }

    fn exchange(&mut self, ask: &Ask<'_>, outcome: &mut Outcome) -> std::io::Result<()> {
        let mut conn = match self.conn.take() {
            Some(conn) => conn,
            None => Conn::new(TcpStream::connect(self.addr)?),
        };
        conn.limit(Duration::from_millis(ask.budget_ms));
        let body = "a prompt";
        let request = format!(
            "POST {} HTTP/1.1\r\nHost: ficu95.example\r\nAttempt-Id: {}\r\nModel: m\r\nToken-Count: 1460,80\r\nPrompt-Prefix: {:x}:800,{:x}:660\r\nDeadline-Remaining: {}\r\nAuthorization: Bearer {}\r\nContent-Length: {}\r\n\r\n{body}",
            ask.path,
            ask.id,
            // One of 32 shared parts, and the request's own part.
            0x5c1e_0700 + hash(ask.id) % 32,
            hash(ask.id),
            ask.budget_ms,
            ask.key,
            body.len()
        );
        conn.send(request.as_bytes())?;
        let head = conn.head()?;
        outcome.status = head.status();
        if head.get("transfer-encoding") == Some("chunked") {
            loop {
                let chunk = conn.chunk()?;
                if chunk.is_empty() {
                    break;
                }
                let text = String::from_utf8_lossy(&chunk).into_owned();
                let ids = text.lines().filter_map(|line| line.strip_prefix("id: "));
                outcome
                    .events
                    .extend(ids.filter_map(|id| id.parse::<u64>().ok()));
            }
        } else {
            conn.body(&head)?;
        }
        if !head
            .get("connection")
            .is_some_and(|v| v.eq_ignore_ascii_case("close"))
        {
            self.conn = Some(conn);
        }
        Ok(())
    }
}

fn hash(text: &str) -> u32 {
    text.bytes().fold(2_166_136_261, |h, b| {
        (h ^ u32::from(b)).wrapping_mul(16_777_619)
    })
}
