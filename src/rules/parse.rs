//! Reads a rules file. Every fault is reported, not only the first.

use std::collections::HashMap;

use super::error::{ErrorKind, RuleError};
use super::fields;
use super::model::{Rule, Rules, Subject};
use super::table::KeyDigest;

/// Largest rules file, in bytes.
pub const MAX_FILE_BYTES: usize = 2 * 1024 * 1024;
/// Longest line, in bytes.
pub const MAX_LINE_BYTES: usize = 1_024;
/// Most rules in a file.
pub const MAX_RULES: usize = 8_192;
/// Longest name of an account or service, in bytes.
pub const MAX_NAME_BYTES: usize = 64;

const DIGEST_SHOWN: usize = 8;

/// Reads the text of a rules file.
///
/// # Errors
/// One error a fault, in line and column order; each names its line and column and what was expected.
pub fn parse(text: &str) -> Result<Rules, Vec<RuleError>> {
    if text.len() > MAX_FILE_BYTES {
        let kind = ErrorKind::FileTooLarge(text.len());
        return Err(vec![RuleError {
            line: 1,
            column: 1,
            kind,
        }]);
    }
    let mut parser = Parser::default();
    for (index, line) in text.lines().enumerate() {
        parser.line(index + 1, line);
    }
    parser.finish()
}

/// A word of a line and where it begins.
#[derive(Clone, Copy, Debug)]
pub(super) struct Word<'a> {
    /// Column of its first character, from 1.
    pub column: usize,
    /// The word.
    pub text: &'a str,
}

impl Word<'_> {
    /// Column after its last character.
    pub(super) fn end(&self) -> usize {
        self.column + self.text.chars().count()
    }
}

/// Faults of one line, with their columns.
#[derive(Debug, Default)]
pub(super) struct Faults(Vec<(usize, ErrorKind)>);

impl Faults {
    pub(super) fn push(&mut self, column: usize, fault: ErrorKind) {
        self.0.push((column, fault));
    }
}

#[derive(Default)]
struct Parser {
    rules: Vec<Rule>,
    errors: Vec<RuleError>,
    names: HashMap<(&'static str, String), usize>,
    keys: HashMap<KeyDigest, usize>,
    count: usize,
}

impl Parser {
    fn line(&mut self, number: usize, line: &str) {
        let mut faults = Faults::default();
        let rule = self.rule(number, line, &mut faults);
        let clean = faults.0.is_empty();
        faults.0.sort_by_key(|&(column, _)| column);
        let placed = faults.0.into_iter().map(|(column, kind)| RuleError {
            line: number,
            column,
            kind,
        });
        self.errors.extend(placed);
        self.rules.extend(rule.filter(|_| clean));
    }

    fn rule(&mut self, number: usize, line: &str, faults: &mut Faults) -> Option<Rule> {
        if line.len() > MAX_LINE_BYTES {
            faults.push(1, ErrorKind::LineTooLong(line.len()));
            return None;
        }
        if let Some((at, found)) = control(line) {
            faults.push(at, ErrorKind::ControlCharacter(found));
            return None;
        }
        let (body, comment) = split_comment(line);
        let mut words = words(body).peekable();
        words.peek()?;
        self.count += 1;
        if self.count > MAX_RULES {
            if self.count == MAX_RULES + 1 {
                faults.push(1, ErrorKind::TooManyRules);
            }
            return None;
        }
        if comment.is_none() {
            faults.push(line.chars().count() + 1, ErrorKind::NoComment);
        }
        let subject = subject(words, faults)?;
        self.claim_name(number, &subject, faults);
        self.claim_keys(number, &subject, faults);
        comment.map(|comment| Rule { subject, comment })
    }

    fn claim_name(&mut self, number: usize, subject: &Subject, faults: &mut Faults) {
        let kind = subject.kind();
        let name = subject.name().to_owned();
        let first = *self.names.entry((kind, name.clone())).or_insert(number);
        if first != number {
            faults.push(1, ErrorKind::DuplicateName { kind, name, first });
        }
    }

    fn claim_keys(&mut self, number: usize, subject: &Subject, faults: &mut Faults) {
        let Subject::Account(account) = subject else {
            return;
        };
        for &key in &account.keys {
            let Some(first) = self.keys.insert(key, number) else {
                continue;
            };
            let mut digest = hex::encode(key.0);
            digest.truncate(DIGEST_SHOWN);
            faults.push(1, ErrorKind::SharedKey { digest, first });
        }
    }

    fn finish(self) -> Result<Rules, Vec<RuleError>> {
        if self.errors.is_empty() {
            Ok(Rules { rules: self.rules })
        } else {
            Err(self.errors)
        }
    }
}

fn subject<'a>(mut words: impl Iterator<Item = Word<'a>>, faults: &mut Faults) -> Option<Subject> {
    let kind = words.next()?;
    let name = words.next().unwrap_or(Word {
        column: kind.end(),
        text: "",
    });
    let known = matches!(kind.text, "account" | "service");
    if !known {
        faults.push(kind.column, ErrorKind::UnknownKind(shorten(kind.text)));
        return None;
    }
    if !is_name(name.text) {
        faults.push(name.column, ErrorKind::BadName(shorten(name.text)));
    }
    match kind.text {
        "account" => fields::account(name, words, faults).map(Subject::Account),
        _ => fields::service(name, words, faults).map(Subject::Service),
    }
}

fn is_name(text: &str) -> bool {
    let inner = |b: u8| b.is_ascii_alphanumeric() || matches!(b, b'-' | b'_' | b'.');
    text.len() <= MAX_NAME_BYTES
        && text.bytes().all(inner)
        && text.starts_with(|c: char| c.is_ascii_alphanumeric())
}

/// The rule and the trimmed comment; a comment without a letter or digit names nobody.
fn split_comment(line: &str) -> (&str, Option<String>) {
    let Some((body, comment)) = line.split_once('#') else {
        return (line, None);
    };
    let comment = comment.trim();
    let names = comment.contains(char::is_alphanumeric);
    (body, names.then(|| comment.to_owned()))
}

fn control(line: &str) -> Option<(usize, char)> {
    line.chars()
        .enumerate()
        .find(|&(_, c)| c.is_control() && c != '\t')
        .map(|(index, c)| (index + 1, c))
}

fn words(body: &str) -> impl Iterator<Item = Word<'_>> {
    let mut column = 1;
    body.split([' ', '\t']).filter_map(move |text| {
        let start = column;
        column += text.chars().count() + 1;
        (!text.is_empty()).then_some(Word {
            column: start,
            text,
        })
    })
}

const SHOWN_CHARS: usize = 40;

/// The text, cut short for a message.
pub(super) fn shorten(text: &str) -> String {
    if text.chars().count() <= SHOWN_CHARS {
        return text.to_owned();
    }
    let start: String = text.chars().take(SHOWN_CHARS).collect();
    start + ".."
}
