//! Slopes of an agent's decisions: entries, slots, ledger, held answers.

use super::slope::{held, line, once};
use crate::bench::report::Report;
use crate::dispatch_table::DispatchTable;
use crate::ids::{BootId, DispatchId, EntryKey, OfferId};
use crate::replay_buffer::ReplayBuffer;
use crate::slot_offers::{SlotOffers, Step, Steps};
use crate::units::Micros;
use crate::wire::{Backlog, ToEntry};

const ROLE: &str = "agent";
const NOW: Micros = Micros::from_secs(1);
/// Entries and slots of each measurement of the pull.
const PULLS: [(usize, u16); 6] = [(3, 8), (37, 8), (370, 8), (8, 32), (8, 229), (37, 229)];
/// Requests that come and end in a measurement of the pull.
const TURNS: usize = 20;
/// Bytes of a chunk that is held.
const CHUNK_BYTES: usize = 1_024;

/// All slopes of the agent.
pub fn lines(seed: u64) -> Vec<Report> {
    let mut lines = Vec::new();
    lines.extend(PULLS.map(|(entries, slots)| pull(seed, entries, slots)));
    lines.extend([8, 64, 512].map(|n| ledger_runs(seed, n)));
    lines.extend([8, 64, 512].map(|n| ledger_records(seed, n)));
    lines.extend([16, 64, 256].map(|n| answer(seed, n)));
    lines
}

/// Every free slot is parked at every entry, then requests come and end.
fn pull(seed: u64, entries: usize, slots: u16) -> Report {
    let ((mut pull, messages), bytes) = held(|| idle(entries, slots));
    let mut sent = 0;
    let turn = once(TURNS, |at| {
        let entry = EntryKey::from(at % entries);
        let offer = OfferId(1 + at as u64);
        let (_, steps) = pull.dispatched(NOW, entry, offer, Backlog::default());
        sent += settle(&mut pull, steps);
        let steps = pull.finished();
        sent += settle(&mut pull, steps);
    });
    line(seed, ROLE, "pull: entries", entries)
        .figure("slots_count", f64::from(slots))
        .figure("state_bytes", bytes)
        .figure("messages_to_park_all_count", messages as f64)
        .figure("messages_per_request_count", sent as f64 / TURNS as f64)
        .figure("request_us", turn / 1e3)
}

fn idle(entries: usize, slots: u16) -> (SlotOffers, usize) {
    let mut pull = SlotOffers::new(slots);
    let mut messages = 0;
    for at in 0..entries {
        let steps = pull.connected(NOW, EntryKey::from(at));
        messages += settle(&mut pull, steps);
    }
    (pull, messages)
}

/// Entries park every offer. Returns the messages either way.
fn settle(pull: &mut SlotOffers, steps: Steps) -> usize {
    let mut messages = 0;
    let mut todo: Vec<Step> = steps.into_iter().collect();
    while let Some(step) = todo.pop() {
        messages += 1;
        if let Step::Offer(entry, offer) = step {
            messages += 1;
            todo.extend(pull.parked(NOW, entry, offer, Backlog::default()));
        }
    }
    messages
}

fn ledger_runs(seed: u64, runs: usize) -> Report {
    let (_ledger, bytes) = held(|| ledger(runs, 1));
    line(seed, ROLE, "ledger: entry run with one record", runs)
        .figure("bytes_each", bytes / runs as f64)
}

fn ledger_records(seed: u64, records: usize) -> Report {
    let (_ledger, bytes) = held(|| ledger(1, records));
    line(seed, ROLE, "ledger: record of one entry run", records)
        .figure("bytes_each", bytes / records as f64)
}

fn ledger(runs: usize, records: usize) -> DispatchTable {
    let mut ledger = DispatchTable::new();
    for run in 0..runs {
        for seq in 0..records {
            let boot = BootId(run as u64 + 1);
            let id = DispatchId {
                boot,
                seq: seq as u64 + 1,
            };
            assert!(ledger.begin(id), "a new dispatch begins");
            ledger.mark_done(id);
        }
    }
    ledger
}

/// An answer whose chunks are not acknowledged.
fn answer(seed: u64, chunks: usize) -> Report {
    let id = DispatchId {
        boot: BootId(1),
        seq: 1,
    };
    let (_answer, bytes) = held(|| {
        let mut answer = ReplayBuffer::new();
        for seq in 1..=chunks as u64 {
            let chunk = ToEntry::Chunk {
                dispatch: id,
                seq,
                data: vec![0; CHUNK_BYTES].into(),
            };
            answer.push(chunk, CHUNK_BYTES);
        }
        answer
    });
    line(seed, ROLE, "run: held chunk of 1 KiB", chunks).figure("bytes_each", bytes / chunks as f64)
}
