//! Log events with fixed numbers, and metrics.

mod log;
mod metrics;

pub use log::LogWriter;
pub use metrics::Metrics;
