//! Parser for the SQL subset of the stand-in endpoint.

use crate::endpoint::cursor::TokenCursor;
use crate::endpoint::reply::ColumnType;
use crate::endpoint::reply::SqlError;
use crate::endpoint::statement::PlatformCall;
use crate::endpoint::statement::SqlStatement;
use crate::endpoint::statement::SqlValue;
use crate::endpoint::statement::TableColumns;
use crate::endpoint::tokens::SqlText;
use crate::endpoint::tokens::SqlToken;

/// A parsed statement.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct ParsedStatement {
    /// The statement.
    pub statement: SqlStatement,
    /// Types of its parameters, in order.
    pub parameters: Vec<ColumnType>,
    /// Its text as the client sent it.
    pub text: String,
}

/// Parses one statement; returns the error for the client if it is not supported.
pub fn parse_statement(source: &SqlText) -> Result<ParsedStatement, SqlError> {
    let mut cursor = TokenCursor::new(&source.tokens);
    let statement = statement(&mut cursor)?;
    if !cursor.is_at_end() {
        return Err(SqlError::syntax("unexpected text after the statement"));
    }
    Ok(ParsedStatement {
        statement,
        parameters: cursor.parameters,
        text: source.text.clone(),
    })
}

fn statement(cursor: &mut TokenCursor<'_>) -> Result<SqlStatement, SqlError> {
    let word = cursor.name()?;
    match word.as_str() {
        "begin" | "start" => begin(cursor),
        "commit" | "end" => ignore_rest(cursor, SqlStatement::Commit),
        "rollback" | "abort" if !cursor.take_word("to") => {
            ignore_rest(cursor, SqlStatement::Rollback)
        }
        "set" => set(cursor),
        "reset" => ignore_rest(cursor, SqlStatement::Accepted { tag: "RESET" }),
        "show" => show(cursor),
        "discard" => ignore_rest(cursor, SqlStatement::Discard { tag: "DISCARD ALL" }),
        "deallocate" => ignore_rest(cursor, SqlStatement::Discard { tag: "DEALLOCATE" }),
        "listen" => ignore_rest(cursor, SqlStatement::Accepted { tag: "LISTEN" }),
        "unlisten" => ignore_rest(cursor, SqlStatement::Accepted { tag: "UNLISTEN" }),
        "notify" => ignore_rest(cursor, SqlStatement::Accepted { tag: "NOTIFY" }),
        "create" => ignore_rest(cursor, SqlStatement::CreateTable),
        "insert" => insert(cursor),
        "update" => update(cursor),
        "delete" => delete(cursor),
        "select" => select(cursor),
        "copy" => copy(cursor),
        other => Err(SqlError::new(
            "0A000",
            format!("statement {other} is not supported"),
        )),
    }
}

/// Skips the rest of the statement, which has no effect in the stand-in.
fn ignore_rest(
    cursor: &mut TokenCursor<'_>,
    result: SqlStatement,
) -> Result<SqlStatement, SqlError> {
    skip_rest(cursor);
    Ok(result)
}

fn skip_rest(cursor: &mut TokenCursor<'_>) {
    let parameters = std::mem::take(&mut cursor.parameters);
    *cursor = TokenCursor::new(&[]);
    cursor.parameters = parameters;
}

fn begin(cursor: &mut TokenCursor<'_>) -> Result<SqlStatement, SqlError> {
    let read_only = cursor.rest().windows(2).any(
        |pair| matches!(pair, [SqlToken::Word(a), SqlToken::Word(b)] if a == "read" && b == "only"),
    );
    ignore_rest(cursor, SqlStatement::Begin { read_only })
}

fn set(cursor: &mut TokenCursor<'_>) -> Result<SqlStatement, SqlError> {
    let _ = cursor.take_word("session") || cursor.take_word("local");
    let name = cursor.name()?;
    let _ = cursor.take_symbol('=') || cursor.take_word("to");
    let words = cursor.rest().iter().map(token_text);
    let value = words.collect::<Vec<_>>().join(" ");
    ignore_rest(cursor, SqlStatement::Set { name, value })
}

fn token_text(token: &SqlToken) -> String {
    match token {
        SqlToken::Word(text)
        | SqlToken::Name(text)
        | SqlToken::Text(text)
        | SqlToken::Number(text) => text.clone(),
        SqlToken::Parameter(number) => format!("${number}"),
        SqlToken::Symbol(symbol) => symbol.to_string(),
    }
}

