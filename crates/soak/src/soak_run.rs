//! Runs one seed.

use std::collections::HashMap;
use std::fmt;
use std::io;
use std::net::SocketAddr;
use std::path::PathBuf;
use std::sync::Arc;
use std::sync::Mutex as StdMutex;
use std::sync::PoisonError;
use std::time::Duration;
use std::time::Instant;

use standins::free_ports::free_tcp;
use standins::platform::daemon_process::DaemonPlan;
use standins::platform::daemon_process::DaemonProcess;
use standins::platform::line_caller::LineCaller;
use standins::platform::platform_handle::PlatformHandle;
use standins::platform::sample_configuration::SampleTeam;
use standins::platform::sample_configuration::sample_configuration;
use tokio::sync::Mutex;
use tokio::sync::watch;
use tokio::task::JoinSet;

use crate::fault_schedule;
use crate::guarantee_checks::GuaranteeViolation;
use crate::guarantee_checks::check_guarantees;
use crate::link_proxy::LinkProxy;
use crate::observed_history::KeyGap;
use crate::observed_history::ObservedHistory;
use crate::soak_callers::CallerKind;
use crate::soak_callers::SoakCaller;
use crate::soak_callers::lock;
use crate::soak_faults;

const SERVICE: &str = "orders";

/// The team of most callers, and the one whose key is withdrawn and whose rate is scarce.
const USUAL_TEAM: (&str, &str, u32) = ("studio", "k-studio", 4_000);
const SCARCE_TEAM: (&str, &str, u32) = ("press", "k-press", 40);

/// How long after the last fault everything must be served again: the bound of the users' platform.
const RECOVERY_TIME: Duration = Duration::from_secs(12);

/// The longest time to the first service of a run.
const START_TIME: Duration = Duration::from_secs(20);

/// Pause between two looks at whether an instance serves.
const SERVICE_PAUSE: Duration = Duration::from_millis(50);

/// What is run.
#[derive(Debug, Clone)]
pub struct SoakPlan {
    /// The program of the daemon.
    pub program: PathBuf,
    /// Decides the faults and what callers do.
    pub seed: u64,
    /// How many instances.
    pub instances: usize,
    /// How many callers of each kind.
    pub callers: usize,
    /// How long faults begin.
    pub time: Duration,
    /// Where settings and logs lie.
    pub folder: PathBuf,
}

/// What came of a run.
#[derive(Debug)]
pub struct SoakVerdict {
    /// Promises that were not kept.
    pub broken: Vec<GuaranteeViolation>,
    /// Requests that were served.
    pub served: u64,
    /// Requests that were refused or not answered.
    pub failed: u64,
    /// Promotions that were ordered.
    pub promotions: usize,
    /// How long it took until everything was served again.
    pub recovered_in: Duration,
}

impl fmt::Display for SoakVerdict {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(
            f,
            "{} served, {} not, {} promotions, served again after {} ms, {} promises broken",
            self.served,
            self.failed,
            self.promotions,
            self.recovered_in.as_millis(),
            self.broken.len()
        )
    }
}

/// The fleet of a run.
pub(crate) struct SoakFleet {
    pub platform: PlatformHandle,
    pub processes: Vec<Mutex<DaemonProcess>>,
    pub store_links: Vec<LinkProxy>,
    pub endpoint_links: Vec<(String, LinkProxy)>,
    /// Held while an endpoint is dark.
    pub dark: Mutex<()>,
    /// Held while the scarce team has no key.
    withdrawing: Mutex<()>,
    version: StdMutex<(u64, bool)>,
    history: Arc<StdMutex<ObservedHistory>>,
}

impl SoakFleet {
    async fn start(plan: &SoakPlan) -> io::Result<Self> {
        let platform = PlatformHandle::start(SERVICE).await?;
        let targets: Vec<(String, SocketAddr)> = {
            let group = platform.shared.group();
            let endpoints = group.endpoints.iter();
            endpoints.map(|(id, e)| (id.clone(), e.address)).collect()
        };
        let mut endpoint_links = Vec::new();
        for (id, target) in targets {
            let link = LinkProxy::start(target).await?;
            platform.change_group(|group| {
                if let Some(endpoint) = group.endpoints.get_mut(&id) {
                    endpoint.address = link.address;
                }
            });
            endpoint_links.push((id, link));
        }
        endpoint_links.sort_by(|(one, _), (other, _)| one.cmp(other));
        let mut store_links = Vec::new();
        let mut processes = Vec::new();
        for number in 0..plan.instances {
            let ports = free_tcp(3);
            let link = LinkProxy::start(platform.address).await?;
            let process = DaemonPlan {
                program: plan.program.clone(),
                folder: plan.folder.clone(),
                number,
                processor: if number % 4 == 0 { 0.5 } else { 0.08 },
                ports: [ports[0], ports[1], ports[2]],
                store: link.address,
                duties: link.address,
            };
            processes.push(Mutex::new(DaemonProcess::start(&process)?));
            store_links.push(link);
        }
        let fleet = Self {
            platform,
            processes,
            store_links,
            endpoint_links,
            dark: Mutex::default(),
            withdrawing: Mutex::default(),
            version: StdMutex::default(),
            history: Arc::default(),
        };
        fleet.configure(true);
        Ok(fleet)
    }

