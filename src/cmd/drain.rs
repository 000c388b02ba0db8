//! `tamaracklb drain`: stops an instance gracefully, without cutting off requests.

use std::io::Write;
use std::net::SocketAddr;
use std::path::PathBuf;

use argh::FromArgs;

use crate::cmd::CmdStatus;
use crate::cmd::cmd_error::CmdError;
use crate::cmd::cmd_files::read_text;
use crate::cmd::instance_client::post;
use crate::version::secret_text::SecretText;

/// Stop one instance gracefully, like SIGTERM.
#[derive(FromArgs)]
#[argh(subcommand, name = "drain")]
pub struct DrainCmd {
    /// the HTTP address of the instance
    #[argh(option)]
    instance: SocketAddr,

    /// a file with the operator_token of its settings; not needed on the same machine without one
    #[argh(option)]
    token_file: Option<PathBuf>,
}

impl DrainCmd {
    /// Starts the drain and returns; the instance exits once the drain is complete.
    pub fn run(self, output: &mut dyn Write) -> Result<CmdStatus, CmdError> {
        let token = match &self.token_file {
            Some(path) => Some(SecretText::new(read_text(path)?.trim().to_owned())),
            None => None,
        };
        match post(self.instance, "/drain", token) {
            Ok(_) => {
                writeln!(output, "{} drains", self.instance)?;
                Ok(CmdStatus::Success)
            }
            Err(failure) => Err(CmdError::Instances {
                failures: vec![failure],
            }),
        }
    }
}
