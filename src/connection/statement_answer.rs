//! The order of the messages that answer one statement.

use session_core::answer_check::AnswerFault;

use crate::connection::wire_frame::WireFrame;

#[derive(Debug, Default, Clone, Copy, PartialEq, Eq)]
enum AnswerPhase {
    #[default]
    Start,
    Rows,
    CopyOut,
    CopyOutEnd,
    CopyIn,
}

/// Progress of the answer to one statement; after its completion, of that to the next one.
///
/// Messages that an endpoint sends twice make the order or the number of rows wrong.
#[derive(Debug, Default)]
pub struct StatementAnswer {
    phase: AnswerPhase,
    rows: u64,
}

impl StatementAnswer {
    /// Returns whether no message of an answer was received since the last completion.
    pub fn is_at_start(&self) -> bool {
        self.phase == AnswerPhase::Start
    }

    /// Checks a message that precedes the completion; `described` tells whether the columns were
    /// already described, as in the extended protocol.
    pub fn receive(&mut self, kind: u8, described: bool) -> Result<(), AnswerFault> {
        self.phase = match (kind, self.phase) {
            (b'T', AnswerPhase::Start) if !described => AnswerPhase::Rows,
            (b'D', AnswerPhase::Start) if described => AnswerPhase::Rows,
            (b'D', AnswerPhase::Rows) => AnswerPhase::Rows,
            (b'H', AnswerPhase::Start) => AnswerPhase::CopyOut,
            (b'd', AnswerPhase::CopyOut) => AnswerPhase::CopyOut,
            (b'c', AnswerPhase::CopyOut) => AnswerPhase::CopyOutEnd,
            (b'G', AnswerPhase::Start) => AnswerPhase::CopyIn,
            _ => return Err(AnswerFault::MessageOrder),
        };
        self.rows += u64::from(kind == b'D');
        Ok(())
    }

    /// Checks the completion of a statement with this text, if it is known.
    ///
    /// `limit` is the number of rows after which the endpoint suspends a portal; 0 means none.
    pub fn complete(
        &mut self,
        frame: &WireFrame,
        text: Option<&str>,
        limit: u64,
    ) -> Result<(), AnswerFault> {
        let answer = std::mem::take(self);
        let is_ordered = match (frame.kind(), answer.phase) {
            (_, AnswerPhase::CopyOut) => false,
            (b'I', phase) => phase == AnswerPhase::Start,
            (b's', AnswerPhase::Start | AnswerPhase::Rows) => limit > 0,
            (b's', _) => false,
            _ => true,
        };
        if !is_ordered {
            return Err(AnswerFault::MessageOrder);
        }
        let fits = match frame.kind() {
            b's' => answer.rows == limit,
            b'C' => answer.rows == 0 || has_rows(frame, text, answer.rows),
            _ => true,
        };
        if fits {
            Ok(())
        } else {
            Err(AnswerFault::UnexpectedRows)
        }
    }
}

/// Returns whether a statement with this command tag and text may return this many rows.
fn has_rows(frame: &WireFrame, text: Option<&str>, rows: u64) -> bool {
    let tag = String::from_utf8_lossy(frame.body());
    let mut words = tag.trim_end_matches('\0').split(' ');
    let command = words.next().unwrap_or_default();
    let counted = words
        .next_back()
        .and_then(|count| count.parse::<u64>().ok());
    match command {
        "SELECT" | "FETCH" => counted == Some(rows),
        "INSERT" | "UPDATE" | "DELETE" | "MERGE" => {
            let returns = text.is_none_or(|text| text.to_ascii_lowercase().contains("returning"));
            counted == Some(rows) && returns
        }
        "CALL" => rows == 1,
        "SHOW" | "EXPLAIN" | "EXECUTE" => true,
        _ => false,
    }
}
