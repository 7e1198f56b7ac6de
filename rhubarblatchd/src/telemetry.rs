//! Metrics and traces by opentelemetry.

use std::time::Duration;

use opentelemetry::global;
use opentelemetry_otlp::{MetricExporter, SpanExporter, WithExportConfig as _};
use opentelemetry_sdk::Resource;
use opentelemetry_sdk::metrics::SdkMeterProvider;
use opentelemetry_sdk::metrics::periodic_reader_with_async_runtime::PeriodicReader;
use opentelemetry_sdk::propagation::TraceContextPropagator;
use opentelemetry_sdk::runtime;
use opentelemetry_sdk::trace::SdkTracerProvider;
use opentelemetry_sdk::trace::span_processor_with_async_runtime::BatchSpanProcessor;
use prometheus::{Registry, TextEncoder};
use tokio::sync::oneshot;
use tokio::time;

use crate::settings::{Settings, Telemetry};

/// The name under which the daemon's instruments and spans appear.
pub const SCOPE: &str = "rhubarblatch";

/// Longest wait for telemetry that is still buffered at the end.
const FLUSH: Duration = Duration::from_secs(5);

/// The process's providers of metrics and traces, and the page of its metrics.
#[derive(Clone)]
pub struct Telemeter {
    registry: Registry,
    meters: SdkMeterProvider,
    tracers: SdkTracerProvider,
}

/// Why metrics or traces cannot be set up or shown.
#[derive(Debug, thiserror::Error)]
pub enum Error {
    /// The metrics page cannot be set up.
    #[error("cannot set up metrics: {0}")]
    Metrics(#[from] opentelemetry_sdk::error::OTelSdkError),
    /// The exporter cannot be set up, most likely because of its address.
    #[error("cannot send to \"{endpoint}\": {source}")]
    Exporter {
        /// The endpoint as set.
        endpoint: String,
        /// What the library said.
        source: opentelemetry_otlp::ExporterBuildError,
    },
    /// The metrics cannot be written as text.
    #[error("cannot write metrics: {0}")]
    Page(#[from] prometheus::Error),
}

impl Telemeter {
    /// Sets up the process's metrics and traces. Must run within the runtime.
    ///
    /// # Errors
    ///
    /// Names the endpoint if the exporter does not accept it.
    pub fn install(settings: &Settings) -> Result<Telemeter, Error> {
        let resource = Resource::builder().with_service_name(SCOPE);
        let resource = resource
            .with_attribute(opentelemetry::KeyValue::new("entry", settings.name.to_string()))
            .build();
        let registry = Registry::new();
        let page = opentelemetry_prometheus::exporter().with_registry(registry.clone()).build()?;
        let mut meters =
            SdkMeterProvider::builder().with_resource(resource.clone()).with_reader(page);
        let mut tracers = SdkTracerProvider::builder().with_resource(resource);
        if let Some(endpoint) = &settings.telemetry.otlp {
            let metrics = metric_exporter(endpoint)?;
            meters = meters.with_reader(PeriodicReader::builder(metrics, runtime::Tokio).build());
            let spans = span_exporter(endpoint)?;
            tracers = tracers
                .with_span_processor(BatchSpanProcessor::builder(spans, runtime::Tokio).build());
        }
        let telemeter = Telemeter { registry, meters: meters.build(), tracers: tracers.build() };
        global::set_text_map_propagator(TraceContextPropagator::new());
        global::set_meter_provider(telemeter.meters.clone());
        global::set_tracer_provider(telemeter.tracers.clone());
        Ok(telemeter)
    }

    /// The metrics in the Prometheus text format.
    ///
    /// # Errors
    ///
    /// Fails if the library cannot encode a metric.
    pub fn page(&self) -> Result<String, Error> {
        Ok(TextEncoder::new().encode_to_string(&self.registry.gather())?)
    }

    /// Sends what is still buffered, but gives up on a collector that does not answer in time.
    pub async fn flush(&self) {
        let (sender, flushed) = oneshot::channel();
        let (tracers, meters) = (self.tracers.clone(), self.meters.clone());
        // The library blocks the thread. Not one of the runtime's, whose end would wait for it.
        std::thread::spawn(move || {
            let results = [tracers.force_flush(), meters.force_flush()];
            // Nobody receives it after the time is up.
            drop(sender.send(results));
        });
        match time::timeout(FLUSH, flushed).await {
            Ok(results) => {
                for error in results.into_iter().flatten().filter_map(Result::err) {
                    log::warn!("telemetry not sent: {error}");
                }
            }
            Err(_) => log::warn!("telemetry not sent within {FLUSH:?}"),
        }
    }
}

impl Telemetry {
    /// Whether anything is sent.
    pub fn is_on(&self) -> bool {
        self.otlp.is_some()
    }
}

fn metric_exporter(endpoint: &str) -> Result<MetricExporter, Error> {
    let exporter = MetricExporter::builder().with_http();
    let exporter = exporter.with_endpoint(format!("{endpoint}/v1/metrics")).build();
    exporter.map_err(|source| Error::Exporter { endpoint: endpoint.to_owned(), source })
}

fn span_exporter(endpoint: &str) -> Result<SpanExporter, Error> {
    let exporter = SpanExporter::builder().with_http();
    let exporter = exporter.with_endpoint(format!("{endpoint}/v1/traces")).build();
    exporter.map_err(|source| Error::Exporter { endpoint: endpoint.to_owned(), source })
}
