//! The messages of one request and their classification.

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

/// Prepared statements of a session, by the caller's names.
pub type PreparedMap = HashMap<Vec<u8>, Arc<PreparedStatement>>;

/// The messages of one request: a Query, or those up to Sync, the first Flush or the size limit.
#[derive(Debug)]
pub struct RequestBatch {
    /// The messages, in order.
    pub frames: Vec<WireFrame>,
    /// Whether the last message of the request is included.
    pub complete: bool,
}

/// The classification of a request.
#[derive(Debug, Default)]
pub struct BatchPlan {
    /// The statements of a simple query, or those to which the messages refer.
    pub statements: Vec<Arc<StatementInfo>>,
    /// Whether it is a simple query.
    pub simple: bool,
    /// Whether every statement clearly only reads.
    pub read: bool,
    /// Whether running it twice has the same effect as running it once.
    pub pure: bool,
    /// Whether it contains a statement that must not be repeated.
    pub once_only: bool,
    /// Whether it leaves state that exists only on its endpoint connection.
    pub pins: bool,
    /// Whether the connection may enter copy mode.
    pub copies: bool,
    /// Whether it may leave a transaction open.
    pub opens: bool,
    /// Whether it may end a transaction.
    pub ends: bool,
    /// Whether it executes anything; Parse, Bind and Describe alone do not.
    pub executes: bool,
    /// Whether the instance answers all of it without an endpoint.
    pub local: bool,
    /// An unsupported feature that it uses, if any.
    pub unsupported: Option<&'static str>,
}

impl RequestBatch {
    /// Classifies the request.
    ///
    /// `once_only` holds the prefixes of statements that must not be repeated, in the form that
    /// [`sql_token::normalize_words`](crate::request::sql_token::normalize_words) returns.
    pub fn plan(
        &self,
        prepared: &PreparedMap,
        once_only: &[String],
    ) -> Result<BatchPlan, FrameError> {
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
                    FrameReference::None => {}
                    FrameReference::Forwarded => forwarded = true,
                    FrameReference::Unknown => unknown = true,
                    FrameReference::Statement(statement) => match &statement.info {
                        Some(info) => plan.statements.push(info.clone()),
                        None => unknown = true,
                    },
                }
            }
        }
        plan.classify(once_only, self.complete && !unknown, forwarded || unknown);
        Ok(plan)
    }
}

/// Names that earlier messages of the same request defined.
#[derive(Default)]
struct StagedNames {
    statements: PreparedMap,
    portals: HashSet<Vec<u8>>,
}

/// The statement to which a message refers.
enum FrameReference {
    /// None, or one that an earlier message of the request already gave.
    None,
    /// None, and the message must be forwarded to an endpoint.
    Forwarded,
    /// One that is not known to the session.
    Unknown,
    Statement(Arc<PreparedStatement>),
}

fn find_statement(
    frame: &WireFrame,
    prepared: &PreparedMap,
    staged: &mut StagedNames,
) -> Result<FrameReference, FrameError> {
    let find = |name: &[u8], staged: &StagedNames| {
        let statement = staged.statements.get(name).or_else(|| prepared.get(name));
        statement.map_or(FrameReference::Unknown, |found| {
            FrameReference::Statement(found.clone())
        })
    };
    Ok(match frame.kind() {
        b'P' => {
            let (name, statement) = PreparedStatement::from_parse(frame)?;
            let statement = Arc::new(statement);
            staged.statements.insert(name, statement.clone());
            FrameReference::Statement(statement)
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
                FrameReference::None
            }
            Some((b'P', rest)) => {
                wire_frame::split_text(rest)?;
                FrameReference::Forwarded
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
        b'H' | b'S' => FrameReference::None,
        _ => FrameReference::Forwarded,
    })
}

impl StagedNames {
    fn find_portal(&self, name: &[u8]) -> FrameReference {
        if self.portals.contains(name) {
            FrameReference::None
        } else {
            FrameReference::Unknown
        }
    }
}

impl BatchPlan {
    fn classify(&mut self, once_only: &[String], known: bool, forwarded: bool) {
        let statements = &self.statements;
        let executes = self.executes;
        let any = |test: fn(&StatementInfo) -> bool| statements.iter().any(|info| test(info));
        let all = |test: fn(&StatementInfo) -> bool| statements.iter().all(|info| test(info));
        let has_local = any(StatementInfo::is_local);
        self.read = known && !statements.is_empty() && (!executes || all(|info| info.read));
        self.pure = self.read && (!executes || all(|info| info.pure));
        self.once_only = executes && statements.iter().any(|info| info.matches_prefix(once_only));
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
