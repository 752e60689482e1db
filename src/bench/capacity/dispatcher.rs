//! Costs of a whole entry: agent connections, heartbeats and waiting requests.

use std::net::SocketAddr;
use std::sync::Arc;

use tokio::net::{TcpListener, TcpStream};
use tokio::sync::{mpsc, oneshot, watch};
use tokio::time::Instant;
use xtra::{Address, Mailbox};

use super::measure::{report, runtime};
use crate::auth::Secret;
use crate::bench::heap;
use crate::bench::report::Report;
use crate::conn::{self, Inbox, Outbox};
use crate::entry::agents::AgentListener;
use crate::entry::dispatcher::Dispatcher;
use crate::entry::history::RequestHistory;
use crate::entry::idempotency::KeyClaims;
use crate::entry::messages::{Enqueue, GetStatus, SendHeartbeats};
use crate::entry::peer_rules::RulesServer;
use crate::entry::quarantine::SharedQuarantine;
use crate::entry::request::Request;
use crate::entry::request_task::{
    BodyPart, RequestTask, ResponseHead, ResponseSender, TaskContext,
};
use crate::entry::routes::Routes;
use crate::entry::schedulers::SchedulerMap;
use crate::ids::{AccountKey, BootId, RequestId, ServiceKey};
use crate::log::Client;
use crate::problem::Problem;
use crate::rules::service::RulesState;
use crate::rules::{Table, parse};
use crate::telemetry::Telemetry;
use crate::units::{Clock, Micros};
use crate::wire::{AgentInfo, Opener, ToAgent};

const ROLE: &str = "entry";
const BODY_BYTES: usize = 1_024;
const HEARTBEATS: usize = 10;
const EVENT_CAPACITY: usize = crate::entry::routes::EVENT_CAPACITY;
const BODY_PARTS: usize = 16;
const RULES: &str = "account school key-sha256=\
    8ce6e72ad2f01961456e1a40773deed9bdc7c2546fa0d10a1a882cd849623ec1 queue=100000  # a test\n\
    service model repeatable=yes  # a test\n";

/// Measures all costs of a whole entry.
pub fn reports(seed: u64) -> Vec<Report> {
    let mut reports = Vec::new();
    reports.extend([16, 64, 256].map(|n| runtime().block_on(connections(seed, n))));
    reports.extend([500, 2_000, 8_000].map(|n| runtime().block_on(requests(seed, n))));
    reports
}

/// An entry's dispatcher and the context that its request tasks need.
struct Entry {
    dispatcher: Address<Dispatcher>,
    context: TaskContext,
}

impl Entry {
    fn start() -> Self {
        let (clock, boot) = (Clock::start(), BootId(1));
        let rules = parse(RULES).expect("the rules are well formed");
        let table = Arc::new(rules.table(&Table::default(), 1));
        let (_, rules) = watch::channel(table);
        let routes = Routes::default();
        let unused_address = SocketAddr::from(([127, 0, 0, 1], 9));
        let claims = KeyClaims::new(Client::new(unused_address), clock, unused_address, boot);
        let schedulers = SchedulerMap::new();
        let dispatcher = Dispatcher::new(
            clock,
            boot,
            rules,
            routes.clone(),
            schedulers,
            claims.clone(),
        );
        let dispatcher = xtra::spawn_tokio(dispatcher, Mailbox::unbounded());
        let context = TaskContext {
            dispatcher: dispatcher.clone(),
            routes,
            clock,
            telemetry: Telemetry::disabled(),
            claims,
            quarantine: SharedQuarantine::new(clock),
            history: RequestHistory::new(clock),
        };
        Entry {
            dispatcher,
            context,
        }
    }

    async fn listen(&self) -> SocketAddr {
        let listener = TcpListener::bind("127.0.0.1:0")
            .await
            .expect("a port is free");
        let address = listener.local_addr().expect("the listener is bound");
        let agents = AgentListener {
            dispatcher: self.dispatcher.clone(),
            routes: self.context.routes.clone(),
            secret: secret(),
            boot: BootId(1),
            peers: RulesServer::new(watch::channel(RulesState::default()).1),
            telemetry: self.context.telemetry.clone(),
        };
        tokio::spawn(agents.listen(listener));
        address
    }

    async fn connected(&self) -> usize {
        let status = self
            .dispatcher
            .send(GetStatus)
            .await
            .expect("the dispatcher runs");
        status.agents.len()
    }
}

