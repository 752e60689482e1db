//! Simulation of the platform's append-only log: streams of records, each with limited retention.

use std::collections::{HashMap, VecDeque};

use bytes::Bytes;

/// Default number of records retained per stream.
pub const DEFAULT_RETAIN: usize = 10_000;
/// Maximum number of bytes retained per stream.
pub const MAX_STREAM_BYTES: usize = 16 * 1024 * 1024;
/// Maximum number of streams.
pub const MAX_STREAMS: usize = 256;
/// Maximum size of a record, in bytes.
pub const MAX_RECORD_BYTES: usize = 256 * 1024;
/// Maximum number of records in one page.
pub const MAX_PAGE_RECORDS: usize = 1_000;

/// Reason for a rejected append.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
pub enum AppendError {
    /// The record is larger than [`MAX_RECORD_BYTES`].
    #[error("record too large")]
    RecordTooLarge,
    /// There are already [`MAX_STREAMS`] streams.
    #[error("too many streams")]
    TooManyStreams,
}

/// Record of a stream.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Record {
    /// Position in the stream.
    pub offset: u64,
    /// Content.
    pub data: Bytes,
}

/// Result of reading a stream.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Page {
    /// Records from the requested offset on.
    Records {
        /// Offset of the first retained record.
        first: u64,
        /// Offset for the next read.
        next: u64,
        /// Records in order of their offsets.
        records: Vec<Record>,
    },
    /// The record at the requested offset is no longer retained.
    Expired {
        /// Offset of the first retained record.
        first: u64,
    },
}

#[derive(Debug, Default)]
struct Stream {
    first: u64,
    bytes: usize,
    records: VecDeque<Bytes>,
}

impl Stream {
    fn end(&self) -> u64 {
        self.first + self.records.len() as u64
    }

    fn append(&mut self, data: Bytes, retain: usize) -> u64 {
        let offset = self.end();
        self.bytes += data.len();
        self.records.push_back(data);
        while self.records.len() > retain || self.bytes > MAX_STREAM_BYTES {
            self.drop_first();
        }
        offset
    }

    fn drop_first(&mut self) {
        if let Some(data) = self.records.pop_front() {
            self.bytes -= data.len();
            self.first += 1;
        }
    }

    fn read(&self, from: u64) -> Page {
        if from < self.first {
            return Page::Expired { first: self.first };
        }
        let skip = usize::try_from(from - self.first).unwrap_or(usize::MAX);
        let records: Vec<Record> = self
            .records
            .iter()
            .skip(skip)
            .take(MAX_PAGE_RECORDS)
            .zip(from..)
            .map(|(data, offset)| Record {
                offset,
                data: data.clone(),
            })
            .collect();
        let next = records
            .last()
            .map_or(self.end(), |record| record.offset + 1);
        Page::Records {
            first: self.first,
            next,
            records,
        }
    }
}

/// Log of several streams.
#[derive(Debug)]
pub struct Log {
    retain: usize,
    streams: HashMap<String, Stream>,
}

impl Log {
    /// Creates an empty log that retains up to `retain` records per stream, at least one.
    pub fn new(retain: usize) -> Self {
        Log {
            retain: retain.max(1),
            streams: HashMap::new(),
        }
    }

    /// Appends a record and returns its offset. Offsets start at 0.
    ///
    /// # Errors
    /// Returns an error if the record or the number of streams exceeds its limit.
    pub fn append(&mut self, stream: &str, data: Bytes) -> Result<u64, AppendError> {
        if data.len() > MAX_RECORD_BYTES {
            return Err(AppendError::RecordTooLarge);
        }
        if !self.streams.contains_key(stream) && self.streams.len() == MAX_STREAMS {
            return Err(AppendError::TooManyStreams);
        }
        let stream = self.streams.entry(stream.to_owned()).or_default();
        Ok(stream.append(data, self.retain))
    }

    /// Reads the records from an offset on. A stream without an append is empty.
    pub fn read(&self, stream: &str, from: u64) -> Page {
        match self.streams.get(stream) {
            Some(stream) => stream.read(from),
            None => Stream::default().read(from),
        }
    }

    /// Drops the records before an offset.
    pub fn expire(&mut self, stream: &str, first: u64) {
        let Some(stream) = self.streams.get_mut(stream) else {
            return;
        };
        while stream.first < first && !stream.records.is_empty() {
            stream.drop_first();
        }
    }
}
