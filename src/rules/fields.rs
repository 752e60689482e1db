//! The fields of each kind of rule, their limits and defaults.

use super::error::ErrorKind;
use super::parse::{Faults, Word, shorten};
use super::table::{Account, KeyDigest, Service};
use super::units;
use crate::units::Micros;

/// Most waiting requests of an account at one entry, when its rule doesn't say.
pub const DEFAULT_QUEUE: u32 = 200;
/// Largest request body of an account in bytes, when its rule doesn't say.
pub const DEFAULT_BODY_BYTES: u64 = 1024 * 1024;
/// Requests that a target runs at a time, when the service's rule doesn't say.
pub const DEFAULT_SLOTS: u16 = 1;
/// Deadline of a service's requests, when its rule doesn't say.
pub const DEFAULT_DEADLINE: Micros = Micros::from_secs(60);
/// Second copies in percent of first copies, when the service's rule doesn't say.
pub const DEFAULT_HEDGE_PERCENT: u8 = 5;
/// Repeats in percent of first tries, when the service's rule doesn't say.
pub const DEFAULT_RETRY_PERCENT: u8 = 10;

/// Most keys of one account.
pub const MAX_KEYS: usize = 8;
/// Largest `queue`, in requests.
pub const MAX_QUEUE: u32 = 100_000;
/// Largest `body`, in bytes.
pub use crate::wire::MAX_BODY_BYTES;
/// Most `slots` of one target.
pub const MAX_SLOTS: u16 = 4_096;
/// Longest `deadline`.
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

/// Reads the fields of an `account` rule.
pub(super) fn account<'a>(
    name: Word<'a>,
    words: impl Iterator<Item = Word<'a>>,
    faults: &mut Faults,
) -> Option<Account> {
    let mut account = Account {
        name: name.text.to_owned(),
        keys: Vec::new(),
        queue_limit: DEFAULT_QUEUE,
        body_limit: DEFAULT_BODY_BYTES,
        live: true,
    };
    let mut end = name.end();
    let mut seen = Seen::new(&ACCOUNT_FIELDS);
    for word in words {
        end = word.end();
        let Some(field) = seen.field(word, faults) else {
            continue;
        };
        match field.name {
            "key-sha256" => field.set(&mut account.keys, read_keys, faults),
            "queue" => field.set(&mut account.queue_limit, read_queue, faults),
            _ => field.set(&mut account.body_limit, read_body, faults),
        }
    }
    if !seen.has("key-sha256") {
        faults.push(end, ErrorKind::MissingField("key-sha256"));
    }
    Some(account)
}

/// Reads the fields of a `service` rule.
pub(super) fn service<'a>(
    name: Word<'a>,
    words: impl Iterator<Item = Word<'a>>,
    faults: &mut Faults,
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
    let mut seen = Seen::new(&SERVICE_FIELDS);
    for word in words {
        let Some(field) = seen.field(word, faults) else {
            continue;
        };
        match field.name {
            "slots" => field.set(&mut service.slots, read_slots, faults),
            "repeatable" => field.set(&mut service.repeatable, read_yes_no, faults),
            "fenced" => field.set(&mut service.fenced, read_yes_no, faults),
            "deadline" => field.set(&mut service.deadline, read_deadline, faults),
            "hedge" => field.set(&mut service.hedge_percent, read_percent, faults),
            _ => field.set(&mut service.retry_percent, read_percent, faults),
        }
    }
    Some(service)
}

/// One `field=value` of a rule.
struct Field<'a> {
    column: usize,
    name: &'static str,
    value: &'a str,
}

impl Field<'_> {
    fn set<T>(&self, slot: &mut T, read: fn(&str) -> Result<T, String>, faults: &mut Faults) {
        match read(self.value) {
            Ok(value) => *slot = value,
            Err(expected) => {
                let fault = ErrorKind::BadValue {
                    field: self.name,
                    found: shorten(self.value),
                    expected,
                };
                faults.push(self.column, fault);
            }
        }
    }
}

/// Which fields of a rule were given.
struct Seen {
    known: &'static [&'static str],
    given: Vec<&'static str>,
}

impl Seen {
    fn new(known: &'static [&'static str]) -> Self {
        let given = Vec::new();
        Seen { known, given }
    }

    fn has(&self, name: &str) -> bool {
        self.given.contains(&name)
    }

    fn field<'a>(&mut self, word: Word<'a>, faults: &mut Faults) -> Option<Field<'a>> {
        let Some((name, value)) = word.text.split_once('=') else {
            faults.push(word.column, ErrorKind::NotAField(shorten(word.text)));
            return None;
        };
        let Some(&name) = self.known.iter().find(|&&known| known == name) else {
            let fault = ErrorKind::UnknownField {
                found: shorten(name),
                expected: self.known.join(", "),
            };
            faults.push(word.column, fault);
            return None;
        };
        if self.has(name) {
            faults.push(word.column, ErrorKind::RepeatedField(name));
            return None;
        }
        self.given.push(name);
        let column = word.column;
        Some(Field {
            column,
            name,
            value,
        })
    }
}

fn read_keys(text: &str) -> Result<Vec<KeyDigest>, String> {
    let keys: Option<Vec<KeyDigest>> = text.split(',').map(read_key).collect();
    keys.filter(|keys| keys.len() <= MAX_KEYS).ok_or(format!(
        "1 to {MAX_KEYS} SHA-256 digests of 64 hexadecimal digits, separated by commas"
    ))
}

fn read_key(text: &str) -> Option<KeyDigest> {
    let mut digest = [0; 32];
    hex::decode_to_slice(text, &mut digest).ok()?;
    Some(KeyDigest(digest))
}

fn read_queue(text: &str) -> Result<u32, String> {
    units::read_number(text)
        .and_then(|number| u32::try_from(number).ok())
        .filter(|number| (1..=MAX_QUEUE).contains(number))
        .ok_or(format!("a whole number from 1 to {MAX_QUEUE}"))
}

fn read_body(text: &str) -> Result<u64, String> {
    let most = units::Size(MAX_BODY_BYTES);
    units::read_size(text)
        .filter(|size| (1..=MAX_BODY_BYTES).contains(size))
        .ok_or(format!(
            "a size from 1B to {most} with its unit (B, KiB, MiB, GiB)"
        ))
}

fn read_slots(text: &str) -> Result<u16, String> {
    units::read_number(text)
        .and_then(|number| u16::try_from(number).ok())
        .filter(|number| (1..=MAX_SLOTS).contains(number))
        .ok_or(format!("a whole number from 1 to {MAX_SLOTS}"))
}

fn read_deadline(text: &str) -> Result<Micros, String> {
    let most = units::Span(MAX_DEADLINE);
    units::read_span(text)
        .filter(|span| (Micros::from_ms(1)..=MAX_DEADLINE).contains(span))
        .ok_or(format!(
            "a time from 1ms to {most} with its unit (ms, s, min)"
        ))
}

fn read_percent(text: &str) -> Result<u8, String> {
    units::read_percent(text).ok_or("a percentage from 0% to 100%".to_owned())
}

fn read_yes_no(text: &str) -> Result<bool, String> {
    units::read_yes_no(text).ok_or("`yes` or `no`".to_owned())
}
