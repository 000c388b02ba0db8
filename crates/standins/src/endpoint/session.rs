//! Sessions of clients with the stand-in endpoint, over the PostgreSQL protocol.

use std::collections::BTreeMap;
use std::collections::HashMap;
use std::io;
use std::sync::Arc;
use std::time::Duration;

use bytes::BufMut;
use bytes::Bytes;
use bytes::BytesMut;
use pgwire::error::PgWireError;
use pgwire::messages::DecodeContext;
use pgwire::messages::PgWireBackendMessage;
use pgwire::messages::PgWireFrontendMessage;
use pgwire::messages::ProtocolVersion;
use pgwire::messages::SslNegotiationMetaMessage;
use pgwire::messages::copy::CopyData;
use pgwire::messages::copy::CopyDone;
use pgwire::messages::copy::CopyInResponse;
use pgwire::messages::copy::CopyOutResponse;
use pgwire::messages::data::DataRow;
use pgwire::messages::data::FieldDescription;
use pgwire::messages::data::NoData;
use pgwire::messages::data::ParameterDescription;
use pgwire::messages::data::RowDescription;
use pgwire::messages::extendedquery::Bind;
use pgwire::messages::extendedquery::BindComplete;
use pgwire::messages::extendedquery::CloseComplete;
use pgwire::messages::extendedquery::Parse;
use pgwire::messages::extendedquery::ParseComplete;
use pgwire::messages::extendedquery::PortalSuspended;
use pgwire::messages::extendedquery::TARGET_TYPE_BYTE_STATEMENT;
use pgwire::messages::response::CommandComplete;
use pgwire::messages::response::EmptyQueryResponse;
use pgwire::messages::response::ErrorResponse;
use pgwire::messages::response::ReadyForQuery;
use pgwire::messages::response::SslResponse;
use pgwire::messages::response::TransactionStatus;
use pgwire::messages::startup::Authentication;
use pgwire::messages::startup::BackendKeyData;
use pgwire::messages::startup::NegotiateProtocolVersion;
use pgwire::messages::startup::ParameterStatus;
use pgwire::messages::startup::SecretKey;
use pgwire::messages::startup::Startup;
use tokio::io::AsyncReadExt;
use tokio::io::AsyncWriteExt;
use tokio::net::TcpStream;
use tokio::sync::Notify;

use crate::endpoint::connection_guard::ConnectionGuard;
use crate::endpoint::parser::ParsedStatement;
use crate::endpoint::parser::parse_statement;
use crate::endpoint::reply::ColumnType;
use crate::endpoint::reply::ReplyColumn;
use crate::endpoint::reply::ReplyValue;
use crate::endpoint::reply::SqlError;
use crate::endpoint::run::RowSource;
use crate::endpoint::run::StatementOutcome;
use crate::endpoint::run::insert_row;
use crate::endpoint::run::parse_copy_line;
use crate::endpoint::run::run_statement;
use crate::endpoint::run::take_slot;
use crate::endpoint::shared::EndpointShared;
use crate::endpoint::shared::ReceivedCredential;
use crate::endpoint::shared::TrafficDirection;
use crate::endpoint::shared::lock;
use crate::endpoint::statement::SqlStatement;
use crate::endpoint::tokens::split_statements;
use crate::endpoint::transaction::ClientTransaction;

/// Number of buffered output bytes at which rows are flushed to the client.
const FLUSH_BYTES: usize = 64 * 1024;
const SESSION_PARAMETERS: [(&str, &str); 6] = [
    ("server_version", "16.0"),
    ("server_encoding", "UTF8"),
    ("client_encoding", "UTF8"),
    ("DateStyle", "ISO, MDY"),
    ("integer_datetimes", "on"),
    ("standard_conforming_strings", "on"),
];

/// Why a session or a statement ends early.
#[derive(Debug)]
pub enum SessionError {
    /// The connection failed or is to be closed.
    Io(io::Error),
    /// A statement failed.
    Sql(SqlError),
}

impl From<io::Error> for SessionError {
    fn from(error: io::Error) -> Self {
        SessionError::Io(error)
    }
}

impl From<SqlError> for SessionError {
    fn from(error: SqlError) -> Self {
        SessionError::Sql(error)
    }
}

impl From<PgWireError> for SessionError {
    fn from(_: PgWireError) -> Self {
        SessionError::Io(io::ErrorKind::InvalidData.into())
    }
}

