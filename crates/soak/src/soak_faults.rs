//! Injects the faults of a schedule into a fleet.

use std::io;
use std::sync::Arc;
use std::time::Duration;
use std::time::Instant;

use standins::platform::platform_handle::PlatformHandle;
use standins::platform::store_state::StoreFault;
use tokio::task::JoinSet;

use crate::fault_schedule::EndpointChoice;
use crate::fault_schedule::ProcessFault;
use crate::fault_schedule::ScheduleKind;
use crate::fault_schedule::ScheduledFault;
use crate::fault_schedule::SoakFault;
use crate::fault_schedule::ZoneLoss;
use crate::link_proxy::LinkFault;
use crate::link_proxy::LinkProxy;
use crate::soak_run::SoakFleet;
use crate::soak_run::ZONES;
use crate::soak_run::instance_zone;

/// Time within which a process must exit after SIGTERM: its grace time and a margin.
const EXIT_TIMEOUT: Duration = Duration::from_millis(5_000);

/// Pause between two checks of whether a terminated process has exited.
const EXIT_CHECK_PAUSE: Duration = Duration::from_millis(20);

/// Time between killing a process and restarting it.
const RESTART_DELAY: Duration = Duration::from_millis(200);

/// Time within which a draining primary must be replaced after its drain, with faults that last a few
/// seconds each.
const REPLACEMENT_TIMEOUT: Duration = Duration::from_secs(20);

/// Maximum silence of an endpoint beside changes of the group: shorter than the time after which an
/// endpoint without a registry entry counts as gone, since its log would then be lost by right.
const SHORT_SILENCE: Duration = Duration::from_millis(2_000);

/// Number of configurations that the store loses in a drill, beside what else was written. Until as many
/// changes were made again, it gives revision numbers out that it had given out before.
const LOST_CONFIGURATIONS: u32 = 60;

/// Longest time for which the store is away in a drill.
const DRILL_TIME: Duration = Duration::from_millis(1_500);

/// Time for which the store does changes late.
const LATE_CHANGES_TIME: Duration = Duration::from_millis(800);

/// Time before a replica leaves in which the others receive nothing.
const DEAF_BEFORE: Duration = Duration::from_millis(800);

/// Time after a replica has left for which the others receive nothing.
const DEAF_AFTER: Duration = Duration::from_millis(5_500);

/// Time within which a promotion request is awaited.
const CHANGE_TIMEOUT: Duration = Duration::from_millis(5_000);

/// Time in which a reset of links takes effect.
const RESET_TIME: Duration = Duration::from_millis(50);

/// Replication delay of replicas without a lag fault.
pub const DEFAULT_LAG: Duration = Duration::from_millis(20);

/// Injects the faults at their scheduled times and returns when all have ended.
///
/// # Errors
///
/// Returns an error if a process cannot be started or a signal cannot be sent.
pub async fn inject_faults(fleet: &Arc<SoakFleet>, faults: &[ScheduledFault]) -> io::Result<()> {
    let started_at = Instant::now();
    let mut running = JoinSet::new();
    for fault in faults {
        tokio::time::sleep(fault.starts_after.saturating_sub(started_at.elapsed())).await;
        let fleet = Arc::clone(fleet);
        let fault = *fault;
        running.spawn(async move { fleet.inject(fault).await });
    }
    while let Some(result) = running.join_next().await {
        result.map_err(io::Error::other)??;
    }
    Ok(())
}

