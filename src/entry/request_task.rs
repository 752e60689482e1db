//! The task of one caller's request: carries out what its [`Attempt`] decides.

mod attempt_event;
mod delivery;
mod hedge;
mod response;

use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::time::Duration;

use tokio::sync::mpsc;
use tokio::time::Instant;
use xtra::Address;

use attempt_event::ResponsePart;
use delivery::Delivery;
use hedge::Second;
pub use response::{BodyPart, ResponseHead, ResponseSender};

use crate::attempt::{Action, Attempt, Event as AttemptEvent, Outcome, RequestPolicy};
use crate::claim::ClaimOutcome;
use crate::conn::Outbox;
use crate::entry::dispatcher::Dispatcher;
use crate::entry::history::{RequestHistory, Step};
use crate::entry::idempotency::KeyClaims;
use crate::entry::messages::{Enqueue, RequestFinished, Requeue};
use crate::entry::quarantine::{SharedQuarantine, Trial};
use crate::entry::request::Request;
use crate::entry::routes::{RequestEvent, Routes};
use crate::ids::{AgentKey, JobKey};
use crate::problem::{Execution, Problem, Reason};
use crate::telemetry::{self, Metrics, Span, Telemetry};
use crate::units::{Clock, Micros};
use crate::wire::ToAgent;

/// Wait that a refused caller is asked for.
pub const QUEUE_RETRY: Duration = Duration::from_secs(1);

/// A caller that takes nothing for this long has its answer broken off.
const STALL_TIMEOUT: Duration = Duration::from_secs(60);
/// What a flight shares with the rest of the entry.
#[derive(Clone)]
pub struct TaskContext {
    /// The dispatcher.
    pub dispatcher: Address<Dispatcher>,
    /// Where the entry's dispatches stand.
    pub routes: Routes,
    /// The process's clock.
    pub clock: Clock,
    /// Metrics and traces.
    pub telemetry: Telemetry,
    /// Claims on idempotency keys.
    pub claims: KeyClaims,
    /// Requests that crash their targets.
    pub quarantine: SharedQuarantine,
    /// What becomes of requests.
    pub history: RequestHistory,
}

/// The agent of the dispatch in flight, and its connection.
#[derive(Clone, Debug)]
struct Link {
    agent: AgentKey,
    outbox: Outbox,
}

/// A request on its way.
pub struct RequestTask {
    context: TaskContext,
    request: Arc<Request>,
    events: mpsc::Receiver<RequestEvent>,
    delivery: Delivery,
    attempt: Attempt,
    job: JobKey,
    link: Option<Link>,
    spent: Option<Micros>,
    arrived: Micros,
    queue_span: Option<Span>,
    trial: Option<Trial>,
    second: Option<Second>,
    response_started: Arc<AtomicBool>,
}

impl RequestTask {
    /// A request that has not arrived at the dispatcher yet.
    pub fn new(
        context: TaskContext,
        arrive: &Enqueue,
        events: mpsc::Receiver<RequestEvent>,
        caller: ResponseSender,
    ) -> Self {
        let request = arrive.request.clone();
        let plan = RequestPolicy::new(request.idempotent).deadline(Some(arrive.deadline));
        let arrived = context.clock.now();
        RequestTask {
            attempt: Attempt::new(plan),
            context,
            request,
            events,
            delivery: Delivery::to(caller),
            job: JobKey::default(),
            link: None,
            spent: None,
            arrived,
            queue_span: None,
            trial: None,
            second: None,
            response_started: arrive.response_started.clone(),
        }
    }

    /// The request is the one further try of one that crashed a target.
    pub fn trial(mut self, trial: Option<Trial>) -> Self {
        self.trial = trial;
        self
    }

    /// Brings the request to the dispatcher and follows it to its end.
    pub async fn run(mut self, arrive: Enqueue, mut span: Span) -> Outcome {
        self.queue_span = Some(self.context.telemetry.span("queue", Some(&span.context())));
        let outcome = match self.context.dispatcher.send(arrive).await {
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
                && (!self.delivery.waits() || outcome != Outcome::Whole)
            {
                return self.finish(outcome).await;
            }
            self.step().await;
        }
    }

    /// Waits for the next event and takes it in.
    async fn step(&mut self) {
        let body = self.delivery.body();
        let wake = self.wake();
        let waits = self.delivery.waits();
        tokio::select! {
            event = self.events.recv(), if self.attempt.outcome().is_none() => {
                let event = event.expect("the flight holds no sender's last copy");
                self.event(event).await;
            }
            permit = body.reserve(), if waits => match permit {
                Ok(permit) => {
                    let data = self.delivery.next();
                    let size = data.len();
                    permit.send(BodyPart::Data(data));
                    self.passed_on(size);
                }
                Err(_) => self.caller_gone().await,
            },
            () = body.closed(), if !waits && !self.delivery.is_gone() && !self.delivery.has_all() => {
                self.caller_gone().await;
            }
            () = tokio::time::sleep_until(wake) => self.woken(waits).await,
        }
    }

    fn wake(&self) -> Instant {
        match self.attempt.next_timer() {
            Some(at) => Instant::now() + Duration::from(at - self.context.clock.now()),
            None => Instant::now() + STALL_TIMEOUT,
        }
    }

    async fn woken(&mut self, waits: bool) {
        if waits && self.attempt.outcome().is_some() {
            // The caller has stalled: what it took ends without an end mark.
            self.delivery.stalled();
            return;
        }
        self.decide(AttemptEvent::Tick, None).await;
    }

    fn record(&self, step: Step) {
        self.context.history.record(self.request.id, step);
    }

