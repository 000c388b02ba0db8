//! Connects a daemon's components to its HTTP port.

use std::io;
use std::net::SocketAddr;
use std::net::TcpListener;
use std::sync::Arc;
use std::sync::atomic::Ordering;

use crate::process::daemon_components::DaemonComponents;
use crate::process::endpoint_status::EndpointRole;
use crate::process::group_watcher::EndpointSnapshot;
use crate::process::http_server::HttpPorts;
use crate::process::http_server::HttpServerHandle;
use crate::process::http_server::start_http_server;
use crate::process::instance_status::EndpointSummary;
use crate::process::instance_status::InstanceStatus;
use crate::process::instance_status::ServiceSummary;
use crate::process::metrics::MetricsError;
use crate::process::peers::isolation_monitor::StoreEvidence;
use crate::process::service_runtime::ServiceRuntime;
use crate::process::settings::DaemonSettings;
use crate::process::timers;
use crate::process::wall_time::WallTime;
use crate::version::ids::ServiceId;

/// Starts the HTTP port and returns its address.
///
/// Returns the operating system's error if the port cannot be opened.
pub fn start_http(
    settings: &DaemonSettings,
    components: &Arc<DaemonComponents>,
) -> io::Result<(HttpServerHandle, SocketAddr)> {
    let listener = TcpListener::bind(settings.http_address)?;
    let address = listener.local_addr()?;
    let (metrics, status, journal) = (components.clone(), components.clone(), components.clone());
    let (report, drain) = (components.clone(), components.clone());
    let ports = HttpPorts {
        metrics: Box::new(move || render_metrics(&metrics)),
        status: Box::new(move || instance_status(&status)),
        journal: Box::new(move |after| journal.journal.page(after)),
        report: Box::new(move || report.burn.page(&report.bundle(), timers::now())),
        drain: Box::new(move || {
            drain.drain_request.send_replace(true);
        }),
        operator_token: settings.operator_token.clone(),
    };
    Ok((start_http_server(listener, Arc::new(ports))?, address))
}

fn render_metrics(components: &DaemonComponents) -> Result<String, MetricsError> {
    let metrics = &components.metrics;
    let status = instance_status(components);
    metrics.record_bundles(&components.bundles);
    metrics.record_journal(&components.journal);
    if let Some(memory) = components.caller_memory.get() {
        let number = |value: u64| i64::try_from(value).unwrap_or(i64::MAX);
        metrics.caller_memory.set(number(memory.charged()));
        let limit = memory.limit().unwrap_or(0) as u64;
        metrics.caller_memory_limit.set(number(limit));
        metrics.callers_closed.set(number(memory.closed()));
    }
    metrics.live_peers.set(i64::from(status.live_peers));
    metrics.isolated.set(i64::from(status.isolated));
    metrics.draining.set(i64::from(status.draining));
    if let Some(silence) = status.store_silence_ms {
        metrics.store_silence.set(silence as f64 / 1000.0);
    }
    for service in &status.services {
        let present = i64::from(service.primary.is_some());
        metrics
            .primary_present
            .with_label_values(&[service.service.as_str()])
            .set(present);
        let terms = service
            .endpoints
            .iter()
            .filter_map(|endpoint| endpoint.point);
        let term = terms.map(|point| point.term.0).max().unwrap_or(0);
        metrics
            .group_term
            .with_label_values(&[service.service.as_str()])
            .set(i64::try_from(term).unwrap_or(i64::MAX));
    }
    metrics.set_burn(&components.burn.page(&components.bundle(), timers::now()));
    metrics.render()
}

/// Returns the status of the instance, as shown to operators.
pub fn instance_status(components: &DaemonComponents) -> InstanceStatus {
    let now = timers::now();
    let (own, live, known) = {
        let view = components.links.view();
        (view.own().clone(), view.live(now).len(), view.known().len())
    };
    let store_age = components.links.monitor().store_age(now);
    let mut services: Vec<ServiceSummary> = components
        .services
        .all()
        .into_iter()
        .map(|(service, runtime)| service_summary(service, &runtime))
        .collect();
    services.sort_by(|a, b| a.service.cmp(&b.service));
    InstanceStatus {
        instance: own.instance,
        zone: own.zone,
        program_version: env!("CARGO_PKG_VERSION").to_owned(),
        time: WallTime::now(),
        uptime_ms: millis(now.saturating_since(components.started)),
        bundle: components.bundles.version(),
        store_silence_ms: store_age.map(millis),
        live_peers: u32::try_from(live.saturating_sub(1)).unwrap_or(u32::MAX),
        known_peers: u32::try_from(known).unwrap_or(u32::MAX),
        isolated: components.links.evidence() == StoreEvidence::Isolated,
        draining: components.is_draining(),
        caller_connections: 0,
        open_transactions: components.open_transactions.load(Ordering::Relaxed),
        services,
    }
}

fn service_summary(service: ServiceId, runtime: &ServiceRuntime) -> ServiceSummary {
    let primary = runtime.watcher.primary();
    let endpoints = runtime
        .watcher
        .snapshots()
        .into_iter()
        .map(endpoint_summary)
        .collect();
    ServiceSummary {
        service,
        primary,
        coordinator: runtime.slots.coordinator(),
        endpoints,
    }
}

fn endpoint_summary(snapshot: EndpointSnapshot) -> EndpointSummary {
    let status = snapshot.status;
    let role: Option<EndpointRole> = status.as_ref().map(|status| status.role);
    EndpointSummary {
        endpoint: snapshot.endpoint,
        role,
        point: status.map(|status| status.point),
        live: snapshot.live,
        leaving: snapshot.leaving,
        connections: 0,
    }
}

fn millis(duration: std::time::Duration) -> u64 {
    u64::try_from(duration.as_millis()).unwrap_or(u64::MAX)
}
