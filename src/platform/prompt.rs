//! The headers that describe a request to a model.

use crate::gateway::prompts::{Part, Parts, Prompt};

/// Most parts of a prompt that are taken in; what follows counts as the request's own.
const MAX_PARTS: usize = 32;

/// The prompt of a request: its token counts (read, then generated), and its parts.
///
/// `None` when the counts cannot be read.
pub fn prompt(counts: &str, parts: Option<&str>) -> Option<Prompt> {
    let (tokens, output) = counts.split_once(',')?;
    let parts = parts.unwrap_or_default().split(',').take(MAX_PARTS);
    Some(Prompt {
        tokens: tokens.trim().parse().ok()?,
        output: output.trim().parse().ok()?,
        parts: parts.map_while(part).collect::<Parts>(),
    })
}

/// A part: its id in hexadecimal, a colon, and its length in tokens.
fn part(text: &str) -> Option<Part> {
    let (id, tokens) = text.trim().split_once(':')?;
    Some(Part {
        id: u64::from_str_radix(id, 16).ok()?,
        tokens: tokens.parse().ok()?,
    })
}
