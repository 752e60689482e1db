//! A request on its way: tries targets until one answers, or no more may be tried.

use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use http_body_util::{BodyExt, Full, Limited};
use hyper::body::Incoming;
use hyper::http::response::Parts;
use hyper::{Request, Response, StatusCode};
use smallvec::SmallVec;
use tokio::time::{Instant, timeout_at};

use crate::gateway::answer::{self, AnswerBody};
use crate::gateway::config::Kind;
use crate::gateway::fair::{AccountTag, Standing};
use crate::gateway::gate::{Gate, InFlight};
use crate::gateway::links::{self, ConnectError, Link};
use crate::gateway::order::Order;
use crate::gateway::place::Choice;
use crate::gateway::relay::Relay;
use crate::gateway::repeat::{Failure, Tries};
use crate::gateway::targets::TargetKey;
use crate::gateway::turn_away::{self, Offer};
use crate::gateway::words;
use crate::platform::headers::{self, Told};
use crate::problem::{Problem, Reason};
use crate::telemetry::{Event, Outcome};
use crate::units::Micros;

/// Largest answer of a plain call.
const MAX_ANSWER_BYTES: usize = 16 * 1024 * 1024;

/// A target's answer that has begun.
#[derive(Debug)]
pub struct Upstream {
    /// Its head.
    pub head: Parts,
    /// What its head says.
    pub told: Told,
    /// Its body.
    pub body: Incoming,
    /// The connection that it comes on.
    pub link: Link,
    /// Its place in the target's load.
    pub flight: InFlight,
}

/// How a try ended without a usable answer.
#[derive(Debug)]
pub struct Failed {
    /// Why.
    pub failure: Failure,
    /// The target's own answer, if it may be passed on as it is.
    pub answer: Option<Response<AnswerBody>>,
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
    gate: Arc<Gate>,
    order: Arc<Order>,
    tries: Tries,
    tried: SmallVec<[TargetKey; 4]>,
}

impl Flight {
    /// A request that was not sent yet.
    pub fn new(gate: Arc<Gate>, order: Order) -> Self {
        Flight {
            gate,
            order: Arc::new(order),
            tries: Tries::default(),
            tried: SmallVec::new(),
        }
    }

    /// Has the request answered.
    ///
    /// # Errors
    /// Why it is refused.
    pub async fn run(mut self) -> Result<Response<AnswerBody>, Problem> {
        let mut choice = self.admit()?;
        self.gate.sent_first(&self.order.service);
        loop {
            let failed = match self.attempt(choice).await {
                Ok(response) => return Ok(response),
                Err(failed) => failed,
            };
            self.tries.add(failed.failure);
            self.tried.push(choice.target);
            words::failed(&self.order, &self.gate, choice.target, failed.failure);
            choice = match self.next() {
                Some(choice) => {
                    self.gate.metrics().event(Event::Retry);
                    choice
                }
                None => return self.give_up(failed),
            };
        }
    }

    /// The first target, unless the request is better refused at once.
    fn admit(&self) -> Result<Choice, Problem> {
        let order = &self.order;
        let prompt = order.prompt.as_ref();
        let choice = self
            .gate
            .choose(&order.service, prompt, order.route.aim.into(), &[]);
        let now = self.gate.clock.now();
        let offer = Offer {
            choice,
            waited: self.gate.clock.now().saturating_sub(order.arrived),
            left: order.until().saturating_sub(self.gate.clock.now()),
            aim: order.route.aim.into(),
            engine: prompt.is_some(),
            standing: self.asks(now),
            pressure: self.gate.pressure(&order.service),
        };
        let choice = turn_away::decide(&offer, rand::random()).inspect_err(|problem| {
            words::refused(&self.gate, order, problem, &offer);
        })?;
        if let (Some(account), Some(prompt)) = (&order.account, prompt) {
            let (tag, tokens) = (AccountTag::of(account), prompt.cost());
            self.gate.with_fair(|fair| fair.sent(now, tag, tokens));
        }
        Ok(choice)
    }

