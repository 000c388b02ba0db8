//! The errors of the operators' commands and their exit codes.

use std::fmt;
use std::io;
use std::path::PathBuf;

use crate::cmd::dev_system::DevError;
use crate::cmd::instance_client::InstanceFailure;
use crate::process::bundle_submission::SubmitError;
use crate::version::bundle_envelope::EnvelopeError;
use crate::version::fault_list::FaultList;
use crate::version::ids::TeamId;
use crate::version::key_verifier::VerifierError;
use crate::version::signer_key::SignerKeyError;

/// Why a command failed.
#[derive(Debug)]
pub enum CmdError {
    /// The arguments are incomplete or cannot be combined.
    Usage { message: &'static str },
    /// A file cannot be read or written.
    File { path: PathBuf, error: io::Error },
    /// Writing the output failed, or another I/O operation that involves no file.
    Output(io::Error),
    /// A bundle or settings file has faults.
    Faults { path: PathBuf, faults: FaultList },
    /// An envelope is malformed or not signed by enough signers.
    Envelope { path: PathBuf, error: EnvelopeError },
    /// A signing key cannot be read or created.
    SigningKey {
        path: PathBuf,
        error: SignerKeyError,
    },
    /// A verifier cannot be computed.
    Verifier(VerifierError),
    /// The bundle has no such team.
    UnknownTeam { team: TeamId },
    /// The system of `tamaracklb dev` did not start.
    Dev(DevError),
    /// A submission did not take effect, or its outcome is unknown.
    Submit(SubmitError),
    /// The store cannot be read.
    Store { message: String },
    /// The store has no bundle.
    NoBundle,
    /// The store lists no instances.
    NoInstances,
    /// Some instances gave no usable answer.
    Instances { failures: Vec<InstanceFailure> },
    /// The output cannot be serialised as JSON.
    Json(serde_json::Error),
    /// The operating system's random number generator failed.
    NoRandomness,
}

impl CmdError {
    /// Returns the exit code: 1 for a negative answer, 2 for a failure.
    pub fn exit_code(&self) -> u8 {
        match self {
            CmdError::Faults { .. } | CmdError::Envelope { .. } => 1,
            CmdError::Submit(SubmitError::Store { .. } | SubmitError::Unknown { .. }) => 2,
            CmdError::Submit(_) => 1,
            _ => 2,
        }
    }
}

impl fmt::Display for CmdError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            CmdError::Usage { message } => write!(f, "{message}"),
            CmdError::File { path, error } => write!(f, "{}: {error}", path.display()),
            CmdError::Dev(error) => write!(f, "{error}"),
            CmdError::Output(error) => write!(f, "I/O failed: {error}"),
            CmdError::Faults { path, faults } => {
                let lines = faults.format_for_file(&path.display().to_string());
                write!(f, "faults found\n{lines}")
            }
            CmdError::Envelope { path, error } => write!(f, "{}: {error}", path.display()),
            CmdError::SigningKey { path, error } => write!(f, "{}: {error}", path.display()),
            CmdError::Verifier(error) => write!(f, "{error}"),
            CmdError::UnknownTeam { team } => write!(f, "the bundle has no team '{team}'"),
            CmdError::Submit(error) => write!(f, "{error}"),
            CmdError::Store { message } => write!(f, "{message}"),
            CmdError::NoBundle => write!(f, "the store has no bundle"),
            CmdError::NoInstances => write!(f, "the store lists no instances"),
            CmdError::Instances { failures } => {
                let lines: Vec<String> = failures.iter().map(ToString::to_string).collect();
                write!(f, "{}", lines.join("\ntamaracklb: "))
            }
            CmdError::Json(error) => write!(f, "cannot write the output as JSON: {error}"),
            CmdError::NoRandomness => write!(f, "the system's random number generator failed"),
        }
    }
}

impl std::error::Error for CmdError {}

impl From<io::Error> for CmdError {
    fn from(error: io::Error) -> Self {
        CmdError::Output(error)
    }
}
