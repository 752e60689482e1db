//! `shares`.

use std::net::SocketAddr;

use super::args::Args;
use super::{Failure, Run, admin, view};

/// Shows each client account's share, as each entry knows it.
pub struct Shares<'a> {
    addrs: &'a [SocketAddr],
}

impl<'a> Shares<'a> {
    /// Asks the entries in the arguments.
    pub fn new(args: &'a Args) -> Result<Self, Failure> {
        let addrs = args.admin()?;
        Ok(Shares { addrs })
    }
}

impl Run for Shares<'_> {
    async fn run(self) -> Result<String, Failure> {
        view::all(admin::ask(self.addrs, "/shares").await)
    }
}
