//! Runs one seed: starts the fleet and the callers, injects the faults and checks the guarantees.

use std::collections::HashMap;
use std::fmt;
use std::io;
use std::net::SocketAddr;
use std::path::PathBuf;
use std::sync::Arc;
use std::sync::Mutex as StdMutex;
use std::sync::MutexGuard;
use std::sync::PoisonError;
use std::sync::atomic::AtomicUsize;
use std::sync::atomic::Ordering;
use std::time::Duration;
use std::time::Instant;

use standins::free_ports::free_tcp;
use standins::free_ports::free_tcp_pair;
use standins::platform::answer_faults::AnswerFaults;
use standins::platform::daemon_process::DaemonPlan;
use standins::platform::daemon_process::DaemonProcess;
use standins::platform::daemon_process::MachineLimits;
use standins::platform::group_state::DEFAULT_ZONE;
use standins::platform::line_caller::LineCaller;
use standins::platform::platform_handle::FIRST_ERAS;
use standins::platform::platform_handle::PlatformHandle;
use standins::platform::sample_configuration::SampleTeam;
use standins::platform::sample_configuration::add_routes;
use standins::platform::sample_configuration::sample_configuration;
use standins::platform::sample_configuration::set_cold_rate;
use tokio::sync::Mutex;
use tokio::sync::watch;
use tokio::task::JoinSet;

use crate::fault_schedule;
use crate::fault_schedule::ScheduleKind;
use crate::guarantee_checks::COLD_RATE;
use crate::guarantee_checks::GuaranteeViolation;
use crate::guarantee_checks::check_guarantees;
use crate::link_proxy::LinkProxy;
use crate::observed_history::ColdSpell;
use crate::observed_history::KeyGap;
use crate::observed_history::ObservedHistory;
use crate::observed_history::ObservedRequest;
use crate::observed_history::ZoneEvacuation;
use crate::soak_callers::CallerKind;
use crate::soak_callers::SoakCaller;
use crate::soak_callers::lock;
use crate::soak_faults;

const SERVICE: &str = "orders";

/// Availability zones of a run with evacuations.
pub(crate) const ZONES: [&str; 3] = ["zone-a", "zone-b", "zone-c"];

/// Time in which the settings require an evacuated zone to be left, in milliseconds.
const EVACUATION_MS: u64 = 5_000;

/// Name, key and rate per second of the team that most callers use.
const DEFAULT_TEAM: (&str, &str, u32) = ("studio", "k-studio", 4_000);

/// Name, key and rate per second of the team whose callers exceed its rate and whose key is
/// withdrawn.
const LIMITED_TEAM: (&str, &str, u32) = ("press", "k-press", 40);

/// Time after the last fault within which all instances must serve again. The limit comes from the
/// users' platform.
const RECOVERY_TIMEOUT: Duration = Duration::from_secs(12);

/// Time after the acceptance of a configuration within which all instances must serve its routes, once
/// no fault has ended for some seconds. Both times come from the users' platform.
const APPLY_TIMEOUT: Duration = Duration::from_secs(3 + 4);

/// Database that the last configuration of a run adds.
const ADDED_DATABASE: &str = "database-0";

/// Time after the start of a run within which all instances must serve.
const START_TIMEOUT: Duration = Duration::from_secs(20);

/// Time between a promotion request and its effect in runs with changes of the group. The time comes
/// from the users' platform.
const CHANGE_PROMOTION_TIME: Duration = Duration::from_millis(1_000);

/// Replication delay of replicas in such runs. The time comes from the users' platform.
const CHANGE_LAG: Duration = Duration::from_millis(60);

/// Time until a command that resumes a replica takes effect in such runs, as over a slow link.
const CHANGE_RESUME_DELAY: Duration = Duration::from_millis(400);

/// Number in the id of the first endpoint that joins during a run.
const FIRST_JOINING_ENDPOINT: usize = 4;

/// Time for which endpoints of a lost zone are cold once it is back.
const COLD_TIME: Duration = Duration::from_millis(8_000);

/// Time after which every instance that uses an endpoint knows that it is cold: the maximum age of a
/// view, and a margin for statements in transit.
const COLD_KNOWN_TIME: Duration = Duration::from_millis(4_300);

/// Pause between two checks of whether an instance serves.
const PROBE_PAUSE: Duration = Duration::from_millis(50);

