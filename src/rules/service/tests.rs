use std::sync::Mutex;

use bytes::Bytes;

use super::*;
use crate::platform::{AppendError, Cause, Record as LogRecord, Stream};
use crate::rules::change::Change;
use crate::rules::record::{Edit, EditId, TextDigest};
use crate::rules::renew::RENEW_SPREAD;

const ONE: &str = "service a slots=1  # x\n";
const TWO: &str = "service a slots=2  # x\n";
const TIMING: Timing = Timing {
    period: Micros::from_secs(60),
    jitter: Micros::from_secs(1),
    wait: Micros::from_secs(20),
};

#[derive(Default)]
struct State {
    records: Vec<LogRecord>,
    first: u64,
    out: bool,
}

#[derive(Clone)]
struct FakeLog {
    state: Arc<Mutex<State>>,
    grown: watch::Sender<()>,
}

impl FakeLog {
    fn new() -> Self {
        FakeLog {
            state: Arc::default(),
            grown: watch::channel(()).0,
        }
    }

    fn with<T>(&self, act: impl FnOnce(&mut State) -> T) -> T {
        act(&mut self
            .state
            .lock()
            .expect("no test panics while it holds the lock"))
    }

    fn push(&self, data: Bytes) -> u64 {
        let offset = self.with(|state| {
            let offset = state.records.len() as u64;
            state.records.push(LogRecord { offset, data });
            offset
        });
        self.grown.send_replace(());
        offset
    }

    fn edit(&self, base: &Accepted, text: &str) -> Accepted {
        let edit = Edit {
            id: EditId::random(),
            base: base.version,
            author: "mere".into(),
            change: Change::between(&base.text, text),
            digest: TextDigest::of(text),
        };
        self.push(Record::Edit(edit).encode());
        Accepted::new(base.version + 1, "mere", text)
    }

    fn page(&self, from: u64) -> Result<Page, ReadError> {
        self.with(|state| {
            if state.out {
                return Err(Cause::Status(503).into());
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
        if self.with(|state| state.out) {
            return Err(Cause::Status(503).into());
        }
        Ok(self.push(data))
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

fn empty() -> Accepted {
    Accepted::new(0, "", "")
}

async fn slots_at(handle: &Handle, version: u64) -> Option<u16> {
    let mut view = handle.view();
    let found = view.wait_for(|v| v.accepted.as_ref().is_some_and(|a| a.version >= version));
    let table = found.await.expect("the service runs").table.clone();
    let service = table.service("a")?;
    Some(table.service_at(service).slots)
}

#[tokio::test(start_paused = true)]
async fn follows_edits() {
    let log = FakeLog::new();
    let handle = spawn(log.clone(), TIMING);
    let one = log.edit(&empty(), ONE);
    assert_eq!(slots_at(&handle, 1).await, Some(1));
    log.edit(&one, TWO);
    assert_eq!(slots_at(&handle, 2).await, Some(2));
}

#[tokio::test(start_paused = true)]
async fn text_that_cannot_be_read_leaves_the_table_in_force() {
    let log = FakeLog::new();
    let handle = spawn(log.clone(), TIMING);
    let one = log.edit(&empty(), ONE);
    assert_eq!(slots_at(&handle, 1).await, Some(1));
    let bad = log.edit(&one, "target x");
    assert_eq!(slots_at(&handle, 2).await, Some(1));
    log.edit(&bad, TWO);
    assert_eq!(slots_at(&handle, 3).await, Some(2));
}

#[tokio::test(start_paused = true)]
async fn starts_from_a_peer_while_the_log_is_out_and_is_confirmed_later() {
    let log = FakeLog::new();
    log.edit(&empty(), ONE);
    log.with(|state| state.out = true);
    let handle = spawn(log.clone(), TIMING);
    handle.offer_from_peer(1, ONE.into());
    assert_eq!(slots_at(&handle, 1).await, Some(1));
    assert!(!handle.view().borrow().confirmed);
    log.with(|state| state.out = false);
    let mut view = handle.view();
    let confirmed = view.wait_for(|view| view.confirmed).await;
    assert_eq!(confirmed.expect("the service runs").table.version(), 1);
}

#[tokio::test(start_paused = true)]
async fn late_starter_finds_a_renewal_after_the_edit_expired() {
    let log = FakeLog::new();
    let early = spawn(log.clone(), TIMING);
    log.edit(&empty(), ONE);
    assert_eq!(slots_at(&early, 1).await, Some(1));
    log.with(|state| state.first = 1);
    let late = spawn(log.clone(), TIMING);
    let found = tokio::time::timeout(Duration::from(RENEW_SPREAD) * 2, slots_at(&late, 1)).await;
    assert_eq!(found, Ok(Some(1)));
}

#[tokio::test(start_paused = true)]
async fn renews_each_period_and_no_more() {
    let log = FakeLog::new();
    let handle = spawn(log.clone(), TIMING);
    log.edit(&empty(), ONE);
    assert_eq!(slots_at(&handle, 1).await, Some(1));
    tokio::time::sleep(Duration::from_secs(300)).await;
    let renewals = log.with(|state| state.records.len()) - 1;
    assert!((3..=5).contains(&renewals), "{renewals}");
}
