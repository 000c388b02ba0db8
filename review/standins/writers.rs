//! Clients that write all the time, each in a session of its own.

use std::hash::BuildHasher;
use std::hash::Hasher;
use std::sync::atomic::AtomicBool;
use std::sync::atomic::Ordering;
use std::sync::Arc;
use std::sync::Mutex;
use std::thread::JoinHandle;
use std::time::Duration;

use crate::client::Client;

/// Returns a number below a limit, another one each time.
fn any(limit: u64) -> u64 {
    let hasher = std::collections::hash_map::RandomState::new().build_hasher();
    hasher.finish() % limit
}

/// Ids of the writes that were acknowledged.
pub type Acknowledged = Arc<Mutex<Vec<String>>>;

pub struct Writers {
    pub acknowledged: Acknowledged,
    stop: Arc<AtomicBool>,
    threads: Vec<JoinHandle<()>>,
}

impl Writers {
    /// Starts a writer at each of these ports; each writes every `period`.
    pub fn start(ports: &[u16], database: &'static str, period: Duration) -> Self {
        let (acknowledged, stop) = (Acknowledged::default(), Arc::new(AtomicBool::new(false)));
        let threads = ports.iter().enumerate().map(|(index, port)| {
            let (port, stop) = (*port, Arc::clone(&stop));
            let acknowledged = Arc::clone(&acknowledged);
            std::thread::spawn(move || {
                let mut session = 0;
                while !stop.load(Ordering::SeqCst) {
                    session += 1;
                    let name = format!("w{index}.{session}");
                    let Ok(mut client) = Client::open(port, &name, database, "key-a") else {
                        std::thread::sleep(Duration::from_millis(200));
                        continue;
                    };
                    let mut number = 0;
                    while !stop.load(Ordering::SeqCst) {
                        number += 1;
                        let text = format!("WRITE item{index} {session}.{number}");
                        match client.query(&text) {
                            Ok(answer) if answer.succeeded() => {
                                acknowledged.lock().unwrap().push(answer.request);
                            }
                            // The next operation comes at any time.
                            Ok(_) => std::thread::sleep(Duration::from_millis(any(800))),
                            Err(_) => break,
                        }
                        std::thread::sleep(period);
                    }
                }
            })
        });
        let threads = threads.collect();
        Writers {
            acknowledged,
            stop,
            threads,
        }
    }

    /// Ends the writers and returns the ids of the acknowledged writes.
    pub fn finish(self) -> Vec<String> {
        self.stop.store(true, Ordering::SeqCst);
        for thread in self.threads {
            let _ = thread.join();
        }
        let acknowledged = self.acknowledged.lock().unwrap();
        acknowledged.clone()
    }
}
