//! The log: events of `tracing`, which a separate thread writes to standard error.
//!
//! A full or closed standard error must not block the event loop, which would delay answers. Events pass
//! through a bounded buffer; lines that do not fit are dropped and counted.

use std::fmt::{self, Write};
use std::io;
use std::sync::OnceLock;
use tracing::field::{Field, Visit};
use tracing::level_filters::LevelFilter;
use tracing::{Event, Subscriber};
use tracing_appender::non_blocking::{ErrorCounter, NonBlocking, NonBlockingBuilder, WorkerGuard};
use tracing_subscriber::fmt::format::Writer;
use tracing_subscriber::fmt::{FmtContext, FormatEvent, FormatFields};
use tracing_subscriber::registry::LookupSpan;

/// Environment variable with the least severe level that is logged: `error`, `warn`, `info`, `debug`, `trace`
/// or `off`.
pub const LEVEL_VARIABLE: &str = "LB_LOG";
/// Target of an event whose message names its origin; the line is written without a target.
pub const NO_TARGET: &str = "";
/// The level that applies if [`LEVEL_VARIABLE`] is not set or invalid.
const DEFAULT_LEVEL: LevelFilter = LevelFilter::INFO;
/// Maximum number of lines in the buffer; further ones are dropped.
const MAX_BUFFERED_LINES: usize = 4096;

/// Counter of dropped lines; set when the log is started.
static DROPPED_LINES: OnceLock<ErrorCounter> = OnceLock::new();

/// Starts the log at the level with this name. Dropping the guard writes the buffered lines.
pub fn start(level: Option<String>) -> WorkerGuard {
    let (writer, guard) = buffered_writer(io::stderr());
    let _ = DROPPED_LINES.set(writer.error_counter());
    let parsed = level.as_deref().map_or(Ok(DEFAULT_LEVEL), str::parse);
    let max_level = parsed.as_ref().copied().unwrap_or(DEFAULT_LEVEL);
    let subscriber = tracing_subscriber::fmt().with_max_level(max_level).with_writer(writer);
    subscriber.event_format(LineFormat).init();
    if parsed.is_err() {
        let given = level.unwrap_or_default();
        tracing::warn!(target: "log", given, used = %max_level, "invalid log level in {LEVEL_VARIABLE}");
    }
    guard
}

/// Returns the number of lines dropped so far because the buffer was full.
pub fn dropped_lines() -> usize {
    DROPPED_LINES.get().map_or(0, ErrorCounter::dropped_lines)
}

/// Creates a writer that never blocks: it drops lines when its buffer is full.
fn buffered_writer(log: impl io::Write + Send + 'static) -> (NonBlocking, WorkerGuard) {
    NonBlockingBuilder::default()
        .lossy(true)
        .buffered_lines_limit(MAX_BUFFERED_LINES)
        .thread_name("log")
        .finish(log)
}

/// Formats lines as `ingress: target: message, key=value key=value`.
struct LineFormat;

impl<S, N> FormatEvent<S, N> for LineFormat
where
    S: Subscriber + for<'a> LookupSpan<'a>,
    N: for<'a> FormatFields<'a> + 'static,
{
    fn format_event(
        &self,
        _: &FmtContext<'_, S, N>,
        mut writer: Writer<'_>,
        event: &Event<'_>,
    ) -> fmt::Result {
        let mut line = Line::default();
        event.record(&mut line);
        writer.write_str("ingress: ")?;
        let target = event.metadata().target();
        if target != NO_TARGET {
            write!(writer, "{target}: ")?;
        }
        writeln!(writer, "{}{}", line.message, line.fields)
    }
}

/// The message and the formatted fields of a line.
#[derive(Default)]
struct Line {
    message: String,
    /// The fields with their separators, `, key=value key=value`.
    fields: String,
}

impl Visit for Line {
    fn record_str(&mut self, field: &Field, value: &str) {
        self.record(field, format_args!("{value}"));
    }

    fn record_debug(&mut self, field: &Field, value: &dyn fmt::Debug) {
        self.record(field, format_args!("{value:?}"));
    }
}

impl Line {
    /// Adds a field, or sets the message.
    fn record(&mut self, field: &Field, value: fmt::Arguments) {
        let separator = if self.fields.is_empty() { ", " } else { " " };
        // Writing to a `String` cannot fail.
        let _ = match field.name() {
            "message" => write!(self.message, "{value}"),
            name => write!(self.fields, "{separator}{name}={value}"),
        };
    }
}

#[cfg(test)]
mod tests;
