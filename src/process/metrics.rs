//! The metrics of one instance, in the Prometheus text format.
//!
//! Names end with their unit; `docs/OPERATIONS.md` lists them.

use std::fmt;

use prometheus::Gauge;
use prometheus::GaugeVec;
use prometheus::HistogramOpts;
use prometheus::HistogramVec;
use prometheus::IntCounter;
use prometheus::IntCounterVec;
use prometheus::IntGauge;
use prometheus::IntGaugeVec;
use prometheus::Opts;
use prometheus::Registry;
use prometheus::TextEncoder;
use prometheus::core::Collector;
use session_core::answer_check::AnswerFault;

use crate::process::burn_page::BurnPage;
use crate::process::decision_journal::DecisionJournal;
use crate::process::store_calls::StoreCallKind;
use crate::process::store_calls::StoreCalls;
use crate::request::ports::RequestClass;
use crate::request::ports::RequestRecord;
use crate::request::refusal::RequestRefusal;
use crate::version::bundle_store::BundleStore;
use crate::version::ids::ServiceId;
use crate::version::ids::TeamId;

/// Bucket limits in seconds, from waits within one zone to the longest timeouts of callers.
const SECONDS_BUCKETS: [f64; 15] = [
    0.0001, 0.00025, 0.0005, 0.001, 0.0025, 0.005, 0.01, 0.025, 0.05, 0.1, 0.25, 1.0, 3.0, 10.0,
    30.0,
];

/// An error in registering or encoding metrics.
#[derive(Debug)]
pub struct MetricsError(prometheus::Error);

impl fmt::Display for MetricsError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "metrics: {}", self.0)
    }
}

impl std::error::Error for MetricsError {}

impl From<prometheus::Error> for MetricsError {
    fn from(error: prometheus::Error) -> Self {
        Self(error)
    }
}

/// Number of answered reads by the role of the endpoint.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct ReadCounts {
    /// Answered by replicas.
    pub replica: u64,
    /// Answered by primaries.
    pub primary: u64,
}

/// The metrics of one instance; the daemon sets the public fields.
pub struct ProcessMetrics {
    registry: Registry,
    requests: IntCounterVec,
    store_calls: IntCounterVec,
    decisions: IntCounterVec,
    bundle_refusals: IntCounter,
    unexpected_answers: IntCounterVec,
    reads: IntCounterVec,
    waits: HistogramVec,
    durations: HistogramVec,
    burn_rate: GaugeVec,
    budget_left: GaugeVec,
    /// Open connections of callers.
    pub caller_connections: IntGauge,
    /// What callers hold beyond their allowances, in bytes.
    pub caller_memory: IntGauge,
    /// The limit of what callers hold beyond their allowances, in bytes; 0 without a limit.
    pub caller_memory_limit: IntGauge,
    /// Connections that were closed because memory was short.
    pub callers_closed: IntGauge,
    /// Open connections to endpoints, by service and endpoint.
    pub endpoint_connections: IntGaugeVec,
    /// 1 if the service has a primary, else 0, by service.
    pub primary_present: IntGaugeVec,
    /// The highest term reported in the group, by service.
    pub group_term: IntGaugeVec,
    /// The version of the bundle in force.
    pub bundle_version: IntGauge,
    /// Time since the last answer of the store, in seconds.
    pub store_silence: Gauge,
    /// Number of peers that answer.
    pub live_peers: IntGauge,
    /// 1 while the instance refuses requests because it is isolated.
    pub isolated: IntGauge,
    /// 1 while the instance is stopping.
    pub draining: IntGauge,
}

