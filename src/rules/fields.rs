//! The fields of each kind of rule, with their limits and defaults.

use super::error::ErrorKind;
use super::parse::{LineErrors, Token, truncate};
use super::table::{Account, KeyDigest, Service};
use super::units;
use crate::units::Micros;

/// Default of `queue`: maximum number of an account's requests queued at one entry (router
/// process).
pub const DEFAULT_QUEUE: u32 = 200;
/// Default of `body`: maximum size of a request body, in bytes.
pub const DEFAULT_BODY_BYTES: u64 = 1024 * 1024;
/// Default of `slots`: maximum number of requests that a target runs concurrently.
pub const DEFAULT_SLOTS: u16 = 1;
/// Default of `deadline`: maximum time from the arrival of a request to the end of its response.
pub const DEFAULT_DEADLINE: Micros = Micros::from_secs(60);
/// Default of `hedge`: maximum number of hedged attempts, in percent of first attempts.
pub const DEFAULT_HEDGE_PERCENT: u8 = 5;
/// Default of `retry`: maximum number of retries, in percent of first attempts.
pub const DEFAULT_RETRY_PERCENT: u8 = 10;

/// Maximum number of API keys of one account.
pub const MAX_KEYS: usize = 8;
/// Maximum value of `queue`, in requests.
pub const MAX_QUEUE: u32 = 100_000;
/// Maximum value of `body`, in bytes.
pub use crate::wire::MAX_BODY_BYTES;
/// Maximum value of `slots`.
pub const MAX_SLOTS: u16 = 4_096;
/// Maximum value of `deadline`.
pub const MAX_DEADLINE: Micros = Micros::from_secs(24 * 3_600);

const ACCOUNT_FIELDS: [&str; 3] = ["key-sha256", "queue", "body"];
const SERVICE_FIELDS: [&str; 6] = [
    "slots",
    "repeatable",
    "fenced",
    "deadline",
    "hedge",
    "retry",
];

/// Parses the fields of an `account` rule.
pub(super) fn parse_account<'a>(
    name: Token<'a>,
    tokens: impl Iterator<Item = Token<'a>>,
    errors: &mut LineErrors,
) -> Option<Account> {
    let mut account = Account {
        name: name.text.to_owned(),
        keys: Vec::new(),
        queue_limit: DEFAULT_QUEUE,
        body_limit: DEFAULT_BODY_BYTES,
        live: true,
    };
    let mut end = name.end();
    let mut fields = FieldParser::new(&ACCOUNT_FIELDS);
    for token in tokens {
        end = token.end();
        let Some(field) = fields.parse(token, errors) else {
            continue;
        };
        match field.name {
            "key-sha256" => field.set(&mut account.keys, parse_keys, errors),
            "queue" => field.set(&mut account.queue_limit, parse_queue, errors),
            _ => field.set(&mut account.body_limit, parse_body, errors),
        }
    }
    if !fields.contains("key-sha256") {
        errors.push(end, ErrorKind::MissingField("key-sha256"));
    }
    Some(account)
}

/// Parses the fields of a `service` rule.
pub(super) fn parse_service<'a>(
    name: Token<'a>,
    tokens: impl Iterator<Item = Token<'a>>,
    errors: &mut LineErrors,
) -> Option<Service> {
    let mut service = Service {
        name: name.text.to_owned(),
        slots: DEFAULT_SLOTS,
        repeatable: false,
        fenced: false,
        deadline: DEFAULT_DEADLINE,
        hedge_percent: DEFAULT_HEDGE_PERCENT,
        retry_percent: DEFAULT_RETRY_PERCENT,
        live: true,
    };
    let mut fields = FieldParser::new(&SERVICE_FIELDS);
    for token in tokens {
        let Some(field) = fields.parse(token, errors) else {
            continue;
        };
        match field.name {
            "slots" => field.set(&mut service.slots, parse_slots, errors),
            "repeatable" => field.set(&mut service.repeatable, parse_yes_no, errors),
            "fenced" => field.set(&mut service.fenced, parse_yes_no, errors),
            "deadline" => field.set(&mut service.deadline, parse_deadline, errors),
            "hedge" => field.set(&mut service.hedge_percent, parse_percent, errors),
            _ => field.set(&mut service.retry_percent, parse_percent, errors),
        }
    }
    Some(service)
}

