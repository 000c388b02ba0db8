//! The statements that the stand-in endpoint runs.

use crate::endpoint::reply::ColumnType;
use crate::endpoint::reply::ReplyColumn;

/// A value in a statement.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum SqlValue {
    /// A literal; `None` is NULL.
    Literal(Option<String>, ColumnType),
    /// A parameter by its number, from 1.
    Parameter(usize, ColumnType),
    /// A function without arguments, by name.
    Function(String),
}

impl SqlValue {
    /// Returns the type.
    pub fn kind(&self) -> ColumnType {
        match self {
            SqlValue::Literal(_, kind) | SqlValue::Parameter(_, kind) => *kind,
            SqlValue::Function(name) => match name.as_str() {
                "pg_is_in_recovery" => ColumnType::Bool,
                "pg_backend_pid" => ColumnType::Int4,
                _ => ColumnType::Text,
            },
        }
    }
}

/// A call of a platform function.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum PlatformCall {
    /// `platform_status()`
    Status,
    /// `platform_await(term, position, timeout_ms)`
    Await(SqlValue, SqlValue, SqlValue),
    /// `platform_fence(term, proposer)`
    Fence(SqlValue, SqlValue),
    /// `platform_promote(term, proposer)`
    Promote(SqlValue, SqlValue),
}

/// Columns that a `SELECT` on the table returns.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum TableColumns {
    /// The named columns, `key` or `value`.
    Named(Vec<String>),
    /// The number of rows.
    Count,
}

/// A statement that the stand-in endpoint runs.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum SqlStatement {
    /// `BEGIN`
    Begin { read_only: bool },
    /// `COMMIT`
    Commit,
    /// `ROLLBACK`
    Rollback,
    /// `SET name = value`
    Set { name: String, value: String },
    /// `SHOW name`
    Show { name: String },
    /// A statement that is accepted without effect, with its command tag.
    Accepted { tag: &'static str },
    /// `CREATE TABLE`, which is a write that changes no rows.
    CreateTable,
    /// `DISCARD` or `DEALLOCATE`, which remove all prepared statements.
    Discard { tag: &'static str },
    /// `INSERT`
    Insert {
        rows: Vec<(SqlValue, SqlValue)>,
        upsert: bool,
    },
    /// `UPDATE`
    Update {
        value: SqlValue,
        key: Option<SqlValue>,
    },
    /// `DELETE`
    Delete { key: Option<SqlValue> },
    /// `SELECT ... FROM kv`
    SelectTable {
        columns: TableColumns,
        key: Option<SqlValue>,
        for_update: bool,
    },
    /// `SELECT value, ...`
    SelectValues { values: Vec<(String, SqlValue)> },
    /// `SELECT pg_sleep(seconds)`
    Sleep { seconds: SqlValue },
    /// `SELECT repeat_rows(n, bytes)`
    RepeatRows { rows: SqlValue, bytes: SqlValue },
    /// `SELECT * FROM platform_...`
    Platform {
        call: PlatformCall,
        /// Values that the row returns after the columns of the function, with their names.
        extra: Vec<(String, SqlValue)>,
    },
    /// `COPY kv FROM STDIN`
    CopyIn,
    /// `COPY kv TO STDOUT`
    CopyOut,
}

impl SqlStatement {
    /// Returns whether it changes the table or locks rows, which requires a primary.
    pub fn is_write(&self) -> bool {
        match self {
            SqlStatement::Insert { .. }
            | SqlStatement::Update { .. }
            | SqlStatement::Delete { .. }
            | SqlStatement::CreateTable
            | SqlStatement::CopyIn => true,
            SqlStatement::SelectTable { for_update, .. } => *for_update,
            _ => false,
        }
    }

    /// Returns whether it holds a slot while it runs.
    pub fn takes_slot(&self) -> bool {
        self.is_write()
            || matches!(
                self,
                SqlStatement::SelectTable { .. }
                    | SqlStatement::SelectValues { .. }
                    | SqlStatement::Sleep { .. }
                    | SqlStatement::RepeatRows { .. }
                    | SqlStatement::CopyOut
            )
    }

    /// Returns the columns of its rows, or an empty list if it returns no rows.
    pub fn columns(&self) -> Vec<ReplyColumn> {
        match self {
            SqlStatement::Show { name } => vec![ReplyColumn::new(name, ColumnType::Text)],
            SqlStatement::SelectTable { columns, .. } => match columns {
                TableColumns::Count => vec![ReplyColumn::new("count", ColumnType::Int8)],
                TableColumns::Named(names) => names
                    .iter()
                    .map(|name| ReplyColumn::new(name, ColumnType::Text))
                    .collect(),
            },
            SqlStatement::SelectValues { values } => values
                .iter()
                .map(|(name, value)| ReplyColumn::new(name, value.kind()))
                .collect(),
            SqlStatement::Sleep { .. } => vec![ReplyColumn::new("pg_sleep", ColumnType::Void)],
            SqlStatement::RepeatRows { .. } => {
                vec![ReplyColumn::new("repeat_rows", ColumnType::Text)]
            }
            SqlStatement::Platform { extra, .. } => {
                let extra = extra.iter();
                let extra = extra.map(|(name, value)| ReplyColumn::new(name, value.kind()));
                platform_columns().into_iter().chain(extra).collect()
            }
            _ => Vec::new(),
        }
    }
}

fn platform_columns() -> Vec<ReplyColumn> {
    vec![
        ReplyColumn::new("role", ColumnType::Text),
        ReplyColumn::new("term", ColumnType::Int8),
        ReplyColumn::new("position", ColumnType::Int8),
        ReplyColumn::new("start", ColumnType::Int8),
        ReplyColumn::new("fenced_term", ColumnType::Int8),
        ReplyColumn::new("fenced_by", ColumnType::Text),
        ReplyColumn::new("upstream_silence_ms", ColumnType::Int8),
    ]
}
