//! Plays the faults of a schedule.

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

/// How long a process may take to end after it was asked to: its grace time and a margin.
const END_TIME: Duration = Duration::from_millis(5_000);

/// Pause between looks at a process that ends.
const END_PAUSE: Duration = Duration::from_millis(20);

/// How long a killed process is away.
const AWAY_TIME: Duration = Duration::from_millis(200);

/// Replication delay of replicas that do not lag.
pub const USUAL_LAG: Duration = Duration::from_millis(20);

/// Plays the faults at their times, and ends them all.
///
/// # Errors
///
/// Fails where a process cannot be started or a signal not be sent.
pub async fn play_faults(fleet: &Arc<SoakFleet>, faults: &[ScheduledFault]) -> io::Result<()> {
    let started_at = Instant::now();
    let mut running = JoinSet::new();
    for fault in faults {
        tokio::time::sleep(fault.at.saturating_sub(started_at.elapsed())).await;
        let fleet = Arc::clone(fleet);
        let fault = *fault;
        running.spawn(async move { fleet.play(fault).await });
    }
    while let Some(played) = running.join_next().await {
        played.map_err(io::Error::other)??;
    }
    Ok(())
}

impl SoakFleet {
    async fn play(&self, scheduled: ScheduledFault) -> io::Result<()> {
        let length = scheduled.length;
        match scheduled.fault {
            SoakFault::Process(instance, fault) => self.disturb(instance, fault, length).await,
            SoakFault::KillAll => {
                let mut processes = Vec::new();
                for process in &self.processes {
                    processes.push(process.lock().await);
                }
                processes.iter_mut().for_each(|process| process.kill());
                tokio::time::sleep(AWAY_TIME).await;
                processes
                    .iter_mut()
                    .try_for_each(|process| process.restart())
            }
            SoakFault::StoreLink(instance, fault) => {
                let link = &self.store_links[instance];
                link.set_fault(fault);
                tokio::time::sleep(length).await;
                link.set_fault(LinkFault::None);
                Ok(())
            }
            SoakFault::EndpointLink(endpoint, fault) => {
                let link = &self.endpoint_links[endpoint].1;
                link.set_fault(fault);
                tokio::time::sleep(length).await;
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
            SoakFault::EndpointDark(endpoint) => {
                // Two dark endpoints of three may have the only copies of a commit.
                let _one = self.dark.lock().await;
                let id = &self.endpoint_links[endpoint].0;
                self.platform.change_group(|group| {
                    if let Some(endpoint) = group.endpoints.get_mut(id) {
                        endpoint.alive = false;
                    }
                });
                tokio::time::sleep(length).await;
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
                tokio::time::sleep(length).await;
                set(false);
                Ok(())
            }
            SoakFault::ReplicaLag(lag) => {
                self.platform.change_group(|group| group.lag = lag);
                tokio::time::sleep(length).await;
                self.platform.change_group(|group| group.lag = USUAL_LAG);
                Ok(())
            }
            SoakFault::LostAnswers(count) => {
                self.platform
                    .change_group(|group| group.lose_answers = count);
                Ok(())
            }
            SoakFault::StoreSilent => self.fault(StoreFault::Silent, length).await,
            SoakFault::StoreBusy => self.fault(StoreFault::Busy, length).await,
            SoakFault::StoreLosesAnswers => self.fault(StoreFault::AnswersLost, length).await,
            SoakFault::StoreForgets => {
                self.platform.shared.store().drop_history();
                Ok(())
            }
            SoakFault::KeyWithdrawn => {
                self.withdraw_key(length).await;
                Ok(())
            }
            SoakFault::Configuration => {
                self.configure(true);
                Ok(())
            }
        }
    }

    async fn fault(&self, fault: StoreFault, length: Duration) -> io::Result<()> {
        set_store_fault(&self.platform, fault);
        tokio::time::sleep(length).await;
        set_store_fault(&self.platform, StoreFault::None);
        Ok(())
    }

    async fn disturb(
        &self,
        instance: usize,
        fault: ProcessFault,
        length: Duration,
    ) -> io::Result<()> {
        let mut process = self.processes[instance].lock().await;
        match fault {
            ProcessFault::Pause => {
                process.signal("STOP")?;
                tokio::time::sleep(length).await;
                process.signal("CONT")?;
                Ok(())
            }
            ProcessFault::Kill => {
                process.kill();
                tokio::time::sleep(AWAY_TIME).await;
                process.restart()
            }
            ProcessFault::Reload => process.signal("HUP").map(|_| ()),
            ProcessFault::Terminate => {
                process.signal("TERM")?;
                let requested_at = Instant::now();
                let status = loop {
                    match process.exit_status()? {
                        Some(status) => break Some(status),
                        None if requested_at.elapsed() >= END_TIME => break None,
                        None => tokio::time::sleep(END_PAUSE).await,
                    }
                };
                if !status.is_some_and(|status| status.success()) {
                    self.complain(format!("instance {instance} ended with {status:?}"));
                }
                process.restart()
            }
        }
    }
}

fn set_store_fault(platform: &PlatformHandle, fault: StoreFault) {
    platform.shared.store().fault = fault;
}
