//! Costs of an agent: slot offers, dispatch table and unacknowledged response chunks.

use super::measure::{heap_growth, report, step_ns};
use crate::bench::report::Report;
use crate::dispatch_table::DispatchTable;
use crate::ids::{BootId, DispatchId, EntryKey, OfferId};
use crate::replay_buffer::ReplayBuffer;
use crate::slot_offers::{SlotOffers, Step, Steps};
use crate::units::Micros;
use crate::wire::{Backlog, ToEntry};

const ROLE: &str = "agent";
const NOW: Micros = Micros::from_secs(1);
/// Entries and slots of each measurement of slot offers.
const OFFER_SIZES: [(usize, u16); 6] = [(3, 8), (37, 8), (370, 8), (8, 32), (8, 229), (37, 229)];
/// Requests that arrive and finish in a measurement of slot offers.
const REQUESTS: usize = 20;
/// Size of an unacknowledged chunk.
const CHUNK_BYTES: usize = 1_024;

/// Measures all costs of an agent.
pub fn reports(seed: u64) -> Vec<Report> {
    let mut reports = Vec::new();
    reports.extend(OFFER_SIZES.map(|(entries, slots)| slot_offers(seed, entries, slots)));
    reports.extend([8, 64, 512].map(|n| table_boots(seed, n)));
    reports.extend([8, 64, 512].map(|n| table_records(seed, n)));
    reports.extend([16, 64, 256].map(|n| replay_buffer(seed, n)));
    reports
}

/// Parks the offer of every free slot at every entry, then measures requests that arrive and
/// finish.
fn slot_offers(seed: u64, entries: usize, slots: u16) -> Report {
    let ((mut offers, messages), bytes) = heap_growth(|| idle_offers(entries, slots));
    let mut sent = 0;
    let request_ns = step_ns(REQUESTS, |at| {
        let entry = EntryKey::from(at % entries);
        let offer = OfferId(1 + at as u64);
        let (_, steps) = offers.dispatched(NOW, entry, offer, Backlog::default());
        sent += park_all(&mut offers, steps);
        let steps = offers.finished();
        sent += park_all(&mut offers, steps);
    });
    report(seed, ROLE, "pull: entries", entries)
        .figure("slots_count", f64::from(slots))
        .figure("state_bytes", bytes)
        .figure("messages_to_park_all_count", messages as f64)
        .figure("messages_per_request_count", sent as f64 / REQUESTS as f64)
        .figure("request_us", request_ns / 1e3)
}

fn idle_offers(entries: usize, slots: u16) -> (SlotOffers, usize) {
    let mut offers = SlotOffers::new(slots);
    let mut messages = 0;
    for at in 0..entries {
        let steps = offers.connected(NOW, EntryKey::from(at));
        messages += park_all(&mut offers, steps);
    }
    (offers, messages)
}

/// Lets the entries park every offer. Returns the number of messages in both directions.
fn park_all(offers: &mut SlotOffers, steps: Steps) -> usize {
    let mut messages = 0;
    let mut pending: Vec<Step> = steps.into_iter().collect();
    while let Some(step) = pending.pop() {
        messages += 1;
        if let Step::Offer(entry, offer) = step {
            messages += 1;
            pending.extend(offers.parked(NOW, entry, offer, Backlog::default()));
        }
    }
    messages
}

fn table_boots(seed: u64, boots: usize) -> Report {
    let (_table, bytes) = heap_growth(|| dispatch_table(boots, 1));
    report(seed, ROLE, "ledger: entry run with one record", boots)
        .figure("bytes_each", bytes / boots as f64)
}

fn table_records(seed: u64, records: usize) -> Report {
    let (_table, bytes) = heap_growth(|| dispatch_table(1, records));
    report(seed, ROLE, "ledger: record of one entry run", records)
        .figure("bytes_each", bytes / records as f64)
}

fn dispatch_table(boots: usize, records: usize) -> DispatchTable {
    let mut table = DispatchTable::new();
    for index in 0..boots {
        for seq in 0..records {
            let boot = BootId(index as u64 + 1);
            let id = DispatchId {
                boot,
                seq: seq as u64 + 1,
            };
            assert!(table.begin(id), "a new dispatch begins");
            table.mark_done(id);
        }
    }
    table
}

/// Measures the buffer of a response whose chunks are not acknowledged.
fn replay_buffer(seed: u64, chunks: usize) -> Report {
    let id = DispatchId {
        boot: BootId(1),
        seq: 1,
    };
    let (_buffer, bytes) = heap_growth(|| {
        let mut buffer = ReplayBuffer::new();
        for seq in 1..=chunks as u64 {
            let chunk = ToEntry::Chunk {
                dispatch: id,
                seq,
                data: vec![0; CHUNK_BYTES].into(),
            };
            buffer.push(chunk, CHUNK_BYTES);
        }
        buffer
    });
    report(seed, ROLE, "run: held chunk of 1 KiB", chunks)
        .figure("bytes_each", bytes / chunks as f64)
}
