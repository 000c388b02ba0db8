//! Freezes the leader as it connects to the platform for a promotion.

use std::net::TcpStream;
use std::sync::Arc;
use std::sync::Mutex;
use std::thread;
use std::time::Duration;

use crate::fleet::Signal;
use crate::fleet::send_signal;
use crate::record::Record;

/// Time in which a request that was sent before the freeze arrives.
const ARRIVAL_TIME: Duration = Duration::from_millis(30);

/// How long the leader is frozen.
const FREEZE_TIME: Duration = Duration::from_secs(4);

pub struct Freezer {
    record: Arc<Record>,
    /// Process to freeze at the next connection.
    target: Mutex<Option<u32>>,
    /// Numbers of freezes that came before the request, and after it.
    hits: Mutex<(u32, u32)>,
}

impl Freezer {
    pub fn new(record: &Arc<Record>) -> Freezer {
        Freezer {
            record: Arc::clone(record),
            target: Mutex::default(),
            hits: Mutex::default(),
        }
    }

    pub fn arm(&self, process: u32) {
        *self.target.lock().expect("lock") = Some(process);
    }

    pub fn hits(&self) -> (u32, u32) {
        *self.hits.lock().expect("lock")
    }

    pub fn is_armed(&self) -> bool {
        self.target.lock().expect("lock").is_some()
    }

    /// Freezes the process. It goes on at once if its request has already been sent.
    pub fn accept(self: &Arc<Self>) -> Option<Box<dyn FnOnce(&TcpStream) + Send>> {
        let process = self.target.lock().expect("lock").take()?;
        send_signal(process, Signal::Stop);
        let freezer = Arc::clone(self);
        Some(Box::new(move |stream| freezer.hold(process, stream)))
    }

    fn hold(&self, process: u32, stream: &TcpStream) {
        thread::sleep(ARRIVAL_TIME);
        stream.set_nonblocking(true).expect("a socket");
        let has_sent = stream.peek(&mut [0]).is_ok();
        let mut hits = self.hits.lock().expect("lock");
        if has_sent {
            hits.1 += 1;
        } else {
            hits.0 += 1;
        }
        drop(hits);
        if !has_sent {
            self.record
                .show("the leader is frozen while it connects for a promotion");
            thread::sleep(FREEZE_TIME);
            self.record.show("the leader goes on");
        }
        send_signal(process, Signal::Continue);
    }
}
