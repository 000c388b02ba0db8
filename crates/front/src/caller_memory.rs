//! Shares the memory account of the instance among callers' connections.

use std::cell::Cell;
use std::cell::RefCell;
use std::collections::HashMap;
use std::rc::Rc;
use std::time::Duration;

use platform::caller_limits::CONNECTION_ALLOWANCE;
use platform::caller_limits::CallerLimits;
use session_core::memory_account::HolderId;
use session_core::memory_account::MemoryAccount;
use session_core::memory_account::MemoryPart;
use session_core::memory_account::ShortagePatience;
use session_core::memory_account::WaitTicket;
use session_core::monotonic_time::now;
use session_core::units::ByteSize;
use tokio::sync::Notify;

/// Waits for memory up to this time end by themselves where callers behave; it is shorter than the
/// time of a statement, so that room is made for an answer that waits. At 10 Mbit/s, the progress
/// that is asked for within the time of a stall takes 13 ms.
const SHORTAGE_PATIENCE: ShortagePatience = ShortagePatience {
    wait: Duration::from_millis(250),
    stall: Duration::from_millis(2_000),
};

/// Maximum number of connections that are closed at once, because what they release is known only
/// after they ended.
const MAX_CLOSED_AT_ONCE: usize = 8;

/// Why a connection is closed before its session ends.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum CloseCause {
    /// Memory is short, and it holds the most without progress.
    MemoryShort,
    /// There are too many connections, and it is the oldest that has not started.
    NotStarted,
}

impl CloseCause {
    /// Returns the cause as the reason in log lines and metrics.
    pub fn reason(self) -> &'static str {
        match self {
            CloseCause::MemoryShort => "memory_short",
            CloseCause::NotStarted => "start_overdue",
        }
    }
}

/// Tells the session of a connection that it has been chosen to be closed.
#[derive(Debug, Default)]
pub struct CloseSignal {
    cause: Cell<Option<CloseCause>>,
    raised: Notify,
}

impl CloseSignal {
    fn raise(&self, cause: CloseCause) {
        self.cause.set(Some(cause));
        self.raised.notify_one();
    }

    /// Waits until the connection has been chosen to be closed.
    pub async fn raised(&self) -> CloseCause {
        loop {
            if let Some(cause) = self.cause.get() {
                return cause;
            }
            self.raised.notified().await;
        }
    }
}

/// Memory and number of the callers' connections of one instance.
#[derive(Debug)]
pub struct CallerMemory {
    account: RefCell<MemoryAccount>,
    signals: RefCell<HashMap<HolderId, Rc<CloseSignal>>>,
    released: Notify,
    max_connections: Option<usize>,
}

impl CallerMemory {
    /// Creates the account of an instance without connections.
    pub fn new(limits: &CallerLimits) -> Self {
        Self {
            account: RefCell::new(MemoryAccount::new(limits.memory, CONNECTION_ALLOWANCE)),
            signals: RefCell::default(),
            released: Notify::new(),
            max_connections: limits.connections,
        }
    }

    /// Adds a connection. If there are too many, the oldest one that has not started is closed
    /// first; returns `None` if all have started.
    pub async fn admit(self: &Rc<Self>) -> Option<ConnectionMemory> {
        while self.is_full() {
            // Registered before the signal, so that the end of the connection is not missed.
            let released = self.released.notified();
            let unstarted = self.account.borrow_mut().choose_unstarted();
            self.close(unstarted?, CloseCause::NotStarted);
            released.await;
        }
        let id = self.account.borrow_mut().open(now());
        let signal = Rc::new(CloseSignal::default());
        self.signals.borrow_mut().insert(id, Rc::clone(&signal));
        Some(ConnectionMemory {
            shared: Rc::clone(self),
            id,
            signal,
        })
    }

    fn is_full(&self) -> bool {
        self.max_connections
            .is_some_and(|most| self.connections() >= most)
    }

    /// Returns the number of connections.
    pub fn connections(&self) -> usize {
        self.account.borrow().connections()
    }

    /// Returns what connections hold beyond their allowances.
    pub fn charged(&self) -> ByteSize {
        self.account.borrow().charged()
    }

    /// Closes the connections that hold the most without progress while memory is short.
    pub fn close_stalled(&self) {
        for _ in 0..MAX_CLOSED_AT_ONCE {
            let chosen = self
                .account
                .borrow_mut()
                .choose_stalled(SHORTAGE_PATIENCE, now());
            let Some(id) = chosen else {
                return;
            };
            self.close(id, CloseCause::MemoryShort);
        }
    }

    fn close(&self, id: HolderId, cause: CloseCause) {
        if let Some(signal) = self.signals.borrow().get(&id) {
            signal.raise(cause);
        }
    }
}

/// The memory of one caller's connection, released on drop.
#[derive(Debug)]
pub struct ConnectionMemory {
    shared: Rc<CallerMemory>,
    id: HolderId,
    signal: Rc<CloseSignal>,
}

impl Drop for ConnectionMemory {
    fn drop(&mut self) {
        self.shared.account.borrow_mut().close(self.id);
        self.shared.signals.borrow_mut().remove(&self.id);
        self.shared.released.notify_waiters();
    }
}

impl ConnectionMemory {
    /// Records what the connection holds, even if that exceeds the limit.
    pub fn set(&self, part: MemoryPart, bytes: usize) {
        let mut account = self.shared.account.borrow_mut();
        let before = account.charged();
        account.set(self.id, part, ByteSize(bytes as u64));
        if account.charged() < before {
            self.shared.released.notify_waiters();
        }
    }

    /// Returns what the connection holds for a part.
    pub fn held(&self, part: MemoryPart) -> usize {
        self.shared.account.borrow().held(self.id, part).0 as usize
    }

    /// Records what the connection is about to hold; returns `false` if there is no memory for it.
    pub fn try_set(&self, part: MemoryPart, bytes: usize) -> bool {
        let mut account = self.shared.account.borrow_mut();
        account.try_set(self.id, part, ByteSize(bytes as u64))
    }

    /// Waits until there is memory for what the connection is about to hold.
    pub async fn wait_set(&self, part: MemoryPart, bytes: usize) {
        if self.try_set(part, bytes) {
            return;
        }
        let _waiting = MemoryWait::begin(&self.shared);
        loop {
            let released = self.shared.released.notified();
            if self.try_set(part, bytes) {
                return;
            }
            released.await;
        }
    }

    /// Records that the caller sent or took a substantial part.
    pub fn record_progress(&self) {
        let mut account = self.shared.account.borrow_mut();
        account.record_progress(self.id, now());
    }

    /// Records that the session has started.
    pub fn record_start(&self) {
        self.shared.account.borrow_mut().record_start(self.id);
    }

    /// Records whether a request is being served.
    pub fn set_busy(&self, busy: bool) {
        let mut account = self.shared.account.borrow_mut();
        account.set_busy(self.id, busy, now());
    }

    /// Returns the signal that the connection must be closed.
    pub fn close_signal(&self) -> Rc<CloseSignal> {
        Rc::clone(&self.signal)
    }
}

/// Counts a connection as waiting for memory until it is dropped.
struct MemoryWait<'a> {
    shared: &'a CallerMemory,
    ticket: WaitTicket,
}

impl<'a> MemoryWait<'a> {
    fn begin(shared: &'a CallerMemory) -> Self {
        let ticket = shared.account.borrow_mut().begin_wait(now());
        Self { shared, ticket }
    }
}

impl Drop for MemoryWait<'_> {
    fn drop(&mut self) {
        self.shared.account.borrow_mut().end_wait(self.ticket);
    }
}
