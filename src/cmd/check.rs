//! `tamaracklb check`: validates bundles and settings.

use std::io::Write;
use std::path::Path;
use std::path::PathBuf;

use argh::FromArgs;

use crate::cmd::CmdStatus;
use crate::cmd::cmd_error::CmdError;
use crate::cmd::cmd_files::check_bundle;
use crate::cmd::cmd_files::read_envelope;
use crate::process::settings::DaemonSettings;
use crate::process::settings::SettingsError;
use crate::process::settings::load_settings;

/// Check bundles and settings; each fault is shown with its line and column.
#[derive(FromArgs)]
#[argh(subcommand, name = "check")]
pub struct CheckCmd {
    /// a settings file to check; signatures of envelopes are then verified as well
    #[argh(option)]
    settings: Option<PathBuf>,

    /// bundles in YAML or signed envelopes
    #[argh(positional)]
    bundles: Vec<PathBuf>,
}

impl CheckCmd {
    /// Checks all files and reports the faults of each; a faulty file does not stop the command.
    pub fn run(self, output: &mut dyn Write) -> Result<CmdStatus, CmdError> {
        if self.settings.is_none() && self.bundles.is_empty() {
            let message = "nothing to check; name a bundle or --settings FILE";
            return Err(CmdError::Usage { message });
        }
        let mut status = CmdStatus::Success;
        let mut settings = None;
        if let Some(path) = &self.settings {
            match check_settings(path) {
                Ok(valid) => {
                    writeln!(output, "{}: settings are valid", path.display())?;
                    settings = Some(valid);
                }
                Err(error) => status = write_faults(error, output)?,
            }
        }
        for path in &self.bundles {
            match check_file(path, settings.as_ref()) {
                Ok(line) => writeln!(output, "{}: {line}", path.display())?,
                Err(error) => status = write_faults(error, output)?,
            }
        }
        Ok(status)
    }
}

/// Writes the faults of a file; returns any other error, which ends the command.
fn write_faults(error: CmdError, output: &mut dyn Write) -> Result<CmdStatus, CmdError> {
    match &error {
        CmdError::Faults { path, faults } => {
            writeln!(
                output,
                "{}",
                faults.format_for_file(&path.display().to_string())
            )?;
            Ok(CmdStatus::Negative)
        }
        CmdError::Envelope { .. } => {
            writeln!(output, "{error}")?;
            Ok(CmdStatus::Negative)
        }
        _ => Err(error),
    }
}

fn check_settings(path: &Path) -> Result<DaemonSettings, CmdError> {
    load_settings(path).map_err(|error| match error {
        SettingsError::Unreadable { path, error } => CmdError::File { path, error },
        SettingsError::Faults { path, faults } => CmdError::Faults { path, faults },
    })
}

fn check_file(path: &Path, settings: Option<&DaemonSettings>) -> Result<String, CmdError> {
    let envelope = read_envelope(path)?;
    let config = check_bundle(path, &envelope)?;
    let mut line = format!(
        "bundle {} is valid: {} teams, {} services",
        config.version,
        config.teams.len(),
        config.services.len()
    );
    if let Some(settings) = settings
        && !envelope.signatures.is_empty()
    {
        let required = settings.required_signatures;
        envelope
            .verify(&settings.signers, required)
            .map_err(|error| CmdError::Envelope {
                path: path.to_owned(),
                error,
            })?;
        line.push_str(", enough signatures");
    }
    Ok(line)
}
