//! Property test: a request with an idempotency key runs at most once while the log retains its
//! claim, although appends fail or arrive late. The runs of each key are counted for comparison.
//!
//! `BALSAMPITCH_CASES=20000 cargo test --release --test claims` runs more cases.

use std::collections::HashMap;

use balsampitch::claim::{
    CLAIM_TTL, Claim, ClaimId, ClaimOutcome, ClaimReport, ClaimStatus, Claims, Digest, KeyState,
    Record,
};
use balsampitch::ids::BootId;
use balsampitch::units::Micros;
use proptest::prelude::*;
use proptest::test_runner::{Config, RngSeed, TestCaseError, TestError, TestRunner};

const CASES: u32 = 2_000;
const FAULT_CASES: u32 = 5_000;
const ENTRIES: usize = 3;
const KEYS: usize = 2;
/// Retention period of the log.
const RETENTION: Micros = Micros::from_secs(300);

/// Faults that are injected at the interfaces of the code under test.
#[derive(Clone, Copy, Debug, Default)]
struct Faults {
    /// A claim that has lost is run.
    run_lost: bool,
    /// A claim is run before it is read back.
    run_pending: bool,
    /// A claim that holds the key is run at any age.
    ignore_ttl: bool,
    /// A release takes effect regardless of which process wrote it.
    foreign_release: bool,
    /// A claim may be run after its release.
    run_released: bool,
}

/// Result of an append to the log.
#[derive(Clone, Copy, Debug)]
enum Append {
    Stored,
    Failed,
    Delayed,
}

#[derive(Clone, Copy, Debug)]
enum Step {
    Claim(usize, usize, Append),
    Read(usize),
    Run(usize, Append),
    Release(usize),
    Abandon(usize),
    StoreDelayed,
    Restart(usize),
    AdvanceTime(u64),
}

fn steps() -> impl Strategy<Value = Step> {
    let entry = 0..ENTRIES;
    let append = prop_oneof![
        3 => Just(Append::Stored),
        1 => Just(Append::Failed),
        1 => Just(Append::Delayed),
    ];
    prop_oneof![
        6 => (entry.clone(), 0..KEYS, append.clone()).prop_map(|(e, k, a)| Step::Claim(e, k, a)),
        8 => entry.clone().prop_map(Step::Read),
        5 => (entry.clone(), append).prop_map(|(e, a)| Step::Run(e, a)),
        1 => entry.clone().prop_map(Step::Release),
        1 => entry.clone().prop_map(Step::Abandon),
        2 => Just(Step::StoreDelayed),
        1 => entry.prop_map(Step::Restart),
        2 => (1u64..400).prop_map(Step::AdvanceTime),
    ]
}

#[derive(Default)]
struct Log {
    records: Vec<(Micros, Vec<u8>)>,
    first: usize,
    delayed: Vec<Vec<u8>>,
}

impl Log {
    fn append(&mut self, now: Micros, record: &Record, append: Append) {
        let bytes = record.encode().expect("a short record");
        match append {
            Append::Stored => self.records.push((now, bytes)),
            Append::Failed => {}
            Append::Delayed => self.delayed.push(bytes),
        }
    }

    fn expire(&mut self, now: Micros) {
        let expired = |at: Micros| at + RETENTION < now;
        self.first = self.records.iter().take_while(|r| expired(r.0)).count();
    }
}

struct Entry {
    boot: BootId,
    claims: Claims,
    own: Vec<Claim>,
}

impl Entry {
    fn new(boot: u64) -> Self {
        Entry {
            boot: BootId(boot),
            claims: Claims::new(),
            own: Vec::new(),
        }
    }
}

struct World {
    faults: Faults,
    now: Micros,
    ids: u64,
    log: Log,
    entries: Vec<Entry>,
    /// Runs by key.
    runs: HashMap<Digest, Vec<(ClaimId, Micros)>>,
    released: Vec<ClaimId>,
}

impl World {
    fn new(faults: Faults) -> Self {
        let mut world = World {
            faults,
            now: Micros::ZERO,
            ids: ENTRIES as u64,
            log: Log::default(),
            entries: (0..ENTRIES as u64).map(Entry::new).collect(),
            runs: HashMap::new(),
            released: Vec::new(),
        };
        (0..ENTRIES).for_each(|entry| world.read(entry));
        world
    }

    fn step(&mut self, step: Step) {
        match step {
            Step::Claim(entry, key, append) => self.claim(entry, key, append),
            Step::Read(entry) => self.read(entry),
            Step::Run(entry, append) => self.run(entry, append),
            Step::Release(entry) => self.release(entry),
            Step::Abandon(entry) => self.abandon(entry),
            Step::StoreDelayed => {
                let delayed = self.log.delayed.pop();
                let stored = delayed.map(|bytes| (self.now, bytes));
                self.log.records.extend(stored);
            }
            Step::Restart(entry) => {
                self.ids += 1;
                self.entries[entry] = Entry::new(self.ids);
            }
            Step::AdvanceTime(secs) => {
                self.now += Micros::from_secs(secs);
                self.log.expire(self.now);
            }
        }
    }

