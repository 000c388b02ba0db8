//! Recognizes the answers of an endpoint that belong to another statement than the one that is awaited.
//!
//! Answers on a connection carry no id of their statement. An endpoint may send an answer twice, the
//! second time at any later moment, and each such copy would shift all later answers by one.

use std::collections::HashSet;
use std::fmt;
use std::hash::BuildHasher;
use std::hash::RandomState;

use serde::Deserialize;
use serde::Serialize;

use crate::answer_matching::AnswerMatching;
use crate::session_state::SessionState;

/// What the successful answer to a statement consists of.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum AnswerKind {
    /// A receipt of its own, and any rows: a read, a write or a commit.
    Receipt,
    /// Neither rows nor a receipt: a statement about the session.
    Acknowledgement,
    /// One row without a receipt: a report of the endpoint on itself.
    Report,
}

/// The successful answer that a statement must get.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct ExpectedAnswer {
    /// What it consists of.
    pub kind: AnswerKind,
    /// The transaction state that it names.
    pub state: SessionState,
}

/// The parts of an answer by which its statement is recognized.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct AnswerParts<'a> {
    /// Number of rows.
    pub rows: usize,
    /// The receipt, `None` if there is none, or the text of the refusal.
    pub result: Result<Option<&'a str>, &'a str>,
    /// The transaction state.
    pub state: SessionState,
}

/// What an answer is to the awaited statement.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum AnswerVerdict {
    /// Its own.
    Own,
    /// One to an earlier statement, which is passed over.
    PassedOver(AnswerFault),
    /// One to another statement, after which the connection must not be used.
    Broken(AnswerFault),
}

/// Why an answer is not that of the awaited statement.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub enum AnswerFault {
    /// Bytes arrived while no answer was awaited.
    Unrequested,
    /// An earlier answer on the connection had the same receipt.
    RepeatedReceipt,
    /// The statement has a receipt, the answer none.
    MissingReceipt,
    /// The statement has no receipt, the answer one.
    UnexpectedReceipt,
    /// The answer has too many or too few rows.
    UnexpectedRows,
    /// The answer names a transaction state that the statement does not lead to.
    UnexpectedState,
    /// The messages of the answer are in the wrong order.
    MessageOrder,
    /// The answer has the same text as the refusal before it that is to be confirmed.
    RepeatedRefusal,
    /// A refusal arrived where nothing can be refused.
    UnexpectedRefusal,
    /// The statement that the daemon sent to mark the end of the answer has another answer than its own.
    WrongMarker,
}

impl fmt::Display for AnswerFault {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(match self {
            AnswerFault::Unrequested => "unrequested",
            AnswerFault::RepeatedReceipt => "repeated_receipt",
            AnswerFault::MissingReceipt => "missing_receipt",
            AnswerFault::UnexpectedReceipt => "unexpected_receipt",
            AnswerFault::UnexpectedRows => "unexpected_rows",
            AnswerFault::UnexpectedState => "unexpected_state",
            AnswerFault::MessageOrder => "message_order",
            AnswerFault::RepeatedRefusal => "repeated_refusal",
            AnswerFault::UnexpectedRefusal => "unexpected_refusal",
            AnswerFault::WrongMarker => "wrong_marker",
        })
    }
}

/// What an endpoint has answered on one connection.
#[derive(Debug, Default)]
pub struct AnswerCheck {
    /// Hashes of the receipts.
    receipts: HashSet<u64>,
    hasher: RandomState,
    /// Text of the last refusal.
    refusal: Option<String>,
    /// Whether a statement without a receipt was acknowledged.
    acknowledged: bool,
    /// Whether an answer arrived that was not that of the awaited statement.
    saw_unexpected: bool,
}

impl AnswerCheck {
    /// Number of receipts after which the connection must be replaced, as a copy of any earlier answer
    /// may still arrive. Bounds the memory of an idle connection to about 72 KiB.
    pub const MAX_RECEIPTS: usize = 4_096;

    /// Returns whether a statement was refused, so that a copy of the refusal may be taken for a later one.
    pub fn has_refused(&self) -> bool {
        self.refusal.is_some()
    }

    /// Returns whether the connection must not serve another session: copies have arrived, or nothing
    /// would tell later receipts from earlier ones.
    pub fn is_worn(&self) -> bool {
        self.saw_unexpected || self.receipts.len() >= Self::MAX_RECEIPTS
    }

    /// Returns whether a statement without a receipt was acknowledged, so that a copy of the
    /// acknowledgement may be taken for a later one.
    pub fn has_acknowledged(&self) -> bool {
        self.acknowledged
    }

    /// Records that a copy of an earlier answer arrived.
    pub fn record_copy(&mut self) {
        self.saw_unexpected = true;
    }

    /// Returns what an answer is to the awaited statement, and records its receipt. The first refusal on
    /// a connection is no copy; any other one must be confirmed by statements that follow it.
    pub fn judge(
        &mut self,
        expected: ExpectedAnswer,
        matching: AnswerMatching,
        answer: AnswerParts<'_>,
    ) -> AnswerVerdict {
        let receipt = match answer.result {
            Ok(receipt) => receipt,
            Err(text) => return self.judge_refusal(matching, text),
        };
        let Err(fault) = self.check_success(expected, receipt, answer) else {
            return AnswerVerdict::Own;
        };
        self.saw_unexpected = true;
        match (matching, fault) {
            // The receipt is new, so the answer is its own; the state of the connection is wrong.
            (_, AnswerFault::UnexpectedState) if receipt.is_some() => AnswerVerdict::Broken(fault),
            (AnswerMatching::Lenient, _) => AnswerVerdict::PassedOver(fault),
            (AnswerMatching::Strict | AnswerMatching::AfterRefusal, _) => {
                AnswerVerdict::Broken(fault)
            }
        }
    }

    fn judge_refusal(&mut self, matching: AnswerMatching, text: &str) -> AnswerVerdict {
        if matching != AnswerMatching::AfterRefusal {
            self.refusal = Some(text.to_owned());
            return AnswerVerdict::Own;
        }
        self.saw_unexpected = true;
        match self.refusal.as_deref() == Some(text) {
            true => AnswerVerdict::PassedOver(AnswerFault::RepeatedRefusal),
            false => AnswerVerdict::Broken(AnswerFault::UnexpectedRefusal),
        }
    }

    fn check_success(
        &mut self,
        expected: ExpectedAnswer,
        receipt: Option<&str>,
        answer: AnswerParts<'_>,
    ) -> Result<(), AnswerFault> {
        let is_new =
            receipt.is_none_or(|receipt| self.receipts.insert(self.hasher.hash_one(receipt)));
        if !is_new {
            return Err(AnswerFault::RepeatedReceipt);
        }
        let rows = match (expected.kind, receipt) {
            (AnswerKind::Receipt, None) => return Err(AnswerFault::MissingReceipt),
            (AnswerKind::Receipt, Some(_)) => answer.rows,
            (_, Some(_)) => return Err(AnswerFault::UnexpectedReceipt),
            (AnswerKind::Acknowledgement, None) => 0,
            (AnswerKind::Report, None) => 1,
        };
        if answer.rows != rows {
            return Err(AnswerFault::UnexpectedRows);
        }
        if answer.state != expected.state {
            return Err(AnswerFault::UnexpectedState);
        }
        self.acknowledged |= receipt.is_none();
        Ok(())
    }
}
