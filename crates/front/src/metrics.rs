//! Prometheus counters and histograms of the daemon.

use prometheus::Encoder;
use prometheus::Histogram;
use prometheus::HistogramOpts;
use prometheus::IntCounter;
use prometheus::IntCounterVec;
use prometheus::Opts;
use prometheus::Registry;
use prometheus::TextEncoder;

/// Bucket bounds of the latency histograms in seconds, around the target latencies of 0.1 s to 0.6
/// s.
const LATENCY_BUCKETS: [f64; 10] = [0.005, 0.01, 0.02, 0.05, 0.1, 0.2, 0.4, 0.6, 1.0, 2.0];

/// Metrics of the daemon and their registry.
pub struct FrontMetrics {
    registry: Registry,
    /// Number of statements by outcome.
    pub statements: IntCounterVec,
    /// Time from a statement's arrival to its answer, in seconds.
    pub latency: Histogram,
    /// Time from a statement's arrival until it was first sent to an endpoint, in seconds.
    pub wait: Histogram,
    /// Number of status checks sent to endpoints.
    pub status_checks: IntCounter,
    /// Number of statements for cold endpoints by outcome: sent or refused.
    pub cold_statements: IntCounterVec,
    /// Number of accepted sessions.
    pub sessions: IntCounter,
    /// Number of callers' connections that a limit closed or refused, by reason.
    pub closed_callers: IntCounterVec,
    /// Number of answers of endpoints that did not belong to the awaited statement, by fault.
    pub unexpected_answers: IntCounterVec,
}

impl FrontMetrics {
    /// Creates and registers the metrics.
    ///
    /// # Errors
    ///
    /// Fails if two metrics have the same name.
    pub fn new() -> Result<Self, prometheus::Error> {
        let registry = Registry::new();
        let histogram = |name: &str, help: &str| {
            Histogram::with_opts(HistogramOpts::new(name, help).buckets(LATENCY_BUCKETS.to_vec()))
        };
        let metrics = Self {
            statements: IntCounterVec::new(
                Opts::new("tamaracklb_statements_total", "Statements by outcome"),
                &["outcome"],
            )?,
            latency: histogram("tamaracklb_statement_seconds", "Arrival to answer")?,
            wait: histogram("tamaracklb_wait_seconds", "Arrival to first offer")?,
            status_checks: IntCounter::new(
                "tamaracklb_status_checks_total",
                "Status checks sent to endpoints",
            )?,
            cold_statements: IntCounterVec::new(
                Opts::new(
                    "tamaracklb_cold_statements_total",
                    "Statements for cold endpoints by outcome",
                ),
                &["outcome"],
            )?,
            sessions: IntCounter::new("tamaracklb_sessions_total", "Sessions accepted")?,
            closed_callers: IntCounterVec::new(
                Opts::new(
                    "tamaracklb_callers_closed_total",
                    "Connections of callers closed or refused by a limit",
                ),
                &["reason"],
            )?,
            unexpected_answers: IntCounterVec::new(
                Opts::new(
                    "tamaracklb_unexpected_answers_total",
                    "Answers of endpoints that did not belong to the awaited statement",
                ),
                &["fault"],
            )?,
            registry,
        };
        metrics
            .registry
            .register(Box::new(metrics.statements.clone()))?;
        metrics
            .registry
            .register(Box::new(metrics.latency.clone()))?;
        metrics.registry.register(Box::new(metrics.wait.clone()))?;
        metrics
            .registry
            .register(Box::new(metrics.status_checks.clone()))?;
        metrics
            .registry
            .register(Box::new(metrics.cold_statements.clone()))?;
        metrics
            .registry
            .register(Box::new(metrics.sessions.clone()))?;
        metrics
            .registry
            .register(Box::new(metrics.closed_callers.clone()))?;
        metrics
            .registry
            .register(Box::new(metrics.unexpected_answers.clone()))?;
        Ok(metrics)
    }

    /// Returns the metrics in the Prometheus text format.
    ///
    /// # Errors
    ///
    /// Fails if a metric cannot be encoded.
    pub fn encode(&self) -> Result<String, prometheus::Error> {
        let mut text = Vec::new();
        TextEncoder::new().encode(&self.registry.gather(), &mut text)?;
        Ok(String::from_utf8_lossy(&text).into_owned())
    }
}
