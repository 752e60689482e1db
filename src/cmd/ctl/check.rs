//! `rules check FILE`.

use super::{Failure, Run, file};

/// Checks a rules file.
pub struct Check<'a> {
    path: &'a str,
}

impl<'a> Check<'a> {
    /// Checks the file at this path.
    pub fn new(path: &'a str) -> Self {
        Check { path }
    }
}

impl Run for Check<'_> {
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