/// Parameters of a run.
#[derive(Debug, Clone)]
pub struct SoakPlan {
    /// Path of the daemon's program.
    pub program: PathBuf,
    /// Seed of the faults and of the callers' operations.
    pub seed: u64,
    /// What the run injects.
    pub kind: ScheduleKind,
    /// Number of daemon instances.
    pub instances: usize,
    /// Number of callers of each kind.
    pub callers: usize,
    /// Number of connections that each endpoint accepts by the configuration, if it is not the
    /// default. With fewer than instances, they share connections.
    pub connections: Option<u32>,
    /// Whether endpoints send answers twice, in pieces, cut off or not at all.
    pub answer_faults: bool,
    /// Whether callers send hostile texts, send requests ahead and leave at any time.
    pub hostile: bool,
    /// Time during which faults begin.
    pub fault_time: Duration,
    /// Directory for the settings and logs of the instances.
    pub folder: PathBuf,
}

/// Result of a run.
#[derive(Debug)]
pub struct SoakVerdict {
    /// Violated guarantees.
    pub violations: Vec<GuaranteeViolation>,
    /// Number of requests that succeeded.
    pub served: u64,
    /// Number of requests that were refused or not answered.
    pub failed: u64,
    /// Number of promotions that the platform received.
    pub promotions: usize,
    /// Number of answers that endpoints sent twice.
    pub copied_answers: u64,
    /// Number of answers that endpoints did not send or cut off.
    pub broken_answers: u64,
    /// Time from the end of the last fault until all instances served again.
    pub recovered_in: Duration,
}

impl fmt::Display for SoakVerdict {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(
            f,
            "{} served, {} not, {} promotions, {} answers copied, {} broken, \
             served again after {} ms, {} promises broken",
            self.served,
            self.failed,
            self.promotions,
            self.copied_answers,
            self.broken_answers,
            self.recovered_in.as_millis(),
            self.violations.len()
        )
    }
}

/// The platform, the daemon processes and the links of a run.
pub(crate) struct SoakFleet {
    pub kind: ScheduleKind,
    connections: Option<u32>,
    pub platform: PlatformHandle,
    pub processes: Vec<Mutex<DaemonProcess>>,
    pub store_links: Vec<LinkProxy>,
    endpoint_links: StdMutex<Vec<(String, LinkProxy)>>,
    /// Held during a fault that silences an endpoint, so that these faults do not overlap.
    pub endpoint_silence: Mutex<()>,
    /// Held while an availability zone is evacuated, by the number of the zone.
    pub evacuations: [Mutex<()>; ZONES.len()],
    /// Held while a zone is lost and until its endpoints are warm again, by the number of the zone.
    pub zone_losses: [Mutex<()>; ZONES.len()],
    /// Held while an endpoint is replaced.
    pub releases: Mutex<()>,
    /// Number in the id of the next endpoint that joins.
    next_endpoint: AtomicUsize,
    /// Held while the key of the limited team is withdrawn.
    key_withdrawal: Mutex<()>,
    /// Version of the newest configuration, and whether the key of the limited team is withdrawn.
    configuration: StdMutex<(u64, bool)>,
    history: Arc<StdMutex<ObservedHistory>>,
}

/// Returns the era in which the store of a run begins. It is drawn from the seed alone, so that the other
/// draws of a seed stay as they were.
fn first_era(seed: u64) -> u64 {
    let count = FIRST_ERAS.len() as u64;
    FIRST_ERAS[(seed % count) as usize]
}

impl SoakFleet {
    async fn start(plan: &SoakPlan) -> io::Result<Self> {
        let platform = PlatformHandle::start_in_era(SERVICE, first_era(plan.seed)).await?;
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
        if plan.kind == ScheduleKind::Evacuations {
            platform.spread_over_zones(&ZONES);
        }
        let mut store_links = Vec::new();
        let mut processes = Vec::new();
        for number in 0..plan.instances {
            let ports = free_tcp(2);
            let [peers, _links] = free_tcp_pair();
            let link = LinkProxy::start(platform.address).await?;
            let process = DaemonPlan {
                program: plan.program.clone(),
                folder: plan.folder.clone(),
                number,
                zone: instance_zone(plan.kind, number).to_owned(),
                evacuation_ms: (plan.kind == ScheduleKind::Evacuations).then_some(EVACUATION_MS),
                cpu_share: if number % 4 == 0 { 0.5 } else { 0.08 },
                ports: [ports[0], ports[1], peers],
                store_address: link.address,
                promotion_address: link.address,
                limits: MachineLimits::default(),
            };
            processes.push(Mutex::new(DaemonProcess::start(&process)?));
            store_links.push(link);
        }
        if matches!(plan.kind, ScheduleKind::Changes | ScheduleKind::Releases) {
            platform.change_group(|group| {
                group.lag = CHANGE_LAG;
                group.promotion_time = CHANGE_PROMOTION_TIME;
                group.resume_delay = CHANGE_RESUME_DELAY;
            });
        }
        let fleet = Self {
            kind: plan.kind,
            connections: plan.connections,
            platform,
            processes,
            store_links,
            endpoint_links: StdMutex::new(endpoint_links),
            endpoint_silence: Mutex::default(),
            evacuations: Default::default(),
            zone_losses: Default::default(),
            releases: Mutex::default(),
            next_endpoint: AtomicUsize::new(FIRST_JOINING_ENDPOINT),
            key_withdrawal: Mutex::default(),
            configuration: StdMutex::default(),
            history: Arc::default(),
        };
        fleet.configure(true);
        Ok(fleet)
    }

