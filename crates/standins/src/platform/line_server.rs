//! Serves one endpoint of the group over the line protocol.

use std::collections::BTreeMap;
use std::io;
use std::sync::Arc;
use std::time::Duration;
use std::time::Instant;

use tokio::io::AsyncWriteExt;
use tokio::io::BufReader;
use tokio::net::TcpListener;
use tokio::net::TcpStream;
use tokio::sync::Mutex;

use crate::platform::group_state::CommitState;
use crate::platform::group_state::ExecutedStatement;
use crate::platform::group_state::ReceivedStatement;
use crate::platform::line_reader::read_line;
use crate::platform::platform_handle::PlatformShared;

/// Pause between checks whether a replica has received a commit or applied a floor.
const COMMIT_PAUSE: Duration = Duration::from_millis(5);

/// Delay of the registry entry after a demotion: a watch may report nothing for a second.
const REGISTRY_DELAY: Duration = Duration::from_millis(1_500);

struct LineSession {
    shared: Arc<PlatformShared>,
    endpoint: String,
    team: String,
    values: BTreeMap<String, String>,
    prepared: BTreeMap<String, (bool, String)>,
    /// The open transaction: whether it may write, and its writes.
    transaction: Option<(bool, Vec<(String, String)>)>,
    /// Number of the last transaction that was begun.
    transaction_number: u64,
    failed: bool,
    /// Whether the session counts as an open connection.
    started: bool,
}

impl Drop for LineSession {
    fn drop(&mut self) {
        if self.started {
            self.shared.group().connections.close(&self.endpoint);
        }
    }
}

/// Accepts connections to an endpoint until its listener fails.
pub async fn serve_endpoint(listener: TcpListener, shared: Arc<PlatformShared>, endpoint: String) {
    while let Ok((stream, _)) = listener.accept().await {
        let session = LineSession {
            shared: Arc::clone(&shared),
            endpoint: shared.group().current(&endpoint).to_owned(),
            team: String::new(),
            values: BTreeMap::new(),
            prepared: BTreeMap::new(),
            transaction: None,
            transaction_number: 0,
            failed: false,
            started: false,
        };
        // An error only means that the client closed its connection.
        tokio::spawn(async move { session.run(stream).await.ok() });
    }
}

/// Returns the first word of the statement in a message, without a preceding `WAITFOR`, or `STARTUP`.
fn statement_word(line: &str) -> &str {
    if line.starts_with("STARTUP ") {
        return "STARTUP";
    }
    let text = line.splitn(3, ' ').nth(2).unwrap_or_default();
    let mut words = text.split(' ');
    match words.next() {
        Some("WAITFOR") => words.nth(1).unwrap_or_default(),
        word => word.unwrap_or_default(),
    }
}

impl LineSession {
    async fn run(mut self, stream: TcpStream) -> io::Result<()> {
        stream.set_nodelay(true)?;
        let (reader, writer) = stream.into_split();
        let writer = Arc::new(Mutex::new(writer));
        let mut reader = BufReader::new(reader);
        while let Some(line) = read_line(&mut reader).await? {
            let answer = self.answer(&line).await;
            let ended = self.shared.group().successors.contains_key(&self.endpoint);
            let Some(answer) = answer.or(ended.then(String::new)) else {
                // A silent endpoint keeps its connections open without answers.
                std::future::pending::<()>().await;
                return Ok(());
            };
            if answer.is_empty() {
                return Ok(());
            }
            let word = statement_word(&line);
            let (repeat, delivery) = {
                let mut group = self.shared.group();
                let delivery = group.answer_faults.draw(word, &answer);
                (group.take_repeat(word), delivery)
            };
            let copy_delay = repeat.or(delivery.copied_after);
            let mut bytes = answer.clone();
            if copy_delay == Some(Duration::ZERO) {
                bytes.push_str(&answer);
            }
            {
                // A copy is sent before or after this answer, not between its pieces.
                let mut writer = writer.lock().await;
                let end = delivery.ends_after.unwrap_or(bytes.len());
                let mut sent = 0;
                for (position, pause) in delivery.pauses {
                    let position = position.min(end);
                    writer.write_all(&bytes.as_bytes()[sent..position]).await?;
                    sent = position;
                    tokio::time::sleep(pause).await;
                }
                writer.write_all(&bytes.as_bytes()[sent..end]).await?;
                if delivery.ends_after.is_some() {
                    writer.shutdown().await?;
                    return Ok(());
                }
            }
            if let Some(delay) = copy_delay.filter(|delay| !delay.is_zero()) {
                let writer = Arc::clone(&writer);
                tokio::spawn(async move {
                    tokio::time::sleep(delay).await;
                    writer.lock().await.write_all(answer.as_bytes()).await.ok()
                });
            }
        }
        Ok(())
    }

