//! Cost of a streamed response over one connection, both ends and their sockets included.

use std::net::SocketAddr;

use tokio::net::{TcpListener, TcpStream};
use tokio::time::Instant;

use super::measure::{report, runtime};
use crate::auth::Secret;
use crate::bench::report::Report;
use crate::conn::{self, Inbox, Outbox};
use crate::ids::{BootId, DispatchId};
use crate::wire::{AgentInfo, Opener, ToEntry};

/// Frames per run of a measurement.
const FRAMES: usize = 16_384;
/// Size of one token in a stream, including its share of the event's text.
const TOKEN_BYTES: usize = 64;
/// Size of a large chunk of a response body.
const LARGE_CHUNK_BYTES: usize = 16 * 1_024;

/// Measures streams whose frames are sent one by one and in bursts.
pub fn reports(seed: u64) -> Vec<Report> {
    let cases = [1, 16, 256].map(|burst| (burst, TOKEN_BYTES));
    let cases = cases.into_iter().chain([(16, LARGE_CHUNK_BYTES)]);
    cases
        .map(|(burst, bytes)| runtime().block_on(stream(seed, burst, bytes)))
        .collect()
}

async fn stream(seed: u64, burst: usize, bytes: usize) -> Report {
    let (agent, mut entry) = connect_pair().await;
    let mut best_ns = f64::MAX;
    for _ in 0..3 {
        let start = Instant::now();
        for round in 0..FRAMES / burst {
            send(&agent.outbox, round, burst, bytes);
            for _ in 0..burst {
                let frame = entry.inbox.receive::<ToEntry>().await;
                frame.expect("every frame arrives");
            }
        }
        best_ns = best_ns.min(start.elapsed().as_nanos() as f64 / FRAMES as f64);
    }
    report(
        seed,
        "tokens",
        "stream: frames that are sent together",
        burst,
    )
    .figure("frame_data_bytes", bytes as f64)
    .figure("sent_and_received_ns", best_ns)
}

fn send(outbox: &Outbox, round: usize, burst: usize, bytes: usize) {
    for index in 0..burst {
        outbox.send(&ToEntry::Chunk {
            dispatch: DispatchId {
                boot: BootId(u64::MAX / 3),
                seq: 1_000_000,
            },
            seq: (round * burst + index) as u64,
            data: vec![0; bytes].into(),
        });
    }
}

/// One end of a connection. The connection closes when either half is dropped.
struct Endpoint {
    outbox: Outbox,
    inbox: Inbox,
}

/// Connects an agent to an entry over loopback. Returns the agent's end and the entry's.
async fn connect_pair() -> (Endpoint, Endpoint) {
    let listener = TcpListener::bind("127.0.0.1:0")
        .await
        .expect("a port is free");
    let address = listener.local_addr().expect("the listener is bound");
    let secret = Secret::new("a secret to measure with");
    let info = AgentInfo {
        host: SocketAddr::from(([10, 0, 0, 1], 7_100)),
        boot: BootId(1),
        zone: "a".to_owned(),
        service: "model".to_owned(),
        slots: 8,
    };
    let client_socket = TcpStream::connect(address)
        .await
        .expect("the listener is bound");
    let (server_socket, _) = listener.accept().await.expect("a connection arrives");
    let (dialled, accepted) = tokio::join!(
        conn::dial(client_socket, &secret, Opener::Agent(info)),
        conn::accept(server_socket, &secret, BootId(2)),
    );
    let (_, outbox, inbox) = dialled.expect("the secret is the same");
    let agent = Endpoint { outbox, inbox };
    let (_, outbox, inbox) = accepted.expect("the secret is the same");
    (agent, Endpoint { outbox, inbox })
}
