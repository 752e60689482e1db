//! `rules show`.

use super::args::Args;
use super::log::Reader;
use super::{Failure, Subcommand, file};
use crate::log::Client;

/// The command that prints the current rules.
pub struct Show {
    client: Client,
}

impl Show {
    /// Prepares to print the rules in the log of the platform in the arguments.
    pub fn new(args: &Args) -> Result<Self, Failure> {
        let client = Client::new(args.platform()?);
        Ok(Show { client })
    }
}

impl Subcommand for Show {
    async fn run(self) -> Result<String, Failure> {
        let current = Reader::new(self.client).current().await?;
        if current.version == 0 {
            return Ok("# version 0, no rules yet\n".to_owned());
        }
        Ok(file::header(current.version, &current.author) + &current.text)
    }
}
