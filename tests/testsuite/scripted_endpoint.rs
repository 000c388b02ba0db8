//! An endpoint whose answers depend on words in the statement, for tests of the listener.

use std::collections::HashMap;
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::atomic::AtomicBool;
use std::sync::atomic::AtomicU64;
use std::sync::atomic::Ordering;

use bytes::BytesMut;
use tamaracklb::connection::wire_frame;
use tamaracklb::connection::wire_frame::WireFrame;
use tamaracklb::connection::wire_reply;
use tamaracklb::process::endpoint_status;
use tokio::io::AsyncReadExt;
use tokio::io::AsyncWriteExt;
use tokio::net::TcpListener;
use tokio::net::TcpStream;

/// Time after which a connection counts as idle.
const IDLE_DELAY: std::time::Duration = std::time::Duration::from_millis(20);
/// Time by which a copy precedes an answer.
const EARLY_TIME: std::time::Duration = std::time::Duration::from_millis(2);
const FRAME_LIMIT: usize = 64 * 1024 * 1024;

/// The messages of an answer that an endpoint sends a second time.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum RepeatedPart {
    /// All of them, up to ReadyForQuery.
    Whole,
    /// Those of this type.
    Kind(u8),
}

/// When an endpoint sends an answer the second time.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum RepeatTime {
    /// In the same write.
    AtOnce,
    /// Before the answer to the next simple query, of a caller or of the instance.
    BeforeAny,
    /// Before the answer to the next statement of a caller.
    BeforeNext,
    /// After the answer to the next statement of a caller, before what follows it.
    AfterNext,
    /// While the connection is idle.
    Idle,
}

/// An answer that an endpoint sends a second time.
#[derive(Debug, Clone)]
pub struct AnswerRepeat {
    /// Text that the statement of the answer contains.
    pub statement: String,
    /// What is sent again.
    pub part: RepeatedPart,
    /// When it is sent again.
    pub time: RepeatTime,
}

/// Behavior of a scripted endpoint and what it received.
#[derive(Default)]
pub struct EndpointScript {
    /// The next answer to repeat; repeated once.
    pub repeat: Mutex<Option<AnswerRepeat>>,
    /// Statements in order of arrival, each with the number of its connection.
    pub received: Mutex<Vec<(u64, String)>>,
    /// Number of bytes in copied rows.
    pub copied: AtomicU64,
    /// Number of cancel requests.
    pub cancels: AtomicU64,
    /// Whether the endpoint reports the role of a replica and refuses writes.
    pub replica: AtomicBool,
    /// Term in status reports.
    pub term: AtomicU64,
    position: AtomicU64,
    connections: AtomicU64,
}

/// An endpoint that listens on loopback.
pub struct ScriptedEndpoint {
    /// Address that the endpoint listens on.
    pub address: SocketAddr,
    /// Behavior of the endpoint and what it received.
    pub script: Arc<EndpointScript>,
}

impl ScriptedEndpoint {
    /// Starts an endpoint that is the primary of term 1.
    pub async fn start() -> Self {
        let listener = TcpListener::bind("127.0.0.1:0").await.expect("bind");
        let address = listener.local_addr().expect("address");
        let script = Arc::new(EndpointScript::default());
        script.term.store(1, Ordering::Relaxed);
        let shared = script.clone();
        tokio::spawn(async move {
            while let Ok((stream, _)) = listener.accept().await {
                stream.set_nodelay(true).expect("nodelay");
                let connection_number = shared.connections.fetch_add(1, Ordering::Relaxed);
                tokio::spawn(EndpointScript::serve(
                    shared.clone(),
                    stream,
                    connection_number,
                ));
            }
        });
        Self { address, script }
    }
}

impl EndpointScript {
    /// Returns the received statements in order, without status queries.
    pub fn statements(&self) -> Vec<String> {
        let received = self.received.lock().expect("lock");
        let statements = received.iter().map(|(_, text)| text.clone());
        statements.filter(|text| !is_internal(text)).collect()
    }

    /// Sets the term that status reports name.
    pub fn set_term(&self, term: u64) {
        self.term.store(term, Ordering::Relaxed);
    }

    /// Returns the number of connections opened so far.
    pub fn connections(&self) -> u64 {
        self.connections.load(Ordering::Relaxed)
    }

    async fn serve(self: Arc<Self>, stream: TcpStream, connection_number: u64) {
        let mut session = ScriptSession {
            script: self,
            stream,
            input: BytesMut::new(),
            out: BytesMut::new(),
            connection_number,
            status: b'I',
            prepared: HashMap::new(),
            portals: HashMap::new(),
            failed: false,
            copying: None,
            marker: String::new(),
            last_query: String::new(),
            answer: BytesMut::new(),
            copy: None,
        };
        // A connection error ends the session, as on a real endpoint.
        let _ = session.run().await;
    }
}