    /// Returns the answer to a line, `None` to stay silent, or an empty answer to close the
    /// connection.
    async fn answer(&mut self, line: &str) -> Option<String> {
        {
            let group = self.shared.group();
            if group.successors.contains_key(&self.endpoint) {
                return Some(String::new());
            }
            if !group.endpoints.get(&self.endpoint)?.alive {
                return None;
            }
        }
        let mut words = line.splitn(3, ' ');
        match (words.next(), words.next(), words.next()) {
            (Some("STARTUP"), Some(service), rest) => {
                let mut fields = rest.unwrap_or_default().split(' ');
                self.team = fields.next().unwrap_or_default().to_owned();
                let expected = fields.next().unwrap_or(&self.endpoint).to_owned();
                if service != self.shared.group().service || expected != self.endpoint {
                    return Some(format!("ERROR WRONGNODE {}\r\n", self.endpoint));
                }
                self.start()
            }
            (Some("QUERY"), Some(id), Some(text)) => {
                let text = text.to_owned();
                let body = self.run_statement(id, &text).await?;
                Some(format!("{body}{}", self.ready_line()))
            }
            _ => Some(String::new()),
        }
    }

    /// Counts the connection and returns the answer to its start-up.
    fn start(&mut self) -> Option<String> {
        if !self.started {
            let mut group = self.shared.group();
            let limit = group.max_connections;
            let connections = &mut group.connections;
            self.started = connections.open(&self.endpoint, &self.team, limit);
        }
        match self.started {
            true => Some(self.ready_line()),
            false => Some(format!("ERROR CONNLIMIT {}\r\n", self.endpoint)),
        }
    }

    fn ready_line(&self) -> String {
        let group = self.shared.group();
        let state = match (&self.transaction, self.failed) {
            (None, _) => 'I',
            (Some(_), false) => 'T',
            (Some(_), true) => 'E',
        };
        let position = group.endpoints.get(&self.endpoint).map_or_else(
            || "-".to_owned(),
            |endpoint| {
                let (term, number) = group.position(endpoint);
                format!("{term}.{number}")
            },
        );
        format!("READY {state} {position}\r\n")
    }

    fn refuse(&mut self, code: &str) -> String {
        if self.transaction.is_some() {
            self.failed = true;
        }
        format!("ERROR {code} {}\r\n", self.endpoint)
    }

    async fn run_statement(&mut self, id: &str, text: &str) -> Option<String> {
        let arrived = text;
        let mut text = text;
        if let Some(rest) = text.strip_prefix("WAITFOR ") {
            let (floor, rest) = rest.split_once(' ')?;
            text = rest;
            if !self.await_floor(floor).await? {
                return Some(self.refuse("LAGGING"));
            }
        }
        if self.failed && !matches!(text, "ROLLBACK" | "COMMIT") {
            return Some(self.refuse("MALFORMED"));
        }
        if !matches!(text, "ROLLBACK" | "COMMIT") && self.has_lost_lead() {
            return Some(self.refuse("READONLY"));
        }
        let (word, rest) = text.split_once(' ').unwrap_or((text, ""));
        if matches!(word, "READ" | "WRITE" | "EXECUTE" | "COMMIT") {
            self.record_arrival(id, arrived);
        }
        if word == "BEGIN" {
            let delay = self.shared.group().begin_delay;
            tokio::time::sleep(delay).await;
        }
        if matches!(word, "READ" | "WRITE" | "EXECUTE" | "BEGIN") && self.take_busy() {
            return Some(self.refuse("BUSY"));
        }
        let complete = "COMPLETE -\r\n".to_owned();
        match word {
            "SET" if self.take_refused_value() => {
                Some(format!("ERROR FAILED {}\r\n", self.endpoint))
            }
            "SET" => {
                let (name, value) = rest.split_once(' ')?;
                self.values.insert(name.to_owned(), value.to_owned());
                Some(complete)
            }
            "RESET" => {
                self.values.clear();
                self.prepared.clear();
                Some(complete)
            }
            "PREPARE" => {
                let mut fields = rest.splitn(3, ' ');
                let name = fields.next()?.to_owned();
                let writes = fields.next()? == "WRITE";
                self.prepared
                    .insert(name, (writes, fields.next()?.to_owned()));
                Some(complete)
            }
            "BEGIN" if rest.is_empty() && !self.is_primary() => Some(self.refuse("READONLY")),
            "BEGIN" => {
                self.transaction = Some((rest.is_empty(), Vec::new()));
                self.transaction_number = {
                    let mut group = self.shared.group();
                    group.begun_transactions += 1;
                    group.begun_transactions
                };
                Some(complete)
            }
            "ROLLBACK" => {
                self.shared.group().rollback_ids.push(id.to_owned());
                self.transaction = None;
                self.failed = false;
                Some(complete)
            }
            "COMMIT" => self.commit(id).await,
            "READ" => {
                let delay = self
                    .shared
                    .group()
                    .endpoints
                    .get(&self.endpoint)?
                    .read_delay;
                tokio::time::sleep(delay).await;
                self.read(id, text, rest)
            }
            "WRITE" => self.write(id, text, rest).await,
            "EXECUTE" => {
                let (name, arguments) = rest.split_once(' ')?;
                match self.prepared.get(name).map(|(writes, _)| *writes) {
                    Some(true) => self.write(id, text, arguments).await,
                    Some(false) => self.read(id, text, arguments),
                    None => Some(self.refuse("UNDEFINED")),
                }
            }
            "RESUME" => {
                let delay = self.shared.group().resume_delay;
                tokio::time::sleep(delay).await;
                self.run_command(word, rest)
            }
            _ => self.run_command(word, rest),
        }
    }

