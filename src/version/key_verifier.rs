//! SCRAM-SHA-256 verifiers (RFC 5802, RFC 7677), with which an instance authenticates a key.

use std::fmt;

use base64::Engine;
use base64::engine::general_purpose::STANDARD;
use hmac::Hmac;
use hmac::Mac;
use pgwire::api::auth::sasl::scram::gen_salted_password;
use sha2::Digest;
use sha2::Sha256;
use subtle::ConstantTimeEq;

use crate::version::bundle::KeyConfig;
use crate::version::bundle::TeamConfig;
use crate::version::ids::KeyId;
use crate::version::secret_text::SecretText;

/// Length in bytes of StoredKey, ServerKey, proofs and signatures.
pub const HASH_BYTES: usize = 32;

type HashBytes = [u8; HASH_BYTES];

/// Why a verifier cannot be computed or read from a bundle.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum VerifierError {
    /// A field is not base64.
    BadBase64 { field: &'static str },
    /// A key does not have [`HASH_BYTES`] bytes.
    BadLength { field: &'static str, bytes: usize },
    /// The iteration count is zero.
    NoIterations,
}

impl fmt::Display for VerifierError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            VerifierError::BadBase64 { field } => write!(f, "{field} is not base64"),
            VerifierError::BadLength { field, bytes } => {
                write!(f, "{field} has {bytes} bytes, not {HASH_BYTES}")
            }
            VerifierError::NoIterations => write!(f, "the iteration count is 0"),
        }
    }
}

impl std::error::Error for VerifierError {}

/// The verifier of one key; the key cannot be recovered from it.
#[derive(Clone)]
pub struct KeyVerifier {
    salt: Vec<u8>,
    iterations: u32,
    stored_key: HashBytes,
    server_key: HashBytes,
}

impl fmt::Debug for KeyVerifier {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.debug_struct("KeyVerifier")
            .field("iterations", &self.iterations)
            .finish_non_exhaustive()
    }
}

impl KeyVerifier {
    /// Computes the verifier of a key; fails if `iterations` is 0.
    pub fn generate(key: &SecretText, salt: &[u8], iterations: u32) -> Result<Self, VerifierError> {
        if iterations == 0 {
            return Err(VerifierError::NoIterations);
        }
        let salted = gen_salted_password(key.expose(), salt, iterations as usize);
        let client_key = hmac_sha256(&salted, b"Client Key");
        Ok(Self {
            salt: salt.to_vec(),
            iterations,
            stored_key: Sha256::digest(client_key).into(),
            server_key: hmac_sha256(&salted, b"Server Key"),
        })
    }

    /// Decodes the verifier of a team's key from a bundle.
    pub fn from_config(team: &TeamConfig, key: &KeyConfig) -> Result<Self, VerifierError> {
        if team.iterations == 0 {
            return Err(VerifierError::NoIterations);
        }
        let salt = STANDARD
            .decode(&team.salt)
            .map_err(|_| VerifierError::BadBase64 { field: "salt" })?;
        Ok(Self {
            salt,
            iterations: team.iterations,
            stored_key: decode_hash("stored_key", &key.stored_key)?,
            server_key: decode_hash("server_key", &key.server_key)?,
        })
    }

    /// Returns the verifier in the form that a bundle contains.
    pub fn to_config(&self, id: KeyId) -> KeyConfig {
        KeyConfig {
            id,
            stored_key: STANDARD.encode(self.stored_key),
            server_key: STANDARD.encode(self.server_key),
        }
    }

    /// Returns the salt.
    pub fn salt(&self) -> &[u8] {
        &self.salt
    }

    /// Returns the iteration count.
    pub fn iterations(&self) -> u32 {
        self.iterations
    }

    /// Returns whether a plain-text key matches this verifier.
    pub fn check_key(&self, key: &SecretText) -> bool {
        Self::generate(key, &self.salt, self.iterations).is_ok_and(|other| {
            let stored = other.stored_key.ct_eq(&self.stored_key);
            let server = other.server_key.ct_eq(&self.server_key);
            bool::from(stored & server)
        })
    }

    /// Returns whether a ClientProof for the AuthMessage of an exchange was computed from this key.
    pub fn check_proof(&self, auth_message: &[u8], proof: &[u8]) -> bool {
        let Ok(proof) = HashBytes::try_from(proof) else {
            return false;
        };
        let signature = hmac_sha256(&self.stored_key, auth_message);
        let client_key: HashBytes = std::array::from_fn(|index| proof[index] ^ signature[index]);
        let stored: HashBytes = Sha256::digest(client_key).into();
        stored.ct_eq(&self.stored_key).into()
    }

    /// Returns the ServerSignature, which proves to the caller that the instance has the verifier.
    pub fn server_signature(&self, auth_message: &[u8]) -> HashBytes {
        hmac_sha256(&self.server_key, auth_message)
    }
}

fn hmac_sha256(key: &[u8], message: &[u8]) -> HashBytes {
    let mut mac = Hmac::<Sha256>::new_from_slice(key).expect("HMAC accepts keys of any length");
    mac.update(message);
    mac.finalize().into_bytes().into()
}

fn decode_hash(field: &'static str, text: &str) -> Result<HashBytes, VerifierError> {
    let bytes = STANDARD
        .decode(text)
        .map_err(|_| VerifierError::BadBase64 { field })?;
    let length = bytes.len();
    HashBytes::try_from(bytes).map_err(|_| VerifierError::BadLength {
        field,
        bytes: length,
    })
}
