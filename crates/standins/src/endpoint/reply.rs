//! Values, columns and errors in answers of the stand-in endpoint.

use bytes::BufMut;
use bytes::BytesMut;

/// Column and parameter types that the stand-in supports.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ColumnType {
    /// `bool`
    Bool,
    /// `int4`
    Int4,
    /// `int8`
    Int8,
    /// `float8`
    Float8,
    /// `text`
    Text,
    /// `void`
    Void,
}

impl ColumnType {
    /// Returns the OID of the type in PostgreSQL.
    pub fn oid(self) -> u32 {
        match self {
            ColumnType::Bool => 16,
            ColumnType::Int4 => 23,
            ColumnType::Int8 => 20,
            ColumnType::Float8 => 701,
            ColumnType::Text => 25,
            ColumnType::Void => 2278,
        }
    }

    /// Returns the size of a value in bytes, or -1 if it varies.
    pub fn size(self) -> i16 {
        match self {
            ColumnType::Bool => 1,
            ColumnType::Int4 | ColumnType::Void => 4,
            ColumnType::Int8 | ColumnType::Float8 => 8,
            ColumnType::Text => -1,
        }
    }

    /// Appends a value in the binary format; `text` is the value in the text format.
    pub fn put_binary(self, text: &str, out: &mut BytesMut) {
        match self {
            ColumnType::Bool => out.put_u8(u8::from(text == "t")),
            ColumnType::Int4 => out.put_i32(text.parse().unwrap_or_default()),
            ColumnType::Int8 => out.put_i64(text.parse().unwrap_or_default()),
            ColumnType::Float8 => out.put_f64(text.parse().unwrap_or_default()),
            ColumnType::Text | ColumnType::Void => out.put_slice(text.as_bytes()),
        }
    }
}

/// A column of an answer.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct ReplyColumn {
    /// The name.
    pub name: String,
    /// The type.
    pub kind: ColumnType,
}

impl ReplyColumn {
    /// Creates a column.
    pub fn new(name: &str, kind: ColumnType) -> Self {
        Self {
            name: name.to_owned(),
            kind,
        }
    }
}

/// A value as text; `None` is NULL.
pub type ReplyValue = Option<String>;

/// An error that is sent to the client.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct SqlError {
    /// The SQLSTATE.
    pub code: &'static str,
    /// The message.
    pub message: String,
}

impl SqlError {
    /// Creates an error.
    pub fn new(code: &'static str, message: impl Into<String>) -> Self {
        Self {
            code,
            message: message.into(),
        }
    }

    /// Creates the error for a statement that the stand-in cannot parse.
    pub fn syntax(message: impl Into<String>) -> Self {
        Self::new("42601", message)
    }

    /// Creates the error for a write on a replica or in a read-only transaction.
    pub fn read_only() -> Self {
        Self::new("25006", "cannot execute a write in a read-only transaction")
    }

    /// Creates the error for a statement that its client has cancelled.
    pub fn cancelled() -> Self {
        Self::new("57014", "canceling statement due to user request")
    }
}
