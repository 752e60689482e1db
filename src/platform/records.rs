//! The store's framing of records.

use bytes::{Buf, Bytes};

/// A record of a topic in which the newest record of each key is kept.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Keyed {
    /// Names what the record is about.
    pub key: Box<str>,
    /// What it says; empty: the key is dropped.
    pub value: Bytes,
}

/// The answer to a read: records from the asked offset on.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Page {
    /// Offset after the newest record of the partition.
    pub end: u64,
    /// Number of records that were read.
    pub count: u64,
    /// Those of them that can be understood.
    pub records: Vec<Keyed>,
}

/// A page is cut short or contradicts itself.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
#[error("the records are cut short")]
pub struct CutShort;

/// Offsets at the start of a page: its end, and the first that is held.
const PAGE_HEAD_BYTES: usize = 16;
const LENGTH_BYTES: usize = 4;

/// Decodes a page.
///
/// # Errors
/// [`CutShort`] when it ends within a record.
pub fn page(mut body: Bytes) -> Result<Page, CutShort> {
    if body.len() < PAGE_HEAD_BYTES {
        return Err(CutShort);
    }
    let end = body.get_u64();
    let _first = body.get_u64();
    let mut count = 0;
    let mut records = Vec::new();
    while !body.is_empty() {
        if body.len() < LENGTH_BYTES {
            return Err(CutShort);
        }
        let length = body.get_u32() as usize;
        if body.len() < length {
            return Err(CutShort);
        }
        count += 1;
        records.extend(keyed(body.split_to(length)));
    }
    Ok(Page {
        end,
        count,
        records,
    })
}

/// A record with a key: its length in a byte, the key, and the value. `None`: it is not one.
fn keyed(mut record: Bytes) -> Option<Keyed> {
    let length = usize::from(*record.first()?);
    record.advance(1);
    if record.len() < length {
        return None;
    }
    let key = record.split_to(length);
    let key = std::str::from_utf8(&key).ok()?.into();
    Some(Keyed { key, value: record })
}