    /// Accepts a new configuration, with or without the key of the scarce team where it is not
    /// withdrawn already.
    pub fn configure(&self, with_key: bool) {
        let mut known = self.version.lock().unwrap_or_else(PoisonError::into_inner);
        let (version, withdrawn) = *known;
        let keys = |key: &str| vec![key.to_owned()];
        let team = |(name, key, rate): (&str, &str, u32), present: bool| SampleTeam {
            name: name.to_owned(),
            keys: if present { keys(key) } else { Vec::new() },
            rate,
        };
        let present = with_key && !withdrawn;
        let teams = [team(USUAL_TEAM, true), team(SCARCE_TEAM, present)];
        known.0 = version + 1;
        self.platform
            .configure(&sample_configuration(version + 1, SERVICE, &teams));
    }

    /// Withdraws the key of the scarce team for a while.
    pub async fn withdraw_key(&self, length: Duration) {
        let _one = self.withdrawing.lock().await;
        let set = |withdrawn: bool| {
            let mut known = self.version.lock().unwrap_or_else(PoisonError::into_inner);
            known.1 = withdrawn;
        };
        set(true);
        self.configure(false);
        lock(&self.history).key_gaps.push(KeyGap {
            team: SCARCE_TEAM.0.to_owned(),
            from: Instant::now(),
            to: None,
        });
        tokio::time::sleep(length * 2).await;
        if let Some(gap) = lock(&self.history).key_gaps.last_mut() {
            gap.to = Some(Instant::now());
        }
        set(false);
        self.configure(true);
    }

    pub fn complain(&self, complaint: String) {
        lock(&self.history).complains(complaint);
    }

    async fn addresses(&self) -> Vec<SocketAddr> {
        let mut addresses = Vec::new();
        for process in &self.processes {
            addresses.push(process.lock().await.callers);
        }
        addresses
    }

    /// Waits until each instance serves reads and writes; returns those that do not in time.
    async fn await_service(&self, time: Duration) -> Vec<SocketAddr> {
        let mut waiting = JoinSet::new();
        for address in self.addresses().await {
            let history = Arc::clone(&self.history);
            waiting.spawn(async move {
                let served = async {
                    while !serves(address, &history).await {
                        tokio::time::sleep(SERVICE_PAUSE).await;
                    }
                };
                let in_time = tokio::time::timeout(time, served).await.is_ok();
                (!in_time).then_some(address)
            });
        }
        waiting.join_all().await.into_iter().flatten().collect()
    }

    async fn check_processes(&self) -> io::Result<()> {
        for (number, process) in self.processes.iter().enumerate() {
            if let Some(status) = process.lock().await.exit_status()? {
                self.complain(format!("instance {number} ended by itself: {status}"));
            }
        }
        Ok(())
    }
}

async fn serves(address: SocketAddr, history: &StdMutex<ObservedHistory>) -> bool {
    for (database, text) in [("linear", "WRITE probe 1"), ("bounded", "READ probe")] {
        let Ok(mut caller) = LineCaller::try_open(address, database, USUAL_TEAM.1).await else {
            return false;
        };
        lock(history).sends(caller.next_id(), USUAL_TEAM.0, "");
        if !caller.try_request(text).await.is_ok_and(|a| a.succeeded()) {
            return false;
        }
    }
    true
}

/// Runs a seed.
///
/// # Errors
///
/// Fails where the run itself cannot be done, whatever the daemon does.
pub async fn run_seed(plan: &SoakPlan) -> io::Result<SoakVerdict> {
    let fleet = Arc::new(SoakFleet::start(plan).await?);
    let late = fleet.await_service(START_TIME).await;
    if !late.is_empty() {
        fleet.complain(format!("{late:?} did not serve in {START_TIME:?}"));
    }
    let stop = watch::Sender::new(false);
    let mut callers = JoinSet::new();
    let addresses = fleet.addresses().await;
    let kinds = [CallerKind::Writer, CallerKind::Reader, CallerKind::Greedy];
    for number in 0..plan.callers * kinds.len() {
        let kind = kinds[number / plan.callers];
        let (team, key, _) = match kind {
            CallerKind::Greedy => SCARCE_TEAM,
            CallerKind::Writer | CallerKind::Reader => USUAL_TEAM,
        };
        let caller = SoakCaller {
            kind,
            number,
            writers: plan.callers,
            team: (team.to_owned(), key.to_owned()),
            addresses: addresses.clone(),
            history: Arc::clone(&fleet.history),
            planned: fault_schedule::is_planned(plan.seed),
            seed: plan.seed.wrapping_mul(1_000).wrapping_add(number as u64),
        };
        callers.spawn(caller.run(stop.subscribe()));
    }
    let endpoints = fleet.endpoint_links.len();
    let faults = fault_schedule::draw_faults(plan.seed, plan.instances, endpoints, plan.time);
    soak_faults::play_faults(&fleet, &faults).await?;
    let healed_at = Instant::now();
    let late = fleet.await_service(RECOVERY_TIME).await;
    if !late.is_empty() {
        fleet.complain(format!("{late:?} did not serve again in {RECOVERY_TIME:?}"));
    }
    let recovered_in = healed_at.elapsed();
    stop.send_replace(true);
    callers.join_all().await;
    fleet.check_processes().await?;
    let rates = [USUAL_TEAM, SCARCE_TEAM].map(|(team, _, rate)| (team.to_owned(), rate));
    let history = lock(&fleet.history);
    let group = fleet.platform.shared.group();
    Ok(SoakVerdict {
        broken: check_guarantees(&history, &group, &HashMap::from(rates)),
        served: history.served,
        failed: history.failed,
        promotions: group.promotions.len(),
        recovered_in,
    })
}
