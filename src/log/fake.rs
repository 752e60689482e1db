//! In-memory log for tests, with fault injection.

use std::sync::{Arc, Mutex};
use std::time::Duration;

use bytes::Bytes;
use tokio::sync::watch;

use super::{AppendError, CallError, Log, Page, ReadError, Record, Stream};

/// Contents of the log and injected faults.
#[derive(Debug, Default)]
pub struct State {
    /// Every record ever appended.
    pub records: Vec<Record>,
    /// Offset of the oldest record that has not expired.
    pub first: u64,
    /// Whether every call fails with status 503.
    pub unavailable: bool,
    /// Number of upcoming appends that succeed but whose responses are lost.
    pub lost_responses: usize,
    /// Number of upcoming appends that are lost before they take effect.
    pub lost_appends: usize,
}

/// An in-memory log. Clones share its state.
#[derive(Clone, Debug, Default)]
pub struct FakeLog {
    state: Arc<Mutex<State>>,
    appended: watch::Sender<()>,
}

impl FakeLog {
    /// Creates an empty log.
    pub fn new() -> Self {
        Self::default()
    }

    /// Calls `act` with the state, under its lock.
    pub fn with<T>(&self, act: impl FnOnce(&mut State) -> T) -> T {
        act(&mut self
            .state
            .lock()
            .expect("no test panics while it holds the lock"))
    }

    /// Appends a record regardless of injected faults.
    pub fn push(&self, data: Bytes) -> u64 {
        let offset = self.with(|state| {
            let offset = state.records.len() as u64;
            state.records.push(Record { offset, data });
            offset
        });
        self.appended.send_replace(());
        offset
    }

    fn page(&self, from: u64) -> Result<Page, ReadError> {
        self.with(|state| {
            if state.unavailable {
                return Err(CallError::Status(503).into());
            }
            if from < state.first {
                return Err(ReadError::Expired { first: state.first });
            }
            Ok(Page {
                first: state.first,
                next: state.records.len() as u64,
                records: state.records[from as usize..].to_vec(),
            })
        })
    }
}

impl Log for FakeLog {
    async fn append(&self, _: Stream, data: Bytes) -> Result<u64, AppendError> {
        if self.with(|state| state.unavailable) {
            return Err(CallError::Status(503).into());
        }
        if self.with(|state| take_fault(&mut state.lost_appends)) {
            return Err(CallError::Timeout.into());
        }
        let offset = self.push(data);
        if self.with(|state| take_fault(&mut state.lost_responses)) {
            return Err(CallError::Timeout.into());
        }
        Ok(offset)
    }

    async fn read(&self, _: Stream, from: u64, wait: Duration) -> Result<Page, ReadError> {
        let mut appended = self.appended.subscribe();
        let page = self.page(from)?;
        if !page.records.is_empty() {
            return Ok(page);
        }
        let _ = tokio::time::timeout(wait, appended.changed()).await;
        self.page(from)
    }
}

fn take_fault(count: &mut usize) -> bool {
    let some = *count > 0;
    *count -= usize::from(some);
    some
}
