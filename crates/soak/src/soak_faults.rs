//! Injects the faults of a schedule into a fleet.

use std::io;
use std::sync::Arc;
use std::time::Duration;
use std::time::Instant;

use standins::platform::platform_handle::PlatformHandle;
use standins::platform::store_state::StoreFault;
use tokio::task::JoinSet;

use crate::fault_schedule::ProcessFault;
use crate::fault_schedule::ScheduledFault;
use crate::fault_schedule::SoakFault;
use crate::link_proxy::LinkFault;
use crate::soak_run::SoakFleet;

/// Time within which a process must exit after SIGTERM: its grace time and a margin.
const EXIT_TIMEOUT: Duration = Duration::from_millis(5_000);

/// Pause between two checks of whether a terminated process has exited.
const EXIT_CHECK_PAUSE: Duration = Duration::from_millis(20);

/// Time between killing a process and restarting it.
const RESTART_DELAY: Duration = Duration::from_millis(200);

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
                let link = &self.endpoint_links[endpoint].1;
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
                self.endpoint_links[endpoint].1.reset();
                Ok(())
            }
            SoakFault::EndpointSilent(endpoint) => {
                // Only one endpoint at a time: two silent endpoints of three may hold the only
                // copies of a commit.
                let _guard = self.endpoint_silence.lock().await;
                let id = &self.endpoint_links[endpoint].0;
                self.platform.change_group(|group| {
                    if let Some(endpoint) = group.endpoints.get_mut(id) {
                        endpoint.alive = false;
                    }
                });
                tokio::time::sleep(duration).await;
                self.platform.change_group(|group| group.revive(id));
                Ok(())
            }
            SoakFault::PrimaryDrains => {
                let primary = self.platform.shared.group().primary();
                let set = |draining: bool| {
                    self.platform.change_group(|group| {
                        let id = primary.as_ref();
                        if let Some(e) = id.and_then(|id| group.endpoints.get_mut(id)) {
                            e.draining = draining;
                        }
                    });
                };
                set(true);
                tokio::time::sleep(duration).await;
                set(false);
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
            SoakFault::KeyWithdrawn => {
                self.withdraw_key(duration).await;
                Ok(())
            }
            SoakFault::Configuration => {
                self.configure(true);
                Ok(())
            }
        }
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
