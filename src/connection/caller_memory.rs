//! Shares one memory account among the connections of callers.

use std::cell::Cell;
use std::collections::HashMap;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::MutexGuard;
use std::sync::PoisonError;
use std::sync::atomic::AtomicBool;
use std::sync::atomic::AtomicU64;
use std::sync::atomic::Ordering;
use std::time::Duration;

use session_core::memory_account::HolderId;
use session_core::memory_account::MemoryAccount;
use session_core::memory_account::MemoryPart;
use session_core::memory_account::ShortagePatience;
use session_core::memory_account::WaitTicket;
use session_core::monotonic_time::now;
use session_core::units::ByteSize;
use tokio::sync::Notify;

/// Bytes that a connection may hold without being charged. Ordinary requests stay below it, so that
/// they never wait for memory.
pub const ALLOWANCE_BYTES: usize = 64 * 1024;

/// Part of a message after which its sender counts as making progress.
const PROGRESS_BYTES: usize = 16 * 1024;

/// At 10 Mbit/s, the progress that is expected within the time of a stall takes 13 ms.
const SHORTAGE_PATIENCE: ShortagePatience = ShortagePatience {
    wait: Duration::from_millis(250),
    stall: Duration::from_millis(2_000),
};

/// Maximum number of connections that are closed at once, because what they release is known only
/// after they ended.
const MAX_CLOSED_AT_ONCE: usize = 8;

const PART_COUNT: usize = 4;

/// Tells the session of a connection that it must be closed.
#[derive(Debug, Default)]
struct CloseSignal {
    is_raised: AtomicBool,
    raised: Notify,
}

#[derive(Debug)]
struct MemoryState {
    account: MemoryAccount,
    signals: HashMap<HolderId, Arc<CloseSignal>>,
}

/// The memory of all connections of callers.
#[derive(Debug)]
pub struct CallerMemory {
    state: Mutex<MemoryState>,
    released: Notify,
    limit: Option<usize>,
    closed: AtomicU64,
}

impl CallerMemory {
    /// Creates the account; without a limit, all is granted.
    pub fn new(limit: Option<usize>) -> Self {
        let bytes = |bytes: usize| ByteSize(bytes as u64);
        Self {
            state: Mutex::new(MemoryState {
                account: MemoryAccount::new(limit.map(bytes), bytes(ALLOWANCE_BYTES)),
                signals: HashMap::new(),
            }),
            released: Notify::new(),
            limit,
            closed: AtomicU64::new(0),
        }
    }

    /// Adds a connection.
    pub fn open(self: &Arc<Self>) -> ConnectionMemory {
        let signal = Arc::new(CloseSignal::default());
        let mut state = self.lock();
        let id = state.account.open(now());
        state.signals.insert(id, signal.clone());
        ConnectionMemory {
            shared: self.clone(),
            id,
            signal,
            parts: Default::default(),
            is_charged: Cell::new(false),
            is_busy: Cell::new(false),
            unreported: Cell::new(0),
            ticket: Cell::new(None),
        }
    }

    /// Returns what connections hold beyond their allowances, in bytes.
    pub fn charged(&self) -> u64 {
        self.lock().account.charged().0
    }

    /// Returns the limit of what connections hold beyond their allowances, in bytes.
    pub fn limit(&self) -> Option<usize> {
        self.limit
    }

    /// Returns how many connections were closed because memory was short.
    pub fn closed(&self) -> u64 {
        self.closed.load(Ordering::Relaxed)
    }

    /// While memory is short, closes the connections that hold the most without progress.
    ///
    /// Returns the number of connections that were told to close.
    pub fn close_stalled(&self) -> usize {
        let mut state = self.lock();
        let mut count = 0;
        while count < MAX_CLOSED_AT_ONCE {
            let Some(id) = state.account.choose_stalled(SHORTAGE_PATIENCE, now()) else {
                break;
            };
            if let Some(signal) = state.signals.get(&id) {
                signal.is_raised.store(true, Ordering::Release);
                signal.raised.notify_one();
            }
            count += 1;
        }
        self.closed.fetch_add(count as u64, Ordering::Relaxed);
        count
    }

