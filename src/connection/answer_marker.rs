//! A statement of the instance whose answer is unique to one exchange.

use std::fmt::Write;

use bytes::BytesMut;
use session_core::answer_check::AnswerFault;

use crate::connection::endpoint_link;
use crate::connection::endpoint_link::LinkError;
use crate::connection::wire_frame;
use crate::connection::wire_frame::WireFrame;
use crate::process::endpoint_status;
use crate::process::endpoint_status::EndpointStatus;

/// The statement that carries the nonce of a marker.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum MarkerKind {
    /// A status query with the nonce as an additional column.
    Status,
    /// A setting of the connection that is changed to the nonce and shown. It takes no snapshot, so it
    /// may precede SET TRANSACTION.
    Setting,
    /// A reference to a prepared statement that has the nonce as its name and does not exist. It is
    /// refused with that name, and is the only kind that a failed transaction answers with the nonce.
    Name,
}

/// A statement that follows the statements of a caller, and the progress of its answer.
///
/// Copies of earlier messages cannot contain its nonce. Where its answer follows a complete answer, no
/// message is missing, left over or additional in between.
#[derive(Debug)]
pub struct AnswerMarker {
    kind: MarkerKind,
    nonce: String,
    is_matched: bool,
    is_refused: bool,
    status: Option<EndpointStatus>,
}

/// How the answer to a marker ended.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum MarkerOutcome {
    /// It has the nonce.
    Matched(Option<EndpointStatus>),
    /// The endpoint refused the statement, so that another marker is needed.
    Refused,
}

impl AnswerMarker {
    /// Creates a marker with a random nonce.
    pub fn new(kind: MarkerKind) -> Self {
        let mut nonce = String::with_capacity(36);
        // Writing to a string cannot fail.
        let _ = write!(nonce, "tlb_{:032x}", rand::random::<u128>());
        Self {
            kind,
            nonce,
            is_matched: false,
            is_refused: false,
            status: None,
        }
    }

    /// Returns the kind.
    pub fn kind(&self) -> MarkerKind {
        self.kind
    }

    /// Adds the statement to the output for the endpoint.
    pub fn put(&self, output: &mut BytesMut) {
        let nonce = &self.nonce;
        let text = match self.kind {
            MarkerKind::Status => endpoint_status::marked_query("platform_status()", nonce),
            MarkerKind::Setting => {
                format!("SET tamaracklb.marker = '{nonce}';SHOW tamaracklb.marker")
            }
            MarkerKind::Name => {
                let mut body = vec![b'S'];
                body.extend_from_slice(nonce.as_bytes());
                body.push(0);
                output.extend_from_slice(WireFrame::new(b'D', &body).bytes());
                output.extend_from_slice(WireFrame::new(b'S', &[]).bytes());
                return;
            }
        };
        let mut body = text.into_bytes();
        body.push(0);
        output.extend_from_slice(WireFrame::new(b'Q', &body).bytes());
    }

    /// Handles a message of the answer; returns the outcome at ReadyForQuery.
    pub fn receive(&mut self, frame: &WireFrame) -> Result<Option<MarkerOutcome>, LinkError> {
        let wrong = LinkError::Unexpected {
            fault: AnswerFault::WrongMarker,
        };
        let is_open = !self.is_matched && !self.is_refused;
        match (frame.kind(), self.kind) {
            (b'N' | b'S' | b'A', _) => {}
            (b'E', _) if endpoint_link::is_fatal(frame) => {
                return Err(LinkError::from_error(frame));
            }
            (b'E', MarkerKind::Name) if is_open && self.names_nonce(frame) => {
                self.is_matched = true;
            }
            (b'E', MarkerKind::Status | MarkerKind::Setting) if is_open => self.is_refused = true,
            (b'T' | b'C', MarkerKind::Status | MarkerKind::Setting) if !self.is_refused => {}
            (b'D', MarkerKind::Status | MarkerKind::Setting) if is_open => {
                let columns = wire_frame::read_row(frame.body())?;
                let Some((Some(nonce), columns)) = columns.split_last() else {
                    return Err(wrong);
                };
                if *nonce != self.nonce {
                    return Err(wrong);
                }
                if self.kind == MarkerKind::Status {
                    let status = EndpointStatus::from_text_row(columns);
                    self.status = Some(status.map_err(|_| LinkError::Protocol)?);
                }
                self.is_matched = true;
            }
            (b'Z', _) if self.is_matched => {
                return Ok(Some(MarkerOutcome::Matched(self.status.take())));
            }
            (b'Z', _) if self.is_refused => return Ok(Some(MarkerOutcome::Refused)),
            _ => return Err(wrong),
        }
        Ok(None)
    }

    fn names_nonce(&self, frame: &WireFrame) -> bool {
        let nonce = self.nonce.as_bytes();
        frame.body().windows(nonce.len()).any(|part| part == nonce)
    }
}
