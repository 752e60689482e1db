use std::sync::Arc;

use proptest::prelude::*;
use proptest::test_runner::RngSeed;
use proptest_state_machine::{ReferenceStateMachine, StateMachineTest, prop_state_machine};

use super::oracle::{Oracle, check_order};
use super::*;
use crate::rules::change::Change;
use crate::rules::record::{Edit, RecordError, TextDigest};

const READERS: usize = 4;
const PERIOD: Micros = Micros::from_secs(100);

/// Timing of readers that never restart the history, so that each version has only one text.
const STEADY: Timing = Timing {
    period: PERIOD,
    jitter: Micros::ZERO,
    restart_wait: Micros::MAX,
};

fn edit(base: &RulesVersion, author: &str, text: &str, id: u64) -> Record {
    Record::Edit(Edit {
        id: EditId(id),
        base: base.version,
        author: author.into(),
        change: Change::between(&base.text, text),
        digest: TextDigest::of(text),
    })
}

fn renewal(accepted: RulesVersion, as_of: u64, restart: bool) -> Record {
    Record::Renewal(Renewal {
        accepted,
        as_of,
        restart,
    })
}

fn read_all(oracle: &Oracle, reader: &mut Follower) -> Vec<ProcessedRecord> {
    let page = oracle.page(0, reader.next_offset(), usize::MAX);
    reader.apply_page(&page, Micros::ZERO)
}

#[derive(Clone, Debug)]
enum Step {
    Edit {
        reader: usize,
        text: String,
        twice: bool,
    },
    Resend(prop::sample::Index),
    Renew(usize),
    Garbage(Vec<u8>),
    Read {
        reader: usize,
        limit: usize,
    },
    Expire(prop::sample::Index),
    Restart {
        reader: usize,
        peer: usize,
    },
    Offer {
        reader: usize,
        peer: usize,
    },
    Outage(bool),
}

struct Model;

impl ReferenceStateMachine for Model {
    type State = ();
    type Transition = Step;

    fn init_state() -> BoxedStrategy<()> {
        Just(()).boxed()
    }

    fn transitions(_: &()) -> BoxedStrategy<Step> {
        let reader = 0..READERS;
        let index = any::<prop::sample::Index>();
        prop_oneof![
            6 => (reader.clone(), "[abé\n]{0,6}", any::<bool>())
                .prop_map(|(reader, text, twice)| Step::Edit { reader, text, twice }),
            2 => index.clone().prop_map(Step::Resend),
            4 => reader.clone().prop_map(Step::Renew),
            1 => prop::collection::vec(any::<u8>(), 0..6).prop_map(Step::Garbage),
            12 => (reader.clone(), 1..6usize)
                .prop_map(|(reader, limit)| Step::Read { reader, limit }),
            2 => index.prop_map(Step::Expire),
            1 => (reader.clone(), reader.clone())
                .prop_map(|(reader, peer)| Step::Restart { reader, peer }),
            1 => (reader.clone(), reader)
                .prop_map(|(reader, peer)| Step::Offer { reader, peer }),
            1 => any::<bool>().prop_map(Step::Outage),
        ]
        .boxed()
    }

    fn apply((): (), _: &Step) {}
}

struct Fleet {
    timing: Timing,
    oracle: Oracle,
    readers: Vec<Follower>,
    edits: Vec<bytes::Bytes>,
    first: u64,
    outage: bool,
    now: Micros,
}

impl Fleet {
    fn new(timing: Timing) -> Self {
        Fleet {
            timing,
            oracle: Oracle::default(),
            readers: (0..READERS).map(|_| Follower::new(timing)).collect(),
            edits: Vec::new(),
            first: 0,
            outage: false,
            now: Micros::ZERO,
        }
    }

    /// Executes a step and checks that no reader's active version decreased, except that of a
    /// restarted reader.
    fn step_and_check_order(&mut self, step: Step) {
        let restarted = match step {
            Step::Restart { reader, .. } => Some(reader),
            _ => None,
        };
        let current = |reader: &Follower| reader.active().cloned();
        let before: Vec<Option<RulesVersion>> = self.readers.iter().map(current).collect();
        self.step(step);
        for (index, before) in before.iter().enumerate() {
            if restarted != Some(index) {
                check_order(before.as_ref(), self.readers[index].active()).expect("order");
            }
        }
    }

