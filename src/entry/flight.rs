//! The task of one caller's request: follows its dispatches and passes the answer on.

use std::collections::VecDeque;
use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use tokio::sync::{mpsc, oneshot};
use tokio::time::Instant;
use xtra::Address;

use crate::conn::Outbox;
use crate::entry::desk::{Arrive, Desk, Over, Returned};
use crate::entry::request::Request;
use crate::entry::routes::Event;
use crate::ids::{AgentKey, BootId, DispatchId, JobKey};
use crate::problem::{Problem, Reason};
use crate::units::Micros;
use crate::wire::{Finish, Header, Known, ToAgent};

/// Longest wait for an agent whose connection was lost.
pub const RETURN_TIMEOUT: Duration = Duration::from_secs(10);
/// Most dispatches of one request.
pub const MAX_TRIES: u32 = 3;

/// Wait that a refused caller is asked for.
pub const QUEUE_RETRY: Duration = Duration::from_secs(1);

const DEFAULT_DEADLINE: Duration = Duration::from_secs(60);
const ACK_CHUNKS: u64 = 32;
const ACK_BYTES: u64 = 64 * 1024;

/// An answer's status and headers.
#[derive(Debug)]
pub struct Head {
    /// HTTP status.
    pub status: u16,
    /// Headers.
    pub headers: Vec<Header>,
}

/// A piece of an answer's body, or the word that it broke off.
#[derive(Debug)]
pub enum Piece {
    /// Bytes of the body.
    Data(Bytes),
    /// The answer is complete. Without it, a body that stops is broken off.
    End,
    /// The answer cannot be completed.
    Broken,
}

/// Where the answer goes.
#[derive(Debug)]
pub struct Caller {
    head: Option<oneshot::Sender<Result<Head, Problem>>>,
    body: mpsc::Sender<Piece>,
}

impl Caller {
    /// A caller who takes the head (or a refusal) and the body.
    pub fn new(head: oneshot::Sender<Result<Head, Problem>>, body: mpsc::Sender<Piece>) -> Self {
        Caller {
            head: Some(head),
            body,
        }
    }
}

#[derive(Debug)]
struct Sent {
    dispatch: DispatchId,
    agent: AgentKey,
    boot: BootId,
    outbox: Outbox,
}

#[derive(Clone, Copy, Debug)]
struct Ending {
    chunks: u64,
    bytes: u64,
    finish: Finish,
    spent: Micros,
}

/// How a flight ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Outcome {
    /// The whole answer was passed on.
    Answered,
    /// The caller got a refusal.
    Refused(Problem),
    /// The answer broke off after its head had been passed on.
    Broken,
    /// The caller went away.
    Gone,
}

/// A request on its way.
pub struct Flight {
    desk: Address<Desk>,
    job: JobKey,
    request: Arc<Request>,
    events: mpsc::Receiver<Event>,
    deadline: Instant,
    caller: Caller,
}

struct Progress {
    sent: Option<Sent>,
    tries: u32,
    next: u64,
    bytes: u64,
    pending: VecDeque<Bytes>,
    ending: Option<Ending>,
    missing: Option<Instant>,
    unacked: (u64, u64),
    acked: u64,
}

impl Flight {
    /// A request that has not arrived at the desk yet.
    pub fn new(
        desk: Address<Desk>,
        request: Arc<Request>,
        events: mpsc::Receiver<Event>,
        caller: Caller,
    ) -> Self {
        let deadline = Instant::now() + DEFAULT_DEADLINE;
        Flight {
            desk,
            job: JobKey::default(),
            request,
            events,
            deadline,
            caller,
        }
    }

    /// Sets the moment after which no answer is wanted.
    pub fn deadline(mut self, deadline: Instant) -> Self {
        self.deadline = deadline;
        self
    }

    /// Brings the request to the desk and follows it to its end.
    pub async fn run(mut self, arrive: Arrive) -> Outcome {
        match self.desk.send(arrive).await {
            Ok(Some(job)) => self.job = job,
            Ok(None) => {
                let problem = Problem::not_run(429, Reason::QueueFull);
                return self.refuse(problem.retry_after(QUEUE_RETRY));
            }
            Err(_) => return self.refuse(Problem::not_run(503, Reason::Draining)),
        }
        self.follow().await
    }

