//! Passes a stream of events on as they come, and goes on at another target where that is allowed.

use std::pin::Pin;
use std::sync::Arc;
use std::task::{Context, Poll, ready};

use bytes::Bytes;
use hyper::body::{Body, Frame, Incoming};
use smallvec::SmallVec;
use tokio::sync::oneshot;
use tokio::time::Sleep;

use crate::gateway::events::Splitter;
use crate::gateway::flight;
use crate::gateway::gate::Gate;
use crate::gateway::in_flight::InFlight;
use crate::gateway::links::Link;
use crate::gateway::order::Order;
use crate::gateway::request_log;
use crate::gateway::send::{self, Sending, Upstream};
use crate::gateway::targets::TargetKey;
use crate::platform::headers::Told;
use crate::telemetry::Outcome;

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

/// A stream that comes from a target.
#[derive(Debug)]
struct Source {
    body: Incoming,
    link: Link,
    told: Told,
    flight: InFlight,
    /// Whether anything of its stream has come.
    begun: bool,
}

#[derive(Debug)]
enum State {
    Reading(Box<Source>),
    /// Another target is asked to go on.
    Resuming(oneshot::Receiver<Option<Upstream>>),
    Over,
}

/// The body of an answer that is a stream of events.
#[derive(Debug)]
pub struct Relay {
    gate: Arc<Gate>,
    order: Arc<Order>,
    state: State,
    splitter: Splitter,
    tried: SmallVec<[TargetKey; 4]>,
    late: Pin<Box<Sleep>>,
    begun: bool,
}

impl Relay {
    /// Passes on the stream that has begun. `tried` are the targets that were tried before.
    pub fn new(
        gate: Arc<Gate>,
        order: Arc<Order>,
        upstream: Upstream,
        tried: SmallVec<[TargetKey; 4]>,
    ) -> Self {
        let at = send::deadline(&gate, order.arrived + order.route.timeout.into());
        Relay {
            gate,
            order,
            state: State::Reading(Box::new(upstream.into())),
            splitter: Splitter::default(),
            tried,
            late: Box::pin(tokio::time::sleep_until(at)),
            begun: false,
        }
    }

    /// The target's stream has ended; keeps its connection if the stream was whole.
    fn ended(&mut self) -> Poll<Option<Result<Frame<Bytes>, BrokenStream>>> {
        if self.splitter.is_within() {
            return self.broken();
        }
        if let State::Reading(source) = std::mem::replace(&mut self.state, State::Over) {
            let target = source.flight.target;
            self.gate.links.put(target, source.link, source.told.idle);
            let took = self.gate.clock.now().saturating_sub(self.order.arrived);
            self.gate.metrics().request(Outcome::Whole);
            self.gate.metrics().total(took);
        }
        Poll::Ready(None)
    }

    /// The target's stream broke off: another goes on where that is allowed.
    fn broken(&mut self) -> Poll<Option<Result<Frame<Bytes>, BrokenStream>>> {
        let state = std::mem::replace(&mut self.state, State::Over);
        if let State::Reading(source) = state {
            self.tried.push(source.flight.target);
            // The connection ends here, so that the target stops.
            drop(source);
            if let Some(resumed) = self.resume() {
                self.splitter.drop_part();
                self.state = State::Resuming(resumed);
                return Poll::Pending;
            }
        }
        request_log::broken(&self.gate, &self.order, self.begun, BrokenStream::Target);
        Poll::Ready(Some(Err(BrokenStream::Target)))
    }

    /// Asks another target to go on, if that is allowed.
    fn resume(&self) -> Option<oneshot::Receiver<Option<Upstream>>> {
        let order = &self.order;
        let sent = u32::try_from(self.tried.len()).unwrap_or(u32::MAX);
        if !flight::may_resume(order.route.kind) || sent >= order.route.attempts {
            return None;
        }
        let choice = self.gate.choose(order, &self.tried)?;
        if !self.gate.may_repeat(&order.service) {
            return None;
        }
        let (mut back, resumed) = oneshot::channel();
        let (gate, order) = (self.gate.clone(), order.clone());
        let after = self.splitter.last().map(str::to_owned);
        tokio::spawn(async move {
            let sending = Sending {
                choice,
                after: after.as_deref(),
                silence: None,
            };
            let open = send::open(&gate, &order, sending);
            tokio::select! {
                upstream = open => {
                    let upstream = upstream.ok().filter(|u| u.head.status.is_success());
                    // A caller that is gone needs no stream.
                    let _ = back.send(upstream);
                }
                () = back.closed() => {}
            }
        });
        Some(resumed)
    }
}

impl From<Upstream> for Source {
    fn from(upstream: Upstream) -> Self {
        Source {
            body: upstream.body,
            link: upstream.link,
            told: upstream.told,
            flight: upstream.flight,
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
            this.state = State::Over;
            request_log::broken(&this.gate, &this.order, this.begun, BrokenStream::Late);
            return Poll::Ready(Some(Err(BrokenStream::Late)));
        }
        loop {
            match &mut this.state {
                State::Over => return Poll::Ready(None),
                State::Resuming(resumed) => {
                    let upstream = ready!(Pin::new(resumed).poll(context));
                    let Ok(Some(upstream)) = upstream else {
                        this.state = State::Over;
                        request_log::broken(
                            &this.gate,
                            &this.order,
                            this.begun,
                            BrokenStream::Target,
                        );
                        return Poll::Ready(Some(Err(BrokenStream::Target)));
                    };
                    this.state = State::Reading(Box::new(upstream.into()));
                }
                State::Reading(source) => {
                    let frame = ready!(Pin::new(&mut source.body).poll_frame(context));
                    let data = match frame {
                        Some(Ok(frame)) => frame.into_data().unwrap_or_default(),
                        None if !this.splitter.is_within() => return this.ended(),
                        Some(Err(_)) | None => match this.broken() {
                            Poll::Pending => continue,
                            over => return over,
                        },
                    };
                    if !source.begun && !data.is_empty() {
                        source.begun = true;
                        source.flight.begun();
                    }
                    if !this.begun && !data.is_empty() {
                        this.begun = true;
                        let now = this.gate.clock.now();
                        let wait = now.saturating_sub(this.order.arrived);
                        this.gate.metrics().wait(wait);
                        if wait > this.order.route.aim.into() {
                            request_log::late(&this.gate, &this.order, &source.flight);
                        }
                    }
                    match this.splitter.push(data) {
                        Ok(whole) if whole.is_empty() => {}
                        Ok(whole) => return Poll::Ready(Some(Ok(Frame::data(whole)))),
                        Err(_) => {
                            this.state = State::Over;
                            return Poll::Ready(Some(Err(BrokenStream::Target)));
                        }
                    }
                }
            }
        }
    }
}
