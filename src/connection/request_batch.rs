//! The messages of one request and what they need.

use std::collections::HashMap;
use std::collections::HashSet;
use std::sync::Arc;

use crate::connection::prepared_statement::PreparedStatement;
use crate::connection::wire_frame;
use crate::connection::wire_frame::FrameError;
use crate::connection::wire_frame::WireFrame;
use crate::request::statement;
use crate::request::statement::StatementInfo;
use crate::request::statement::StatementKind;

/// Prepared statements of a session, by the name that the caller gave.
pub type PreparedMap = HashMap<Vec<u8>, Arc<PreparedStatement>>;

/// The messages of one request, from the first to Query, Sync or the first Flush.
#[derive(Debug)]
pub struct RequestBatch {
    /// The messages.
    pub frames: Vec<WireFrame>,
    /// Whether the last message of the request is among them.
    pub complete: bool,
}

/// What a request needs.
#[derive(Debug, Default)]
pub struct BatchPlan {
    /// The statements of a simple query, or those that the messages refer to.
    pub statements: Vec<Arc<StatementInfo>>,
    /// Whether it is a simple query.
    pub simple: bool,
    /// Whether every statement plainly only reads.
    pub read: bool,
    /// Whether running it twice has the effect of running it once.
    pub pure: bool,
    /// Whether a statement may run at most once.
    pub once_only: bool,
    /// Whether it leaves state behind on its endpoint connection.
    pub pins: bool,
    /// Whether a copy mode may follow.
    pub copies: bool,
    /// Whether it may open a transaction that stays open.
    pub opens: bool,
    /// Whether it may end a transaction.
    pub ends: bool,
    /// Whether it executes anything; preparing and describing alone does not.
    pub executes: bool,
    /// Whether the instance answers all of it.
    pub local: bool,
    /// What it needs that is not supported.
    pub unsupported: Option<&'static str>,
}

impl RequestBatch {
    /// Judges the request.
    pub fn plan(&self, prepared: &PreparedMap, once: &[String]) -> Result<BatchPlan, FrameError> {
        let simple = self
            .frames
            .first()
            .is_some_and(|frame| frame.kind() == b'Q');
        let mut plan = BatchPlan {
            simple,
            executes: simple
                || !self.complete
                || self.frames.iter().any(|frame| frame.kind() == b'E'),
            ..BatchPlan::default()
        };
        let mut unknown = false;
        let mut forwarded = false;
        if simple {
            let (text, _) = wire_frame::split_text(self.frames[0].body())?;
            let statements = statement::parse_statements(&String::from_utf8_lossy(text));
            plan.statements = statements.into_iter().map(Arc::new).collect();
        } else {
            let mut staged = StagedNames::default();
            for frame in &self.frames {
                match find_statement(frame, prepared, &mut staged)? {
                    Found::Nothing => {}
                    Found::Message => forwarded = true,
                    Found::Unknown => unknown = true,
                    Found::Statement(statement) => match &statement.info {
                        Some(info) => plan.statements.push(info.clone()),
                        None => unknown = true,
                    },
                }
            }
        }
        plan.judge(once, self.complete && !unknown, forwarded || unknown);
        Ok(plan)
    }
}

/// Names that earlier messages of the same request gave.
#[derive(Default)]
struct StagedNames {
    statements: PreparedMap,
    portals: HashSet<Vec<u8>>,
}

enum Found {
    Nothing,
    Message,
    Unknown,
    Statement(Arc<PreparedStatement>),
}

fn find_statement(
    frame: &WireFrame,
    prepared: &PreparedMap,
    staged: &mut StagedNames,
) -> Result<Found, FrameError> {
    let find = |name: &[u8], staged: &StagedNames| {
        let statement = staged.statements.get(name).or_else(|| prepared.get(name));
        statement.map_or(Found::Unknown, |found| Found::Statement(found.clone()))
    };
    Ok(match frame.kind() {
        b'P' => {
            let (name, statement) = PreparedStatement::from_parse(frame)?;
            let statement = Arc::new(statement);
            staged.statements.insert(name, statement.clone());
            Found::Statement(statement)
        }
        b'B' => {
            let (portal, rest) = wire_frame::split_text(frame.body())?;
            let (name, _) = wire_frame::split_text(rest)?;
            staged.portals.insert(portal.to_vec());
            find(name, staged)
        }
        b'D' => match frame.body().split_first() {
            Some((b'S', rest)) => find(wire_frame::split_text(rest)?.0, staged),
            Some((b'P', rest)) => staged.find_portal(wire_frame::split_text(rest)?.0),
            _ => return Err(FrameError::BadBody),
        },
        b'C' => match frame.body().split_first() {
            Some((b'S', rest)) => {
                wire_frame::split_text(rest)?;
                Found::Nothing
            }
            Some((b'P', rest)) => {
                wire_frame::split_text(rest)?;
                Found::Message
            }
            _ => return Err(FrameError::BadBody),
        },
        b'E' => {
            let (portal, rest) = wire_frame::split_text(frame.body())?;
            if rest.len() != 4 {
                return Err(FrameError::BadBody);
            }
            staged.find_portal(portal)
        }
        b'H' | b'S' => Found::Nothing,
        _ => Found::Message,
    })
}

impl StagedNames {
    fn find_portal(&self, name: &[u8]) -> Found {
        if self.portals.contains(name) {
            Found::Nothing
        } else {
            Found::Unknown
        }
    }
}

impl BatchPlan {
    fn judge(&mut self, once: &[String], known: bool, forwarded: bool) {
        let statements = &self.statements;
        let executes = self.executes;
        let any = |test: fn(&StatementInfo) -> bool| statements.iter().any(|info| test(info));
        let all = |test: fn(&StatementInfo) -> bool| statements.iter().all(|info| test(info));
        let has_local = any(StatementInfo::is_local);
        self.read = known && !statements.is_empty() && (!executes || all(|info| info.read));
        self.pure = self.read && (!executes || all(|info| info.pure));
        self.once_only = executes && statements.iter().any(|info| info.matches_prefix(once));
        self.pins = executes && any(|info| info.pins);
        self.copies = any(|info| info.kind == StatementKind::Copy);
        self.opens = any(|info| matches!(info.kind, StatementKind::Begin { .. }));
        self.ends = any(StatementInfo::ends_transaction);
        self.local = !forwarded && all(StatementInfo::is_local);
        self.unsupported = statements.iter().find_map(|info| info.unsupported);
        if has_local && (!self.local || (self.simple && statements.len() > 1)) {
            self.local = false;
            self.unsupported = Some("mixing settings of tamaracklb with other statements");
        }
    }
}
