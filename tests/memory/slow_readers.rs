//! Memory of a gateway process whose clients and targets read slowly: it stays below the limit, the
//! clients that read steadily get whole responses, and every rejection is true.

use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::time::Duration;

use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpSocket, TcpStream};
use tokio::task::JoinSet;
use tokio::time::{sleep, timeout};

use crate::flood::Flood;
use crate::gateway_process::request;
use crate::host::{ALONE, Host, MAX_BODY, MB};

/// Time without progress after which a target cuts off a response.
const CUT_OFF: Duration = Duration::from_secs(3);
/// Receive buffer of a slow client, in bytes.
const CLIENT_BUFFER: u32 = 16 * 1024;
/// Time limit of a client that reads steadily.
const STEADY_LIMIT: Duration = Duration::from_secs(40);
/// Time in which streams fill the buffers before their readers.
const FILL: Duration = Duration::from_secs(5);
const HEAD: &str = "HTTP/1.1 200 OK\r\nAttempt-Id: 9c41\r\nServer-Stamp: s\r\n";

/// How a client or a target reads: this many bytes at a time, with a pause after each.
#[derive(Clone, Copy)]
struct Pace {
    bytes: usize,
    pause: Duration,
}

const fn pace(bytes: usize, pause_ms: u64) -> Pace {
    let pause = Duration::from_millis(pause_ms);
    Pace { bytes, pause }
}

/// Reads the whole body at once.
const FAST: Pace = pace(256 * 1024, 0);
/// Reads 800 kB per second.
const STEADY: Pace = pace(16 * 1024, 20);
/// Reads about 5 MB per second.
const SLOW_TARGET: Pace = pace(64 * 1024, 5);
/// Reads so little that practically all of a response stays unread.
const STUCK: Pace = pace(64, 500);

/// A target that reads requests at some pace and answers each with a body of some size.
struct Answering {
    addr: SocketAddr,
    /// Number of requests that it has run.
    runs: Arc<AtomicUsize>,
    /// Number of bytes of answers that were taken from it.
    taken: Arc<AtomicUsize>,
}

impl Answering {
    async fn start(pace: Pace, framing: Framing, size: usize) -> Answering {
        let listener = TcpSocket::new_v4().expect("there are descriptors");
        // Kernel buffers that would take the whole request hide a target that reads slowly.
        let _ = listener.set_recv_buffer_size(CLIENT_BUFFER);
        let _ = listener.set_send_buffer_size(CLIENT_BUFFER);
        let any = "127.0.0.1:0".parse().expect("an address");
        listener.bind(any).expect("loopback has ports");
        let listener: TcpListener = listener.listen(1_024).expect("it is bound");
        let addr = listener.local_addr().expect("it is bound");
        let runs: Arc<AtomicUsize> = Arc::default();
        let taken: Arc<AtomicUsize> = Arc::default();
        let counts = (runs.clone(), taken.clone());
        let answer: (Arc<[u8]>, Pace) = (framing.answer(size).into(), framing.pace());
        tokio::spawn(async move {
            while let Ok((stream, _)) = listener.accept().await {
                tokio::spawn(serve(stream, pace, answer.clone(), counts.clone()));
            }
        });
        Answering { addr, runs, taken }
    }
}

#[derive(Clone, Copy)]
enum Framing {
    Length,
    Chunks,
    Events,
    /// In small pieces, which take 1.6 s for 2 kB.
    Slow,
}

impl Framing {
    /// How the target writes the answer.
    fn pace(self) -> Pace {
        match self {
            Framing::Slow => pace(64, 50),
            Framing::Length | Framing::Chunks | Framing::Events => pace(16 * 1024, 0),
        }
    }

    fn answer(self, size: usize) -> Vec<u8> {
        let body = match self {
            Framing::Events => format!("{}\n\n", "a".repeat(998)).repeat(size / 1_000),
            Framing::Length | Framing::Chunks | Framing::Slow => "a".repeat(size),
        };
        let size = body.len();
        let (head, end) = match self {
            Framing::Length | Framing::Slow => {
                (format!("{HEAD}Content-Length: {size}\r\n\r\n"), "")
            }
            Framing::Chunks | Framing::Events => (
                format!("{HEAD}Transfer-Encoding: chunked\r\n\r\n{size:x}\r\n"),
                "\r\n0\r\n\r\n",
            ),
        };
        [head.as_bytes(), body.as_bytes(), end.as_bytes()].concat()
    }
}

