//! A log in memory for tests, with faults to order.

use std::sync::{Arc, Mutex};
use std::time::Duration;

use bytes::Bytes;
use tokio::sync::watch;

use super::{AppendError, CallError, Log, Page, ReadError, Record, Stream};

/// What the log holds and how it fails.
#[derive(Debug, Default)]
pub struct State {
    /// Every record ever appended.
    pub records: Vec<Record>,
    /// Offset of the oldest record that has not expired.
    pub first: u64,
    /// Whether every call is refused.
    pub unavailable: bool,
    /// Appends to come that take effect and whose answers are lost.
    pub lost_responses: usize,
    /// Appends to come that take no effect and whose answers are lost.
    pub lost_appends: usize,
}

/// A log in memory. Clones share it.
#[derive(Clone, Debug, Default)]
pub struct FakeLog {
    state: Arc<Mutex<State>>,
    grown: watch::Sender<()>,
}

impl FakeLog {
    /// An empty log.
    pub fn new() -> Self {
        Self::default()
    }

    /// Acts on its state.
    pub fn with<T>(&self, act: impl FnOnce(&mut State) -> T) -> T {
        act(&mut self
            .state
            .lock()
            .expect("no test panics while it holds the lock"))
    }

    /// Appends a record, whatever faults are ordered.
    pub fn push(&self, data: Bytes) -> u64 {
        let offset = self.with(|state| {
            let offset = state.records.len() as u64;
            state.records.push(Record { offset, data });
            offset
        });
        self.grown.send_replace(());
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
        if self.with(|state| take_one(&mut state.lost_appends)) {
            return Err(CallError::Timeout.into());
        }
        let offset = self.push(data);
        if self.with(|state| take_one(&mut state.lost_responses)) {
            return Err(CallError::Timeout.into());
        }
        Ok(offset)
    }

    async fn read(&self, _: Stream, from: u64, wait: Duration) -> Result<Page, ReadError> {
        let mut grown = self.grown.subscribe();
        let page = self.page(from)?;
        if !page.records.is_empty() {
            return Ok(page);
        }
        let _ = tokio::time::timeout(wait, grown.changed()).await;
        self.page(from)
    }
}

fn take_one(count: &mut usize) -> bool {
    let some = *count > 0;
    *count -= usize::from(some);
    some
}
