//! The task of one request: feeds events to its [`Attempt`] and carries out the resulting actions.

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
use hedge::Hedge;
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

/// Retry delay sent to callers while the entry drains.
pub const DRAIN_RETRY: Duration = Duration::from_secs(1);

/// Time after which the response to a caller that reads nothing is aborted.
const STALL_TIMEOUT: Duration = Duration::from_secs(60);

/// The parts of the entry that request tasks use.
#[derive(Clone)]
pub struct TaskContext {
    /// Queues and dispatches requests.
    pub dispatcher: Address<Dispatcher>,
    /// Routes from dispatches to request tasks.
    pub routes: Routes,
    /// Clock of the process.
    pub clock: Clock,
    /// Metrics and traces.
    pub telemetry: Telemetry,
    /// Claims on idempotency keys.
    pub claims: KeyClaims,
    /// Quarantine of requests that crash their targets.
    pub quarantine: SharedQuarantine,
    /// Steps of recent requests, for `/explain`.
    pub history: RequestHistory,
}

/// An agent that runs a dispatch, and the sender of its connection.
#[derive(Clone, Debug)]
struct AgentConnection {
    agent: AgentKey,
    outbox: Outbox,
}

/// A request from its arrival to its outcome.
pub struct RequestTask {
    context: TaskContext,
    request: Arc<Request>,
    events: mpsc::Receiver<RequestEvent>,
    delivery: Delivery,
    attempt: Attempt,
    job: JobKey,
    connection: Option<AgentConnection>,
    spent: Option<Micros>,
    arrived: Micros,
    queue_span: Option<Span>,
    trial: Option<Trial>,
    hedge: Option<Hedge>,
    response_started: Arc<AtomicBool>,
}

impl RequestTask {
    /// Creates the task of a request that has not been submitted to the dispatcher.
    pub fn new(
        context: TaskContext,
        enqueue: &Enqueue,
        events: mpsc::Receiver<RequestEvent>,
        caller: ResponseSender,
    ) -> Self {
        let request = enqueue.request.clone();
        let policy = RequestPolicy::new(request.idempotent).deadline(Some(enqueue.deadline));
        let arrived = context.clock.now();
        RequestTask {
            attempt: Attempt::new(policy),
            context,
            request,
            events,
            delivery: Delivery::new(caller),
            job: JobKey::default(),
            connection: None,
            spent: None,
            arrived,
            queue_span: None,
            trial: None,
            hedge: None,
            response_started: enqueue.response_started.clone(),
        }
    }

    /// Marks the request as a trial after a crash.
    pub fn with_trial(mut self, trial: Option<Trial>) -> Self {
        self.trial = trial;
        self
    }

    /// Submits the request to the dispatcher and runs it to its outcome.
    pub async fn run(mut self, enqueue: Enqueue, mut span: Span) -> Outcome {
        self.queue_span = Some(self.context.telemetry.span("queue", Some(&span.context())));
        let outcome = match self.context.dispatcher.send(enqueue).await {
            Ok(Ok(job)) => {
                self.job = job;
                self.process_events().await
            }
            Ok(Err(problem)) => self.refuse(problem),
            Err(_) => self.refuse(Problem::not_run(503, Reason::Draining)),
        };
        self.report_outcome(outcome);
        self.record_metrics(outcome);
        span.set_attribute("outcome", telemetry::Outcome::from(outcome).label());
        outcome
    }

    async fn process_events(&mut self) -> Outcome {
        loop {
            if let Some(outcome) = self.attempt.outcome()
                && (!self.delivery.has_pending() || outcome != Outcome::Whole)
            {
                return self.finish(outcome).await;
            }
            self.next_event().await;
        }
    }

    /// Waits for the next event, for space in the caller's channel or for a timer, and handles it.
    async fn next_event(&mut self) {
        let body = self.delivery.body();
        let wake = self.next_wake();
        let has_pending = self.delivery.has_pending();
        tokio::select! {
            event = self.events.recv(), if self.attempt.outcome().is_none() => {
                let event = event.expect("the dispatcher holds a sender until the end");
                self.handle_event(event).await;
            }
            permit = body.reserve(), if has_pending => match permit {
                Ok(permit) => {
                    let data = self.delivery.pop();
                    let size = data.len();
                    permit.send(BodyPart::Data(data));
                    self.acknowledge(size);
                }
                Err(_) => self.handle_disconnect().await,
            },
            () = body.closed(), if !has_pending
                && !self.delivery.is_closed()
                && !self.delivery.is_complete() => {
                self.handle_disconnect().await;
            }
            () = tokio::time::sleep_until(wake) => self.handle_timer(has_pending).await,
        }
    }

    fn next_wake(&self) -> Instant {
        match self.attempt.next_timer() {
            Some(at) => Instant::now() + Duration::from(at - self.context.clock.now()),
            None => Instant::now() + STALL_TIMEOUT,
        }
    }

    async fn handle_timer(&mut self, has_pending: bool) {
        if has_pending && self.attempt.outcome().is_some() {
            // The caller has stalled: end the body without `BodyPart::End`, so that the caller sees
            // an error.
            self.delivery.discard();
            return;
        }
        self.advance(AttemptEvent::Tick, None).await;
    }

    fn record(&self, step: Step) {
        self.context.history.record(self.request.id, step);
    }

