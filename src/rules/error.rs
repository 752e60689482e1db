//! Errors in a rules file, each with its line and column.

use super::parse::{MAX_FILE_BYTES, MAX_LINE_BYTES, MAX_NAME_BYTES, MAX_RULES};

/// An error in a rules file and its position.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
#[error("line {line}, column {column}: {kind}")]
pub struct RuleError {
    /// Line number, from 1.
    pub line: usize,
    /// Column in characters, from 1.
    pub column: usize,
    /// What is wrong and what was expected instead.
    pub kind: ErrorKind,
}

/// Kinds of errors in a rules file.
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
    /// The line contains a control character.
    #[error("control character {0:?}, expected printable text")]
    ControlCharacter(char),
    /// The rule has no comment.
    #[error("no comment, expected `# ` and who asked for the rule at the end of the line")]
    MissingComment,
    /// The first word is not a known kind of rule.
    #[error("unknown rule kind {0:?}, expected `account` or `service`")]
    UnknownKind(String),
    /// The name is missing or malformed.
    #[error(
        "{0:?} is not a name, expected a letter or digit, then letters, digits, `-`, `_` or `.`, \
         at most {MAX_NAME_BYTES} in all"
    )]
    InvalidName(String),
    /// A word does not have the form `field=value`.
    #[error("{0:?} is not a field, expected `field=value`")]
    InvalidField(String),
    /// This kind of rule has no such field.
    #[error("unknown field {found:?}, expected one of {expected}")]
    UnknownField {
        /// Name of the field.
        found: String,
        /// Names of the fields that this kind of rule has.
        expected: String,
    },
    /// The field is given more than once.
    #[error("field `{0}` is given twice, expected once")]
    RepeatedField(&'static str),
    /// A required field is not given.
    #[error("missing required field `{0}`")]
    MissingField(&'static str),
    /// The field's value is malformed or outside its limits.
    #[error("field `{field}` is {found:?}, expected {expected}")]
    InvalidValue {
        /// Name of the field.
        field: &'static str,
        /// Value of the field, truncated if long.
        found: String,
        /// Description of a valid value.
        expected: String,
    },
    /// An earlier line has a rule for the same name.
    #[error("{kind} `{name}` already has a rule on line {first}, expected one rule per name")]
    DuplicateName {
        /// Keyword of the rule: `account` or `service`.
        kind: &'static str,
        /// Name of the account or service.
        name: String,
        /// Line of the earlier rule, from 1.
        first: usize,
    },
    /// The digest of the key is already used in the file.
    #[error("key {digest}.. is already on line {first}, expected each key once")]
    DuplicateKey {
        /// First hexadecimal digits of the digest.
        digest: String,
        /// Line of the earlier use, from 1.
        first: usize,
    },
}
