//! Derives the picture of a zone's endpoints from the observations of its instances. Runs on the
//! first instance of the zone.

use std::collections::BTreeMap;
use std::time::Duration;

use crate::endpoint_entry::EndpointEntry;
use crate::endpoint_pace::DIGEST_LIFE;
use crate::endpoint_pace::EndpointPace;
use crate::failure_count::FailureCount;
use crate::ids::EndpointId;
use crate::ids::ServiceId;
use crate::monotonic_time::MonotonicTime;
use crate::observed_pace::ObservedPace;
use crate::pace_digest::ByteFraction;
use crate::pace_digest::DigestEntry;
use crate::pace_digest::MAX_DIGEST_ENTRIES;
use crate::pace_digest::PaceDigest;
use crate::pace_record::LoadExcess;
use crate::pace_record::PaceRecord;
use crate::pace_sample::EndpointTag;
use crate::pace_sample::PaceSample;
use crate::work_times::WorkTimes;

/// Minimum time between two updates of the picture.
const STEP_PERIOD: Duration = Duration::from_millis(200);

/// Maximum number of samples that are kept between two updates.
const MAX_FRESH_SAMPLES: usize = 4_000;

/// Excess of the failure ratio over that of the rest of the group from which it counts. Faults of the
/// statements themselves, which fail on each endpoint, stay below.
const MIN_FAILURE_EXCESS: f64 = 0.05;

/// Weight of a failure relative to a slow answer: a failed statement costs its caller several times
/// the usual time.
const FAILURE_WEIGHT: f64 = 10.0;

/// Pace that is assumed of the best endpoint if only one endpoint of the group has been observed.
/// Statements of ordinary load take up to twice the lowest time of their kind.
const UNCOMPARED_PACE: f64 = 2.0;

/// Reads per second and zone that observe the recovery of an endpoint.
const PROBES_PER_S: f64 = 2.5;

/// Maximum fraction of a service's reads that observe the recovery of an endpoint, which bounds
/// what its callers lose to it.
const MAX_PROBED: f64 = 0.05;

/// Fraction of its even share of the load below which a recovered endpoint counts as avoided.
const LOW_SHARE: f64 = 0.5;

/// An endpoint that became slow or failing, or that recovered.
#[derive(Debug, Clone, PartialEq)]
pub struct PaceChange {
    /// The endpoint.
    pub endpoint: EndpointId,
    /// Whether it is slow or failing now.
    pub is_slow: bool,
    /// Time of its statements relative to the lowest of their kinds, if enough were observed.
    pub pace: Option<f64>,
    /// Fraction of its statements that failed, if enough were observed.
    pub failure_ratio: Option<f64>,
    /// Fraction of its load that it gets.
    pub admitted: f64,
}

/// What is judged of one endpoint in an update.
#[derive(Debug, Clone, Copy, Default)]
struct Judgement {
    pace: Option<ObservedPace>,
    failures: FailureCount,
}

/// The observations of a zone's instances.
#[derive(Debug, Clone, Default)]
pub struct PaceCollector {
    times: WorkTimes,
    records: BTreeMap<EndpointTag, PaceRecord>,
    fresh: Vec<(MonotonicTime, PaceSample)>,
    updated_at: Option<MonotonicTime>,
    digest: PaceDigest,
}

impl PaceCollector {
    /// Returns the picture of the last update.
    pub fn digest(&self) -> &PaceDigest {
        &self.digest
    }

    /// Starts from the picture that the former first instance sent, unless this one has collected
    /// until now. Slow endpoints then keep their reduced load when the first instance changes.
    pub fn resume(&mut self, known: &EndpointPace, now: MonotonicTime) {
        let updated_at = self.updated_at.replace(now);
        if updated_at.is_some_and(|at| now.saturating_since(at) < DIGEST_LIFE) {
            self.updated_at = updated_at;
            return;
        }
        self.fresh.clear();
        self.records.clear();
        let entries = known.entries().filter(|_| known.is_current(now));
        self.digest = PaceDigest(entries.copied().collect());
        for entry in &self.digest.0 {
            let record = PaceRecord::with_admitted(entry.admitted.as_ratio());
            self.records.insert(entry.endpoint, record);
        }
    }

    /// Adds the samples of a report.
    pub fn record(&mut self, samples: &[PaceSample], now: MonotonicTime) {
        let room = MAX_FRESH_SAMPLES.saturating_sub(self.fresh.len());
        let samples = samples.iter().take(room);
        self.fresh.extend(samples.map(|sample| (now, *sample)));
    }

