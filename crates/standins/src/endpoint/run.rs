//! Execution of statements on the table and of the platform functions.

use std::sync::Arc;
use std::time::Duration;
use std::time::Instant;

use tokio::sync::SemaphorePermit;

use crate::endpoint::log::ClientStatement;
use crate::endpoint::parser::ParsedStatement;
use crate::endpoint::reply::ReplyValue;
use crate::endpoint::reply::SqlError;
use crate::endpoint::shared::EndpointShared;
use crate::endpoint::shared::lock;
use crate::endpoint::statement::PlatformCall;
use crate::endpoint::statement::SqlStatement;
use crate::endpoint::statement::SqlValue;
use crate::endpoint::statement::TableColumns;
use crate::endpoint::status::EndpointReport;
use crate::endpoint::transaction::ClientTransaction;

/// A slot held by a running statement, which is released when the guard is dropped.
#[derive(Debug)]
pub struct SlotGuard<'a> {
    shared: &'a EndpointShared,
    _permit: SemaphorePermit<'a>,
}

impl Drop for SlotGuard<'_> {
    fn drop(&mut self) {
        lock(&self.shared.counters).running -= 1;
    }
}

/// The rows of an answer.
#[derive(Debug)]
pub enum RowSource {
    /// Rows in memory.
    List(std::vec::IntoIter<Vec<ReplyValue>>),
    /// Equal rows of one text of this many bytes, which are generated one by one.
    Repeat { remaining: u64, bytes: usize },
}

impl RowSource {
    /// Creates a source from rows in memory.
    pub fn list(rows: Vec<Vec<ReplyValue>>) -> Self {
        RowSource::List(rows.into_iter())
    }

    /// Returns the next row.
    pub fn next_row(&mut self) -> Option<Vec<ReplyValue>> {
        match self {
            RowSource::List(rows) => rows.next(),
            RowSource::Repeat { remaining: 0, .. } => None,
            RowSource::Repeat { remaining, bytes } => {
                *remaining -= 1;
                Some(vec![Some("x".repeat(*bytes))])
            }
        }
    }
}

/// Outcome of a statement.
#[derive(Debug)]
pub enum StatementOutcome {
    /// The command tag of a statement without rows.
    Tag(String),
    /// Rows; the command tag contains their number.
    Rows(RowSource),
    /// `COPY FROM STDIN`: the client sends rows next.
    CopyIn,
    /// `COPY TO STDOUT`: rows in the text format of COPY.
    CopyOut(Vec<String>),
}

/// Waits for a slot, and then for the configured duration of a statement.
pub async fn take_slot(shared: &EndpointShared) -> Result<SlotGuard<'_>, SqlError> {
    let permit = shared
        .slots
        .acquire()
        .await
        .map_err(|_| SqlError::new("57P01", "endpoint stops"))?;
    {
        let mut counters = lock(&shared.counters);
        counters.statements += 1;
        counters.running += 1;
        counters.peak_running = counters.peak_running.max(counters.running);
    }
    let guard = SlotGuard {
        shared,
        _permit: permit,
    };
    if shared.config.statement_ms > 0 {
        tokio::time::sleep(Duration::from_millis(shared.config.statement_ms)).await;
    }
    Ok(guard)
}