#[derive(Debug)]
struct SessionPortal {
    statement: Option<Arc<ParsedStatement>>,
    parameters: Vec<ReplyValue>,
    formats: Vec<i16>,
    rows: Option<RowSource>,
}

/// The session of one client connection.
#[derive(Debug)]
pub struct ClientSession {
    shared: Arc<EndpointShared>,
    stream: TcpStream,
    input: BytesMut,
    output: BytesMut,
    context: DecodeContext,
    id: u64,
    cancel: Arc<Notify>,
    transaction: Option<ClientTransaction>,
    statements: HashMap<String, Option<Arc<ParsedStatement>>>,
    portals: HashMap<String, SessionPortal>,
    variables: BTreeMap<String, String>,
    skip_to_sync: bool,
}

impl ClientSession {
    /// Creates the session of a connection.
    pub fn new(shared: Arc<EndpointShared>, stream: TcpStream, id: u64) -> Self {
        Self {
            shared,
            stream,
            input: BytesMut::new(),
            output: BytesMut::new(),
            context: DecodeContext::new(ProtocolVersion::PROTOCOL3_0),
            id,
            cancel: Arc::new(Notify::new()),
            transaction: None,
            statements: HashMap::new(),
            portals: HashMap::new(),
            variables: BTreeMap::new(),
            skip_to_sync: false,
        }
    }

    /// Serves the connection until the client ends it.
    ///
    /// # Errors
    ///
    /// Returns an error if the connection fails, a message is invalid or an answer is to be lost.
    pub async fn run(mut self) -> Result<(), SessionError> {
        let Some(startup) = self.read_startup().await? else {
            return Ok(());
        };
        let guard = ConnectionGuard::count(&self.shared, self.process_id());
        let pause = Duration::from_millis(self.shared.config.connect_ms);
        tokio::time::sleep(pause).await;
        if guard.is_none() {
            self.put_error(&SqlError::new("53300", "sorry, too many clients already"))?;
            return Ok(self.flush().await?);
        }
        if !self.authenticate(&startup).await? {
            return Ok(());
        }
        loop {
            let message = self.read_message().await?;
            if matches!(message, PgWireFrontendMessage::Terminate(_)) {
                return Ok(());
            }
            if let Some(error) = sql_error(self.handle(message).await)? {
                self.put_error(&error)?;
                self.skip_to_sync = true;
                self.fail_transaction();
            }
        }
    }

    fn process_id(&self) -> i32 {
        i32::try_from(self.id).unwrap_or(i32::MAX)
    }

    async fn read_startup(&mut self) -> Result<Option<Startup>, SessionError> {
        loop {
            match self.read_message().await? {
                PgWireFrontendMessage::SslNegotiation(SslNegotiationMetaMessage::None) => {
                    self.context.awaiting_frontend_ssl = false;
                }
                PgWireFrontendMessage::SslNegotiation(_) => {
                    self.put(PgWireBackendMessage::SslResponse(SslResponse::Refuse))?;
                }
                PgWireFrontendMessage::CancelRequest(request) => {
                    let cancels = lock(&self.shared.cancels);
                    if let Some((secret, cancel)) = cancels.get(&request.pid)
                        && request.secret_key.as_i32() == Some(*secret)
                    {
                        cancel.notify_waiters();
                    }
                    return Ok(None);
                }
                PgWireFrontendMessage::Startup(startup) => {
                    self.context.awaiting_frontend_startup = false;
                    return Ok(Some(startup));
                }
                _ => return Err(SessionError::Io(io::ErrorKind::InvalidData.into())),
            }
        }
    }

