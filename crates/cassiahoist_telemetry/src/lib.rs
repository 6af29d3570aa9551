//! Log events with fixed numbers, and metrics.

mod line_buffer;
mod line_writer;
mod log;
mod metrics;

pub use log::LogWriter;
pub use metrics::Metrics;