    fn claim(&mut self, entry: usize, key: usize, append: Append) {
        self.ids += 1;
        let node = &mut self.entries[entry];
        let key = Digest::of_key("school", &[key as u8]);
        let request = Digest::of(&[b"body"]);
        if !node.claims.ready() || node.claims.lookup(key, request) != KeyState::Free {
            return;
        }
        let claim = Claim {
            id: ClaimId(self.ids.into()),
            account: "school".to_owned(),
            key,
            request,
            entry: "127.0.0.1:9000".parse().expect("an address"),
            boot: node.boot,
        };
        node.claims.register(self.now, claim.id);
        node.own.push(claim.clone());
        self.log.append(self.now, &Record::Claim(claim), append);
    }

    fn read(&mut self, entry: usize) {
        let node = &mut self.entries[entry];
        let from = (node.claims.next_offset() as usize).max(self.log.first);
        let mut releases = Vec::new();
        for (offset, (_, bytes)) in self.log.records.iter().enumerate().skip(from) {
            let mut record = Record::try_from(&bytes[..]).expect("a record");
            if let Record::Report(report) = &mut record
                && self.faults.foreign_release
                && let KeyState::Held(holder) =
                    node.claims.lookup(report.key, Digest::of(&[b"body"]))
            {
                (report.id, report.boot) = (holder.id, holder.boot);
            }
            releases.extend(node.claims.apply(offset as u64, &record));
        }
        node.claims.caught_up(self.log.first as u64);
        for release in releases {
            self.report(release, Append::Stored);
        }
    }

    fn report(&mut self, report: ClaimReport, append: Append) {
        if report.outcome == ClaimOutcome::NotRun {
            self.released.push(report.id);
        }
        self.log.append(self.now, &Record::Report(report), append);
    }

    /// Runs every request that may be dispatched.
    fn run(&mut self, entry: usize, append: Append) {
        let (faults, now) = (self.faults, self.now);
        let node = &mut self.entries[entry];
        let claims = &node.claims;
        let may = |claim: &Claim| match claims.status(claim.id) {
            Some(ClaimStatus::Pending) => faults.run_pending,
            Some(ClaimStatus::Lost) => faults.run_lost,
            Some(ClaimStatus::Won(_)) => {
                faults.ignore_ttl || claims.dispatch_fence(now, claim.id).is_some()
            }
            Some(ClaimStatus::Abandoned) | None => false,
        };
        let (run, rest): (Vec<_>, Vec<_>) = node.own.drain(..).partition(may);
        node.own = rest;
        for claim in run {
            node.claims.unregister(claim.id);
            let runs = self.runs.entry(claim.key).or_default();
            runs.push((claim.id, now));
            let mut report = claim.release();
            report.outcome = ClaimOutcome::Done { status: 200 };
            self.log.append(now, &Record::Report(report), append);
        }
    }

    /// Releases a claim that holds its key without running it, as when no target is reachable.
    fn release(&mut self, entry: usize) {
        let run_released = self.faults.run_released;
        let node = &mut self.entries[entry];
        let won = |c: &Claim| matches!(node.claims.status(c.id), Some(ClaimStatus::Won(_)));
        let Some(at) = node.own.iter().position(won) else {
            return;
        };
        let claim = node.own[at].clone();
        if !run_released {
            node.own.remove(at);
            node.claims.unregister(claim.id);
        }
        self.report(claim.release(), Append::Stored);
    }

    /// Abandons the oldest claim if it has not been read back.
    fn abandon(&mut self, entry: usize) {
        let node = &mut self.entries[entry];
        let Some(claim) = node.own.first() else {
            return;
        };
        if node.claims.abandon(claim.id) {
            node.own.remove(0);
        }
    }

    /// Whether two runs of a key are at least [`RETENTION`] less [`CLAIM_TTL`] apart, and no released
    /// claim has run.
    fn is_correct(&self) -> bool {
        let are_spaced = |runs: &Vec<(ClaimId, Micros)>| {
            runs.is_sorted_by(|a, b| b.1 - a.1 >= RETENTION - CLAIM_TTL)
        };
        let mut ran = self.runs.values().flatten();
        self.runs.values().all(are_spaced) && !ran.any(|(id, _)| self.released.contains(id))
    }
}

fn run(cases: u32, faults: Faults) -> Result<(), TestError<Vec<Step>>> {
    let config = Config {
        cases,
        failure_persistence: None,
        rng_seed: RngSeed::Fixed(0x00c1_a135),
        ..Config::default()
    };
    let steps = proptest::collection::vec(steps(), 1..100);
    TestRunner::new(config).run(&steps, |steps| {
        let mut world = World::new(faults);
        for step in steps {
            world.step(step);
            if !world.is_correct() {
                return Err(TestCaseError::fail(format!("{:?}", world.runs)));
            }
        }
        Ok(())
    })
}

#[test]
fn a_key_runs_once_within_retention() {
    let text = std::env::var("BALSAMPITCH_CASES").ok();
    let cases = text.and_then(|t| t.parse().ok()).unwrap_or(CASES);
    run(cases, Faults::default()).unwrap_or_else(|failure| panic!("{failure}"));
}

/// Defines one test per injected fault, which the check must detect.
macro_rules! faults {
    ($($name:ident: $fault:ident)*) => {
        $(#[test]
        fn $name() {
            let faults = Faults { $fault: true, ..Faults::default() };
            assert!(run(FAULT_CASES, faults).is_err());
        })*
    };
}

faults! {
    without_offset_order_a_key_runs_twice: run_lost
    without_reading_back_a_key_runs_twice: run_pending
    without_the_ttl_a_late_holder_runs: ignore_ttl
    with_foreign_releases_a_key_runs_twice: foreign_release
    without_unregistering_a_released_claim_runs: run_released
}