    fn step(&mut self, step: Step) {
        self.now += Micros::from_secs(1);
        match step {
            Step::Edit {
                reader,
                text,
                twice,
            } => self.edit(reader, &text, twice),
            Step::Resend(index) if !self.edits.is_empty() => {
                let data = index.get(&self.edits).clone();
                self.append(data);
            }
            Step::Resend(_) => {}
            Step::Renew(reader) => self.renew(reader),
            Step::Garbage(data) => self.append(data.into()),
            Step::Read { reader, limit } => self.read(reader, limit),
            Step::Expire(index) => {
                let last = self.oracle.records.len() as u64;
                let most = (last - self.first) as usize + 1;
                self.first += index.index(most) as u64 / 2;
            }
            Step::Restart { reader, peer } => {
                let current = self.readers[peer].active().cloned();
                self.readers[reader] = Follower::new(self.timing);
                self.offer(reader, current);
            }
            Step::Offer { reader, peer } => {
                let current = self.readers[peer].active().cloned();
                self.offer(reader, current);
            }
            Step::Outage(outage) => self.outage = outage,
        }
    }

    fn append(&mut self, data: bytes::Bytes) {
        if !self.outage {
            self.oracle.append(data);
        }
    }

    fn edit(&mut self, reader: usize, text: &str, twice: bool) {
        let Some(base) = self.readers[reader].log_version().cloned() else {
            return;
        };
        let id = self.edits.len() as u64;
        let data = edit(&base, &format!("operator {reader}"), text, id).encode();
        self.edits.push(data.clone());
        self.append(data.clone());
        if twice {
            self.append(data);
        }
    }

    fn renew(&mut self, reader: usize) {
        self.now += PERIOD;
        self.now += PERIOD;
        if let Some(record) = self.readers[reader].take_renewal(self.now) {
            self.append(record.encode());
        }
    }

    fn read(&mut self, reader: usize, limit: usize) {
        let reader = &mut self.readers[reader];
        if self.outage {
            reader.mark_unavailable(self.now);
        } else if reader.next_offset() < self.first {
            reader.skip_to(self.first);
        } else {
            let page = self.oracle.page(self.first, reader.next_offset(), limit);
            reader.apply_page(&page, self.now);
        }
    }

    fn offer(&mut self, reader: usize, current: Option<RulesVersion>) {
        if let Some(current) = current {
            self.readers[reader].offer_from_peer(current.version, &current.text);
        }
    }

    fn check(&self) -> Result<(), String> {
        self.readers.iter().try_for_each(|reader| {
            self.oracle.check_logged(reader)?;
            self.oracle.check_active(reader)
        })
    }
}

struct SteadyFleet;

impl StateMachineTest for SteadyFleet {
    type SystemUnderTest = Fleet;
    type Reference = Model;

    fn init_test((): &()) -> Fleet {
        Fleet::new(STEADY)
    }

    fn apply(mut fleet: Fleet, (): &(), step: Step) -> Fleet {
        fleet.step_and_check_order(step);
        fleet.check().expect("readers agree with the oracle");
        fleet
    }

    /// Checks that after any steps, the renewal of one synced reader brings all readers to the same
    /// version.
    fn teardown(mut fleet: Fleet, (): ()) {
        fleet.outage = false;
        let synced = (0..READERS).find(|&reader| {
            fleet.read(reader, usize::MAX);
            fleet.readers[reader].log_version().is_some()
        });
        let Some(synced) = synced else {
            return;
        };
        fleet.renew(synced);
        for reader in 0..READERS {
            fleet.read(reader, usize::MAX);
            fleet.read(reader, usize::MAX);
            let logged = fleet.readers[reader].log_version();
            let expected = fleet.readers[synced].log_version();
            let empty = expected.is_some_and(|expected| expected.version == 0);
            assert!(empty || logged == expected, "{logged:?}, not {expected:?}");
        }
    }
}

