//! Positions in the platform's logs, which may come back from an older copy.
//!
//! An offset tells how far a log had grown, and so how old a record is, only within one era. After a
//! restore the same offsets are given out again to other records.

/// Number of times that the platform's logs were restored from an older copy. What was written to
/// them between the copy and the restore is gone.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Era(pub u64);

/// A position in a log: that of a record, or the one after the last record that was read.
///
/// Deliberately without an order of its own: see [`Position::supersedes`].
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Position {
    /// Era of the log.
    pub era: Era,
    /// Offset in the log as it is in that era.
    pub offset: u64,
}

impl Position {
    /// Creates a position.
    pub fn new(era: Era, offset: u64) -> Self {
        Position { era, offset }
    }

    /// Whether what was read up to here replaces what was read up to `other`: in a later era
    /// whatever the offsets are, as the log before is gone.
    pub fn supersedes(self, other: Position) -> bool {
        self.rank() > other.rank()
    }

    /// The one of the two that supersedes the other.
    pub fn newer(self, other: Position) -> Position {
        match other.supersedes(self) {
            true => other,
            false => self,
        }
    }

    /// The position of the record before this one in the same era; `None` if there is none.
    pub fn previous(self) -> Option<Position> {
        let offset = self.offset.checked_sub(1)?;
        Some(Position { offset, ..self })
    }

    /// Sort key by which positions supersede each other.
    pub fn rank(self) -> (Era, u64) {
        (self.era, self.offset)
    }
}
