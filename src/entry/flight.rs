//! The task of one caller's request: carries out what its [`Attempt`] decides.

mod answer;
mod second;

use std::collections::VecDeque;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::time::Duration;

use bytes::Bytes;
use tokio::sync::mpsc;
use tokio::time::Instant;
use xtra::Address;

pub use answer::{Caller, Head, Piece};
use second::Second;

use crate::attempt::{Action, Attempt, Event as Happening, Outcome, Plan};
use crate::claim::Fate;
use crate::conn::Outbox;
use crate::entry::desk::Desk;
use crate::entry::guard::{Guard, Trial};
use crate::entry::keyed::Keyed;
use crate::entry::messages::{Arrive, Over, Returned};
use crate::entry::request::Request;
use crate::entry::routes::{Event, Routes};
use crate::entry::trail::{Step, Trail};
use crate::ids::{AgentKey, JobKey};
use crate::problem::{Execution, Problem, Reason};
use crate::telemetry::{self, Metrics, Span, Telemetry};
use crate::units::{Clock, Micros};
use crate::wire::ToAgent;

/// Wait that a refused caller is asked for.
pub const QUEUE_RETRY: Duration = Duration::from_secs(1);

/// A caller that takes nothing for this long has its answer broken off.
const STALL_TIMEOUT: Duration = Duration::from_secs(60);
/// Chunks that are passed on before the agent is told.
const ACK_CHUNKS: u64 = 32;
/// Bytes that are passed on before the agent is told.
const ACK_BYTES: u64 = 64 * 1024;

/// What a flight shares with the rest of the entry.
#[derive(Clone)]
pub struct Tools {
    /// The desk.
    pub desk: Address<Desk>,
    /// Where the entry's dispatches stand.
    pub routes: Routes,
    /// The process's clock.
    pub clock: Clock,
    /// Metrics and traces.
    pub telemetry: Telemetry,
    /// Claims on idempotency keys.
    pub keyed: Keyed,
    /// Requests that crash their targets.
    pub guard: Guard,
    /// What becomes of requests.
    pub trail: Trail,
}

/// The agent of the dispatch in flight, and its connection.
#[derive(Clone, Debug)]
struct Link {
    agent: AgentKey,
    outbox: Outbox,
}

/// What has been passed on since the agent was last told.
#[derive(Clone, Copy, Debug, Default)]
struct Unacked {
    chunks: u64,
    bytes: u64,
}

/// A request on its way.
pub struct Flight {
    tools: Tools,
    request: Arc<Request>,
    events: mpsc::Receiver<Event>,
    caller: Caller,
    attempt: Attempt,
    job: JobKey,
    link: Option<Link>,
    pending: VecDeque<Bytes>,
    unacked: Unacked,
    passed: u64,
    /// Bytes of the body that the caller still expects, when the head told its length.
    left: Option<u64>,
    spent: Option<Micros>,
    gone: bool,
    arrived: Micros,
    queue_span: Option<Span>,
    status: u16,
    trial: Option<Trial>,
    second: Option<Second>,
    answering: Arc<AtomicBool>,
}

impl Flight {
    /// A request that has not arrived at the desk yet.
    pub fn new(
        tools: Tools,
        arrive: &Arrive,
        events: mpsc::Receiver<Event>,
        caller: Caller,
    ) -> Self {
        let request = arrive.request.clone();
        let plan = Plan::new(request.idempotent).deadline(Some(arrive.deadline));
        let arrived = tools.clock.now();
        Flight {
            attempt: Attempt::new(plan),
            tools,
            request,
            events,
            caller,
            job: JobKey::default(),
            link: None,
            pending: VecDeque::new(),
            unacked: Unacked::default(),
            passed: 0,
            left: None,
            spent: None,
            gone: false,
            arrived,
            queue_span: None,
            status: 0,
            trial: None,
            second: None,
            answering: arrive.answering.clone(),
        }
    }

    /// The request is the one further try of one that crashed a target.
    pub fn trial(mut self, trial: Option<Trial>) -> Self {
        self.trial = trial;
        self
    }

    /// Brings the request to the desk and follows it to its end.
    pub async fn run(mut self, arrive: Arrive, mut span: Span) -> Outcome {
        self.queue_span = Some(self.tools.telemetry.span("queue", Some(&span.context())));
        let outcome = match self.tools.desk.send(arrive).await {
            Ok(Ok(job)) => {
                self.job = job;
                self.follow().await
            }
            Ok(Err(problem)) => self.refuse(problem),
            Err(_) => self.refuse(Problem::not_run(503, Reason::Draining)),
        };
        self.settle(outcome);
        self.count(outcome);
        span.note("outcome", telemetry::Outcome::from(outcome).label());
        outcome
    }

    async fn follow(&mut self) -> Outcome {
        loop {
            if let Some(outcome) = self.attempt.outcome()
                && (self.pending.is_empty() || outcome != Outcome::Whole)
            {
                return self.finish(outcome).await;
            }
            self.step().await;
        }
    }