impl SoakFleet {
    async fn inject(&self, scheduled: ScheduledFault) -> io::Result<()> {
        let duration = scheduled.duration;
        match scheduled.fault {
            SoakFault::Process(instance, fault) => {
                self.inject_process_fault(instance, fault, duration).await
            }
            SoakFault::KillAll => {
                let mut processes = Vec::new();
                for process in &self.processes {
                    processes.push(process.lock().await);
                }
                processes.iter_mut().for_each(|process| process.kill());
                tokio::time::sleep(RESTART_DELAY).await;
                processes
                    .iter_mut()
                    .try_for_each(|process| process.restart())
            }
            SoakFault::StoreLink(instance, fault) => {
                let link = &self.store_links[instance];
                link.set_fault(fault);
                tokio::time::sleep(duration).await;
                link.set_fault(LinkFault::None);
                Ok(())
            }
            SoakFault::EndpointLink(endpoint, fault) => {
                let link = self.endpoint_link(endpoint).1;
                link.set_fault(fault);
                tokio::time::sleep(duration).await;
                link.set_fault(LinkFault::None);
                Ok(())
            }
            SoakFault::StoreReset(instance) => {
                self.store_links[instance].reset();
                Ok(())
            }
            SoakFault::EndpointReset(endpoint) => {
                self.endpoint_link(endpoint).1.reset();
                Ok(())
            }
            SoakFault::EndpointSilent(endpoint) => {
                // Only one endpoint at a time: two silent endpoints of three may hold the only
                // copies of a commit.
                let _guard = self.endpoint_silence.lock().await;
                let duration = match self.kind {
                    ScheduleKind::Changes | ScheduleKind::Releases => duration.min(SHORT_SILENCE),
                    ScheduleKind::Faults
                    | ScheduleKind::Planned
                    | ScheduleKind::Evacuations
                    | ScheduleKind::Drills => duration,
                };
                let id = &self.endpoint_link(endpoint).0;
                self.platform.change_group(|group| {
                    if let Some(endpoint) = group.endpoints.get_mut(id) {
                        endpoint.alive = false;
                    }
                });
                tokio::time::sleep(duration).await;
                self.platform.change_group(|group| group.revive(id));
                Ok(())
            }
            SoakFault::Release(choice) => self.release(choice, duration).await,
            SoakFault::ReleaseInPlace(number, delay) => {
                let id = self.endpoint_link(number).0;
                self.set_draining(&id, true);
                tokio::time::sleep(duration).await;
                self.replace_endpoint(&id, delay).await;
                Ok(())
            }
            SoakFault::EndpointDeaf(number) => {
                self.deafen(&[self.endpoint_link(number).0], duration).await;
                Ok(())
            }
            SoakFault::ReplicaDeaf(number) => {
                let deaf: Vec<String> = self.replica(number).into_iter().collect();
                self.deafen(&deaf, duration).await;
                Ok(())
            }
            SoakFault::ReplicasCut => {
                self.deafen(&self.replicas(), duration).await;
                Ok(())
            }
            SoakFault::JoinsDuringChange(delay) => self.join_during_change(delay).await,
            SoakFault::TargetsDeaf => {
                self.platform.change_group(|g| g.deafen_targets = true);
                tokio::time::sleep(duration * 2).await;
                self.platform.change_group(|g| g.deafen_targets = false);
                Ok(())
            }
            SoakFault::LastReplicaLeaves(number) => self.leave_last(number, duration).await,
            SoakFault::ReplicaRestarts(number) => {
                let replica = self.replica(number);
                self.platform.change_group(|group| {
                    // A target that restarts before its promotion takes effect loses commits by right.
                    if let Some(id) = replica.filter(|_| group.promotions_under_way == 0) {
                        group.restart(&id);
                    }
                });
                Ok(())
            }
            SoakFault::LeaderKilled => match self.platform.leader() {
                Some(leader) => {
                    let mut process = self.processes[leader].lock().await;
                    process.kill();
                    tokio::time::sleep(duration).await;
                    process.restart()
                }
                None => Ok(()),
            },
            SoakFault::StoreChangesLate(delay) => {
                let fault = StoreFault::ChangesLate(delay);
                self.inject_store_fault(fault, LATE_CHANGES_TIME).await
            }
            SoakFault::PrimaryDrains => {
                let primary = self.platform.shared.group().primary();
                if let Some(id) = &primary {
                    self.set_draining(id, true);
                }
                tokio::time::sleep(duration).await;
                if let Some(id) = &primary {
                    self.set_draining(id, false);
                }
                Ok(())
            }
            SoakFault::ReplicaLag(lag) => {
                self.platform.change_group(|group| group.lag = lag);
                tokio::time::sleep(duration).await;
                self.platform.change_group(|group| group.lag = DEFAULT_LAG);
                Ok(())
            }
            SoakFault::LostAnswers(count) => {
                self.platform
                    .change_group(|group| group.lose_answers = count);
                Ok(())
            }
            SoakFault::Answers(fault) => {
                self.platform.shared.group().answer_faults.begin(fault);
                tokio::time::sleep(duration).await;
                self.platform.shared.group().answer_faults.end(fault);
                Ok(())
            }
            SoakFault::BusyStatements(count) => {
                self.platform.shared.group().busy_statements = count;
                Ok(())
            }
            SoakFault::StoreSilent => self.inject_store_fault(StoreFault::Silent, duration).await,
            SoakFault::StoreBusy => self.inject_store_fault(StoreFault::Busy, duration).await,
            SoakFault::StoreLosesAnswers => {
                self.inject_store_fault(StoreFault::AnswersLost, duration)
                    .await
            }
            SoakFault::StoreDropsHistory => {
                self.platform.shared.store().drop_history();
                Ok(())
            }
            SoakFault::StoreDrill(age) => {
                let copy = self.platform.copy_store();
                for _ in 0..LOST_CONFIGURATIONS {
                    self.configure(true);
                    tokio::time::sleep(age / LOST_CONFIGURATIONS).await;
                }
                self.platform.drill(&copy, duration.min(DRILL_TIME)).await;
                Ok(())
            }
            SoakFault::KeyWithdrawn => {
                self.withdraw_key(duration).await;
                Ok(())
            }
            SoakFault::Configuration => {
                self.configure(true);
                Ok(())
            }
            SoakFault::ZoneEvacuated(zone) => {
                self.evacuate_zone(zone, duration).await;
                Ok(())
            }
            SoakFault::ZoneLost(zone, loss) => self.lose_zone(zone, loss, duration).await,
        }
    }