    async fn event(&mut self, event: RequestEvent) {
        if let Ok(step) = Step::try_from(&event) {
            self.record(step);
        }
        let Some(event) = self.about_second(event).await else {
            return;
        };
        self.follow_link(&event);
        if let Some((attempt_event, part)) = attempt_event::translate(event) {
            self.decide(attempt_event, part).await;
        }
    }

    /// Keeps to the agent of the dispatch in flight, and to what it spent.
    fn follow_link(&mut self, event: &RequestEvent) {
        match event {
            RequestEvent::Dispatched { agent, outbox, .. } => {
                let outbox = outbox.clone();
                self.link = Some(Link {
                    agent: *agent,
                    outbox,
                });
                self.queue_span = None;
                let metrics = self.context.telemetry.metrics();
                metrics.event(telemetry::Event::Dispatch);
            }
            RequestEvent::Reconnected { agent, outbox, .. } => {
                if let Some(link) = self.link.as_mut().filter(|l| l.agent == *agent) {
                    link.outbox = outbox.clone();
                }
            }
            RequestEvent::End {
                dispatch, spent, ..
            } if self.attempt.dispatch() == Some(*dispatch) => self.spent = Some(*spent),
            _ => {}
        }
    }

    /// Lets the attempt decide and carries its actions out.
    async fn decide(&mut self, attempt_event: AttemptEvent, mut part: Option<ResponsePart>) {
        let actions = self.attempt.handle(self.context.clock.now(), attempt_event);
        let mut requeue = false;
        for action in actions {
            match action {
                Action::Ask { dispatch, next } => {
                    self.record(Step::ResumeRequested { next });
                    self.context
                        .telemetry
                        .metrics()
                        .event(telemetry::Event::Resume);
                    let floor = self.context.routes.floor();
                    self.send(&ToAgent::Query {
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
                Action::Deliver => self.deliver(part.take()),
                Action::Cancel(dispatch) => self.send(&ToAgent::Cancel { dispatch }),
                Action::Settle(dispatch) => {
                    let floor = self.context.routes.floor();
                    self.send(&ToAgent::Settled { dispatch, floor });
                }
                // `finish` ends a complete answer once all of it is part on; an answer that is
                // not ended is broken off; the dispatcher closes a dispatch that is returned or over.
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
            match self.context.quarantine.admit(&self.request) {
                Ok(trial) => self.trial = trial,
                Err(problem) => return self.give_up(problem.reason),
            }
        }
        self.record(Step::Requeued);
        let retry = self.attempt.may_have_run();
        let returned = Requeue {
            job: self.job,
            retry,
        };
        if self
            .context
            .dispatcher
            .send(returned)
            .await
            .unwrap_or(false)
        {
            self.context
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
        self.record(Step::Crashed);
        self.context.quarantine.record_crash(&self.request);
        if let Some(trial) = self.trial.take() {
            self.context.quarantine.end_trial(trial);
        }
    }

    /// Takes the waiting request no further.
    fn give_up(&mut self, reason: Reason) {
        let now = self.context.clock.now();
        for action in self.attempt.handle(now, AttemptEvent::GiveUp(reason)) {
            if let Action::Refuse(problem) = action {
                self.refuse(problem);
            }
        }
    }

    fn deliver(&mut self, part: Option<ResponsePart>) {
        match part {
            Some(ResponsePart::Head(head)) => {
                self.context
                    .telemetry
                    .metrics()
                    .wait(self.context.clock.now() - self.arrived);
                self.response_started.store(true, Ordering::Relaxed);
                self.delivery.head(head);
            }
            Some(ResponsePart::Data(data)) if self.delivery.is_gone() => self.passed_on(data.len()),
            Some(ResponsePart::Data(data)) => self.delivery.push(data),
            None => {}
        }
    }

    /// Counts a chunk that the caller has, and tells the agent of several at a time.
    fn passed_on(&mut self, size: usize) {
        let told = self.delivery.passed_on(size);
        if let (Some(next), Some(dispatch)) = (told, self.attempt.dispatch()) {
            self.send(&ToAgent::Ack { dispatch, next });
        }
    }

    async fn caller_gone(&mut self) {
        for data in self.delivery.abandoned() {
            self.passed_on(data.len());
        }
        self.decide(AttemptEvent::CallerGone, None).await;
    }

    fn refuse(&mut self, problem: Problem) -> Outcome {
        self.delivery.refuse(problem);
        Outcome::Refused(problem)
    }

    async fn finish(&mut self, outcome: Outcome) -> Outcome {
        if outcome == Outcome::Whole {
            self.delivery.end().await;
        }
        self.drop_second().await;
        // The dispatcher outlives every request.
        let _ = self
            .context
            .dispatcher
            .send(RequestFinished {
                job: self.job,
                spent: self.spent,
                complete: outcome == Outcome::Whole,
            })
            .await;
        outcome
    }

    /// Reports what became of a claim and a trial.
    fn settle(&mut self, outcome: Outcome) {
        if let Some(claim) = self.request.claim {
            let claim_outcome = match outcome {
                Outcome::Whole => ClaimOutcome::Done {
                    status: self.delivery.status(),
                },
                _ if outcome.not_run() => ClaimOutcome::NotRun,
                _ => ClaimOutcome::Unknown,
            };
            self.context.claims.finish(claim, claim_outcome);
        }
        if let Some(trial) = self.trial.take() {
            self.context.quarantine.end_trial(trial);
        }
    }

    fn count(&self, outcome: Outcome) {
        self.record(Step::Ended(outcome));
        let metrics: &Metrics = self.context.telemetry.metrics();
        metrics.request(outcome.into());
        metrics.total(self.context.clock.now() - self.arrived);
        if let Outcome::Refused(problem) = outcome {
            metrics.refusal(problem.reason);
        }
    }
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