    fn lock(&self) -> MutexGuard<'_, MemoryState> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

/// The memory of one connection, released on drop.
///
/// The shared account is used only while the connection is beyond its allowance.
#[derive(Debug)]
pub struct ConnectionMemory {
    shared: Arc<CallerMemory>,
    id: HolderId,
    signal: Arc<CloseSignal>,
    parts: [Cell<usize>; PART_COUNT],
    is_charged: Cell<bool>,
    is_busy: Cell<bool>,
    unreported: Cell<usize>,
    /// Kept while waits for the same memory are cancelled and begun again.
    ticket: Cell<Option<WaitTicket>>,
}

impl Drop for ConnectionMemory {
    fn drop(&mut self) {
        self.end_wait();
        let mut state = self.shared.lock();
        state.account.close(self.id);
        state.signals.remove(&self.id);
        drop(state);
        self.shared.released.notify_waiters();
    }
}

impl ConnectionMemory {
    /// Records what the connection holds, even if that exceeds the limit.
    pub fn set(&self, part: MemoryPart, bytes: usize) {
        if self.parts[part as usize].get() != bytes {
            self.set_changed(part, bytes);
        }
    }

    fn set_changed(&self, part: MemoryPart, bytes: usize) {
        self.parts[part as usize].set(bytes);
        let total: usize = self.parts.iter().map(Cell::get).sum();
        if !self.is_charged.get() && total <= ALLOWANCE_BYTES {
            return;
        }
        let mut state = self.shared.lock();
        let before = state.account.charged();
        self.report_parts(&mut state.account);
        let is_released = state.account.charged() < before;
        drop(state);
        if is_released {
            self.shared.released.notify_waiters();
        }
    }

    /// Records that a message is complete, and that serving it needs at least the given size.
    pub fn hand_over(&self, bytes: usize) {
        let limit = self.shared.limit.unwrap_or(usize::MAX);
        // Not reported before the new size, so that no other connection gets the memory between.
        self.parts[MemoryPart::Input as usize].set(0);
        let served = self.parts[MemoryPart::Request as usize].get();
        self.set_changed(MemoryPart::Request, served.max(bytes.min(limit)));
    }

    /// Waits until there is memory for what the connection is about to hold; cancel safe.
    pub async fn reserve(&self, part: MemoryPart, bytes: usize) {
        // A message beyond the limit is still served if it is the only one.
        let bytes = self.shared.limit.map_or(bytes, |limit| bytes.min(limit));
        loop {
            let released = self.shared.released.notified();
            tokio::pin!(released);
            // Enabled before the attempt, so that a release between both is not missed.
            released.as_mut().enable();
            if self.try_set(part, bytes) {
                self.end_wait();
                return;
            }
            if self.ticket.get().is_none() {
                let ticket = self.shared.lock().account.begin_wait(now());
                self.ticket.set(Some(ticket));
            }
            released.await;
        }
    }

    fn try_set(&self, part: MemoryPart, bytes: usize) -> bool {
        let mut state = self.shared.lock();
        self.report_parts(&mut state.account);
        let size = ByteSize(bytes as u64);
        let is_granted = state.account.try_set(self.id, part, size);
        if is_granted {
            self.parts[part as usize].set(bytes);
            self.is_charged.set(true);
            state.account.record_progress(self.id, now());
        }
        is_granted
    }

    fn report_parts(&self, account: &mut MemoryAccount) {
        let parts = [
            MemoryPart::Input,
            MemoryPart::Request,
            MemoryPart::Output,
            MemoryPart::State,
        ];
        for part in parts {
            let bytes = self.parts[part as usize].get();
            account.set(self.id, part, ByteSize(bytes as u64));
        }
        let total: usize = self.parts.iter().map(Cell::get).sum();
        let was_charged = self.is_charged.replace(total > ALLOWANCE_BYTES);
        if !was_charged && total > ALLOWANCE_BYTES {
            account.set_busy(self.id, self.is_busy.get(), now());
        }
    }

    fn end_wait(&self) {
        if let Some(ticket) = self.ticket.take() {
            self.shared.lock().account.end_wait(ticket);
        }
    }

    /// Records that bytes of a message arrived, and counts them as progress once they suffice.
    pub fn record_bytes(&self, bytes: usize) {
        let unreported = self.unreported.get() + bytes;
        self.unreported.set(unreported);
        if unreported >= PROGRESS_BYTES && self.is_charged.get() {
            self.unreported.set(0);
            self.shared.lock().account.record_progress(self.id, now());
        }
    }

    /// Records whether a request runs; a connection with a running request is never closed for
    /// its memory.
    pub fn set_busy(&self, busy: bool) {
        self.is_busy.set(busy);
        if self.is_charged.get() {
            self.shared.lock().account.set_busy(self.id, busy, now());
        }
    }

    /// Returns whether a request runs.
    pub fn is_busy(&self) -> bool {
        self.is_busy.get()
    }

    /// Waits until the connection must be closed because memory is short; cancel safe.
    pub async fn must_close(&self) {
        while !self.signal.is_raised.load(Ordering::Acquire) {
            self.signal.raised.notified().await;
        }
    }
}
