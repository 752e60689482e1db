//! Slopes of a whole entry: connections of agents, heartbeats, requests that wait.

use std::net::SocketAddr;
use std::sync::Arc;

use tokio::net::{TcpListener, TcpStream};
use tokio::sync::{mpsc, oneshot, watch};
use tokio::time::Instant;
use xtra::{Address, Mailbox};

use super::slope::{line, runtime};
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
const BEATS: usize = 10;
const EVENT_CAPACITY: usize = crate::entry::routes::EVENT_CAPACITY;
const BODY_PIECES: usize = 16;
const RULES: &str = "account school key-sha256=\
    8ce6e72ad2f01961456e1a40773deed9bdc7c2546fa0d10a1a882cd849623ec1 queue=100000  # a test\n\
    service model repeatable=yes  # a test\n";

/// All slopes of a whole entry.
pub fn lines(seed: u64) -> Vec<Report> {
    let mut lines = Vec::new();
    lines.extend([16, 64, 256].map(|n| runtime().block_on(connections(seed, n))));
    lines.extend([500, 2_000, 8_000].map(|n| runtime().block_on(requests(seed, n))));
    lines
}

/// An entry's dispatcher with what it needs.
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
        let nowhere = SocketAddr::from(([127, 0, 0, 1], 9));
        let claims = KeyClaims::new(Client::new(nowhere), clock, nowhere, boot);
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
        let address = listener.local_addr().expect("it is bound");
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

async fn dial(entry: SocketAddr, at: usize) -> (Outbox, Inbox) {
    let host = SocketAddr::from(([10, 0, (at / 200) as u8, (at % 200) as u8], 7_100));
    let info = AgentInfo {
        host,
        boot: BootId(at as u64),
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

/// Connected agents, both ends in this process, and the dispatcher's heartbeats to them.
async fn connections(seed: u64, agents: usize) -> Report {
    let entry = Entry::start();
    let address = entry.listen().await;
    let before = heap::live();
    let start = Instant::now();
    let mut ends = Vec::with_capacity(agents);
    for at in 0..agents {
        ends.push(dial(address, at).await);
    }
    while entry.connected().await < agents {}
    let handshake = start.elapsed().as_nanos() as f64 / agents as f64;
    let bytes = (heap::live() - before) as f64;
    let start = Instant::now();
    for _ in 0..BEATS {
        entry
            .dispatcher
            .send(SendHeartbeats)
            .await
            .expect("the dispatcher runs");
        for (_, inbox) in &mut ends {
            inbox.receive::<ToAgent>().await.expect("a heartbeat comes");
        }
    }
    let beat = start.elapsed().as_nanos() as f64 / (BEATS * agents) as f64;
    line(seed, ROLE, "connection, both ends", agents)
        .figure("bytes_each", bytes / agents as f64)
        .figure("handshake_us", handshake / 1e3)
        .figure("heartbeat_sent_and_received_ns", beat)
}

/// What a caller's connection keeps of its request.
type Answer = (
    oneshot::Receiver<Result<ResponseHead, Problem>>,
    mpsc::Receiver<BodyPart>,
);

/// Requests that wait: task, channels, dispatcher and scheduler. Their bodies are not counted.
async fn requests(seed: u64, count: usize) -> Report {
    let entry = Entry::start();
    let before = heap::live();
    let mut answers = Vec::with_capacity(count);
    let start = Instant::now();
    for at in 0..count {
        answers.push(fly(&entry.context, at));
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
    let time = start.elapsed().as_nanos() as f64 / count as f64;
    let bytes = (heap::live() - before) as f64 / count as f64;
    line(
        seed,
        ROLE,
        "waiting request, whole, without its body",
        count,
    )
    .figure("bytes_each", bytes - BODY_BYTES as f64)
    .figure("arrive_ns", time)
}

fn fly(context: &TaskContext, at: usize) -> Answer {
    let (events_in, events) = mpsc::channel(EVENT_CAPACITY);
    let (body_in, body) = mpsc::channel(BODY_PIECES);
    let (head_in, head) = oneshot::channel();
    let enqueue = Enqueue {
        request: Arc::new(request(at)),
        events: events_in,
        deadline: Micros::from_secs(3_600),
        response_started: Arc::default(),
    };
    let span = context.telemetry.span("entry", None);
    let caller = ResponseSender::new(head_in, body_in);
    let task = RequestTask::new(context.clone(), &enqueue, events, caller);
    tokio::spawn(task.run(enqueue, span));
    (head, body)
}

fn request(at: usize) -> Request {
    Request {
        id: RequestId(at as u128),
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