fn secret() -> Secret {
    Secret::new("a secret to measure with")
}

async fn connect_agent(entry: SocketAddr, index: usize) -> (Outbox, Inbox) {
    let host = SocketAddr::from(([10, 0, (index / 200) as u8, (index % 200) as u8], 7_100));
    let info = AgentInfo {
        host,
        boot: BootId(index as u64),
        zone: "a".to_owned(),
        service: "model".to_owned(),
        slots: 8,
    };
    let stream = TcpStream::connect(entry).await.expect("the entry listens");
    let (_, outbox, inbox) = conn::dial(stream, &secret(), Opener::Agent(info))
        .await
        .expect("the secret is the same");
    (outbox, inbox)
}

/// Measures agent connections with both ends in this process, and the dispatcher's heartbeats on
/// them.
async fn connections(seed: u64, agents: usize) -> Report {
    let entry = Entry::start();
    let address = entry.listen().await;
    let before = heap::live_bytes();
    let start = Instant::now();
    let mut agent_ends = Vec::with_capacity(agents);
    for index in 0..agents {
        agent_ends.push(connect_agent(address, index).await);
    }
    while entry.connected().await < agents {}
    let handshake_ns = start.elapsed().as_nanos() as f64 / agents as f64;
    let bytes = (heap::live_bytes() - before) as f64;
    let start = Instant::now();
    for _ in 0..HEARTBEATS {
        entry
            .dispatcher
            .send(SendHeartbeats)
            .await
            .expect("the dispatcher runs");
        for (_, inbox) in &mut agent_ends {
            inbox
                .receive::<ToAgent>()
                .await
                .expect("a heartbeat arrives");
        }
    }
    let heartbeat_ns = start.elapsed().as_nanos() as f64 / (HEARTBEATS * agents) as f64;
    report(seed, ROLE, "connection, both ends", agents)
        .figure("bytes_each", bytes / agents as f64)
        .figure("handshake_us", handshake_ns / 1e3)
        .figure("heartbeat_sent_and_received_ns", heartbeat_ns)
}

/// Receivers of a response, which the caller's connection keeps open.
type ResponseReceivers = (
    oneshot::Receiver<Result<ResponseHead, Problem>>,
    mpsc::Receiver<BodyPart>,
);

/// Measures waiting requests: their tasks and channels, and their state in the dispatcher and the
/// scheduler. The size of the bodies is subtracted.
async fn requests(seed: u64, count: usize) -> Report {
    let entry = Entry::start();
    let before = heap::live_bytes();
    let mut receivers = Vec::with_capacity(count);
    let start = Instant::now();
    for index in 0..count {
        receivers.push(spawn_request(&entry.context, index));
    }
    while entry
        .dispatcher
        .send(GetStatus)
        .await
        .expect("the dispatcher runs")
        .jobs
        < count
    {
        tokio::task::yield_now().await;
    }
    let enqueue_ns = start.elapsed().as_nanos() as f64 / count as f64;
    let bytes = (heap::live_bytes() - before) as f64 / count as f64;
    report(
        seed,
        ROLE,
        "waiting request, whole, without its body",
        count,
    )
    .figure("bytes_each", bytes - BODY_BYTES as f64)
    .figure("arrive_ns", enqueue_ns)
}

fn spawn_request(context: &TaskContext, index: usize) -> ResponseReceivers {
    let (events_sender, events) = mpsc::channel(EVENT_CAPACITY);
    let (body_sender, body) = mpsc::channel(BODY_PARTS);
    let (head_sender, head) = oneshot::channel();
    let enqueue = Enqueue {
        request: Arc::new(request(index)),
        events: events_sender,
        deadline: Micros::from_secs(3_600),
        response_started: Arc::default(),
    };
    let span = context.telemetry.span("entry", None);
    let response = ResponseSender::new(head_sender, body_sender);
    let task = RequestTask::new(context.clone(), &enqueue, events, response);
    tokio::spawn(task.run(enqueue, span));
    (head, body)
}

fn request(index: usize) -> Request {
    Request {
        id: RequestId(index as u128),
        account: AccountKey(0),
        service: ServiceKey(0),
        service_name: "model".to_owned(),
        method: "POST".to_owned(),
        path: "/v1/chat/completions".to_owned(),
        headers: Vec::new(),
        body: vec![0; BODY_BYTES].into(),
        idempotent: true,
        key: None,
        claim: None,
        cost_hint: None,
        trace: None,
    }
}
