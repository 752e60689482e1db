//! Query strings of requests to the stand-ins.

use smallvec::SmallVec;

/// Maximum number of parameters that are read from a query string.
const MAX_PARAMS: usize = 16;

/// Decoded parameter.
#[derive(Clone, Debug)]
struct Param {
    name: String,
    value: String,
}

/// Error for a parameter, given by name, whose value is not a number.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
#[error("{0} must be a number")]
pub struct InvalidNumber(pub &'static str);

/// Decoded parameters of a request.
#[derive(Clone, Debug, Default)]
pub struct Query {
    params: SmallVec<[Param; 4]>,
}

impl Query {
    /// Parses a query string. Parameters beyond `MAX_PARAMS` are ignored.
    pub fn parse(text: &str) -> Self {
        let params = text
            .split('&')
            .filter(|part| !part.is_empty())
            .take(MAX_PARAMS)
            .map(|part| {
                let (name, value) = part.split_once('=').unwrap_or((part, ""));
                Param {
                    name: percent_decode(name),
                    value: percent_decode(value),
                }
            })
            .collect();
        Query { params }
    }

    /// Returns the value of a parameter.
    pub fn get(&self, name: &str) -> Option<&str> {
        self.params
            .iter()
            .find(|param| param.name == name)
            .map(|param| param.value.as_str())
    }

    /// Returns the value of a parameter as a number.
    ///
    /// # Errors
    /// Returns an error if the value is not a number.
    pub fn number(&self, name: &'static str) -> Result<Option<u64>, InvalidNumber> {
        match self.get(name) {
            None => Ok(None),
            Some(text) => text.parse().map(Some).map_err(|_| InvalidNumber(name)),
        }
    }
}

fn percent_decode(text: &str) -> String {
    let mut out = Vec::with_capacity(text.len());
    let mut rest = text.as_bytes();
    while let Some((&byte, tail)) = rest.split_first() {
        rest = tail;
        match byte {
            b'+' => out.push(b' '),
            b'%' => match parse_escape(tail) {
                Some(value) => {
                    out.push(value);
                    rest = &tail[2..];
                }
                None => out.push(byte),
            },
            _ => out.push(byte),
        }
    }
    String::from_utf8_lossy(&out).into_owned()
}

fn parse_escape(tail: &[u8]) -> Option<u8> {
    let digits = std::str::from_utf8(tail.get(..2)?).ok()?;
    u8::from_str_radix(digits, 16).ok()
}
