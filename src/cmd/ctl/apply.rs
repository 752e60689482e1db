//! `rules apply FILE`.

use std::time::Duration;

use anyhow::{Context, anyhow};

use super::args::{Args, usage};
use super::file::{self, RulesFile};
use super::log::{POLL_TIMEOUT, Reader};
use super::{Failure, Subcommand};
use crate::log::{AppendError, Client, Log, RULES};
use crate::rules::change::Change;
use crate::rules::record::{
    Edit, EditId, MAX_AUTHOR_BYTES, Record, RecordError, RulesVersion, TextDigest,
};
use crate::rules::{RecordOutcome, WinningEdit};

/// Maximum number of times that one edit is appended before the command fails.
pub const MAX_ATTEMPTS: u32 = 5;
/// Delay between appends of one edit.
pub const RETRY_DELAY: Duration = Duration::from_secs(1);

/// The command that makes a rules file the next version.
pub struct Apply {
    client: Client,
    file: RulesFile,
    author: String,
    based_on: Option<u64>,
}

/// Why a file was not applied as the next version.
#[derive(Debug, PartialEq, Eq, thiserror::Error)]
pub enum ApplyError {
    /// Another edit of the same base version was accepted first.
    #[error(
        "version {} came first, applied by {}; see `rules diff`, then edit that version",
        .0.version,
        .0.author.as_deref().unwrap_or("an author no longer in the log")
    )]
    Conflict(WinningEdit),
    /// The record is invalid, so readers of the log ignore it.
    #[error("the edit was rejected: {0}")]
    Invalid(RecordError),
    /// The base version does not exist yet.
    #[error("the file is based on version {based_on}, but the current version is {current}")]
    FutureVersion {
        /// Version that the file was derived from.
        based_on: u64,
        /// The current version.
        current: u64,
    },
    /// The record was certainly not appended.
    #[error("nothing was applied: {0}")]
    NotAppended(AppendError),
    /// The record may be in the log, or may still be appended.
    #[error("the outcome is unknown, see `rules history`: {0}")]
    UnknownOutcome(AppendError),
}

impl Apply {
    /// Prepares to apply the file at this path.
    pub fn new(path: &str, args: &Args) -> Result<Self, Failure> {
        let user = || std::env::var("USER").ok();
        let author = args.author.clone().or_else(user).unwrap_or_default();
        let printable = !author.is_empty() && !author.contains(char::is_control);
        if !printable || author.len() > MAX_AUTHOR_BYTES {
            return Err(usage(anyhow!(
                "--author NAME must have 1 to {MAX_AUTHOR_BYTES} bytes and no control characters"
            )));
        }
        let client = Client::new(args.platform()?);
        let file = file::read(path)?;
        let based_on = args.based_on.or(file.version);
        Ok(Apply {
            client,
            file,
            author,
            based_on,
        })
    }
}

impl Subcommand for Apply {
    async fn run(self) -> Result<String, Failure> {
        let mut reader = Reader::new(self.client);
        let current = reader.current().await?;
        let based_on = self.based_on.unwrap_or(current.version);
        if based_on == current.version && *self.file.text == *current.text {
            return Ok(format!("version {based_on} already has these rules\n"));
        }
        let version = apply(&mut reader, based_on, &self.author, &self.file.text)
            .await
            .context("could not apply the rules")?;
        Ok(format!("version {version} accepted\n"))
    }
}

/// Appends an edit of `based_on` and returns the version that it became.
pub async fn apply<L: Log>(
    reader: &mut Reader<L>,
    based_on: u64,
    author: &str,
    text: &str,
) -> anyhow::Result<u64> {
    let current = reader.current().await?;
    check_base(reader, based_on, &current)?;
    let id = EditId::random();
    let record = Record::Edit(Edit {
        id,
        base: based_on,
        author: author.into(),
        change: Change::between(&current.text, text),
        digest: TextDigest::of(text),
    });
    let mut failure = None;
    for attempt in 0..MAX_ATTEMPTS {
        if attempt > 0 {
            tokio::time::sleep(RETRY_DELAY).await;
        }
        match append(reader, &record, id).await? {
            AppendResult::Processed(outcome) => return Ok(applied_version(outcome)?),
            AppendResult::Failed(error) => failure = Some(keep_unknown(failure, error)),
        }
    }
    let failure = failure.expect("each attempt returns an outcome or fails");
    Err(match failure {
        AppendError::NotAppended(_) => ApplyError::NotAppended(failure).into(),
        AppendError::Unknown(_) => ApplyError::UnknownOutcome(failure).into(),
    })
}

enum AppendResult {
    Processed(RecordOutcome),
    Failed(AppendError),
}

/// Appends the record once, then reads the log for the outcome of the edit. The outcome may come
/// from an earlier append of the same edit.
async fn append<L: Log>(
    reader: &mut Reader<L>,
    record: &Record,
    id: EditId,
) -> anyhow::Result<AppendResult> {
    let appended = reader.log().append(RULES, record.encode()).await;
    let processed = match (&appended, reader.read_to_end(POLL_TIMEOUT).await) {
        (_, Ok(processed)) => processed,
        (Err(error), Err(_)) => return Ok(AppendResult::Failed(error.clone())),
        (Ok(_), Err(error)) => {
            return Err(error.context("the edit was appended, but its outcome could not be read"));
        }
    };
    let found = processed.into_iter().find(|record| record.edit == Some(id));
    match (found, appended) {
        (Some(record), _) => Ok(AppendResult::Processed(record.outcome)),
        (None, Err(error)) => Ok(AppendResult::Failed(error)),
        (None, Ok(offset)) => Err(anyhow!(
            "the edit was appended at offset {offset}, but is not in the log"
        )),
    }
}

/// Returns the error to report after several appends. An earlier error that leaves open whether the
/// record is in the log takes precedence, because a later append that certainly failed does not
/// settle this.
fn keep_unknown(earlier: Option<AppendError>, error: AppendError) -> AppendError {
    match earlier {
        Some(earlier @ AppendError::Unknown(_)) => earlier,
        _ => error,
    }
}

fn check_base<L: Log>(
    reader: &Reader<L>,
    based_on: u64,
    current: &RulesVersion,
) -> Result<(), ApplyError> {
    if based_on > current.version {
        return Err(ApplyError::FutureVersion {
            based_on,
            current: current.version,
        });
    }
    if based_on == current.version {
        return Ok(());
    }
    let version = based_on + 1;
    let winner = reader
        .follower()
        .accepted_edits()
        .find(|edit| edit.version == version);
    let author = winner.map(|edit| edit.author.clone());
    Err(ApplyError::Conflict(WinningEdit { version, author }))
}

fn applied_version(outcome: RecordOutcome) -> Result<u64, ApplyError> {
    match outcome {
        RecordOutcome::Accepted(version) | RecordOutcome::Duplicate(version) => Ok(version),
        RecordOutcome::Conflict(winner) => Err(ApplyError::Conflict(winner)),
        RecordOutcome::Invalid(error) => Err(ApplyError::Invalid(error)),
        RecordOutcome::Renewed(_) | RecordOutcome::Advanced(_) | RecordOutcome::Stale(_) => {
            unreachable!("only renewals have these outcomes")
        }
    }
}
