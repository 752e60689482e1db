//! Parses the headers that describe the prompt of a model request.

use crate::gateway::prompts::{Part, Parts, Prompt};

/// Maximum number of prompt parts that are parsed; tokens after them count as unique to the
/// request.
const MAX_PARTS: usize = 32;

/// Parses the token counts of a request (prompt, then output) and its prompt parts.
///
/// Returns `None` if the counts are malformed. Parts from the first malformed one on are dropped.
pub fn parse_prompt(counts: &str, parts: Option<&str>) -> Option<Prompt> {
    let (tokens, output) = counts.split_once(',')?;
    let parts = parts.unwrap_or_default().split(',').take(MAX_PARTS);
    Some(Prompt {
        tokens: tokens.trim().parse().ok()?,
        output: output.trim().parse().ok()?,
        parts: parts.map_while(parse_part).collect::<Parts>(),
    })
}

/// Parses a part: its id in hexadecimal, a colon, and its length in tokens. `None` if it is
/// malformed.
fn parse_part(text: &str) -> Option<Part> {
    let (id, tokens) = text.trim().split_once(':')?;
    Some(Part {
        id: u64::from_str_radix(id, 16).ok()?,
        tokens: tokens.parse().ok()?,
    })
}
