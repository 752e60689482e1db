//! An entry and an agent that run in the test process, with a stand-in target or one that sends
//! predefined responses.

use std::net::SocketAddr;

use balsampitch::local::{Fleet, LocalOptions};
use balsampitch::{agent, entry};
use serde_json::Value;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream};
use tokio_util::sync::CancellationToken;

use crate::common::http::{Call, Caller, Reply};
use crate::common::{WAIT_TIMEOUT, await_until};

/// Buffer size of one read.
const READ_BYTES: usize = 64 * 1024;

pub struct TestEntry {
    pub callers: SocketAddr,
    pub peer: SocketAddr,
    pub admin: SocketAddr,
    pub secret: String,
    pub target: SocketAddr,
    pub caller: Caller,
    drain: CancellationToken,
}

impl TestEntry {
    /// Starts an entry and an agent with the stand-in target.
    pub async fn start(slots: u16) -> TestEntry {
        Self::start_with(slots, None).await
    }

    /// Starts an entry and an agent with a target that sends the predefined response of the
    /// request's path.
    pub async fn with_responses(responses: &'static [(&'static str, &'static str)]) -> TestEntry {
        let listener = TcpListener::bind("127.0.0.1:0")
            .await
            .expect("a port is free");
        let address = listener
            .local_addr()
            .expect("a bound socket has an address");
        tokio::spawn(serve_responses(listener, responses));
        Self::start_with(2, Some(address)).await
    }

    async fn start_with(slots: u16, target: Option<SocketAddr>) -> TestEntry {
        let options = LocalOptions {
            port: 0,
            admin: 0,
            entries: 1,
            targets: 1,
            slots,
        };
        let mut fleet = Fleet::prepare(options).await.expect("the stand-ins start");
        let (entry_settings, mut agent_settings) =
            (fleet.entries.remove(0), fleet.agents.remove(0));
        agent_settings.target = target.unwrap_or(agent_settings.target);
        let entry = TestEntry {
            callers: entry_settings.listen,
            peer: entry_settings.peer,
            admin: entry_settings.admin,
            secret: entry_settings.secret.clone(),
            target: agent_settings.target,
            caller: Caller::new(),
            drain: CancellationToken::new(),
        };
        tokio::spawn(entry::serve(entry_settings, entry.drain.clone()));
        tokio::spawn(agent::serve(agent_settings, entry.drain.clone()));
        await_until("an agent to connect", || entry.has_agent()).await;
        entry
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

    /// Number of finished requests, of all outcomes.
    pub async fn finished_requests(&self) -> u64 {
        let status = self.status().await;
        let requests = status["metrics"]["requests"].as_object().cloned();
        let counts = requests.into_iter().flatten();
        counts.filter_map(|(_, count)| count.as_u64()).sum()
    }

    pub async fn call(&self, call: Call) -> Reply {
        let reply = self.caller.call(self.callers, call.key("school-key")).await;
        reply.expect("the entry answers")
    }

    /// Asserts that a request to the stand-in target succeeds.
    pub async fn assert_serving(&self) {
        let reply = self.call(Call::post("/model/run?ms=1", "sound")).await;
        assert_eq!((reply.status, reply.text().as_str()), (200, "sound"));
    }

    /// Sends raw bytes to the callers' address and reads until `is_complete` or end of stream.
    pub async fn send_raw(&self, bytes: &[u8], is_complete: impl Fn(&str) -> bool) -> String {
        let mut stream = connect(self.callers).await;
        // The write fails if the entry has already rejected the request and closed.
        let _ = stream.write_all(bytes).await;
        read_until(&mut stream, is_complete).await
    }
}

impl Drop for TestEntry {
    fn drop(&mut self) {
        self.drain.cancel();
    }
}

pub async fn connect(to: SocketAddr) -> TcpStream {
    TcpStream::connect(to).await.expect("the entry listens")
}

/// Reads until `is_complete` or end of stream.
pub async fn read_until(stream: &mut TcpStream, is_complete: impl Fn(&str) -> bool) -> String {
    let mut received = Vec::new();
    let mut buffer = vec![0; READ_BYTES];
    let receiving = async {
        while !is_complete(&String::from_utf8_lossy(&received)) {
            match stream.read(&mut buffer).await {
                Ok(0) | Err(_) => break,
                Ok(count) => received.extend_from_slice(&buffer[..count]),
            }
        }
    };
    let read = tokio::time::timeout(WAIT_TIMEOUT, receiving).await;
    assert!(
        read.is_ok(),
        "timed out after receiving: {}",
        String::from_utf8_lossy(&received)
    );
    String::from_utf8_lossy(&received).into_owned()
}

async fn serve_responses(
    listener: TcpListener,
    responses: &'static [(&'static str, &'static str)],
) {
    while let Ok((mut stream, _)) = listener.accept().await {
        tokio::spawn(async move {
            let head = read_until(&mut stream, |text| text.contains("\r\n\r\n")).await;
            let path = head.split(' ').nth(1).unwrap_or_default();
            let response = responses.iter().find(|(p, _)| *p == path);
            let response = match response {
                Some((_, "SHOW")) => echo_head(&head),
                Some((_, "MANY")) => large_head(),
                Some((_, response)) => (*response).to_owned(),
                None => "HTTP/1.1 404 Not Found\r\ncontent-length: 0\r\n\r\n".to_owned(),
            };
            // The write fails if the agent has closed the connection.
            let _ = stream.write_all(response.as_bytes()).await;
            let _ = stream.shutdown().await;
        });
    }
}

/// A response whose body is the request's head.
fn echo_head(head: &str) -> String {
    let len = head.len();
    format!("HTTP/1.1 200 OK\r\ncontent-length: {len}\r\n\r\n{head}")
}

/// A response with a head that is too large for a frame.
fn large_head() -> String {
    let large = "x".repeat(262_100);
    format!("HTTP/1.1 200 OK\r\nx-large: {large}\r\ncontent-length: 2\r\n\r\nok")
}
