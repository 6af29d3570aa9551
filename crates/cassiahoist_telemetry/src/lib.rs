//! Log events with fixed numbers, and metrics.

mod line_buffer;
mod line_writer;
mod log;
mod metrics;
mod standard_output;

pub use log::LogWriter;
pub use metrics::{LabelledCounter, Metrics};
