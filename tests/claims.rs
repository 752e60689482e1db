//! Idempotency keys over a faulty log, against a count of runs for each key.
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
/// How long the log keeps records.
const RETENTION: Micros = Micros::from_secs(300);

/// Faults put in at the interfaces of the code under test.
#[derive(Clone, Copy, Debug, Default)]
struct Faults {
    /// Losers run as well.
    unordered: bool,
    /// A claim is run before it was read back.
    unread: bool,
    /// Winners run however late.
    unfenced: bool,
    /// A release works whoever wrote it.
    unowned: bool,
    /// A released claim may still be run.
    unsettled: bool,
}

/// What becomes of an append.
#[derive(Clone, Copy, Debug)]
enum Append {
    Lands,
    Fails,
    LandsLater,
}

#[derive(Clone, Copy, Debug)]
enum Step {
    Claim(usize, usize, Append),
    Read(usize),
    Run(usize, Append),
    Release(usize),
    Abandon(usize),
    LandLate,
    Restart(usize),
    Pass(u64),
}

fn steps() -> impl Strategy<Value = Step> {
    let entry = 0..ENTRIES;
    let append = prop_oneof![
        3 => Just(Append::Lands),
        1 => Just(Append::Fails),
        1 => Just(Append::LandsLater),
    ];
    prop_oneof![
        6 => (entry.clone(), 0..KEYS, append.clone()).prop_map(|(e, k, a)| Step::Claim(e, k, a)),
        8 => entry.clone().prop_map(Step::Read),
        5 => (entry.clone(), append).prop_map(|(e, a)| Step::Run(e, a)),
        1 => entry.clone().prop_map(Step::Release),
        1 => entry.clone().prop_map(Step::Abandon),
        2 => Just(Step::LandLate),
        1 => entry.prop_map(Step::Restart),
        2 => (1u64..400).prop_map(Step::Pass),
    ]
}

#[derive(Default)]
struct Log {
    records: Vec<(Micros, Vec<u8>)>,
    first: usize,
    late: Vec<Vec<u8>>,
}

