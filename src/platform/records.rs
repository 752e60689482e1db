//! Decoder for the binary record pages of the platform's store.

use bytes::{Buf, Bytes};

/// A record of a compacted topic, which retains the newest record of each key.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct KeyedRecord {
    /// Offset of the record in its partition.
    pub offset: u64,
    /// Key of the record.
    pub key: Box<str>,
    /// Value; if it is empty, the key has been deleted.
    pub value: Bytes,
}

/// The response to a read: records from the requested offset on.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Page {
    /// Offset after the newest record of the partition.
    pub end: u64,
    /// Number of records in the page.
    pub count: u64,
    /// The records that could be decoded.
    pub records: Vec<KeyedRecord>,
    /// Number of the others.
    pub unreadable: u64,
}

/// Error for a page that ends inside its head or a record.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
#[error("truncated page of records")]
pub struct TruncatedPage;

/// A page starts with two offsets: the end of the partition, and the first retained record.
const PAGE_HEAD_BYTES: usize = 16;
const LENGTH_BYTES: usize = 4;

/// Decodes a page that was read from the offset `from` on.
///
/// # Errors
/// Returns [`TruncatedPage`] if the body ends inside the head or a record.
pub fn decode_page(mut body: Bytes, from: u64) -> Result<Page, TruncatedPage> {
    if body.len() < PAGE_HEAD_BYTES {
        return Err(TruncatedPage);
    }
    let end = body.get_u64();
    let _first = body.get_u64();
    let mut count = 0;
    let mut records = Vec::new();
    while !body.is_empty() {
        if body.len() < LENGTH_BYTES {
            return Err(TruncatedPage);
        }
        let length = body.get_u32() as usize;
        if body.len() < length {
            return Err(TruncatedPage);
        }
        let offset = from.saturating_add(count);
        count += 1;
        records.extend(decode_record(body.split_to(length), offset));
    }
    let unreadable = count - records.len() as u64;
    Ok(Page {
        end,
        count,
        records,
        unreadable,
    })
}

/// Decodes a record: the key's length in one byte, the key, and the value. `None` if it is
/// malformed.
fn decode_record(mut record: Bytes, offset: u64) -> Option<KeyedRecord> {
    let length = usize::from(*record.first()?);
    record.advance(1);
    if record.len() < length {
        return None;
    }
    let key = record.split_to(length);
    let key = std::str::from_utf8(&key).ok()?.into();
    Some(KeyedRecord {
        offset,
        key,
        value: record,
    })
}