    /// Submits the next version of the configuration. It has the key of the limited team only if
    /// `with_key` is set and the key is not withdrawn.
    pub fn configure(&self, with_key: bool) {
        let mut configuration = self
            .configuration
            .lock()
            .unwrap_or_else(PoisonError::into_inner);
        let (version, withdrawn) = *configuration;
        let keys = |key: &str| vec![key.to_owned()];
        let team = |(name, key, rate): (&str, &str, u32), present: bool| SampleTeam {
            name: name.to_owned(),
            keys: if present { keys(key) } else { Vec::new() },
            rate,
        };
        let present = with_key && !withdrawn;
        let teams = [team(DEFAULT_TEAM, true), team(LIMITED_TEAM, present)];
        configuration.0 = version + 1;
        let mut accepted = sample_configuration(version + 1, SERVICE, &teams);
        if let Some(connections) = self.connections {
            accepted["Services"][0]["MaxConnections"] = connections.into();
        }
        if self.kind == ScheduleKind::Evacuations {
            set_cold_rate(&mut accepted, COLD_RATE);
        }
        self.platform.configure(&accepted);
    }

    /// Withdraws the key of the limited team for twice `duration`.
    pub async fn withdraw_key(&self, duration: Duration) {
        let _guard = self.key_withdrawal.lock().await;
        let set = |withdrawn: bool| {
            let mut configuration = self
                .configuration
                .lock()
                .unwrap_or_else(PoisonError::into_inner);
            configuration.1 = withdrawn;
        };
        set(true);
        self.configure(false);
        lock(&self.history).key_gaps.push(KeyGap {
            team: LIMITED_TEAM.0.to_owned(),
            from: Instant::now(),
            to: None,
        });
        tokio::time::sleep(duration * 2).await;
        if let Some(gap) = lock(&self.history).key_gaps.last_mut() {
            gap.to = Some(Instant::now());
        }
        set(false);
        self.configure(true);
    }

    /// Evacuates an availability zone for some time.
    pub async fn evacuate_zone(&self, number: usize, duration: Duration) {
        let _guard = self.evacuations[number].lock().await;
        let zone = ZONES[number];
        self.platform.evacuate_zone(zone);
        let evacuation = ZoneEvacuation {
            zone: zone.to_owned(),
            from: Instant::now(),
            to: None,
        };
        lock(&self.history).evacuations.push(evacuation);
        tokio::time::sleep(duration).await;
        let removed_at = Instant::now();
        for evacuation in &mut lock(&self.history).evacuations {
            if evacuation.zone == zone {
                evacuation.to.get_or_insert(removed_at);
            }
        }
        self.platform.end_evacuation(zone);
    }

    /// Lets endpoints be cold, as after a start, and waits until they are warm.
    pub async fn chill(&self, ids: &[String]) {
        let set = |time: Duration| {
            self.platform.change_group(|group| {
                for id in ids {
                    if let Some(endpoint) = group.endpoints.get_mut(id) {
                        endpoint.cold_ms = time.as_millis() as u64;
                    }
                }
            });
        };
        set(COLD_TIME);
        let known_at = Instant::now() + COLD_KNOWN_TIME;
        tokio::time::sleep(COLD_TIME).await;
        let warm_at = Instant::now();
        set(Duration::ZERO);
        for id in ids {
            lock(&self.history).cold_spells.push(ColdSpell {
                endpoint: id.clone(),
                from: known_at,
                to: warm_at,
            });
        }
    }

    /// Returns the ids and the links of the endpoints of an availability zone.
    pub fn zone_endpoints(&self, number: usize) -> Vec<(String, LinkProxy)> {
        let group = self.platform.shared.group();
        let is_inside = |id: &str| {
            let endpoint = group.endpoints.get(id);
            endpoint.is_some_and(|endpoint| endpoint.zone == ZONES[number])
        };
        let links = self.links();
        links
            .iter()
            .filter(|(id, _)| is_inside(id))
            .cloned()
            .collect()
    }

