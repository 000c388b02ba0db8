//! Answers to statements that the instance handles without an endpoint.

use std::sync::Arc;

use bytes::BytesMut;

use crate::connection::prepared_statement::PreparedStatement;
use crate::connection::request_batch::PreparedMap;
use crate::connection::wire_frame;
use crate::connection::wire_frame::FrameError;
use crate::connection::wire_frame::WireFrame;
use crate::connection::wire_reply;
use crate::connection::wire_reply::CallerError;
use crate::request::log_point::LogPoint;
use crate::request::statement;
use crate::request::statement::StatementInfo;
use crate::request::statement::StatementKind;

const NO_PARAMETERS: [u8; 2] = [0, 0];

/// The effect of a local statement on the session.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum LocalEffect {
    /// No effect.
    None,
    /// Raises the floor to a point.
    RaiseFloor(LogPoint),
    /// Sets whether the session accepts stale reads.
    Staleness(bool),
    /// Drops all prepared statements.
    DropStatements,
    /// Resets the session to its initial state.
    Discard,
}

/// Writes the answer to one local statement, without ReadyForQuery, and returns its effect.
///
/// With `describe`, a row description precedes rows. Fails with the error for the caller if the
/// statement is invalid or is not local.
pub fn answer_statement(
    info: &StatementInfo,
    floor: LogPoint,
    stale: bool,
    describe: bool,
    prepared: &mut PreparedMap,
    out: &mut BytesMut,
) -> Result<LocalEffect, CallerError> {
    let mut effect = LocalEffect::None;
    match &info.kind {
        StatementKind::ShowFloor => show(statement::FLOOR_SETTING, floor, describe, out),
        StatementKind::ShowStaleness => {
            let switch = if stale { "on" } else { "off" };
            show(statement::STALENESS_SETTING, switch, describe, out);
        }
        StatementKind::SetFloor { floor } => {
            let point = floor
                .parse()
                .map_err(|error| CallerError::new("22023", format!("{error}")))?;
            effect = LocalEffect::RaiseFloor(point);
            wire_reply::put_complete("SET", out);
        }
        StatementKind::SetStaleness { switch } => {
            effect = LocalEffect::Staleness(parse_switch(switch)?);
            wire_reply::put_complete("SET", out);
        }
        StatementKind::DiscardAll => {
            effect = LocalEffect::Discard;
            wire_reply::put_complete("DISCARD ALL", out);
        }
        StatementKind::Deallocate { statement: None } => {
            effect = LocalEffect::DropStatements;
            wire_reply::put_complete("DEALLOCATE ALL", out);
        }
        StatementKind::Deallocate {
            statement: Some(name),
        } => {
            if prepared.remove(name.as_bytes()).is_none() {
                let message = "prepared statement does not exist";
                return Err(CallerError::new("26000", message));
            }
            wire_reply::put_complete("DEALLOCATE", out);
        }
        _ => return Err(CallerError::not_supported("this statement")),
    }
    Ok(effect)
}

fn show(name: &str, value: impl std::fmt::Display, describe: bool, out: &mut BytesMut) {
    if describe {
        wire_reply::put_text_column(name, out);
    }
    wire_reply::put_text_row(&value.to_string(), out);
    wire_reply::put_complete("SHOW", out);
}

fn parse_switch(text: &str) -> Result<bool, CallerError> {
    match text.to_ascii_lowercase().as_str() {
        "on" | "true" | "yes" | "1" => Ok(true),
        "off" | "false" | "no" | "0" | "default" => Ok(false),
        _ => Err(CallerError::new(
            "22023",
            "the switch is neither on nor off",
        )),
    }
}

/// Writes the answer to a Describe of a local statement (if `is_statement`) or of its portal.
pub fn describe_statement(statement: &PreparedStatement, is_statement: bool, out: &mut BytesMut) {
    if is_statement {
        out.extend_from_slice(WireFrame::new(b't', &NO_PARAMETERS).bytes());
    }
    match statement.info.as_ref().map(|info| &info.kind) {
        Some(StatementKind::ShowFloor) => {
            wire_reply::put_text_column(statement::FLOOR_SETTING, out);
        }
        Some(StatementKind::ShowStaleness) => {
            wire_reply::put_text_column(statement::STALENESS_SETTING, out);
        }
        _ => out.extend_from_slice(WireFrame::new(b'n', &[]).bytes()),
    }
}

/// Returns the names of the portal and of the statement in a Bind message.
pub fn read_bind(frame: &WireFrame) -> Result<(Vec<u8>, Vec<u8>), FrameError> {
    let (portal, rest) = wire_frame::split_text(frame.body())?;
    let (statement, _) = wire_frame::split_text(rest)?;
    Ok((portal.to_vec(), statement.to_vec()))
}

/// Returns the statement of a portal that was bound in the same batch.
pub fn find_portal(
    portals: &[(Vec<u8>, Arc<PreparedStatement>)],
    name: &[u8],
) -> Option<Arc<PreparedStatement>> {
    let found = portals.iter().rev().find(|(portal, _)| portal == name);
    found.map(|(_, statement)| statement.clone())
}
