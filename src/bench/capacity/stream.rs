//! Slope of an answer's stream through one connection: both ends, sockets included.

use std::net::SocketAddr;

use tokio::net::{TcpListener, TcpStream};
use tokio::time::Instant;

use super::slope::{line, runtime};
use crate::auth::Secret;
use crate::bench::report::Report;
use crate::conn::{self, Inbox, Outbox};
use crate::ids::{BootId, DispatchId};
use crate::wire::{AgentInfo, Opener, ToEntry};

/// Frames sent in a measurement.
const FRAMES: usize = 16_384;
/// Bytes of one token in a stream, with its share of the event's text.
const TOKEN_BYTES: usize = 64;
/// Bytes of a large piece of an answer.
const PIECE_BYTES: usize = 16 * 1_024;

/// Streams whose frames come one by one, and in bursts.
pub fn lines(seed: u64) -> Vec<Report> {
    let cases = [1, 16, 256].map(|burst| (burst, TOKEN_BYTES));
    let cases = cases.into_iter().chain([(16, PIECE_BYTES)]);
    cases
        .map(|(burst, bytes)| runtime().block_on(stream(seed, burst, bytes)))
        .collect()
}

async fn stream(seed: u64, burst: usize, bytes: usize) -> Report {
    let (agent, mut entry) = pair().await;
    let mut best = f64::MAX;
    for _ in 0..3 {
        let start = Instant::now();
        for round in 0..FRAMES / burst {
            send(&agent.outbox, round, burst, bytes);
            for _ in 0..burst {
                let frame = entry.inbox.receive::<ToEntry>().await;
                frame.expect("every frame comes");
            }
        }
        best = best.min(start.elapsed().as_nanos() as f64 / FRAMES as f64);
    }
    line(
        seed,
        "tokens",
        "stream: frames that are sent together",
        burst,
    )
    .figure("frame_data_bytes", bytes as f64)
    .figure("sent_and_received_ns", best)
}

fn send(outbox: &Outbox, round: usize, burst: usize, bytes: usize) {
    for at in 0..burst {
        outbox.send(&ToEntry::Chunk {
            dispatch: DispatchId {
                boot: BootId(u64::MAX / 3),
                seq: 1_000_000,
            },
            seq: (round * burst + at) as u64,
            data: vec![0; bytes].into(),
        });
    }
}

/// One end of a connection, which closes when either half is gone.
struct End {
    outbox: Outbox,
    inbox: Inbox,
}

/// The agent's end and the entry's.
async fn pair() -> (End, End) {
    let listener = TcpListener::bind("127.0.0.1:0")
        .await
        .expect("a port is free");
    let address = listener.local_addr().expect("it is bound");
    let secret = Secret::new("a secret to measure with");
    let info = AgentInfo {
        host: SocketAddr::from(([10, 0, 0, 1], 7_100)),
        boot: BootId(1),
        zone: "a".to_owned(),
        service: "model".to_owned(),
        slots: 8,
    };
    let dialled = TcpStream::connect(address).await.expect("it listens");
    let (accepted, _) = listener.accept().await.expect("a connection comes");
    let (dialled, accepted) = tokio::join!(
        conn::dial(dialled, &secret, Opener::Agent(info)),
        conn::accept(accepted, &secret, BootId(2)),
    );
    let (_, outbox, inbox) = dialled.expect("the secret is the same");
    let agent = End { outbox, inbox };
    let (_, outbox, inbox) = accepted.expect("the secret is the same");
    (agent, End { outbox, inbox })
}