    fn links(&self) -> MutexGuard<'_, Vec<(String, LinkProxy)>> {
        let links = self.endpoint_links.lock();
        links.unwrap_or_else(PoisonError::into_inner)
    }

    /// Returns the id and the link of the endpoint with this number, modulo the number of endpoints.
    pub fn endpoint_link(&self, number: usize) -> (String, LinkProxy) {
        let links = self.links();
        links[number % links.len()].clone()
    }

    /// Starts an endpoint that joins the group as a replica, and returns its id.
    ///
    /// # Errors
    ///
    /// Returns an error if an address cannot be bound.
    pub async fn add_endpoint(&self) -> io::Result<String> {
        let number = self.next_endpoint.fetch_add(1, Ordering::Relaxed);
        let id = format!("db-{number}");
        let target = self.platform.serve_endpoint(&id).await?;
        let link = LinkProxy::start(target).await?;
        self.platform
            .change_group(|group| group.join(&id, link.address));
        self.links().push((id.clone(), link));
        Ok(id)
    }

    /// Replaces an endpoint by one at its address and with its log, which registers after `delay`.
    pub async fn replace_endpoint(&self, id: &str, delay: Duration) {
        let number = self.next_endpoint.fetch_add(1, Ordering::Relaxed);
        let successor = format!("db-{number}");
        for (linked, _) in self.links().iter_mut() {
            if linked == id {
                linked.clone_from(&successor);
            }
        }
        self.platform.replace_in_place(id, &successor);
        tokio::time::sleep(delay).await;
        self.platform.register(&successor);
    }

    /// Ends an endpoint and its link.
    pub fn remove_endpoint(&self, id: &str) {
        self.platform.remove_endpoint(id);
        self.links().retain(|(other, _)| other != id);
    }

    pub fn report_violation(&self, violation: String) {
        lock(&self.history).record_violation(violation);
    }

    async fn addresses(&self) -> Vec<SocketAddr> {
        let mut addresses = Vec::new();
        for process in &self.processes {
            addresses.push(process.lock().await.callers);
        }
        addresses
    }

    /// Waits until each instance serves reads and writes. Returns the addresses of those that do
    /// not within `timeout`.
    async fn await_service(&self, timeout: Duration) -> Vec<SocketAddr> {
        let mut probes = JoinSet::new();
        for address in self.addresses().await {
            let history = Arc::clone(&self.history);
            probes.spawn(async move {
                let served = async {
                    while !is_serving(address, &history).await {
                        tokio::time::sleep(PROBE_PAUSE).await;
                    }
                };
                let in_time = tokio::time::timeout(timeout, served).await.is_ok();
                (!in_time).then_some(address)
            });
        }
        probes.join_all().await.into_iter().flatten().collect()
    }

    /// Installs a configuration with another route, and reports the instances that do not serve it within
    /// [`APPLY_TIMEOUT`].
    async fn check_configuration(&self) {
        {
            let mut configuration = self
                .configuration
                .lock()
                .unwrap_or_else(PoisonError::into_inner);
            configuration.0 += 1;
            let team = SampleTeam {
                name: DEFAULT_TEAM.0.to_owned(),
                keys: vec![DEFAULT_TEAM.1.to_owned()],
                rate: DEFAULT_TEAM.2,
            };
            let mut accepted = sample_configuration(configuration.0, SERVICE, &[team]);
            add_routes(&mut accepted, SERVICE, 1);
            self.platform.configure(&accepted);
        }
        let end = Instant::now() + APPLY_TIMEOUT;
        for address in self.addresses().await {
            let key = DEFAULT_TEAM.1;
            let mut opened = LineCaller::try_open(address, ADDED_DATABASE, key).await;
            while opened.is_err() && Instant::now() < end {
                tokio::time::sleep(PROBE_PAUSE).await;
                opened = LineCaller::try_open(address, ADDED_DATABASE, key).await;
            }
            if let Err(error) = opened {
                self.report_violation(format!("{address} does not serve an added route: {error}"));
            }
        }
    }

    /// Waits until the group has a primary, since a change may be under way, or until `timeout`.
    async fn await_primary(&self, timeout: Duration) {
        let led = async {
            while self.platform.shared.group().primary().is_none() {
                tokio::time::sleep(PROBE_PAUSE).await;
            }
        };
        // A group without a primary is reported by the checks.
        let _ = tokio::time::timeout(timeout, led).await;
    }

    /// Reports a violation for each process that has exited without being stopped.
    async fn check_processes(&self) -> io::Result<()> {
        for (number, process) in self.processes.iter().enumerate() {
            if let Some(status) = process.lock().await.exit_status()? {
                self.report_violation(format!("instance {number} ended unexpectedly: {status}"));
            }
        }
        Ok(())
    }
}

