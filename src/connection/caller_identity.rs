//! The authenticated identity of a caller, and whether a bundle admits it.

use crate::request::refusal::RequestRefusal;
use crate::version::bundle::BundleConfig;
use crate::version::ids::KeyId;
use crate::version::ids::ServiceId;
use crate::version::ids::TeamId;

/// The authenticated identity of a caller.
#[derive(Clone)]
pub struct CallerIdentity {
    /// The team whose rate its requests are charged to.
    pub team: TeamId,
    /// The service it uses.
    pub service: ServiceId,
    /// The key that the caller authenticated with, and its StoredKey; `None` on a service that
    /// needs no key.
    pub key: Option<(KeyId, String)>,
}

impl CallerIdentity {
    /// Checks that a bundle admits the caller; the error is the reason why it does not.
    pub fn check(&self, bundle: &BundleConfig) -> Result<(), RequestRefusal> {
        let service = bundle
            .services
            .iter()
            .find(|service| service.id == self.service)
            .ok_or(RequestRefusal::UnknownService)?;
        let Some((id, stored_key)) = &self.key else {
            if service.open_as.as_ref() == Some(&self.team) {
                return Ok(());
            }
            return Err(RequestRefusal::KeyWithdrawn);
        };
        let team = bundle.teams.iter().find(|team| team.id == self.team);
        let keys = team.map_or(&[][..], |team| &team.keys);
        if !keys
            .iter()
            .any(|key| key.id == *id && key.stored_key == *stored_key)
        {
            return Err(RequestRefusal::KeyWithdrawn);
        }
        if !service.teams.contains(&self.team) {
            return Err(RequestRefusal::TeamNotAllowed);
        }
        Ok(())
    }
}
