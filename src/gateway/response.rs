//! Answers to callers.

use bytes::Bytes;
use http_body_util::{Either, Full};
use hyper::header::{CONTENT_TYPE, HeaderValue, RETRY_AFTER};
use hyper::{HeaderMap, Response, StatusCode};

use crate::gateway::relay::Relay;
use crate::platform::headers::REQUEST_ID;
use crate::problem::Problem;

/// An answer's body: whole, or a stream as it comes.
pub type ResponseBody = Either<Full<Bytes>, Relay>;

/// An answer of its parts.
pub fn from_parts(
    status: StatusCode,
    headers: HeaderMap,
    body: ResponseBody,
) -> Response<ResponseBody> {
    let mut response = Response::new(body);
    *response.status_mut() = status;
    *response.headers_mut() = headers;
    response
}

/// A refusal to the request `id`.
pub fn from_problem(problem: Problem, id: Option<HeaderValue>) -> Response<ResponseBody> {
    let name = id.as_ref().and_then(|id| id.to_str().ok());
    let body = problem.body(name.unwrap_or_default());
    let status = StatusCode::from_u16(problem.status).expect("problems have a valid status");
    let mut headers = HeaderMap::new();
    headers.insert(
        CONTENT_TYPE,
        HeaderValue::from_static("application/problem+json"),
    );
    if let Some(wait) = problem.retry_after {
        let text = format!("{:.2}", wait.as_secs_f64());
        let value = HeaderValue::from_str(&text).expect("a number is a header value");
        headers.insert(RETRY_AFTER, value);
    }
    if let Some(id) = id {
        headers.insert(REQUEST_ID, id);
    }
    from_parts(status, headers, ResponseBody::Left(Full::new(body.into())))
}
