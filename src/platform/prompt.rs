//! Parses the headers that describe the prompt of a model request.

use crate::gateway::prompts::{Part, Parts, Prompt};

/// Maximum number of prompt parts that are parsed; tokens after them count as unique to the
/// request.
const MAX_PARTS: usize = 32;
/// Largest number of tokens that a request is taken to have, so that sums of them don't overflow.
const MAX_TOKENS: u64 = 1 << 32;

/// Parses the token counts of a request (prompt, then output) and its prompt parts.
///
/// Returns `None` if the counts are malformed. Parts from the first malformed one on are dropped.
pub fn parse_prompt(counts: &str, parts: Option<&str>) -> Option<Prompt> {
    let (tokens, output) = counts.split_once(',')?;
    let parts = parts.unwrap_or_default().split(',').take(MAX_PARTS);
    Some(Prompt {
        tokens: parse_count(tokens)?,
        output: parse_count(output)?,
        parts: parts.map_while(parse_part).collect::<Parts>(),
    })
}

/// Parses a part: its id in hexadecimal, a colon, and its length in tokens. `None` if it is
/// malformed.
fn parse_part(text: &str) -> Option<Part> {
    let (id, tokens) = text.trim().split_once(':')?;
    Some(Part {
        id: u64::from_str_radix(id, 16).ok()?,
        tokens: parse_count(tokens)?,
    })
}

/// Parses a number of tokens, at most [`MAX_TOKENS`]. `None` if it is malformed.
fn parse_count(text: &str) -> Option<u64> {
    let tokens: u64 = text.trim().parse().ok()?;
    Some(tokens.min(MAX_TOKENS))
}