/// Runs a statement other than transaction control and session settings, which the session runs.
pub async fn run_statement(
    shared: &Arc<EndpointShared>,
    transaction: &mut ClientTransaction,
    parsed: &ParsedStatement,
    parameters: &[ReplyValue],
) -> Result<StatementOutcome, SqlError> {
    let value = |v: &SqlValue| resolve(shared, v, parameters);
    if parsed.statement.is_write() {
        transaction.start_write(ClientStatement {
            text: parsed.text.clone(),
            parameters: parameters.to_vec(),
        })?;
    }
    match &parsed.statement {
        SqlStatement::CreateTable => Ok(StatementOutcome::Tag("CREATE TABLE".to_owned())),
        SqlStatement::Insert { rows, upsert } => {
            for (key, new) in rows {
                let key = required(value(key))?;
                insert_row(transaction, &key, required(value(new))?, *upsert).await?;
            }
            Ok(StatementOutcome::Tag(format!("INSERT 0 {}", rows.len())))
        }
        SqlStatement::Update { value: new, key } => {
            let new = required(value(new))?;
            let count = change_rows(transaction, key.as_ref().map(value), Some(new)).await?;
            Ok(StatementOutcome::Tag(format!("UPDATE {count}")))
        }
        SqlStatement::Delete { key } => {
            let count = change_rows(transaction, key.as_ref().map(value), None).await?;
            Ok(StatementOutcome::Tag(format!("DELETE {count}")))
        }
        SqlStatement::SelectTable {
            columns,
            key,
            for_update,
        } => {
            let key = key.as_ref().map(value);
            if let (true, Some(Some(key))) = (*for_update, &key) {
                transaction.lock_row(key).await?;
            }
            Ok(StatementOutcome::Rows(RowSource::list(select_rows(
                transaction,
                columns,
                key,
            ))))
        }
        SqlStatement::SelectValues { values } => {
            let row = values.iter().map(|(_, v)| value(v)).collect();
            Ok(StatementOutcome::Rows(RowSource::list(vec![row])))
        }
        SqlStatement::Sleep { seconds } => {
            let seconds: f64 = number(value(seconds))?;
            let pause = Duration::try_from_secs_f64(seconds).unwrap_or_default();
            tokio::time::sleep(pause).await;
            let row = vec![Some(String::new())];
            Ok(StatementOutcome::Rows(RowSource::list(vec![row])))
        }
        SqlStatement::RepeatRows { rows, bytes } => Ok(StatementOutcome::Rows(RowSource::Repeat {
            remaining: number(value(rows))?,
            bytes: number(value(bytes))?,
        })),
        SqlStatement::Platform { call, extra } => {
            let report = run_platform_call(shared, call, value).await?;
            let mut row = report_row(report);
            row.extend(extra.iter().map(|(_, extra)| value(extra)));
            Ok(StatementOutcome::Rows(RowSource::list(vec![row])))
        }
        SqlStatement::CopyIn => Ok(StatementOutcome::CopyIn),
        SqlStatement::CopyOut => Ok(StatementOutcome::CopyOut(
            transaction
                .rows()
                .iter()
                .map(|(key, value)| format!("{}\t{}\n", escape_copy(key), escape_copy(value)))
                .collect(),
        )),
        _ => Err(SqlError::new("0A000", "statement is not supported here")),
    }
}

/// Inserts a row. If the key exists, returns an error, or replaces the value for an upsert.
pub async fn insert_row(
    transaction: &mut ClientTransaction,
    key: &str,
    value: String,
    upsert: bool,
) -> Result<(), SqlError> {
    transaction.lock_row(key).await?;
    if !upsert && transaction.get(key).is_some() {
        return Err(SqlError::new("23505", "duplicate key value in \"kv\""));
    }
    transaction.put(key, Some(value));
    Ok(())
}

/// Parses a line in the text format of COPY into key and value; returns `None` if it has no tab.
pub fn parse_copy_line(line: &str) -> Option<(String, String)> {
    let (key, value) = line.split_once('\t')?;
    Some((unescape_copy(key), unescape_copy(value)))
}

async fn change_rows(
    transaction: &mut ClientTransaction,
    key: Option<ReplyValue>,
    value: Option<String>,
) -> Result<usize, SqlError> {
    let keys = match key {
        Some(Some(key)) => vec![key],
        Some(None) => Vec::new(),
        None => transaction.rows().into_keys().collect(),
    };
    let mut count = 0;
    for key in &keys {
        transaction.lock_row(key).await?;
        if transaction.get(key).is_some() {
            transaction.put(key, value.clone());
            count += 1;
        }
    }
    Ok(count)
}

