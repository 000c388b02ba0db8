//! Follows the store by one long poll, or through another instance of the zone.

use std::rc::Rc;
use std::time::Duration;

use platform::store_error::StoreError;
use session_core::monotonic_time::now;

use crate::instance::Instance;
use crate::instance_limits::STORE_PAUSE;
use crate::instance_limits::STORE_TIME;
use crate::instance_limits::WATCH_PAUSE;
use crate::instance_limits::WATCH_SLACK;
use crate::instance_limits::WATCH_WAIT;
use crate::view_follower;
use crate::view_follower::PassedOver;

/// Everything that an instance needs lies under this prefix: endpoints, configuration, own keys.
const WATCH_PREFIX: &str = "";

/// How long an instance that cannot reach the store follows another one that cannot either.
const PATIENT_TIME: Duration = Duration::from_millis(2_000);

/// Follows the store until the process ends: through another instance of the zone where one has
/// that duty, else by itself.
pub async fn follow_store(instance: Rc<Instance>) {
    let mut lost = false;
    let mut passed_over = PassedOver::default();
    let mut patient_until = now();
    loop {
        if let Some(relay) = view_follower::relay_address(&instance, &passed_over) {
            instance.set_follows_store(false);
            let ended =
                view_follower::follow_instance(&instance, relay, &passed_over, patient_until).await;
            if let Err(error) = ended {
                tracing::info!(event = "relay_lost", %relay, %error);
                passed_over.add(relay, &error);
            }
            continue;
        }
        if !instance.follows_store() {
            instance.set_follows_store(true);
        }
        let known = instance.view.borrow().revision > 0;
        let read = match known {
            true => Ok(()),
            false => read_all(&instance).await,
        };
        match read {
            Ok(()) => {
                match follow_changes(&instance, &mut lost, &passed_over).await {
                    FollowEnd::HistoryDropped => {
                        if let Err(error) = read_all(&instance).await {
                            lost = report_lost(lost, &instance, "range", &error);
                        }
                    }
                    // Others may reach the store; where none does, waiting costs no calls.
                    FollowEnd::Failed => {
                        passed_over.forgive_stale();
                        patient_until = now() + PATIENT_TIME;
                        tokio::time::sleep(STORE_PAUSE).await;
                    }
                    FollowEnd::Followed => {}
                }
            }
            Err(error) => {
                lost = report_lost(lost, &instance, "range", &error);
                tokio::time::sleep(STORE_PAUSE).await;
            }
        }
    }
}

async fn read_all(instance: &Instance) -> Result<(), StoreError> {
    let requested_at = now();
    let view = instance.store.range(WATCH_PREFIX, STORE_TIME).await?;
    instance
        .view
        .borrow_mut()
        .replace(view.into(), requested_at);
    instance.store_heard();
    instance.view_changed();
    Ok(())
}

/// Why an instance no longer follows the store itself.
enum FollowEnd {
    /// Everything must be read again.
    HistoryDropped,
    /// The store does not answer.
    Failed,
    /// Another instance can be followed.
    Followed,
}

/// Follows changes of the store.
async fn follow_changes(
    instance: &Instance,
    lost: &mut bool,
    passed_over: &PassedOver,
) -> FollowEnd {
    loop {
        if view_follower::relay_address(instance, passed_over).is_some() {
            return FollowEnd::Followed;
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
                // A watch without changes was answered after its whole wait.
                let waited = now().saturating_since(requested_at) >= wait;
                let known_at = match !changed && waited {
                    true => requested_at + wait,
                    false => requested_at,
                };
                instance.view.borrow_mut().update(view.into(), known_at);
                instance.store_heard();
                if changed {
                    instance.view_changed();
                    tokio::time::sleep(WATCH_PAUSE).await;
                }
            }
            Err(StoreError::HistoryDropped) => {
                tracing::info!(event = "store_history_dropped", after);
                return FollowEnd::HistoryDropped;
            }
            Err(error) => {
                *lost = report_lost(*lost, instance, "watch", &error);
                return FollowEnd::Failed;
            }
        }
    }
}

fn report_lost(lost: bool, instance: &Instance, call: &str, error: &StoreError) -> bool {
    if !lost {
        let view = instance.view.borrow();
        let age = view
            .heard_at
            .map(|at| now().saturating_since(at).as_millis() as u64);
        tracing::warn!(event = "store_lost", call, %error, evidence_age_ms = age);
    }
    true
}

fn report_regained(lost: bool, instance: &Instance) -> bool {
    if lost {
        tracing::info!(
            event = "store_regained",
            revision = instance.view.borrow().revision
        );
    }
    false
}