    /// Loses all processes and endpoints of a zone for some time.
    async fn lose_zone(&self, zone: usize, loss: ZoneLoss, duration: Duration) -> io::Result<()> {
        let _cold_guard = self.zone_losses[zone].lock().await;
        let endpoints = self.zone_endpoints(zone);
        {
            // One zone at a time: two of three may hold the only copies of a commit.
            let _guard = self.endpoint_silence.lock().await;
            let numbers: Vec<usize> = (0..self.processes.len())
                .filter(|number| instance_zone(self.kind, *number) == ZONES[zone])
                .collect();
            match loss {
                ZoneLoss::Paused => self.pause_zone(&numbers, &endpoints, duration).await?,
                ZoneLoss::Cut => self.cut_zone(&numbers, &endpoints, duration).await,
            }
        }
        let ids: Vec<String> = endpoints.into_iter().map(|(id, _)| id).collect();
        self.chill(&ids).await;
        Ok(())
    }

    async fn cut_zone(
        &self,
        numbers: &[usize],
        endpoints: &[(String, LinkProxy)],
        duration: Duration,
    ) {
        let stores = numbers.iter().map(|number| &self.store_links[*number]);
        let links: Vec<_> = stores.chain(endpoints.iter().map(|(_, l)| l)).collect();
        for link in &links {
            link.set_fault(LinkFault::Silent);
        }
        tokio::time::sleep(duration).await;
        // Statements that the link held back must not arrive after it is back.
        for (_, link) in endpoints {
            link.reset();
        }
        tokio::time::sleep(RESET_TIME).await;
        for link in &links {
            link.set_fault(LinkFault::None);
        }
    }

    async fn pause_zone(
        &self,
        numbers: &[usize],
        endpoints: &[(String, LinkProxy)],
        duration: Duration,
    ) -> io::Result<()> {
        let mut processes = Vec::new();
        for number in numbers {
            processes.push(self.processes[*number].lock().await);
        }
        for process in &processes {
            process.signal("STOP")?;
        }
        self.platform.change_group(|group| {
            for (id, _) in endpoints {
                if let Some(endpoint) = group.endpoints.get_mut(id) {
                    endpoint.alive = false;
                }
            }
        });
        tokio::time::sleep(duration).await;
        self.platform.change_group(|group| {
            for (id, _) in endpoints {
                group.revive(id);
            }
        });
        for process in &processes {
            process.signal("CONT")?;
        }
        Ok(())
    }

    /// Returns the ids of the replicas, sorted.
    fn replicas(&self) -> Vec<String> {
        let group = self.platform.shared.group();
        let primary = group.primary();
        let others = group
            .endpoints
            .keys()
            .filter(|id| Some(*id) != primary.as_ref());
        let mut ids: Vec<String> = others.cloned().collect();
        ids.sort();
        ids
    }

    fn replica(&self, number: usize) -> Option<String> {
        let replicas = self.replicas();
        let index = number.checked_rem(replicas.len())?;
        replicas.into_iter().nth(index)
    }

    /// Lets endpoints receive nothing for some time.
    async fn deafen(&self, ids: &[String], duration: Duration) {
        let set = |deaf: bool| {
            self.platform.change_group(|group| {
                for id in ids {
                    if let Some(endpoint) = group.endpoints.get_mut(id) {
                        endpoint.deaf = deaf;
                    }
                }
                if !deaf {
                    group.follow_newest();
                }
            });
        };
        set(true);
        tokio::time::sleep(duration).await;
        set(false);
    }