    async fn authenticate(&mut self, startup: &Startup) -> Result<bool, SessionError> {
        if startup.protocol_number_minor > 0 {
            self.put(PgWireBackendMessage::NegotiateProtocolVersion(
                NegotiateProtocolVersion::new(0, Vec::new()),
            ))?;
        }
        self.put(PgWireBackendMessage::Authentication(
            Authentication::CleartextPassword,
        ))?;
        let PgWireFrontendMessage::PasswordMessageFamily(message) = self.read_message().await?
        else {
            return Err(SessionError::Io(io::ErrorKind::InvalidData.into()));
        };
        let password = message.into_password()?.password;
        let user = startup.parameters.get("user").cloned().unwrap_or_default();
        let config = &self.shared.config;
        let accepted = user == config.user && password == config.password;
        lock(&self.shared.received_credentials).push(ReceivedCredential { user, password });
        if !accepted {
            self.put_error(&SqlError::new("28P01", "password authentication failed"))?;
            self.flush().await?;
            return Ok(false);
        }
        let secret = cancel_secret(self.id);
        let entry = (secret, Arc::clone(&self.cancel));
        lock(&self.shared.cancels).insert(self.process_id(), entry);
        self.put(PgWireBackendMessage::Authentication(Authentication::Ok))?;
        for (name, value) in SESSION_PARAMETERS {
            self.put(PgWireBackendMessage::ParameterStatus(ParameterStatus::new(
                name.to_owned(),
                value.to_owned(),
            )))?;
        }
        self.put(PgWireBackendMessage::BackendKeyData(BackendKeyData::new(
            self.process_id(),
            SecretKey::I32(secret),
        )))?;
        self.put_ready()?;
        Ok(true)
    }

    async fn handle(&mut self, message: PgWireFrontendMessage) -> Result<(), SessionError> {
        match message {
            _ if self.skip_to_sync && !matches!(message, PgWireFrontendMessage::Sync(_)) => Ok(()),
            PgWireFrontendMessage::Query(query) => {
                let result = self.simple_query(&query.query).await;
                if let Some(error) = sql_error(result)? {
                    self.put_error(&error)?;
                    self.fail_transaction();
                }
                self.put_ready()
            }
            PgWireFrontendMessage::Sync(_) => {
                self.skip_to_sync = false;
                if let Some(error) = sql_error(self.end_implicit())? {
                    self.put_error(&error)?;
                }
                self.put_ready()
            }
            PgWireFrontendMessage::Flush(_) => Ok(self.flush().await?),
            PgWireFrontendMessage::Parse(parse) => self.parse(&parse),
            PgWireFrontendMessage::Bind(bind) => self.bind(&bind),
            PgWireFrontendMessage::Describe(describe) => {
                let name = describe.name.unwrap_or_default();
                self.describe(describe.target_type, &name)
            }
            PgWireFrontendMessage::Execute(execute) => {
                let name = execute.name.unwrap_or_default();
                self.execute(&name, execute.max_rows).await
            }
            PgWireFrontendMessage::Close(close) => {
                let name = close.name.unwrap_or_default();
                if close.target_type == TARGET_TYPE_BYTE_STATEMENT {
                    self.statements.remove(&name);
                } else {
                    self.portals.remove(&name);
                }
                self.put(PgWireBackendMessage::CloseComplete(CloseComplete::new()))
            }
            PgWireFrontendMessage::CopyData(_)
            | PgWireFrontendMessage::CopyDone(_)
            | PgWireFrontendMessage::CopyFail(_) => Ok(()),
            _ => Err(SqlError::new("08P01", "unexpected message").into()),
        }
    }

    async fn simple_query(&mut self, text: &str) -> Result<(), SessionError> {
        let sources = split_statements(text)?;
        if sources.is_empty() {
            return self.put(PgWireBackendMessage::EmptyQueryResponse(
                EmptyQueryResponse::new(),
            ));
        }
        for (index, source) in sources.iter().enumerate() {
            let parsed = parse_statement(source)?;
            let columns = parsed.statement.columns();
            if !columns.is_empty() {
                self.put_columns(&columns, &[])?;
            }
            let is_last = index + 1 == sources.len();
            self.run_parsed(&parsed, &[], &[], 0, is_last).await?;
        }
        Ok(())
    }

    fn parse(&mut self, parse: &Parse) -> Result<(), SessionError> {
        let mut sources = split_statements(&parse.query)?;
        if sources.len() > 1 {
            return Err(SqlError::syntax("several commands in a prepared statement").into());
        }
        let statement = match sources.pop() {
            Some(source) => {
                let mut parsed = parse_statement(&source)?;
                for (index, oid) in parse.type_oids.iter().enumerate() {
                    if let (Some(kind), Some(parameter)) =
                        (declared_type(*oid), parsed.parameters.get_mut(index))
                    {
                        *parameter = kind;
                    }
                }
                Some(Arc::new(parsed))
            }
            None => None,
        };
        let name = parse.name.clone().unwrap_or_default();
        if !name.is_empty() && self.statements.contains_key(&name) {
            return Err(SqlError::new("42P05", "prepared statement already exists").into());
        }
        self.statements.insert(name, statement);
        self.put(PgWireBackendMessage::ParseComplete(ParseComplete::new()))
    }

