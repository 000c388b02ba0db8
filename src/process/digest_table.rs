//! Keeps the latest digest of each peer for the other components.

use std::collections::BTreeMap;
use std::sync::Mutex;
use std::sync::MutexGuard;
use std::sync::PoisonError;
use std::time::Duration;

use crate::process::peers::membership_view::MemberRecord;
use crate::process::peers::peer_digest::PeerDigest;
use crate::process::peers::peer_digest::ServiceDigest;
use crate::process::shares::incarnation::InstanceIncarnation;
use crate::process::shares::reconciler::ShareMember;
use crate::process::timers::MonotonicTime;
use crate::version::ids::InstanceId;
use crate::version::ids::ServiceId;

/// Age up to which a digest counts as a report on its services.
const MAX_REPORT_AGE: Duration = Duration::from_millis(1_500);

/// The latest digest of each peer and its time of arrival.
#[derive(Debug, Default)]
pub struct DigestTable {
    digests: Mutex<BTreeMap<InstanceId, (PeerDigest, MonotonicTime)>>,
}

impl DigestTable {
    /// Records a digest that arrived at `now`.
    pub fn record(&self, digest: &PeerDigest, now: MonotonicTime) {
        self.lock()
            .insert(digest.instance.clone(), (digest.clone(), now));
    }

    /// Returns the live instances that are members of a shard of team rates.
    ///
    /// Omits instances whose incarnation in the shard is not known yet.
    pub fn share_members(&self, shard: usize, live: &[MemberRecord]) -> Vec<ShareMember> {
        let digests = self.lock();
        let member_of = |record: &MemberRecord| {
            let (digest, _) = digests.get(&record.instance)?;
            let number = *digest.share_incarnations.get(shard)?;
            Some(ShareMember {
                incarnation: InstanceIncarnation {
                    instance: record.instance.clone(),
                    number,
                },
                zone: record.zone.clone(),
                leaving: digest.draining,
            })
        };
        live.iter().filter_map(member_of).collect()
    }

    /// Returns the recent reports of peers on a service, each with its time of arrival.
    pub fn service_reports(
        &self,
        service: &ServiceId,
        now: MonotonicTime,
    ) -> Vec<(InstanceId, ServiceDigest, MonotonicTime)> {
        let digests = self.lock();
        let recent = digests
            .values()
            .filter(|(_, at)| now.saturating_since(*at) <= MAX_REPORT_AGE);
        recent
            .filter_map(|(digest, at)| {
                let report = digest
                    .services
                    .iter()
                    .find(|report| report.service == *service)?;
                Some((digest.instance.clone(), report.clone(), *at))
            })
            .collect()
    }

    /// Removes the digests of instances that are not in `known`.
    pub fn retain_known(&self, known: &[MemberRecord]) {
        self.lock()
            .retain(|id, _| known.iter().any(|record| record.instance == *id));
    }

    fn lock(&self) -> MutexGuard<'_, BTreeMap<InstanceId, (PeerDigest, MonotonicTime)>> {
        self.digests.lock().unwrap_or_else(PoisonError::into_inner)
    }
}
