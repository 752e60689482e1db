//! Relays an event stream to the client, and resumes it at another target where that is allowed.

use std::pin::Pin;
use std::task::{Context, Poll, ready};
use std::time::Duration;

use bytes::Bytes;
use hyper::body::{Body, Frame, Incoming};
use hyper::header::{CONTENT_TYPE, HeaderValue};
use tokio::sync::oneshot;
use tokio::time::Sleep;
use tokio_util::sync::WaitForCancellationFutureOwned;

use crate::gateway::attempts::{Attempts, Progress};
use crate::gateway::config::RouteClass;
use crate::gateway::events::Splitter;
use crate::gateway::idle_timer::IdleTimer;
use crate::gateway::in_flight::InFlight;
use crate::gateway::pool::Connection;
use crate::gateway::request_log;
use crate::gateway::resume::{self, ResumePoint, ResumeReceiver};
use crate::gateway::retry::Failure;
use crate::gateway::run_check::{RunCheck, RunState};
use crate::gateway::send::{self, Upstream};
use crate::gateway::targets::TargetRun;
use crate::gateway::versions::VersionRule;
use crate::platform::headers::ResponseMeta;

/// The target of a stream that another target can resume is asked whether it runs the request if no
/// data arrives for this many times the route's latency objective, or the expected time to its first
/// event if that is longer.
const SILENCE_FACTOR: u32 = 2;

/// Error that ends a stream early. The client's connection is then reset, so that the client can
/// tell that the stream is incomplete.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
pub enum BrokenStream {
    /// The target's stream ended inside an event, with an error, or without framing before any
    /// event.
    #[error("the target's stream broke off")]
    Target,
    /// The stream exceeded its route's timeout.
    #[error("the stream exceeded its route's timeout")]
    TimedOut,
    /// The stream was still running at the end of the grace period.
    #[error("the gateway shut down")]
    Draining,
}

type Next = Poll<Option<Result<Frame<Bytes>, BrokenStream>>>;

/// An open stream from a target.
#[derive(Debug)]
struct TargetStream {
    body: Incoming,
    connection: Connection,
    meta: ResponseMeta,
    in_flight: InFlight,
    /// Whether only the end of the connection delimits the stream.
    is_unframed: bool,
    /// Whether a complete event has arrived.
    started: bool,
}

impl TargetStream {
    /// Whether the stream is known to be incomplete when it ends at an event boundary. Without a
    /// length or chunks, a target that dies before its first event ends it like this; with them,
    /// the target itself says that there are no events.
    fn is_cut_short(&self) -> bool {
        self.is_unframed && !self.started
    }
}

#[derive(Debug)]
enum State {
    Reading(Box<TargetStream>),
    /// Another target is asked to resume the stream.
    Resuming(ResumeReceiver),
    Done,
}

/// A question to a silent target, whose stream stays open until the answer.
#[derive(Debug)]
struct Inquiry {
    answer: oneshot::Receiver<RunState>,
    check: RunCheck,
}

/// A response body that relays an event stream.
#[derive(Debug)]
pub struct Relay {
    attempts: Attempts,
    /// The run of the target whose stream is or was read last.
    run: TargetRun,
    /// Content type of the answer; `None` if it has none.
    content_type: Option<HeaderValue>,
    state: State,
    splitter: Splitter,
    /// Detects a silent target; `None` unless another target may resume the stream.
    idle_timer: Option<IdleTimer>,
    /// The question to a silent target whether it runs the request.
    inquiry: Option<Inquiry>,
    timeout: Pin<Box<Sleep>>,
    grace_over: Pin<Box<WaitForCancellationFutureOwned>>,
    started: bool,
}

impl Relay {
    /// Relays the stream `upstream`. `attempts` contains the attempts before it.
    pub fn new(upstream: Upstream, attempts: Attempts) -> Self {
        let request = &attempts.request;
        let at = send::instant_at(
            &attempts.gateway,
            request.arrived + request.route.timeout.into(),
        );
        let grace_over = Box::pin(attempts.gateway.grace_over_owned());
        let splitter = Splitter::new(&attempts.gateway.bytes);
        let mut relay = Relay {
            attempts,
            run: upstream.run.clone(),
            content_type: upstream.head.headers.get(CONTENT_TYPE).cloned(),
            state: State::Done,
            splitter,
            idle_timer: None,
            inquiry: None,
            timeout: Box::pin(tokio::time::sleep_until(at)),
            grace_over,
            started: false,
        };
        relay.read(upstream);
        relay
    }