impl ProcessMetrics {
    /// Creates and registers all metrics.
    ///
    /// Returns an error if the registry refuses one.
    pub fn new(program_version: &str) -> Result<Self, MetricsError> {
        let registry = Registry::new();
        let build = int_gauges(
            &registry,
            "tamaracklb_build_info",
            "Always 1; the label names the program version.",
            &["version"],
        )?;
        build.with_label_values(&[program_version]).set(1);
        Ok(Self {
            requests: counters(
                &registry,
                "tamaracklb_requests_total",
                "Requests that ended, by outcome.",
                &["team", "service", "class", "outcome"],
            )?,
            unexpected_answers: counters(
                &registry,
                "tamaracklb_unexpected_answers_total",
                "Answers of endpoints that did not belong to the awaited statement.",
                &["fault"],
            )?,
            reads: counters(
                &registry,
                "tamaracklb_reads_total",
                "Answered reads, by the role of the endpoint that served them.",
                &["service", "class", "role"],
            )?,
            waits: histograms(
                &registry,
                "tamaracklb_request_wait_seconds",
                "Time from the arrival of a request to its permit.",
            )?,
            durations: histograms(
                &registry,
                "tamaracklb_request_duration_seconds",
                "Time from the arrival of a request to its end.",
            )?,
            burn_rate: gauges(
                &registry,
                "tamaracklb_slo_burn_rate_ratio",
                "Error budget use relative to the allowed use; above 1 the budget does not last.",
                &["service", "team", "objective", "window"],
            )?,
            budget_left: gauges(
                &registry,
                "tamaracklb_slo_budget_left_ratio",
                "Share of the error budget that is left in the window of the objective.",
                &["service", "team", "objective"],
            )?,
            caller_connections: int_gauge(
                &registry,
                "tamaracklb_caller_connections",
                "Open connections of callers.",
            )?,
            caller_memory: int_gauge(
                &registry,
                "tamaracklb_caller_memory_bytes",
                "What callers hold beyond their allowances.",
            )?,
            caller_memory_limit: int_gauge(
                &registry,
                "tamaracklb_caller_memory_limit_bytes",
                "The limit of what callers hold beyond their allowances; 0 without a limit.",
            )?,
            callers_closed: int_gauge(
                &registry,
                "tamaracklb_callers_closed_for_memory",
                "Connections closed since the start because memory was short.",
            )?,
            endpoint_connections: int_gauges(
                &registry,
                "tamaracklb_endpoint_connections",
                "Open connections to endpoints.",
                &["service", "endpoint"],
            )?,
            primary_present: int_gauges(
                &registry,
                "tamaracklb_primary_present",
                "1 while the service has a primary.",
                &["service"],
            )?,
            group_term: int_gauges(
                &registry,
                "tamaracklb_group_term",
                "The highest term seen in the group.",
                &["service"],
            )?,
            bundle_version: int_gauge(
                &registry,
                "tamaracklb_bundle_version",
                "The bundle version in force; 0 where there is none.",
            )?,
            bundle_refusals: counter(
                &registry,
                "tamaracklb_bundle_refusals_total",
                "Bundles that were refused.",
            )?,
            store_calls: counters(
                &registry,
                "tamaracklb_store_calls_total",
                "Calls of the store, failed and repeated ones included.",
                &["operation"],
            )?,
            store_silence: gauge(
                &registry,
                "tamaracklb_store_silence_seconds",
                "Time since the store was last heard.",
            )?,
            live_peers: int_gauge(&registry, "tamaracklb_live_peers", "Peers that answer.")?,
            isolated: int_gauge(
                &registry,
                "tamaracklb_isolated",
                "1 while the instance refuses requests because it is isolated.",
            )?,
            draining: int_gauge(
                &registry,
                "tamaracklb_draining",
                "1 while the instance is stopping.",
            )?,
            decisions: counters(
                &registry,
                "tamaracklb_decisions_total",
                "Decisions in the journal; the service is empty for those about none.",
                &["kind", "service"],
            )?,
            registry,
        })
    }

    /// Counts a request that ended.
    pub fn record_request(&self, record: &RequestRecord) {
        let class = class_label(record.class);
        let service = record.service.as_str();
        let outcome = outcome_label(record.refusal);
        self.requests
            .with_label_values(&[record.team.as_str(), service, class, outcome])
            .inc();
        self.waits
            .with_label_values(&[service, class])
            .observe(record.wait.as_secs_f64());
        self.durations
            .with_label_values(&[service, class])
            .observe(record.total.as_secs_f64());
        if record.class != RequestClass::Write && record.refusal.is_none() {
            let role = if record.replica { "replica" } else { "primary" };
            self.reads.with_label_values(&[service, class, role]).inc();
        }
    }

    /// Counts an answer that did not belong to the awaited statement.
    pub fn record_unexpected(&self, fault: AnswerFault) {
        let label = fault.to_string();
        self.unexpected_answers.with_label_values(&[&label]).inc();
    }

    /// Raises the counters of decisions to the journal's counts.
    pub fn record_journal(&self, journal: &DecisionJournal) {
        for ((kind, service), count) in journal.counts() {
            let service = service.as_ref().map_or("", ServiceId::as_str);
            let counter = self.decisions.with_label_values(&[kind, service]);
            counter.inc_by(count.saturating_sub(counter.get()));
        }
    }

    /// Sets the version in force and raises the counter of refused bundles.
    pub fn record_bundles(&self, bundles: &BundleStore) {
        let version = i64::try_from(bundles.version().0).unwrap_or(i64::MAX);
        self.bundle_version.set(version);
        let refusals = bundles.refusals();
        let counted = self.bundle_refusals.get();
        self.bundle_refusals
            .inc_by(refusals.saturating_sub(counted));
    }

