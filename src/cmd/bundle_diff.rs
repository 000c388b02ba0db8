//! `tamaracklb bundle diff`: lists the differences between two bundles.

use std::io::Write;
use std::path::Path;
use std::path::PathBuf;

use argh::FromArgs;

use crate::cmd::CmdStatus;
use crate::cmd::bundle_show::parse_stored;
use crate::cmd::bundle_show::read_stored;
use crate::cmd::cmd_error::CmdError;
use crate::cmd::cmd_files::check_bundle;
use crate::cmd::cmd_files::read_envelope;
use crate::cmd::cmd_files::read_settings;
use crate::cmd::cmd_store::connect_store;
use crate::version::bundle::BundleConfig;
use crate::version::bundle_diff::diff_bundles;

/// List the differences of two bundles or envelopes; the exit code is 1 if there are any.
#[derive(FromArgs)]
#[argh(subcommand, name = "diff")]
pub struct BundleDiffCmd {
    /// the settings of any instance, to compare the current bundle with one file
    #[argh(option)]
    settings: Option<PathBuf>,

    /// the older and the newer bundle; with --settings only the newer one
    #[argh(positional)]
    bundles: Vec<PathBuf>,
}

impl BundleDiffCmd {
    /// Writes one line per difference.
    pub fn run(self, output: &mut dyn Write) -> Result<CmdStatus, CmdError> {
        let (old, new) = match (&self.settings, self.bundles.as_slice()) {
            (Some(settings), [new]) => (read_current(settings)?, read_bundle(new)?),
            (None, [old, new]) => (read_bundle(old)?, read_bundle(new)?),
            _ => {
                let message = "name two bundles, or --settings FILE and one bundle";
                return Err(CmdError::Usage { message });
            }
        };
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

fn read_bundle(path: &Path) -> Result<BundleConfig, CmdError> {
    check_bundle(path, &read_envelope(path)?)
}

fn read_current(settings: &Path) -> Result<BundleConfig, CmdError> {
    let ports = connect_store(&read_settings(settings)?)?;
    let stored = read_stored(&ports)?.ok_or(CmdError::NoBundle)?;
    check_bundle(Path::new("store"), &parse_stored(&stored)?)
}
