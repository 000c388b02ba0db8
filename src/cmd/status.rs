//! `tamaracklb status`: shows the status of instances.

use std::io::Write;
use std::net::SocketAddr;
use std::path::PathBuf;

use argh::FromArgs;

use crate::cmd::CmdStatus;
use crate::cmd::cmd_error::CmdError;
use crate::cmd::instance_client::get_all;
use crate::cmd::instance_list::find_instances;
use crate::process::instance_status::InstanceStatus;

/// Show the status of instances; the exit code is 1 where any is not ready.
#[derive(FromArgs)]
#[argh(subcommand, name = "status")]
pub struct StatusCmd {
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

impl StatusCmd {
    /// Writes the status of each instance that answers; fails if any does not.
    pub fn run(self, output: &mut dyn Write) -> Result<CmdStatus, CmdError> {
        let addresses = find_instances(&self.instance, self.settings.as_deref())?;
        let all = get_all::<InstanceStatus>(&addresses, "/status");
        if self.json {
            let text = serde_json::to_string_pretty(&all.answers).map_err(CmdError::Json)?;
            writeln!(output, "{text}")?;
        } else {
            for status in &all.answers {
                write!(output, "{status}")?;
            }
        }
        all.check_complete()?;
        let ready = |status: &InstanceStatus| status.unready_reasons().is_empty();
        match all.answers.iter().all(ready) {
            true => Ok(CmdStatus::Success),
            false => Ok(CmdStatus::Negative),
        }
    }
}