    async fn handle_event(&mut self, event: RequestEvent) {
        if let Ok(step) = Step::try_from(&event) {
            self.record(step);
        }
        let Some(event) = self.handle_hedge_event(event).await else {
            return;
        };
        self.track_connection(&event);
        if let Some((attempt_event, part)) = attempt_event::translate(event) {
            self.advance(attempt_event, part).await;
        }
    }

    /// Tracks the connection of the current dispatch, and the slot time that the dispatch has used.
    fn track_connection(&mut self, event: &RequestEvent) {
        match event {
            RequestEvent::Dispatched { agent, outbox, .. } => {
                let outbox = outbox.clone();
                self.connection = Some(AgentConnection {
                    agent: *agent,
                    outbox,
                });
                self.queue_span = None;
                let metrics = self.context.telemetry.metrics();
                metrics.event(telemetry::Event::Dispatch);
            }
            RequestEvent::Reconnected { agent, outbox, .. } => {
                if let Some(connection) = self.connection.as_mut().filter(|c| c.agent == *agent) {
                    connection.outbox = outbox.clone();
                }
            }
            RequestEvent::End {
                dispatch, spent, ..
            } if self.attempt.dispatch() == Some(*dispatch) => self.spent = Some(*spent),
            _ => {}
        }
    }

    /// Passes an event to the attempt and carries out the actions that it returns.
    async fn advance(&mut self, attempt_event: AttemptEvent, mut part: Option<ResponsePart>) {
        let actions = self.attempt.handle(self.context.clock.now(), attempt_event);
        let mut requeue = false;
        for action in actions {
            match action {
                Action::Query { dispatch, next } => {
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
                Action::RecordCrash => self.record_crash(),
                Action::Refuse(problem) => {
                    self.refuse(problem);
                }
                Action::Deliver => self.deliver(part.take()),
                Action::Cancel(dispatch) => self.send(&ToAgent::Cancel { dispatch }),
                Action::Settle(dispatch) => {
                    let floor = self.context.routes.floor();
                    self.send(&ToAgent::Settled { dispatch, floor });
                }
                // `finish` ends a complete response after the last chunk. A response that `finish`
                // does not end is aborted. The dispatcher closes dispatches on `Requeue` and
                // `RequestFinished`.
                Action::Complete | Action::Abort | Action::Close(_) => {}
            }
        }
        if requeue {
            self.requeue().await;
        }
    }

    fn send(&self, message: &ToAgent) {
        if let Some(connection) = &self.connection {
            connection.outbox.send(message);
        }
    }

    async fn requeue(&mut self) {
        if self.hedge.is_some() {
            return self.promote_hedge().await;
        }
        self.connection = None;
        self.spent = None;
        if self.trial.is_none() {
            match self.context.quarantine.admit(&self.request) {
                Ok(trial) => self.trial = trial,
                Err(problem) => return self.give_up(problem.reason),
            }
        }
        self.record(Step::Requeued);
        let retry = self.attempt.may_have_run();
        let message = Requeue {
            job: self.job,
            retry,
        };
        if self.context.dispatcher.send(message).await.unwrap_or(false) {
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

    /// Records that the request crashed its target, and ends the trial if the request ran as one.
    fn record_crash(&mut self) {
        self.record(Step::Crashed);
        self.context.quarantine.record_crash(&self.request);
        if let Some(trial) = self.trial.take() {
            self.context.quarantine.end_trial(trial);
        }
    }

    /// Refuses a request that is not running.
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
                    .record_wait(self.context.clock.now() - self.arrived);
                self.response_started.store(true, Ordering::Relaxed);
                self.delivery.send_head(head);
            }
            Some(ResponsePart::Data(data)) if self.delivery.is_closed() => {
                self.acknowledge(data.len())
            }
            Some(ResponsePart::Data(data)) => self.delivery.push(data),
            None => {}
        }
    }

    /// Counts a forwarded chunk, and acknowledges chunks to the agent in batches.
    fn acknowledge(&mut self, size: usize) {
        let acked = self.delivery.record_forwarded(size);
        if let (Some(next), Some(dispatch)) = (acked, self.attempt.dispatch()) {
            self.send(&ToAgent::Ack { dispatch, next });
        }
    }

    async fn handle_disconnect(&mut self) {
        for data in self.delivery.close() {
            self.acknowledge(data.len());
        }
        self.advance(AttemptEvent::CallerGone, None).await;
    }

    fn refuse(&mut self, problem: Problem) -> Outcome {
        self.delivery.send_problem(problem);
        Outcome::Refused(problem)
    }

    async fn finish(&mut self, outcome: Outcome) -> Outcome {
        if outcome == Outcome::Whole {
            self.delivery.finish().await;
        }
        self.cancel_hedge().await;
        // The dispatcher outlives every request task.
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

    /// Reports the outcome of the request's claim, and ends the request's trial.
    fn report_outcome(&mut self, outcome: Outcome) {
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

    fn record_metrics(&self, outcome: Outcome) {
        self.record(Step::Ended(outcome));
        let metrics: &Metrics = self.context.telemetry.metrics();
        metrics.record_outcome(outcome.into());
        metrics.record_total(self.context.clock.now() - self.arrived);
        if let Outcome::Refused(problem) = outcome {
            metrics.record_refusal(problem.reason);
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