    /// Returns whether the statement is refused because the queue is full.
    fn take_busy(&self) -> bool {
        let mut group = self.shared.group();
        let is_busy = group.busy_statements > 0;
        group.busy_statements -= u32::from(is_busy);
        is_busy
    }

    /// Returns whether a value is refused by itself.
    fn take_refused_value(&self) -> bool {
        let mut group = self.shared.group();
        let is_refused = group.refused_values > 0;
        group.refused_values -= u32::from(is_refused);
        is_refused
    }

    /// Returns whether a plain transaction is open at an endpoint that is no longer the primary.
    fn has_lost_lead(&self) -> bool {
        matches!(self.transaction, Some((true, _))) && !self.is_primary()
    }

    fn is_primary(&self) -> bool {
        let group = self.shared.group();
        group
            .endpoints
            .get(&self.endpoint)
            .is_some_and(|endpoint| endpoint.primary)
    }

    /// Waits until the endpoint has applied a floor; returns `false` if its log does not reach it.
    async fn await_floor(&self, floor: &str) -> Option<bool> {
        let (term, number) = floor.split_once('.')?;
        let (term, number): (u64, usize) = (term.parse().ok()?, number.parse().ok()?);
        loop {
            let applied = {
                let group = self.shared.group();
                let endpoint = group.endpoints.get(&self.endpoint)?;
                if (endpoint.term, endpoint.log.len()) < (term, number) {
                    return Some(false);
                }
                group.position(endpoint)
            };
            if applied >= (term, number) {
                return Some(true);
            }
            tokio::time::sleep(COMMIT_PAUSE).await;
        }
    }

    /// Returns the record of a statement that is executed now.
    fn executed(
        &self,
        id: &str,
        text: &str,
        wrote: bool,
        row: Option<String>,
    ) -> ExecutedStatement {
        let name = text.strip_prefix("EXECUTE ");
        let name = name.and_then(|rest| rest.split(' ').next());
        let definition = name.and_then(|name| self.prepared.get(name));
        let definition = definition.map(|(writes, text)| {
            let mode = if *writes { "WRITE" } else { "READ" };
            format!("{mode} {text}")
        });
        ExecutedStatement {
            id: id.to_owned(),
            endpoint: self.endpoint.clone(),
            team: self.team.clone(),
            text: text.to_owned(),
            definition,
            wrote,
            values: self.values.clone().into_iter().collect(),
            row,
            transaction: self
                .transaction
                .is_some()
                .then_some(self.transaction_number),
            executed_at: Instant::now(),
        }
    }

    fn record_write(&self, id: &str, text: &str) {
        let executed = self.executed(id, text, true, None);
        self.shared.group().executed_statements.push(executed);
    }

