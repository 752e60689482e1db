//! Formats JSON as text tables. Fields may be missing, or unknown to this version of the program.

use std::fmt;

use anyhow::anyhow;
use serde_json::{Map, Value};

use super::Failure;
use super::admin::Reply;

/// A text table, with a row of column titles if [`Table::new`] created it.
#[derive(Debug, Default)]
pub struct Table {
    rows: Vec<Vec<String>>,
}

impl Table {
    /// Creates a table with these column titles.
    pub fn new<T: Into<String>>(titles: impl IntoIterator<Item = T>) -> Self {
        let titles = titles.into_iter().map(T::into).collect();
        Table { rows: vec![titles] }
    }

    /// Adds a row.
    pub fn row(&mut self, cells: impl IntoIterator<Item = String>) {
        self.rows.push(cells.into_iter().collect());
    }
}

impl fmt::Display for Table {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let columns = self.rows.iter().map(Vec::len).max().unwrap_or(0);
        let width = |column: usize| {
            let cells = self.rows.iter().filter_map(|row| row.get(column));
            cells.map(|cell| cell.chars().count()).max().unwrap_or(0)
        };
        let widths: Vec<usize> = (0..columns).map(width).collect();
        for row in &self.rows {
            let mut line = String::new();
            for (cell, width) in row.iter().zip(&widths) {
                line += &format!("{cell:width$}  ");
            }
            writeln!(f, "{}", line.trim_end())?;
        }
        Ok(())
    }
}

/// Formats the replies of all entries. If some failed, prints the others and returns an error that
/// lists the failed ones.
pub fn render(replies: Vec<Reply>) -> Result<String, Failure> {
    render_with(replies, |value| value_to_text(value, ""))
}

/// Same as [`render`], with a function that formats each reply.
pub fn render_with(
    replies: Vec<Reply>,
    format: impl Fn(&Value) -> String,
) -> Result<String, Failure> {
    let mut text = String::new();
    let mut errors = Vec::new();
    for reply in replies {
        match reply.result {
            Ok(value) => text += &format!("{}\n{}", reply.addr, format(&value)),
            Err(error) => errors.push(format!("could not query {}: {error}", reply.addr)),
        }
    }
    if errors.is_empty() {
        return Ok(text);
    }
    super::print(&text)?;
    Err(Failure::Failed(anyhow!(errors.join("\n"))))
}

/// Creates a table with a row per JSON object and a column per name, in the given order.
/// A missing field is shown as `-`.
pub fn columns(items: &[Value], names: &[&str]) -> Table {
    let mut table = Table::new(names.iter().copied());
    for object in items.iter().filter_map(Value::as_object) {
        table.row(
            names
                .iter()
                .map(|&n| object.get(n).map_or("-".to_owned(), cell)),
        );
    }
    table
}

/// Formats a JSON value: arrays of objects as tables, objects as lines of name and value.
/// `title` is the name that precedes the names of the fields, empty at the top level.
pub fn value_to_text(value: &Value, title: &str) -> String {
    match value {
        Value::Object(fields) => object_to_text(fields, title),
        Value::Array(items) if items.iter().any(Value::is_object) => {
            let heading = if title.is_empty() {
                String::new()
            } else {
                format!("  {title}:\n")
            };
            heading + &indent(&objects_table(items).to_string())
        }
        value => indent(&format!("{title}  {}\n", cell(value))),
    }
}

fn object_to_text(fields: &Map<String, Value>, title: &str) -> String {
    let mut scalars = Table::default();
    let mut rest = String::new();
    for (name, value) in fields {
        let name = if title.is_empty() {
            escape_control(name)
        } else {
            format!("{title}.{}", escape_control(name))
        };
        match value {
            Value::Object(_) => rest += &value_to_text(value, &name),
            Value::Array(items) if items.iter().any(Value::is_object) => {
                rest += &value_to_text(value, &name);
            }
            value => scalars.row([name, cell(value)]),
        }
    }
    indent(&scalars.to_string()) + &rest
}

fn objects_table(items: &[Value]) -> Table {
    let objects = || items.iter().filter_map(Value::as_object);
    let mut names: Vec<&String> = Vec::new();
    for name in objects().flat_map(Map::keys) {
        if !names.contains(&name) {
            names.push(name);
        }
    }
    let names: Vec<String> = names.into_iter().map(|name| escape_control(name)).collect();
    let names: Vec<&str> = names.iter().map(String::as_str).collect();
    columns(items, &names)
}

fn cell(value: &Value) -> String {
    match value {
        Value::Null => "-".to_owned(),
        Value::String(text) => escape_control(text),
        Value::Array(items) => items.iter().map(cell).collect::<Vec<_>>().join(", "),
        value => escape_control(&value.to_string()),
    }
}

/// Escapes control characters, so that the text cannot control the terminal.
fn escape_control(text: &str) -> String {
    let escape = |c: char| {
        let escaped = c.is_control().then(|| c.escape_default().to_string());
        escaped.unwrap_or_else(|| c.to_string())
    };
    text.chars().map(escape).collect()
}

/// Indents each line by two spaces.
pub fn indent(text: &str) -> String {
    text.lines().map(|line| format!("  {line}\n")).collect()
}
