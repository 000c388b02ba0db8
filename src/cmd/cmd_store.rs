//! Access to the store that the settings name, for commands.

use std::net::SocketAddr;
use std::sync::Arc;

use store_wire::CasRequest;
use store_wire::InstanceEntry;

use crate::cmd::cmd_error::CmdError;
use crate::process::bundle_submission::BUNDLE_KEY;
use crate::process::bundle_submission::BundlePorts;
use crate::process::bundle_submission::BundleReadError;
use crate::process::bundle_submission::BundleWriteError;
use crate::process::bundle_submission::StoredEnvelope;
use crate::process::settings::DaemonSettings;
use crate::process::store_client::StoreClient;
use crate::process::store_client::SwapOutcome;
use crate::process::store_error::StoreError;

/// Starts a client for each store address in the settings.
fn start_clients(settings: &DaemonSettings) -> Result<Arc<Vec<StoreClient>>, CmdError> {
    let start = |&address: &SocketAddr| {
        StoreClient::start(address, settings.store_timeout).map_err(CmdError::Output)
    };
    let clients: Result<Vec<StoreClient>, CmdError> =
        settings.store_addresses.iter().map(start).collect();
    let clients = clients?;
    if clients.is_empty() {
        let message = "the settings name no store_addresses";
        return Err(CmdError::Usage { message });
    }
    Ok(Arc::new(clients))
}

/// Returns the peer addresses of the instances that the store lists.
pub fn list_peer_addresses(settings: &DaemonSettings) -> Result<Vec<SocketAddr>, CmdError> {
    let clients = start_clients(settings)?;
    let entries = block_on(async {
        let mut last_error = StoreError::Stopped;
        for client in clients.iter() {
            match client.instances().await {
                Ok(entries) => return Ok(entries),
                Err(error) => last_error = error,
            }
        }
        let message = last_error.to_string();
        Err(CmdError::Store { message })
    })??;
    let parse_address = |entry: &InstanceEntry| entry.address.parse().ok();
    Ok(entries.iter().filter_map(parse_address).collect())
}

/// Returns ports that read and write the current bundle at the first store address that answers.
pub fn connect_store(settings: &DaemonSettings) -> Result<BundlePorts, CmdError> {
    let clients = start_clients(settings)?;
    let (readers, writers) = (Arc::clone(&clients), clients);
    Ok(BundlePorts {
        read: Box::new(move || {
            let clients = Arc::clone(&readers);
            Box::pin(async move { read_current(&clients).await })
        }),
        write: Box::new(move |expected, text| {
            let clients = Arc::clone(&writers);
            Box::pin(async move { write_current(&clients, expected, text).await })
        }),
    })
}

/// Runs a future to completion on a runtime of its own.
pub fn block_on<F: Future>(future: F) -> Result<F::Output, CmdError> {
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_all()
        .build()
        .map_err(CmdError::Output)?;
    Ok(runtime.block_on(future))
}

async fn read_current(clients: &[StoreClient]) -> Result<Option<StoredEnvelope>, BundleReadError> {
    let mut last_error = StoreError::Stopped;
    for client in clients {
        match client.get(BUNDLE_KEY).await {
            Ok(entry) => {
                return Ok(entry.map(|entry| StoredEnvelope {
                    revision: entry.revision,
                    text: entry.value,
                }));
            }
            Err(error) => last_error = error,
        }
    }
    let message = last_error.to_string();
    Err(BundleReadError { message })
}

/// Writes the current bundle; tries the next address only if the connection failed.
///
/// Any other error is returned at once: the store refused the write, or may have applied it.
async fn write_current(
    clients: &[StoreClient],
    expected_revision: u64,
    value: String,
) -> Result<u64, BundleWriteError> {
    let request = CasRequest {
        key: BUNDLE_KEY.to_owned(),
        expected_revision,
        value,
        lease: None,
    };
    let mut message = String::new();
    for client in clients {
        match client.compare_and_swap(&request).await {
            Ok(SwapOutcome::Written { revision }) => return Ok(revision),
            Ok(SwapOutcome::Conflict { .. }) => return Err(BundleWriteError::Conflict),
            Err(StoreError::ConnectFailed) => message = StoreError::ConnectFailed.to_string(),
            Err(error) if error.is_not_applied() => {
                let message = error.to_string();
                return Err(BundleWriteError::NotApplied { message });
            }
            Err(error) => {
                let message = error.to_string();
                return Err(BundleWriteError::Unanswered { message });
            }
        }
    }
    Err(BundleWriteError::NotApplied { message })
}
