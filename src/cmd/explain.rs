//! `tamaracklb explain`: shows the fleet's decisions with their evidence.

use std::io::Write;
use std::net::SocketAddr;
use std::path::PathBuf;

use argh::FromArgs;

use crate::cmd::CmdStatus;
use crate::cmd::cmd_error::CmdError;
use crate::cmd::instance_client::get_all;
use crate::cmd::instance_list::find_instances;
use crate::process::decision_journal::JournalPage;
use crate::process::decision_journal::MergedEntry;
use crate::process::decision_journal::merge_journals;
use crate::version::ids::ServiceId;
use crate::version::ids::TeamId;

/// Show the decisions of all instances in the order of time, with their evidence.
#[derive(FromArgs)]
#[argh(subcommand, name = "explain")]
pub struct ExplainCmd {
    /// the HTTP address of an instance, repeatable; 127.0.0.1:9432 if omitted
    #[argh(option)]
    instance: Vec<SocketAddr>,

    /// settings of any instance; all instances that the store lists are asked
    #[argh(option)]
    settings: Option<PathBuf>,

    /// only decisions about this service
    #[argh(option)]
    service: Option<ServiceId>,

    /// only decisions about this team
    #[argh(option)]
    team: Option<TeamId>,

    /// only the last so many decisions
    #[argh(option)]
    last: Option<usize>,

    /// print JSON
    #[argh(switch)]
    json: bool,
}

impl ExplainCmd {
    /// Writes the merged journals of the instances that answer; fails if any does not.
    pub fn run(self, output: &mut dyn Write) -> Result<CmdStatus, CmdError> {
        let addresses = find_instances(&self.instance, self.settings.as_deref())?;
        let mut all = get_all::<JournalPage>(&addresses, "/journal");
        let pages = std::mem::take(&mut all.answers);
        if !self.json {
            write_dropped_counts(&pages, output)?;
        }
        let mut entries = merge_journals(pages);
        entries.retain(|entry| self.matches_filters(entry));
        let skipped = self
            .last
            .map_or(0, |last| entries.len().saturating_sub(last));
        let shown = &entries[skipped..];
        if self.json {
            let text = serde_json::to_string_pretty(shown).map_err(CmdError::Json)?;
            writeln!(output, "{text}")?;
        } else {
            for entry in shown {
                writeln!(output, "{entry}")?;
            }
        }
        all.check_complete()?;
        Ok(CmdStatus::Success)
    }

    fn matches_filters(&self, entry: &MergedEntry) -> bool {
        let decision = &entry.entry.decision;
        let service = self.service.as_ref();
        let team = self.team.as_ref();
        (service.is_none() || decision.service() == service)
            && (team.is_none() || decision.team() == team)
    }
}

/// Writes a line for each journal whose oldest decisions have been dropped.
fn write_dropped_counts(pages: &[JournalPage], output: &mut dyn Write) -> Result<(), CmdError> {
    for page in pages.iter().filter(|page| page.dropped > 0) {
        let (instance, dropped) = (&page.instance, page.dropped);
        writeln!(
            output,
            "# {instance}: the oldest {dropped} decisions are gone"
        )?;
    }
    Ok(())
}
