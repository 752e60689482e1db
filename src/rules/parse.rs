//! Parser of rules files. Reports every error, not only the first.

use std::collections::HashMap;

use super::error::{ErrorKind, RuleError};
use super::fields;
use super::model::{Definition, Rule, Rules};
use super::table::KeyDigest;

/// Maximum size of a rules file, in bytes.
pub const MAX_FILE_BYTES: usize = 2 * 1024 * 1024;
/// Maximum length of a line, in bytes.
pub const MAX_LINE_BYTES: usize = 1_024;
/// Maximum number of rules in a file.
pub const MAX_RULES: usize = 8_192;
/// Maximum length of the name of an account or service, in bytes.
pub const MAX_NAME_BYTES: usize = 64;

const DIGEST_PREFIX_LEN: usize = 8;

/// Parses the text of a rules file.
///
/// # Errors
/// Returns all errors of the file, ordered by line and column, if there are any. Each states its
/// position and what was expected.
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
        parser.parse_line(index + 1, line);
    }
    parser.finish()
}

/// A word of a line and its position.
#[derive(Clone, Copy, Debug)]
pub(super) struct Token<'a> {
    /// Column of the word's first character, from 1.
    pub column: usize,
    /// The word.
    pub text: &'a str,
}

impl Token<'_> {
    /// The column after the word's last character.
    pub(super) fn end(&self) -> usize {
        self.column + self.text.chars().count()
    }
}

/// Errors of one line, with their columns.
#[derive(Debug, Default)]
pub(super) struct LineErrors(Vec<(usize, ErrorKind)>);

impl LineErrors {
    pub(super) fn push(&mut self, column: usize, kind: ErrorKind) {
        self.0.push((column, kind));
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
    fn parse_line(&mut self, number: usize, line: &str) {
        let mut errors = LineErrors::default();
        let rule = self.parse_rule(number, line, &mut errors);
        let clean = errors.0.is_empty();
        errors.0.sort_by_key(|&(column, _)| column);
        let located = errors.0.into_iter().map(|(column, kind)| RuleError {
            line: number,
            column,
            kind,
        });
        self.errors.extend(located);
        self.rules.extend(rule.filter(|_| clean));
    }

    fn parse_rule(&mut self, number: usize, line: &str, errors: &mut LineErrors) -> Option<Rule> {
        if line.len() > MAX_LINE_BYTES {
            errors.push(1, ErrorKind::LineTooLong(line.len()));
            return None;
        }
        if let Some((at, found)) = find_control(line) {
            errors.push(at, ErrorKind::ControlCharacter(found));
            return None;
        }
        let (body, comment) = split_comment(line);
        let mut tokens = tokenize(body).peekable();
        tokens.peek()?;
        self.count += 1;
        if self.count > MAX_RULES {
            if self.count == MAX_RULES + 1 {
                errors.push(1, ErrorKind::TooManyRules);
            }
            return None;
        }
        if comment.is_none() {
            errors.push(line.chars().count() + 1, ErrorKind::MissingComment);
        }
        let definition = parse_definition(tokens, errors)?;
        self.check_duplicate_name(number, &definition, errors);
        self.check_duplicate_keys(number, &definition, errors);
        comment.map(|comment| Rule {
            definition,
            comment,
        })
    }

    fn check_duplicate_name(
        &mut self,
        number: usize,
        definition: &Definition,
        errors: &mut LineErrors,
    ) {
        let kind = definition.kind();
        let name = definition.name().to_owned();
        let first = *self.names.entry((kind, name.clone())).or_insert(number);
        if first != number {
            errors.push(1, ErrorKind::DuplicateName { kind, name, first });
        }
    }

    fn check_duplicate_keys(
        &mut self,
        number: usize,
        definition: &Definition,
        errors: &mut LineErrors,
    ) {
        let Definition::Account(account) = definition else {
            return;
        };
        for &key in &account.keys {
            let Some(first) = self.keys.insert(key, number) else {
                continue;
            };
            let mut digest = hex::encode(key.0);
            digest.truncate(DIGEST_PREFIX_LEN);
            errors.push(1, ErrorKind::DuplicateKey { digest, first });
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

fn parse_definition<'a>(
    mut tokens: impl Iterator<Item = Token<'a>>,
    errors: &mut LineErrors,
) -> Option<Definition> {
    let kind = tokens.next()?;
    let name = tokens.next().unwrap_or(Token {
        column: kind.end(),
        text: "",
    });
    let known = matches!(kind.text, "account" | "service");
    if !known {
        errors.push(kind.column, ErrorKind::UnknownKind(truncate(kind.text)));
        return None;
    }
    if !is_name(name.text) {
        errors.push(name.column, ErrorKind::InvalidName(truncate(name.text)));
    }
    match kind.text {
        "account" => fields::parse_account(name, tokens, errors).map(Definition::Account),
        _ => fields::parse_service(name, tokens, errors).map(Definition::Service),
    }
}

fn is_name(text: &str) -> bool {
    let inner = |b: u8| b.is_ascii_alphanumeric() || matches!(b, b'-' | b'_' | b'.');
    text.len() <= MAX_NAME_BYTES
        && text.bytes().all(inner)
        && text.starts_with(|c: char| c.is_ascii_alphanumeric())
}

/// Splits a line into the rule and the trimmed comment. A comment without a letter or digit does
/// not say who asked for the rule and counts as missing.
fn split_comment(line: &str) -> (&str, Option<String>) {
    let Some((body, comment)) = line.split_once('#') else {
        return (line, None);
    };
    let comment = comment.trim();
    let names = comment.contains(char::is_alphanumeric);
    (body, names.then(|| comment.to_owned()))
}

fn find_control(line: &str) -> Option<(usize, char)> {
    line.chars()
        .enumerate()
        .find(|&(_, c)| c.is_control() && c != '\t')
        .map(|(index, c)| (index + 1, c))
}

fn tokenize(body: &str) -> impl Iterator<Item = Token<'_>> {
    let mut column = 1;
    body.split([' ', '\t']).filter_map(move |text| {
        let start = column;
        column += text.chars().count() + 1;
        (!text.is_empty()).then_some(Token {
            column: start,
            text,
        })
    })
}

const MAX_SHOWN_CHARS: usize = 40;

/// Truncates a text to [`MAX_SHOWN_CHARS`] characters, for an error message.
pub(super) fn truncate(text: &str) -> String {
    if text.chars().count() <= MAX_SHOWN_CHARS {
        return text.to_owned();
    }
    let start: String = text.chars().take(MAX_SHOWN_CHARS).collect();
    start + ".."
}
