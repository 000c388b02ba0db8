//! `tamaracklb key new`: generates a key for a team and its verifier.

use std::io::Write;
use std::path::PathBuf;

use argh::FromArgs;
use base64::Engine;
use base64::engine::general_purpose::STANDARD;
use base64::engine::general_purpose::URL_SAFE_NO_PAD;

use crate::cmd::CmdStatus;
use crate::cmd::cmd_error::CmdError;
use crate::cmd::cmd_files::check_bundle;
use crate::cmd::cmd_files::random_bytes;
use crate::cmd::cmd_files::read_envelope;
use crate::version::bundle_parser::DEFAULT_ITERATIONS;
use crate::version::ids::KeyId;
use crate::version::ids::TeamId;
use crate::version::key_verifier::KeyVerifier;
use crate::version::secret_text::SecretText;

const KEY_BYTES: usize = 24;
const SALT_BYTES: usize = 16;

/// Make a key for a team and the verifier that goes into the bundle.
#[derive(FromArgs)]
#[argh(subcommand, name = "new")]
pub struct KeyNewCmd {
    /// the team that the key is for
    #[argh(option)]
    team: TeamId,

    /// the name of the key
    #[argh(option)]
    id: KeyId,

    /// the bundle whose salt and iterations the team already has
    #[argh(option)]
    bundle: Option<PathBuf>,
}

impl KeyNewCmd {
    /// Writes the key and the YAML lines for the bundle.
    pub fn run(self, output: &mut dyn Write) -> Result<CmdStatus, CmdError> {
        let (salt, iterations) = self.scram_parameters()?;
        let key = SecretText::new(URL_SAFE_NO_PAD.encode(random_bytes::<KEY_BYTES>()?));
        let verifier =
            KeyVerifier::generate(&key, &salt, iterations).map_err(CmdError::Verifier)?;
        let config = verifier.to_config(self.id);
        writeln!(
            output,
            "# Give this key to the team; it is not kept anywhere."
        )?;
        writeln!(output, "key: \"{}\"", key.expose())?;
        writeln!(output, "# Put these lines under team '{}'.", self.team)?;
        writeln!(output, "salt: {}", STANDARD.encode(&salt))?;
        writeln!(output, "iterations: {iterations}")?;
        writeln!(output, "keys:")?;
        writeln!(output, "  - id: {}", config.id)?;
        writeln!(output, "    stored_key: {}", config.stored_key)?;
        writeln!(output, "    server_key: {}", config.server_key)?;
        Ok(CmdStatus::Success)
    }

    /// Returns the salt and the iteration count for the new key.
    ///
    /// All keys of a team share one salt: if the team in `bundle` has a salt, that salt is used.
    fn scram_parameters(&self) -> Result<(Vec<u8>, u32), CmdError> {
        let Some(path) = &self.bundle else {
            return Ok((random_bytes::<SALT_BYTES>()?.to_vec(), DEFAULT_ITERATIONS));
        };
        let config = check_bundle(path, &read_envelope(path)?)?;
        let found = config.teams.iter().find(|team| team.id == self.team);
        let team = found.ok_or_else(|| CmdError::UnknownTeam {
            team: self.team.clone(),
        })?;
        match STANDARD.decode(&team.salt) {
            Ok(salt) if !salt.is_empty() => Ok((salt, team.iterations)),
            _ => Ok((random_bytes::<SALT_BYTES>()?.to_vec(), team.iterations)),
        }
    }
}
