//! Reading and writing the files that several commands use.

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

/// Reads a bundle in YAML or an envelope in JSON; a text that starts with a brace is an envelope.
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

/// Parses and validates the bundle of an envelope; `path` is the file that faults refer to.
pub fn check_bundle(path: &Path, envelope: &BundleEnvelope) -> Result<BundleConfig, CmdError> {
    parse_bundle(&envelope.bundle).map_err(|faults| CmdError::Faults {
        path: path.to_owned(),
        faults,
    })
}

/// Reads settings on an operator's machine, without reading the files that they name.
pub fn read_settings(path: &Path) -> Result<DaemonSettings, CmdError> {
    let text = read_text(path)?;
    let read_file = |_: &Path| Ok("unread".to_owned());
    parse_settings(&text, &read_file).map_err(|faults| CmdError::Faults {
        path: path.to_owned(),
        faults,
    })
}

/// Writes a new file that only its owner can read; fails if the file exists.
pub fn write_secret(path: &Path, text: &str) -> Result<(), CmdError> {
    let file_error = |error| CmdError::File {
        path: path.to_owned(),
        error,
    };
    let mut options = OpenOptions::new();
    let mut file = options
        .write(true)
        .create_new(true)
        .mode(0o600)
        .open(path)
        .map_err(file_error)?;
    file.write_all(text.as_bytes()).map_err(file_error)
}

/// Returns random bytes from the operating system.
pub fn random_bytes<const N: usize>() -> Result<[u8; N], CmdError> {
    let mut bytes = [0; N];
    OsRng
        .try_fill_bytes(&mut bytes)
        .map_err(|_| CmdError::NoRandomness)?;
    Ok(bytes)
}