    /// Waits for the next event and takes it in.
    async fn step(&mut self) {
        let body = self.caller.body.clone();
        let wake = self.wake();
        let waits = !self.pending.is_empty();
        tokio::select! {
            event = self.events.recv(), if self.attempt.outcome().is_none() => {
                let event = event.expect("the flight holds no sender's last copy");
                self.event(event).await;
            }
            permit = body.reserve(), if waits => match permit {
                Ok(permit) => {
                    let data = self.pending.pop_front().expect("a piece waits");
                    let size = data.len();
                    self.left = self.left.map(|left| left.saturating_sub(size as u64));
                    permit.send(Piece::Data(data));
                    self.passed_on(size);
                }
                Err(_) => self.caller_gone().await,
            },
            () = body.closed(), if !waits && !self.gone && !self.has_all() => {
                self.caller_gone().await;
            }
            () = tokio::time::sleep_until(wake) => self.woken(waits).await,
        }
    }

    fn wake(&self) -> Instant {
        match self.attempt.wake() {
            Some(at) => Instant::now() + Duration::from(at - self.tools.clock.now()),
            None => Instant::now() + STALL_TIMEOUT,
        }
    }

    async fn woken(&mut self, waits: bool) {
        if waits && self.attempt.outcome().is_some() {
            // The caller has stalled: what it took ends without an end mark.
            self.pending.clear();
            self.gone = true;
            return;
        }
        self.decide(Happening::Tick, None).await;
    }

    fn note(&self, step: Step) {
        self.tools.trail.note(self.request.id, step);
    }

    async fn event(&mut self, event: Event) {
        if let Ok(step) = Step::try_from(&event) {
            self.note(step);
        }
        let Some(event) = self.about_second(event).await else {
            return;
        };
        let (happening, passed) = match event {
            Event::Sent {
                dispatch,
                agent,
                boot,
                outbox,
            } => {
                self.link = Some(Link { agent, outbox });
                self.queue_span = None;
                self.tools
                    .telemetry
                    .metrics()
                    .event(telemetry::Event::Dispatch);
                (
                    Happening::Dispatched {
                        agent,
                        boot,
                        dispatch,
                    },
                    None,
                )
            }
            Event::Expired => (Happening::GiveUp(Reason::LogUnavailable), None),
            // Taken by `about_second`.
            Event::Hedged { .. } => return,
            Event::Lost { agent } => (Happening::Lost(agent), None),
            Event::Back {
                agent,
                boot,
                outbox,
            } => {
                if let Some(link) = self.link.as_mut().filter(|l| l.agent == agent) {
                    link.outbox = outbox;
                }
                (Happening::Back(agent, boot), None)
            }
            Event::Declined { dispatch } => (Happening::Declined(dispatch), None),
            Event::Head {
                dispatch,
                status,
                headers,
            } => (
                Happening::Head(dispatch),
                Some(Passed::Head(Head { status, headers })),
            ),
            Event::Chunk {
                dispatch,
                seq,
                data,
            } => {
                let len = data.len();
                (
                    Happening::Chunk { dispatch, seq, len },
                    Some(Passed::Data(data)),
                )
            }
            Event::End {
                dispatch,
                finish,
                chunks,
                bytes,
                spent,
            } => {
                if self.attempt.dispatch() == Some(dispatch) {
                    self.spent = Some(spent);
                }
                (
                    Happening::End {
                        dispatch,
                        finish,
                        chunks,
                        bytes,
                    },
                    None,
                )
            }
            Event::State { dispatch, known } => (Happening::State(dispatch, known), None),
        };
        self.decide(happening, passed).await;
    }

    /// Lets the attempt decide and carries its actions out.
    async fn decide(&mut self, happening: Happening, mut passed: Option<Passed>) {
        let actions = self.attempt.on(self.tools.clock.now(), happening);
        let mut requeue = false;
        for action in actions {
            match action {
                Action::Ask { dispatch, next } => {
                    self.note(Step::Asked { next });
                    self.tools
                        .telemetry
                        .metrics()
                        .event(telemetry::Event::Resume);
                    let floor = self.tools.routes.floor();
                    self.send(&ToAgent::Ask {
                        dispatch,
                        next,
                        floor,
                    });
                }
                Action::Requeue => requeue = true,
                Action::Crash => self.crashed(),
                Action::Refuse(problem) => {
                    self.refuse(problem);
                }
                Action::Deliver => self.deliver(passed.take()),
                Action::Cancel(dispatch) => self.send(&ToAgent::Cancel { dispatch }),
                Action::Settle(dispatch) => {
                    let floor = self.tools.routes.floor();
                    self.send(&ToAgent::Settled { dispatch, floor });
                }
                // `finish` ends a complete answer once all of it is passed on; an answer that is
                // not ended is broken off; the desk closes a dispatch that is returned or over.
                Action::Complete | Action::Abort | Action::Close(_) => {}
            }
        }
        if requeue {
            self.requeue().await;
        }
    }

    fn send(&self, message: &ToAgent) {
        if let Some(link) = &self.link {
            link.outbox.send(message);
        }
    }

