//! The database group of the stand-in: its log, roles and what ran.

use std::collections::HashMap;
use std::net::SocketAddr;
use std::time::Duration;
use std::time::Instant;

/// One committed transaction.
#[derive(Debug, Clone)]
pub struct LoggedCommit {
    /// The term of the primary that it was committed on.
    pub term: u64,
    /// Items and their new values.
    pub writes: Vec<(String, String)>,
    /// When it was committed.
    pub at: Instant,
}

/// One endpoint of the group.
#[derive(Debug, Clone)]
pub struct EndpointState {
    /// Where it listens.
    pub address: SocketAddr,
    /// Whether it calls itself the primary.
    pub primary: bool,
    /// Its term.
    pub term: u64,
    /// Its log.
    pub log: Vec<LoggedCommit>,
    /// How many commits it has shown as a primary, which it goes on to show.
    pub shown: usize,
    /// The term of a pause; 0 for none.
    pub paused: u64,
    /// Whether it answers; its connections are silent otherwise.
    pub alive: bool,
    /// Whether it is about to leave.
    pub draining: bool,
}

/// A statement that ran.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct ExecutedStatement {
    /// The id of the request.
    pub id: String,
    /// The endpoint.
    pub endpoint: String,
    /// For whom the connection was opened.
    pub team: String,
    /// Whether it wrote.
    pub wrote: bool,
    /// The session values of the connection.
    pub values: Vec<(String, String)>,
    /// When it ran.
    pub at: Instant,
}

/// How far a commit has come.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum CommitState {
    /// No replica has received it.
    Waiting,
    /// A replica has received it, so that it may be acknowledged.
    Received,
    /// The endpoint no longer leads its term.
    Lost,
}

/// The group.
#[derive(Debug)]
pub struct GroupState {
    /// The service.
    pub service: String,
    /// Endpoints by id.
    pub endpoints: HashMap<String, EndpointState>,
    /// How late replicas apply what they receive.
    pub lag: Duration,
    /// Whether promotions are refused.
    pub refuse_promotions: bool,
    /// How many reads lose their answer from now on.
    pub lose_answers: u32,
    /// Statements that ran.
    pub runs: Vec<ExecutedStatement>,
    /// Promotions with their holders and tokens.
    pub promotions: Vec<(String, String, u64)>,
}

impl GroupState {
    /// Returns the id of the endpoint that leads the newest term.
    pub fn primary(&self) -> Option<String> {
        let leads = self.endpoints.iter().filter(|(_, e)| e.primary && e.alive);
        leads
            .max_by_key(|(_, endpoint)| endpoint.term)
            .map(|(id, _)| id.clone())
    }

    /// Commits on an endpoint; returns the term and the number of the commit.
    pub fn commit(
        &mut self,
        endpoint: &str,
        writes: Vec<(String, String)>,
    ) -> Option<(u64, usize)> {
        let primary = self.endpoints.get_mut(endpoint)?;
        primary.log.push(LoggedCommit {
            term: primary.term,
            writes,
            at: Instant::now(),
        });
        Some((primary.term, primary.log.len()))
    }

    /// Sends the log of an endpoint to the replicas that receive it.
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
            if follows && replica.paused == 0 && replica.term == term {
                replica.log.clone_from(&log);
                state = CommitState::Received;
            }
        }
        state
    }

    /// Makes endpoints of older terms, which can reach the newest primary, its replicas.
    pub fn follow_newest(&mut self) {
        for endpoint in self.endpoints.values_mut() {
            endpoint.shown = if endpoint.primary {
                endpoint.log.len()
            } else {
                endpoint.shown
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
            if endpoint.alive && endpoint.term < term {
                endpoint.primary = false;
                endpoint.term = term;
                endpoint.paused = 0;
                endpoint.log.clone_from(&log);
            }
        }
    }

    /// Lets a dark endpoint answer again: as a replica where another one leads by now.
    pub fn revive(&mut self, id: &str) {
        if let Some(endpoint) = self.endpoints.get_mut(id) {
            endpoint.alive = true;
        }
        self.follow_newest();
    }

    /// Makes an endpoint the primary of the next term with what it has received. A former primary
    /// goes on by itself until it is demoted or follows the new one.
    pub fn promote(&mut self, target: &str) -> bool {
        let newest = self.endpoints.values().map(|e| e.term).max().unwrap_or(0);
        let Some(endpoint) = self.endpoints.get_mut(target) else {
            return false;
        };
        if !endpoint.alive {
            return false;
        }
        if endpoint.primary && endpoint.term == newest {
            return true;
        }
        endpoint.primary = true;
        endpoint.term = newest + 1;
        endpoint.paused = 0;
        let log = endpoint.log.clone();
        for (id, other) in &mut self.endpoints {
            if id != target && other.alive && !other.primary {
                other.term = newest + 1;
                other.paused = 0;
                other.log.clone_from(&log);
            }
        }
        true
    }

    /// Returns how many commits an endpoint shows to reads.
    pub fn applied(&self, endpoint: &EndpointState) -> usize {
        if endpoint.primary {
            return endpoint.log.len();
        }
        let visible = |commit: &LoggedCommit| commit.at.elapsed() >= self.lag;
        let visible = endpoint.log.iter().take_while(|commit| visible(commit));
        visible.count().max(endpoint.shown.min(endpoint.log.len()))
    }

    /// Returns the position of an endpoint: a replica that has not applied its whole log is still in
    /// the term of the last commit that it shows.
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

    /// Returns the value of an item at an endpoint.
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
            "Zone": "zone-a",
            "Version": "v1",
            "Slots": 4,
            "State": if endpoint.draining { "draining" } else { "ready" },
            "ColdRemainingMs": 0,
            "DatabaseRole": if endpoint.primary { "primary" } else { "replica" },
            "Sequence": 1,
            "born": 1,
        }))
    }
}
