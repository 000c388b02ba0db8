//! The subcommands of the operators' tool `tamaracklb`.

pub mod bundle_diff;
pub mod bundle_show;
pub mod bundle_sign;
pub mod bundle_submit;
pub mod check;
pub mod cmd_error;
pub mod cmd_files;
pub mod cmd_store;
pub mod dev;
pub mod dev_exercise;
pub mod dev_system;
pub mod drain;
pub mod exercise_client;
pub mod explain;
pub mod instance_client;
pub mod instance_list;
pub mod key_new;
pub mod key_signer;
pub mod report;
pub mod status;

use std::io::Write;

use argh::FromArgs;

use crate::cmd::bundle_diff::BundleDiffCmd;
use crate::cmd::bundle_show::BundleShowCmd;
use crate::cmd::bundle_sign::BundleSignCmd;
use crate::cmd::bundle_submit::BundleSubmitCmd;
use crate::cmd::check::CheckCmd;
use crate::cmd::cmd_error::CmdError;
use crate::cmd::dev::DevCmd;
use crate::cmd::drain::DrainCmd;
use crate::cmd::explain::ExplainCmd;
use crate::cmd::key_new::KeyNewCmd;
use crate::cmd::key_signer::KeySignerCmd;
use crate::cmd::report::ReportCmd;
use crate::cmd::status::StatusCmd;

/// The result of a command that completed.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum CmdStatus {
    /// No faults or differences were found, or the action took effect; exit code 0.
    Success,
    /// The answer is negative, such as a fault or a difference; exit code 1.
    Negative,
}

impl CmdStatus {
    /// Returns the exit code.
    pub fn exit_code(self) -> u8 {
        match self {
            CmdStatus::Success => 0,
            CmdStatus::Negative => 1,
        }
    }
}

/// Operate a fleet of tamaracklb instances.
#[derive(FromArgs)]
pub struct TopCmd {
    #[argh(subcommand)]
    command: SubCmd,
}

#[derive(FromArgs)]
#[argh(subcommand)]
enum SubCmd {
    Check(CheckCmd),
    Key(KeyCmd),
    Bundle(BundleCmd),
    Dev(DevCmd),
    Status(StatusCmd),
    Drain(DrainCmd),
    Report(ReportCmd),
    Explain(ExplainCmd),
}

/// Make keys for teams and for signers.
#[derive(FromArgs)]
#[argh(subcommand, name = "key")]
struct KeyCmd {
    #[argh(subcommand)]
    command: KeySubCmd,
}

#[derive(FromArgs)]
#[argh(subcommand)]
enum KeySubCmd {
    New(KeyNewCmd),
    Signer(KeySignerCmd),
}

/// Sign, submit, show and compare bundles.
#[derive(FromArgs)]
#[argh(subcommand, name = "bundle")]
struct BundleCmd {
    #[argh(subcommand)]
    command: BundleSubCmd,
}

#[derive(FromArgs)]
#[argh(subcommand)]
enum BundleSubCmd {
    Sign(BundleSignCmd),
    Submit(BundleSubmitCmd),
    Show(BundleShowCmd),
    Diff(BundleDiffCmd),
}

impl TopCmd {
    /// Runs the command and writes its result to `output`.
    pub fn run(self, output: &mut dyn Write) -> Result<CmdStatus, CmdError> {
        match self.command {
            SubCmd::Check(command) => command.run(output),
            SubCmd::Dev(command) => command.run(output),
            SubCmd::Key(key) => match key.command {
                KeySubCmd::New(command) => command.run(output),
                KeySubCmd::Signer(command) => command.run(output),
            },
            SubCmd::Bundle(bundle) => match bundle.command {
                BundleSubCmd::Sign(command) => command.run(output),
                BundleSubCmd::Submit(command) => command.run(output),
                BundleSubCmd::Show(command) => command.run(output),
                BundleSubCmd::Diff(command) => command.run(output),
            },
            SubCmd::Status(command) => command.run(output),
            SubCmd::Drain(command) => command.run(output),
            SubCmd::Report(command) => command.run(output),
            SubCmd::Explain(command) => command.run(output),
        }
    }
}

/// Parses the arguments of the program, runs the command and returns the exit code.
///
/// The exit code is 0 for a positive answer, 1 for a negative one, 2 for wrong usage or a failure.
pub fn run_program(arguments: &[String]) -> u8 {
    let texts: Vec<&str> = arguments.iter().skip(1).map(String::as_str).collect();
    match TopCmd::from_args(&["tamaracklb"], &texts) {
        Ok(command) => run_command(command),
        Err(exit) if exit.status.is_ok() => {
            println!("{}", exit.output);
            0
        }
        Err(exit) => {
            eprintln!("{}", exit.output);
            2
        }
    }
}

fn run_command(command: TopCmd) -> u8 {
    let mut output = std::io::stdout().lock();
    match command.run(&mut output) {
        Ok(status) => status.exit_code(),
        Err(error) => {
            eprintln!("tamaracklb: {error}");
            error.exit_code()
        }
    }
}
