//! A request on its way: tries targets until one answers, or no more may be tried.

use std::sync::Arc;

use bytes::Bytes;
use http_body_util::{BodyExt, Full, Limited};
use hyper::Response;
use hyper::body::Incoming;
use tokio::time::timeout_at;

use crate::gateway::attempts::Attempts;
use crate::gateway::fair::{AccountTag, Standing};
use crate::gateway::gate::Gate;
use crate::gateway::order::Order;
use crate::gateway::place::Choice;
use crate::gateway::relay::Relay;
use crate::gateway::repeat::Failure;
use crate::gateway::request_log;
use crate::gateway::response::{self, ResponseBody};
use crate::gateway::send::{Dispatch, Upstream, dispatch, instant_at};
use crate::gateway::turn_away::{self, Offer};
use crate::platform::headers;
use crate::problem::{Problem, Reason};
use crate::units::Micros;

/// Largest answer of a plain call.
const MAX_ANSWER_BYTES: usize = 16 * 1024 * 1024;

/// How a try ended without a usable answer.
#[derive(Debug)]
pub struct Failed {
    /// Why.
    pub failure: Failure,
    /// The target's own answer, if it may be passed on as it is.
    pub answer: Option<Response<ResponseBody>>,
}

impl From<Failure> for Failed {
    fn from(failure: Failure) -> Self {
        Failed {
            failure,
            answer: None,
        }
    }
}

/// A request on its way.
#[derive(Debug)]
pub struct Flight {
    attempts: Attempts,
}

impl Flight {
    /// A request that was not sent yet.
    pub fn new(gate: Arc<Gate>, order: Order) -> Self {
        Flight {
            attempts: Attempts::new(gate, order),
        }
    }

    /// Has the request answered.
    ///
    /// # Errors
    /// Why it is refused.
    pub async fn run(mut self) -> Result<Response<ResponseBody>, Problem> {
        let mut choice = self.admit()?;
        self.attempts.gate.sent_first(&self.attempts.order.service);
        loop {
            let failed = match self.attempt(choice).await {
                Ok(response) => return Ok(response),
                Err(failed) => failed,
            };
            self.attempts.failed(choice.target, failed.failure);
            choice = match self.attempts.next() {
                Some(choice) => choice,
                None => return self.give_up(failed),
            };
        }
    }

    /// The first target, unless the request is better refused at once.
    fn admit(&self) -> Result<Choice, Problem> {
        let order = &self.attempts.order;
        if let Some(wait) = self.attempts.gate.held(order) {
            let problem = Problem::not_run(503, Reason::Quarantined).retry_after(wait.into());
            request_log::given_up(&self.attempts.gate, order, &problem);
            return Err(problem);
        }
        let prompt = order.prompt.as_ref();
        let choice = self.attempts.gate.choose(order, &[]);
        let now = self.attempts.gate.clock.now();
        let offer = Offer {
            choice,
            waited: now.saturating_sub(order.arrived),
            left: order.until().saturating_sub(now),
            aim: order.route.latency_objective.into(),
            engine: prompt.is_some(),
            standing: self.asks(now),
            pressure: self.attempts.gate.pressure(&order.service),
        };
        let choice = turn_away::decide(&offer, rand::random()).inspect_err(|problem| {
            request_log::refused(&self.attempts.gate, order, problem, &offer);
        })?;
        if let (Some(account), Some(prompt)) = (&order.account, prompt) {
            let (tag, tokens) = (AccountTag::of(account), prompt.cost());
            self.attempts
                .gate
                .with_fair(|fair| fair.sent(now, tag, tokens));
        }
        Ok(choice)
    }

    /// Counts what the client account asks for. Returns where it stands.
    fn asks(&self, now: Micros) -> Standing {
        let order = &self.attempts.order;
        let (Some(account), Some(prompt)) = (&order.account, &order.prompt) else {
            return Standing::Owed;
        };
        let Some(pace) = self.attempts.gate.pace() else {
            return Standing::Owed;
        };
        let tag = AccountTag::of(account);
        self.attempts.gate.with_fair(|fair| {
            fair.asked(now, tag, prompt.cost());
            fair.standing(now, tag, pace)
        })
    }

    fn give_up(&self, failed: Failed) -> Result<Response<ResponseBody>, Problem> {
        if let Some(answer) = failed.answer {
            return Ok(answer);
        }
        let mut problem = self.attempts.tries.problem(failed.failure);
        if self.attempts.gate.clock.now() >= self.attempts.order.until() {
            problem = self.attempts.tries.refuse(Reason::DeadlinePassed);
        }
        request_log::given_up(&self.attempts.gate, &self.attempts.order, &problem);
        Err(turn_away::with_retry(problem, rand::random()))
    }

    /// Sends the request to a target and takes its answer.
    async fn attempt(&mut self, choice: Choice) -> Result<Response<ResponseBody>, Failed> {
        let route = &self.attempts.order.route;
        let silence = self.attempts.tries.silence(
            route.class,
            route.max_attempts,
            choice.expected,
            route.latency_objective.into(),
        );
        let ask = Dispatch {
            choice,
            last_event: None,
            silence,
        };
        let upstream = dispatch(&self.attempts.gate, &self.attempts.order, ask).await?;
        let streams = self.attempts.order.route.class.is_streaming();
        match upstream.head.status.is_success() {
            true if streams => Ok(self.stream(upstream)),
            true => self.whole(upstream).await,
            false => Err(self.refused(upstream).await),
        }
    }

    fn stream(&self, upstream: Upstream) -> Response<ResponseBody> {
        let status = upstream.head.status;
        let headers = headers::forward_response(&upstream.head.headers);
        let relay = Relay::new(upstream, self.attempts.clone());
        response::from_parts(status, headers, ResponseBody::Right(relay))
    }

    /// A plain call's answer, read whole before any of it is passed on.
    async fn whole(&self, upstream: Upstream) -> Result<Response<ResponseBody>, Failed> {
        let Upstream {
            head,
            meta,
            body,
            connection,
            mut flight,
        } = upstream;
        let body = self.read(body).await?;
        flight.begun();
        self.attempts
            .answered(flight.target, connection, meta.idle_timeout);
        let headers = headers::forward_response(&head.headers);
        let body = ResponseBody::Left(Full::new(body));
        Ok(response::from_parts(head.status, headers, body))
    }

    /// What an answer that is no success means.
    async fn refused(&self, upstream: Upstream) -> Failed {
        let failure = upstream.failure();
        let Upstream {
            head,
            meta,
            body,
            connection,
            flight,
        } = upstream;
        let target = flight.target;
        let Ok(body) = self.read(body).await else {
            return Failure::Broken.into();
        };
        self.attempts
            .gate
            .pool
            .put(target, connection, meta.idle_timeout);
        // These would say "not run", which is not certain.
        let promises = matches!(head.status.as_u16(), 408 | 429 | 503);
        if failure.not_run() || promises || !meta.signed {
            return failure.into();
        }
        let headers = headers::forward_response(&head.headers);
        let body = ResponseBody::Left(Full::new(body));
        Failed {
            failure,
            answer: Some(response::from_parts(head.status, headers, body)),
        }
    }

    async fn read(&self, body: Incoming) -> Result<Bytes, Failed> {
        let body = Limited::new(body, MAX_ANSWER_BYTES).collect();
        match timeout_at(
            instant_at(&self.attempts.gate, self.attempts.order.until()),
            body,
        )
        .await
        {
            Ok(Ok(body)) => Ok(body.to_bytes()),
            Ok(Err(_)) => Err(Failure::Broken.into()),
            Err(_) => Err(Failure::Silent.into()),
        }
    }
}
