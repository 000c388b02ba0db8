//! Obtains the first view of a starting instance, from a relay where possible.
//!
//! After a restart of all instances, complete reads by each of them would queue up on the link of
//! the store. An instance therefore waits for its relay as long as that one is starting too, and
//! passes over relays that do not answer one at a time: the instance of highest rank that is left
//! reads the store, and the others follow it.

use std::net::SocketAddr;
use std::time::Duration;

use platform::store_client::ReadFreshness;
use platform::store_error::StoreError;
use session_core::monotonic_time::now;

use crate::fleet_keys;
use crate::instance::Instance;
use crate::instance_limits::STORE_TIMEOUT;
use crate::relay_message::ViewItems;
use crate::store_feed;
use crate::view_follower;
use crate::view_follower::RelayError;
use crate::view_follower::RelayExclusions;

/// Time for which a relay that refuses connections is tried again. After a restart of all
/// instances, its process starts at about the same time.
const REFUSAL_TIME: Duration = Duration::from_millis(250);

/// Pause before a relay that refused a connection is tried again.
const REFUSAL_PAUSE: Duration = Duration::from_millis(25);

/// Time from which on a starting instance tries no further relay and reads the store itself.
const RELAY_SEARCH_TIME: Duration = Duration::from_millis(2_000);

/// Reads the first view, from a relay of the zone if the store lists one that sends it. Follows
/// that relay for as long as it can be followed.
///
/// # Errors
///
/// Returns the error of the store if it could not be read. The view stays empty.
pub async fn start_view(instance: &Instance) -> Result<(), StoreError> {
    instance.first_view_pending.set(true);
    let started = try_start(instance).await;
    instance.first_view_pending.set(false);
    started
}

async fn try_start(instance: &Instance) -> Result<(), StoreError> {
    list_members(instance).await?;
    let mut exclusions = RelayExclusions::default();
    let searching_until = now() + RELAY_SEARCH_TIME;
    while now() < searching_until {
        let Some(relay) = view_follower::relay_address(instance, &exclusions) else {
            break;
        };
        instance.set_follows_store(false);
        let ended = follow_starting(instance, relay, &exclusions).await;
        if let Err(error) = &ended {
            tracing::info!(event = "relay_lost", %relay, %error);
        }
        if instance.has_view() {
            return Ok(());
        }
        if let Err(error) = ended {
            tracing::info!(event = "first_view_overdue", %relay);
            exclusions.add(relay, &error);
        }
    }
    if !instance.follows_store() {
        instance.set_follows_store(true);
    }
    store_feed::read_all(instance).await
}

/// Adds the members that the store lists in the zone to the view. They are no evidence.
///
/// A store that cannot be reached is an error: instances that all went on to a complete read would
/// read it at the same time once it answers.
async fn list_members(instance: &Instance) -> Result<(), StoreError> {
    let zone = fleet_keys::zone_prefix(&instance.settings.zone);
    let listed = instance
        .store
        .range(&zone, ReadFreshness::Outdated, STORE_TIMEOUT)
        .await;
    match listed {
        Ok(members) => {
            let items = ViewItems::from(members).items;
            instance.view.borrow_mut().add_items(items);
            Ok(())
        }
        Err(error) => {
            tracing::info!(event = "members_not_listed", %error);
            match error {
                StoreError::NotSent
                | StoreError::NoAnswer
                | StoreError::Unavailable
                | StoreError::TooManyCalls => Err(error),
                _ => Ok(()),
            }
        }
    }
}

/// Follows a relay, which may not listen yet.
async fn follow_starting(
    instance: &Instance,
    relay: SocketAddr,
    exclusions: &RelayExclusions,
) -> Result<(), RelayError> {
    let trying_until = now() + REFUSAL_TIME;
    loop {
        let ended = view_follower::follow_instance(instance, relay, exclusions, now()).await;
        match ended {
            Err(error) if error.is_refusal() && !instance.has_view() && now() < trying_until => {
                tokio::time::sleep(REFUSAL_PAUSE).await;
            }
            ended => return ended,
        }
    }
}
