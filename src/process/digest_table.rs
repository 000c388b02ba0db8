//! The latest digests of the peers, as the other parts of the process need them.

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

/// How long a digest counts as a report on a service.
const REPORT_LIMIT: Duration = Duration::from_millis(1_500);

/// The latest digest of each peer and when it arrived.
#[derive(Debug, Default)]
pub struct DigestTable {
    digests: Mutex<BTreeMap<InstanceId, (PeerDigest, MonotonicTime)>>,
}

impl DigestTable {
    /// Takes a digest that arrived at `now`.
    pub fn record(&self, digest: &PeerDigest, now: MonotonicTime) {
        self.lock()
            .insert(digest.instance.clone(), (digest.clone(), now));
    }

    /// Returns the members of a shard of team rates among the live instances.
    ///
    /// An instance whose incarnation in the shard is not known yet takes no part.
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

    /// Returns what peers lately said of a service.
    pub fn service_reports(
        &self,
        service: &ServiceId,
        now: MonotonicTime,
    ) -> Vec<(InstanceId, ServiceDigest, MonotonicTime)> {
        let digests = self.lock();
        let recent = digests
            .values()
            .filter(|(_, at)| now.saturating_since(*at) <= REPORT_LIMIT);
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

    /// Forgets instances that are not known any more.
    pub fn keep_only(&self, known: &[MemberRecord]) {
        self.lock()
            .retain(|id, _| known.iter().any(|record| record.instance == *id));
    }

    fn lock(&self) -> MutexGuard<'_, BTreeMap<InstanceId, (PeerDigest, MonotonicTime)>> {
        self.digests.lock().unwrap_or_else(PoisonError::into_inner)
    }
}
