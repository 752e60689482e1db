//! The interface towards agents and other entries.

use balsampitch::auth::{Challenge, Hello, Proof, Secret};
use balsampitch::conn;
use balsampitch::ids::BootId;
use balsampitch::wire::{self, AgentInfo, Opener, ToAgent, ToEntry};
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;

use crate::common::await_until;
use crate::harness::{TestEntry, connect, read_until};

fn agent() -> AgentInfo {
    AgentInfo {
        host: "127.0.0.1:9".parse().expect("an address"),
        boot: BootId(1),
        zone: "a".to_owned(),
        service: "model".to_owned(),
        slots: 1,
    }
}

fn hello() -> Hello {
    Hello::new(Opener::Agent(agent()))
}

fn encoded(hello: &Hello) -> Vec<u8> {
    wire::encode(hello)
        .expect("a hello fits in a frame")
        .to_vec()
}

/// Asserts that the entry closes the connection after these bytes without a response, and counts
/// the refusal.
async fn assert_closed(bytes: &[u8]) {
    let entry = TestEntry::start(2).await;
    let mut stream = connect(entry.peer).await;
    stream.write_all(bytes).await.expect("the entry reads");
    let response = read_until(&mut stream, |_| false).await;
    assert_eq!(response, "");
    await_event(&entry, "refused_connections").await;
    entry.assert_serving().await;
}

async fn await_event(entry: &TestEntry, name: &str) {
    await_until(name, || async {
        entry.status().await["metrics"]["events"][name]
            .as_u64()
            .unwrap_or_default()
            > 0
    })
    .await;
}

macro_rules! closed_connections {
    ($($name:ident: $bytes:expr;)+) => {
        $(
            #[tokio::test]
            async fn $name() {
                assert_closed(&$bytes).await;
            }
        )+
    };
}

closed_connections! {
    no_data: [];
    http_request: *b"GET / HTTP/1.1\r\n\r\n";
    length_above_the_frame_limit: [0xff; 4];
    length_above_the_handshake_limit: [0, 3, 0, 0];
    undecodable_hello: [0, 0, 0, 5, 9, 9, 9, 9, 9];
    empty_frame: [0, 0, 0, 0];
    unsupported_version: encoded(&Hello { version: 99, ..hello() });
    hello_above_the_handshake_limit: encoded(&Hello::new(Opener::Agent(AgentInfo {
        zone: "z".repeat(100_000),
        ..agent()
    })));
}

async fn read_frame(stream: &mut TcpStream) -> Vec<u8> {
    let len = stream.read_u32().await.expect("the entry sends a frame");
    let mut frame = vec![0; len as usize];
    stream
        .read_exact(&mut frame)
        .await
        .expect("the frame is complete");
    frame
}

/// Performs a handshake with raw frames. Returns the encoded hello, the encoded proof and the open
/// connection.
async fn handshake(entry: &TestEntry, secret: &str) -> (Vec<u8>, Vec<u8>, TcpStream) {
    let mut stream = connect(entry.peer).await;
    let hello = encoded(&hello());
    stream.write_all(&hello).await.expect("the entry reads");
    let frame = read_frame(&mut stream).await;
    let challenge: Challenge = wire::decode(&frame).expect("the frame is a challenge");
    let proof = Proof::new(&Secret::new(secret), &hello[4..], &challenge);
    let proof = wire::encode(&proof)
        .expect("a proof fits in a frame")
        .to_vec();
    stream.write_all(&proof).await.expect("the entry reads");
    (hello, proof, stream)
}

#[tokio::test]
async fn a_wrong_secret_is_rejected() {
    let entry = TestEntry::start(2).await;
    let (_, _, mut stream) = handshake(&entry, "a key of somebody else").await;
    assert_eq!(read_until(&mut stream, |_| false).await, "");
    await_event(&entry, "refused_connections").await;
    entry.assert_serving().await;
}

#[tokio::test]
async fn a_replayed_handshake_is_rejected() {
    let entry = TestEntry::start(2).await;
    let (hello, proof, _first) = handshake(&entry, &entry.secret).await;
    let mut stream = connect(entry.peer).await;
    stream.write_all(&hello).await.expect("the entry reads");
    read_frame(&mut stream).await;
    stream.write_all(&proof).await.expect("the entry reads");
    assert_eq!(read_until(&mut stream, |_| false).await, "");
    await_event(&entry, "refused_connections").await;
    entry.assert_serving().await;
}

#[tokio::test]
async fn a_malformed_frame_closes_only_its_own_connection() {
    let entry = TestEntry::start(2).await;
    let (_, _, mut stream) = handshake(&entry, &entry.secret).await;
    stream
        .write_all(&[0, 0, 0, 2, 0xff, 0xff])
        .await
        .expect("the entry reads");
    read_until(&mut stream, |_| false).await;
    await_event(&entry, "malformed_frames").await;
    entry.assert_serving().await;
}

#[tokio::test]
async fn frames_for_unknown_dispatches_are_ignored() {
    let entry = TestEntry::start(2).await;
    let stream = connect(entry.peer).await;
    let secret = Secret::new(&entry.secret);
    let connected = conn::dial(stream, &secret, Opener::Agent(agent())).await;
    let (_, outbox, mut inbox) = connected.expect("the handshake succeeds");
    let dispatch = balsampitch::ids::DispatchId {
        boot: BootId(7),
        seq: 7,
    };
    outbox.send(&ToEntry::Chunk {
        dispatch,
        seq: u64::MAX,
        data: vec![1; 9].into(),
    });
    outbox.send(&ToEntry::Decline { dispatch });
    let received = inbox.receive::<ToAgent>().await;
    assert!(received.is_ok(), "{received:?}");
    entry.assert_serving().await;
}
