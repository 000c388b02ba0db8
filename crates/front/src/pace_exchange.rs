//! Reports this instance's reads to the first instance of its zone, and keeps the zone's picture of
//! the endpoints that comes back.

use std::cell::RefCell;
use std::net::SocketAddr;
use std::time::Duration;

use session_core::collector_choice::CollectorChoice;
use session_core::endpoint_entry::EndpointEntry;
use session_core::endpoint_pace::EndpointPace;
use session_core::endpoint_pace::PacedCandidate;
use session_core::instance_rank::ranked_order;
use session_core::monotonic_time::MonotonicTime;
use session_core::monotonic_time::now;
use session_core::pace_collector::PaceCollector;
use session_core::pace_digest::PaceDigest;
use session_core::pace_report::PaceReport;
use session_core::pace_sample::EndpointTag;
use session_core::pace_sample::PaceSample;
use session_core::pace_sample::StatementTime;
use session_core::pace_sample::WorkKind;
use session_core::request_outcome::EndpointRefusal;
use session_core::request_outcome::StatementFault;

use crate::endpoint_connection::ConnectError;
use crate::endpoint_connection::EndpointAnswer;
use crate::instance::Instance;
use crate::peer_link;
use crate::peer_message::PeerMessage;
use crate::request_route::ChosenEndpoint;

/// Ticks between reports.
const REPORT_TICKS: u64 = 5;

/// Ticks between reports without samples, which keep the digest current for the next read.
const EMPTY_REPORT_TICKS: u64 = 15;

/// Observations of this instance and of its zone.
pub struct PaceExchange {
    report: RefCell<PaceReport>,
    collector: RefCell<PaceCollector>,
    pace: RefCell<EndpointPace>,
    choice: RefCell<CollectorChoice>,
}

impl PaceExchange {
    /// Creates an exchange without observations; the seed differs between instances.
    pub fn new(seed: u64) -> Self {
        Self {
            report: RefCell::default(),
            collector: RefCell::default(),
            pace: RefCell::new(EndpointPace::new(seed)),
            choice: RefCell::default(),
        }
    }

    /// Returns whether the zone's picture is recent enough to choose endpoints by.
    pub fn is_current(&self, at: MonotonicTime) -> bool {
        self.pace.borrow().is_current(at)
    }

    /// Returns the index of the candidate that a read uses.
    pub fn choose(&self, candidates: &[PacedCandidate]) -> Option<usize> {
        self.pace.borrow_mut().choose(candidates)
    }

    /// Records the outcome of a single read. The time of a read that may have waited for the
    /// endpoint's log does not count.
    pub fn record_read(
        &self,
        chosen: &ChosenEndpoint,
        database: &str,
        result: &Result<EndpointAnswer, StatementFault>,
    ) {
        let took = match result {
            Ok(answer) => match &answer.result {
                Ok(_) if chosen.may_wait => return,
                Ok(_) => Some(answer.took),
                Err((refusal, _)) if is_trouble(*refusal) => None,
                Err(_) => return,
            },
            Err(_) => None,
        };
        self.record(&chosen.entry, database, took);
    }

    /// Records a connection for a read that could not be opened. An endpoint that has reached its
    /// limit of connections is not in trouble.
    pub fn record_connect_failure(
        &self,
        entry: &EndpointEntry,
        database: &str,
        error: &ConnectError,
    ) {
        if !matches!(
            error,
            ConnectError::Refused(EndpointRefusal::ConnectionLimit)
        ) {
            self.record(entry, database, None);
        }
    }

    fn record(&self, entry: &EndpointEntry, database: &str, took: Option<Duration>) {
        self.report.borrow_mut().record(PaceSample {
            endpoint: EndpointTag::of(entry),
            kind: WorkKind::of(database),
            took: took.map(StatementTime::from),
        });
    }

    /// Records a digest, if it is from the instance to which this one reports.
    pub fn record_digest(&self, from: SocketAddr, sent: MonotonicTime, digest: &PaceDigest) {
        if self.choice.borrow_mut().record_answer(from) {
            self.pace.borrow_mut().record_digest(sent, digest);
        }
    }

