//! Forwards a client request: admission, then attempts at targets until one answers or no further
//! attempt is allowed.

use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use http_body_util::Full;
use hyper::Response;
use hyper::body::Incoming;
use tokio::time::{timeout, timeout_at};

use crate::gateway::admission::{self, AdmissionContext};
use crate::gateway::attempts::{Attempts, Progress};
use crate::gateway::body;
use crate::gateway::fair_share::{AccountTag, ShareStatus};
use crate::gateway::overload;
use crate::gateway::pool::Connection;
use crate::gateway::relay::Relay;
use crate::gateway::request::ClientRequest;
use crate::gateway::request_log;
use crate::gateway::response::{self, ResponseBody};
use crate::gateway::resumption;
use crate::gateway::retry::Failure;
use crate::gateway::selection::Choice;
use crate::gateway::send::{Dispatch, Upstream, dispatch, instant_at};
use crate::gateway::state::GatewayState;
use crate::gateway::targets::TargetKey;
use crate::platform::headers;
use crate::problem::{Problem, Reason};
use crate::telemetry::{Event, Outcome};
use crate::units::Micros;

/// Maximum size of a non-streaming answer, which is buffered whole.
const MAX_ANSWER_BYTES: usize = 16 * 1024 * 1024;

/// Maximum size of the body of an answer that says the request was not run; more is not read.
const MAX_REFUSAL_BYTES: usize = 64 * 1024;
/// Time limit for reading a body that is not forwarded, so that one without end does not take the time
/// of a retry.
const REFUSAL_TIMEOUT: Duration = Duration::from_secs(1);

/// An attempt that ended without a usable answer.
#[derive(Debug)]
pub struct AttemptError {
    /// Kind of the failure.
    pub failure: Failure,
    /// The target's error response; `None` if it must not be forwarded to the client.
    pub answer: Option<Response<ResponseBody>>,
}

impl From<Failure> for AttemptError {
    fn from(failure: Failure) -> Self {
        AttemptError {
            failure,
            answer: None,
        }
    }
}

/// Forwards one request.
#[derive(Debug)]
pub struct Forwarder {
    attempts: Attempts,
    /// Whether an attempt is under way, which a target may run.
    is_sending: bool,
}

impl Forwarder {
    /// Prepares to forward a request that has not been sent yet.
    pub fn new(gateway: Arc<GatewayState>, request: ClientRequest) -> Self {
        Forwarder {
            attempts: Attempts::new(gateway, request),
            is_sending: false,
        }
    }

    /// Forwards the request and returns the response for the client.
    ///
    /// # Errors
    /// Returns the error response for the client if the request is refused, or if no attempt yields
    /// a response that can be forwarded.
    pub async fn run(mut self) -> Result<Response<ResponseBody>, Problem> {
        let gateway = self.attempts.gateway.clone();
        tokio::select! {
            biased;
            result = self.answer() => return result,
            () = gateway.grace_over() => {}
        }
        Err(self.cut_off())
    }

    /// The final answer to a request that still runs at the end of the grace period.
    fn cut_off(&self) -> Problem {
        let Attempts {
            gateway, request, ..
        } = &self.attempts;
        let mut counts = self.attempts.counts;
        if self.is_sending {
            counts.record(Failure::Silent);
        }
        let problem = counts.refusal(Reason::Draining);
        request_log::given_up(gateway, request, &problem);
        admission::with_retry_after(problem, None, rand::random())
    }

    async fn answer(&mut self) -> Result<Response<ResponseBody>, Problem> {
        let Attempts {
            gateway, request, ..
        } = &self.attempts;
        self.attempts.versions = resumption::version_rule(gateway, request).await?;
        let mut choice = self.admit()?;
        self.attempts
            .gateway
            .record_first_send(&self.attempts.request.service);
        loop {
            let progress = Progress::not_begun(self.attempts.gateway.clock.now());
            self.is_sending = true;
            let failed = match self.attempt(choice).await {
                Ok(response) => return Ok(response),
                Err(failed) => failed,
            };
            self.is_sending = false;
            self.attempts
                .record_failure(choice.target, failed.failure, progress);
            choice = match self.attempts.next_target() {
                Some(choice) => choice,
                None => return self.give_up(failed),
            };
        }
    }