    fn statement(&self, name: &str) -> Result<Option<Arc<ParsedStatement>>, SqlError> {
        self.statements.get(name).cloned().ok_or_else(|| {
            let message = format!("prepared statement \"{name}\" does not exist");
            SqlError::new("26000", message)
        })
    }

    fn bind(&mut self, bind: &Bind) -> Result<(), SessionError> {
        let statement = self.statement(bind.statement_name.as_deref().unwrap_or_default())?;
        let kinds = statement.as_ref().map_or(&[][..], |s| &s.parameters[..]);
        if kinds.len() != bind.parameters.len() {
            return Err(SqlError::new("08P01", "wrong number of parameters").into());
        }
        let mut parameters = Vec::new();
        for (index, (value, kind)) in bind.parameters.iter().zip(kinds).enumerate() {
            let format = format_at(&bind.parameter_format_codes, index);
            parameters.push(match value {
                Some(bytes) => Some(parameter_text(bytes, *kind, format)?),
                None => None,
            });
        }
        let portal = SessionPortal {
            statement,
            parameters,
            formats: bind.result_column_format_codes.clone(),
            rows: None,
        };
        let name = bind.portal_name.clone().unwrap_or_default();
        self.portals.insert(name, portal);
        self.put(PgWireBackendMessage::BindComplete(BindComplete::new()))
    }

    fn describe(&mut self, target: u8, name: &str) -> Result<(), SessionError> {
        let (statement, formats) = if target == TARGET_TYPE_BYTE_STATEMENT {
            let statement = self.statement(name)?;
            let kinds = statement.as_ref().map_or(&[][..], |s| &s.parameters[..]);
            let types = kinds.iter().map(|kind| kind.oid()).collect();
            self.put(PgWireBackendMessage::ParameterDescription(
                ParameterDescription::new(types),
            ))?;
            (statement, Vec::new())
        } else {
            let portal = self.portals.get(name).ok_or_else(no_portal)?;
            (portal.statement.clone(), portal.formats.clone())
        };
        let columns = statement.map_or(Vec::new(), |s| s.statement.columns());
        if columns.is_empty() {
            return self.put(PgWireBackendMessage::NoData(NoData::new()));
        }
        self.put_columns(&columns, &formats)
    }

    async fn execute(&mut self, name: &str, max_rows: i32) -> Result<(), SessionError> {
        let mut portal = self.portals.remove(name).ok_or_else(no_portal)?;
        let Some(statement) = portal.statement.clone() else {
            return self.put(PgWireBackendMessage::EmptyQueryResponse(
                EmptyQueryResponse::new(),
            ));
        };
        let limit = u64::try_from(max_rows).unwrap_or(0);
        let rest = match portal.rows.take() {
            Some(rows) => {
                let columns = statement.statement.columns();
                self.put_rows(rows, &columns, &portal.formats, limit)
                    .await?
            }
            None => {
                self.run_parsed(
                    &statement,
                    &portal.parameters,
                    &portal.formats,
                    limit,
                    false,
                )
                .await?
            }
        };
        portal.rows = rest;
        self.portals.insert(name.to_owned(), portal);
        Ok(())
    }

