//! A caller's request, read and checked.

use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use http_body_util::{BodyExt, LengthLimitError, Limited};
use hyper::body::Incoming;
use hyper::header::HeaderValue;
use hyper::http::request::Parts;
use hyper::{HeaderMap, Method, Request, Uri};
use tokio::time::timeout;

use crate::claim::Digest;
use crate::gateway::config::{Config, Route};
use crate::gateway::prompts::Prompt;
use crate::platform::headers::{self, AddedHeaders};
use crate::problem::{Problem, Reason};
use crate::units::{Clock, Micros};

/// Longest time to read a body.
const BODY_TIMEOUT: Duration = Duration::from_secs(10);
/// When a process that knows no configuration yet asks to come back.
const NO_CONFIG_RETRY: Duration = Duration::from_millis(500);

/// A request to pass on.
#[derive(Debug)]
pub struct ClientRequest {
    /// Its id.
    pub id: HeaderValue,
    /// Its method.
    pub method: Method,
    /// Path and query.
    pub uri: Uri,
    /// The caller's headers.
    headers: HeaderMap,
    /// The whole body.
    pub body: Bytes,
    /// The route that it takes.
    pub route: Arc<Route>,
    /// The service that runs it.
    pub service: Arc<str>,
    /// The client account's name, if it has one.
    pub account: Option<Box<str>>,
    /// Its prompt, for a model.
    pub prompt: Option<Prompt>,
    /// When it arrived.
    pub arrived: Micros,
    /// The moment until which the caller waits.
    pub caller_deadline: Micros,
}

impl ClientRequest {
    /// Reads a request.
    ///
    /// # Errors
    /// Why it is refused.
    pub async fn read(
        request: Request<Incoming>,
        config: &Config,
        clock: Clock,
    ) -> Result<ClientRequest, Problem> {
        let arrived = clock.now();
        let (parts, body) = request.into_parts();
        let (route, service) = route(&parts, config)?;
        let asked = headers::parse_request(&parts.headers);
        let id = asked.id.ok_or(Problem::not_run(400, Reason::BadRequest))?;
        let account = account(&route, asked.key, config)?;
        let left = asked.remaining.unwrap_or(route.timeout);
        let (id, prompt) = (id.clone(), asked.prompt);
        let body = whole(body, config.limits.max_body).await?;
        Ok(ClientRequest {
            id,
            method: parts.method,
            uri: parts.uri,
            headers: parts.headers,
            body,
            route,
            service,
            account,
            prompt,
            arrived,
            caller_deadline: arrived + left.into(),
        })
    }

    /// The moment by which it must have its final answer.
    pub fn deadline(&self) -> Micros {
        self.caller_deadline
            .min(self.arrived + self.route.timeout.into())
    }

    /// The headers towards a target.
    pub fn headers(&self, target: &str, now: Micros, last_event: Option<&str>) -> HeaderMap {
        let added = AddedHeaders {
            target,
            account: self.account.as_deref(),
            remaining: self.deadline().saturating_sub(now).into(),
            last_event,
        };
        headers::forward_request(&self.headers, &added)
    }

    /// Stands for all that the target is given: the same request has it again.
    pub fn digest(&self) -> Digest {
        let uri = self.uri.to_string();
        let account = self.account.as_deref().unwrap_or_default();
        Digest::of(&[
            self.method.as_str().as_bytes(),
            uri.as_bytes(),
            account.as_bytes(),
            &self.body,
        ])
    }

    /// Its id as text, for logs.
    pub fn id_str(&self) -> &str {
        self.id.to_str().unwrap_or("unreadable")
    }
}

/// The route of a request, and one of the route's services by their weights.
fn route(parts: &Parts, config: &Config) -> Result<(Arc<Route>, Arc<str>), Problem> {
    if config.version == 0 {
        let problem = Problem::not_run(503, Reason::NoCapacity);
        return Err(problem.retry_after(NO_CONFIG_RETRY));
    }
    let host = parts.headers.get(hyper::header::HOST);
    let host = host.and_then(|host| host.to_str().ok());
    let host = host.or_else(|| parts.uri.authority().map(|a| a.as_str()));
    let route = config
        .route(host.unwrap_or_default(), parts.uri.path())
        .ok_or(Problem::not_run(404, Reason::NoService))?;
    let service = weighted(route, rand::random::<f64>());
    let service = service.ok_or(Problem::not_run(404, Reason::NoService))?;
    Ok((route.clone(), service.clone()))
}

/// The service at a place, from 0 to 1, of all the route's weights.
fn weighted(route: &Route, place: f64) -> Option<&Arc<str>> {
    let total: u32 = route.services.iter().map(|(_, weight)| weight).sum();
    let mut rest = place * f64::from(total);
    for (service, weight) in &route.services {
        rest -= f64::from(*weight);
        if rest < 0.0 {
            return Some(service);
        }
    }
    route.services.first().map(|(service, _)| service)
}

/// Name of the client account whose key the caller presents.
fn account(route: &Route, key: Option<&str>, config: &Config) -> Result<Option<Box<str>>, Problem> {
    let account = key.and_then(|key| config.account_by_key(key));
    if account.is_none() && config.has_accounts() && !route.anonymous {
        return Err(Problem::not_run(401, Reason::BadKey));
    }
    Ok(account.map(|account| config.account(account).name.clone()))
}

async fn whole(body: Incoming, limit: usize) -> Result<Bytes, Problem> {
    let body = Limited::new(body, limit).collect();
    let body = timeout(BODY_TIMEOUT, body)
        .await
        .map_err(|_| Problem::not_run(408, Reason::BadRequest))?;
    match body {
        Ok(body) => Ok(body.to_bytes()),
        Err(error) if error.is::<LengthLimitError>() => {
            Err(Problem::not_run(413, Reason::BodyTooLarge))
        }
        Err(_) => Err(Problem::not_run(400, Reason::BadRequest)),
    }
}