    /// Returns the first target, unless the request is in quarantine or admission refuses it.
    fn admit(&self) -> Result<Choice, Problem> {
        let request = &self.attempts.request;
        if let Some(wait) = self.attempts.gateway.remaining_quarantine(request) {
            let problem = Problem::not_run(503, Reason::Quarantined).retry_after(wait.into());
            request_log::given_up(&self.attempts.gateway, request, &problem);
            return Err(problem);
        }
        if !self.attempts.gateway.ends_in_grace(request) {
            let wait = overload::retry_after(rand::random());
            let problem = Problem::not_run(503, Reason::Draining).retry_after(wait);
            request_log::given_up(&self.attempts.gateway, request, &problem);
            return Err(problem);
        }
        request_log::suspected(&self.attempts.gateway, request);
        self.attempts.gateway.record_demand(&request.service);
        let prompt = request.prompt.as_ref();
        let choice = self.attempts.choose();
        let zones = self.attempts.gateway.allowed_zones(request);
        if choice.is_none() && zones.is_restricted() {
            self.attempts.gateway.metrics().event(Event::RegionRefusal);
        }
        let room_interval = match choice {
            Some(_) => None,
            None => self
                .attempts
                .gateway
                .room_interval(&request.service, &zones),
        };
        let pause = match choice {
            Some(_) => None,
            None => self.attempts.gateway.pause_of_all(&request.service, &zones),
        };
        let now = self.attempts.gateway.clock.now();
        let context = AdmissionContext {
            choice,
            room_interval,
            pause,
            elapsed: now.saturating_sub(request.arrived),
            remaining: request.deadline().saturating_sub(now),
            latency_objective: request.route.latency_objective.into(),
            is_engine: prompt.is_some(),
            share: self.record_account(now),
            backlog: self.attempts.gateway.mean_backlog(&request.service, &zones),
        };
        let choice = admission::admit(&context, rand::random()).inspect_err(|problem| {
            request_log::refused(&self.attempts.gateway, request, problem, &context);
        })?;
        if let (Some(account), Some(prompt)) = (&request.account, prompt) {
            let (tag, tokens) = (AccountTag::of(account), prompt.cost());
            self.attempts
                .gateway
                .with_shares(|shares| shares.record_sent(now, tag, tokens));
        }
        Ok(choice)
    }

    /// Adds the request to its client account's usage and returns the account's fair-share status.
    fn record_account(&self, now: Micros) -> ShareStatus {
        let request = &self.attempts.request;
        let (Some(account), Some(prompt)) = (&request.account, &request.prompt) else {
            return ShareStatus::BelowShare;
        };
        let Some(token_rate) = self.attempts.gateway.token_rate() else {
            return ShareStatus::BelowShare;
        };
        let tag = AccountTag::of(account);
        self.attempts.gateway.with_shares(|shares| {
            shares.record_request(now, tag, prompt.cost());
            shares.status(now, tag, token_rate, rand::random())
        })
    }

    fn give_up(&self, failed: AttemptError) -> Result<Response<ResponseBody>, Problem> {
        if let Some(answer) = failed.answer {
            return Ok(answer);
        }
        let mut problem = self.attempts.counts.problem(failed.failure);
        if self.attempts.gateway.clock.now() >= self.attempts.request.deadline() {
            problem = self.attempts.counts.refusal(Reason::DeadlinePassed);
        }
        let service = &self.attempts.request.service;
        let zones = self.attempts.gateway.allowed_zones(&self.attempts.request);
        let pause = self.attempts.gateway.pause_of_all(service, &zones);
        let problem = admission::with_retry_after(problem, pause, rand::random());
        request_log::given_up(&self.attempts.gateway, &self.attempts.request, &problem);
        Err(problem)
    }

    /// Sends the request to a target and processes its answer.
    async fn attempt(&mut self, choice: Choice) -> Result<Response<ResponseBody>, AttemptError> {
        let route = &self.attempts.request.route;
        let response_timeout = self.attempts.counts.response_timeout(
            route.class,
            route.max_attempts,
            choice.expected,
            route.latency_objective.into(),
        );
        let sending = Dispatch {
            choice,
            versions: self.attempts.versions,
            last_event: None,
            response_timeout,
        };
        let upstream = dispatch(&self.attempts.gateway, &self.attempts.request, sending).await?;
        let streams = self.attempts.request.route.class.is_streaming();
        match upstream.head.status.is_success() {
            true if streams => Ok(self.stream(upstream)),
            true => self.buffered(upstream).await,
            false => Err(self.rejected(upstream).await),
        }
    }

