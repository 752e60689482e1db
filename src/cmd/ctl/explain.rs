//! `explain REQUEST-ID`.

use std::net::SocketAddr;

use anyhow::{Context, anyhow};

use super::args::{Args, usage};
use super::{Failure, Run, admin, view};
use crate::ids::RequestId;
use crate::platform::Cause;

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
        let unknown = |cause: &Cause| matches!(cause, Cause::Status(STATUS_NOT_FOUND));
        replies.retain(|reply| !reply.answer.as_ref().is_err_and(unknown));
        if replies.is_empty() {
            let request = self.request;
            return Err(Failure::Failed(anyhow!(
                "no entry knows of request {request}"
            )));
        }
        view::all(replies)
    }
}
