//! Client requests: parsing, routing and authentication.

use std::net::SocketAddr;
use std::sync::{Arc, Mutex, OnceLock, PoisonError};
use std::time::Duration;

use bytes::Bytes;
use hyper::body::Incoming;
use hyper::header::HeaderValue;
use hyper::http::request::Parts;
use hyper::{HeaderMap, Method, Request, Uri};
use tokio::time::timeout;
use xxhash_rust::xxh3::xxh3_128;

use crate::claim::Digest;
use crate::gateway::body::{self, ReadError};
use crate::gateway::byte_budget::ByteBudget;
use crate::gateway::config::{Account, Config, Route};
use crate::gateway::overload;
use crate::gateway::prompts::{PartIds, Prompt};
use crate::gateway::regions::RequestRegions;
use crate::platform::headers::{self, AddedHeaders, Resumption};
use crate::problem::{Problem, Reason};
use crate::units::Micros;

/// Time limit for reading a request body.
const BODY_TIMEOUT: Duration = Duration::from_secs(10);
/// Size from which on a body that is no longer needed is given back.
const LARGE_BODY_BYTES: usize = 64 * 1024;
/// Size up to which a body is short.
const SHORT_BODY_BYTES: usize = 1_024;
/// Time limit for reading the rest of a body that is not kept.
const DISCARD_TIME: Duration = Duration::from_millis(500);
/// `Retry-After` of requests that arrive before a configuration has been loaded.
const NO_CONFIG_RETRY: Duration = Duration::from_millis(500);

/// A parsed and routed request with its client account.
#[derive(Debug)]
pub struct ClientRequest {
    /// Request id.
    pub id: HeaderValue,
    /// HTTP method.
    pub method: Method,
    /// Path and query string.
    pub uri: Uri,
    /// Headers as received from the client.
    headers: HeaderMap,
    /// Complete body, until it is released.
    body: Mutex<Bytes>,
    /// Computed on first use.
    digest: OnceLock<Digest>,
    /// Matched route.
    pub route: Arc<Route>,
    /// Service chosen from the route's services.
    pub service: Arc<str>,
    /// Version of the configuration by which it was routed and authenticated.
    version: u64,
    /// Name of the client account; `None` for anonymous requests.
    pub account: Option<Box<str>>,
    /// Region restrictions of its route and client account.
    regions: RequestRegions,
    /// Description of the prompt; `None` unless the request is for a model inference engine.
    pub prompt: Option<Prompt>,
    /// The stream that the client takes up again; `None` if it asks for a new one.
    pub resumption: Option<Resumption>,
    /// Arrival time.
    pub arrived: Micros,
    /// Time until which the client waits for the response.
    pub client_deadline: Micros,
}

/// What the headers of an attempt say beside those of the request itself.
#[derive(Clone, Copy, Debug)]
pub struct AttemptHeaders<'a> {
    /// Id of the target.
    pub target: &'a str,
    /// Id of the last event that the client has received; `None` unless a stream is resumed after
    /// such an event.
    pub last_event: Option<&'a str>,
    /// Address of the target from which the prompt's cached prefix is to be fetched; `None` if it is
    /// not.
    pub fetch_from: Option<SocketAddr>,
    /// Id of the room that the target has reserved; `None` if it has not.
    pub reservation: Option<&'a HeaderValue>,
}

impl ClientRequest {
    /// Reads a request with its body, matches its route and authenticates its client account. The body
    /// counts in `budget`. The request arrived at `arrived`.
    ///
    /// # Errors
    /// Returns the error response for the client if no configuration has been loaded, no route
    /// matches, the request id or a valid API key is missing, or the body cannot be read.
    pub async fn read(
        request: Request<Incoming>,
        config: &Config,
        budget: &ByteBudget,
        arrived: Micros,
    ) -> Result<ClientRequest, Problem> {
        let (parts, body) = request.into_parts();
        let mut request = ClientRequest::from_head(parts, config, arrived)?;
        let body = read_body(body, config.limits.max_body, budget).await?;
        request.body = Mutex::new(body);
        Ok(request)
    }

    /// Returns the body; empty once it has been released.
    pub fn body(&self) -> Bytes {
        let body = self.body.lock().unwrap_or_else(PoisonError::into_inner);
        body.clone()
    }