    /// Makes `upstream` the stream to read from.
    fn read(&mut self, upstream: Upstream) {
        let limit = self.silence_limit(&upstream.in_flight);
        self.idle_timer = self.may_resume().then(|| IdleTimer::new(limit));
        self.inquiry = None;
        self.run = upstream.run.clone();
        self.state = State::Reading(Box::new(upstream.into()));
    }

    /// Time without data after which the target is silent.
    fn silence_limit(&self, in_flight: &InFlight) -> Duration {
        let objective = self.attempts.request.route.latency_objective;
        let expected: Duration = in_flight.choice.expected.into();
        objective.max(expected) * SILENCE_FACTOR
    }

    /// Whether another target may run the request if the current one fails.
    fn may_resume(&self) -> bool {
        let route = &self.attempts.request.route;
        let mut counts = self.attempts.counts;
        counts.record(Failure::Broken);
        route.class.is_retryable() && counts.may_retry(route.class, route.max_attempts)
    }

    /// Ends the relay after the target's complete stream, and returns the connection to the pool.
    fn finish(&mut self) -> Next {
        if let State::Reading(stream) = std::mem::replace(&mut self.state, State::Done) {
            let target = stream.in_flight.target;
            self.attempts
                .record_success(target, stream.connection, stream.meta.idle_timeout);
        }
        Poll::Ready(None)
    }

    /// Gives up the target and asks another one to resume the stream. Returns `false` if the stream
    /// may not be resumed or no target is left. With a `check`, the resumed stream waits until the
    /// target has stopped.
    fn try_resume(&mut self, failure: Failure, check: Option<RunCheck>) -> bool {
        let State::Reading(stream) = &self.state else {
            return false;
        };
        let progress = Progress {
            sent: stream.in_flight.sent,
            began: stream.started,
        };
        let target = stream.in_flight.target;
        let mut attempts = self.attempts.clone();
        attempts.record_failure(target, failure, progress);
        let Some(choice) = attempts.next_target() else {
            return false;
        };
        // Dropping the connection makes most targets stop.
        self.state = State::Done;
        self.idle_timer = None;
        self.splitter.resume();
        let point = ResumePoint {
            last_event: self.splitter.last_id().map(str::to_owned),
            content_type: self.content_type.clone(),
        };
        self.state = State::Resuming(resume::start(attempts, choice, point, check));
        true
    }

    fn fail(&mut self, cause: BrokenStream) -> Next {
        self.state = State::Done;
        request_log::stream_broken(
            &self.attempts.gateway,
            &self.attempts.request,
            self.started,
            cause,
        );
        Poll::Ready(Some(Err(cause)))
    }

    /// Polls for the next bytes of the target's stream; `None` at its regular end.
    fn poll_stream(&mut self, context: &mut Context<'_>) -> Poll<Result<Option<Bytes>, Failure>> {
        let State::Reading(stream) = &mut self.state else {
            return Poll::Ready(Ok(None));
        };
        if let Poll::Ready(frame) = Pin::new(&mut stream.body).poll_frame(context) {
            let is_incomplete = self.splitter.has_partial() || stream.is_cut_short();
            return Poll::Ready(match frame {
                Some(Ok(frame)) => Ok(Some(frame.into_data().unwrap_or_default())),
                None if !is_incomplete => Ok(None),
                Some(Err(_)) | None => Err(Failure::Broken),
            });
        }
        ready!(self.poll_silence(context));
        Poll::Ready(Err(Failure::Silent))
    }

    /// Ready once the target has been silent and has been asked whether it runs the request. Stays
    /// pending if it cannot tell: it may run the request, so no other target may, and it may go on.
    fn poll_silence(&mut self, context: &mut Context<'_>) -> Poll<()> {
        if let Some(idle_timer) = &mut self.idle_timer {
            ready!(idle_timer.poll(context));
            self.idle_timer = None;
            self.inquiry = self.inquire();
        }
        let Some(inquiry) = &mut self.inquiry else {
            return Poll::Pending;
        };
        match ready!(Pin::new(&mut inquiry.answer).poll(context)) {
            Ok(RunState::Unknown) | Err(_) => {
                self.inquiry = None;
                Poll::Pending
            }
            Ok(RunState::Unreachable) => {
                self.inquiry = None;
                Poll::Ready(())
            }
            Ok(RunState::Running | RunState::Gone) => Poll::Ready(()),
        }
    }

    fn inquire(&self) -> Option<Inquiry> {
        let State::Reading(stream) = &self.state else {
            return None;
        };
        let check = RunCheck::new(&self.attempts, stream.in_flight.target)?;
        let answer = check.clone().start();
        Some(Inquiry { answer, check })
    }

