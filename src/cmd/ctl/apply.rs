//! `rules apply FILE`.

use std::time::Duration;

use anyhow::{Context, anyhow};

use super::args::{Args, usage};
use super::file::{self, RulesFile};
use super::log::{POLL_WAIT, Reader};
use super::{Failure, Run};
use crate::log::{AppendError, Client, Log, RULES};
use crate::rules::change::Change;
use crate::rules::record::{
    Edit, EditId, MAX_AUTHOR_BYTES, Record, RecordError, RulesVersion, TextDigest,
};
use crate::rules::{RecordOutcome, WinningEdit};

/// Appends of one edit before its outcome is given up.
pub const ATTEMPTS: u32 = 5;
/// Wait between appends of one edit.
pub const RETRY_WAIT: Duration = Duration::from_secs(1);

/// Makes a rules file the next version.
pub struct Apply {
    client: Client,
    file: RulesFile,
    author: String,
    based_on: Option<u64>,
}

/// Why a file did not become the next version.
#[derive(Debug, PartialEq, Eq, thiserror::Error)]
pub enum Refusal {
    /// Another edit came first.
    #[error(
        "version {} came first, applied by {}; see rules diff, then edit that version",
        .0.version,
        .0.author.as_deref().unwrap_or("somebody who is no longer known")
    )]
    Lost(WinningEdit),
    /// The log passed the record over.
    #[error("the record was passed over: {0}")]
    Bad(RecordError),
    /// There is no such version yet.
    #[error("it is based on version {based_on}, the current one is {current}")]
    Ahead {
        /// The version that was edited.
        based_on: u64,
        /// The current version.
        current: u64,
    },
    /// It was never appended.
    #[error("nothing was applied: {0}")]
    NotAppended(AppendError),
    /// It may be in the log or still get there.
    #[error("the outcome is not known, see rules history: {0}")]
    Unknown(AppendError),
}

impl Apply {
    /// Applies the file at this path.
    pub fn new(path: &str, args: &Args) -> Result<Self, Failure> {
        let user = || std::env::var("USER").ok();
        let author = args.author.clone().or_else(user).unwrap_or_default();
        let plain = !author.is_empty() && !author.contains(char::is_control);
        if !plain || author.len() > MAX_AUTHOR_BYTES {
            return Err(usage(anyhow!(
                "no --author NAME of 1 to {MAX_AUTHOR_BYTES} printable bytes"
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

impl Run for Apply {
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
    for attempt in 0..ATTEMPTS {
        if attempt > 0 {
            tokio::time::sleep(RETRY_WAIT).await;
        }
        match append(reader, &record, id).await? {
            Appended::Decided(outcome) => return Ok(applied_version(outcome)?),
            Appended::Failed(error) => failure = Some(worse(failure, error)),
        }
    }
    let failure = failure.expect("every attempt was decided or failed");
    Err(match failure {
        AppendError::NotAppended(_) => Refusal::NotAppended(failure).into(),
        AppendError::Unknown(_) => Refusal::Unknown(failure).into(),
    })
}

enum Appended {
    Decided(RecordOutcome),
    Failed(AppendError),
}

/// Appends once and reads back what became of the edit, whichever append of it came first.
async fn append<L: Log>(
    reader: &mut Reader<L>,
    record: &Record,
    id: EditId,
) -> anyhow::Result<Appended> {
    let appended = reader.log().append(RULES, record.encode()).await;
    let decided = match (&appended, reader.read_on(POLL_WAIT).await) {
        (_, Ok(decided)) => decided,
        (Err(error), Err(_)) => return Ok(Appended::Failed(error.clone())),
        (Ok(_), Err(error)) => return Err(error.context("the edit was appended")),
    };
    let found = decided.into_iter().find(|decided| decided.edit == Some(id));
    match (found, appended) {
        (Some(decided), _) => Ok(Appended::Decided(decided.outcome)),
        (None, Err(error)) => Ok(Appended::Failed(error)),
        (None, Ok(offset)) => Err(anyhow!("the log does not show the edit at {offset}")),
    }
}

/// A failure after which the record may be in the log outweighs one after which it is not.
fn worse(before: Option<AppendError>, error: AppendError) -> AppendError {
    match before {
        Some(before @ AppendError::Unknown(_)) => before,
        _ => error,
    }
}

fn check_base<L: Log>(
    reader: &Reader<L>,
    based_on: u64,
    current: &RulesVersion,
) -> Result<(), Refusal> {
    if based_on > current.version {
        return Err(Refusal::Ahead {
            based_on,
            current: current.version,
        });
    }
    if based_on == current.version {
        return Ok(());
    }
    let version = based_on + 1;
    let past = reader
        .follower()
        .accepted_edits()
        .find(|p| p.version == version);
    let author = past.map(|past| past.author.clone());
    Err(Refusal::Lost(WinningEdit { version, author }))
}

fn applied_version(outcome: RecordOutcome) -> Result<u64, Refusal> {
    match outcome {
        RecordOutcome::Accepted(version) | RecordOutcome::Duplicate(version) => Ok(version),
        RecordOutcome::Conflict(winner) => Err(Refusal::Lost(winner)),
        RecordOutcome::Invalid(error) => Err(Refusal::Bad(error)),
        RecordOutcome::Renewed(_) | RecordOutcome::Advanced(_) | RecordOutcome::Stale(_) => {
            unreachable!("an edit is not decided as a renewal")
        }
    }
}
