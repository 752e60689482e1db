//! How one rules text differs from the one before it: one replaced part.

use serde::{Deserialize, Serialize};

use super::parse::MAX_FILE_BYTES;

/// Replaces the part of a text between its first `head` and last `tail` bytes.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Change {
    /// Bytes kept at the start.
    pub head: u32,
    /// Bytes kept at the end.
    pub tail: u32,
    /// What stands between them.
    pub middle: String,
}

impl Change {
    /// The change that makes `after` out of `before`.
    pub fn between(before: &str, after: &str) -> Self {
        let head = common(before.bytes(), after.bytes());
        let head = boundary(after, head.min(boundary(before, head)));
        let before_rest = &before[head..];
        let after_rest = &after[head..];
        let tail = common(before_rest.bytes().rev(), after_rest.bytes().rev());
        let tail = tail_boundary(after_rest, tail);
        let middle = &after_rest[..after_rest.len() - tail];
        Change {
            head: u32::try_from(head).expect("a rules text is shorter than 4 GiB"),
            tail: u32::try_from(tail).expect("a rules text is shorter than 4 GiB"),
            middle: middle.to_owned(),
        }
    }

    /// The changed text; none when the change does not fit this text.
    pub fn apply(&self, before: &str) -> Option<String> {
        let head = usize::try_from(self.head).ok()?;
        let tail = usize::try_from(self.tail).ok()?;
        let cut = before.len().checked_sub(tail).filter(|&cut| cut >= head)?;
        let length = head + self.middle.len() + tail;
        if length > MAX_FILE_BYTES {
            return None;
        }
        let mut after = String::with_capacity(length);
        after.push_str(before.get(..head)?);
        after.push_str(&self.middle);
        after.push_str(before.get(cut..)?);
        Some(after)
    }
}

fn common(a: impl Iterator<Item = u8>, b: impl Iterator<Item = u8>) -> usize {
    a.zip(b).take_while(|(a, b)| a == b).count()
}

fn boundary(text: &str, mut at: usize) -> usize {
    while !text.is_char_boundary(at) {
        at -= 1;
    }
    at
}

fn tail_boundary(text: &str, mut tail: usize) -> usize {
    while !text.is_char_boundary(text.len() - tail) {
        tail -= 1;
    }
    tail
}