    /// Records that the target has sent data, so that its next silence is noticed too.
    fn record_activity(&mut self) {
        self.inquiry = None;
        if let Some(idle_timer) = &mut self.idle_timer {
            idle_timer.reset();
        } else if let (true, State::Reading(stream)) = (self.may_resume(), &self.state) {
            self.idle_timer = Some(IdleTimer::new(self.silence_limit(&stream.in_flight)));
        }
    }

    /// Adds bytes of the stream; returns the events that are now complete.
    fn push(&mut self, data: Bytes) -> Result<Bytes, BrokenStream> {
        if !data.is_empty() {
            self.record_activity();
        }
        let pushed = self.splitter.push(data);
        let events = pushed.map_err(|_| BrokenStream::Target)?;
        if !events.is_empty() {
            self.record_events();
        }
        Ok(events)
    }

    /// Records that events have arrived; the first ones give the latency.
    fn record_events(&mut self) {
        if !self.started {
            self.record_begin();
        }
        let State::Reading(stream) = &mut self.state else {
            return;
        };
        if !stream.started {
            stream.started = true;
            stream.in_flight.record_first_event();
            let sent = stream.in_flight.sent;
            let Attempts {
                gateway, request, ..
            } = &self.attempts;
            gateway.record_begin(request, sent);
        }
        if !self.started {
            self.started = true;
            let now = self.attempts.gateway.clock.now();
            let wait = now.saturating_sub(self.attempts.request.arrived);
            self.attempts.gateway.metrics().record_wait(wait);
            if wait > self.attempts.request.route.latency_objective.into() {
                request_log::late(
                    &self.attempts.gateway,
                    &self.attempts.request,
                    &stream.in_flight,
                );
            }
        }
    }

    /// Records which version has brought the first event that the client gets, so that the stream goes
    /// on only there.
    fn record_begin(&mut self) {
        let Attempts {
            gateway, request, ..
        } = &self.attempts;
        let is_resumable = request.route.class == RouteClass::ResumableStream;
        if is_resumable && request.resumption.is_none() {
            gateway.record_stream(request, &self.run);
        }
        self.attempts.versions = VersionRule::for_stream_of(self.run.version_tag());
    }

    fn poll_resumed(&mut self, context: &mut Context<'_>) -> Poll<bool> {
        let State::Resuming(receiver) = &mut self.state else {
            return Poll::Ready(true);
        };
        let resumed = ready!(Pin::new(receiver).poll(context));
        let Ok(Some(resumed)) = resumed else {
            return Poll::Ready(false);
        };
        self.attempts = resumed.attempts;
        request_log::resumed(
            &self.attempts.gateway,
            &self.attempts.request,
            [&self.run, &resumed.upstream.run],
            self.splitter.last_id(),
        );
        self.read(resumed.upstream);
        Poll::Ready(true)
    }

    fn poll_next(&mut self, context: &mut Context<'_>) -> Next {
        loop {
            if let State::Done = self.state {
                return Poll::Ready(None);
            }
            if !ready!(self.poll_resumed(context)) {
                return self.fail(BrokenStream::Target);
            }
            match ready!(self.poll_stream(context)) {
                Ok(None) => return self.finish(),
                Ok(Some(data)) => match self.push(data) {
                    Ok(events) if events.is_empty() => {}
                    Ok(events) => return Poll::Ready(Some(Ok(Frame::data(events)))),
                    Err(cause) => return self.fail(cause),
                },
                Err(failure) => {
                    let inquiry = self.inquiry.take().filter(|_| failure == Failure::Silent);
                    let check = inquiry.map(|inquiry| inquiry.check);
                    // A silent stream that no other target can resume may still continue.
                    if !self.try_resume(failure, check) && failure != Failure::Silent {
                        return self.fail(BrokenStream::Target);
                    }
                }
            }
        }
    }
}

impl From<Upstream> for TargetStream {
    fn from(upstream: Upstream) -> Self {
        TargetStream {
            is_unframed: upstream.ends_with_connection(),
            body: upstream.body,
            connection: upstream.connection,
            meta: upstream.meta,
            in_flight: upstream.in_flight,
            started: false,
        }
    }
}

impl Body for Relay {
    type Data = Bytes;
    type Error = BrokenStream;

    fn poll_frame(
        self: Pin<&mut Self>,
        context: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, BrokenStream>>> {
        let this = self.get_mut();
        if this.timeout.as_mut().poll(context).is_ready() {
            return this.fail(BrokenStream::TimedOut);
        }
        if this.grace_over.as_mut().poll(context).is_ready() {
            return this.fail(BrokenStream::Draining);
        }
        this.poll_next(context)
    }
}
