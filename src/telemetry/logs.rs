//! Log lines on a standard stream, as text or as JSON.
//!
//! Lines tell of changes of state; what happens to each request is counted instead. Lines never
//! carry keys, bodies or headers of callers.

use std::fmt::Write;
use std::time::UNIX_EPOCH;

use anyhow::Context;
use serde::Serialize;
use serde_json::{Map, Value};
use spdlog::formatter::{Formatter, FormatterContext, FullFormatter};
use spdlog::sink::{StdStream, StdStreamSink};
use spdlog::terminal_style::StyleMode;
use spdlog::{Level, LevelFilter, Logger, Record, StringBuf};

use crate::settings::LogFormat;

/// Writes each record as one JSON object on a line.
#[derive(Clone, Debug, Default)]
pub struct JsonLines;

#[derive(Serialize)]
struct Line<'a> {
    time_ms: u128,
    level: &'a str,
    process: Option<&'a str>,
    message: &'a str,
    #[serde(skip_serializing_if = "Map::is_empty")]
    fields: Map<String, Value>,
}

impl Formatter for JsonLines {
    fn format(
        &self,
        record: &Record,
        dest: &mut StringBuf,
        _ctx: &mut FormatterContext,
    ) -> spdlog::Result<()> {
        let fields = record
            .key_values()
            .into_iter()
            .map(|(key, value)| (key.as_str().to_owned(), value.to_string().into()))
            .collect();
        let since = record.time().duration_since(UNIX_EPOCH);
        let line = Line {
            time_ms: since.map_or(0, |since| since.as_millis()),
            level: record.level().as_str(),
            process: record.logger_name(),
            message: record.payload(),
            fields,
        };
        let text = serde_json::to_string(&line).expect("a log line encodes as JSON");
        writeln!(dest, "{text}").map_err(spdlog::Error::FormatRecord)
    }
}

/// Where log lines go.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Stream {
    /// Standard output.
    Stdout,
    /// Standard error.
    Stderr,
}

/// Sends the process's log lines to a stream in the given form.
///
/// # Errors
/// When the logger cannot be built.
pub fn init(form: LogFormat, process: &'static str, stream: Stream) -> anyhow::Result<()> {
    let stream = match stream {
        Stream::Stdout => StdStream::Stdout,
        Stream::Stderr => StdStream::Stderr,
    };
    let builder = StdStreamSink::builder()
        .std_stream(stream)
        .style_mode(StyleMode::Never);
    let builder = match form {
        LogFormat::Text => builder.formatter(text()),
        LogFormat::Json => builder.formatter(JsonLines),
    };
    let sink = builder.build_arc().context("could not open the log")?;
    let logger = Logger::builder()
        .name(process)
        .level_filter(LevelFilter::MoreSevereEqual(Level::Info))
        .sink(sink)
        .build_arc()
        .context("could not build the logger")?;
    spdlog::set_default_logger(logger);
    Ok(())
}

fn text() -> FullFormatter {
    FullFormatter::builder().source_location(false).build()
}
