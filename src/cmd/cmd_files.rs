//! Files that several commands read and write.

use std::fs;
use std::fs::OpenOptions;
use std::io::Write;
use std::os::unix::fs::OpenOptionsExt;
use std::path::Path;

use rand::TryRngCore;
use rand::rngs::OsRng;

use crate::cmd::cmd_error::CmdError;
use crate::process::settings::DaemonSettings;
use crate::process::settings_parser::parse_settings;
use crate::version::bundle::BundleConfig;
use crate::version::bundle_envelope::BundleEnvelope;
use crate::version::bundle_parser::parse_bundle;

/// Reads a text file.
pub fn read_text(path: &Path) -> Result<String, CmdError> {
    fs::read_to_string(path).map_err(|error| CmdError::File {
        path: path.to_owned(),
        error,
    })
}

/// Reads a bundle in YAML, or an envelope, which is JSON and so starts with a brace.
pub fn read_envelope(path: &Path) -> Result<BundleEnvelope, CmdError> {
    let text = read_text(path)?;
    if !text.trim_start().starts_with('{') {
        return Ok(BundleEnvelope::new(text));
    }
    BundleEnvelope::from_json(&text).map_err(|error| CmdError::Envelope {
        path: path.to_owned(),
        error,
    })
}

/// Checks the bundle of an envelope that came from a file.
pub fn check_bundle(path: &Path, envelope: &BundleEnvelope) -> Result<BundleConfig, CmdError> {
    parse_bundle(&envelope.bundle).map_err(|faults| CmdError::Faults {
        path: path.to_owned(),
        faults,
    })
}

/// Reads settings on an operator's machine, where the files they name need not exist.
pub fn read_settings(path: &Path) -> Result<DaemonSettings, CmdError> {
    let text = read_text(path)?;
    let read_file = |_: &Path| Ok("unread".to_owned());
    parse_settings(&text, &read_file).map_err(|faults| CmdError::Faults {
        path: path.to_owned(),
        faults,
    })
}

/// Writes a new file that only its owner can read; an existing file is left alone.
pub fn write_secret(path: &Path, text: &str) -> Result<(), CmdError> {
    let fail = |error| CmdError::File {
        path: path.to_owned(),
        error,
    };
    let mut options = OpenOptions::new();
    let mut file = options
        .write(true)
        .create_new(true)
        .mode(0o600)
        .open(path)
        .map_err(fail)?;
    file.write_all(text.as_bytes()).map_err(fail)
}

/// Returns random bytes of the operating system.
pub fn random_bytes<const N: usize>() -> Result<[u8; N], CmdError> {
    let mut bytes = [0; N];
    OsRng
        .try_fill_bytes(&mut bytes)
        .map_err(|_| CmdError::NoRandomness)?;
    Ok(bytes)
}