    /// Counts what the client account asks for. Returns where it stands.
    fn asks(&self, now: Micros) -> Standing {
        let order = &self.order;
        let (Some(account), Some(prompt)) = (&order.account, &order.prompt) else {
            return Standing::Owed;
        };
        let Some(pace) = self.gate.pace() else {
            return Standing::Owed;
        };
        let tag = AccountTag::of(account);
        self.gate.with_fair(|fair| {
            fair.asked(now, tag, prompt.cost());
            fair.standing(now, tag, pace)
        })
    }

    /// Another target, if one may be tried.
    fn next(&self) -> Option<Choice> {
        let order = &self.order;
        let may = self
            .tries
            .may_repeat(order.route.kind, order.route.attempts);
        if !may || self.gate.clock.now() >= order.until() {
            return None;
        }
        let choice = self.gate.choose(
            &order.service,
            order.prompt.as_ref(),
            order.route.aim.into(),
            &self.tried,
        )?;
        self.gate.may_repeat(&order.service).then_some(choice)
    }

    fn give_up(&self, failed: Failed) -> Result<Response<AnswerBody>, Problem> {
        if let Some(answer) = failed.answer {
            return Ok(answer);
        }
        let mut problem = self.tries.problem(failed.failure);
        if self.gate.clock.now() >= self.order.until() {
            problem = self.tries.refuse(Reason::DeadlinePassed);
        }
        words::given_up(&self.gate, &self.order, &problem);
        Err(turn_away::with_retry(problem, rand::random()))
    }

    /// Sends the request to a target and takes its answer.
    async fn attempt(&mut self, choice: Choice) -> Result<Response<AnswerBody>, Failed> {
        let route = &self.order.route;
        let silence = self.tries.silence(
            route.kind,
            route.attempts,
            choice.expected,
            route.aim.into(),
        );
        let ask = Sending {
            choice,
            after: None,
            silence,
        };
        let upstream = open(&self.gate, &self.order, ask).await?;
        let streams = self.order.route.kind.streams();
        match upstream.head.status.is_success() {
            true if streams => Ok(self.stream(upstream)),
            true => self.whole(upstream).await,
            false => Err(self.refused(upstream).await),
        }
    }

    fn stream(&self, upstream: Upstream) -> Response<AnswerBody> {
        let status = upstream.head.status;
        let headers = headers::passed_back(&upstream.head.headers);
        let relay = Relay::new(
            self.gate.clone(),
            self.order.clone(),
            upstream,
            self.tried.clone(),
        );
        answer::with(status, headers, AnswerBody::Right(relay))
    }

    /// A plain call's answer, read whole before any of it is passed on.
    async fn whole(&self, upstream: Upstream) -> Result<Response<AnswerBody>, Failed> {
        let Upstream {
            head,
            told,
            body,
            link,
            mut flight,
        } = upstream;
        let body = self.read(body).await?;
        flight.begun();
        self.gate.links.put(flight.target, link, told.idle);
        let took = self.gate.clock.now().saturating_sub(self.order.arrived);
        self.gate.metrics().request(Outcome::Whole);
        self.gate.metrics().total(took);
        let headers = headers::passed_back(&head.headers);
        let body = AnswerBody::Left(Full::new(body));
        Ok(answer::with(head.status, headers, body))
    }

    /// What an answer that is no success means.
    async fn refused(&self, upstream: Upstream) -> Failed {
        let Upstream {
            head,
            told,
            body,
            link,
            flight,
        } = upstream;
        let target = flight.target;
        let Ok(body) = self.read(body).await else {
            return Failure::Broken.into();
        };
        self.gate.links.put(target, link, told.idle);
        if head.status == StatusCode::MISDIRECTED_REQUEST {
            return Failure::Moved.into();
        }
        if told.declined {
            return Failure::Declined.into();
        }
        let promises = matches!(head.status.as_u16(), 408 | 429 | 503);
        if promises || !told.signed {
            // The status would say "not run", which is not certain.
            return Failure::Failed.into();
        }
        let headers = headers::passed_back(&head.headers);
        let body = AnswerBody::Left(Full::new(body));
        Failed {
            failure: Failure::Failed,
            answer: Some(answer::with(head.status, headers, body)),
        }
    }

