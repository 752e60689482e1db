//! `status`.

use std::net::SocketAddr;

use super::args::Args;
use super::{Failure, Subcommand, admin, view};

/// The command that shows the state of each entry.
pub struct Status<'a> {
    addrs: &'a [SocketAddr],
}

impl<'a> Status<'a> {
    /// Prepares to query the entries in the arguments.
    pub fn new(args: &'a Args) -> Result<Self, Failure> {
        let addrs = args.admin()?;
        Ok(Status { addrs })
    }
}

impl Subcommand for Status<'_> {
    async fn run(self) -> Result<String, Failure> {
        view::render(admin::query_all(self.addrs, "/status").await)
    }
}
