//! The database group of the stand-in: logs and roles of its endpoints, and executed statements.

use std::collections::HashMap;
use std::net::SocketAddr;
use std::time::Duration;
use std::time::Instant;

use crate::platform::answer_faults::AnswerFaults;
use crate::platform::promotion_effect::PromotionEffect;

/// Default time between a promotion request and its effect.
const PROMOTION_TIME: Duration = Duration::from_millis(300);

/// Default time after its commit at which replicas apply an entry.
const DEFAULT_LAG: Duration = Duration::from_millis(20);

/// Availability zone of an endpoint or instance that is given none.
pub const DEFAULT_ZONE: &str = "zone-a";

/// One committed transaction.
#[derive(Debug, Clone)]
pub struct LoggedCommit {
    /// Term of the primary that committed it.
    pub term: u64,
    /// Items and their new values, in order of the writes.
    pub writes: Vec<(String, String)>,
    /// Time of the commit.
    pub committed_at: Instant,
}

/// One endpoint of the group.
#[derive(Debug, Clone)]
pub struct EndpointState {
    /// Listen address.
    pub address: SocketAddr,
    /// Whether it acts as the primary; during a change, the former and the new primary both do.
    pub primary: bool,
    /// Its current term.
    pub term: u64,
    /// The commits that it has received or made.
    pub log: Vec<LoggedCommit>,
    /// Number of commits that were visible while it was the primary; they stay visible afterwards.
    pub visible_commits: usize,
    /// Whether it receives nothing from any primary.
    pub deaf: bool,
    /// Term of the command that paused replication to it; 0 if it is not paused.
    pub paused: u64,
    /// Whether it answers; if not, its connections stay open without answers.
    pub alive: bool,
    /// Whether its registry entry has the state `draining`.
    pub draining: bool,
    /// Start of its process in its registry entry.
    pub born: u64,
    /// Time by which each read takes longer.
    pub read_delay: Duration,
    /// Time by which each write takes longer.
    pub write_delay: Duration,
    /// Availability zone in its registry entry.
    pub zone: String,
    /// Time for which it is cold in its registry entry, in milliseconds; 0 if it is not cold.
    pub cold_ms: u64,
    /// Whether the registry may list it; an endpoint replicates before it is registered.
    pub registered: bool,
}

impl EndpointState {
    /// Creates a replica that has received nothing.
    pub fn new(address: SocketAddr) -> Self {
        Self {
            address,
            primary: false,
            term: 0,
            log: Vec::new(),
            visible_commits: 0,
            deaf: false,
            paused: 0,
            alive: true,
            draining: false,
            born: 1,
            read_delay: Duration::ZERO,
            write_delay: Duration::ZERO,
            zone: DEFAULT_ZONE.to_owned(),
            cold_ms: 0,
            registered: true,
        }
    }
}

/// A statement that an endpoint executed.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct ExecutedStatement {
    /// Id of the request.
    pub id: String,
    /// Id of the endpoint.
    pub endpoint: String,
    /// Team for which the connection was opened.
    pub team: String,
    /// The text as it arrived, without a preceding `WAITFOR`.
    pub text: String,
    /// Mode and text of the prepared statement that it ran, if it was one.
    pub definition: Option<String>,
    /// Whether it was a write.
    pub wrote: bool,
    /// Values that `SET` had left on the connection.
    pub values: Vec<(String, String)>,
    /// The row that it returned, if it was a read.
    pub row: Option<String>,
    /// Number of the transaction of the endpoints in which it ran, if it ran in one.
    pub transaction: Option<u64>,
    /// Time of the execution.
    pub executed_at: Instant,
}

/// A read, write or commit that arrived at an endpoint, whether or not it was executed.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct ReceivedStatement {
    /// Id of the request.
    pub id: String,
    /// The text as it arrived, with a preceding `WAITFOR`.
    pub text: String,
    /// Id of the endpoint.
    pub endpoint: String,
    /// Availability zone of the endpoint.
    pub zone: String,
    /// Time of the arrival.
    pub received_at: Instant,
}

/// Answers that endpoints send twice.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct AnswerRepeat {
    /// First words of the statements whose answers are repeated.
    pub words: Vec<String>,
    /// Time between an answer and its copy.
    pub delay: Duration,
    /// Number of answers that are still to be repeated.
    pub count: u64,
}

