//! `tamaracklb bundle submit`: makes a signed bundle the current one.

use std::io::Write;
use std::path::PathBuf;

use argh::FromArgs;

use crate::cmd::CmdStatus;
use crate::cmd::cmd_error::CmdError;
use crate::cmd::cmd_files::read_envelope;
use crate::cmd::cmd_files::read_settings;
use crate::cmd::cmd_store::block_on;
use crate::cmd::cmd_store::connect_store;
use crate::process::bundle_submission::SubmitOutcome;
use crate::process::bundle_submission::submit_bundle;

/// Submit a signed envelope to the store; of several submissions at once, one wins.
#[derive(FromArgs)]
#[argh(subcommand, name = "submit")]
pub struct BundleSubmitCmd {
    /// the settings of any instance, for the store and the signers
    #[argh(option)]
    settings: PathBuf,

    /// the revision of a text in the store that is no valid bundle and is to be replaced
    #[argh(option)]
    replace_revision: Option<u64>,

    /// the signed envelope
    #[argh(positional)]
    envelope: PathBuf,
}

impl BundleSubmitCmd {
    /// Submits the envelope and prints the version that is current afterwards.
    pub fn run(self, output: &mut dyn Write) -> Result<CmdStatus, CmdError> {
        let settings = read_settings(&self.settings)?;
        let envelope = read_envelope(&self.envelope)?;
        let ports = connect_store(&settings)?;
        let submission = submit_bundle(
            &envelope,
            &settings.signers,
            settings.required_signatures,
            self.replace_revision,
            &ports,
        );
        match block_on(submission)?.map_err(CmdError::Submit)? {
            SubmitOutcome::Accepted { version } => writeln!(output, "{version} is current")?,
            SubmitOutcome::Unchanged { version } => {
                writeln!(output, "{version} was current before")?;
            }
        }
        Ok(CmdStatus::Success)
    }
}
