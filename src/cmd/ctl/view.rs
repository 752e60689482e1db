//! Readable tables of JSON whose fields may be missing or new.

use std::fmt;

use anyhow::anyhow;
use serde_json::{Map, Value};

use super::Failure;
use super::admin::Reply;

/// Rows of text under a line of titles.
#[derive(Debug, Default)]
pub struct Table {
    rows: Vec<Vec<String>>,
}

impl Table {
    /// A table with these titles.
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

/// The answers of all entries; the failure names those that did not answer, after the rest.
pub fn all(replies: Vec<Reply>) -> Result<String, Failure> {
    all_as(replies, |value| value_text(value, ""))
}

/// As [`all`], each answer as `show` has it.
pub fn all_as(replies: Vec<Reply>, show: impl Fn(&Value) -> String) -> Result<String, Failure> {
    let mut text = String::new();
    let mut silent = Vec::new();
    for reply in replies {
        match reply.answer {
            Ok(value) => text += &format!("{}\n{}", reply.addr, show(&value)),
            Err(cause) => silent.push(format!("could not ask {}: {cause}", reply.addr)),
        }
    }
    if silent.is_empty() {
        return Ok(text);
    }
    super::print(&text)?;
    Err(Failure::Failed(anyhow!(silent.join("\n"))))
}

/// Fields of JSON objects under titles of their own names, in the given order.
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

/// A JSON value as text: lists of objects as tables, objects as lines of name and value.
pub fn value_text(value: &Value, title: &str) -> String {
    match value {
        Value::Object(fields) => object_text(fields, title),
        Value::Array(items) if items.iter().any(Value::is_object) => {
            let heading = if title.is_empty() {
                String::new()
            } else {
                format!("  {title}:\n")
            };
            heading + &indented(&list(items).to_string())
        }
        value => indented(&format!("{title}  {}\n", cell(value))),
    }
}

fn object_text(fields: &Map<String, Value>, title: &str) -> String {
    let mut plain = Table::default();
    let mut rest = String::new();
    for (name, value) in fields {
        let name = if title.is_empty() {
            printable(name)
        } else {
            format!("{title}.{}", printable(name))
        };
        match value {
            Value::Object(_) => rest += &value_text(value, &name),
            Value::Array(items) if items.iter().any(Value::is_object) => {
                rest += &value_text(value, &name);
            }
            value => plain.row([name, cell(value)]),
        }
    }
    indented(&plain.to_string()) + &rest
}

fn list(items: &[Value]) -> Table {
    let objects = || items.iter().filter_map(Value::as_object);
    let mut names: Vec<&String> = Vec::new();
    for name in objects().flat_map(Map::keys) {
        if !names.contains(&name) {
            names.push(name);
        }
    }
    let names: Vec<String> = names.into_iter().map(|name| printable(name)).collect();
    let names: Vec<&str> = names.iter().map(String::as_str).collect();
    columns(items, &names)
}

fn cell(value: &Value) -> String {
    match value {
        Value::Null => "-".to_owned(),
        Value::String(text) => printable(text),
        Value::Array(items) => items.iter().map(cell).collect::<Vec<_>>().join(", "),
        value => printable(&value.to_string()),
    }
}

/// The text with control characters escaped, so that it cannot steer a terminal.
fn printable(text: &str) -> String {
    let escape = |c: char| {
        let escaped = c.is_control().then(|| c.escape_default().to_string());
        escaped.unwrap_or_else(|| c.to_string())
    };
    text.chars().map(escape).collect()
}

/// Text with each line moved in.
pub fn indented(text: &str) -> String {
    text.lines().map(|line| format!("  {line}\n")).collect()
}