struct ScriptSession {
    script: Arc<EndpointScript>,
    stream: TcpStream,
    input: BytesMut,
    out: BytesMut,
    connection_number: u64,
    status: u8,
    prepared: HashMap<String, String>,
    portals: HashMap<String, String>,
    failed: bool,
    /// Kind of the message that started the current copy: Query or Execute.
    copying: Option<u8>,
    /// The value of the setting tamaracklb.marker.
    marker: String,
    /// The statement that ran last.
    last_query: String,
    /// The present answer so far.
    answer: BytesMut,
    /// A copy of an earlier answer that is still to be sent.
    copy: Option<(RepeatTime, BytesMut)>,
}

fn read_text(bytes: &[u8]) -> (String, &[u8]) {
    let (text, rest) = wire_frame::split_text(bytes).expect("text");
    (String::from_utf8_lossy(text).into_owned(), rest)
}

impl ScriptSession {
    async fn run(&mut self) -> std::io::Result<()> {
        let length = self.stream.read_u32().await? as usize;
        let mut packet = vec![0; length - 4];
        self.stream.read_exact(&mut packet).await?;
        if packet[..4] == 80_877_102_u32.to_be_bytes() {
            self.script.cancels.fetch_add(1, Ordering::Relaxed);
            return Ok(());
        }
        self.put(b'R', &0_u32.to_be_bytes());
        wire_reply::put_parameter("server_version", "16.0", &mut self.out);
        self.put(b'K', &[0, 0, 0, 7, 0, 0, 0, 9]);
        wire_reply::put_ready(b'I', &mut self.out);
        loop {
            self.stream.write_all_buf(&mut self.out).await?;
            let frame = loop {
                let found = WireFrame::split_first(&mut self.input, FRAME_LIMIT);
                if let Some(frame) = found.expect("frame") {
                    break frame;
                }
                if self.read_input().await? == 0 {
                    return Ok(());
                }
            };
            if !self.answer(&frame).await? {
                return Ok(());
            }
            self.repeat_answer(&frame).await?;
        }
    }

    fn put(&mut self, kind: u8, body: &[u8]) {
        self.out
            .extend_from_slice(WireFrame::new(kind, body).bytes());
    }

    fn error(&mut self, sqlstate: &'static str) {
        self.error_with(sqlstate, "scripted");
    }

    fn error_with(&mut self, sqlstate: &'static str, message: &str) {
        let error = wire_reply::CallerError::new(sqlstate, message);
        error.encode(wire_reply::ErrorScope::Request, &mut self.out);
        self.failed = true;
        if self.status == b'T' {
            self.status = b'E';
        }
    }

    /// Answers one message; returns whether the connection stays open.
    async fn answer(&mut self, frame: &WireFrame) -> std::io::Result<bool> {
        if let Some(kind) = self.copying {
            match frame.kind() {
                b'd' => {
                    let bytes = frame.body().len() as u64;
                    self.script.copied.fetch_add(bytes, Ordering::Relaxed);
                }
                b'c' | b'f' => {
                    self.copying = None;
                    if frame.kind() == b'f' {
                        self.error("57014");
                    } else {
                        wire_reply::put_complete("COPY 1", &mut self.out);
                    }
                    if kind == b'Q' {
                        self.ready();
                    }
                }
                _ => {}
            }
            return Ok(true);
        }
        if self.failed && frame.kind() != b'S' && frame.kind() != b'Q' {
            return Ok(true);
        }
        match frame.kind() {
            b'Q' => {
                self.failed = false;
                let (query, _) = read_text(frame.body());
                if !self.run_query(&query).await? {
                    return Ok(false);
                }
                if self.copying.is_none() {
                    self.ready();
                }
            }
            b'P' => {
                let (name, rest) = read_text(frame.body());
                let (query, _) = read_text(rest);
                if self.prepared.insert(name.clone(), query).is_some() && !name.is_empty() {
                    self.error("42P05");
                } else {
                    self.put(b'1', &[]);
                }
            }
            b'B' => {
                let (portal, rest) = read_text(frame.body());
                let (name, _) = read_text(rest);
                match self.prepared.get(&name).cloned() {
                    Some(query) => {
                        self.portals.insert(portal, query);
                        self.put(b'2', &[]);
                    }
                    None => self.error("26000"),
                }
            }
            b'D' => {
                let (name, _) = read_text(&frame.body()[1..]);
                let is_statement = frame.body()[0] == b'S';
                let query = if is_statement {
                    self.prepared.get(&name)
                } else {
                    self.portals.get(&name)
                };
                match query.cloned() {
                    None => self.error_with("26000", &format!("{name} does not exist")),
                    Some(query) => {
                        if is_statement {
                            self.put(b't', &[0, 0]);
                        }
                        if returns_rows(&query) {
                            wire_reply::put_text_column("value", &mut self.out);
                        } else {
                            self.put(b'n', &[]);
                        }
                    }
                }
            }
            b'E' => {
                let (portal, _) = read_text(frame.body());
                let query = self.portals.get(&portal).cloned().unwrap_or_default();
                return self.run_statement(&query, b'E').await;
            }
            b'C' => {
                let (name, _) = read_text(&frame.body()[1..]);
                self.prepared.remove(&name);
                self.put(b'3', &[]);
            }
            b'S' => {
                self.failed = false;
                self.ready();
            }
            b'H' => {}
            _ => return Ok(false),
        }
        Ok(true)
    }

