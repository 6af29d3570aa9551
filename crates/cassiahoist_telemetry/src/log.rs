//! The log: one numbered event a line.

use cassiahoist_core::prelude::*;
use slog::{Drain, Logger, o};

/// The form of log lines.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum LogWriterForm {
    /// One JSON object a line.
    Json,
    /// For a person at a terminal.
    Terminal,
}

/// Writes numbered events to standard error.
#[derive(Clone, Debug)]
pub struct LogWriter {
    logger: Logger,
}

impl LogWriter {
    /// Starts the log's own thread; events below the least severity are dropped.
    #[must_use]
    pub fn new(form: LogWriterForm, least: Severity, daemon: &Incarnation) -> Self {
        let level = level_of(least);
        let drain = match form {
            LogWriterForm::Json => {
                let drain = slog_json::Json::default(std::io::stderr()).fuse();
                slog_async::Async::new(drain).build()
            }
            LogWriterForm::Terminal => {
                let decorator = slog_term::TermDecorator::new().stderr().build();
                let drain = slog_term::FullFormat::new(decorator).build().fuse();
                slog_async::Async::new(drain).build()
            }
        };
        let drain = drain.filter_level(level).fuse();
        Self { logger: Logger::root(drain, o!("daemon" => daemon.to_string())) }
    }

    /// Writes an event.
    pub fn write(&self, event: EventId, detail: &str) {
        let (number, name, text) = (event.number(), event.name(), event.text());
        let logger = &self.logger;
        match event.severity() {
            Severity::Debug => {
                slog::debug!(logger, "{}", text; "event" => number, "name" => name, "detail" => detail);
            }
            Severity::Info => {
                slog::info!(logger, "{}", text; "event" => number, "name" => name, "detail" => detail);
            }
            Severity::Warning => {
                slog::warn!(logger, "{}", text; "event" => number, "name" => name, "detail" => detail);
            }
            Severity::Error => {
                slog::error!(logger, "{}", text; "event" => number, "name" => name, "detail" => detail);
            }
        }
    }
}

fn level_of(severity: Severity) -> slog::Level {
    match severity {
        Severity::Debug => slog::Level::Debug,
        Severity::Info => slog::Level::Info,
        Severity::Warning => slog::Level::Warning,
        Severity::Error => slog::Level::Error,
    }
}