    fn record_arrival(&self, id: &str, text: &str) {
        let mut group = self.shared.group();
        let endpoint = group.endpoints.get(&self.endpoint);
        let zone = endpoint.map_or_else(String::new, |endpoint| endpoint.zone.clone());
        group.received_statements.push(ReceivedStatement {
            id: id.to_owned(),
            text: text.to_owned(),
            endpoint: self.endpoint.clone(),
            zone,
            received_at: Instant::now(),
        });
    }

    /// Returns the receipt of a run. No two runs have the same, even if a caller uses an id again.
    fn receipt(&self, id: &str) -> String {
        let mut group = self.shared.group();
        group.receipts += 1;
        format!("COMPLETE {}.{}.{id}\r\n", self.endpoint, group.receipts)
    }

    fn read(&mut self, id: &str, text: &str, item: &str) -> Option<String> {
        let value = {
            let mut group = self.shared.group();
            let endpoint = group.endpoints.get(&self.endpoint)?;
            let value = group.read(endpoint, item);
            let executed = self.executed(id, text, false, Some(value.clone()));
            group.executed_statements.push(executed);
            if group.lose_answers > 0 {
                group.lose_answers -= 1;
                return None;
            }
            value
        };
        Some(format!("DATAROW {value}\r\n{}", self.receipt(id)))
    }

    async fn write(&mut self, id: &str, text: &str, arguments: &str) -> Option<String> {
        if !self.is_primary() {
            return Some(self.refuse("READONLY"));
        }
        let delay = self
            .shared
            .group()
            .endpoints
            .get(&self.endpoint)?
            .write_delay;
        tokio::time::sleep(delay).await;
        let (item, value) = arguments.split_once(' ').unwrap_or((arguments, ""));
        let write = (item.to_owned(), value.to_owned());
        match &mut self.transaction {
            Some((true, writes)) => {
                writes.push(write);
                self.record_write(id, text);
                Some(self.receipt(id))
            }
            Some((false, _)) => Some(self.refuse("READONLY")),
            None => {
                self.record_write(id, text);
                self.replicate_commit(vec![write]).await?;
                Some(self.receipt(id))
            }
        }
    }

    async fn commit(&mut self, id: &str) -> Option<String> {
        let executed = self.executed(id, "COMMIT", false, None);
        let Some((is_writable, writes)) = self.transaction.take() else {
            return Some(self.refuse("MALFORMED"));
        };
        if std::mem::take(&mut self.failed) {
            return Some(self.refuse("ABORTED"));
        }
        if !writes.is_empty() {
            if is_writable && !self.is_primary() {
                return Some(self.refuse("READONLY"));
            }
            self.shared.group().executed_commits.push(executed);
            self.replicate_commit(writes).await?;
        }
        Some(self.receipt(id))
    }

    /// Commits the writes and waits until a replica has received them; returns `None` if that can no
    /// longer happen.
    async fn replicate_commit(&self, writes: Vec<(String, String)>) -> Option<()> {
        let (term, number) = self.shared.group().commit(&self.endpoint, writes)?;
        loop {
            let state = {
                let mut group = self.shared.group();
                group.replicate(&self.endpoint, term, number)
            };
            match state {
                CommitState::Received => return Some(()),
                CommitState::Lost => return None,
                CommitState::Waiting => tokio::time::sleep(COMMIT_PAUSE).await,
            }
        }
    }

    /// Runs a command of the instance that manages the group.
    fn run_command(&mut self, word: &str, rest: &str) -> Option<String> {
        let mut group = self.shared.group();
        let endpoint = group.endpoints.get_mut(&self.endpoint)?;
        match word {
            "STATUS" => {}
            "PAUSE" => endpoint.paused = rest.parse().ok()?,
            "RESUME" => endpoint.paused = 0,
            "DEMOTE" => {
                if endpoint.primary && endpoint.term < rest.parse().ok()? {
                    endpoint.visible_commits = endpoint.log.len();
                    endpoint.primary = false;
                }
                group.follow_newest();
                let shared = Arc::clone(&self.shared);
                tokio::spawn(async move {
                    tokio::time::sleep(REGISTRY_DELAY).await;
                    shared.publish();
                });
            }
            _ => return Some(format!("ERROR MALFORMED {}\r\n", self.endpoint)),
        }
        let endpoint = group.endpoints.get(&self.endpoint)?;
        let role = if endpoint.primary {
            "primary"
        } else {
            "replica"
        };
        let (term, received, paused) = (endpoint.term, endpoint.log.len(), endpoint.paused);
        Some(format!(
            "DATAROW {role} {term} {term}.{received} {paused} 0 0 1\r\nCOMPLETE -\r\n"
        ))
    }
}
