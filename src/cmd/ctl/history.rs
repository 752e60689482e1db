//! `rules history`.

use super::args::Args;
use super::log::Reader;
use super::view::Table;
use super::{Failure, Subcommand};
use crate::log::Client;

/// The command that lists the versions that are still in the log.
pub struct History {
    client: Client,
}

impl History {
    /// Prepares to list the versions in the log of the platform in the arguments.
    pub fn new(args: &Args) -> Result<Self, Failure> {
        let client = Client::new(args.platform()?);
        Ok(History { client })
    }
}

impl Subcommand for History {
    async fn run(self) -> Result<String, Failure> {
        let mut reader = Reader::new(self.client);
        let current = reader.current().await?;
        let mut table = Table::new(["version", "offset", "author"]);
        for edit in reader.follower().accepted_edits() {
            let numbers = [edit.version.to_string(), edit.offset.to_string()];
            table.row(numbers.into_iter().chain([edit.author.to_string()]));
        }
        if reader.follower().accepted_edits().next().is_none() && current.version > 0 {
            let columns = [current.version.to_string(), "expired".to_owned()];
            table.row(columns.into_iter().chain([current.author.to_string()]));
        }
        let counts = reader.follower().counts();
        Ok(format!(
            "{table}{} edits lost a race, {} came again, {} renewals, {} records passed over\n",
            counts.lost, counts.repeated, counts.renewed, counts.bad
        ))
    }
}