    /// Runs a statement and writes its answer, with at most `limit` rows unless it is 0. Returns the
    /// source of the remaining rows if the limit was reached.
    async fn run_parsed(
        &mut self,
        parsed: &ParsedStatement,
        parameters: &[ReplyValue],
        formats: &[i16],
        limit: u64,
        is_last: bool,
    ) -> Result<Option<RowSource>, SessionError> {
        let slow = self.shared.faults.borrow().slow_ms;
        if slow > 0 {
            tokio::time::sleep(Duration::from_millis(slow)).await;
        }
        if let Some(tag) = self.run_control(&parsed.statement)? {
            self.put_tag(tag)?;
            return Ok(None);
        }
        if self.transaction.as_ref().is_some_and(|t| t.failed) {
            return Err(SqlError::new("25P02", "current transaction is aborted").into());
        }
        if let SqlStatement::Show { name } = &parsed.statement {
            let row = vec![Some(self.show(name))];
            let rows = RowSource::list(vec![row]);
            return self
                .put_rows(rows, &parsed.statement.columns(), formats, 0)
                .await;
        }
        let shared = Arc::clone(&self.shared);
        let cancel = Arc::clone(&self.cancel);
        let cancelled = cancel.notified();
        let transaction = self
            .transaction
            .get_or_insert_with(|| ClientTransaction::new(&shared));
        let work = async {
            let slot = match parsed.statement.takes_slot() {
                true => Some(take_slot(&shared).await?),
                false => None,
            };
            let outcome = run_statement(&shared, transaction, parsed, parameters).await?;
            Ok::<_, SqlError>((slot, outcome))
        };
        let (slot, outcome) = tokio::select! {
            result = work => result?,
            () = cancelled => return Err(SqlError::cancelled().into()),
        };
        let columns = parsed.statement.columns();
        let tag = match outcome {
            StatementOutcome::Tag(tag) => tag,
            StatementOutcome::Rows(rows) => {
                let rest = self.put_rows(rows, &columns, formats, limit).await?;
                drop(slot);
                if is_last {
                    self.end_implicit()?;
                }
                return Ok(rest);
            }
            StatementOutcome::CopyIn => self.copy_in().await?,
            StatementOutcome::CopyOut(lines) => self.copy_out(lines).await?,
        };
        drop(slot);
        if is_last {
            self.end_implicit()?;
        }
        self.put_tag(tag)?;
        Ok(None)
    }

    /// Runs transaction control and session settings; returns the command tag, or `None` for any other
    /// statement.
    fn run_control(&mut self, statement: &SqlStatement) -> Result<Option<String>, SessionError> {
        let tag = match statement {
            SqlStatement::Begin { read_only } => {
                let transaction = self
                    .transaction
                    .get_or_insert_with(|| ClientTransaction::new(&self.shared));
                transaction.explicit = true;
                transaction.read_only |= read_only;
                "BEGIN"
            }
            SqlStatement::Commit => match self.transaction.take() {
                Some(transaction) if transaction.failed => "ROLLBACK",
                Some(transaction) => {
                    self.commit(transaction)?;
                    "COMMIT"
                }
                None => "COMMIT",
            },
            SqlStatement::Rollback => {
                self.transaction = None;
                "ROLLBACK"
            }
            _ if self.transaction.as_ref().is_some_and(|t| t.failed) => return Ok(None),
            SqlStatement::Set { name, value } => {
                self.variables.insert(name.clone(), value.clone());
                "SET"
            }
            SqlStatement::Accepted { tag } => tag,
            SqlStatement::Discard { tag } => {
                self.statements.clear();
                if *tag == "DISCARD ALL" {
                    self.variables.clear();
                }
                tag
            }
            _ => return Ok(None),
        };
        Ok(Some(tag.to_owned()))
    }

    fn show(&self, name: &str) -> String {
        let fixed = SESSION_PARAMETERS
            .iter()
            .find(|(known, _)| known.eq_ignore_ascii_case(name))
            .map(|(_, value)| (*value).to_owned());
        let role_setting = || match name {
            "transaction_read_only" if self.shared.state().is_primary() => "off".to_owned(),
            "transaction_read_only" => "on".to_owned(),
            _ => String::new(),
        };
        self.variables
            .get(name)
            .cloned()
            .or(fixed)
            .unwrap_or_else(role_setting)
    }

    fn commit(&mut self, transaction: ClientTransaction) -> Result<(), SessionError> {
        if transaction.commit()? && self.shared.take_lost_answer() {
            return Err(SessionError::Io(io::ErrorKind::ConnectionAborted.into()));
        }
        Ok(())
    }

    fn end_implicit(&mut self) -> Result<(), SessionError> {
        match self.transaction.take_if(|t| !t.explicit) {
            Some(transaction) => self.commit(transaction),
            None => Ok(()),
        }
    }

    fn fail_transaction(&mut self) {
        match &mut self.transaction {
            Some(transaction) if transaction.explicit => transaction.failed = true,
            _ => self.transaction = None,
        }
    }

