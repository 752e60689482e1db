//! What is wrong with a rules file: one error a fault, each with its place.

use super::parse::{MAX_FILE_BYTES, MAX_LINE_BYTES, MAX_NAME_BYTES, MAX_RULES};

/// A fault in a rules file and where it is.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
#[error("line {line}, column {column}: {kind}")]
pub struct RuleError {
    /// Line number, from 1.
    pub line: usize,
    /// Column in characters, from 1.
    pub column: usize,
    /// What is wrong and what was expected.
    pub kind: ErrorKind,
}

/// What is wrong with a rule.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum ErrorKind {
    /// The file is too large.
    #[error("the file is {0} bytes long, expected at most {MAX_FILE_BYTES}")]
    FileTooLarge(usize),
    /// The line is too long.
    #[error("the line is {0} bytes long, expected at most {MAX_LINE_BYTES}")]
    LineTooLong(usize),
    /// There are too many rules.
    #[error("expected at most {MAX_RULES} rules")]
    TooManyRules,
    /// The line holds a control character.
    #[error("control character {0:?}, expected printable text")]
    ControlCharacter(char),
    /// The rule has no comment.
    #[error("no comment, expected `# ` and who asked for the rule at the end of the line")]
    NoComment,
    /// The first word names no kind of rule.
    #[error("{0:?} is no kind of rule, expected `account` or `service`")]
    UnknownKind(String),
    /// The name is missing or malformed.
    #[error(
        "{0:?} is not a name, expected a letter or digit, then letters, digits, `-`, `_` or `.`, \
         at most {MAX_NAME_BYTES} in all"
    )]
    BadName(String),
    /// A word is not of the form `field=value`.
    #[error("{0:?} is not a field, expected `field=value`")]
    NotAField(String),
    /// The kind of rule has no such field.
    #[error("unknown field {found:?}, expected one of {expected}")]
    UnknownField {
        /// The field.
        found: String,
        /// The fields that there are.
        expected: String,
    },
    /// The field was given before on the line.
    #[error("field `{0}` is given twice, expected once")]
    RepeatedField(&'static str),
    /// The field must be given.
    #[error("no field `{0}`, expected one")]
    MissingField(&'static str),
    /// The field's value is malformed or outside its limits.
    #[error("field `{field}` is {found:?}, expected {expected}")]
    BadValue {
        /// The field.
        field: &'static str,
        /// Its value, cut short if long.
        found: String,
        /// What its value must look like.
        expected: String,
    },
    /// An earlier line has a rule for the same name.
    #[error("{kind} `{name}` already has a rule on line {first}, expected one rule a name")]
    DuplicateName {
        /// Kind of rule.
        kind: &'static str,
        /// The name.
        name: String,
        /// Line of the earlier rule, from 1.
        first: usize,
    },
    /// The key's digest was given before.
    #[error("key {digest}.. is already on line {first}, expected each key once")]
    SharedKey {
        /// The first digits of the digest.
        digest: String,
        /// Line of the earlier use, from 1.
        first: usize,
    },
}
