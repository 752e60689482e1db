//! `shares`.

use std::net::SocketAddr;

use serde_json::Value;

use super::args::Args;
use super::{Failure, Subcommand, admin, view};

/// The command that shows the share of each client account, as known to each entry.
pub struct Shares<'a> {
    addrs: &'a [SocketAddr],
}

impl<'a> Shares<'a> {
    /// Prepares to query the entries in the arguments.
    pub fn new(args: &'a Args) -> Result<Self, Failure> {
        let addrs = args.admin()?;
        Ok(Shares { addrs })
    }
}

impl Subcommand for Shares<'_> {
    async fn run(self) -> Result<String, Failure> {
        view::render_with(
            admin::query_all(self.addrs, "/shares").await,
            shares_to_text,
        )
    }
}

/// Formats a line for each service, followed by a table of its client accounts.
fn shares_to_text(value: &Value) -> String {
    let services = value.as_array().map(Vec::as_slice).unwrap_or_default();
    let mut text = String::new();
    for service in services {
        text += &view::columns(std::slice::from_ref(service), &["service", "waiting"]).to_string();
        let levels = service["levels"].as_array();
        let levels = levels.map(Vec::as_slice).unwrap_or_default();
        let table = view::columns(levels, &["account", "level_ms"]);
        text += &view::indent(&table.to_string());
    }
    view::indent(&text)
}
