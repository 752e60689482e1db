//! Difference between two versions of the rules text, stored as one replaced range.

use serde::{Deserialize, Serialize};

use super::parse::MAX_FILE_BYTES;

/// Replaces the bytes of a text between its first `head` and its last `tail` bytes.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Change {
    /// Number of bytes kept at the start of the text.
    pub head: u32,
    /// Number of bytes kept at the end of the text.
    pub tail: u32,
    /// The text that is put between them.
    pub middle: String,
}

impl Change {
    /// Computes the change that turns `before` into `after`.
    pub fn between(before: &str, after: &str) -> Self {
        let head = common_len(before.bytes(), after.bytes());
        let head = prefix_boundary(after, head.min(prefix_boundary(before, head)));
        let before_rest = &before[head..];
        let after_rest = &after[head..];
        let tail = common_len(before_rest.bytes().rev(), after_rest.bytes().rev());
        let tail = suffix_boundary(after_rest, tail);
        let middle = &after_rest[..after_rest.len() - tail];
        Change {
            head: u32::try_from(head).expect("a rules text is shorter than 4 GiB"),
            tail: u32::try_from(tail).expect("a rules text is shorter than 4 GiB"),
            middle: middle.to_owned(),
        }
    }

    /// Applies the change. Returns `None` if `head` and `tail` do not fit the text or the result
    /// exceeds [`MAX_FILE_BYTES`].
    pub fn apply(&self, before: &str) -> Option<String> {
        let head = usize::try_from(self.head).ok()?;
        let tail = usize::try_from(self.tail).ok()?;
        let tail_start = before
            .len()
            .checked_sub(tail)
            .filter(|&tail_start| tail_start >= head)?;
        let length = head + self.middle.len() + tail;
        if length > MAX_FILE_BYTES {
            return None;
        }
        let mut after = String::with_capacity(length);
        after.push_str(before.get(..head)?);
        after.push_str(&self.middle);
        after.push_str(before.get(tail_start..)?);
        Some(after)
    }
}

fn common_len(a: impl Iterator<Item = u8>, b: impl Iterator<Item = u8>) -> usize {
    a.zip(b).take_while(|(a, b)| a == b).count()
}

fn prefix_boundary(text: &str, mut at: usize) -> usize {
    while !text.is_char_boundary(at) {
        at -= 1;
    }
    at
}

fn suffix_boundary(text: &str, mut tail: usize) -> usize {
    while !text.is_char_boundary(text.len() - tail) {
        tail -= 1;
    }
    tail
}