    /// Returns the metrics of the endpoints that get less than their full load, at most those of
    /// one digest.
    pub fn metrics_text(&self, instance: &Instance) -> String {
        let view = instance.view.borrow();
        let pace = self.pace.borrow();
        let mut lines = [String::new(), String::new(), String::new()];
        for entry in view.endpoints.values() {
            let Some(digest) = pace.entry(EndpointTag::of(entry)) else {
                continue;
            };
            let values = [
                ("pace", f64::from(digest.pace_tenths) / 10.0),
                ("failure_ratio", digest.failed.as_ratio()),
                ("admitted_ratio", digest.admitted.as_ratio()),
            ];
            for (text, (name, value)) in lines.iter_mut().zip(values) {
                if text.is_empty() {
                    text.push_str(&format!("# TYPE tamaracklb_endpoint_{name} gauge\n"));
                }
                let id = &entry.id;
                text.push_str(&format!(
                    "tamaracklb_endpoint_{name}{{endpoint=\"{id}\"}} {value:.2}\n"
                ));
            }
        }
        lines.concat()
    }
}

/// Returns whether a refusal of a read counts as a failure of the endpoint. Statements that fail by
/// themselves do so on all endpoints, with which an endpoint is compared.
fn is_trouble(refusal: EndpointRefusal) -> bool {
    matches!(
        refusal,
        EndpointRefusal::Busy
            | EndpointRefusal::Failed
            | EndpointRefusal::TimedOut
            | EndpointRefusal::Other
    )
}

/// Reports the reads since the last report, if a report is due.
pub fn report_reads(instance: &Instance, tick: u64) {
    if !instance.settings.endpoints_may_degrade || !tick.is_multiple_of(REPORT_TICKS) {
        return;
    }
    let at = now();
    let paces = &instance.paces;
    let chosen = paces
        .choice
        .borrow_mut()
        .choose(&zone_addresses(instance), at);
    let samples = paces.report.borrow_mut().take();
    let Some(address) = chosen else {
        return;
    };
    if address == instance.settings.peer_address {
        collect(instance, &samples);
        let collector = paces.collector.borrow();
        paces.record_digest(address, at, collector.digest());
    } else if !samples.is_empty() || tick.is_multiple_of(EMPTY_REPORT_TICKS) {
        paces.choice.borrow_mut().record_report(at);
        let message = PeerMessage::Observed { sent: at, samples };
        peer_link::send(instance, &message, address);
    }
}

/// Answers the report of another instance with the picture of the zone.
pub fn answer_report(
    instance: &Instance,
    sent: MonotonicTime,
    samples: &[PaceSample],
    from: SocketAddr,
) {
    if !instance.settings.endpoints_may_degrade {
        return;
    }
    collect(instance, samples);
    let digest = instance.paces.collector.borrow().digest().clone();
    peer_link::send(instance, &PeerMessage::Paces { sent, digest }, from);
}

/// Adds samples to the zone's picture and logs which endpoints became slow or recovered.
fn collect(instance: &Instance, samples: &[PaceSample]) {
    let at = now();
    let mut collector = instance.paces.collector.borrow_mut();
    collector.resume(&instance.paces.pace.borrow(), at);
    collector.record(samples, at);
    let view = instance.view.borrow();
    for change in collector.update(view.endpoints.values(), at) {
        let event = match change.is_slow {
            true => "endpoint_slow",
            false => "endpoint_recovered",
        };
        tracing::info!(
            event,
            endpoint = %change.endpoint,
            zone = %instance.settings.zone,
            pace = change.pace,
            failure_ratio = change.failure_ratio,
            admitted = change.admitted,
        );
    }
}

/// Returns the addresses of the zone's instances by rank: the relay root first.
fn zone_addresses(instance: &Instance) -> Vec<SocketAddr> {
    let view = instance.view.borrow();
    let zone = &instance.settings.zone;
    let members = view.members.iter();
    let near = members.filter(|(_, member)| member.value.zone == *zone);
    let ranked = ranked_order(zone, near.map(|(name, member)| member.value.ranked(name)));
    let listed = ranked.iter().filter_map(|near| view.members.get(near.name));
    listed.map(|member| member.value.address).collect()
}
