//! Between a member's state and the rows of datagrams.

use std::collections::BTreeMap;

use super::cells::Cells;
use super::uplink::Entry;
use crate::exchange::ShareKey;
use crate::exchange::envelope::MAX_PAYLOAD_BYTES;
use crate::exchange::gossip::{
    Down, DownRow, Gaps, QUANTUM_US, Section, Up, UpRow, flatten, unflatten,
};
use crate::exchange::numbering::{Number, Numbering, RecentNumberings};
use crate::share::Demand;
use crate::units::Micros;

/// Bytes of rows in one datagram; the rest is for fields and the first row.
const ROWS_BYTES: usize = MAX_PAYLOAD_BYTES - 64;
/// Bytes that a section adds to its rows, at most.
const SECTION_BYTES: usize = 24;
/// Idle pairs whose levels are told besides those of waiting ones; the highest go first.
const IDLE_PAIRS: usize = 60;

/// A charge as it was read.
#[derive(Clone, Copy, Debug)]
pub struct Charge {
    /// Whose charge it is; `None` when out of range.
    pub number: Option<Number>,
    /// Microseconds of slot time.
    pub charge: i64,
    /// Demand in the sender's subtree.
    pub demand: Demand,
}

/// A level as it was read.
#[derive(Clone, Copy, Debug)]
pub struct Level {
    /// Whose level it is; `None` when out of range.
    pub number: Option<Number>,
    /// Microseconds of slot time.
    pub level: i64,
    /// Demand as the sender knows it.
    pub demand: Demand,
}

/// Splits entries, sorted by number, into batches that fit a datagram each.
pub fn batches<'a>(entries: &'a [Entry], names: &Numbering) -> Vec<&'a [Entry]> {
    let place = |entry: &Entry| names.number(entry.pair).map_or(0, flatten);
    split(entries, |before, entry| {
        let gap = place(entry) - before.map_or(0, place);
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

/// Rows of a batch, whose entries are sorted by number.
pub fn up_rows(entries: &[Entry], names: &Numbering) -> Vec<UpRow> {
    let mut gaps = Gaps::default();
    let row = |entry: &Entry| {
        let number = names.number(entry.pair)?;
        Some(UpRow {
            place: gaps.pack(flatten(number), entry.demand),
            charge: entry.charge / QUANTUM_US,
        })
    };
    entries.iter().filter_map(row).collect()
}

/// The charges of a batch. Reading ends at the first malformed row.
pub fn read_up(up: &Up) -> impl Iterator<Item = Charge> {
    let mut gaps = Gaps::default();
    up.rows.iter().map_while(move |row| {
        let (place, demand) = gaps.unpack(row.place)?;
        Some(Charge {
            number: unflatten(place),
            charge: row.charge.checked_mul(QUANTUM_US)?,
            demand,
        })
    })
}

/// The levels of a datagram. Reading ends at the first malformed row.
pub fn read_down(down: &Down) -> impl Iterator<Item = Level> {
    down.sections.iter().flat_map(|section| {
        let mut gaps = Gaps::default();
        section.rows.iter().map_while(move |row| {
            let (place, demand) = gaps.unpack(row.place)?;
            let level = section.base.checked_add(row.above)?;
            Some(Level {
                number: u32::try_from(place).ok().map(|account| Number {
                    service: section.service,
                    account,
                }),
                level: i64::try_from(level).ok()?.checked_mul(QUANTUM_US)?,
                demand,
            })
        })
    })
}

/// What a member without levels tells its children.
pub fn cold(names: u32, round: u32, period: Micros) -> Down {
    Down {
        names,
        round,
        period: u16::try_from(period.as_ms()).unwrap_or(u16::MAX),
        cold: true,
        ..Down::default()
    }
}

/// The levels of all waiting pairs and the highest idle ones, in as many datagrams as they need.
pub fn downs(cells: &Cells, names: &RecentNumberings, round: u32, period: Micros) -> Vec<Down> {
    let (mut rows, mut idle): (Vec<_>, Vec<_>) = cells
        .iter()
        .map(|(pair, cell)| (pair, cell.level(), cell.demand()))
        .partition(|(.., demand)| demand.waits());
    idle.sort_unstable_by_key(|&(pair, level, _)| (-level, pair));
    idle.truncate(IDLE_PAIRS);
    rows.append(&mut idle);
    datagrams(rows, names, round, period)
}

/// The levels without the charges that are still on their way up.
pub fn seeds(cells: &Cells, names: &RecentNumberings, round: u32, period: Micros) -> Vec<Down> {
    let rows = cells
        .iter()
        .map(|(pair, cell)| (pair, cell.base.max(0), cell.demand()))
        .collect();
    datagrams(rows, names, round, period)
}

fn datagrams(
    rows: Vec<(ShareKey, i64, Demand)>,
    names: &RecentNumberings,
    round: u32,
    period: Micros,
) -> Vec<Down> {
    let Some(names) = names.current() else {
        return Vec::new();
    };
    let mut rows: Vec<_> = rows
        .into_iter()
        .filter_map(|(p, level, demand)| names.number(p).map(|n| (n, level / QUANTUM_US, demand)))
        .collect();
    rows.sort_unstable_by_key(|&(n, ..)| n);
    let head = Down {
        cold: false,
        ..cold(names.digest(), round, period)
    };
    if rows.is_empty() {
        return vec![head];
    }
    let mut least: BTreeMap<u16, i64> = BTreeMap::new();
    for &(number, level, _) in &rows {
        let known = least.entry(number.service).or_insert(level);
        *known = level.min(*known);
    }
    let parts = split(&rows, |before, row| {
        let &(number, level, _) = row;
        let known = before.filter(|b| b.0.service == number.service);
        let gap = number.account - known.map_or(0, |b| b.0.account);
        let section = if known.is_none() { SECTION_BYTES } else { 0 };
        let above = (level - least[&number.service]) as u64;
        section + varint_bytes(u64::from(gap) << 2) + varint_bytes(above)
    });
    let last = parts.len() - 1;
    parts
        .into_iter()
        .enumerate()
        .map(|(i, part)| Down {
            sections: sections(part),
            more: i < last,
            ..head.clone()
        })
        .collect()
}

fn sections(rows: &[(Number, i64, Demand)]) -> Vec<Section> {
    let mut by_service: BTreeMap<u16, Vec<_>> = BTreeMap::new();
    for &(number, level, demand) in rows {
        let list = by_service.entry(number.service).or_default();
        list.push((number.account, level as u64, demand));
    }
    by_service
        .into_iter()
        .map(|(service, list)| section(service, &list))
        .collect()
}

fn section(service: u16, list: &[(u32, u64, Demand)]) -> Section {
    let base = list.iter().map(|&(_, level, _)| level).min().unwrap_or(0);
    let mut gaps = Gaps::default();
    let rows = list
        .iter()
        .map(|&(account, level, demand)| DownRow {
            place: gaps.pack(u64::from(account), demand),
            above: level - base,
        })
        .collect();
    Section {
        service,
        base,
        rows,
    }
}