fn select_rows(
    transaction: &ClientTransaction,
    columns: &TableColumns,
    key: Option<ReplyValue>,
) -> Vec<Vec<ReplyValue>> {
    let rows: Vec<(String, String)> = match key {
        Some(Some(key)) => transaction
            .get(&key)
            .map(|value| (key, value))
            .into_iter()
            .collect(),
        Some(None) => Vec::new(),
        None => transaction.rows().into_iter().collect(),
    };
    let names = match columns {
        TableColumns::Count => return vec![vec![Some(rows.len().to_string())]],
        TableColumns::Named(names) => names,
    };
    rows.into_iter()
        .map(|(key, value)| {
            let pick = |name: &String| if name == "key" { &key } else { &value }.clone();
            names.iter().map(|name| Some(pick(name))).collect()
        })
        .collect()
}

async fn run_platform_call(
    shared: &EndpointShared,
    call: &PlatformCall,
    value: impl Fn(&SqlValue) -> ReplyValue,
) -> Result<EndpointReport, SqlError> {
    let now = Instant::now();
    match call {
        PlatformCall::Status => {}
        PlatformCall::Await(term, position, timeout) => {
            let point = (number(value(term))?, number(value(position))?);
            let timeout = Duration::from_millis(number(value(timeout))?);
            let mut changed = shared.changed.subscribe();
            let _ = tokio::time::timeout(timeout, async {
                while shared.state().point() < point && changed.changed().await.is_ok() {}
            })
            .await;
        }
        PlatformCall::Fence(term, by) => {
            let (term, by): (u64, _) = (number(value(term))?, required(value(by))?);
            shared.update(|state| state.fence(term, &by, now));
        }
        PlatformCall::Promote(term, by) => {
            let (term, by): (u64, _) = (number(value(term))?, required(value(by))?);
            shared.update(|state| state.promote(term, &by, now));
        }
    }
    Ok(shared.state().report(Instant::now()))
}

fn report_row(report: EndpointReport) -> Vec<ReplyValue> {
    vec![
        Some(report.role),
        Some(report.term.to_string()),
        Some(report.position.to_string()),
        Some(report.start.to_string()),
        Some(report.fenced_term.to_string()),
        Some(report.fenced_by),
        report.upstream_silence_ms.map(|ms| ms.to_string()),
    ]
}

fn resolve(shared: &EndpointShared, value: &SqlValue, parameters: &[ReplyValue]) -> ReplyValue {
    match value {
        SqlValue::Literal(text, _) => text.clone(),
        SqlValue::Parameter(index, _) => parameters.get(index - 1).cloned().flatten(),
        SqlValue::Function(name) => Some(match name.as_str() {
            "pg_is_in_recovery" if shared.state().is_primary() => "f".to_owned(),
            "pg_is_in_recovery" => "t".to_owned(),
            "current_user" | "session_user" => shared.config.user.clone(),
            "pg_backend_pid" => "0".to_owned(),
            _ => shared.config.name.clone(),
        }),
    }
}

fn required(value: ReplyValue) -> Result<String, SqlError> {
    value.ok_or_else(|| SqlError::new("23502", "null value is not allowed"))
}

fn number<T: std::str::FromStr>(value: ReplyValue) -> Result<T, SqlError> {
    required(value)?
        .parse()
        .map_err(|_| SqlError::new("22P02", "invalid number"))
}

fn escape_copy(text: &str) -> String {
    text.replace('\\', "\\\\")
        .replace('\t', "\\t")
        .replace('\n', "\\n")
}

fn unescape_copy(text: &str) -> String {
    let mut result = String::new();
    let mut characters = text.chars();
    while let Some(c) = characters.next() {
        match c {
            '\\' => match characters.next() {
                Some('t') => result.push('\t'),
                Some('n') => result.push('\n'),
                Some('r') => result.push('\r'),
                other => result.extend(other),
            },
            _ => result.push(c),
        }
    }
    result
}