prop_state_machine! {
    #![proptest_config(ProptestConfig {
        failure_persistence: None,
        rng_seed: RngSeed::Fixed(7),
        cases: 512,
        ..ProptestConfig::default()
    })]

    #[test]
    fn readers_agree_with_the_oracle(sequential 1..80 => SteadyFleet);
}

/// Timing of readers that restart the history as soon as the end of the stream does not confirm
/// their active version.
const EAGER: Timing = Timing {
    restart_wait: Micros::ZERO,
    ..STEADY
};

struct RestartingFleet;

impl StateMachineTest for RestartingFleet {
    type SystemUnderTest = Fleet;
    type Reference = Model;

    fn init_test((): &()) -> Fleet {
        Fleet::new(EAGER)
    }

    fn apply(mut fleet: Fleet, (): &(), step: Step) -> Fleet {
        fleet.step_and_check_order(step);
        fleet
    }

    /// Checks that renewals alone bring all readers to one version, which is not lower than any
    /// that was active.
    fn teardown(mut fleet: Fleet, (): ()) {
        fleet.outage = false;
        let version = |reader: &Follower| reader.active().map_or(0, |active| active.version);
        let highest = fleet.readers.iter().map(version).max();
        for reader in (0..READERS).cycle().take(READERS * 4) {
            for _ in 0..3 {
                fleet.read(reader, usize::MAX);
            }
            fleet.renew(reader);
        }
        for reader in 0..READERS {
            fleet.read(reader, usize::MAX);
            fleet.read(reader, usize::MAX);
        }
        let first = fleet.readers[0].log_version().expect("synced by a renewal");
        assert!(
            Some(first.version) >= highest,
            "{first:?} below {highest:?}"
        );
        for reader in &fleet.readers {
            let logged = reader.log_version().expect("synced by a renewal");
            assert_eq!(
                (logged.version, logged.digest),
                (first.version, first.digest)
            );
            assert!(reader.confirmed());
        }
    }
}

prop_state_machine! {
    #![proptest_config(ProptestConfig {
        failure_persistence: None,
        rng_seed: RngSeed::Fixed(11),
        cases: 512,
        ..ProptestConfig::default()
    })]

    #[test]
    fn restarted_histories_converge(sequential 1..80 => RestartingFleet);
}

fn three_versions() -> (Oracle, Vec<RulesVersion>) {
    let mut oracle = Oracle::default();
    let mut versions = vec![VersionChain::default().current().clone()];
    for number in 1..=3 {
        let text = format!("text {number}");
        let base = versions.last().expect("starts with one");
        oracle.append(edit(base, "mere", &text, number).encode());
        versions.push(RulesVersion::new(number, "mere", &text));
    }
    (oracle, versions)
}

macro_rules! detected {
    ($($name:ident: |$oracle:ident, $versions:ident, $reader:ident| $fault:block, $check:ident;)+) => {$(
        #[test]
        fn $name() {
            #[allow(unused_mut)]
            let (mut $oracle, $versions) = three_versions();
            let mut $reader = Follower::new(STEADY);
            $fault
            assert!($oracle.$check(&$reader).is_err());
        }
    )+};
}

detected! {
    a_skipped_record_is_detected: |oracle, versions, reader| {
        let mut page = oracle.page(0, 0, 3);
        page.records.remove(1);
        reader.apply_page(&page, Micros::ZERO);
        assert_eq!(versions.len(), 4);
    }, check_logged;
    a_renewal_with_a_wrong_offset_is_detected: |oracle, versions, reader| {
        oracle.append(renewal(versions[2].clone(), 3, false).encode());
        reader.skip_to(3);
        reader.apply_page(&oracle.page(3, 3, 1), Micros::ZERO);
    }, check_logged;
    a_renewal_of_a_version_never_accepted_is_detected: |oracle, versions, reader| {
        let false_version = RulesVersion::new(versions.len() as u64, "mere", "false");
        oracle.append(renewal(false_version, 3, false).encode());
        read_all(&oracle, &mut reader);
    }, check_logged;
    a_peer_with_another_text_is_detected: |oracle, versions, reader| {
        assert!(reader.offer_from_peer(versions[2].version, "false"));
    }, check_active;
    a_peer_with_a_version_never_accepted_is_detected: |oracle, versions, reader| {
        assert!(reader.offer_from_peer(versions.len() as u64, "false"));
    }, check_active;
    a_repeat_under_a_new_id_on_the_new_base_is_detected: |oracle, versions, reader| {
        let mut page = oracle.page(0, 0, 3);
        page.records[2].data = edit(&versions[2], "mere", "false", 9).encode();
        reader.apply_page(&page, Micros::ZERO);
    }, check_logged;
}

