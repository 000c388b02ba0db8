//! `tamaracklb report`: shows the burn rates of the service-level objectives.

use std::io::Write;
use std::net::SocketAddr;
use std::path::PathBuf;

use argh::FromArgs;

use crate::cmd::CmdStatus;
use crate::cmd::cmd_error::CmdError;
use crate::cmd::instance_client::get_all;
use crate::cmd::instance_list::find_instances;
use crate::process::burn_page::BurnPage;
use crate::process::burn_page::merge_pages;

/// Show the service-level burn of each team and service, summed over instances.
#[derive(FromArgs)]
#[argh(subcommand, name = "report")]
pub struct ReportCmd {
    /// the HTTP address of an instance, repeatable; 127.0.0.1:9432 if omitted
    #[argh(option)]
    instance: Vec<SocketAddr>,

    /// settings of any instance; all instances that the store lists are asked
    #[argh(option)]
    settings: Option<PathBuf>,

    /// print JSON
    #[argh(switch)]
    json: bool,
}

impl ReportCmd {
    /// Writes the merged report of the instances that answer; fails if any does not.
    pub fn run(self, output: &mut dyn Write) -> Result<CmdStatus, CmdError> {
        let addresses = find_instances(&self.instance, self.settings.as_deref())?;
        let mut all = get_all::<BurnPage>(&addresses, "/report");
        let merged = merge_pages(std::mem::take(&mut all.answers));
        if self.json {
            let text = serde_json::to_string_pretty(&merged).map_err(CmdError::Json)?;
            writeln!(output, "{text}")?;
        } else {
            write!(output, "{merged}")?;
        }
        all.check_complete()?;
        Ok(CmdStatus::Success)
    }
}
