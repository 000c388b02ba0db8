//! Follows the store by one long poll.

use std::rc::Rc;
use std::time::Duration;

use platform::store_error::StoreError;
use session_core::monotonic_time::MonotonicTime;
use session_core::monotonic_time::now;
use session_core::primary_permit::PERMIT_TIME;

use crate::instance::Instance;
use crate::instance_limits::LEAST_WATCH_WAIT;
use crate::instance_limits::STORE_PAUSE;
use crate::instance_limits::STORE_TIME;
use crate::instance_limits::WATCH_PAUSE;
use crate::instance_limits::WATCH_SLACK;
use crate::instance_limits::WATCH_WAIT;

/// Everything that an instance needs lies under this prefix: endpoints, configuration, own keys.
const WATCH_PREFIX: &str = "";

/// Follows the store until the process ends.
pub async fn follow_store(instance: Rc<Instance>) {
    let mut lost = false;
    loop {
        match read_all(&instance).await {
            Ok(()) => {
                lost = report_regained(lost, &instance);
                follow_changes(&instance, &mut lost).await;
            }
            Err(error) => {
                lost = report_lost(lost, &instance, "range", &error);
                tokio::time::sleep(STORE_PAUSE).await;
            }
        }
    }
}

async fn read_all(instance: &Instance) -> Result<(), StoreError> {
    let asked_at = now();
    let view = instance.store.range(WATCH_PREFIX, STORE_TIME).await?;
    instance.view.borrow_mut().replace(view, asked_at);
    instance.view_changed();
    Ok(())
}

/// Follows changes until the history is dropped.
async fn follow_changes(instance: &Instance, lost: &mut bool) {
    loop {
        let after = instance.view.borrow().revision;
        let asked_at = now();
        let wait = watch_wait(instance.view.borrow().heard_at, asked_at);
        let time = wait + WATCH_SLACK;
        let answer = instance.store.watch(WATCH_PREFIX, after, wait, time).await;
        match answer {
            Ok(view) => {
                *lost = report_regained(*lost, instance);
                let changed = !view.items.is_empty();
                // A watch without changes was answered after its whole wait.
                let waited = now().saturating_since(asked_at) >= wait;
                let known_at = match !changed && waited {
                    true => asked_at + wait,
                    false => asked_at,
                };
                instance.view.borrow_mut().update(view, known_at);
                if changed {
                    instance.view_changed();
                    tokio::time::sleep(WATCH_PAUSE).await;
                }
            }
            Err(StoreError::HistoryDropped) => {
                tracing::info!(event = "store_history_dropped", after);
                return;
            }
            Err(error) => {
                *lost = report_lost(*lost, instance, "watch", &error);
                tokio::time::sleep(STORE_PAUSE).await;
            }
        }
    }
}

/// Returns how long the next watch may wait, so that its answer comes while the evidence of the
/// former ones still permits the use of primaries.
fn watch_wait(heard_at: Option<MonotonicTime>, at: MonotonicTime) -> Duration {
    let age = heard_at.map_or(Duration::ZERO, |heard_at| at.saturating_since(heard_at));
    let latest = (PERMIT_TIME - WATCH_SLACK).saturating_sub(age);
    WATCH_WAIT.min(latest).max(LEAST_WATCH_WAIT)
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