    /// Adds a due copy of an earlier answer to the output, and makes one of this answer if asked.
    async fn repeat_answer(&mut self, frame: &WireFrame) -> std::io::Result<()> {
        let is_end = matches!(frame.kind(), b'Q' | b'S');
        let is_callers = match frame.kind() {
            b'Q' => {
                let (query, _) = read_text(frame.body());
                !is_internal(&query)
            }
            b'E' => true,
            _ => false,
        };
        if frame.kind() == b'Q'
            && let Some((_, copy)) = self.copy.take_if(|copy| copy.0 == RepeatTime::BeforeAny)
        {
            self.write_early(copy).await?;
        }
        if is_callers {
            match self.copy.take() {
                Some((RepeatTime::BeforeNext, copy)) => {
                    self.write_early(copy).await?;
                }
                Some((RepeatTime::AfterNext, copy)) => {
                    let mut out = std::mem::take(&mut self.out);
                    out.extend_from_slice(&copy);
                    self.write_early(out).await?;
                }
                other => self.copy = other,
            }
        }
        self.answer.extend_from_slice(&self.out);
        if !is_end {
            return Ok(());
        }
        let mut answer = std::mem::take(&mut self.answer);
        let mut repeat = self.script.repeat.lock().expect("lock");
        let is_wanted = |repeat: &mut AnswerRepeat| self.last_query.contains(&repeat.statement);
        let Some(repeat) = repeat.take_if(is_wanted) else {
            return Ok(());
        };
        let mut copy = BytesMut::new();
        while let Ok(Some(frame)) = WireFrame::split_first(&mut answer, FRAME_LIMIT) {
            if matches!(repeat.part, RepeatedPart::Whole)
                || repeat.part == RepeatedPart::Kind(frame.kind())
            {
                copy.extend_from_slice(frame.bytes());
            }
        }
        if repeat.time == RepeatTime::AtOnce {
            self.out.extend_from_slice(&copy);
        } else {
            self.copy = Some((repeat.time, copy));
        }
        Ok(())
    }

    /// Sends bytes so that they arrive alone, before what follows.
    async fn write_early(&mut self, mut copy: BytesMut) -> std::io::Result<()> {
        self.stream.write_all_buf(&mut copy).await?;
        tokio::time::sleep(EARLY_TIME).await;
        Ok(())
    }

    /// Waits for input; sends a copy that is due while the connection is idle.
    async fn read_input(&mut self) -> std::io::Result<usize> {
        if let Some((RepeatTime::Idle, copy)) = &mut self.copy {
            tokio::select! {
                biased;
                read = self.stream.read_buf(&mut self.input) => return read,
                () = tokio::time::sleep(IDLE_DELAY) => {}
            }
            self.stream.write_all_buf(copy).await?;
            self.copy = None;
        }
        self.stream.read_buf(&mut self.input).await
    }

    fn ready(&mut self) {
        wire_reply::put_ready(self.status, &mut self.out);
    }

    /// Runs the statements of a simple query; returns whether the connection stays open.
    async fn run_query(&mut self, query: &str) -> std::io::Result<bool> {
        if query.trim().is_empty() {
            self.put(b'I', &[]);
            return Ok(true);
        }
        for statement in query.split(';').filter(|part| !part.trim().is_empty()) {
            if !self.run_statement(statement, b'Q').await? {
                return Ok(false);
            }
            if self.failed {
                break;
            }
        }
        Ok(true)
    }

