//! Passes a stream of events on as they come, and goes on at another target where that is allowed.

use std::pin::Pin;
use std::task::{Context, Poll, ready};
use std::time::Duration;

use bytes::Bytes;
use hyper::body::{Body, Frame, Incoming};
use tokio::time::Sleep;

use crate::gateway::attempts::Attempts;
use crate::gateway::events::Splitter;
use crate::gateway::idle_timer::IdleTimer;
use crate::gateway::in_flight::InFlight;
use crate::gateway::pool::Connection;
use crate::gateway::request_log;
use crate::gateway::resume::{self, ResumeReceiver};
use crate::gateway::retry::Failure;
use crate::gateway::send::{self, Upstream};
use crate::platform::headers::ResponseMeta;

/// A stream that another target can resume may be silent for this many times its route's aim.
const SILENT_AIMS: u32 = 2;

/// The stream broke off; the connection is reset so that the caller sees it.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
pub enum BrokenStream {
    /// The target's stream ended within an event, or with an error.
    #[error("the target's stream broke off")]
    Target,
    /// It took longer than its route allows.
    #[error("the stream took too long")]
    Late,
}

type Next = Poll<Option<Result<Frame<Bytes>, BrokenStream>>>;

/// A stream that comes from a target.
#[derive(Debug)]
struct Source {
    body: Incoming,
    link: Connection,
    told: ResponseMeta,
    in_flight: InFlight,
    /// Whether anything of its stream has come.
    begun: bool,
}

#[derive(Debug)]
enum State {
    Reading(Box<Source>),
    /// Another target is asked to go on.
    Resuming(ResumeReceiver),
    Over,
}

/// The body of an answer that is a stream of events.
#[derive(Debug)]
pub struct Relay {
    attempts: Attempts,
    state: State,
    splitter: Splitter,
    /// Watched while another target could go on.
    idle_timer: Option<IdleTimer>,
    late: Pin<Box<Sleep>>,
    begun: bool,
}

impl Relay {
    /// Passes on the stream that has begun. `attempts` are the tries before it.
    pub fn new(upstream: Upstream, attempts: Attempts) -> Self {
        let request = &attempts.request;
        let at = send::instant_at(
            &attempts.gateway,
            request.arrived + request.route.timeout.into(),
        );
        let mut relay = Relay {
            attempts,
            state: State::Over,
            splitter: Splitter::default(),
            idle_timer: None,
            late: Box::pin(tokio::time::sleep_until(at)),
            begun: false,
        };
        relay.read(upstream);
        relay
    }

    /// Reads a target's stream from now on.
    fn read(&mut self, upstream: Upstream) {
        let usual = self.attempts.request.route.latency_objective * SILENT_AIMS;
        let expected: Duration = upstream.in_flight.expected.into();
        let most = usual.max(expected * SILENT_AIMS);
        self.idle_timer = self.may_resume().then(|| IdleTimer::new(most));
        self.state = State::Reading(Box::new(upstream.into()));
    }

    /// Whether one more target may run the request after the one that does now.
    fn may_resume(&self) -> bool {
        let route = &self.attempts.request.route;
        let mut counts = self.attempts.counts;
        counts.record(Failure::Broken);
        route.class.is_retryable() && counts.may_retry(route.class, route.max_attempts)
    }

    /// The target's stream has ended; keeps its connection if the stream was whole.
    fn ended(&mut self) -> Next {
        if let State::Reading(source) = std::mem::replace(&mut self.state, State::Over) {
            let target = source.in_flight.target;
            self.attempts
                .record_success(target, source.link, source.told.idle_timeout);
        }
        Poll::Ready(None)
    }

    /// Gives up what the target sends and asks another one to go on. Returns whether one may.
    fn go_on(&mut self, failure: Failure) -> bool {
        let State::Reading(source) = &self.state else {
            return false;
        };
        let target = source.in_flight.target;
        let mut attempts = self.attempts.clone();
        attempts.record_failure(target, failure);
        let Some(choice) = attempts.next_target() else {
            return false;
        };
        // The connection ends here, so that the target stops.
        self.state = State::Over;
        self.idle_timer = None;
        self.splitter.drop_part();
        let after = self.splitter.last().map(str::to_owned);
        self.state = State::Resuming(resume::start(attempts, choice, after));
        true
    }

