//! The door towards agents and entries.

use balsampitch::auth::{Challenge, Hello, Proof, Secret};
use balsampitch::conn;
use balsampitch::ids::BootId;
use balsampitch::wire::{self, AgentInfo, Opener, ToAgent, ToEntry};
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;

use crate::common::await_until;
use crate::world::{World, connect, read_until};

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
    wire::encode(hello).expect("a hello fits").to_vec()
}

/// The bytes are answered with nothing but the connection's end, which is counted.
async fn closed(bytes: &[u8]) {
    let world = World::start(2).await;
    let mut stream = connect(world.peer).await;
    stream.write_all(bytes).await.expect("the entry reads");
    let answer = read_until(&mut stream, |_| false).await;
    assert_eq!(answer, "");
    counted(&world, "refused_connections").await;
    world.assert_sound().await;
}

async fn counted(world: &World, name: &str) {
    await_until(name, || async {
        world.status().await["metrics"]["events"][name]
            .as_u64()
            .unwrap_or_default()
            > 0
    })
    .await;
}

macro_rules! closings {
    ($($name:ident: $bytes:expr;)+) => {
        $(
            #[tokio::test]
            async fn $name() {
                closed(&$bytes).await;
            }
        )+
    };
}

closings! {
    nothing: [];
    another_protocol: *b"GET / HTTP/1.1\r\n\r\n";
    a_length_beyond_any_frame: [0xff; 4];
    a_length_beyond_a_handshake: [0, 3, 0, 0];
    garbage: [0, 0, 0, 5, 9, 9, 9, 9, 9];
    an_empty_frame: [0, 0, 0, 0];
    another_version: encoded(&Hello { version: 99, ..hello() });
    a_hello_beyond_a_handshake: encoded(&Hello::new(Opener::Agent(AgentInfo {
        zone: "z".repeat(100_000),
        ..agent()
    })));
}

async fn read_frame(stream: &mut TcpStream) -> Vec<u8> {
    let len = stream.read_u32().await.expect("a frame comes");
    let mut frame = vec![0; len as usize];
    stream
        .read_exact(&mut frame)
        .await
        .expect("the frame is whole");
    frame
}

/// A handshake by hand: the bytes that the agent sent, and the open connection.
async fn handshake(world: &World, secret: &str) -> (Vec<u8>, Vec<u8>, TcpStream) {
    let mut stream = connect(world.peer).await;
    let hello = encoded(&hello());
    stream.write_all(&hello).await.expect("the entry reads");
    let frame = read_frame(&mut stream).await;
    let challenge: Challenge = wire::decode(&frame).expect("a challenge comes");
    let proof = Proof::new(&Secret::new(secret), &hello[4..], &challenge);
    let proof = wire::encode(&proof).expect("a proof fits").to_vec();
    stream.write_all(&proof).await.expect("the entry reads");
    (hello, proof, stream)
}

#[tokio::test]
async fn another_key_is_refused() {
    let world = World::start(2).await;
    let (_, _, mut stream) = handshake(&world, "a key of somebody else").await;
    assert_eq!(read_until(&mut stream, |_| false).await, "");
    counted(&world, "refused_connections").await;
    world.assert_sound().await;
}

#[tokio::test]
async fn a_replayed_handshake_is_refused() {
    let world = World::start(2).await;
    let (hello, proof, _first) = handshake(&world, &world.secret).await;
    let mut stream = connect(world.peer).await;
    stream.write_all(&hello).await.expect("the entry reads");
    read_frame(&mut stream).await;
    stream.write_all(&proof).await.expect("the entry reads");
    assert_eq!(read_until(&mut stream, |_| false).await, "");
    counted(&world, "refused_connections").await;
    world.assert_sound().await;
}

#[tokio::test]
async fn a_malformed_frame_ends_its_connection_alone() {
    let world = World::start(2).await;
    let (_, _, mut stream) = handshake(&world, &world.secret).await;
    stream
        .write_all(&[0, 0, 0, 2, 0xff, 0xff])
        .await
        .expect("the entry reads");
    read_until(&mut stream, |_| false).await;
    counted(&world, "malformed_frames").await;
    world.assert_sound().await;
}

#[tokio::test]
async fn frames_about_unknown_dispatches_do_no_harm() {
    let world = World::start(2).await;
    let stream = connect(world.peer).await;
    let secret = Secret::new(&world.secret);
    let dialled = conn::dial(stream, &secret, Opener::Agent(agent())).await;
    let (_, outbox, mut inbox) = dialled.expect("the handshake succeeds");
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
    let heard = inbox.receive::<ToAgent>().await;
    assert!(heard.is_ok(), "{heard:?}");
    world.assert_sound().await;
}
