//! `status`.

use std::net::SocketAddr;

use super::args::Args;
use super::{Failure, Run, admin, view};

/// Shows the state of each entry.
pub struct Status<'a> {
    addrs: &'a [SocketAddr],
}

impl<'a> Status<'a> {
    /// Asks the entries in the arguments.
    pub fn new(args: &'a Args) -> Result<Self, Failure> {
        let addrs = args.admin()?;
        Ok(Status { addrs })
    }
}

impl Run for Status<'_> {
    async fn run(self) -> Result<String, Failure> {
        view::all(admin::ask(self.addrs, "/status").await)
    }
}