    async fn copy_in(&mut self) -> Result<String, SessionError> {
        self.put(PgWireBackendMessage::CopyInResponse(CopyInResponse::new(
            0,
            2,
            vec![0, 0],
        )))?;
        let mut data = Vec::new();
        loop {
            match self.read_message().await? {
                PgWireFrontendMessage::CopyData(part) => data.extend_from_slice(&part.data),
                PgWireFrontendMessage::CopyDone(_) => break,
                PgWireFrontendMessage::CopyFail(_) => {
                    return Err(SqlError::new("57014", "COPY from stdin failed").into());
                }
                PgWireFrontendMessage::Flush(_) | PgWireFrontendMessage::Sync(_) => {}
                _ => return Err(SqlError::new("08P01", "unexpected message in COPY").into()),
            }
        }
        let text = String::from_utf8(data)
            .map_err(|_| SqlError::new("22021", "invalid byte sequence for UTF8"))?;
        let mut count = 0;
        for line in text.lines().take_while(|line| *line != "\\.") {
            let (key, value) = parse_copy_line(line)
                .ok_or_else(|| SqlError::new("22P04", "missing data for column \"value\""))?;
            if let Some(transaction) = &mut self.transaction {
                insert_row(transaction, &key, value, false).await?;
            }
            count += 1;
        }
        Ok(format!("COPY {count}"))
    }

    async fn copy_out(&mut self, lines: Vec<String>) -> Result<String, SessionError> {
        self.put(PgWireBackendMessage::CopyOutResponse(CopyOutResponse::new(
            0,
            2,
            vec![0, 0],
        )))?;
        let count = lines.len();
        for line in lines {
            self.put(PgWireBackendMessage::CopyData(CopyData::new(Bytes::from(
                line,
            ))))?;
            self.flush_if_full().await?;
        }
        self.put(PgWireBackendMessage::CopyDone(CopyDone::new()))?;
        Ok(format!("COPY {count}"))
    }

    async fn put_rows(
        &mut self,
        mut rows: RowSource,
        columns: &[ReplyColumn],
        formats: &[i16],
        limit: u64,
    ) -> Result<Option<RowSource>, SessionError> {
        let mut count = 0;
        while let Some(row) = rows.next_row() {
            self.put_row(&row, columns, formats)?;
            self.flush_if_full().await?;
            count += 1;
            if count == limit {
                self.put(PgWireBackendMessage::PortalSuspended(PortalSuspended::new()))?;
                return Ok(Some(rows));
            }
        }
        self.put_tag(format!("SELECT {count}"))?;
        Ok(None)
    }

    fn put_row(
        &mut self,
        row: &[ReplyValue],
        columns: &[ReplyColumn],
        formats: &[i16],
    ) -> Result<(), SessionError> {
        let mut data = BytesMut::new();
        for (index, (value, column)) in row.iter().zip(columns).enumerate() {
            let Some(text) = value else {
                data.put_i32(-1);
                continue;
            };
            let mut bytes = BytesMut::new();
            match format_at(formats, index) {
                1 => column.kind.put_binary(text, &mut bytes),
                _ => bytes.put_slice(text.as_bytes()),
            }
            data.put_i32(i32::try_from(bytes.len()).unwrap_or(i32::MAX));
            data.put_slice(&bytes);
        }
        let count = i16::try_from(columns.len()).unwrap_or(i16::MAX);
        self.put(PgWireBackendMessage::DataRow(DataRow::new(data, count)))
    }

    fn put_columns(
        &mut self,
        columns: &[ReplyColumn],
        formats: &[i16],
    ) -> Result<(), SessionError> {
        let fields = columns
            .iter()
            .enumerate()
            .map(|(index, column)| {
                let format = format_at(formats, index);
                let kind = column.kind;
                FieldDescription::new(
                    column.name.clone(),
                    0,
                    0,
                    kind.oid(),
                    kind.size(),
                    -1,
                    format,
                )
            })
            .collect();
        self.put(PgWireBackendMessage::RowDescription(RowDescription::new(
            fields,
        )))
    }

    fn put_tag(&mut self, tag: String) -> Result<(), SessionError> {
        self.put(PgWireBackendMessage::CommandComplete(CommandComplete::new(
            tag,
        )))
    }

    fn put_error(&mut self, error: &SqlError) -> Result<(), SessionError> {
        let fields = vec![
            (b'S', "ERROR".to_owned()),
            (b'V', "ERROR".to_owned()),
            (b'C', error.code.to_owned()),
            (b'M', error.message.clone()),
        ];
        self.put(PgWireBackendMessage::ErrorResponse(ErrorResponse::new(
            fields,
        )))
    }

    fn put_ready(&mut self) -> Result<(), SessionError> {
        if self.transaction.is_none() {
            self.portals.clear();
        }
        let status = match &self.transaction {
            Some(transaction) if transaction.failed => TransactionStatus::Error,
            Some(_) => TransactionStatus::Transaction,
            None => TransactionStatus::Idle,
        };
        self.put(PgWireBackendMessage::ReadyForQuery(ReadyForQuery::new(
            status,
        )))
    }