fn show(cursor: &mut TokenCursor<'_>) -> Result<SqlStatement, SqlError> {
    let name = cursor.name()?;
    ignore_rest(cursor, SqlStatement::Show { name })
}

fn insert(cursor: &mut TokenCursor<'_>) -> Result<SqlStatement, SqlError> {
    cursor.expect_word("into")?;
    cursor.table()?;
    if cursor.take_symbol('(') {
        cursor.expect_word("key")?;
        cursor.expect_symbol(',')?;
        cursor.expect_word("value")?;
        cursor.expect_symbol(')')?;
    }
    cursor.expect_word("values")?;
    let mut rows = Vec::new();
    loop {
        cursor.expect_symbol('(')?;
        let key = cursor.value(ColumnType::Text)?;
        cursor.expect_symbol(',')?;
        let value = cursor.value(ColumnType::Text)?;
        cursor.expect_symbol(')')?;
        rows.push((key, value));
        if !cursor.take_symbol(',') {
            break;
        }
    }
    let upsert = cursor.take_word("on");
    if upsert {
        // Any `ON CONFLICT` clause runs as `(key) DO UPDATE SET value = excluded.value`.
        skip_rest(cursor);
    }
    Ok(SqlStatement::Insert { rows, upsert })
}

fn update(cursor: &mut TokenCursor<'_>) -> Result<SqlStatement, SqlError> {
    cursor.table()?;
    cursor.expect_word("set")?;
    cursor.expect_word("value")?;
    cursor.expect_symbol('=')?;
    let value = cursor.value(ColumnType::Text)?;
    let key = where_key(cursor)?;
    Ok(SqlStatement::Update { value, key })
}

fn delete(cursor: &mut TokenCursor<'_>) -> Result<SqlStatement, SqlError> {
    cursor.expect_word("from")?;
    cursor.table()?;
    let key = where_key(cursor)?;
    Ok(SqlStatement::Delete { key })
}

fn where_key(cursor: &mut TokenCursor<'_>) -> Result<Option<SqlValue>, SqlError> {
    if !cursor.take_word("where") {
        return Ok(None);
    }
    cursor.expect_word("key")?;
    cursor.expect_symbol('=')?;
    cursor.value(ColumnType::Text).map(Some)
}

fn select(cursor: &mut TokenCursor<'_>) -> Result<SqlStatement, SqlError> {
    let tokens = cursor.rest();
    let from_table = tokens
        .iter()
        .any(|t| *t == SqlToken::Word("from".to_owned()));
    if !from_table {
        return select_values(cursor);
    }
    if cursor.take_symbol('*') {
        let mut extra = Vec::new();
        while cursor.take_symbol(',') {
            let value = cursor.value(ColumnType::Text)?;
            cursor.expect_word("as")?;
            extra.push((cursor.name()?, value));
        }
        cursor.expect_word("from")?;
        return match cursor.rest().first() {
            Some(SqlToken::Word(name)) if name.starts_with("platform_") => platform(cursor, extra),
            _ if !extra.is_empty() => Err(SqlError::syntax("unexpected columns after *")),
            _ => select_table(
                cursor,
                TableColumns::Named(vec!["key".to_owned(), "value".to_owned()]),
            ),
        };
    }
    let columns = table_columns(cursor)?;
    cursor.expect_word("from")?;
    select_table(cursor, columns)
}

fn table_columns(cursor: &mut TokenCursor<'_>) -> Result<TableColumns, SqlError> {
    let mut names = Vec::new();
    loop {
        let name = cursor.name()?;
        match name.as_str() {
            "key" | "value" => names.push(name),
            "count" => {
                cursor.expect_symbol('(')?;
                cursor.expect_symbol('*')?;
                cursor.expect_symbol(')')?;
                return Ok(TableColumns::Count);
            }
            other => {
                return Err(SqlError::new(
                    "42703",
                    format!("column \"{other}\" does not exist"),
                ));
            }
        }
        if !cursor.take_symbol(',') {
            return Ok(TableColumns::Named(names));
        }
    }
}

