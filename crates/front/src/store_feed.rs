//! Keeps the view up to date, by watching the store or through a relay in the zone.

use std::rc::Rc;
use std::time::Duration;

use platform::store_client::ReadFreshness;
use platform::store_error::StoreError;
use session_core::monotonic_time::now;

use crate::first_view;
use crate::instance::Instance;
use crate::instance_limits::STORE_PAUSE;
use crate::instance_limits::STORE_TIMEOUT;
use crate::instance_limits::WATCH_PAUSE;
use crate::instance_limits::WATCH_SLACK;
use crate::instance_limits::WATCH_WAIT;
use crate::view_follower;
use crate::view_follower::RelayError;
use crate::view_follower::RelayExclusions;

/// Prefix of all keys that an instance needs: endpoints, configuration and the daemon's own.
const WATCH_PREFIX: &str = "";

/// Time after a failed watch for which a relay with an old view is accepted.
const STALE_GRACE: Duration = Duration::from_millis(2_000);

/// Time for which another instance is followed before the store is tried again.
const SUBSTITUTE_TIME: Duration = Duration::from_millis(2_000);

/// Pause after a relay with an old view, in which another one may get an answer of the store. Without
/// it, followers try all relays of the zone within milliseconds while the store answers nobody.
const STALE_RELAY_PAUSE: Duration = Duration::from_millis(100);

/// Follows the store until the process ends: through a relay if the relay tree has one for this
/// instance, else directly.
pub async fn follow_store(instance: Rc<Instance>) {
    let mut lost = false;
    let mut exclusions = RelayExclusions::default();
    let mut substitutes = RelayExclusions::default();
    let mut accept_stale_until = now();
    loop {
        if !instance.has_view() {
            if let Err(error) = first_view::start_view(&instance).await {
                lost = report_lost(lost, &instance, "range", &error);
                tokio::time::sleep(STORE_PAUSE).await;
            }
            continue;
        }
        if let Some(relay) = view_follower::relay_address(&instance, &exclusions) {
            instance.set_follows_store(false);
            let ended =
                view_follower::follow_instance(&instance, relay, &exclusions, accept_stale_until)
                    .await;
            if let Err(error) = ended {
                tracing::info!(event = "relay_lost", %relay, %error);
                exclusions.add(relay, &error);
                if matches!(error, RelayError::Stale(_)) {
                    tokio::time::sleep(STALE_RELAY_PAUSE).await;
                }
            }
            continue;
        }
        if !instance.follows_store() {
            instance.set_follows_store(true);
        }
        let mut outcome = follow_changes(&instance, &mut lost, &exclusions).await;
        if matches!(outcome, FollowOutcome::HistoryDropped)
            && let Err(error) = read_all(&instance).await
        {
            lost = report_lost(lost, &instance, "range", &error);
            outcome = FollowOutcome::Failed;
        }
        match outcome {
            // Another instance may reach the store. If none does, waiting as a follower costs no
            // calls.
            FollowOutcome::Failed => {
                exclusions.clear_stale();
                accept_stale_until = now() + STALE_GRACE;
                tokio::time::sleep(STORE_PAUSE).await;
                if view_follower::relay_address(&instance, &exclusions).is_none() {
                    follow_substitute(&instance, &mut substitutes).await;
                }
            }
            FollowOutcome::HistoryDropped | FollowOutcome::RelayAvailable => {}
        }
    }
}

/// Follows another instance for [`SUBSTITUTE_TIME`] in place of the store, which does not answer this
/// one. Without it, the first instance of a zone that the store turned away for 9 s learned of no order,
/// and a change of a primary waited for its lease to end.
async fn follow_substitute(instance: &Instance, exclusions: &mut RelayExclusions) {
    let Some(relay) = view_follower::substitute_address(instance, exclusions) else {
        return;
    };
    let end = now() + SUBSTITUTE_TIME;
    instance.has_substitute.send_replace(true);
    let followed = view_follower::follow_while(instance, relay, || now() < end, now()).await;
    instance.has_substitute.send_replace(false);
    match followed {
        Ok(()) => tracing::debug!(event = "substitute_followed", %relay),
        Err(error) => {
            tracing::info!(event = "substitute_lost", %relay, %error);
            exclusions.add(relay, &error);
        }
    }
}

/// Reads the whole view from the store.
///
/// # Errors
///
/// See [`StoreError`].
pub async fn read_all(instance: &Instance) -> Result<(), StoreError> {
    let requested_at = now();
    let view = instance
        .store
        .range(WATCH_PREFIX, ReadFreshness::Current, STORE_TIMEOUT)
        .await?;
    instance
        .view
        .borrow_mut()
        .replace(view.into(), requested_at);
    instance.notify_store_answer();
    instance.notify_view_change();
    Ok(())
}

/// Why an instance stopped watching the store.
enum FollowOutcome {
    /// The store dropped the history, so the whole view must be read again.
    HistoryDropped,
    /// The watch failed.
    Failed,
    /// Another instance can be followed instead.
    RelayAvailable,
}

/// Watches the store and applies its changes until the watch fails or a relay is available.
async fn follow_changes(
    instance: &Instance,
    lost: &mut bool,
    exclusions: &RelayExclusions,
) -> FollowOutcome {
    loop {
        if view_follower::relay_address(instance, exclusions).is_some() {
            return FollowOutcome::RelayAvailable;
        }
        let after = instance.view.borrow().revision;
        let requested_at = now();
        let wait = WATCH_WAIT;
        let time = wait + WATCH_SLACK;
        let answer = instance.store.watch(WATCH_PREFIX, after, wait, time).await;
        match answer {
            Ok(view) => {
                *lost = report_regained(*lost, instance);
                let changed = !view.items.is_empty();
                // An empty answer after the whole wait means that nothing changed during the wait.
                let waited = now().saturating_since(requested_at) >= wait;
                let known_at = match !changed && waited {
                    true => requested_at + wait,
                    false => requested_at,
                };
                instance.view.borrow_mut().update(view.into(), known_at);
                instance.notify_store_answer();
                if changed {
                    instance.notify_view_change();
                    tokio::time::sleep(WATCH_PAUSE).await;
                }
            }
            Err(StoreError::HistoryDropped) => {
                tracing::info!(event = "store_history_dropped", %after);
                return FollowOutcome::HistoryDropped;
            }
            Err(error) => {
                *lost = report_lost(*lost, instance, "watch", &error);
                return FollowOutcome::Failed;
            }
        }
    }
}

fn report_lost(lost: bool, instance: &Instance, call: &str, error: &StoreError) -> bool {
    if !lost {
        let view = instance.view.borrow();
        let age = view
            .synced_at
            .map(|at| now().saturating_since(at).as_millis() as u64);
        tracing::warn!(event = "store_lost", call, %error, evidence_age_ms = age);
    }
    true
}

fn report_regained(lost: bool, instance: &Instance) -> bool {
    if lost {
        tracing::info!(
            event = "store_regained",
            revision = %instance.view.borrow().revision
        );
    }
    false
}
