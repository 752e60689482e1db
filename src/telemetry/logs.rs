//! Logging to standard output or standard error, as text or as JSON.
//!
//! Log lines report state changes; per-request events are metrics instead. Log lines never contain
//! API keys, request bodies or request headers.

use std::fmt::Write;
use std::panic::PanicHookInfo;
use std::time::UNIX_EPOCH;

use anyhow::Context;
use serde::Serialize;
use serde_json::{Map, Value};
use spdlog::formatter::{Formatter, FormatterContext, FullFormatter};
use spdlog::sink::{StdStream, StdStreamSink};
use spdlog::terminal_style::StyleMode;
use spdlog::{Level, LevelFilter, Logger, Record, StringBuf};

use crate::settings::LogFormat;

/// Formats each record as a JSON object on a line of its own.
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
        let since_epoch = record.time().duration_since(UNIX_EPOCH);
        let line = Line {
            time_ms: since_epoch.map_or(0, |since_epoch| since_epoch.as_millis()),
            level: record.level().as_str(),
            process: record.logger_name(),
            message: record.payload(),
            fields,
        };
        let text = serde_json::to_string(&line).expect("log line serializes to JSON");
        writeln!(dest, "{text}").map_err(spdlog::Error::FormatRecord)
    }
}

/// Standard stream that log lines are written to.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Stream {
    /// Standard output.
    Stdout,
    /// Standard error.
    Stderr,
}

/// Installs a default logger that writes to `stream` in the given format, and logs panics with it.
/// `process` names the process in each line.
///
/// # Errors
/// Returns an error if the logger cannot be built.
pub fn init(format: LogFormat, process: &'static str, stream: Stream) -> anyhow::Result<()> {
    let stream = match stream {
        Stream::Stdout => StdStream::Stdout,
        Stream::Stderr => StdStream::Stderr,
    };
    let builder = StdStreamSink::builder()
        .std_stream(stream)
        .style_mode(StyleMode::Never);
    let builder = match format {
        LogFormat::Text => builder.formatter(text_formatter()),
        LogFormat::Json => builder.formatter(JsonLines),
    };
    let sink = builder
        .build_arc()
        .context("could not open the log stream")?;
    let logger = Logger::builder()
        .name(process)
        .level_filter(LevelFilter::MoreSevereEqual(Level::Info))
        .sink(sink)
        .build_arc()
        .context("could not build the logger")?;
    spdlog::set_default_logger(logger);
    std::panic::set_hook(Box::new(log_panic));
    Ok(())
}

/// Logs where and why code panicked. The runtime catches panics of tasks, so that nothing else tells
/// of them.
fn log_panic(panic: &PanicHookInfo<'_>) {
    let place = panic.location().map(ToString::to_string);
    spdlog::error!("panicked", kv: {
        place: = place.unwrap_or_default(),
        reason: = panic.payload_as_str().unwrap_or("unknown"),
    });
}

fn text_formatter() -> FullFormatter {
    FullFormatter::builder().source_location(false).build()
}
