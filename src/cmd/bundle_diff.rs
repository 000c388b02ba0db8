//! `tamaracklb bundle diff`: lists what changes from one bundle to another.

use std::io::Write;
use std::path::PathBuf;

use argh::FromArgs;

use crate::cmd::CmdStatus;
use crate::cmd::cmd_error::CmdError;
use crate::cmd::cmd_files::check_bundle;
use crate::cmd::cmd_files::read_envelope;
use crate::version::bundle_diff::diff_bundles;

/// List the differences of two bundles or envelopes; the exit code is 1 where there are any.
#[derive(FromArgs)]
#[argh(subcommand, name = "diff")]
pub struct BundleDiffCmd {
    /// the older bundle
    #[argh(positional)]
    old: PathBuf,

    /// the newer bundle
    #[argh(positional)]
    new: PathBuf,
}

impl BundleDiffCmd {
    /// Writes one line for each difference.
    pub fn run(self, output: &mut dyn Write) -> Result<CmdStatus, CmdError> {
        let old = check_bundle(&self.old, &read_envelope(&self.old)?)?;
        let new = check_bundle(&self.new, &read_envelope(&self.new)?)?;
        let changes = diff_bundles(&old, &new);
        for change in &changes {
            writeln!(output, "{change}")?;
        }
        if changes.is_empty() {
            return Ok(CmdStatus::Success);
        }
        Ok(CmdStatus::Negative)
    }
}
