//! Values in rules: numbers with units. Every number needs its unit; sizes are written in the
//! largest unit that divides them.

use std::fmt;

use crate::units::Micros;

const SIZES: [(&str, u64); 4] = [
    ("GiB", 1 << 30),
    ("MiB", 1 << 20),
    ("KiB", 1 << 10),
    ("B", 1),
];
const SPANS: [(&str, u64); 3] = [("min", 60_000_000), ("ms", 1_000), ("s", 1_000_000)];

/// A size in bytes; `Display` writes for example `1MiB`.
#[derive(Clone, Copy, Debug)]
pub struct Size(pub u64);

impl fmt::Display for Size {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let whole = |&(_, unit): &(&str, u64)| self.0 >= unit && self.0.is_multiple_of(unit);
        let (name, unit) = SIZES.into_iter().find(whole).unwrap_or(("B", 1));
        write!(f, "{}{name}", self.0 / unit)
    }
}

/// A duration in whole milliseconds; `Display` writes for example `30s`.
#[derive(Clone, Copy, Debug)]
pub struct Span(pub Micros);

impl fmt::Display for Span {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let ms = self.0.as_ms();
        if ms > 0 && ms.is_multiple_of(1_000) {
            write!(f, "{}s", ms / 1_000)
        } else {
            write!(f, "{ms}ms")
        }
    }
}

/// Formats a flag as `yes` or `no`.
pub fn yes_no(value: bool) -> &'static str {
    if value { "yes" } else { "no" }
}

/// Parses `yes` or `no`. Returns `None` for any other text.
pub fn parse_yes_no(text: &str) -> Option<bool> {
    match text {
        "yes" => Some(true),
        "no" => Some(false),
        _ => None,
    }
}

/// Parses a whole number. Returns `None` if the text has other characters than digits, or the
/// number exceeds 64 bits.
pub fn parse_number(text: &str) -> Option<u64> {
    let digits = !text.is_empty() && text.bytes().all(|b| b.is_ascii_digit());
    digits.then(|| text.parse().ok()).flatten()
}

/// Parses a percentage. Returns `None` if the text is not a whole number from `0%` to `100%`.
pub fn parse_percent(text: &str) -> Option<u8> {
    let number = parse_number(text.strip_suffix('%')?)?;
    u8::try_from(number).ok().filter(|&percent| percent <= 100)
}

/// Parses a size such as `1MiB`, in bytes. Returns `None` if the number or the unit is missing or
/// malformed.
pub fn parse_size(text: &str) -> Option<u64> {
    parse_with_unit(text, &SIZES)
}

/// Parses a duration such as `30s`. Returns `None` if the number or the unit is missing or
/// malformed.
pub fn parse_span(text: &str) -> Option<Micros> {
    parse_with_unit(text, &SPANS).map(Micros)
}

fn parse_with_unit(text: &str, units: &[(&str, u64)]) -> Option<u64> {
    let (number, unit) = units.iter().find_map(|&(name, unit)| {
        let number = text.strip_suffix(name)?;
        Some((number, unit))
    })?;
    parse_number(number)?.checked_mul(unit)
}