/// Replication state of a commit.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum CommitState {
    /// No replica has received it yet.
    Waiting,
    /// A replica has received it, so it may be acknowledged.
    Received,
    /// The endpoint is no longer the primary of the commit's term, so it can never be acknowledged.
    Lost,
}

/// Connections to the endpoints of a group.
#[derive(Debug, Clone, Default)]
pub struct ConnectionLog {
    /// Number of open connections by endpoint.
    pub open: HashMap<String, usize>,
    /// Highest number of connections that were open at a time, by endpoint.
    pub most: HashMap<String, usize>,
    /// Endpoint and team of each connection that was opened, in order.
    pub opened: Vec<(String, String)>,
    /// Endpoint and team of each connection that was refused because of the limit, in order.
    pub refused: Vec<(String, String)>,
}

impl ConnectionLog {
    /// Counts a new connection, unless `limit` are open. Returns whether it is accepted.
    pub fn open(&mut self, endpoint: &str, team: &str, limit: Option<usize>) -> bool {
        let open = self.open.entry(endpoint.to_owned()).or_default();
        let connection = (endpoint.to_owned(), team.to_owned());
        if limit.is_some_and(|limit| *open >= limit) {
            self.refused.push(connection);
            return false;
        }
        *open += 1;
        let most = self.most.entry(endpoint.to_owned()).or_default();
        *most = (*most).max(*open);
        self.opened.push(connection);
        true
    }

    /// Counts a connection that was closed.
    pub fn close(&mut self, endpoint: &str) {
        if let Some(open) = self.open.get_mut(endpoint) {
            *open -= 1;
        }
    }
}

/// State of the group of endpoints.
#[derive(Debug)]
pub struct GroupState {
    /// Name of the service.
    pub service: String,
    /// Endpoints by id.
    pub endpoints: HashMap<String, EndpointState>,
    /// Endpoints that have ended, and those that took over their addresses and logs.
    pub successors: HashMap<String, String>,
    /// Time after its commit at which replicas apply an entry.
    pub lag: Duration,
    /// Whether promotions are refused.
    pub refuse_promotions: bool,
    /// Whether the target of a promotion receives nothing until the promotion takes effect.
    pub deafen_targets: bool,
    /// Number of promotions that were accepted and have not taken effect.
    pub promotions_under_way: u32,
    /// Time between a promotion request and its effect.
    pub promotion_time: Duration,
    /// Time between a `RESUME` and its effect.
    pub resume_delay: Duration,
    /// Number of next reads that are executed but not answered.
    pub lose_answers: u32,
    /// Number of next reads, writes and transactions that are refused because the queue is full.
    pub busy_statements: u32,
    /// Number of next values that are refused without an effect on the transaction.
    pub refused_values: u32,
    /// Time after which a `BEGIN` is answered.
    pub begin_delay: Duration,
    /// Number of receipts that were given.
    pub receipts: u64,
    /// Answers that are sent twice.
    pub repeat: Option<AnswerRepeat>,
    /// Faults of answers.
    pub answer_faults: AnswerFaults,
    /// Reads and writes that were executed, in order.
    pub executed_statements: Vec<ExecutedStatement>,
    /// `COMMIT` statements that were executed, in order.
    pub executed_commits: Vec<ExecutedStatement>,
    /// Number of transactions that were begun.
    pub begun_transactions: u64,
    /// Ids of the requests for a rollback.
    pub rollback_ids: Vec<String>,
    /// Maximum number of open connections to each endpoint.
    pub max_connections: Option<usize>,
    /// Connections to endpoints.
    pub connections: ConnectionLog,
    /// Statements that arrived at an endpoint that answers, in order.
    pub received_statements: Vec<ReceivedStatement>,
    /// Accepted promotion requests: target, `Duty-Holder` and `Fencing-Token`.
    pub promotions: Vec<(String, String, u64)>,
    /// Promotions that took effect, in order.
    pub effects: Vec<PromotionEffect>,
}

impl GroupState {
    /// Returns after which time the answer to a statement with this first word is sent again, and
    /// counts the copy.
    pub fn take_repeat(&mut self, word: &str) -> Option<Duration> {
        let repeat = self.repeat.as_mut()?;
        if repeat.count == 0 || !repeat.words.iter().any(|repeated| repeated == word) {
            return None;
        }
        repeat.count -= 1;
        Some(repeat.delay)
    }