    /// Updates the picture if an update is due. Returns the endpoints that became slow or
    /// recovered.
    pub fn update<'a>(
        &mut self,
        entries: impl Iterator<Item = &'a EndpointEntry>,
        now: MonotonicTime,
    ) -> Vec<PaceChange> {
        let since = *self.updated_at.get_or_insert(now);
        let elapsed = now.saturating_since(since);
        if elapsed < STEP_PERIOD {
            return Vec::new();
        }
        self.updated_at = Some(now);
        let known: BTreeMap<EndpointTag, &EndpointEntry> = entries
            .map(|entry| (EndpointTag::of(entry), entry))
            .collect();
        self.records.retain(|tag, _| known.contains_key(tag));
        self.assign_samples(&known);
        self.times.update(now);
        let mut groups: BTreeMap<&ServiceId, Vec<(EndpointTag, &EndpointEntry)>> = BTreeMap::new();
        for (tag, entry) in &known {
            self.records.entry(*tag).or_default().update_rate(elapsed);
            let group = groups.entry(&entry.service).or_default();
            group.push((*tag, *entry));
        }
        self.digest.0.clear();
        let mut changes = Vec::new();
        for group in groups.values() {
            self.update_group(group, elapsed, now, &mut changes);
        }
        let entries = &mut self.digest.0;
        entries.sort_by(|a, b| a.admitted.as_ratio().total_cmp(&b.admitted.as_ratio()));
        entries.truncate(MAX_DIGEST_ENTRIES);
        changes
    }

    fn assign_samples(&mut self, known: &BTreeMap<EndpointTag, &EndpointEntry>) {
        for (at, sample) in self.fresh.drain(..) {
            let Some(entry) = known.get(&sample.endpoint) else {
                continue;
            };
            let took_ms = sample.took.map(|took| took.as_millis());
            if let Some(took_ms) = took_ms {
                self.times.record(sample.kind, &entry.zone, took_ms);
            }
            let record = self.records.entry(sample.endpoint).or_default();
            record.record(sample.kind, took_ms, at);
        }
    }

    fn judge(&self, tag: EndpointTag, entry: &EndpointEntry, now: MonotonicTime) -> Judgement {
        let record = self.records.get(&tag);
        let pace_of = |kind, took_ms| self.times.pace(kind, &entry.zone, took_ms);
        Judgement {
            pace: record.and_then(|record| record.pace(now, pace_of)),
            failures: record.map_or_else(FailureCount::default, |record| record.failures(now)),
        }
    }

    fn update_group(
        &mut self,
        group: &[(EndpointTag, &EndpointEntry)],
        elapsed: Duration,
        now: MonotonicTime,
        changes: &mut Vec<PaceChange>,
    ) {
        let judgements: Vec<Judgement> = group
            .iter()
            .map(|(tag, entry)| self.judge(*tag, entry, now))
            .collect();
        let picture = GroupPicture::of(&judgements);
        let rates = group.iter().filter_map(|(tag, _)| self.records.get(tag));
        let rate_per_s: f64 = rates.map(PaceRecord::rate_per_s).sum();
        let even_rate_per_s = rate_per_s / group.len() as f64;
        let probed = (PROBES_PER_S / rate_per_s.max(1.0)).min(MAX_PROBED);
        let mut most = 0.0_f64;
        for ((tag, _), judgement) in group.iter().zip(&judgements) {
            if let Some(record) = self.records.get_mut(tag) {
                let even_part = even_rate_per_s / record.rate_per_s().max(0.1);
                let excess = picture.excess_of(judgement, even_part);
                record.adapt(excess, elapsed, now);
                most = most.max(record.admitted());
            }
        }
        for ((tag, entry), judgement) in group.iter().zip(&judgements) {
            let Some(record) = self.records.get_mut(tag) else {
                continue;
            };
            // Only the ratios within the group matter: the load of a service has to go somewhere.
            let was_slow = record.is_slow();
            record.scale(1.0 / most, now);
            let admitted = record.admitted();
            let is_avoided =
                record.is_returning(now) && record.rate_per_s() < LOW_SHARE * even_rate_per_s;
            if admitted < 1.0 || is_avoided {
                self.digest.0.push(DigestEntry {
                    endpoint: *tag,
                    admitted: ByteFraction::from(admitted),
                    probed: ByteFraction::from(match is_avoided {
                        true => MAX_PROBED,
                        false => probed,
                    }),
                    pace_tenths: judgement.pace.map_or(0, |pace| (pace.queued * 10.0) as u16),
                    failed: ByteFraction::from(judgement.failures.ratio().unwrap_or(0.0)),
                });
            }
            let is_slow = record.is_slow();
            if is_slow == was_slow {
                continue;
            }
            changes.push(PaceChange {
                endpoint: entry.id.clone(),
                is_slow,
                pace: judgement.pace.map(|pace| pace.queued),
                failure_ratio: judgement.failures.ratio(),
                admitted,
            });
        }
    }
}

/// The lowest paces in a group and its failures, with which its endpoints are compared.
#[derive(Debug, Clone, Copy)]
struct GroupPicture {
    own: f64,
    queued: f64,
    failures: FailureCount,
}

impl GroupPicture {
    fn of(judgements: &[Judgement]) -> Self {
        let paces: Vec<ObservedPace> = judgements.iter().filter_map(|j| j.pace).collect();
        let limit = match paces.len() {
            0 | 1 => UNCOMPARED_PACE,
            _ => f64::INFINITY,
        };
        // When all endpoints become slow, the latest statements show it on all of them, while the
        // others still differ by how often each endpoint is used.
        let own = paces.iter().map(|pace| pace.own.max(pace.latest_own));
        let queued = paces.iter().map(|pace| pace.queued.max(pace.latest_queued));
        let mut failures = FailureCount::default();
        for judgement in judgements {
            failures.add(judgement.failures);
        }
        Self {
            own: own.fold(limit, f64::min),
            queued: queued.fold(limit, f64::min),
            failures,
        }
    }

    /// Returns the excess of an endpoint, or `None` if there are too few samples.
    fn excess_of(&self, judgement: &Judgement, even_part: f64) -> Option<LoadExcess> {
        let mut others = self.failures;
        others.remove(judgement.failures);
        let failures = judgement.failures.ratio()? - others.ratio().unwrap_or(0.0);
        let is_failing = failures > MIN_FAILURE_EXCESS;
        let penalty = match is_failing {
            true => 1.0 + FAILURE_WEIGHT * failures,
            false => 1.0,
        };
        // When all endpoints recover, the latest statements show it first.
        let (own, queued) = judgement.pace.map_or((1.0, 1.0), |pace| {
            let own = pace.own.min(pace.latest_own) / self.own;
            let queued = pace.queued.min(pace.latest_queued) / self.queued;
            (own.max(1.0), queued.max(1.0))
        });
        Some(LoadExcess {
            own: own * penalty,
            queued,
            is_failing,
            even_part,
        })
    }
}