    async fn join_during_change(&self, delay: Duration) -> io::Result<()> {
        let known = self.platform.shared.group().promotions.len();
        let started_at = Instant::now();
        while self.platform.shared.group().promotions.len() == known {
            if started_at.elapsed() >= CHANGE_TIMEOUT {
                return Ok(());
            }
            tokio::time::sleep(EXIT_CHECK_PAUSE).await;
        }
        tokio::time::sleep(delay).await;
        self.add_endpoint().await?;
        Ok(())
    }

    async fn leave_last(&self, number: usize, duration: Duration) -> io::Result<()> {
        let _guard = self.releases.lock().await;
        let Some(id) = self.replica(number) else {
            return Ok(());
        };
        self.set_draining(&id, true);
        tokio::time::sleep(duration).await;
        let mut others = self.replicas();
        others.retain(|other| *other != id);
        let deaf = self.deafen(&others, DEAF_BEFORE + DEAF_AFTER);
        let left = async {
            tokio::time::sleep(DEAF_BEFORE).await;
            let is_primary = {
                let group = self.platform.shared.group();
                group.primary().as_ref() == Some(&id) || group.promotions_under_way > 0
            };
            if !is_primary {
                self.remove_endpoint(&id);
            }
        };
        tokio::join!(deaf, left);
        self.add_endpoint().await?;
        Ok(())
    }

    fn set_draining(&self, id: &str, draining: bool) {
        self.platform.change_group(|group| {
            if let Some(endpoint) = group.endpoints.get_mut(id) {
                endpoint.draining = draining;
            }
        });
    }

    /// Replaces an endpoint by a new one. The old one drains for `duration` before it leaves, and as
    /// long as it is the primary, or is about to be, for at most [`REPLACEMENT_TIMEOUT`].
    async fn release(&self, choice: EndpointChoice, duration: Duration) -> io::Result<()> {
        // One at a time, as a platform replaces the endpoints of a group.
        let _guard = self.releases.lock().await;
        let id = match choice {
            EndpointChoice::Primary => self.platform.shared.group().primary(),
            EndpointChoice::Replica(number) => self.replica(number),
        };
        let Some(id) = id else {
            return Ok(());
        };
        self.add_endpoint().await?;
        self.set_draining(&id, true);
        tokio::time::sleep(duration).await;
        let requested_at = Instant::now();
        while requested_at.elapsed() < REPLACEMENT_TIMEOUT {
            {
                let group = self.platform.shared.group();
                let primary = group.primary();
                let replaced = primary.is_some_and(|primary| primary != id);
                if replaced && group.promotions_under_way == 0 {
                    break;
                }
            }
            tokio::time::sleep(EXIT_CHECK_PAUSE).await;
        }
        if self.platform.shared.group().primary().as_ref() == Some(&id) {
            self.report_violation(format!("{id} drains and was not replaced"));
        }
        self.remove_endpoint(&id);
        Ok(())
    }

    async fn inject_store_fault(&self, fault: StoreFault, duration: Duration) -> io::Result<()> {
        set_store_fault(&self.platform, fault);
        tokio::time::sleep(duration).await;
        set_store_fault(&self.platform, StoreFault::None);
        Ok(())
    }

    async fn inject_process_fault(
        &self,
        instance: usize,
        fault: ProcessFault,
        duration: Duration,
    ) -> io::Result<()> {
        let mut process = self.processes[instance].lock().await;
        match fault {
            ProcessFault::Pause => {
                process.signal("STOP")?;
                tokio::time::sleep(duration).await;
                process.signal("CONT")?;
                Ok(())
            }
            ProcessFault::Kill => {
                process.kill();
                tokio::time::sleep(RESTART_DELAY).await;
                process.restart()
            }
            ProcessFault::Reload => process.signal("HUP").map(|_| ()),
            ProcessFault::Terminate => {
                process.signal("TERM")?;
                let requested_at = Instant::now();
                let status = loop {
                    match process.exit_status()? {
                        Some(status) => break Some(status),
                        None if requested_at.elapsed() >= EXIT_TIMEOUT => break None,
                        None => tokio::time::sleep(EXIT_CHECK_PAUSE).await,
                    }
                };
                if !status.is_some_and(|status| status.success()) {
                    self.report_violation(format!("instance {instance} ended with {status:?}"));
                }
                process.restart()
            }
        }
    }
}

fn set_store_fault(platform: &PlatformHandle, fault: StoreFault) {
    platform.shared.store().fault = fault;
}
