//! One entry and one agent in this process, before a target that answers to order.

use std::net::SocketAddr;

use balsampitch::local::{Fleet, LocalOptions};
use balsampitch::{agent, entry};
use serde_json::Value;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream};
use tokio_util::sync::CancellationToken;

use crate::common::http::{Call, Caller, Reply};
use crate::common::{WAIT_TIMEOUT, await_until};

/// Bytes of a read.
const READ_BYTES: usize = 64 * 1024;

pub struct World {
    pub callers: SocketAddr,
    pub peer: SocketAddr,
    pub admin: SocketAddr,
    pub secret: String,
    pub target: SocketAddr,
    pub caller: Caller,
    drain: CancellationToken,
}

impl World {
    /// A fleet before the stand-in target.
    pub async fn start(slots: u16) -> World {
        Self::before(slots, None).await
    }

    /// A fleet before a target that answers each request with the bytes that its path names.
    pub async fn canned(answers: &'static [(&'static str, &'static str)]) -> World {
        let listener = TcpListener::bind("127.0.0.1:0")
            .await
            .expect("a port is free");
        let address = listener
            .local_addr()
            .expect("a bound socket has an address");
        tokio::spawn(serve_canned(listener, answers));
        Self::before(2, Some(address)).await
    }

    async fn before(slots: u16, target: Option<SocketAddr>) -> World {
        let options = LocalOptions {
            port: 0,
            admin: 0,
            entries: 1,
            targets: 1,
            slots,
        };
        let mut fleet = Fleet::prepare(options).await.expect("the stand-ins start");
        let (entry, mut model) = (fleet.entries.remove(0), fleet.agents.remove(0));
        model.target = target.unwrap_or(model.target);
        let world = World {
            callers: entry.listen,
            peer: entry.peer,
            admin: entry.admin,
            secret: entry.secret.clone(),
            target: model.target,
            caller: Caller::new(),
            drain: CancellationToken::new(),
        };
        tokio::spawn(entry::serve(entry, world.drain.clone()));
        tokio::spawn(agent::serve(model, world.drain.clone()));
        await_until("an agent", || world.has_agent()).await;
        world
    }

    async fn has_agent(&self) -> bool {
        let reply = self.caller.call(self.admin, Call::get("/status")).await;
        let ready = self.caller.call(self.admin, Call::get("/readyz")).await;
        let agents = reply.map(|r| r.json()["desk"]["agents"].as_array().map_or(0, Vec::len));
        agents.is_ok_and(|count| count > 0) && ready.is_ok_and(|r| r.status == 200)
    }

    pub async fn status(&self) -> Value {
        let reply = self.caller.call(self.admin, Call::get("/status")).await;
        reply.expect("the entry shows its status").json()
    }

    /// Requests that are over.
    pub async fn ended(&self) -> u64 {
        let status = self.status().await;
        let requests = status["metrics"]["requests"].as_object().cloned();
        let counts = requests.into_iter().flatten();
        counts.filter_map(|(_, count)| count.as_u64()).sum()
    }

    pub async fn call(&self, call: Call) -> Reply {
        let reply = self.caller.call(self.callers, call.key("school-key")).await;
        reply.expect("the entry answers")
    }

    /// A plain call goes through.
    pub async fn assert_sound(&self) {
        let reply = self.call(Call::post("/model/run?ms=1", "sound")).await;
        assert_eq!((reply.status, reply.text().as_str()), (200, "sound"));
    }

    /// Writes bytes to the callers' address and reads until `enough` or the connection's end.
    pub async fn raw(&self, bytes: &[u8], enough: impl Fn(&str) -> bool) -> String {
        let mut stream = connect(self.callers).await;
        // An entry that has refused may have closed.
        let _ = stream.write_all(bytes).await;
        read_until(&mut stream, enough).await
    }
}

impl Drop for World {
    fn drop(&mut self) {
        self.drain.cancel();
    }
}

pub async fn connect(to: SocketAddr) -> TcpStream {
    TcpStream::connect(to).await.expect("the entry listens")
}

/// Reads until `enough` or the connection's end.
pub async fn read_until(stream: &mut TcpStream, enough: impl Fn(&str) -> bool) -> String {
    let mut all = Vec::new();
    let mut buffer = vec![0; READ_BYTES];
    let reading = async {
        while !enough(&String::from_utf8_lossy(&all)) {
            match stream.read(&mut buffer).await {
                Ok(0) | Err(_) => break,
                Ok(count) => all.extend_from_slice(&buffer[..count]),
            }
        }
    };
    let read = tokio::time::timeout(WAIT_TIMEOUT, reading).await;
    assert!(read.is_ok(), "no end: {}", String::from_utf8_lossy(&all));
    String::from_utf8_lossy(&all).into_owned()
}

async fn serve_canned(listener: TcpListener, answers: &'static [(&'static str, &'static str)]) {
    while let Ok((mut stream, _)) = listener.accept().await {
        tokio::spawn(async move {
            let head = read_until(&mut stream, |text| text.contains("\r\n\r\n")).await;
            let path = head.split(' ').nth(1).unwrap_or_default();
            let answer = answers.iter().find(|(p, _)| *p == path);
            let answer = match answer {
                Some((_, "SHOW")) => show(&head),
                Some((_, "MANY")) => many(),
                Some((_, answer)) => (*answer).to_owned(),
                None => "HTTP/1.1 404 Not Found\r\ncontent-length: 0\r\n\r\n".to_owned(),
            };
            // The agent may have gone.
            let _ = stream.write_all(answer.as_bytes()).await;
            let _ = stream.shutdown().await;
        });
    }
}

/// An answer whose body is the request's head.
fn show(head: &str) -> String {
    let len = head.len();
    format!("HTTP/1.1 200 OK\r\ncontent-length: {len}\r\n\r\n{head}")
}

/// An answer with more headers than fit in a frame.
fn many() -> String {
    let large = "x".repeat(262_100);
    format!("HTTP/1.1 200 OK\r\nx-large: {large}\r\ncontent-length: 2\r\n\r\nok")
}