impl Log {
    fn append(&mut self, now: Micros, record: &Record, append: Append) {
        let bytes = record.encode().expect("a short record");
        match append {
            Append::Lands => self.records.push((now, bytes)),
            Append::Fails => {}
            Append::LandsLater => self.late.push(bytes),
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
    mine: Vec<Claim>,
}

impl Entry {
    fn new(boot: u64) -> Self {
        Entry {
            boot: BootId(boot),
            claims: Claims::new(),
            mine: Vec::new(),
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
            Step::LandLate => {
                let late = self.log.late.pop();
                let landed = late.map(|bytes| (self.now, bytes));
                self.log.records.extend(landed);
            }
            Step::Restart(entry) => {
                self.ids += 1;
                self.entries[entry] = Entry::new(self.ids);
            }
            Step::Pass(secs) => {
                self.now += Micros::from_secs(secs);
                self.log.expire(self.now);
            }
        }
    }

    fn claim(&mut self, entry: usize, key: usize, append: Append) {
        self.ids += 1;
        let held = &mut self.entries[entry];
        let key = Digest::of_key("school", &[key as u8]);
        let request = Digest::of(&[b"body"]);
        if !held.claims.ready() || held.claims.lookup(key, request) != KeyState::Free {
            return;
        }
        let claim = Claim {
            id: ClaimId(self.ids.into()),
            account: "school".to_owned(),
            key,
            request,
            entry: "127.0.0.1:9000".parse().expect("an address"),
            boot: held.boot,
        };
        held.claims.register(self.now, claim.id);
        held.mine.push(claim.clone());
        self.log.append(self.now, &Record::Claim(claim), append);
    }

    fn read(&mut self, entry: usize) {
        let held = &mut self.entries[entry];
        let from = (held.claims.next_offset() as usize).max(self.log.first);
        let mut releases = Vec::new();
        for (offset, (_, bytes)) in self.log.records.iter().enumerate().skip(from) {
            let mut record = Record::try_from(&bytes[..]).expect("a record");
            if let Record::Report(report) = &mut record
                && self.faults.unowned
                && let KeyState::Held(holder) =
                    held.claims.lookup(report.key, Digest::of(&[b"body"]))
            {
                (report.id, report.boot) = (holder.id, holder.boot);
            }
            releases.extend(held.claims.apply(offset as u64, &record));
        }
        held.claims.caught_up(self.log.first as u64);
        for release in releases {
            self.report(release, Append::Lands);
        }
    }

    fn report(&mut self, report: ClaimReport, append: Append) {
        if report.outcome == ClaimOutcome::NotRun {
            self.released.push(report.id);
        }
        self.log.append(self.now, &Record::Report(report), append);
    }

    /// Runs every request that may be run.
    fn run(&mut self, entry: usize, append: Append) {
        let (faults, now) = (self.faults, self.now);
        let held = &mut self.entries[entry];
        let claims = &held.claims;
        let may = |claim: &Claim| match claims.status(claim.id) {
            Some(ClaimStatus::Pending) => faults.unread,
            Some(ClaimStatus::Lost) => faults.unordered,
            Some(ClaimStatus::Won(_)) => {
                faults.unfenced || claims.dispatch_fence(now, claim.id).is_some()
            }
            Some(ClaimStatus::Abandoned) | None => false,
        };
        let (run, rest): (Vec<_>, Vec<_>) = held.mine.drain(..).partition(may);
        held.mine = rest;
        for claim in run {
            held.claims.unregister(claim.id);
            let runs = self.runs.entry(claim.key).or_default();
            runs.push((claim.id, now));
            let mut report = claim.release();
            report.outcome = ClaimOutcome::Done { status: 200 };
            self.log.append(now, &Record::Report(report), append);
        }
    }

    /// Gives one won claim up that was not run, as when no target could be reached.
    fn release(&mut self, entry: usize) {
        let unsettled = self.faults.unsettled;
        let held = &mut self.entries[entry];
        let won = |c: &Claim| matches!(held.claims.status(c.id), Some(ClaimStatus::Won(_)));
        let Some(at) = held.mine.iter().position(won) else {
            return;
        };
        let claim = held.mine[at].clone();
        if !unsettled {
            held.mine.remove(at);
            held.claims.unregister(claim.id);
        }
        self.report(claim.release(), Append::Lands);
    }

    /// Refuses the oldest request that was not read back.
    fn abandon(&mut self, entry: usize) {
        let held = &mut self.entries[entry];
        let Some(claim) = held.mine.first() else {
            return;
        };
        if held.claims.abandon(claim.id) {
            held.mine.remove(0);
        }
    }

    /// Two runs of a key are apart by what the log keeps beyond the life of a claim, and nothing
    /// that was released ran.
    fn right(&self) -> bool {
        let apart = |runs: &Vec<(ClaimId, Micros)>| {
            runs.is_sorted_by(|a, b| b.1 - a.1 >= RETENTION - CLAIM_TTL)
        };
        let mut ran = self.runs.values().flatten();
        self.runs.values().all(apart) && !ran.any(|(id, _)| self.released.contains(id))
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
            if !world.right() {
                return Err(TestCaseError::fail(format!("{:?}", world.runs)));
            }
        }
        Ok(())
    })
}

#[test]
fn a_key_runs_once_while_the_log_keeps_it() {
    let text = std::env::var("BALSAMPITCH_CASES").ok();
    let cases = text.and_then(|t| t.parse().ok()).unwrap_or(CASES);
    run(cases, Faults::default()).unwrap_or_else(|failure| panic!("{failure}"));
}

/// Names each fault, which the oracle must find.
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
    without_the_first_offset_rule_a_key_runs_twice: unordered
    without_reading_back_a_key_runs_twice: unread
    without_the_fence_a_late_holder_runs: unfenced
    without_owned_releases_a_key_runs_twice: unowned
    without_settling_a_released_claim_runs: unsettled
}