    async fn read(&self, body: Incoming) -> Result<Bytes, Failed> {
        let body = Limited::new(body, MAX_ANSWER_BYTES).collect();
        match timeout_at(deadline(&self.gate, self.order.until()), body).await {
            Ok(Ok(body)) => Ok(body.to_bytes()),
            Ok(Err(_)) => Err(Failure::Broken.into()),
            Err(_) => Err(Failure::Silent.into()),
        }
    }
}

/// One sending of a request.
#[derive(Clone, Copy, Debug)]
pub struct Sending<'a> {
    /// Where it goes.
    pub choice: Choice,
    /// Id of the last event that the caller has.
    pub after: Option<&'a str>,
    /// How long the target may be silent before another one is tried; `None`: until the end.
    pub silence: Option<Micros>,
}

/// Sends a request to a target and waits for the head of its answer.
///
/// # Errors
/// Why there is no answer to the request.
pub async fn open(
    gate: &Arc<Gate>,
    order: &Order,
    sending: Sending<'_>,
) -> Result<Upstream, Failure> {
    let Sending {
        choice,
        after,
        silence,
    } = sending;
    let target = choice.target;
    let flight = InFlight::begin(gate, choice, order.prompt.as_ref());
    let (id, entry) = gate.entry(target).ok_or(Failure::Unreached)?;
    let silent = silence.map(|silence| gate.clock.now() + silence);
    let until = silent.map_or(order.until(), |at| at.min(order.until()));
    let until = deadline(gate, until);
    let mut link = link(gate, target, entry.addr).await.map_err(|error| {
        fail(gate, target, false);
        words::unreached(gate, order, &id, &error);
        Failure::Unreached
    })?;
    gate.metrics().event(Event::Dispatch);
    let request = request(order, &id, gate.clock.now(), after);
    let answer = match timeout_at(until, link.sender.send_request(request)).await {
        Ok(Ok(answer)) => answer,
        Ok(Err(error)) => {
            fail(gate, target, true);
            return Err(broken(&error));
        }
        Err(_) => {
            fail(gate, target, true);
            return Err(Failure::Silent);
        }
    };
    let (head, body) = answer.into_parts();
    let told = headers::told(&head.headers, Some(&order.id));
    if !told.ours || (head.status.is_success() && !told.signed) {
        fail(gate, target, true);
        return Err(Failure::Broken);
    }
    note(gate, target, &head, &told);
    Ok(Upstream {
        head,
        told,
        body,
        link,
        flight,
    })
}

async fn link(
    gate: &Gate,
    target: TargetKey,
    addr: std::net::SocketAddr,
) -> Result<Link, ConnectError> {
    match gate.links.take(target) {
        Some(link) => Ok(link),
        None => links::connect(addr).await,
    }
}

fn request(order: &Order, target: &str, now: Micros, after: Option<&str>) -> Request<Full<Bytes>> {
    let mut request = Request::new(Full::new(order.body.clone()));
    *request.method_mut() = order.method.clone();
    *request.uri_mut() = order.uri.clone();
    *request.headers_mut() = order.headers(target, now, after);
    request
}

/// A request that the library gave back unsent has surely not run.
fn broken(error: &hyper::Error) -> Failure {
    if error.is_canceled() {
        Failure::Unreached
    } else {
        Failure::Broken
    }
}

fn note(gate: &Gate, target: TargetKey, head: &Parts, told: &Told) {
    let now = gate.clock.now();
    let moved = head.status == StatusCode::MISDIRECTED_REQUEST;
    let failed = head.status.is_server_error() && !told.declined;
    gate.on_target(target, |target| {
        if let Some(report) = told.report {
            target.load.reported(report);
        }
        match failed || moved {
            true => target.load.failed(now, !moved),
            false => target.load.answered(now),
        }
    });
}

fn fail(gate: &Gate, target: TargetKey, reached: bool) {
    let now = gate.clock.now();
    gate.on_target(target, |target| target.load.failed(now, reached));
}

/// A moment of the gateway's clock, for timers.
pub fn deadline(gate: &Gate, at: Micros) -> Instant {
    let left: Duration = at.saturating_sub(gate.clock.now()).into();
    Instant::now() + left
}

/// Whether another target may go on with a stream.
pub fn may_resume(kind: Kind) -> bool {
    kind == Kind::ResumableStream
}
