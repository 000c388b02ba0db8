//! `tamaracklb key signer`: generates a key for signing bundles.

use std::io::Write;
use std::path::PathBuf;

use argh::FromArgs;

use crate::cmd::CmdStatus;
use crate::cmd::cmd_error::CmdError;
use crate::cmd::cmd_files::random_bytes;
use crate::cmd::cmd_files::write_secret;
use crate::version::ids::SignerId;
use crate::version::signer_key::SignerSecret;

/// Make a signing key and print the entry for the settings.
#[derive(FromArgs)]
#[argh(subcommand, name = "signer")]
pub struct KeySignerCmd {
    /// the name of the signer
    #[argh(option)]
    id: SignerId,

    /// the new file for the private key
    #[argh(option)]
    out: PathBuf,
}

impl KeySignerCmd {
    /// Writes the private key to a new file and the settings entry with the public key to `output`.
    pub fn run(self, output: &mut dyn Write) -> Result<CmdStatus, CmdError> {
        let secret = SignerSecret::from_seed(random_bytes()?);
        let pem = secret.to_pem().map_err(|error| CmdError::SigningKey {
            path: self.out.clone(),
            error,
        })?;
        write_secret(&self.out, pem.expose())?;
        let public = secret.public_key(self.id);
        writeln!(
            output,
            "# Put these lines under 'signers' in the settings of every instance."
        )?;
        writeln!(output, "- id: {}", public.id)?;
        writeln!(output, "  public_key: {}", public.to_base64())?;
        Ok(CmdStatus::Success)
    }
}