/// Serves the one request of a connection.
async fn serve(
    mut stream: TcpStream,
    pace: Pace,
    (answer, write): (Arc<[u8]>, Pace),
    (runs, taken): (Arc<AtomicUsize>, Arc<AtomicUsize>),
) {
    let mut data = Vec::new();
    let mut missing = None;
    while missing.is_none_or(|missing| data.len() < missing) {
        let mut piece = vec![0; pace.bytes];
        match stream.read(&mut piece).await {
            Ok(count) if count > 0 => data.extend_from_slice(&piece[..count]),
            _ => return,
        }
        missing = missing.or_else(|| request_length(&data));
        sleep(pace.pause).await;
    }
    runs.fetch_add(1, Ordering::Relaxed);
    for piece in answer.chunks(write.bytes) {
        let written = timeout(CUT_OFF, stream.write_all(piece)).await;
        if !matches!(written, Ok(Ok(()))) {
            return;
        }
        taken.fetch_add(piece.len(), Ordering::Relaxed);
        if !write.pause.is_zero() {
            sleep(write.pause).await;
        }
    }
    let _ = stream.read(&mut [0]).await;
}

/// Length of a request with its body, once its head has arrived.
fn request_length(data: &[u8]) -> Option<usize> {
    let end = data.windows(4).position(|part| part == b"\r\n\r\n")? + 4;
    let head = String::from_utf8_lossy(&data[..end]).to_ascii_lowercase();
    let length = head.split("content-length: ").nth(1)?;
    Some(end + length.split('\r').next()?.parse::<usize>().ok()?)
}

/// What clients got.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
struct Tally {
    /// Whole responses.
    whole: usize,
    /// Rejections that say that the request was not run.
    rejected: usize,
    /// Anything else.
    other: usize,
}

/// Sends one request and reads its response at some pace. Returns the status, if there is one, and
/// the number of bytes of the body.
async fn read_slowly(callers: SocketAddr, request: &[u8], pace: Pace) -> (u16, usize) {
    let socket = TcpSocket::new_v4().expect("there are descriptors");
    let _ = socket.set_recv_buffer_size(CLIENT_BUFFER);
    let Ok(mut stream) = socket.connect(callers).await else {
        return (0, 0);
    };
    let _ = stream.write_all(request).await;
    let (mut data, mut piece) = (Vec::new(), vec![0; pace.bytes]);
    while let Ok(count @ 1..) = stream.read(&mut piece).await {
        data.extend_from_slice(&piece[..count]);
        sleep(pace.pause).await;
    }
    let status = data
        .get(9..12)
        .and_then(|code| std::str::from_utf8(code).ok());
    let body = data.iter().filter(|&&byte| byte == b'a').count();
    let status = status.and_then(|code| code.parse().ok());
    (status.unwrap_or(0), body)
}

fn clients(
    callers: SocketAddr,
    path: &str,
    body: usize,
    pace: Pace,
    count: usize,
) -> JoinSet<(u16, usize)> {
    let request: Arc<[u8]> = request(path, &vec![b'x'; body]).into();
    let mut clients = JoinSet::new();
    for _ in 0..count {
        let request = request.clone();
        clients.spawn(async move { read_slowly(callers, &request, pace).await });
    }
    clients
}

/// Waits for what all clients get, of answers of this size.
async fn tally(mut clients: JoinSet<(u16, usize)>, size: usize) -> Tally {
    let mut tally = Tally::default();
    while let Ok(Some(Ok((status, bytes)))) = timeout(STEADY_LIMIT, clients.join_next()).await {
        match status {
            200 if bytes >= size => tally.whole += 1,
            429 | 503 => tally.rejected += 1,
            _ => tally.other += 1,
        }
    }
    tally.other += clients.len();
    tally
}

/// Guards against a process that keeps what its clients do not read, until it runs out of memory or
/// has no room for other clients.
macro_rules! stuck_streams {
    ($($name:ident: $memory_mb:expr, $event:expr, $pause_ms:expr, $count:expr;)*) => {$(
        #[tokio::test(flavor = "multi_thread", worker_threads = 2)]
        async fn $name() {
            let _alone = ALONE.lock().await;
            let first = format!("{HEAD}Transfer-Encoding: chunked\r\n\r\n");
            let event = format!("data: {}\n\n", "a".repeat($event));
            let chunk = format!("{:x}\r\n{event}\r\n", event.len()).into_bytes();
            let flood = Flood::start(first, chunk, Duration::from_millis($pause_ms)).await;
            let mut host = Host::start($memory_mb, flood.addr).await;
            let mut clients = clients(host.gateway.callers(), "/streaming/1", 2, STUCK, $count);
            let filled = host.most_within(FILL).await;
            let (most, served, failed) = host.watch().await;
            let most = most.max(filled);
            println!("{} MB, {served} served, {failed} not", most / MB);
            assert!(clients.try_join_next().is_none(), "no stream ends");
            assert!(most < $memory_mb * MB, "{} MB", most / MB);
            assert!(served >= 5 && failed * 20 <= served, "{served} served, {failed} not");
        }
    )*};
}