    /// Size of the body in bytes; 0 once it has been released.
    pub fn body_len(&self) -> usize {
        let body = self.body.lock().unwrap_or_else(PoisonError::into_inner);
        body.len()
    }

    /// Gives the memory of a large body back, as the request will not be sent again.
    pub fn release_body(&self) {
        if self.body().len() >= LARGE_BODY_BYTES {
            self.digest();
            let mut body = self.body.lock().unwrap_or_else(PoisonError::into_inner);
            *body = Bytes::new();
        }
    }

    /// Whether its body is so short that it may be what many callers send, and a digest costs little.
    pub fn is_short(&self) -> bool {
        self.body().len() <= SHORT_BODY_BYTES
    }

    /// As [`ClientRequest::read`], from the head of a request; the body is left empty.
    fn from_head(parts: Parts, config: &Config, arrived: Micros) -> Result<Self, Problem> {
        let (route, service) = route(&parts, config)?;
        let meta = headers::parse_request(&parts.headers);
        let id = meta.id.ok_or(Problem::not_run(400, Reason::BadRequest))?;
        let account = account(&route, meta.key, config)?;
        let remaining = meta.remaining.unwrap_or(route.timeout);
        let (id, prompt, resumption) = (id.clone(), meta.prompt, meta.resumption);
        let regions = regions(&route, account);
        Ok(ClientRequest {
            id,
            method: parts.method,
            uri: parts.uri,
            headers: parts.headers,
            body: Mutex::default(),
            digest: OnceLock::new(),
            route,
            service,
            version: config.version,
            account: account.map(|account| account.name.clone()),
            regions,
            prompt,
            resumption,
            arrived,
            client_deadline: arrived + remaining.into(),
        })
    }

    /// Returns the time by which the final answer is due: the client's deadline or the route's
    /// timeout, whichever is earlier.
    pub fn deadline(&self) -> Micros {
        self.client_deadline
            .min(self.arrived + self.route.timeout.into())
    }

    /// Whether `config` still sends this request to its service and accepts its key for the same
    /// client account.
    pub fn is_allowed_by(&self, config: &Config) -> bool {
        if config.version == self.version {
            return true;
        }
        let Some((route, account)) = self.resolve(config) else {
            return false;
        };
        let has_service = route.services.iter().any(|(name, _)| *name == self.service);
        has_service && account.map(|account| &account.name) == self.account.as_ref()
    }

    /// Returns the region restrictions of this request by `config`. One that `config` does not accept
    /// may be sent nowhere.
    pub fn regions_by(&self, config: &Config) -> RequestRegions {
        if config.version == self.version {
            return self.regions.clone();
        }
        self.resolve(config)
            .map_or(RequestRegions::NOWHERE, |(route, account)| {
                regions(route, account)
            })
    }

    /// Whether its route or client account is restricted to some regions, by the configuration by
    /// which it was routed.
    pub fn is_restricted(&self) -> bool {
        self.regions.is_restricted()
    }

    /// Returns its route and client account by `config`; `None` if `config` does not accept it.
    fn resolve<'a>(&self, config: &'a Config) -> Option<(&'a Route, Option<&'a Account>)> {
        let host = host(&self.headers, &self.uri);
        let route = config.route(host, self.uri.path())?;
        let key = headers::parse_request(&self.headers).key;
        Some((route, account(route, key, config).ok()?))
    }

    /// Returns the headers to send to the target of an attempt.
    pub fn headers(&self, now: Micros, attempt: &AttemptHeaders<'_>) -> HeaderMap {
        let added = AddedHeaders {
            target: attempt.target,
            account: self.account.as_deref(),
            remaining: self.deadline().saturating_sub(now).into(),
            last_event: attempt.last_event,
            fetch_from: attempt.fetch_from,
            reservation: attempt.reservation,
        };
        headers::forward_request(&self.headers, &added)
    }

    /// Returns a digest of everything that determines the target's work, so that repetitions of the
    /// same request have the same digest.
    ///
    /// The body enters as a fast hash, since it may be large. Collisions of that can be made, but only
    /// between requests of one client account.
    pub fn digest(&self) -> Digest {
        *self.digest.get_or_init(|| {
            let uri = self.uri.to_string();
            let body = xxh3_128(&self.body());
            let account = self.account.as_deref().unwrap_or_default();
            Digest::of(&[
                self.method.as_str().as_bytes(),
                uri.as_bytes(),
                account.as_bytes(),
                &body.to_be_bytes(),
            ])
        })
    }

    /// Returns the ids of the shared parts of its prompt; empty unless it is for an engine.
    pub fn shared_parts(&self) -> PartIds {
        let prompt = self.prompt.iter();
        prompt.flat_map(Prompt::shared_parts).collect()
    }

    /// Returns the id of the request that brought the first event of the stream that the client takes
    /// up again, for logs.
    pub fn origin_str(&self) -> &str {
        let origin = self.resumption.as_ref().and_then(|r| r.origin.as_ref());
        origin.and_then(|id| id.to_str().ok()).unwrap_or("none")
    }

    /// Returns the request id as text, for logs.
    pub fn id_str(&self) -> &str {
        self.id.to_str().unwrap_or("unreadable")
    }
}

