//! Answers requests that the instance handles without an endpoint.

use std::sync::Arc;

use bytes::BytesMut;
use pgwire::messages::response::EmptyQueryResponse;

use crate::connection::caller_session::CallerSession;
use crate::connection::caller_stream::CallerFault;
use crate::connection::local_answer;
use crate::connection::local_answer::LocalEffect;
use crate::connection::prepared_statement::PreparedStatement;
use crate::connection::request_batch::BatchPlan;
use crate::connection::request_batch::RequestBatch;
use crate::connection::wire_frame;
use crate::connection::wire_frame::FrameError;
use crate::connection::wire_frame::WireFrame;
use crate::connection::wire_reply;
use crate::connection::wire_reply::CallerError;
use crate::request::statement::StatementInfo;
use crate::request::statement::StatementKind;

impl CallerSession {
    /// Answers a request that consists of local statements only.
    pub(super) async fn answer_local(
        &mut self,
        batch: &RequestBatch,
        plan: &BatchPlan,
    ) -> Result<(), CallerFault> {
        let shows_floor = plan
            .statements
            .iter()
            .any(|info| info.kind == StatementKind::ShowFloor);
        if shows_floor
            && let Err(refusal) = self
                .load_floor(self.state.config.limits.queue_timeout)
                .await
        {
            return self.answer_error(&refusal.into(), batch.complete).await;
        }
        let mut out = BytesMut::new();
        let answered = if plan.simple {
            self.answer_query(plan, &mut out)
        } else {
            self.answer_messages(batch, &mut out)
        };
        self.caller.write_all(&mut out)?;
        match answered {
            Err(error) => self.answer_error(&error, batch.complete).await,
            Ok(()) if batch.complete => self.send_ready(self.status()),
            Ok(()) => Ok(()),
        }
    }

    fn answer_query(&mut self, plan: &BatchPlan, out: &mut BytesMut) -> Result<(), CallerError> {
        let Some(info) = plan.statements.first() else {
            wire_reply::put(&EmptyQueryResponse::new(), out);
            return Ok(());
        };
        self.answer_info(info, true, out)
    }

    fn answer_info(
        &mut self,
        info: &StatementInfo,
        describe: bool,
        out: &mut BytesMut,
    ) -> Result<(), CallerError> {
        let floor = self.floor.unwrap_or_default();
        let effect = local_answer::answer_statement(
            info,
            floor,
            self.stale,
            describe,
            &mut self.prepared,
            out,
        )?;
        match effect {
            LocalEffect::None => {}
            LocalEffect::RaiseFloor(point) => {
                self.floor = Some(self.floor.map_or(point, |floor| floor.max(point)));
                self.wrote = true;
            }
            LocalEffect::Staleness(stale) => self.stale = stale,
            LocalEffect::DropStatements => self.prepared.clear(),
            LocalEffect::Discard => {
                if self
                    .lease
                    .as_ref()
                    .is_some_and(|lease| lease.in_transaction())
                {
                    out.clear();
                    let message = "DISCARD ALL cannot run inside a transaction block";
                    return Err(CallerError::new("25001", message));
                }
                self.lease = None;
                self.prepared.clear();
                self.settings.clear();
                self.stale = false;
            }
        }
        Ok(())
    }

    fn answer_messages(
        &mut self,
        batch: &RequestBatch,
        out: &mut BytesMut,
    ) -> Result<(), CallerError> {
        let mut portals = Vec::new();
        for frame in &batch.frames {
            self.answer_message(frame, &mut portals, out)?;
        }
        Ok(())
    }

    fn answer_message(
        &mut self,
        frame: &WireFrame,
        portals: &mut Vec<(Vec<u8>, Arc<PreparedStatement>)>,
        out: &mut BytesMut,
    ) -> Result<(), CallerError> {
        let bad = |error: FrameError| CallerError::new("08P01", error.to_string());
        let missing = || CallerError::new("26000", "prepared statement does not exist");
        let answer = match frame.kind() {
            b'P' => {
                let (name, statement) = PreparedStatement::from_parse(frame).map_err(bad)?;
                if !name.is_empty() && self.prepared.contains_key(&name) {
                    let message = "prepared statement already exists";
                    return Err(CallerError::new("42P05", message));
                }
                self.prepared.insert(name, Arc::new(statement));
                b'1'
            }
            b'B' => {
                let (portal, name) = local_answer::read_bind(frame).map_err(bad)?;
                let statement = self.prepared.get(&name).ok_or_else(missing)?;
                portals.push((portal, statement.clone()));
                b'2'
            }
            b'D' => {
                let is_statement = frame.body().first() == Some(&b'S');
                let (name, _) = wire_frame::split_text(&frame.body()[1..]).map_err(bad)?;
                let found = if is_statement {
                    self.prepared.get(name).cloned()
                } else {
                    local_answer::find_portal(portals, name)
                };
                let statement = found.ok_or_else(missing)?;
                local_answer::describe_statement(&statement, is_statement, out);
                return Ok(());
            }
            b'C' => {
                let (name, _) = wire_frame::split_text(&frame.body()[1..]).map_err(bad)?;
                self.prepared.remove(name);
                b'3'
            }
            b'E' => {
                let (portal, _) = wire_frame::split_text(frame.body()).map_err(bad)?;
                let found = local_answer::find_portal(portals, portal).ok_or_else(missing)?;
                let info = found.info.clone().ok_or_else(missing)?;
                return self.answer_info(&info, false, out);
            }
            _ => return Ok(()),
        };
        out.extend_from_slice(WireFrame::new(answer, &[]).bytes());
        Ok(())
    }
}
