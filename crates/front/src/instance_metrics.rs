//! Writes the metrics of an instance in the Prometheus text format.
//!
//! Counters and histograms that are updated as things happen are in [`crate::metrics`]; the rest is read
//! from the components when the metrics are requested.

use std::fmt::Display;
use std::fmt::Write;

use session_core::monotonic_time::now;

use crate::instance::Instance;

/// A metric with its samples, each with its labels.
struct MetricFamily {
    name: &'static str,
    kind: &'static str,
    samples: Vec<(String, String)>,
}

impl MetricFamily {
    fn new(name: &'static str, kind: &'static str) -> Self {
        Self {
            name,
            kind,
            samples: Vec::new(),
        }
    }

    fn gauge(name: &'static str) -> Self {
        Self::new(name, "gauge")
    }

    fn counter(name: &'static str) -> Self {
        Self::new(name, "counter")
    }

    fn sample(mut self, value: impl Display) -> Self {
        self.samples.push((String::new(), value.to_string()));
        self
    }

    fn labelled(mut self, labels: String, value: impl Display) -> Self {
        self.samples
            .push((format!("{{{labels}}}"), value.to_string()));
        self
    }

    /// Appends the metric to the text, if it has samples.
    fn write_to(&self, text: &mut String) {
        if self.samples.is_empty() {
            return;
        }
        let Self { name, kind, .. } = self;
        let mut write = |line: String| {
            // Writing to a string does not fail.
            let _ = writeln!(text, "{line}");
        };
        write(format!("# TYPE {name} {kind}"));
        for (labels, value) in &self.samples {
            write(format!("{name}{labels} {value}"));
        }
    }
}

/// Returns the metrics of an instance.
pub fn metrics_text(instance: &Instance) -> String {
    let mut text = match instance.metrics.encode() {
        Ok(text) => text,
        Err(error) => {
            tracing::error!(event = "metrics_not_encoded", %error);
            String::new()
        }
    };
    let families = [
        platform_calls(instance),
        MetricFamily::counter("tamaracklb_endpoint_connections_total")
            .sample(instance.pool.opened_connections()),
        floor_ages(instance),
        evacuated_zones(instance),
        MetricFamily::gauge("tamaracklb_store_era").sample(instance.store.era().era),
        MetricFamily::gauge("tamaracklb_unconfirmed_orders")
            .sample(instance.view.borrow().unconfirmed_orders()),
        MetricFamily::gauge("tamaracklb_caller_memory_bytes").sample(instance.callers.charged()),
        optional(
            "tamaracklb_caller_memory_limit_bytes",
            instance.settings.callers.memory,
        ),
        optional(
            "tamaracklb_caller_connections_limit",
            instance.settings.callers.connections,
        ),
        open_objects(instance),
        MetricFamily::counter("tamaracklb_acquired_from_hosts_total")
            .sample(instance.host_links.acquired()),
        provided_connections(instance),
        waiting_requests(instance),
    ];
    for family in families {
        family.write_to(&mut text);
    }
    text.push_str(&instance.paces.metrics_text(instance));
    text
}

fn optional(name: &'static str, value: Option<impl Display>) -> MetricFamily {
    let family = MetricFamily::gauge(name);
    match value {
        Some(value) => family.sample(value),
        None => family,
    }
}

fn platform_calls(instance: &Instance) -> MetricFamily {
    let family = MetricFamily::counter("tamaracklb_platform_calls_total");
    let calls = instance.calls.snapshot().into_iter();
    calls.fold(family, |family, ((kind, succeeded), count)| {
        let kind = kind.label();
        family.labelled(format!("kind=\"{kind}\",succeeded=\"{succeeded}\""), count)
    })
}

fn floor_ages(instance: &Instance) -> MetricFamily {
    let family = MetricFamily::gauge("tamaracklb_floor_age_ms");
    let floors = instance.newest_floors(now()).into_iter();
    floors.fold(family, |family, floor| {
        let service = floor.service;
        family.labelled(format!("service=\"{service}\""), floor.age.as_millis())
    })
}

/// Returns what is still in use in each evacuated zone.
fn evacuated_zones(instance: &Instance) -> MetricFamily {
    let view = instance.view.borrow();
    let mut family = MetricFamily::gauge("tamaracklb_evacuated_zone_in_use");
    for (zone, evacuation) in view.evacuated.iter() {
        let revision = evacuation.revision;
        let (mut primaries, mut connections) = (0, 0);
        for entry in view.endpoints.values().filter(|e| e.zone == *zone) {
            let primary = view.ordered_primary(&entry.service);
            primaries += usize::from(primary.as_ref() == Ok(&entry.id));
            connections += instance.pool.open_connections_of(&entry.id);
        }
        for (what, count) in [("primaries", primaries), ("connections", connections)] {
            let labels = format!("zone=\"{zone}\",revision=\"{revision}\",what=\"{what}\"");
            family = family.labelled(labels, count);
        }
    }
    family
}

fn open_objects(instance: &Instance) -> MetricFamily {
    let (links, channels) = instance.host_links.open_links();
    let counts = [
        ("sessions", instance.sessions.get()),
        ("endpoint_connections", instance.pool.open_connections()),
        ("host_links", links),
        ("host_channels", channels),
        ("served_links", instance.served_links.get()),
        ("served_channels", instance.served_channels.get()),
    ];
    let family = MetricFamily::gauge("tamaracklb_open");
    counts.into_iter().fold(family, |family, (what, count)| {
        family.labelled(format!("what=\"{what}\""), count)
    })
}

fn provided_connections(instance: &Instance) -> MetricFamily {
    let opened = instance.provided_new.get();
    let kept = instance.provided.get() - opened;
    MetricFamily::counter("tamaracklb_provided_connections_total")
        .labelled("opened=\"true\"".to_owned(), opened)
        .labelled("opened=\"false\"".to_owned(), kept)
}

fn waiting_requests(instance: &Instance) -> MetricFamily {
    let family = MetricFamily::gauge("tamaracklb_endpoint_waiting");
    let waiting = instance.pool.waiting_requests().into_iter();
    waiting.fold(family, |family, (endpoint, count)| {
        family.labelled(format!("endpoint=\"{endpoint}\""), count)
    })
}
