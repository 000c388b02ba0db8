//! A running test system, with each program in a separate process.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::time::Duration;

use standins::endpoint::EndpointFaults;
use standins::endpoint::log::LogEntry;
use standins::endpoint::shared::EndpointCounters;
use standins::endpoint::shared::ReceivedCredential;
use standins::endpoint::state::ExecutedWrite;
use standins::endpoint::status::EndpointReport;
use standins::store::CallCounts;
use standins::store::StoreFaults;
use store_wire::CasRequest;
use tamaracklb::process::bundle_submission::BUNDLE_KEY;
use tamaracklb::process::instance_status::InstanceStatus;
use tamaracklb::process::store_client::StoreClient;
use tamaracklb::process::store_client::SwapOutcome;
use tamaracklb::process::store_error::StoreError;
use tempfile::TempDir;
use tokio_postgres::Client;
use tokio_postgres::NoTls;

use crate::support::admin_client;
use crate::support::bundle_text::BundleText;
use crate::support::bundle_text::SERVICE;
use crate::support::bundle_text::SystemTeam;
use crate::support::child_process::ChildProcess;

const START_ATTEMPTS: usize = 1000;
const STORE_TIMEOUT: Duration = Duration::from_secs(10);
const START_PAUSE: Duration = Duration::from_millis(20);

/// A stand-in endpoint in a separate process.
#[derive(Debug)]
pub struct EndpointProcess {
    /// Address for clients.
    pub address: SocketAddr,
    /// Address of its admin port.
    pub admin: SocketAddr,
    /// The process.
    pub process: ChildProcess,
}

impl EndpointProcess {
    /// Injects faults in place of the previous ones.
    pub async fn set_faults(&self, faults: EndpointFaults) {
        admin_client::put(self.admin, "/faults", &faults).await;
    }

    /// Sets the link addresses of the other endpoints.
    pub async fn set_peers(&self, peers: &[SocketAddr]) {
        admin_client::put(self.admin, "/peers", &peers).await;
    }

    /// Closes all open connections.
    pub async fn close_connections(&self) {
        admin_client::post(self.admin, "/close").await;
    }

    /// Returns the status as the platform functions report it.
    pub async fn report(&self) -> EndpointReport {
        admin_client::get(self.admin, "/status").await
    }

    /// Returns the log.
    pub async fn log(&self) -> Vec<LogEntry> {
        admin_client::get(self.admin, "/log").await
    }

    /// Returns the writes that it committed as the primary.
    pub async fn executed(&self) -> Vec<ExecutedWrite> {
        admin_client::get(self.admin, "/executed").await
    }

    /// Returns the credentials that clients presented.
    pub async fn received_credentials(&self) -> Vec<ReceivedCredential> {
        admin_client::get(self.admin, "/shown").await
    }

    /// Returns the counters.
    pub async fn counters(&self) -> EndpointCounters {
        admin_client::get(self.admin, "/counters").await
    }
}

/// The stand-in store in a separate process.
#[derive(Debug)]
pub struct StoreProcess {
    /// Address at which it listens.
    pub address: SocketAddr,
    /// The process.
    pub process: ChildProcess,
}

impl StoreProcess {
    /// Injects faults in place of the previous ones.
    pub async fn set_faults(&self, faults: StoreFaults) {
        admin_client::put(self.address, "/admin/faults", &faults).await;
    }

    /// Expires all leases immediately.
    pub async fn expire_leases(&self) {
        admin_client::post(self.address, "/admin/lapse").await;
    }

    /// Returns how many calls of each kind it received.
    pub async fn calls(&self) -> CallCounts {
        admin_client::get(self.address, "/admin/calls").await
    }
}

/// A daemon in a separate process.
#[derive(Debug)]
pub struct DaemonProcess {
    /// Address for callers.
    pub address: SocketAddr,
    /// Address of its HTTP port for operators.
    pub http: SocketAddr,
    /// The process.
    pub process: ChildProcess,
}

impl DaemonProcess {
    /// Returns its status.
    pub async fn status(&self) -> InstanceStatus {
        admin_client::get(self.http, "/status").await
    }

    /// Waits until this bundle version or a higher one is in force.
    pub async fn wait_for_bundle(&self, version: u64) {
        for _ in 0..START_ATTEMPTS {
            if self.status().await.bundle.0 >= version {
                return;
            }
            tokio::time::sleep(START_PAUSE).await;
        }
        panic!("bundle {version} is not in force");
    }
}

