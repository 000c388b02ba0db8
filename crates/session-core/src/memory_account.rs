//! Accounts for the memory that callers' connections hold beyond a small allowance each, and
//! decides which connection to close when it runs short.

use std::collections::BTreeMap;
use std::time::Duration;

use crate::monotonic_time::MonotonicTime;
use crate::units::ByteSize;

/// Fraction of the limit that the state of sessions may use. The rest stays available for messages
/// and answers, which end sooner.
const STATE_FRACTION: f64 = 0.5;

/// A connection that holds memory.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct HolderId(u64);

/// A wait of a connection for memory.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub struct WaitTicket(u64);

/// How long memory is short, and connections make no progress, before one is closed.
#[derive(Debug, Clone, Copy)]
pub struct ShortagePatience {
    /// Time for which a connection has waited for memory.
    pub wait: Duration,
    /// Time for which the connection that is closed has made no progress.
    pub stall: Duration,
}

/// What a connection holds memory for.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum MemoryPart {
    /// Bytes read that are not a complete message yet.
    Input,
    /// A message that is being served.
    Request,
    /// Answers that the caller has not taken yet.
    Output,
    /// Values and prepared names of the session.
    State,
}

const PART_COUNT: usize = 4;

#[derive(Debug, Clone)]
struct MemoryHolder {
    parts: [u64; PART_COUNT],
    progressed_at: MonotonicTime,
    /// Whether its session has started.
    started: bool,
    /// Whether a statement of it runs, whose outcome must reach the caller.
    busy: bool,
    /// Whether it has been chosen to be closed.
    closing: bool,
}

impl MemoryHolder {
    fn charge(&self, allowance: ByteSize) -> u64 {
        let total: u64 = self.parts.iter().sum();
        total.saturating_sub(allowance.0)
    }
}

/// The memory of all callers' connections of one instance.
#[derive(Debug)]
pub struct MemoryAccount {
    limit: Option<ByteSize>,
    allowance: ByteSize,
    holders: BTreeMap<HolderId, MemoryHolder>,
    next: u64,
    charged: u64,
    state_charged: u64,
    /// When connections began to wait for memory.
    waiting: BTreeMap<WaitTicket, MonotonicTime>,
}

impl MemoryAccount {
    /// Creates an account. Connections hold up to `allowance` each without being charged, and
    /// `limit` together beyond that; without a limit, all is granted.
    pub fn new(limit: Option<ByteSize>, allowance: ByteSize) -> Self {
        Self {
            limit,
            allowance,
            holders: BTreeMap::new(),
            next: 0,
            charged: 0,
            state_charged: 0,
            waiting: BTreeMap::new(),
        }
    }

    /// Adds a connection.
    pub fn open(&mut self, now: MonotonicTime) -> HolderId {
        let id = HolderId(self.next);
        self.next += 1;
        let holder = MemoryHolder {
            parts: [0; PART_COUNT],
            progressed_at: now,
            started: false,
            busy: false,
            closing: false,
        };
        self.holders.insert(id, holder);
        id
    }

    /// Removes a connection and all that it holds.
    pub fn close(&mut self, id: HolderId) {
        if let Some(holder) = self.holders.remove(&id) {
            self.charged -= holder.charge(self.allowance);
            self.state_charged -= holder.parts[MemoryPart::State as usize];
        }
    }

    /// Returns the number of connections.
    pub fn connections(&self) -> usize {
        self.holders.len()
    }

    /// Returns what is held beyond the allowances.
    pub fn charged(&self) -> ByteSize {
        ByteSize(self.charged)
    }

    /// Returns what a connection holds for a part.
    pub fn held(&self, id: HolderId, part: MemoryPart) -> ByteSize {
        let holder = self.holders.get(&id);
        ByteSize(holder.map_or(0, |holder| holder.parts[part as usize]))
    }

    /// Records what a connection holds, even if that exceeds the limit. For what exists already, or
    /// what must not wait: the outcome of a statement that has run.
    pub fn set(&mut self, id: HolderId, part: MemoryPart, bytes: ByteSize) {
        let Some(holder) = self.holders.get_mut(&id) else {
            return;
        };
        let before = holder.charge(self.allowance);
        let held = std::mem::replace(&mut holder.parts[part as usize], bytes.0);
        self.charged = self.charged - before + holder.charge(self.allowance);
        if part == MemoryPart::State {
            self.state_charged = self.state_charged - held + bytes.0;
        }
    }

