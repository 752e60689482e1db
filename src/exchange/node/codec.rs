//! Converts a member's state to the rows of datagrams and back.

use std::collections::BTreeMap;

use super::shares::ShareTable;
use super::uplink::BatchEntry;
use crate::exchange::ShareKey;
use crate::exchange::envelope::MAX_PAYLOAD_BYTES;
use crate::exchange::gossip::{
    ChargeBatch, ChargeRow, DeltaCoder, LevelMessage, LevelRow, QUANTUM_US, ServiceLevels, flatten,
    unflatten,
};
use crate::exchange::numbering::{Numbering, RecentNumberings, ShareIndex};
use crate::share::Demand;
use crate::units::Micros;

/// Bytes available to rows in one datagram; the rest holds the other fields and the first row.
const ROWS_BYTES: usize = MAX_PAYLOAD_BYTES - 64;
/// Upper bound of the bytes that a section adds to its rows.
const SECTION_BYTES: usize = 24;
/// Maximum number of idle keys whose levels are sent in addition to those of all backlogged keys.
/// The idle keys with the highest levels are chosen.
const IDLE_PAIRS: usize = 60;

/// A decoded charge row.
#[derive(Clone, Copy, Debug)]
pub struct DecodedCharge {
    /// Account and service that the charge belongs to; `None` if the index is out of range.
    pub index: Option<ShareIndex>,
    /// Charge in microseconds of slot time.
    pub charge: i64,
    /// Demand in the sender's subtree.
    pub demand: Demand,
}

/// A decoded level row.
#[derive(Clone, Copy, Debug)]
pub struct DecodedLevel {
    /// Account and service that the level belongs to; `None` if the index is out of range.
    pub index: Option<ShareIndex>,
    /// Level in microseconds of slot time.
    pub level: i64,
    /// Demand as known to the sender.
    pub demand: Demand,
}

/// Splits entries, sorted by index, into batches that each fit into one datagram.
pub fn split_batches<'a>(
    entries: &'a [BatchEntry],
    numbering: &Numbering,
) -> Vec<&'a [BatchEntry]> {
    let flat = |entry: &BatchEntry| numbering.index_of(entry.key).map_or(0, flatten);
    split(entries, |before, entry| {
        let gap = flat(entry) - before.map_or(0, flat);
        let charge = (entry.charge / QUANTUM_US).unsigned_abs();
        varint_bytes(gap << 2) + varint_bytes(charge << 1)
    })
}

fn split<T>(rows: &[T], size: impl Fn(Option<&T>, &T) -> usize) -> Vec<&[T]> {
    let mut parts = Vec::new();
    let (mut start, mut used) = (0, 0);
    for (i, row) in rows.iter().enumerate() {
        let before = i.checked_sub(1).map(|b| &rows[b]);
        let bytes = size(before, row);
        if used + bytes > ROWS_BYTES {
            parts.push(&rows[start..i]);
            (start, used) = (i, 0);
        }
        used += bytes;
    }
    parts.push(&rows[start..]);
    parts.retain(|part| !part.is_empty());
    parts
}

fn varint_bytes(value: u64) -> usize {
    let bits = u64::BITS - value.leading_zeros();
    bits.div_ceil(7).max(1) as usize
}

/// Encodes the entries of a batch, which must be sorted by index.
pub fn charge_rows(entries: &[BatchEntry], numbering: &Numbering) -> Vec<ChargeRow> {
    let mut deltas = DeltaCoder::default();
    let row = |entry: &BatchEntry| {
        let index = numbering.index_of(entry.key)?;
        Some(ChargeRow {
            packed: deltas.encode(flatten(index), entry.demand),
            charge: entry.charge / QUANTUM_US,
        })
    };
    entries.iter().filter_map(row).collect()
}

/// Decodes the charges of a batch, up to the first malformed row.
pub fn decode_charges(batch: &ChargeBatch) -> impl Iterator<Item = DecodedCharge> {
    let mut deltas = DeltaCoder::default();
    batch.rows.iter().map_while(move |row| {
        let (flat, demand) = deltas.decode(row.packed)?;
        Some(DecodedCharge {
            index: unflatten(flat),
            charge: row.charge.checked_mul(QUANTUM_US)?,
            demand,
        })
    })
}