    fn broken(&mut self, cause: BrokenStream) -> Next {
        self.state = State::Over;
        request_log::broken(
            &self.attempts.gateway,
            &self.attempts.request,
            self.begun,
            cause,
        );
        Poll::Ready(Some(Err(cause)))
    }

    /// The next bytes of the target's stream; `None` at an end that is no failure.
    fn poll_source(&mut self, context: &mut Context<'_>) -> Poll<Result<Option<Bytes>, Failure>> {
        let State::Reading(source) = &mut self.state else {
            return Poll::Ready(Ok(None));
        };
        if let Poll::Ready(frame) = Pin::new(&mut source.body).poll_frame(context) {
            let within = self.splitter.is_within();
            return Poll::Ready(match frame {
                Some(Ok(frame)) => Ok(Some(frame.into_data().unwrap_or_default())),
                None if !within => Ok(None),
                Some(Err(_)) | None => Err(Failure::Broken),
            });
        }
        let idle_timer = self.idle_timer.as_mut();
        ready!(idle_timer.map_or(Poll::Pending, |idle_timer| idle_timer.poll(context)));
        self.idle_timer = None;
        Poll::Ready(Err(Failure::Silent))
    }

    /// Takes in bytes of the stream; returns the whole events so far.
    fn take(&mut self, data: Bytes) -> Result<Bytes, BrokenStream> {
        if !data.is_empty() {
            self.note();
        }
        self.splitter.push(data).map_err(|_| BrokenStream::Target)
    }

    /// Notes that something has come, and when the first of it has.
    fn note(&mut self) {
        if let Some(idle_timer) = &mut self.idle_timer {
            idle_timer.reset();
        }
        let State::Reading(source) = &mut self.state else {
            return;
        };
        if !source.begun {
            source.begun = true;
            source.in_flight.response_started();
        }
        if !self.begun {
            self.begun = true;
            let now = self.attempts.gateway.clock.now();
            let wait = now.saturating_sub(self.attempts.request.arrived);
            self.attempts.gateway.metrics().wait(wait);
            if wait > self.attempts.request.route.latency_objective.into() {
                request_log::late(
                    &self.attempts.gateway,
                    &self.attempts.request,
                    &source.in_flight,
                );
            }
        }
    }

    fn poll_resumed(&mut self, context: &mut Context<'_>) -> Poll<bool> {
        let State::Resuming(resumed) = &mut self.state else {
            return Poll::Ready(true);
        };
        let goes_on = ready!(Pin::new(resumed).poll(context));
        let Ok(Some(goes_on)) = goes_on else {
            return Poll::Ready(false);
        };
        self.attempts = goes_on.attempts;
        self.read(goes_on.upstream);
        Poll::Ready(true)
    }

    fn poll_next(&mut self, context: &mut Context<'_>) -> Next {
        loop {
            if let State::Over = self.state {
                return Poll::Ready(None);
            }
            if !ready!(self.poll_resumed(context)) {
                return self.broken(BrokenStream::Target);
            }
            match ready!(self.poll_source(context)) {
                Ok(None) => return self.ended(),
                Ok(Some(data)) => match self.take(data) {
                    Ok(whole) if whole.is_empty() => {}
                    Ok(whole) => return Poll::Ready(Some(Ok(Frame::data(whole)))),
                    Err(cause) => return self.broken(cause),
                },
                Err(failure) => {
                    // A silent stream that nobody else can go on with may still go on itself.
                    if !self.go_on(failure) && failure != Failure::Silent {
                        return self.broken(BrokenStream::Target);
                    }
                }
            }
        }
    }
}

impl From<Upstream> for Source {
    fn from(upstream: Upstream) -> Self {
        Source {
            body: upstream.body,
            link: upstream.connection,
            told: upstream.meta,
            in_flight: upstream.in_flight,
            begun: false,
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
        if this.late.as_mut().poll(context).is_ready() {
            return this.broken(BrokenStream::Late);
        }
        this.poll_next(context)
    }
}