    /// Runs one statement; returns whether the connection stays open.
    async fn run_statement(&mut self, query: &str, kind: u8) -> std::io::Result<bool> {
        let received = (self.connection_number, query.trim().to_owned());
        if !query.contains("tamaracklb.marker") {
            self.last_query = received.1.clone();
        }
        self.script.received.lock().expect("lock").push(received);
        let script = self.script.clone();
        if query.contains("die now") {
            return Ok(false);
        }
        if query.contains("stay silent") {
            let cancels = script.cancels.load(Ordering::Relaxed);
            while script.cancels.load(Ordering::Relaxed) == cancels {
                tokio::time::sleep(std::time::Duration::from_millis(5)).await;
            }
            self.error("57014");
            return Ok(true);
        }
        if query.contains("platform_status") {
            let marker = read_literal(query);
            self.put_status(marker.as_deref());
            return Ok(true);
        }
        let command = query.split_whitespace().next().unwrap_or_default();
        let command = command.to_ascii_uppercase();
        let replica = script.replica.load(Ordering::Relaxed);
        match command.as_str() {
            "COMMIT" | "ROLLBACK" => self.status = b'I',
            _ if self.status == b'E' => {
                self.error("25P02");
                return Ok(true);
            }
            "BEGIN" | "START" => self.status = b'T',
            "FAIL" => {
                self.error("22012");
                return Ok(true);
            }
            "COPY" if query.to_ascii_uppercase().contains("FROM STDIN") => {
                self.copying = Some(kind);
                self.put(b'G', &[0, 0, 0]);
                return Ok(true);
            }
            "COPY" => {
                self.put(b'H', &[0, 0, 0]);
                for _ in 0..1000 {
                    self.put(b'd', &[b'x'; 1000]);
                }
                self.put(b'c', &[]);
                wire_reply::put_complete("COPY 1000", &mut self.out);
                return Ok(true);
            }
            "SELECT" | "SHOW" if !(replica && query.contains("writing_function")) => {
                return self.select(query, kind).await;
            }
            "SET" if query.contains("tamaracklb.marker") => {
                self.marker = read_literal(query).unwrap_or_default();
            }
            "SET" | "RESET" | "LISTEN" => {}
            _ if replica => {
                self.error("25006");
                return Ok(true);
            }
            _ => {
                script.position.fetch_add(1, Ordering::Relaxed);
            }
        }
        let tag = match command.as_str() {
            "INSERT" => "INSERT 0 1",
            "CREATE" => "CREATE TABLE",
            command => command,
        };
        wire_reply::put_complete(tag, &mut self.out);
        if query.contains("late report") {
            wire_reply::put_parameter("TimeZone", "UTC", &mut self.out);
        }
        Ok(true)
    }

    async fn select(&mut self, query: &str, kind: u8) -> std::io::Result<bool> {
        if kind == b'Q' {
            wire_reply::put_text_column("value", &mut self.out);
        }
        let rows = if query.contains("many rows") {
            50_000
        } else {
            1
        };
        let value = if query.contains("echo") {
            query.trim().to_owned()
        } else if query.contains("tamaracklb.marker") {
            self.marker.clone()
        } else {
            format!("connection {}", self.connection_number)
        };
        for _ in 0..rows {
            wire_reply::put_text_row(&value, &mut self.out);
            if self.out.len() > 64 * 1024 {
                self.stream.write_all_buf(&mut self.out).await?;
            }
        }
        wire_reply::put_complete(&format!("SELECT {rows}"), &mut self.out);
        Ok(true)
    }

    /// Adds the description of columns with the type text.
    fn put_columns(&mut self, names: &[&str]) {
        let mut body = vec![0, u8::try_from(names.len()).expect("count")];
        for name in names {
            body.extend_from_slice(name.as_bytes());
            // No table, type 25 of any length, text format.
            body.extend_from_slice(&[0, 0, 0, 0, 0, 0, 0, 0, 0, 0, 25]);
            body.extend_from_slice(&[255, 255, 255, 255, 255, 255, 0, 0]);
        }
        self.put(b'T', &body);
    }

    fn put_status(&mut self, marker: Option<&str>) {
        let script = &self.script;
        let role = if script.replica.load(Ordering::Relaxed) {
            "replica"
        } else {
            "primary"
        };
        let term = script.term.load(Ordering::Relaxed).to_string();
        let position = script.position.load(Ordering::Relaxed).to_string();
        let mut values = vec![role, &term, &position, "0", "0", "", ""];
        values.extend(marker);
        let mut row = vec![0, u8::try_from(values.len()).expect("count")];
        for value in values {
            row.extend_from_slice(&u32::try_from(value.len()).expect("length").to_be_bytes());
            row.extend_from_slice(value.as_bytes());
        }
        let names = endpoint_status::STATUS_COLUMNS.iter().copied();
        let names: Vec<&str> = names.chain(marker.map(|_| "marker")).collect();
        self.put_columns(&names);
        self.put(b'D', &row);
        wire_reply::put_complete("SELECT 1", &mut self.out);
    }
}

/// Returns the first string literal of a statement.
fn read_literal(query: &str) -> Option<String> {
    query.split('\'').nth(1).map(str::to_owned)
}

/// Returns whether a statement is one that the instance adds to those of callers.
fn is_internal(text: &str) -> bool {
    text.contains("platform_") || text.contains("tamaracklb.marker")
}

fn returns_rows(query: &str) -> bool {
    let query = query.trim_start().to_ascii_uppercase();
    query.starts_with("SELECT") || query.starts_with("SHOW")
}
