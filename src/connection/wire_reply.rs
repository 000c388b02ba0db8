//! Encodes the protocol messages that the instance sends itself.

use bytes::BytesMut;
use pgwire::messages::Message;
use pgwire::messages::data::DataRow;
use pgwire::messages::data::FieldDescription;
use pgwire::messages::data::RowDescription;
use pgwire::messages::response::CommandComplete;
use pgwire::messages::response::ErrorResponse;
use pgwire::messages::response::ReadyForQuery;
use pgwire::messages::response::TransactionStatus;
use pgwire::messages::startup::ParameterStatus;

use crate::request::refusal::RequestRefusal;

const TEXT_TYPE_OID: u32 = 25;

/// The scope of an error: what it ends.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ErrorScope {
    /// The request failed; the connection stays open.
    Request,
    /// The connection is closed.
    Connection,
}

/// An error in the form in which it is sent to a caller.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct CallerError {
    /// The SQLSTATE.
    pub sqlstate: &'static str,
    /// The message text.
    pub message: String,
    /// The DETAIL field, if any.
    pub detail: Option<&'static str>,
}

impl CallerError {
    /// Creates an error without a detail.
    pub fn new(sqlstate: &'static str, message: impl Into<String>) -> Self {
        Self {
            sqlstate,
            message: message.into(),
            detail: None,
        }
    }

    /// Creates the error for an unsupported feature; the detail reports that the request did not
    /// run.
    pub fn not_supported(what: &str) -> Self {
        Self {
            sqlstate: "0A000",
            message: format!("{what} is not supported"),
            detail: Some("not run"),
        }
    }

    /// Encodes the error as an ErrorResponse.
    pub fn encode(&self, scope: ErrorScope, out: &mut BytesMut) {
        let severity = match scope {
            ErrorScope::Request => "ERROR",
            ErrorScope::Connection => "FATAL",
        };
        let mut fields = vec![
            (b'S', severity.to_owned()),
            (b'V', severity.to_owned()),
            (b'C', self.sqlstate.to_owned()),
            (b'M', self.message.clone()),
        ];
        if let Some(detail) = self.detail {
            fields.push((b'D', detail.to_owned()));
        }
        put(&ErrorResponse::new(fields), out);
    }
}

impl From<RequestRefusal> for CallerError {
    fn from(refusal: RequestRefusal) -> Self {
        Self {
            sqlstate: refusal.sqlstate(),
            message: refusal.to_string(),
            detail: refusal.is_not_run().then_some("not run"),
        }
    }
}

/// Encodes a message; those of the instance are always below pgwire's size limits.
pub fn put<M: Message>(message: &M, out: &mut BytesMut) {
    if let Err(error) = message.encode(out) {
        tracing::error!("caller: cannot encode message: {error}");
    }
}

/// Writes ReadyForQuery with a transaction status of `I`, `T` or `E`.
pub fn put_ready(status: u8, out: &mut BytesMut) {
    let status = match status {
        b'T' => TransactionStatus::Transaction,
        b'E' => TransactionStatus::Error,
        _ => TransactionStatus::Idle,
    };
    put(&ReadyForQuery::new(status), out);
}

/// Writes CommandComplete.
pub fn put_complete(tag: &str, out: &mut BytesMut) {
    put(&CommandComplete::new(tag.to_owned()), out);
}

/// Writes ParameterStatus.
pub fn put_parameter(name: &str, value: &str, out: &mut BytesMut) {
    put(
        &ParameterStatus::new(name.to_owned(), value.to_owned()),
        out,
    );
}

/// Writes the description of a row with one text column.
pub fn put_text_column(name: &str, out: &mut BytesMut) {
    let field = FieldDescription::new(name.to_owned(), 0, 0, TEXT_TYPE_OID, -1, -1, 0);
    put(&RowDescription::new(vec![field]), out);
}

/// Writes a row with one text value.
pub fn put_text_row(value: &str, out: &mut BytesMut) {
    let mut data = BytesMut::new();
    let length = i32::try_from(value.len()).unwrap_or(0);
    data.extend_from_slice(&length.to_be_bytes());
    data.extend_from_slice(value.as_bytes());
    put(&DataRow::new(data, 1), out);
}