    fn put(&mut self, message: PgWireBackendMessage) -> Result<(), SessionError> {
        Ok(message.encode(&mut self.output)?)
    }

    async fn flush_if_full(&mut self) -> io::Result<()> {
        if self.output.len() >= FLUSH_BYTES {
            self.flush().await?;
        }
        Ok(())
    }

    async fn flush(&mut self) -> io::Result<()> {
        if !self.output.is_empty() {
            self.wait_for_traffic(TrafficDirection::ToClients).await?;
            self.stream.write_all(&self.output).await?;
            self.output.clear();
        }
        Ok(())
    }

    async fn read_message(&mut self) -> Result<PgWireFrontendMessage, SessionError> {
        loop {
            if let Some(message) = PgWireFrontendMessage::decode(&mut self.input, &self.context)? {
                return Ok(message);
            }
            self.flush().await?;
            if self.stream.read_buf(&mut self.input).await? == 0 {
                return Err(SessionError::Io(io::ErrorKind::UnexpectedEof.into()));
            }
            self.wait_for_traffic(TrafficDirection::FromClients).await?;
        }
    }

    /// Waits until traffic in a direction is not cut. On a silent connection, discards what the client
    /// sends until the client closes it, and returns an error.
    async fn wait_for_traffic(&mut self, direction: TrafficDirection) -> io::Result<()> {
        self.shared.wait_until_open(direction).await;
        if !self.shared.is_silent(self.id) {
            return Ok(());
        }
        let mut discarded = BytesMut::new();
        while self.stream.read_buf(&mut discarded).await? > 0 {
            discarded.clear();
        }
        Err(io::ErrorKind::UnexpectedEof.into())
    }
}

/// Returns a statement error as `Ok(Some(_))`, and an error that ends the session as `Err(_)`.
fn sql_error(result: Result<(), SessionError>) -> Result<Option<SqlError>, SessionError> {
    match result {
        Ok(()) => Ok(None),
        Err(SessionError::Sql(error)) => Ok(Some(error)),
        Err(error @ SessionError::Io(_)) => Err(error),
    }
}

fn no_portal() -> SqlError {
    SqlError::new("34000", "portal does not exist")
}

fn format_at(formats: &[i16], index: usize) -> i16 {
    match formats {
        [] => 0,
        [one] => *one,
        many => many.get(index).copied().unwrap_or(0),
    }
}

fn declared_type(oid: u32) -> Option<ColumnType> {
    match oid {
        16 => Some(ColumnType::Bool),
        20 => Some(ColumnType::Int8),
        21 | 23 => Some(ColumnType::Int4),
        700 | 701 => Some(ColumnType::Float8),
        25 | 1043 => Some(ColumnType::Text),
        _ => None,
    }
}

fn parameter_text(bytes: &Bytes, kind: ColumnType, format: i16) -> Result<String, SqlError> {
    let bad = || SqlError::new("22P03", "incorrect binary data format");
    let text = || String::from_utf8(bytes.to_vec()).map_err(|_| bad());
    if format == 0 {
        return text();
    }
    match (kind, bytes.len()) {
        (ColumnType::Bool, 1) => Ok(if bytes[0] == 0 { "f" } else { "t" }.to_owned()),
        (ColumnType::Int4 | ColumnType::Int8, 2 | 4 | 8) => {
            let negative = bytes[0] & 0x80 != 0;
            let mut widened = [if negative { 0xff } else { 0 }; 8];
            widened[8 - bytes.len()..].copy_from_slice(bytes);
            Ok(i64::from_be_bytes(widened).to_string())
        }
        (ColumnType::Float8, 8) => {
            let widened = <[u8; 8]>::try_from(&bytes[..]).map_err(|_| bad())?;
            Ok(f64::from_be_bytes(widened).to_string())
        }
        (ColumnType::Text, _) => text(),
        _ => Err(bad()),
    }
}

/// Returns the cancel secret of a connection; it need not be random, only differ between connections.
fn cancel_secret(id: u64) -> i32 {
    let mixed = id.wrapping_mul(0x9e37_79b9_7f4a_7c15) >> 33;
    i32::try_from(mixed).unwrap_or(0)
}
