//! A short GET that many callers send, with the same digest for all of them, beside targets that crash.

use std::net::SocketAddr;
use std::time::Duration;

use balsampitch::gateway::state::GatewayState;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;
use tokio::time::{sleep, timeout};

use crate::diagnosis;
use crate::harness::{FakeDirectory, KEY, Reply, TestGateway, WAIT_LIMIT, free_addresses};
use crate::target::{Behaviour, Target};

const GATEWAYS: usize = 3;
/// Number of targets that crash: as many as suffice to quarantine a request.
const CRASHES: usize = 3;
/// Time within which gateways tell each other of crashes.
const GOSSIP: Duration = Duration::from_millis(800);
/// Time limit until the request has reached all targets.
const MAX_SENDS: usize = 60;

async fn gateways(targets: &[Target]) -> Vec<TestGateway> {
    let directory = FakeDirectory::default();
    let peers: [SocketAddr; GATEWAYS] = free_addresses();
    let mut gateways = Vec::new();
    for peer in peers {
        let link = directory.another_link();
        gateways.push(TestGateway::start_reading(&link, peer, &peers).await);
    }
    let listed = targets.iter().collect::<Vec<_>>();
    let last = gateways.pop().expect("there are gateways");
    gateways.push(last.list_targets(&listed).await);
    for gateway in &gateways {
        let knows_all = |state: &GatewayState| {
            let peers = state.with_peers(|peers| peers.addresses().count());
            knows_targets(state, targets.len()) && peers == GATEWAYS - 1
        };
        gateway.wait_until(knows_all).await;
    }
    gateways
}

fn knows_targets(state: &GatewayState, count: usize) -> bool {
    state.config().version > 0 && state.with_targets(|targets| targets.len()) == count
}

/// Sends the GET that all callers send, with this id and this end of the head and body.
async fn send(gateway: &TestGateway, id: &str, path: &str, rest: &str) -> TcpStream {
    let mut stream = TcpStream::connect(gateway.callers)
        .await
        .expect("it listens");
    let request = format!(
        "GET {path} HTTP/1.1\r\nHost: pool.example\r\nAttempt-Id: {id}\r\nConnection: close\r\n\
         Deadline-Remaining: 5000\r\nAuthorization: Bearer {KEY}\r\n{rest}"
    );
    let written = stream.write_all(request.as_bytes()).await;
    written.expect("it reads");
    stream
}

async fn read(mut stream: TcpStream) -> Reply {
    let mut data = Vec::new();
    let read = timeout(WAIT_LIMIT, stream.read_to_end(&mut data)).await;
    let broken = read.expect("it ends in time").is_err();
    Reply::new(&data, broken)
}

/// Number of crashes that count against the request with this id, as its gateway logged.
fn crashes_of(id: &str) -> Option<u64> {
    let mut lines = diagnosis::lines("request", id);
    lines.retain(|line| line["message"] == "suspected request taken");
    lines.first()?["fields"]["crashes"].as_str()?.parse().ok()
}

/// Sends the request to the gateways in turn until each target runs one.
async fn occupy(
    gateways: &[TestGateway],
    targets: &[Target],
    path: &str,
    rest: &str,
) -> Vec<TcpStream> {
    let mut streams = Vec::new();
    for gateway in gateways.iter().cycle().take(MAX_SENDS) {
        if targets.iter().all(|target| target.count() > 0) {
            break;
        }
        streams.push(send(gateway, "shared-early", path, rest).await);
        sleep(Duration::from_millis(5)).await;
    }
    assert!(targets.iter().all(|target| target.count() > 0));
    streams
}

/// All targets crash at the same moment, each with the request in flight, and no gateway sees it
/// answered. Guards against a request of all callers that is refused everywhere for as long as
/// crashes count, ten minutes, since nothing may be sent whose answer would clear it.
macro_rules! crashes_at_once {
    ($($name:ident: $path:expr, $rest:expr;)*) => {$(
        #[tokio::test]
        async fn $name() {
            diagnosis::log();
            let mut targets = Vec::new();
            for _ in 0..CRASHES {
                targets.push(Target::start(&[Behaviour::Hang]).await);
            }
            let gateways = gateways(&targets).await;
            let streams = occupy(&gateways, &targets, $path, $rest).await;
            targets.iter().for_each(Target::crash);
            for stream in streams {
                assert_ne!(read(stream).await.status, 200);
            }
            sleep(GOSSIP).await;
            let sound = Target::start(&[Behaviour::Complete]).await;
            gateways[0].directory.put_target("t9", sound.addr, false);
            for gateway in &gateways {
                gateway.wait_until(|state| knows_targets(state, CRASHES + 1)).await;
            }
            let id = |number: usize| format!("{}-{number}", stringify!($name));
            let mut later = Vec::new();
            for (number, gateway) in gateways.iter().enumerate() {
                later.push(send(gateway, &id(number), $path, $rest).await);
            }
            for (number, stream) in later.into_iter().enumerate() {
                let reply = read(stream).await;
                assert_eq!(reply.status, 200, "{reply:?}");
                assert_eq!(crashes_of(&id(number)), Some(CRASHES as u64));
            }
        }
    )*};
}

crashes_at_once! {
    a_shared_get_without_a_body_is_not_refused_after_crashes_at_once: "/read/home", "\r\n";
    a_shared_get_with_a_short_body_is_not_refused_after_crashes_at_once:
        "/read/home", "Content-Length: 2\r\n\r\nhi";
}
