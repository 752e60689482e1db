//! `explain REQUEST-ID`.

use std::net::SocketAddr;

use anyhow::{Context, anyhow};
use serde_json::Value;

use super::args::{Args, usage};
use super::{Failure, Subcommand, admin, view};
use crate::ids::RequestId;
use crate::log::CallError;

const STATUS_NOT_FOUND: u16 = 404;

/// The command that shows the history of a request, from each entry that has a record of it.
pub struct Explain<'a> {
    request: RequestId,
    addrs: &'a [SocketAddr],
}

impl<'a> Explain<'a> {
    /// Prepares to query the entries in the arguments.
    pub fn new(request: &str, args: &'a Args) -> Result<Self, Failure> {
        let id = request.parse::<RequestId>();
        let request = id
            .with_context(|| format!("{request:?} is not a request id, expected 32 hex digits"))
            .map_err(usage)?;
        let addrs = args.admin()?;
        Ok(Explain { request, addrs })
    }
}

impl Subcommand for Explain<'_> {
    async fn run(self) -> Result<String, Failure> {
        let path = format!("/explain/{}", self.request);
        let mut replies = admin::query_all(self.addrs, &path).await;
        let not_found = |error: &CallError| matches!(error, CallError::Status(STATUS_NOT_FOUND));
        replies.retain(|reply| !reply.result.as_ref().is_err_and(not_found));
        if replies.is_empty() {
            let request = self.request;
            return Err(Failure::Failed(anyhow!(
                "no entry has a record of request {request}"
            )));
        }
        view::render_with(replies, request_to_text)
    }
}

/// Formats the request's fields, then a table of its steps in order.
fn request_to_text(value: &Value) -> String {
    let mut head = value.clone();
    let steps = head.as_object_mut().and_then(|head| head.remove("steps"));
    let steps = steps.as_ref().and_then(Value::as_array);
    let steps = steps.map(Vec::as_slice).unwrap_or_default();
    let table = view::columns(steps, &["at_ms", "step", "host", "detail"]);
    view::value_to_text(&head, "") + &view::indent(&table.to_string())
}
