//! Metrics, exposed in the Prometheus text format.

use opentelemetry::metrics::MeterProvider;
use opentelemetry_sdk::metrics::SdkMeterProvider;
use prometheus::{Registry, TextEncoder};
use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};

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
