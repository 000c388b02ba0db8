//! `tamaracklb dev`: runs a complete system in one process on loopback.

use std::io::Write;

use argh::FromArgs;

use crate::cmd::CmdStatus;
use crate::cmd::cmd_error::CmdError;
use crate::cmd::dev_exercise::run_exercise;
use crate::cmd::dev_system::DevSystem;
use crate::cmd::dev_system::INSTANCE_COUNT;
use crate::cmd::dev_system::SERVICE;
use crate::cmd::dev_system::TEAMS;
use crate::process::log_setup::init_logging;
use crate::process::settings::LogFormat;

/// Start a store, three endpoints and two instances on loopback, and serve until Ctrl-C.
#[derive(FromArgs)]
#[argh(subcommand, name = "dev")]
pub struct DevCmd {
    /// run a short load with a failed primary in the middle, print a verdict, and exit
    #[argh(switch)]
    exercise: bool,
}

impl DevCmd {
    /// Serves until Ctrl-C, or until the exercise is over.
    pub fn run(self, output: &mut dyn Write) -> Result<CmdStatus, CmdError> {
        let _ = init_logging(LogFormat::Text, tracing::Level::INFO);
        let runtime = tokio::runtime::Builder::new_multi_thread()
            .enable_all()
            .build()?;
        runtime.block_on(async {
            let system = DevSystem::start(INSTANCE_COUNT)
                .await
                .map_err(CmdError::Dev)?;
            let status = if self.exercise {
                run_exercise(&system, output).await?
            } else {
                print_instructions(&system, output)?;
                tokio::signal::ctrl_c().await?;
                CmdStatus::Success
            };
            system.stop().await;
            Ok(status)
        })
    }
}

fn print_instructions(system: &DevSystem, output: &mut dyn Write) -> std::io::Result<()> {
    let (team, key) = TEAMS[0];
    writeln!(output, "Connect through either instance:")?;
    for daemon in &system.daemons {
        let port = daemon.caller_address().port();
        writeln!(
            output,
            "  psql \"host=127.0.0.1 port={port} user={team} password={key} dbname={SERVICE}\""
        )?;
    }
    writeln!(output, "For example:")?;
    writeln!(
        output,
        "  INSERT INTO kv (key, value) VALUES ('spread-1', 'draft');"
    )?;
    writeln!(output, "  SELECT key, value FROM kv;")?;
    writeln!(output, "  SHOW tamaracklb.floor;")?;
    writeln!(output, "Ctrl-C stops the system.")?;
    output.flush()
}