stuck_streams! {
    streams_of_large_events: 160, 400 * 1024, 0, 300;
    streams_of_large_events_on_a_larger_host: 260, 400 * 1024, 0, 300;
    streams_of_small_events: 160, 200, 0, 400;
    streams_of_medium_events: 160, 20 * 1024, 0, 400;
}

/// Guards against answers and bodies that are kept for slow readers beyond the memory, answers cut
/// off from clients that read steadily, and rejections of requests that have run.
macro_rules! steady_answers {
    ($($name:ident: $memory_mb:expr, $path:expr, $body:expr, $target:expr, $framing:expr, $size:expr,
        $count:expr, $whole:expr;)*) => {$(
        #[tokio::test(flavor = "multi_thread", worker_threads = 2)]
        async fn $name() {
            let _alone = ALONE.lock().await;
            let target = Answering::start($target, $framing, $size).await;
            let mut host = Host::start($memory_mb, target.addr).await;
            let clients = clients(host.gateway.callers(), $path, $body, STEADY, $count);
            let (most, served, failed) = host.watch().await;
            let tally = tally(clients, $size).await;
            let runs = target.runs.load(Ordering::Relaxed);
            println!("{} MB, {served} served, {failed} not, {tally:?}, {runs} runs", most / MB);
            assert!(most < $memory_mb * MB, "{} MB", most / MB);
            assert!(served >= 5 && failed * 20 <= served, "{served} served, {failed} not");
            assert!(tally.other == 0 && tally.whole == runs, "{tally:?}, {runs} runs");
            assert!(tally.whole >= $whole, "{tally:?}");
        }
    )*};
}

steady_answers! {
    answers_of_megabytes: 160, "/non_idempotent/1", 2, FAST, Framing::Length, 4 * MB, 60, 60;
    answers_in_chunks: 160, "/non_idempotent/1", 2, FAST, Framing::Chunks, 4 * MB, 60, 60;
    answers_on_a_larger_host: 260, "/idempotent/1", 2, FAST, Framing::Length, 4 * MB, 120, 120;
    bodies_to_a_slow_target: 160, "/non_idempotent/1", MAX_BODY, SLOW_TARGET, Framing::Length,
        2_000, 40, 2;
    bodies_to_a_slow_target_on_a_larger_host: 260, "/non_idempotent/1", MAX_BODY, SLOW_TARGET,
        Framing::Length, 2_000, 40, 4;
}

/// Guards against kernel buffers that take several megabytes of each response that is not read.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn little_of_an_unread_stream_is_taken_from_its_target() {
    let _alone = ALONE.lock().await;
    let target = Answering::start(FAST, Framing::Events, 16 * MB).await;
    let host = Host::start(160, target.addr).await;
    let _clients = clients(host.gateway.callers(), "/streaming/1", 2, STUCK, 10);
    sleep(CUT_OFF).await;
    let taken = target.taken.load(Ordering::Relaxed) / 10;
    println!("{} kB of each stream", taken / 1024);
    assert!(
        target.runs.load(Ordering::Relaxed) == 10 && taken > 0,
        "they run"
    );
    // Linux doubles the size of a socket buffer for its own data.
    assert!(taken < MB, "{} kB of each stream", taken / 1024);
}

/// Guards against bodies that are kept while the answer arrives although the request cannot be sent
/// again: they would leave no room for others.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn bodies_that_cannot_be_sent_again_are_given_back() {
    let _alone = ALONE.lock().await;
    let target = Answering::start(FAST, Framing::Slow, 3_500).await;
    let host = Host::start(160, target.addr).await;
    let mut all = JoinSet::new();
    for _ in 0..20 {
        let callers = host.gateway.callers();
        let request = request("/non_idempotent/1", &vec![b'x'; MAX_BODY]);
        all.spawn(async move { read_slowly(callers, &request, FAST).await });
        sleep(Duration::from_millis(150)).await;
    }
    let tally = tally(all, 3_500).await;
    assert_eq!(tally.whole, 20, "{tally:?}");
}