    fn stream(&self, upstream: Upstream) -> Response<ResponseBody> {
        let Attempts {
            gateway, request, ..
        } = &self.attempts;
        if request.resumption.is_some() {
            request_log::taken_up(gateway, request, &upstream.run);
        }
        if !self.attempts.request.route.class.is_retryable() {
            self.attempts.request.release_body();
        }
        let status = upstream.head.status;
        let headers = headers::forward_response(&upstream.head.headers);
        let relay = Relay::new(upstream, self.attempts.clone());
        response::from_parts(status, headers, ResponseBody::Right(relay))
    }

    /// Reads a non-streaming answer completely before any of it is forwarded.
    ///
    /// An empty body that the end of the connection delimits is a valid answer to a call (RFC 9112,
    /// section 6.3), but no evidence that the target survived it.
    async fn buffered(&self, upstream: Upstream) -> Result<Response<ResponseBody>, AttemptError> {
        let is_unframed = upstream.ends_with_connection();
        let Upstream {
            head,
            meta,
            body,
            connection,
            mut in_flight,
            run: _,
        } = upstream;
        let body = self.read(body).await?;
        in_flight.record_first_event();
        let gateway = &self.attempts.gateway;
        if is_unframed && body.is_empty() {
            gateway.metrics().record_outcome(Outcome::Whole);
        } else {
            gateway.record_begin(&self.attempts.request, in_flight.sent);
            self.attempts
                .record_success(in_flight.target, connection, meta.idle_timeout);
        }
        let headers = headers::forward_response(&head.headers);
        let body = ResponseBody::Left(Full::new(body));
        Ok(response::from_parts(head.status, headers, body))
    }

    /// Maps an answer with an error status to a failure.
    async fn rejected(&self, upstream: Upstream) -> AttemptError {
        let failure = upstream.failure();
        let Upstream {
            head,
            meta,
            body,
            connection,
            in_flight,
            run: _,
        } = upstream;
        let target = in_flight.target;
        if failure.not_run() {
            // The client sees nothing of this answer, and must not wait for the rest of it.
            let gateway = self.attempts.gateway.clone();
            let idle = meta.idle_timeout;
            tokio::spawn(reuse_connection(gateway, target, connection, body, idle));
            return failure.into();
        }
        // These statuses tell the client that the request was not run, which is not certain here.
        let implies_not_run = matches!(head.status.as_u16(), 408 | 429 | 503);
        let is_forwarded = !implies_not_run && meta.signed;
        let read = self.read(body);
        let body = match is_forwarded {
            true => read.await,
            false => match timeout(REFUSAL_TIMEOUT, read).await {
                Ok(body) => body,
                Err(_) => return failure.into(),
            },
        };
        let Ok(body) = body else {
            return Failure::Broken.into();
        };
        self.attempts
            .gateway
            .pool
            .put(target, connection, meta.idle_timeout);
        if !is_forwarded {
            return failure.into();
        }
        let headers = headers::forward_response(&head.headers);
        let body = ResponseBody::Left(Full::new(body));
        AttemptError {
            failure,
            answer: Some(response::from_parts(head.status, headers, body)),
        }
    }

    async fn read(&self, mut body: Incoming) -> Result<Bytes, AttemptError> {
        let budget = &self.attempts.gateway.bytes;
        let body = body::read(&mut body, MAX_ANSWER_BYTES, budget);
        match timeout_at(
            instant_at(&self.attempts.gateway, self.attempts.request.deadline()),
            body,
        )
        .await
        {
            Ok(Ok(body)) => Ok(body),
            Ok(Err(_)) => Err(Failure::Broken.into()),
            Err(_) => Err(Failure::Silent.into()),
        }
    }
}

/// Reads the rest of an answer that nobody waits for, and returns its connection to the pool.
async fn reuse_connection(
    gateway: Arc<GatewayState>,
    target: TargetKey,
    connection: Connection,
    mut body: Incoming,
    idle: Option<Duration>,
) {
    let read = body::read(&mut body, MAX_REFUSAL_BYTES, &gateway.bytes);
    if let Ok(Ok(_)) = timeout(REFUSAL_TIMEOUT, read).await {
        gateway.pool.put(target, connection, idle);
    }
}