    async fn follow(&mut self) -> Outcome {
        let mut state = Progress {
            sent: None,
            tries: 0,
            next: 0,
            bytes: 0,
            pending: VecDeque::new(),
            ending: None,
            missing: None,
            unacked: (0, 0),
            acked: 0,
        };
        let outcome = loop {
            if let Some(outcome) = self.step(&mut state).await {
                break outcome;
            }
        };
        self.finish(&state, outcome).await;
        outcome
    }

    async fn step(&mut self, state: &mut Progress) -> Option<Outcome> {
        if state.pending.is_empty()
            && let Some(end) = state.ending
        {
            return self.ended(state, end).await;
        }
        let timer = state.missing.unwrap_or(self.deadline).min(self.deadline);
        let body = self.caller.body.clone();
        tokio::select! {
            event = self.events.recv() => match event {
                Some(event) => self.event(state, event).await,
                None => Some(Outcome::Broken),
            },
            permit = body.reserve(), if !state.pending.is_empty() => match permit {
                Ok(permit) => {
                    let data = state.pending.pop_front().expect("the queue is not empty");
                    state.unacked = (state.unacked.0 + 1, state.unacked.1 + data.len() as u64);
                    permit.send(Piece::Data(data));
                    self.acknowledge(state);
                    None
                }
                Err(_) => self.caller_gone(state),
            },
            () = body.closed(), if state.pending.is_empty() && self.may_cancel(state) => {
                Some(Outcome::Gone)
            }
            () = tokio::time::sleep_until(timer) => Some(self.timed_out(state)),
        }
    }

    async fn event(&mut self, state: &mut Progress, event: Event) -> Option<Outcome> {
        match event {
            Event::Sent {
                dispatch,
                agent,
                boot,
                outbox,
            } => {
                state.sent = Some(Sent {
                    dispatch,
                    agent,
                    boot,
                    outbox,
                });
                state.tries += 1;
                None
            }
            Event::Lost { agent } => {
                if state.sent.as_ref().is_some_and(|s| s.agent == agent) {
                    state.missing = Some(Instant::now() + RETURN_TIMEOUT);
                }
                None
            }
            Event::Back {
                agent,
                boot,
                outbox,
            } => self.back(state, agent, boot, outbox).await,
            Event::Declined { dispatch } if state.is(dispatch) => self.again(state).await,
            Event::Head {
                dispatch,
                status,
                headers,
            } if state.is(dispatch) => {
                if state.next == 0 {
                    state.next = 1;
                    if let Some(head) = self.caller.head.take() {
                        // A caller that is gone shows when the body is passed on.
                        let _ = head.send(Ok(Head { status, headers }));
                    }
                }
                None
            }
            Event::Chunk {
                dispatch,
                seq,
                data,
            } if state.is(dispatch) => {
                if seq == state.next && seq > 0 {
                    state.next += 1;
                    state.bytes += data.len() as u64;
                    state.pending.push_back(data);
                }
                None
            }
            Event::End {
                dispatch,
                finish,
                chunks,
                bytes,
                spent,
            } if state.is(dispatch) => {
                state.ending = Some(Ending {
                    chunks,
                    bytes,
                    finish,
                    spent,
                });
                None
            }
            Event::State { dispatch, known } if state.is(dispatch) => match known {
                Known::Running | Known::Done => None,
                Known::NeverSeen => self.again(state).await,
                Known::Forgotten => Some(self.fail(state, 502, Reason::OutcomeUnknown)),
            },
            _ => None,
        }
    }

    /// The agent is back: ask it, unless it was restarted and knows nothing.
    async fn back(
        &mut self,
        state: &mut Progress,
        agent: AgentKey,
        boot: BootId,
        outbox: Outbox,
    ) -> Option<Outcome> {
        let next = state.next;
        let sent = state.sent.as_mut().filter(|s| s.agent == agent)?;
        state.missing = None;
        if sent.boot != boot {
            return self.run_lost(state).await;
        }
        outbox.send(&ToAgent::Ask {
            dispatch: sent.dispatch,
            next,
        });
        sent.outbox = outbox;
        None
    }

