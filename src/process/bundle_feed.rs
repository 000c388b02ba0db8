//! Follows the store's bundle key and the platform's list of instances.
//!
//! Only a few instances of each zone keep a watch on the store; the others receive new bundles from
//! their peers. An instance without a recent view of the store from its peers reads it itself.

use std::collections::BTreeMap;
use std::sync::Arc;
use std::time::Duration;

use store_wire::InstanceEntry;
use store_wire::InstanceState;
use tracing::warn;

use crate::process::bundle_intake::BundleIntake;
use crate::process::bundle_intake::BundleSource;
use crate::process::bundle_submission::BUNDLE_KEY;
use crate::process::peers::fleet_links::FleetLinks;
use crate::process::peers::membership_view::MemberRecord;
use crate::process::slots::rendezvous::member_weight;
use crate::process::store_client::StoreClient;
use crate::process::store_error::StoreError;
use crate::process::timers;

/// Number of instances in each zone that watch the store.
pub const WATCHERS_PER_ZONE: usize = 2;

const WATCH_WAIT: Duration = Duration::from_secs(1);
const POLL_PERIOD: Duration = Duration::from_millis(500);
const RETRY_PERIOD: Duration = Duration::from_millis(300);
const MAX_VIEW_AGE: Duration = Duration::from_millis(1_500);
const LIST_PERIOD: Duration = Duration::from_secs(5);

/// Reads bundles and the instance list from the store.
pub struct BundleFeed {
    client: StoreClient,
    intake: Arc<BundleIntake>,
    links: Arc<FleetLinks>,
}

impl BundleFeed {
    /// Creates a feed that has read nothing yet.
    pub fn new(client: StoreClient, intake: Arc<BundleIntake>, links: Arc<FleetLinks>) -> Self {
        Self {
            client,
            intake,
            links,
        }
    }

    /// Follows the bundle key; never returns.
    pub async fn follow_bundle(&self) {
        let mut revision = None;
        loop {
            let now = timers::now();
            let stale = self
                .links
                .monitor()
                .newest_view_age(now)
                .is_none_or(|a| a > MAX_VIEW_AGE);
            let watches = self.is_watcher();
            if !watches && !stale {
                tokio::time::sleep(POLL_PERIOD).await;
                continue;
            }
            let wait = if watches { WATCH_WAIT } else { Duration::ZERO };
            if let Err(error) = self.read_changes(&mut revision, wait).await {
                tracing::debug!("bundle: cannot read changes from the store: {error}");
                tokio::time::sleep(RETRY_PERIOD).await;
            }
        }
    }

    async fn read_changes(
        &self,
        revision: &mut Option<u64>,
        wait: Duration,
    ) -> Result<(), StoreError> {
        let sent_at = timers::now();
        // The first read must not wait, because a new instance needs the current bundle at once.
        let wait = revision.map_or(Duration::ZERO, |_| wait);
        let after = revision.unwrap_or(0);
        let answer = self.client.watch(BUNDLE_KEY, after, wait).await?;
        for event in &answer.events {
            if let Some(text) = event.value.as_ref().filter(|_| event.key == BUNDLE_KEY) {
                self.intake.offer(text, BundleSource::Store);
            }
        }
        *revision = Some(answer.revision);
        self.links.monitor().record_store_read(sent_at);
        Ok(())
    }

    fn is_watcher(&self) -> bool {
        let (own, live) = {
            let view = self.links.view();
            (view.own().clone(), view.live(timers::now()))
        };
        is_store_watcher(&own, &live)
    }

    /// Polls the platform's list of instances; never returns.
    pub async fn follow_instances(&self) {
        loop {
            match self.client.instances().await {
                Ok(list) => self.apply_instance_list(&list),
                Err(error) => tracing::debug!("peers: cannot read the instance list: {error}"),
            }
            tokio::time::sleep(LIST_PERIOD).await;
        }
    }

    fn apply_instance_list(&self, list: &[InstanceEntry]) {
        let listed: Vec<(MemberRecord, bool)> = list.iter().filter_map(parse_entry).collect();
        if listed.len() < list.len() {
            warn!(
                "peers: {} entries of the instance list are invalid",
                list.len() - listed.len()
            );
        }
        self.links.view().set_listed(listed, timers::now());
    }
}

/// Returns whether an instance is among the [`WATCHERS_PER_ZONE`] store watchers of its zone.
pub fn is_store_watcher(own: &MemberRecord, live: &[MemberRecord]) -> bool {
    let mut ranks: BTreeMap<u64, &MemberRecord> = BTreeMap::new();
    for member in live.iter().filter(|member| member.zone == own.zone) {
        ranks.insert(member_weight(BUNDLE_KEY, &member.instance), member);
    }
    ranks
        .values()
        .rev()
        .take(WATCHERS_PER_ZONE)
        .any(|member| member.instance == own.instance)
}

fn parse_entry(entry: &InstanceEntry) -> Option<(MemberRecord, bool)> {
    let record = MemberRecord {
        instance: entry.id.parse().ok()?,
        zone: entry.zone.parse().ok()?,
        address: entry.address.parse().ok()?,
    };
    Some((record, entry.state == InstanceState::Leaving))
}
