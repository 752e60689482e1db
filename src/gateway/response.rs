//! HTTP responses to clients.

use bytes::Bytes;
use http_body_util::{Either, Full};
use hyper::header::{CONTENT_TYPE, HeaderValue, RETRY_AFTER};
use hyper::{HeaderMap, Response, StatusCode};

use crate::gateway::relay::Relay;
use crate::platform::headers::REQUEST_ID;
use crate::problem::Problem;

/// A response body: buffered, or an event stream that is relayed as it arrives.
pub type ResponseBody = Either<Full<Bytes>, Relay>;

/// Builds a response from its parts.
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

/// Builds the error response (`application/problem+json`) to the request with this id, if it has
/// one.
pub fn from_problem(problem: Problem, id: Option<HeaderValue>) -> Response<ResponseBody> {
    let request_id = id.as_ref().and_then(|id| id.to_str().ok());
    let body = problem.body(request_id.unwrap_or_default());
    let status = StatusCode::from_u16(problem.status).expect("problems have a valid status");
    let mut headers = HeaderMap::new();
    headers.insert(
        CONTENT_TYPE,
        HeaderValue::from_static("application/problem+json"),
    );
    if let Some(delay) = problem.retry_after {
        let text = format!("{:.2}", delay.as_secs_f64());
        let value = HeaderValue::from_str(&text).expect("a number is a header value");
        headers.insert(RETRY_AFTER, value);
    }
    if let Some(id) = id {
        headers.insert(REQUEST_ID, id);
    }
    from_parts(status, headers, ResponseBody::Left(Full::new(body.into())))
}