    /// Records what a connection is about to hold. Returns `false` without a change if that is more
    /// than before and exceeds the limit.
    pub fn try_set(&mut self, id: HolderId, part: MemoryPart, bytes: ByteSize) -> bool {
        let Some(holder) = self.holders.get(&id) else {
            return false;
        };
        let held = holder.parts[part as usize];
        if let Some(limit) = self.limit
            && bytes.0 > held
        {
            let total: u64 = holder.parts.iter().sum();
            let after = (total - held + bytes.0).saturating_sub(self.allowance.0);
            let charged = self.charged - holder.charge(self.allowance) + after;
            let state_limit = (limit.0 as f64 * STATE_FRACTION) as u64;
            let is_state = part == MemoryPart::State;
            let state = self.state_charged - held * u64::from(is_state) + bytes.0;
            if after > 0 && (charged > limit.0 || is_state && state > state_limit) {
                return false;
            }
        }
        self.set(id, part, bytes);
        true
    }

    /// Records that a connection received or took a substantial part of a message.
    pub fn record_progress(&mut self, id: HolderId, now: MonotonicTime) {
        if let Some(holder) = self.holders.get_mut(&id) {
            holder.progressed_at = now;
        }
    }

    /// Records that the session of a connection has started.
    pub fn record_start(&mut self, id: HolderId) {
        if let Some(holder) = self.holders.get_mut(&id) {
            holder.started = true;
        }
    }

    /// Records whether a request of the connection is being served. The end of a request is
    /// progress.
    pub fn set_busy(&mut self, id: HolderId, busy: bool, now: MonotonicTime) {
        if let Some(holder) = self.holders.get_mut(&id) {
            holder.busy = busy;
            holder.progressed_at = now;
        }
    }

    /// Counts a connection that waits for memory.
    pub fn begin_wait(&mut self, now: MonotonicTime) -> WaitTicket {
        let ticket = WaitTicket(self.next);
        self.next += 1;
        self.waiting.insert(ticket, now);
        ticket
    }

    /// Counts a connection that no longer waits.
    pub fn end_wait(&mut self, ticket: WaitTicket) {
        self.waiting.remove(&ticket);
    }

    /// Returns whether memory is short: more connections have waited for it than are being closed,
    /// or more is held than the limit even without these.
    fn is_short(&self, patience: Duration, now: MonotonicTime) -> bool {
        let exceeds = |bytes: u64| self.limit.is_some_and(|limit| bytes > limit.0);
        if self.waiting.is_empty() && !exceeds(self.charged) {
            return false;
        }
        let closing = self.holders.values().filter(|holder| {
            // One within its allowance releases nothing that others wait for.
            holder.closing && holder.charge(self.allowance) > 0
        });
        let (count, bytes) = closing.fold((0, 0), |(count, bytes), holder| {
            (count + 1, bytes + holder.charge(self.allowance))
        });
        let waits = self.waiting.values();
        let overdue = waits.filter(|since| now.saturating_since(**since) >= patience);
        overdue.count() > count || exceeds(self.charged - bytes)
    }

    /// If memory is short, chooses the connection that holds the most among those without progress,
    /// and marks it as closing. A connection within its allowance or with a running statement is
    /// never chosen.
    pub fn choose_stalled(
        &mut self,
        patience: ShortagePatience,
        now: MonotonicTime,
    ) -> Option<HolderId> {
        if !self.is_short(patience.wait, now) {
            return None;
        }
        let allowance = self.allowance;
        let stalled = self.holders.iter_mut().filter(|(_, holder)| {
            !holder.closing
                && !holder.busy
                && holder.charge(allowance) > 0
                && now.saturating_since(holder.progressed_at) >= patience.stall
        });
        let (id, holder) = stalled.max_by_key(|(_, holder)| holder.charge(allowance))?;
        holder.closing = true;
        Some(*id)
    }

    /// Chooses the oldest connection whose session has not started, and marks it as closing.
    pub fn choose_unstarted(&mut self) -> Option<HolderId> {
        let unstarted = self.holders.iter_mut();
        let mut unstarted = unstarted.filter(|(_, holder)| !holder.started && !holder.closing);
        // Ids ascend with the time at which the connections were opened.
        let (id, holder) = unstarted.next()?;
        holder.closing = true;
        Some(*id)
    }
}
