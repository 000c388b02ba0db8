//! Finds the HTTP addresses of the instances that a command asks.

use std::collections::HashSet;
use std::net::SocketAddr;
use std::path::Path;

use crate::cmd::cmd_error::CmdError;
use crate::cmd::cmd_files::read_settings;
use crate::cmd::cmd_store::list_instances;

/// Returns the named addresses and, with settings, those of all instances that the store lists.
///
/// The store lists the addresses for peers. An instance's HTTP port is taken to be on the same IP
/// address, with the port that the given settings have.
pub fn find_instances(
    named: &[SocketAddr],
    settings: Option<&Path>,
) -> Result<Vec<SocketAddr>, CmdError> {
    let mut addresses = named.to_vec();
    if let Some(path) = settings {
        let settings = read_settings(path)?;
        let port = settings.http_address.port();
        let listed = list_instances(&settings)?;
        addresses.extend(listed.iter().map(|peer| SocketAddr::new(peer.ip(), port)));
    }
    if settings.is_some() && addresses.is_empty() {
        return Err(CmdError::NoInstances);
    }
    let mut seen = HashSet::new();
    addresses.retain(|address| seen.insert(*address));
    Ok(addresses)
}