    async fn requeue(&mut self) {
        if self.second.is_some() {
            return self.promote().await;
        }
        self.link = None;
        self.spent = None;
        if self.trial.is_none() {
            match self.tools.guard.admit(&self.request) {
                Ok(trial) => self.trial = trial,
                Err(problem) => return self.give_up(problem.reason),
            }
        }
        self.note(Step::Returned);
        let retry = self.attempt.begun();
        let returned = Returned {
            job: self.job,
            retry,
        };
        if self.tools.desk.send(returned).await.unwrap_or(false) {
            self.tools
                .telemetry
                .metrics()
                .event(telemetry::Event::Retry);
        } else {
            self.give_up(if retry {
                Reason::TargetFailed
            } else {
                Reason::NoCapacity
            });
        }
    }

    /// The request crashed its target; a trial that it was is over.
    fn crashed(&mut self) {
        self.note(Step::Crashed);
        self.tools.guard.crashed(&self.request);
        if let Some(trial) = self.trial.take() {
            self.tools.guard.over(trial);
        }
    }

    /// Takes the waiting request no further.
    fn give_up(&mut self, reason: Reason) {
        let now = self.tools.clock.now();
        for action in self.attempt.on(now, Happening::GiveUp(reason)) {
            if let Action::Refuse(problem) = action {
                self.refuse(problem);
            }
        }
    }

    fn deliver(&mut self, passed: Option<Passed>) {
        match passed {
            Some(Passed::Head(head)) => {
                self.tools
                    .telemetry
                    .metrics()
                    .wait(self.tools.clock.now() - self.arrived);
                self.status = head.status;
                self.left = head.length();
                self.answering.store(true, Ordering::Relaxed);
                if let Some(to) = self.caller.head.take() {
                    // A caller that is gone shows when the body is passed on.
                    let _ = to.send(Ok(head));
                }
            }
            Some(Passed::Data(data)) if self.gone => self.passed_on(data.len()),
            Some(Passed::Data(data)) => self.pending.push_back(data),
            None => {}
        }
    }

    /// Counts a chunk that the caller has, and tells the agent of several at a time.
    fn passed_on(&mut self, size: usize) {
        self.passed += 1;
        self.unacked.chunks += 1;
        self.unacked.bytes += size as u64;
        if self.unacked.chunks < ACK_CHUNKS && self.unacked.bytes < ACK_BYTES {
            return;
        }
        self.unacked = Unacked::default();
        if let Some(dispatch) = self.attempt.dispatch() {
            self.send(&ToAgent::Ack {
                dispatch,
                next: self.passed + 1,
            });
        }
    }

    /// Whether the caller has a body of known length in full. Its connection then takes no more,
    /// not even the end.
    fn has_all(&self) -> bool {
        self.left == Some(0)
    }

    async fn caller_gone(&mut self) {
        self.gone = true;
        while let Some(data) = self.pending.pop_front() {
            self.passed_on(data.len());
        }
        self.decide(Happening::Gone, None).await;
    }

    fn refuse(&mut self, problem: Problem) -> Outcome {
        if let Some(head) = self.caller.head.take() {
            // A caller that is gone needs no word.
            let _ = head.send(Err(problem));
        }
        Outcome::Refused(problem)
    }

    async fn finish(&mut self, outcome: Outcome) -> Outcome {
        if outcome == Outcome::Whole && !self.gone {
            // A caller that is gone needs no word.
            let _ = self.caller.body.send(Piece::End).await;
        }
        self.drop_second().await;
        // The desk outlives every request.
        let _ = self
            .tools
            .desk
            .send(Over {
                job: self.job,
                spent: self.spent,
                whole: outcome == Outcome::Whole,
            })
            .await;
        outcome
    }

    /// Reports what became of a claim and a trial.
    fn settle(&mut self, outcome: Outcome) {
        if let Some(claim) = self.request.claim {
            let fate = match outcome {
                Outcome::Whole => Fate::Done {
                    status: self.status,
                },
                _ if outcome.not_run() => Fate::NotRun,
                _ => Fate::Unknown,
            };
            self.tools.keyed.over(claim, fate);
        }
        if let Some(trial) = self.trial.take() {
            self.tools.guard.over(trial);
        }
    }

    fn count(&self, outcome: Outcome) {
        self.note(Step::Over(outcome));
        let metrics: &Metrics = self.tools.telemetry.metrics();
        metrics.request(outcome.into());
        metrics.total(self.tools.clock.now() - self.arrived);
        if let Outcome::Refused(problem) = outcome {
            metrics.refusal(problem.reason);
        }
    }
}

/// The part of an event that goes on to the caller.
enum Passed {
    Head(Head),
    Data(Bytes),
}

impl From<Outcome> for telemetry::Outcome {
    fn from(outcome: Outcome) -> Self {
        match outcome {
            Outcome::Whole => telemetry::Outcome::Whole,
            Outcome::Cut => telemetry::Outcome::Cut,
            Outcome::Abandoned(_) => telemetry::Outcome::Abandoned,
            Outcome::Refused(problem) if problem.execution == Execution::NotRun => {
                telemetry::Outcome::Refused
            }
            Outcome::Refused(_) => telemetry::Outcome::Unknown,
        }
    }
}