#[test]
fn a_decreasing_version_is_detected() {
    let (_, versions) = three_versions();
    assert!(check_order(Some(&versions[2]), Some(&versions[1])).is_err());
    assert!(check_order(Some(&versions[1]), None).is_err());
    assert!(check_order(Some(&versions[1]), Some(&versions[1])).is_ok());
}

macro_rules! outcomes {
    ($($name:ident: |$versions:ident| $record:expr => $outcome:expr;)+) => {$(
        #[test]
        fn $name() {
            let (mut oracle, $versions) = three_versions();
            oracle.append($record.encode());
            let processed = read_all(&oracle, &mut Follower::new(STEADY));
            assert_eq!(processed.last().expect("four records").outcome, $outcome);
        }
    )+};
}

fn winner(version: u64) -> RecordOutcome {
    let author = Some(Arc::from("mere"));
    RecordOutcome::Conflict(crate::rules::WinningEdit { version, author })
}

fn with_digest_of(record: Record, text: &str) -> Record {
    match record {
        Record::Edit(edit) => Record::Edit(Edit {
            digest: TextDigest::of(text),
            ..edit
        }),
        renewal => renewal,
    }
}

outcomes! {
    next_edit_is_accepted: |v| edit(&v[3], "anita", "new", 9) => RecordOutcome::Accepted(4);
    late_edit_conflicts_with_the_first: |v| edit(&v[1], "anita", "new", 9) => winner(2);
    repeated_edit_is_a_duplicate: |v| edit(&v[2], "mere", "text 3", 3) => RecordOutcome::Duplicate(3);
    edit_of_a_later_version_is_invalid: |_v| edit(&RulesVersion::new(9, "", ""), "anita", "new", 9)
        => RecordOutcome::Invalid(RecordError::FutureReference);
    edit_with_a_wrong_digest_is_invalid: |v|
        with_digest_of(edit(&v[3], "anita", "new", 9), "other")
        => RecordOutcome::Invalid(RecordError::DigestMismatch);
    edit_that_does_not_apply_is_invalid: |v| edit(&RulesVersion::new(3, "", "long text"), "a", "long text!", 9)
        => { let _ = &v; RecordOutcome::Invalid(RecordError::Malformed) };
    renewal_keeps_the_version: |v| renewal(v[3].clone(), 3, false) => RecordOutcome::Renewed(3);
    stale_renewal_keeps_the_version: |v| renewal(v[2].clone(), 2, false) => RecordOutcome::Stale(2);
    renewal_as_of_a_later_offset_is_invalid: |v| renewal(v[3].clone(), 9, false)
        => RecordOutcome::Invalid(RecordError::FutureReference);
}

#[test]
fn two_texts_of_one_version_converge() {
    let texts = [
        RulesVersion::new(3, "mere", "one"),
        RulesVersion::new(3, "anita", "two"),
    ];
    let ends = [0, 1].map(|own| {
        let mut chain = VersionChain::starting_at(texts[own].clone());
        chain.apply(0, &renewal(texts[0].clone(), 0, true));
        chain.apply(1, &renewal(texts[1].clone(), 1, true));
        chain.current().clone()
    });
    assert_eq!(ends[0], ends[1]);
}

#[test]
fn stale_renewal_syncs_a_late_reader() {
    let (mut oracle, versions) = three_versions();
    oracle.append(renewal(versions[2].clone(), 2, false).encode());
    let mut late = Follower::new(STEADY);
    late.skip_to(2);
    late.apply_page(&oracle.page(2, 2, 2), Micros::ZERO);
    assert_eq!(late.log_version().map(|logged| logged.version), Some(3));
}

