//! `shares`.

use std::net::SocketAddr;

use serde_json::Value;

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
        view::all_as(admin::ask(self.addrs, "/shares").await, shares_text)
    }
}

/// A line for each service, with a table of its client accounts.
fn shares_text(value: &Value) -> String {
    let services = value.as_array().map(Vec::as_slice).unwrap_or_default();
    let mut text = String::new();
    for service in services {
        text += &view::columns(std::slice::from_ref(service), &["service", "waiting"]).to_string();
        let levels = service["levels"].as_array();
        let levels = levels.map(Vec::as_slice).unwrap_or_default();
        let table = view::columns(levels, &["account", "level_ms"]);
        text += &view::indented(&table.to_string());
    }
    view::indented(&text)
}