/// Returns the availability zone of an instance.
pub(crate) fn instance_zone(kind: ScheduleKind, number: usize) -> &'static str {
    match kind {
        ScheduleKind::Evacuations => ZONES[number % ZONES.len()],
        _ => DEFAULT_ZONE,
    }
}

/// Returns whether an instance serves one write and one read.
async fn is_serving(address: SocketAddr, history: &StdMutex<ObservedHistory>) -> bool {
    for (database, text) in [("linear", "WRITE probe 1"), ("bounded", "READ probe")] {
        let Ok(mut caller) = LineCaller::try_open(address, database, DEFAULT_TEAM.1).await else {
            return false;
        };
        let request = ObservedRequest::new(DEFAULT_TEAM.0, text);
        lock(history).record_request(caller.next_id(), request);
        if !caller.try_request(text).await.is_ok_and(|a| a.succeeded()) {
            return false;
        }
    }
    true
}

/// Runs a seed and returns its verdict.
///
/// # Errors
///
/// Returns an error if the run itself fails, for example because a process cannot be started.
/// Failures of the daemon are reported as violations in the verdict.
pub async fn run_seed(plan: &SoakPlan) -> io::Result<SoakVerdict> {
    let fleet = Arc::new(SoakFleet::start(plan).await?);
    let unserved = fleet.await_service(START_TIMEOUT).await;
    if !unserved.is_empty() {
        fleet.report_violation(format!("{unserved:?} did not serve in {START_TIMEOUT:?}"));
    }
    let stop = watch::Sender::new(false);
    let mut callers = JoinSet::new();
    let addresses = fleet.addresses().await;
    let kinds = [CallerKind::Writer, CallerKind::Reader, CallerKind::Greedy];
    for number in 0..plan.callers * kinds.len() {
        let kind = kinds[number / plan.callers];
        let (team, key, _) = match kind {
            CallerKind::Greedy => LIMITED_TEAM,
            CallerKind::Writer | CallerKind::Reader => DEFAULT_TEAM,
        };
        let caller = SoakCaller {
            kind,
            number,
            writers: plan.callers,
            team: (team.to_owned(), key.to_owned()),
            addresses: addresses.clone(),
            history: Arc::clone(&fleet.history),
            planned: plan.kind == ScheduleKind::Planned,
            hostile: plan.hostile,
            seed: plan.seed.wrapping_mul(1_000).wrapping_add(number as u64),
        };
        callers.spawn(caller.run(stop.subscribe()));
    }
    let endpoints = fleet.links().len();
    let mut faults = fault_schedule::draw_faults(
        plan.kind,
        plan.seed,
        plan.instances,
        endpoints,
        plan.fault_time,
    );
    if plan.answer_faults {
        fleet.platform.shared.group().answer_faults = AnswerFaults::new(plan.seed);
        let drawn = fault_schedule::draw_answer_faults(plan.kind, plan.seed, plan.fault_time);
        faults.extend(drawn);
        faults.sort_by_key(|fault| fault.starts_after);
    }
    soak_faults::inject_faults(&fleet, &faults).await?;
    let faults_ended_at = Instant::now();
    let unserved = fleet.await_service(RECOVERY_TIMEOUT).await;
    if !unserved.is_empty() {
        fleet.report_violation(format!(
            "{unserved:?} did not serve again in {RECOVERY_TIMEOUT:?}"
        ));
    }
    let recovered_in = faults_ended_at.elapsed();
    stop.send_replace(true);
    callers.join_all().await;
    fleet.check_configuration().await;
    fleet.check_processes().await?;
    // A change of the primary may take effect at any time, also during the checks before.
    fleet.await_primary(RECOVERY_TIMEOUT).await;
    let rates = [DEFAULT_TEAM, LIMITED_TEAM].map(|(team, _, rate)| (team.to_owned(), rate));
    let history = lock(&fleet.history);
    let group = fleet.platform.shared.group();
    Ok(SoakVerdict {
        violations: check_guarantees(&history, &group, &HashMap::from(rates)),
        served: history.served,
        failed: history.failed,
        promotions: group.promotions.len(),
        copied_answers: group.answer_faults.copied,
        broken_answers: group.answer_faults.broken,
        recovered_in,
    })
}