/// A running system; its processes end when this is dropped.
#[derive(Debug)]
pub struct RunningSystem {
    /// The daemons.
    pub daemons: Vec<DaemonProcess>,
    /// The endpoints; the first one starts as the primary.
    pub endpoints: Vec<EndpointProcess>,
    /// The store.
    pub store: StoreProcess,
    /// The teams of the bundle.
    pub teams: Vec<SystemTeam>,
    /// The first bundle.
    pub bundle: BundleText,
    /// The folder with settings and logs.
    pub folder: TempDir,
}

impl RunningSystem {
    /// Writes a bundle to the store, replacing the current one.
    pub async fn submit(&self, bundle: &BundleText) -> Result<SwapOutcome, StoreError> {
        let client = StoreClient::start(self.store.address, STORE_TIMEOUT).unwrap();
        let expected_revision = client
            .get(BUNDLE_KEY)
            .await?
            .map_or(0, |entry| entry.revision);
        let request = CasRequest {
            key: BUNDLE_KEY.to_owned(),
            expected_revision,
            value: bundle.envelope(),
            lease: None,
        };
        client.compare_and_swap(&request).await
    }

    /// Connects a caller of the first team to a daemon.
    pub async fn try_connect(&self, daemon: usize) -> Result<Client, tokio_postgres::Error> {
        let address = self.daemons[daemon].address;
        let team = &self.teams[0];
        let (client, connection) = tokio_postgres::Config::new()
            .host(address.ip().to_string())
            .port(address.port())
            .user(&team.id)
            .password(&team.key)
            .dbname(SERVICE)
            .connect(NoTls)
            .await?;
        tokio::spawn(connection);
        Ok(client)
    }

    /// Connects a caller of the given team to a daemon.
    pub async fn connect_as(
        &self,
        daemon: usize,
        team: &SystemTeam,
    ) -> Result<Client, tokio_postgres::Error> {
        let address = self.daemons[daemon].address;
        let mut config = tokio_postgres::Config::new();
        config
            .host(address.ip().to_string())
            .port(address.port())
            .user(&team.id)
            .password(&team.key)
            .dbname(SERVICE);
        let (client, connection) = config.connect(NoTls).await?;
        tokio::spawn(connection);
        Ok(client)
    }

    /// Returns how often each key was written, over all endpoints and terms.
    pub async fn executed_keys(&self) -> BTreeMap<String, usize> {
        let mut counts = BTreeMap::new();
        for endpoint in &self.endpoints {
            for write in endpoint.executed().await {
                for statement in write.statements {
                    if let Some(Some(key)) = statement.parameters.first() {
                        *counts.entry(key.clone()).or_default() += 1;
                    }
                }
            }
        }
        counts
    }

    /// Connects a caller of the first team to a daemon; fails the test if that is not possible.
    pub async fn connect(&self, daemon: usize) -> Client {
        let result = self.try_connect(daemon).await;
        result.unwrap_or_else(|error| panic!("{error:?}\n{}", self.logs()))
    }

    /// Returns the logs of all processes.
    pub fn logs(&self) -> String {
        let mut text = String::new();
        for entry in std::fs::read_dir(self.folder.path()).unwrap() {
            let path = entry.unwrap().path();
            if path.extension().is_some_and(|kind| kind == "log") {
                let log = std::fs::read_to_string(&path).unwrap_or_default();
                text += &format!("--- {}\n{log}", path.display());
            }
        }
        text
    }

    /// Waits until each daemon serves a statement of the first team.
    pub async fn wait_for_daemons(&self) {
        for index in 0..self.daemons.len() {
            self.wait_until("a daemon serves", async || {
                match self.try_connect(index).await {
                    Ok(client) => client.simple_query("SELECT 1").await.is_ok(),
                    Err(_) => false,
                }
            })
            .await;
        }
    }

    /// Polls a condition until it holds; fails the test after the last attempt.
    pub async fn wait_until(&self, what: &str, condition: impl AsyncFn() -> bool) {
        assert!(
            self.reached(condition).await,
            "{what} did not happen\n{}",
            self.logs()
        );
    }

    /// Polls a condition and returns whether it became true.
    pub async fn reached(&self, condition: impl AsyncFn() -> bool) -> bool {
        for _ in 0..START_ATTEMPTS {
            if condition().await {
                return true;
            }
            tokio::time::sleep(START_PAUSE).await;
        }
        false
    }
}
