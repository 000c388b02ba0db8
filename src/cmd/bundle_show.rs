//! `tamaracklb bundle show`: prints the current bundle in the store.

use std::io::Write;
use std::path::PathBuf;

use argh::FromArgs;

use crate::cmd::CmdStatus;
use crate::cmd::cmd_error::CmdError;
use crate::cmd::cmd_files::read_settings;
use crate::cmd::cmd_store::block_on;
use crate::cmd::cmd_store::connect_store;
use crate::process::bundle_submission::BundlePorts;
use crate::process::bundle_submission::StoredEnvelope;
use crate::version::bundle_envelope::BundleEnvelope;

/// Print the YAML of the bundle in the store, byte for byte.
#[derive(FromArgs)]
#[argh(subcommand, name = "show")]
pub struct BundleShowCmd {
    /// the settings of any instance, for the store
    #[argh(option)]
    settings: PathBuf,

    /// print the signed envelope instead
    #[argh(switch)]
    envelope: bool,
}

impl BundleShowCmd {
    /// Writes the bundle; returns [`CmdStatus::Negative`] if the store has none.
    pub fn run(self, output: &mut dyn Write) -> Result<CmdStatus, CmdError> {
        let settings = read_settings(&self.settings)?;
        let Some(stored) = read_stored(&connect_store(&settings)?)? else {
            return Ok(CmdStatus::Negative);
        };
        if self.envelope {
            writeln!(output, "{}", stored.text)?;
        } else {
            let envelope = parse_stored(&stored)?;
            output.write_all(envelope.bundle.as_bytes())?;
        }
        Ok(CmdStatus::Success)
    }
}

/// Reads the current envelope from the store, if there is one.
pub fn read_stored(ports: &BundlePorts) -> Result<Option<StoredEnvelope>, CmdError> {
    block_on((ports.read)())?.map_err(|error| CmdError::Store {
        message: error.message,
    })
}

/// Parses an envelope that was read from the store.
pub fn parse_stored(stored: &StoredEnvelope) -> Result<BundleEnvelope, CmdError> {
    BundleEnvelope::from_json(&stored.text).map_err(|error| CmdError::Envelope {
        path: PathBuf::from("store"),
        error,
    })
}