#[test]
fn renewal_before_the_first_read_offset_does_not_sync() {
    let (mut oracle, versions) = three_versions();
    oracle.append(renewal(versions[2].clone(), 2, false).encode());
    let mut late = Follower::new(STEADY);
    late.skip_to(3);
    late.apply_page(&oracle.page(3, 3, 1), Micros::ZERO);
    assert_eq!(late.log_version(), None);
}

#[test]
fn peer_version_is_active_until_the_log_confirms_it() {
    let (oracle, versions) = three_versions();
    let mut reader = Follower::new(STEADY);
    assert!(reader.offer_from_peer(3, &versions[3].text));
    assert!(!reader.offer_from_peer(2, &versions[2].text));
    reader.apply_page(&oracle.page(0, 0, 2), Micros::ZERO);
    assert_eq!(reader.active().map(|active| active.version), Some(3));
    assert!(!reader.confirmed());
    read_all(&oracle, &mut reader);
    read_all(&oracle, &mut reader);
    assert!(reader.confirmed());
    assert_eq!(reader.active(), Some(&versions[3]));
}

#[test]
fn lost_history_restarts_from_the_version_of_a_peer() {
    let timing = Timing {
        restart_wait: Micros::from_secs(20),
        ..STEADY
    };
    let mut oracle = Oracle::default();
    let mut readers = [Follower::new(timing), Follower::new(timing)];
    assert!(readers[0].offer_from_peer(7, "seven"));
    let mut record = None;
    for second in [0, 19, 20] {
        let now = Micros::from_secs(second);
        assert_eq!(record, None);
        readers[0].apply_page(&oracle.page(0, 0, 0), now);
        record = readers[0].take_renewal(now);
    }
    oracle.append(record.expect("due after the wait").encode());
    for reader in &mut readers {
        read_all(&oracle, reader);
        assert_eq!(reader.log_version().map(|logged| logged.version), Some(7));
    }
}

#[test]
fn recreated_stream_is_read_from_its_start() {
    let (oracle, versions) = three_versions();
    let mut reader = Follower::new(STEADY);
    read_all(&oracle, &mut reader);
    let mut recreated = Oracle::default();
    recreated.append(edit(&versions[0], "anita", "other", 9).encode());
    let page = Page {
        next: 1,
        ..Page::default()
    };
    reader.apply_page(&page, Micros::ZERO);
    read_all(&recreated, &mut reader);
    assert_eq!(reader.log_version().map(|logged| logged.version), Some(1));
    assert_eq!(reader.active(), Some(&versions[3]));
    assert!(!reader.confirmed());
}

macro_rules! schedules {
    ($($name:ident: |$schedule:ident| $events:block, $bytes:literal bytes due at $due:expr;)+) => {$(
        #[test]
        fn $name() {
            let secs = Micros::from_secs;
            let timing = Timing { period: secs(100), jitter: secs(3), restart_wait: secs(20) };
            let mut $schedule = Schedule::new(timing);
            $events
            let due = (0..1_000).find(|&s| $schedule.due(secs(s), $bytes).is_some());
            assert_eq!(due, $due);
        }
    )+};
}

schedules! {
    renewal_is_due_after_a_period: |s| { s.record_read(0, Micros::ZERO); }, 0 bytes due at Some(103);
    renewal_by_another_reader_postpones_it: |s| { s.record_renewal(5, Micros::from_secs(50)); }, 0 bytes due at Some(153);
    long_text_is_renewed_less_often: |s| { s.record_read(0, Micros::ZERO); }, 5_000 bytes due at Some(503);
    long_text_that_expired_is_due_at_once: |s| {
        s.record_renewal(5, Micros::from_secs(30));
        s.record_read(5, Micros::from_secs(31));
        s.record_read(6, Micros::from_secs(90));
    }, 5_000 bytes due at Some(53);
    expired_renewal_is_due_at_once: |s| {
        s.record_renewal(5, Micros::from_secs(30));
        s.record_read(5, Micros::from_secs(31));
        s.record_read(6, Micros::from_secs(90));
    }, 0 bytes due at Some(53);
    expiry_before_the_first_renewal_sets_no_maximum: |s| {
        s.record_read(6, Micros::ZERO);
        s.record_renewal(9, Micros::from_secs(1));
    }, 0 bytes due at Some(104);
}