    /// Raises the counters of store calls to those of the process's only store client.
    pub fn record_store_calls(&self, calls: &StoreCalls) {
        for kind in StoreCallKind::ALL {
            let counter = self.store_calls.with_label_values(&[kind.label()]);
            counter.inc_by(calls.get(kind).saturating_sub(counter.get()));
        }
    }

    /// Returns the number of reads answered by replicas and by primaries.
    pub fn read_counts(&self) -> ReadCounts {
        let mut counts = ReadCounts::default();
        for family in self.reads.collect() {
            for metric in family.get_metric() {
                let replica = metric
                    .get_label()
                    .iter()
                    .any(|label| label.value() == "replica");
                let value = metric.get_counter().get_value() as u64;
                let count = if replica {
                    &mut counts.replica
                } else {
                    &mut counts.primary
                };
                *count += value;
            }
        }
        counts
    }

    /// Sets the gauges of the objectives and removes those without a row in the page.
    pub fn set_burn(&self, page: &BurnPage) {
        self.burn_rate.reset();
        self.budget_left.reset();
        for row in &page.rows {
            let team = row.team.as_ref().map_or("", TeamId::as_str);
            let objective = format!("{}h", row.window_hours);
            let labels = [row.service.as_str(), team, &objective];
            let left = row.budget_left();
            self.budget_left.with_label_values(&labels).set(left);
            for span in &row.spans {
                let window = format!("{}s", span.span_s);
                let labels = [labels[0], labels[1], labels[2], &window];
                let rate = span.burn_rate(row.target);
                self.burn_rate.with_label_values(&labels).set(rate);
            }
        }
    }

    /// Returns all metrics in the Prometheus text format.
    pub fn render(&self) -> Result<String, MetricsError> {
        Ok(TextEncoder::new().encode_to_string(&self.registry.gather())?)
    }
}

fn class_label(class: RequestClass) -> &'static str {
    match class {
        RequestClass::Write => "write",
        RequestClass::Read => "read",
        RequestClass::StaleRead => "stale_read",
    }
}

fn outcome_label(refusal: Option<RequestRefusal>) -> &'static str {
    match refusal {
        None => "answered",
        Some(RequestRefusal::AboveRate) => "above_rate",
        Some(RequestRefusal::QueueFull) => "queue_full",
        Some(RequestRefusal::QueueDeadline) => "queue_deadline",
        Some(RequestRefusal::NoPrimary) => "no_primary",
        Some(RequestRefusal::NoEndpoint) => "no_endpoint",
        Some(RequestRefusal::Isolated) => "isolated",
        Some(RequestRefusal::KeyWithdrawn) => "key_withdrawn",
        Some(RequestRefusal::TeamNotAllowed) => "team_not_allowed",
        Some(RequestRefusal::UnknownService) => "unknown_service",
        Some(RequestRefusal::Draining) => "draining",
        Some(RequestRefusal::TransactionDeadline) => "transaction_deadline",
        Some(RequestRefusal::OutcomeUnknown) => "outcome_unknown",
    }
}

fn register<C>(registry: &Registry, collector: C) -> Result<C, MetricsError>
where
    C: Collector + Clone + 'static,
{
    registry.register(Box::new(collector.clone()))?;
    Ok(collector)
}

fn counter(registry: &Registry, name: &str, help: &str) -> Result<IntCounter, MetricsError> {
    register(registry, IntCounter::new(name, help)?)
}

fn counters(
    registry: &Registry,
    name: &str,
    help: &str,
    labels: &[&str],
) -> Result<IntCounterVec, MetricsError> {
    register(registry, IntCounterVec::new(Opts::new(name, help), labels)?)
}

fn gauge(registry: &Registry, name: &str, help: &str) -> Result<Gauge, MetricsError> {
    register(registry, Gauge::new(name, help)?)
}

fn gauges(
    registry: &Registry,
    name: &str,
    help: &str,
    labels: &[&str],
) -> Result<GaugeVec, MetricsError> {
    register(registry, GaugeVec::new(Opts::new(name, help), labels)?)
}

fn int_gauge(registry: &Registry, name: &str, help: &str) -> Result<IntGauge, MetricsError> {
    register(registry, IntGauge::new(name, help)?)
}

fn int_gauges(
    registry: &Registry,
    name: &str,
    help: &str,
    labels: &[&str],
) -> Result<IntGaugeVec, MetricsError> {
    register(registry, IntGaugeVec::new(Opts::new(name, help), labels)?)
}

fn histograms(registry: &Registry, name: &str, help: &str) -> Result<HistogramVec, MetricsError> {
    let options = HistogramOpts::new(name, help).buckets(SECONDS_BUCKETS.to_vec());
    register(registry, HistogramVec::new(options, &["service", "class"])?)
}