    /// Creates a group without faults.
    pub fn new(service: &str, endpoints: HashMap<String, EndpointState>) -> Self {
        Self {
            service: service.to_owned(),
            endpoints,
            successors: HashMap::new(),
            lag: DEFAULT_LAG,
            refuse_promotions: false,
            deafen_targets: false,
            promotions_under_way: 0,
            promotion_time: PROMOTION_TIME,
            resume_delay: Duration::ZERO,
            lose_answers: 0,
            busy_statements: 0,
            refused_values: 0,
            begin_delay: Duration::ZERO,
            receipts: 0,
            repeat: None,
            answer_faults: AnswerFaults::default(),
            executed_statements: Vec::new(),
            executed_commits: Vec::new(),
            begun_transactions: 0,
            rollback_ids: Vec::new(),
            max_connections: None,
            connections: ConnectionLog::default(),
            received_statements: Vec::new(),
            promotions: Vec::new(),
            effects: Vec::new(),
        }
    }

    /// Adds a replica, which receives the log of the primary at once.
    pub fn join(&mut self, id: &str, address: SocketAddr) {
        let primary = self.primary().and_then(|id| self.endpoints.get(&id));
        let (term, log) = primary.map_or((0, Vec::new()), |p| (p.term, p.log.clone()));
        let state = EndpointState {
            term,
            log,
            ..EndpointState::new(address)
        };
        self.endpoints.insert(id.to_owned(), state);
    }

    /// Ends an endpoint and starts another one, which is not registered yet, at its address and with
    /// its log. Returns whether there was such an endpoint.
    pub fn succeed(&mut self, id: &str, successor: &str) -> bool {
        let Some(former) = self.endpoints.remove(id) else {
            return false;
        };
        let state = EndpointState {
            primary: false,
            alive: true,
            draining: false,
            deaf: false,
            paused: 0,
            registered: false,
            ..former
        };
        self.endpoints.insert(successor.to_owned(), state);
        self.successors.insert(id.to_owned(), successor.to_owned());
        self.follow_newest();
        true
    }

    /// Returns the endpoint that serves the address of an endpoint now.
    pub fn current<'a>(&'a self, id: &'a str) -> &'a str {
        let mut current = id;
        while let Some(successor) = self.successors.get(current) {
            current = successor;
        }
        current
    }

    /// Restarts an endpoint as a replica with an empty log, which it receives again with the next
    /// commit.
    pub fn restart(&mut self, id: &str) {
        if let Some(endpoint) = self.endpoints.get_mut(id) {
            endpoint.primary = false;
            endpoint.term = 0;
            endpoint.log.clear();
            endpoint.visible_commits = 0;
            endpoint.paused = 0;
            endpoint.born += 1;
        }
    }

    /// Returns the id of the endpoint that answers and is the primary of the newest term.
    pub fn primary(&self) -> Option<String> {
        let primaries = self.endpoints.iter().filter(|(_, e)| e.primary && e.alive);
        primaries
            .max_by_key(|(_, endpoint)| endpoint.term)
            .map(|(id, _)| id.clone())
    }

    /// Appends a commit to the log of an endpoint; returns its term and its number, from 1.
    /// Returns `None` if there is no such endpoint.
    pub fn commit(
        &mut self,
        endpoint: &str,
        writes: Vec<(String, String)>,
    ) -> Option<(u64, usize)> {
        let primary = self.endpoints.get_mut(endpoint)?;
        primary.log.push(LoggedCommit {
            term: primary.term,
            writes,
            committed_at: Instant::now(),
        });
        Some((primary.term, primary.log.len()))
    }

    /// Copies the log of an endpoint to the replicas that follow it, and returns the state of the
    /// commit with this term and number.
    pub fn replicate(&mut self, endpoint: &str, term: u64, number: usize) -> CommitState {
        let Some(primary) = self.endpoints.get(endpoint) else {
            return CommitState::Lost;
        };
        if !primary.primary || primary.term != term || primary.log.len() < number {
            return CommitState::Lost;
        }
        if !primary.alive {
            return CommitState::Waiting;
        }
        let log = primary.log.clone();
        let mut state = CommitState::Waiting;
        for (id, replica) in &mut self.endpoints {
            let follows = id != endpoint && !replica.primary && replica.alive;
            let in_term = replica.term == term || replica.term == 0;
            if follows && !replica.deaf && replica.paused == 0 && in_term {
                replica.term = term;
                replica.log.clone_from(&log);
                state = CommitState::Received;
            }
        }
        state
    }

