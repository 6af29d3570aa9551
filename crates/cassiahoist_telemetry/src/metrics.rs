//! Metrics, exposed in the Prometheus text format.

use opentelemetry::KeyValue;
use opentelemetry::metrics::MeterProvider;
use opentelemetry_sdk::metrics::SdkMeterProvider;
use prometheus::{Registry, TextEncoder};
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Arc, Mutex, PoisonError};

/// One value of a counter for each set of labels.
#[derive(Debug, Default)]
pub struct LabelledCounter {
    rows: Mutex<Vec<(Vec<KeyValue>, u64)>>,
}

impl LabelledCounter {
    /// Replaces all values; each has its labels as names and values.
    pub fn set_rows(&self, rows: impl Iterator<Item = (Vec<(&'static str, String)>, u64)>) {
        let label = |(name, value): (&'static str, String)| KeyValue::new(name, value);
        let rows = rows.map(|(labels, value)| (labels.into_iter().map(label).collect(), value));
        *self.rows.lock().unwrap_or_else(PoisonError::into_inner) = rows.collect();
    }
}

/// Registry of counters and gauges.
///
/// Control stores their values after each tick, and scrapes read them from any thread.
#[derive(Clone, Debug)]
pub struct Metrics {
    registry: Registry,
    provider: SdkMeterProvider,
}

impl Metrics {
    /// Creates an empty registry.
    ///
    /// # Errors
    /// Returns the error's text if the Prometheus exporter can't be created.
    pub fn new() -> Result<Self, String> {
        let registry = Registry::new();
        let exporter = opentelemetry_prometheus::exporter()
            .with_registry(registry.clone())
            .build()
            .map_err(|error| error.to_string())?;
        let provider = SdkMeterProvider::builder().with_reader(exporter).build();
        Ok(Self { registry, provider })
    }

    /// Registers a counter with a help text.
    ///
    /// Each scrape reads the value from the returned cell.
    #[must_use]
    pub fn register_counter(&self, name: String, help: &'static str) -> Arc<AtomicU64> {
        let cell = Arc::new(AtomicU64::new(0));
        let read = Arc::clone(&cell);
        let meter = self.provider.meter("cassiahoist");
        let _registered = meter
            .u64_observable_counter(name)
            .with_description(help)
            .with_callback(move |observer| observer.observe(read.load(Ordering::Relaxed), &[]))
            .build();
        cell
    }

    /// Registers a counter whose values differ by labels, with a help text.
    ///
    /// Each scrape reads the values from the returned rows. The caller bounds the number of sets of labels.
    #[must_use]
    pub fn register_labelled_counter(&self, name: String, help: &'static str) -> Arc<LabelledCounter> {
        let counter = Arc::new(LabelledCounter::default());
        let read = Arc::clone(&counter);
        let meter = self.provider.meter("cassiahoist");
        let _registered = meter
            .u64_observable_counter(name)
            .with_description(help)
            .with_callback(move |observer| {
                for (labels, value) in read.rows.lock().unwrap_or_else(PoisonError::into_inner).iter() {
                    observer.observe(*value, labels);
                }
            })
            .build();
        counter
    }

    /// Registers a gauge with a help text.
    ///
    /// Each scrape reads the value from the returned cell.
    #[must_use]
    pub fn register_gauge(&self, name: &'static str, help: &'static str) -> Arc<AtomicU64> {
        let cell = Arc::new(AtomicU64::new(0));
        let read = Arc::clone(&cell);
        let meter = self.provider.meter("cassiahoist");
        let _registered = meter
            .u64_observable_gauge(name)
            .with_description(help)
            .with_callback(move |observer| observer.observe(read.load(Ordering::Relaxed), &[]))
            .build();
        cell
    }

    /// Returns all metrics in the Prometheus text format; empty if they can't be encoded.
    #[must_use]
    pub fn render_text(&self) -> String {
        TextEncoder::new().encode_to_string(&self.registry.gather()).unwrap_or_default()
    }
}
