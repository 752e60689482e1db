//! `explain REQUEST-ID`.

use std::net::SocketAddr;

use anyhow::{Context, anyhow};
use serde_json::Value;

use super::args::{Args, usage};
use super::{Failure, Run, admin, view};
use crate::ids::RequestId;
use crate::log::CallError;

const STATUS_NOT_FOUND: u16 = 404;

/// Shows what became of a request, as told by the entries that know it.
pub struct Explain<'a> {
    request: RequestId,
    addrs: &'a [SocketAddr],
}

impl<'a> Explain<'a> {
    /// Asks the entries in the arguments.
    pub fn new(request: &str, args: &'a Args) -> Result<Self, Failure> {
        let id = request.parse::<RequestId>();
        let request = id
            .with_context(|| format!("{request:?} is not a request id, expected 32 hex digits"))
            .map_err(usage)?;
        let addrs = args.admin()?;
        Ok(Explain { request, addrs })
    }
}

impl Run for Explain<'_> {
    async fn run(self) -> Result<String, Failure> {
        let path = format!("/explain/{}", self.request);
        let mut replies = admin::ask(self.addrs, &path).await;
        let unknown = |cause: &CallError| matches!(cause, CallError::Status(STATUS_NOT_FOUND));
        replies.retain(|reply| !reply.answer.as_ref().is_err_and(unknown));
        if replies.is_empty() {
            let request = self.request;
            return Err(Failure::Failed(anyhow!(
                "no entry knows of request {request}"
            )));
        }
        view::all_as(replies, request_text)
    }
}

/// What is known of the request, then its steps in order.
fn request_text(value: &Value) -> String {
    let mut head = value.clone();
    let steps = head.as_object_mut().and_then(|head| head.remove("steps"));
    let steps = steps.as_ref().and_then(Value::as_array);
    let steps = steps.map(Vec::as_slice).unwrap_or_default();
    let table = view::columns(steps, &["at_ms", "step", "host", "detail"]);
    view::value_text(&head, "") + &view::indented(&table.to_string())
}
