//! `rules check FILE`.

use super::{Failure, Subcommand, file};

/// The command that checks a rules file.
pub struct Check<'a> {
    path: &'a str,
}

impl<'a> Check<'a> {
    /// Prepares to check the file at this path.
    pub fn new(path: &'a str) -> Self {
        Check { path }
    }
}

impl Subcommand for Check<'_> {
    async fn run(self) -> Result<String, Failure> {
        let file = file::read(self.path)?;
        let accounts = file.rules.accounts().count();
        let services = file.rules.services().count();
        let path = self.path;
        Ok(format!(
            "{path}: ok, {accounts} accounts, {services} services\n"
        ))
    }
}