/// A `field=value` pair of a rule.
struct Field<'a> {
    column: usize,
    name: &'static str,
    value: &'a str,
}

impl Field<'_> {
    fn set<T>(&self, dest: &mut T, parse: fn(&str) -> Result<T, String>, errors: &mut LineErrors) {
        match parse(self.value) {
            Ok(value) => *dest = value,
            Err(expected) => {
                let error = ErrorKind::InvalidValue {
                    field: self.name,
                    found: truncate(self.value),
                    expected,
                };
                errors.push(self.column, error);
            }
        }
    }
}

/// Parses the fields of one rule and rejects unknown and repeated ones.
struct FieldParser {
    known: &'static [&'static str],
    given: Vec<&'static str>,
}

impl FieldParser {
    fn new(known: &'static [&'static str]) -> Self {
        let given = Vec::new();
        FieldParser { known, given }
    }

    fn contains(&self, name: &str) -> bool {
        self.given.contains(&name)
    }

    fn parse<'a>(&mut self, token: Token<'a>, errors: &mut LineErrors) -> Option<Field<'a>> {
        let Some((name, value)) = token.text.split_once('=') else {
            errors.push(token.column, ErrorKind::InvalidField(truncate(token.text)));
            return None;
        };
        let Some(&name) = self.known.iter().find(|&&known| known == name) else {
            let error = ErrorKind::UnknownField {
                found: truncate(name),
                expected: self.known.join(", "),
            };
            errors.push(token.column, error);
            return None;
        };
        if self.contains(name) {
            errors.push(token.column, ErrorKind::RepeatedField(name));
            return None;
        }
        self.given.push(name);
        let column = token.column;
        Some(Field {
            column,
            name,
            value,
        })
    }
}

fn parse_keys(text: &str) -> Result<Vec<KeyDigest>, String> {
    let keys: Option<Vec<KeyDigest>> = text.split(',').map(parse_key).collect();
    keys.filter(|keys| keys.len() <= MAX_KEYS).ok_or(format!(
        "1 to {MAX_KEYS} SHA-256 digests of 64 hexadecimal digits, separated by commas"
    ))
}

fn parse_key(text: &str) -> Option<KeyDigest> {
    let mut digest = [0; 32];
    hex::decode_to_slice(text, &mut digest).ok()?;
    Some(KeyDigest(digest))
}

fn parse_queue(text: &str) -> Result<u32, String> {
    units::parse_number(text)
        .and_then(|number| u32::try_from(number).ok())
        .filter(|number| (1..=MAX_QUEUE).contains(number))
        .ok_or(format!("a whole number from 1 to {MAX_QUEUE}"))
}

fn parse_body(text: &str) -> Result<u64, String> {
    let max = units::Size(MAX_BODY_BYTES);
    units::parse_size(text)
        .filter(|size| (1..=MAX_BODY_BYTES).contains(size))
        .ok_or(format!(
            "a size from 1B to {max} with its unit (B, KiB, MiB, GiB)"
        ))
}

fn parse_slots(text: &str) -> Result<u16, String> {
    units::parse_number(text)
        .and_then(|number| u16::try_from(number).ok())
        .filter(|number| (1..=MAX_SLOTS).contains(number))
        .ok_or(format!("a whole number from 1 to {MAX_SLOTS}"))
}

fn parse_deadline(text: &str) -> Result<Micros, String> {
    let max = units::Span(MAX_DEADLINE);
    units::parse_span(text)
        .filter(|span| (Micros::from_ms(1)..=MAX_DEADLINE).contains(span))
        .ok_or(format!(
            "a time from 1ms to {max} with its unit (ms, s, min)"
        ))
}

fn parse_percent(text: &str) -> Result<u8, String> {
    units::parse_percent(text).ok_or("a percentage from 0% to 100%".to_owned())
}

fn parse_yes_no(text: &str) -> Result<bool, String> {
    units::parse_yes_no(text).ok_or("`yes` or `no`".to_owned())
}