/// Matches the route of a request and picks one of its services at random, by weight.
fn route(parts: &Parts, config: &Config) -> Result<(Arc<Route>, Arc<str>), Problem> {
    if config.version == 0 {
        let problem = Problem::not_run(503, Reason::NoCapacity);
        return Err(problem.retry_after(NO_CONFIG_RETRY));
    }
    let route = config
        .route(host(&parts.headers, &parts.uri), parts.uri.path())
        .ok_or(Problem::not_run(404, Reason::NoService))?;
    let service = pick_weighted(route, rand::random::<f64>());
    let service = service.ok_or(Problem::not_run(404, Reason::NoService))?;
    Ok((route.clone(), service.clone()))
}

/// Returns the authority that a request is for; empty if it names none.
fn host<'a>(headers: &'a HeaderMap, uri: &'a Uri) -> &'a str {
    let host = headers.get(hyper::header::HOST);
    let host = host.and_then(|host| host.to_str().ok());
    host.or_else(|| uri.authority().map(|authority| authority.as_str()))
        .unwrap_or_default()
}

/// Picks a service of the route by weight: the one at `position`, from 0 to 1, of the cumulative
/// weights. `None` if the route has no services.
fn pick_weighted(route: &Route, position: f64) -> Option<&Arc<str>> {
    let total: u32 = route.services.iter().map(|(_, weight)| weight).sum();
    let mut rest = position * f64::from(total);
    for (service, weight) in &route.services {
        rest -= f64::from(*weight);
        if rest < 0.0 {
            return Some(service);
        }
    }
    route.services.first().map(|(service, _)| service)
}

/// Returns the client account that owns the presented API key; `None` for an anonymous request that
/// the route accepts. An unknown key is rejected on all routes: the account that it is meant for may
/// have restrictions that an anonymous request would escape.
fn account<'a>(
    route: &Route,
    key: Option<&str>,
    config: &'a Config,
) -> Result<Option<&'a Account>, Problem> {
    let account = key.and_then(|key| config.account_by_key(key));
    let is_anonymous = key.is_none() && route.allow_anonymous;
    if account.is_none() && config.has_accounts() && !is_anonymous {
        return Err(Problem::not_run(401, Reason::BadKey));
    }
    Ok(account.map(|account| config.account(account)))
}

fn regions(route: &Route, account: Option<&Account>) -> RequestRegions {
    RequestRegions {
        route: route.regions.clone(),
        account: account
            .map(|account| account.regions.clone())
            .unwrap_or_default(),
    }
}

async fn read_body(
    mut body: Incoming,
    limit: usize,
    budget: &ByteBudget,
) -> Result<Bytes, Problem> {
    let read = timeout(BODY_TIMEOUT, body::read(&mut body, limit, budget)).await;
    match read {
        Ok(Ok(read)) => Ok(read),
        Ok(Err(ReadError::NoRoom)) => {
            // A client that is still writing would see a reset instead of the answer.
            let _ = timeout(DISCARD_TIME, body::discard(&mut body)).await;
            let wait = overload::retry_after(rand::random());
            Err(Problem::not_run(503, Reason::Overloaded).retry_after(wait))
        }
        Ok(Err(ReadError::TooLarge)) => Err(Problem::not_run(413, Reason::BodyTooLarge)),
        Ok(Err(ReadError::Broken)) => Err(Problem::not_run(400, Reason::BadRequest)),
        Err(_) => Err(Problem::not_run(408, Reason::BadRequest)),
    }
}

#[cfg(test)]
pub mod tests;