fn select_table(
    cursor: &mut TokenCursor<'_>,
    columns: TableColumns,
) -> Result<SqlStatement, SqlError> {
    cursor.table()?;
    let key = where_key(cursor)?;
    if cursor.take_word("order") {
        cursor.expect_word("by")?;
        cursor.expect_word("key")?;
    }
    let for_update = cursor.take_word("for");
    if for_update {
        cursor.expect_word("update")?;
    }
    Ok(SqlStatement::SelectTable {
        columns,
        key,
        for_update,
    })
}

fn select_values(cursor: &mut TokenCursor<'_>) -> Result<SqlStatement, SqlError> {
    match cursor.rest() {
        [SqlToken::Word(name), SqlToken::Symbol('('), ..] if name == "pg_sleep" => {
            let seconds = arguments(cursor, &[ColumnType::Float8])?.remove(0);
            return Ok(SqlStatement::Sleep { seconds });
        }
        [SqlToken::Word(name), SqlToken::Symbol('('), ..] if name == "repeat_rows" => {
            let mut values = arguments(cursor, &[ColumnType::Int8, ColumnType::Int8])?;
            let bytes = values.remove(1);
            let rows = values.remove(0);
            return Ok(SqlStatement::RepeatRows { rows, bytes });
        }
        [SqlToken::Word(name), SqlToken::Symbol('('), ..] if name.starts_with("pg_advisory") => {
            let column = (name.clone(), SqlValue::Literal(None, ColumnType::Void));
            return ignore_rest(
                cursor,
                SqlStatement::SelectValues {
                    values: vec![column],
                },
            );
        }
        _ => {}
    }
    let mut values = Vec::new();
    loop {
        let value = cursor.value(ColumnType::Text)?;
        let name = if cursor.take_word("as") {
            cursor.name()?
        } else if let SqlValue::Function(name) = &value {
            name.clone()
        } else {
            "?column?".to_owned()
        };
        values.push((name, value));
        if !cursor.take_symbol(',') {
            return Ok(SqlStatement::SelectValues { values });
        }
    }
}

fn arguments(
    cursor: &mut TokenCursor<'_>,
    kinds: &[ColumnType],
) -> Result<Vec<SqlValue>, SqlError> {
    cursor.name()?;
    cursor.expect_symbol('(')?;
    let mut values = Vec::new();
    for (index, kind) in kinds.iter().enumerate() {
        if index > 0 {
            cursor.expect_symbol(',')?;
        }
        values.push(cursor.value(*kind)?);
    }
    cursor.expect_symbol(')')?;
    Ok(values)
}

fn platform(
    cursor: &mut TokenCursor<'_>,
    extra: Vec<(String, SqlValue)>,
) -> Result<SqlStatement, SqlError> {
    let number = ColumnType::Int8;
    let name = match cursor.rest().first() {
        Some(SqlToken::Word(name)) => name.clone(),
        _ => String::new(),
    };
    let kinds: &[ColumnType] = match name.as_str() {
        "platform_status" => &[],
        "platform_await" => &[number, number, number],
        "platform_fence" | "platform_promote" => &[number, ColumnType::Text],
        _ => return Err(SqlError::new("42883", format!("no function {name}"))),
    };
    let mut values = arguments(cursor, kinds)?.into_iter();
    let call = match (name.as_str(), values.next(), values.next(), values.next()) {
        ("platform_await", Some(term), Some(position), Some(timeout)) => {
            PlatformCall::Await(term, position, timeout)
        }
        ("platform_fence", Some(term), Some(by), None) => PlatformCall::Fence(term, by),
        ("platform_promote", Some(term), Some(by), None) => PlatformCall::Promote(term, by),
        _ => PlatformCall::Status,
    };
    Ok(SqlStatement::Platform { call, extra })
}

fn copy(cursor: &mut TokenCursor<'_>) -> Result<SqlStatement, SqlError> {
    cursor.table()?;
    if cursor.take_symbol('(') {
        cursor.expect_word("key")?;
        cursor.expect_symbol(',')?;
        cursor.expect_word("value")?;
        cursor.expect_symbol(')')?;
    }
    if cursor.take_word("from") {
        cursor.expect_word("stdin")?;
        return ignore_rest(cursor, SqlStatement::CopyIn);
    }
    cursor.expect_word("to")?;
    cursor.expect_word("stdout")?;
    ignore_rest(cursor, SqlStatement::CopyOut)
}