/// Decodes the levels of a message, up to the first malformed row.
pub fn decode_levels(message: &LevelMessage) -> impl Iterator<Item = DecodedLevel> {
    message.sections.iter().flat_map(|section| {
        let mut deltas = DeltaCoder::default();
        section.rows.iter().map_while(move |row| {
            let (flat, demand) = deltas.decode(row.packed)?;
            let level = section.base.checked_add(row.offset)?;
            Some(DecodedLevel {
                index: u32::try_from(flat).ok().map(|account| ShareIndex {
                    service: section.service,
                    account,
                }),
                level: i64::try_from(level).ok()?.checked_mul(QUANTUM_US)?,
                demand,
            })
        })
    })
}

/// Returns the message that a member without levels sends to its children.
pub fn cold_message(numbering: u32, round: u32, period: Micros) -> LevelMessage {
    LevelMessage {
        numbering,
        round,
        period: u16::try_from(period.as_ms()).unwrap_or(u16::MAX),
        cold: true,
        ..LevelMessage::default()
    }
}

/// Returns the levels of all backlogged keys and of the idle keys with the highest levels, split to
/// fit into datagrams.
pub fn level_messages(
    shares: &ShareTable,
    numbering: &RecentNumberings,
    round: u32,
    period: Micros,
) -> Vec<LevelMessage> {
    let (mut rows, mut idle): (Vec<_>, Vec<_>) = shares
        .iter()
        .map(|(key, share)| (key, share.level(), share.demand()))
        .partition(|(.., demand)| demand.waits());
    idle.sort_unstable_by_key(|&(key, level, _)| (-level, key));
    idle.truncate(IDLE_PAIRS);
    rows.append(&mut idle);
    datagrams(rows, numbering, round, period)
}

/// Returns the levels without unreported charges, for a parent that has lost its state.
pub fn seed_messages(
    shares: &ShareTable,
    numbering: &RecentNumberings,
    round: u32,
    period: Micros,
) -> Vec<LevelMessage> {
    let rows = shares
        .iter()
        .map(|(key, share)| (key, share.base.max(0), share.demand()))
        .collect();
    datagrams(rows, numbering, round, period)
}

fn datagrams(
    rows: Vec<(ShareKey, i64, Demand)>,
    numbering: &RecentNumberings,
    round: u32,
    period: Micros,
) -> Vec<LevelMessage> {
    let Some(numbering) = numbering.current() else {
        return Vec::new();
    };
    let mut rows: Vec<_> = rows
        .into_iter()
        .filter_map(|(p, level, demand)| {
            numbering
                .index_of(p)
                .map(|n| (n, level / QUANTUM_US, demand))
        })
        .collect();
    rows.sort_unstable_by_key(|&(n, ..)| n);
    let head = LevelMessage {
        cold: false,
        ..cold_message(numbering.digest(), round, period)
    };
    if rows.is_empty() {
        return vec![head];
    }
    let mut least: BTreeMap<u16, i64> = BTreeMap::new();
    for &(index, level, _) in &rows {
        let known = least.entry(index.service).or_insert(level);
        *known = level.min(*known);
    }
    let parts = split(&rows, |before, row| {
        let &(index, level, _) = row;
        let known = before.filter(|b| b.0.service == index.service);
        let gap = index.account - known.map_or(0, |b| b.0.account);
        let section = if known.is_none() { SECTION_BYTES } else { 0 };
        let offset = (level - least[&index.service]) as u64;
        section + varint_bytes(u64::from(gap) << 2) + varint_bytes(offset)
    });
    let last = parts.len() - 1;
    parts
        .into_iter()
        .enumerate()
        .map(|(i, part)| LevelMessage {
            sections: sections(part),
            more: i < last,
            ..head.clone()
        })
        .collect()
}

fn sections(rows: &[(ShareIndex, i64, Demand)]) -> Vec<ServiceLevels> {
    let mut by_service: BTreeMap<u16, Vec<_>> = BTreeMap::new();
    for &(index, level, demand) in rows {
        let list = by_service.entry(index.service).or_default();
        list.push((index.account, level as u64, demand));
    }
    by_service
        .into_iter()
        .map(|(service, list)| section(service, &list))
        .collect()
}

fn section(service: u16, list: &[(u32, u64, Demand)]) -> ServiceLevels {
    let base = list.iter().map(|&(_, level, _)| level).min().unwrap_or(0);
    let mut deltas = DeltaCoder::default();
    let rows = list
        .iter()
        .map(|&(account, level, demand)| LevelRow {
            packed: deltas.encode(u64::from(account), demand),
            offset: level - base,
        })
        .collect();
    ServiceLevels {
        service,
        base,
        rows,
    }
}
