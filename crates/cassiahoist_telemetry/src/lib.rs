//! Numbered log events and metrics.

mod log;
mod metrics;

pub use log::{LogWriter, LogWriterForm};
pub use metrics::Metrics;
