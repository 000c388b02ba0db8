//! Determines the HTTP addresses of the instances to which a command sends requests.

use std::collections::HashSet;
use std::net::SocketAddr;
use std::path::Path;

use crate::cmd::cmd_error::CmdError;
use crate::cmd::cmd_files::read_settings;
use crate::cmd::cmd_store::list_peer_addresses;

/// Returns the named addresses and, if settings are given, those of all instances in the store.
///
/// The store lists peer addresses only. The HTTP port of an instance is assumed to be at the same
/// IP address, with the port number of `http_address` in the given settings. Duplicate addresses
/// are removed. Fails if settings are given and there is no address at all.
pub fn find_instances(
    named: &[SocketAddr],
    settings: Option<&Path>,
) -> Result<Vec<SocketAddr>, CmdError> {
    let mut addresses = named.to_vec();
    if let Some(path) = settings {
        let settings = read_settings(path)?;
        let port = settings.http_address.port();
        let peers = list_peer_addresses(&settings)?;
        addresses.extend(peers.iter().map(|peer| SocketAddr::new(peer.ip(), port)));
    }
    if settings.is_some() && addresses.is_empty() {
        return Err(CmdError::NoInstances);
    }
    let mut unique = HashSet::new();
    addresses.retain(|address| unique.insert(*address));
    Ok(addresses)
}