    /// The run is lost with its agent: only what may run twice is tried again.
    async fn run_lost(&mut self, state: &mut Progress) -> Option<Outcome> {
        if self.request.idempotent && state.next == 0 {
            return self.again(state).await;
        }
        Some(self.fail(state, 502, Reason::OutcomeUnknown))
    }

    /// Puts the request back at the head of its queue.
    async fn again(&mut self, state: &mut Progress) -> Option<Outcome> {
        if state.tries >= MAX_TRIES {
            let problem = Problem::not_run(503, Reason::NoCapacity);
            return Some(self.refuse(problem));
        }
        state.sent = None;
        state.missing = None;
        state.ending = None;
        // The desk outlives every request.
        let _ = self.desk.send(Returned(self.job)).await;
        None
    }

    /// The target's answer has ended, and all of it has been passed on.
    async fn ended(&mut self, state: &mut Progress, end: Ending) -> Option<Outcome> {
        state.ending = None;
        let whole =
            end.finish == Finish::Whole && end.chunks + 1 == state.next && end.bytes == state.bytes;
        match end.finish {
            Finish::Whole if whole => Some(Outcome::Answered),
            Finish::Unreached => self.again(state).await,
            Finish::Crashed if self.request.idempotent && state.next == 0 => {
                self.again(state).await
            }
            _ => Some(self.fail(state, 502, Reason::TargetFailed)),
        }
        .inspect(|_| state.ending = Some(end))
    }

    fn timed_out(&mut self, state: &Progress) -> Outcome {
        if state.sent.is_none() {
            return self.refuse(Problem::not_run(503, Reason::DeadlinePassed));
        }
        self.fail(state, 504, Reason::OutcomeUnknown)
    }

    /// A failure after dispatch: a refusal before the head was passed on, a broken answer after.
    fn fail(&mut self, _state: &Progress, status: u16, reason: Reason) -> Outcome {
        if self.caller.head.is_some() {
            return self.refuse(Problem::unknown(status, reason));
        }
        // A caller that is gone needs no word.
        let _ = self.caller.body.try_send(Piece::Broken);
        Outcome::Broken
    }

    fn refuse(&mut self, problem: Problem) -> Outcome {
        if let Some(head) = self.caller.head.take() {
            // A caller that is gone needs no word.
            let _ = head.send(Err(problem));
        }
        Outcome::Refused(problem)
    }

    fn caller_gone(&mut self, state: &mut Progress) -> Option<Outcome> {
        if self.may_cancel(state) {
            return Some(Outcome::Gone);
        }
        state.pending.clear();
        None
    }

    /// Whether nothing is lost when the request is dropped: it waits, or may run again.
    fn may_cancel(&self, state: &Progress) -> bool {
        state.sent.is_none() || self.request.idempotent
    }

    fn acknowledge(&self, state: &mut Progress) {
        if state.unacked.0 < ACK_CHUNKS && state.unacked.1 < ACK_BYTES {
            return;
        }
        state.unacked = (0, 0);
        state.acked = state.next - state.pending.len() as u64;
        if let Some(sent) = &state.sent {
            sent.outbox.send(&ToAgent::Ack {
                dispatch: sent.dispatch,
                next: state.acked,
            });
        }
    }

    async fn finish(&mut self, state: &Progress, outcome: Outcome) {
        if outcome == Outcome::Answered {
            // A caller that is gone needs no word.
            let _ = self.caller.body.send(Piece::End).await;
        }
        if let Some(sent) = &state.sent {
            let message = match outcome {
                Outcome::Answered => ToAgent::Settled {
                    dispatch: sent.dispatch,
                },
                _ if state.ending.is_some() => ToAgent::Settled {
                    dispatch: sent.dispatch,
                },
                _ => ToAgent::Cancel {
                    dispatch: sent.dispatch,
                },
            };
            sent.outbox.send(&message);
        }
        let spent = state.ending.map(|e| e.spent);
        // The desk outlives every request.
        let _ = self
            .desk
            .send(Over {
                job: self.job,
                spent,
            })
            .await;
    }
}

impl Progress {
    fn is(&self, dispatch: DispatchId) -> bool {
        self.sent.as_ref().is_some_and(|s| s.dispatch == dispatch)
    }
}
