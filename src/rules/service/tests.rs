use super::*;
use crate::log::fake::FakeLog;
use crate::rules::change::Change;
use crate::rules::record::{Edit, EditId, TextDigest};
use crate::rules::renew::RENEW_SPREAD;

const ONE: &str = "service a slots=1  # x\n";
const TWO: &str = "service a slots=2  # x\n";
const TIMING: Timing = Timing {
    period: Micros::from_secs(60),
    jitter: Micros::from_secs(1),
    restart_wait: Micros::from_secs(20),
};

fn edit(log: &FakeLog, base: &RulesVersion, text: &str) -> RulesVersion {
    let edit = Edit {
        id: EditId::random(),
        base: base.version,
        author: "mere".into(),
        change: Change::between(&base.text, text),
        digest: TextDigest::of(text),
    };
    log.push(Record::Edit(edit).encode());
    RulesVersion::new(base.version + 1, "mere", text)
}

fn empty() -> RulesVersion {
    RulesVersion::new(0, "", "")
}

async fn slots_at(handle: &Handle, version: u64) -> Option<u16> {
    let mut state = handle.state();
    let found = state.wait_for(|v| v.accepted.as_ref().is_some_and(|a| a.version >= version));
    let table = found.await.expect("the task runs").table.clone();
    let service = table.service("a")?;
    Some(table.service_at(service).slots)
}

#[tokio::test(start_paused = true)]
async fn follows_edits() {
    let log = FakeLog::new();
    let handle = spawn(log.clone(), TIMING);
    let one = edit(&log, &empty(), ONE);
    assert_eq!(slots_at(&handle, 1).await, Some(1));
    edit(&log, &one, TWO);
    assert_eq!(slots_at(&handle, 2).await, Some(2));
}

#[tokio::test(start_paused = true)]
async fn unparsable_text_keeps_the_previous_table() {
    let log = FakeLog::new();
    let handle = spawn(log.clone(), TIMING);
    let one = edit(&log, &empty(), ONE);
    assert_eq!(slots_at(&handle, 1).await, Some(1));
    let bad = edit(&log, &one, "target x");
    assert_eq!(slots_at(&handle, 2).await, Some(1));
    edit(&log, &bad, TWO);
    assert_eq!(slots_at(&handle, 3).await, Some(2));
}

#[tokio::test(start_paused = true)]
async fn peer_version_is_active_during_an_outage_and_confirmed_later() {
    let log = FakeLog::new();
    edit(&log, &empty(), ONE);
    log.with(|state| state.unavailable = true);
    let handle = spawn(log.clone(), TIMING);
    handle.offer_from_peer(1, ONE.into());
    assert_eq!(slots_at(&handle, 1).await, Some(1));
    assert!(!handle.state().borrow().confirmed);
    log.with(|state| state.unavailable = false);
    let mut state = handle.state();
    let confirmed = state.wait_for(|state| state.confirmed).await;
    assert_eq!(confirmed.expect("the task runs").table.version(), 1);
}

#[tokio::test(start_paused = true)]
async fn late_reader_reads_a_renewal_after_the_edit_expired() {
    let log = FakeLog::new();
    let early = spawn(log.clone(), TIMING);
    edit(&log, &empty(), ONE);
    assert_eq!(slots_at(&early, 1).await, Some(1));
    log.with(|state| state.first = 1);
    let late = spawn(log.clone(), TIMING);
    let found = tokio::time::timeout(Duration::from(RENEW_SPREAD) * 2, slots_at(&late, 1)).await;
    assert_eq!(found, Ok(Some(1)));
}

#[tokio::test(start_paused = true)]
async fn renews_once_per_period() {
    let log = FakeLog::new();
    let handle = spawn(log.clone(), TIMING);
    edit(&log, &empty(), ONE);
    assert_eq!(slots_at(&handle, 1).await, Some(1));
    tokio::time::sleep(Duration::from_secs(300)).await;
    let renewals = log.with(|state| state.records.len()) - 1;
    assert!((3..=5).contains(&renewals), "{renewals}");
}
