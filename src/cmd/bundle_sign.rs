//! `tamaracklb bundle sign`: adds a signature to a bundle.

use std::fs;
use std::io::Write;
use std::path::PathBuf;

use argh::FromArgs;

use crate::cmd::CmdStatus;
use crate::cmd::cmd_error::CmdError;
use crate::cmd::cmd_files::check_bundle;
use crate::cmd::cmd_files::read_envelope;
use crate::cmd::cmd_files::read_text;
use crate::version::ids::SignerId;
use crate::version::secret_text::SecretText;
use crate::version::signer_key::SignerSecret;

/// Sign a bundle in YAML, or add a signature to an envelope; a faulty bundle is not signed.
#[derive(FromArgs)]
#[argh(subcommand, name = "sign")]
pub struct BundleSignCmd {
    /// the file with the private key of the signer
    #[argh(option)]
    key: PathBuf,

    /// the name of the signer, as in the settings
    #[argh(option)]
    signer: SignerId,

    /// the file for the envelope; standard output if omitted
    #[argh(option)]
    out: Option<PathBuf>,

    /// the bundle or envelope
    #[argh(positional)]
    bundle: PathBuf,
}

impl BundleSignCmd {
    /// Writes the envelope with the added signature.
    pub fn run(self, output: &mut dyn Write) -> Result<CmdStatus, CmdError> {
        let pem = SecretText::new(read_text(&self.key)?);
        let secret = SignerSecret::from_pem(&pem).map_err(|error| CmdError::SigningKey {
            path: self.key.clone(),
            error,
        })?;
        let mut envelope = read_envelope(&self.bundle)?;
        check_bundle(&self.bundle, &envelope)?;
        envelope.sign(self.signer, &secret);
        let text = envelope.to_json().map_err(|error| CmdError::Envelope {
            path: self.bundle.clone(),
            error,
        })?;
        match &self.out {
            Some(path) => fs::write(path, text + "\n").map_err(|error| CmdError::File {
                path: path.clone(),
                error,
            })?,
            None => writeln!(output, "{text}")?,
        }
        Ok(CmdStatus::Success)
    }
}