    /// Turns answering endpoints with an older term into replicas of the newest primary.
    pub fn follow_newest(&mut self) {
        for endpoint in self.endpoints.values_mut() {
            endpoint.visible_commits = if endpoint.primary {
                endpoint.log.len()
            } else {
                endpoint.visible_commits
            };
        }
        let Some(primary) = self.primary() else {
            return;
        };
        let (term, log) = {
            let primary = &self.endpoints[&primary];
            (primary.term, primary.log.clone())
        };
        for endpoint in self.endpoints.values_mut() {
            if endpoint.alive && !endpoint.deaf && endpoint.term < term {
                endpoint.primary = false;
                endpoint.term = term;
                endpoint.paused = 0;
                endpoint.log.clone_from(&log);
            }
        }
    }

    /// Lets a silent endpoint answer again; it becomes a replica if another endpoint is the primary of
    /// a newer term.
    pub fn revive(&mut self, id: &str) {
        if let Some(endpoint) = self.endpoints.get_mut(id) {
            endpoint.alive = true;
        }
        self.follow_newest();
    }

    /// Makes an endpoint the primary of the next term with the log that it has received. A former
    /// primary keeps its role and term until it is demoted or follows the new one. Returns whether the
    /// endpoint is now the primary of the newest term.
    pub fn promote(&mut self, target: &str) -> bool {
        let newest = self.endpoints.values().map(|e| e.term).max().unwrap_or(0);
        let Some(endpoint) = self.endpoints.get(target) else {
            return false;
        };
        if !endpoint.alive {
            return false;
        }
        if endpoint.primary && endpoint.term == newest {
            return true;
        }
        let effect = PromotionEffect::new(self, target);
        self.effects.push(effect);
        let Some(endpoint) = self.endpoints.get_mut(target) else {
            return false;
        };
        endpoint.primary = true;
        endpoint.term = newest + 1;
        endpoint.paused = 0;
        let log = endpoint.log.clone();
        for (id, other) in &mut self.endpoints {
            if id != target && other.alive && !other.deaf && !other.primary {
                other.term = newest + 1;
                other.paused = 0;
                other.log.clone_from(&log);
            }
        }
        true
    }

    /// Returns the number of commits of an endpoint that are visible to reads.
    pub fn applied(&self, endpoint: &EndpointState) -> usize {
        if endpoint.primary {
            return endpoint.log.len();
        }
        let visible = |commit: &LoggedCommit| commit.committed_at.elapsed() >= self.lag;
        let visible = endpoint.log.iter().take_while(|commit| visible(commit));
        visible
            .count()
            .max(endpoint.visible_commits.min(endpoint.log.len()))
    }

    /// Returns the term and the number of visible commits of an endpoint. The term is that of the
    /// endpoint if its whole log is visible, and that of the last visible commit otherwise.
    pub fn position(&self, endpoint: &EndpointState) -> (u64, usize) {
        let applied = self.applied(endpoint);
        let last = applied
            .checked_sub(1)
            .and_then(|last| endpoint.log.get(last));
        let term = match applied == endpoint.log.len() {
            true => endpoint.term,
            false => last.map_or(0, |commit| commit.term),
        };
        (term, applied)
    }

    /// Returns the value of an item at an endpoint, or `none` if the item does not exist.
    pub fn read(&self, endpoint: &EndpointState, item: &str) -> String {
        let applied = self.applied(endpoint);
        let mut writes = endpoint.log[..applied].iter().flat_map(|c| &c.writes);
        writes
            .rfind(|(key, _)| key == item)
            .map_or_else(|| "none".to_owned(), |(_, value)| value.clone())
    }

    /// Returns the registry entry of an endpoint.
    pub fn entry(&self, id: &str) -> Option<serde_json::Value> {
        let endpoint = self.endpoints.get(id)?;
        Some(serde_json::json!({
            "Service": self.service,
            "Address": endpoint.address.to_string(),
            "Zone": endpoint.zone,
            "Version": "v1",
            "Slots": 4,
            "State": if endpoint.draining { "draining" } else { "ready" },
            "ColdRemainingMs": endpoint.cold_ms,
            "DatabaseRole": if endpoint.primary { "primary" } else { "replica" },
            "Sequence": 1,
            "born": endpoint.born,
        }))
    }
}
