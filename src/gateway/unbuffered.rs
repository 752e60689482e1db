//! Relays an answer that is no event stream and that the process has no memory left to buffer.
//!
//! The target has run the request, so that a rejection would be untrue and a repetition would cost
//! as much again. The answer is read at the pace of its client instead. If it breaks off, the client's
//! connection is reset, so that the client can tell that the answer is incomplete.

use std::pin::Pin;
use std::task::{Context, Poll};

use bytes::Bytes;
use hyper::body::{Body, Frame, Incoming, SizeHint};
use tokio_util::sync::WaitForCancellationFutureOwned;

use crate::gateway::attempts::{Attempts, Progress};
use crate::gateway::forward::MAX_ANSWER_BYTES;
use crate::gateway::idle_timer::IdleTimer;
use crate::gateway::in_flight::InFlight;
use crate::gateway::relay::BrokenStream;
use crate::gateway::request_log;
use crate::gateway::retry::Failure;
use crate::gateway::send::Upstream;

/// A response body that relays an answer whose beginning has been read.
#[derive(Debug)]
pub struct UnbufferedAnswer {
    attempts: Attempts,
    /// What has been read of the answer and is not passed on yet.
    beginning: [Bytes; 2],
    /// The target's side; `None` once the answer has ended.
    upstream: Option<Box<Upstream>>,
    /// Number of bytes that have been read.
    received: usize,
    /// Detects a target that sends nothing for the route's timeout while it is read.
    silence: IdleTimer,
    /// Whether the target is waited for, and not the client.
    is_waiting: bool,
    grace_over: Pin<Box<WaitForCancellationFutureOwned>>,
}

impl UnbufferedAnswer {
    /// Relays the answer `upstream` after its `beginning`. `attempts` contains the attempts before it.
    pub fn new(mut upstream: Upstream, beginning: [Bytes; 2], attempts: Attempts) -> Self {
        upstream.in_flight.record_first_event();
        attempts.request.release_body();
        UnbufferedAnswer {
            received: beginning.iter().map(Bytes::len).sum(),
            beginning,
            upstream: Some(Box::new(upstream)),
            silence: IdleTimer::new(attempts.request.route.timeout),
            is_waiting: false,
            grace_over: Box::pin(attempts.gateway.grace_over_owned()),
            attempts,
        }
    }

    fn take_beginning(&mut self) -> Option<Bytes> {
        let part = self.beginning.iter_mut().find(|part| !part.is_empty())?;
        Some(std::mem::take(part))
    }

    /// Polls for the next bytes of the target's answer; `None` at its end.
    fn poll_target(&mut self, context: &mut Context<'_>) -> Poll<Option<Result<Bytes, Ended>>> {
        let Some(upstream) = &mut self.upstream else {
            return Poll::Ready(None);
        };
        match next_data(&mut upstream.body, context) {
            Poll::Ready(data) => {
                self.is_waiting = false;
                Poll::Ready(data.map(|data| data.map_err(|_| Ended::BROKEN)))
            }
            Poll::Pending => self.poll_limits(context),
        }
    }

    /// Ready once the target is no longer waited for.
    fn poll_limits<T>(&mut self, context: &mut Context<'_>) -> Poll<Option<Result<T, Ended>>> {
        if !self.is_waiting {
            self.is_waiting = true;
            self.silence.reset();
        }
        if self.grace_over.as_mut().poll(context).is_ready() {
            return Poll::Ready(Some(Err(Ended::DRAINING)));
        }
        self.silence
            .poll(context)
            .map(|()| Some(Err(Ended::SILENT)))
    }

    fn finish(&mut self) {
        if let Some(upstream) = self.upstream.take() {
            let Upstream {
                meta,
                connection,
                in_flight,
                ..
            } = *upstream;
            let gateway = &self.attempts.gateway;
            gateway.record_begin(&self.attempts.request, in_flight.sent);
            self.attempts
                .record_success(in_flight.target, connection, meta.idle_timeout);
        }
    }

    fn fail(&mut self, ended: Ended) -> BrokenStream {
        if let (Some(upstream), Some(failure)) = (self.upstream.take(), ended.failure) {
            let InFlight { target, sent, .. } = upstream.in_flight;
            let progress = Progress { sent, began: true };
            self.attempts.record_failure(target, failure, progress);
        }
        self.upstream = None;
        let Attempts {
            gateway, request, ..
        } = &self.attempts;
        request_log::stream_broken(gateway, request, true, ended.cause);
        ended.cause
    }
}

/// Why an answer ended early.
#[derive(Clone, Copy, Debug)]
struct Ended {
    cause: BrokenStream,
    /// The target's failure, if it is one.
    failure: Option<Failure>,
}

impl Ended {
    const BROKEN: Ended = Ended {
        cause: BrokenStream::Target,
        failure: Some(Failure::Broken),
    };
    const SILENT: Ended = Ended {
        cause: BrokenStream::TimedOut,
        failure: Some(Failure::Silent),
    };
    const DRAINING: Ended = Ended {
        cause: BrokenStream::Draining,
        failure: None,
    };
}

/// Polls for the next bytes of a body, without its trailers.
fn next_data(
    body: &mut Incoming,
    context: &mut Context<'_>,
) -> Poll<Option<Result<Bytes, hyper::Error>>> {
    loop {
        match std::task::ready!(Pin::new(&mut *body).poll_frame(context)) {
            Some(Ok(frame)) => match frame.into_data() {
                Ok(data) => return Poll::Ready(Some(Ok(data))),
                Err(_) => continue,
            },
            Some(Err(error)) => return Poll::Ready(Some(Err(error))),
            None => return Poll::Ready(None),
        }
    }
}

impl Body for UnbufferedAnswer {
    type Data = Bytes;
    type Error = BrokenStream;

    fn poll_frame(
        self: Pin<&mut Self>,
        context: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, BrokenStream>>> {
        let this = self.get_mut();
        if let Some(part) = this.take_beginning() {
            return Poll::Ready(Some(Ok(Frame::data(part))));
        }
        let data = match std::task::ready!(this.poll_target(context)) {
            Some(Ok(data)) => data,
            Some(Err(ended)) => return Poll::Ready(Some(Err(this.fail(ended)))),
            None => {
                this.finish();
                return Poll::Ready(None);
            }
        };
        this.received += data.len();
        match this.received > MAX_ANSWER_BYTES {
            true => Poll::Ready(Some(Err(this.fail(Ended::BROKEN)))),
            false => Poll::Ready(Some(Ok(Frame::data(data)))),
        }
    }

    /// The rest of the length that the target announces, if it announces one.
    fn size_hint(&self) -> SizeHint {
        let rest = self
            .upstream
            .as_ref()
            .map(|upstream| upstream.body.size_hint());
        let beginning: usize = self.beginning.iter().map(Bytes::len).sum();
        match rest.and_then(|rest| rest.exact()) {
            Some(rest) => SizeHint::with_exact(rest + beginning as u64),
            None => SizeHint::default(),
        }
    }
}
