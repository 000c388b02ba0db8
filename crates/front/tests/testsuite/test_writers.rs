//! Callers that write all the time and remember which writes were acknowledged.

use std::collections::HashSet;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::PoisonError;
use std::time::Duration;

use standins::platform::line_caller::LineCaller;
use tokio::sync::watch;
use tokio::task::JoinSet;

use crate::fleet::Fleet;
use crate::fleet::KEY;

/// Pause of a writer after each write or failed session.
const WRITE_PAUSE: Duration = Duration::from_millis(20);

/// Running writers.
pub struct TestWriters {
    acknowledged: Arc<Mutex<Vec<String>>>,
    stop: watch::Sender<bool>,
    tasks: JoinSet<()>,
}

impl TestWriters {
    /// Starts `count` writers at each instance of the fleet. Each writes an item of its own, whose
    /// name starts with `prefix`.
    pub fn start(fleet: &Fleet, prefix: &str, count: usize) -> Self {
        let mut writers = Self {
            acknowledged: Arc::default(),
            stop: watch::Sender::new(false),
            tasks: JoinSet::new(),
        };
        for (index, instance) in fleet.instances.iter().enumerate() {
            for number in 0..count {
                let address = instance.process.callers;
                let stop = writers.stop.subscribe();
                let acknowledged = Arc::clone(&writers.acknowledged);
                let name = format!("{prefix}{index}x{number}");
                writers.tasks.spawn(async move {
                    let mut value = 0;
                    while !*stop.borrow() {
                        tokio::time::sleep(WRITE_PAUSE).await;
                        let opened = LineCaller::try_open(address, "linear", KEY).await;
                        let Ok(mut caller) = opened else {
                            continue;
                        };
                        while !*stop.borrow() {
                            value += 1;
                            let text = format!("WRITE {name} {value}");
                            match caller.try_request(&text).await {
                                Ok(answer) if answer.succeeded() => acknowledged
                                    .lock()
                                    .unwrap_or_else(PoisonError::into_inner)
                                    .push(format!("{name}={value}")),
                                Ok(_) => {}
                                Err(_) => break,
                            }
                            tokio::time::sleep(WRITE_PAUSE).await;
                        }
                    }
                });
            }
        }
        writers
    }

    /// Returns the number of acknowledged writes so far.
    pub fn count(&self) -> usize {
        let acknowledged = self.acknowledged.lock();
        acknowledged.unwrap_or_else(PoisonError::into_inner).len()
    }

    /// Stops the writers and returns the acknowledged writes that the log of the primary lacks.
    pub async fn finish(self, fleet: &Fleet) -> Vec<String> {
        self.stop.send_replace(true);
        self.tasks.join_all().await;
        let group = fleet.platform.shared.group();
        let primary = group.primary().expect("the group has a primary");
        let commits = group.endpoints[&primary].log.iter();
        let written: HashSet<String> = commits
            .flat_map(|commit| &commit.writes)
            .map(|(item, value)| format!("{item}={value}"))
            .collect();
        let acknowledged = self
            .acknowledged
            .lock()
            .unwrap_or_else(PoisonError::into_inner);
        let lost = acknowledged
            .iter()
            .filter(|write| !written.contains(*write));
        lost.cloned().collect()
    }
}
