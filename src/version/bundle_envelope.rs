//! A bundle text with its signatures, as it is stored and as peers exchange it.

use std::collections::BTreeSet;
use std::fmt;

use serde::Deserialize;
use serde::Serialize;

use crate::version::ids::SignerId;
use crate::version::signer_key::SignerKey;
use crate::version::signer_key::SignerSecret;

/// Maximum size of an envelope in bytes of JSON; the store accepts values up to 1 MB.
pub const MAX_ENVELOPE_BYTES: usize = 1_000_000;

/// A signature over the exact bytes of a bundle text.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields, rename_all = "snake_case")]
pub struct BundleSignature {
    /// The name of the signer.
    pub signer: SignerId,
    /// The ed25519 signature, 64 bytes in base64.
    pub signature: String,
}

/// A bundle text and its signatures.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields, rename_all = "snake_case")]
pub struct BundleEnvelope {
    /// The YAML text, exactly the bytes that were signed.
    pub bundle: String,
    /// The signatures.
    pub signatures: Vec<BundleSignature>,
}

/// Why an envelope cannot be read, written or accepted.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum EnvelopeError {
    /// The text is not the JSON of an envelope.
    Malformed { message: String },
    /// The JSON is larger than the store accepts.
    TooLarge { bytes: usize },
    /// Fewer public keys than required have a valid signature; `rejected` lists the signers
    /// that are unknown or whose signatures are invalid.
    TooFewSignatures {
        valid: usize,
        required: usize,
        rejected: Vec<SignerId>,
    },
}

impl fmt::Display for EnvelopeError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            EnvelopeError::Malformed { message } => write!(f, "invalid envelope: {message}"),
            EnvelopeError::TooLarge { bytes } => write!(
                f,
                "envelope has {bytes} bytes, at most {MAX_ENVELOPE_BYTES} are allowed"
            ),
            EnvelopeError::TooFewSignatures {
                valid,
                required,
                rejected,
            } => {
                write!(f, "{valid} valid signatures, {required} required")?;
                for (index, signer) in rejected.iter().enumerate() {
                    let separator = if index == 0 { "; rejected: " } else { ", " };
                    write!(f, "{separator}{signer}")?;
                }
                Ok(())
            }
        }
    }
}

impl std::error::Error for EnvelopeError {}

impl BundleEnvelope {
    /// Creates an envelope without signatures.
    pub fn new(bundle: String) -> Self {
        Self {
            bundle,
            signatures: Vec::new(),
        }
    }

    /// Parses an envelope from JSON of at most [`MAX_ENVELOPE_BYTES`].
    pub fn from_json(text: &str) -> Result<Self, EnvelopeError> {
        if text.len() > MAX_ENVELOPE_BYTES {
            return Err(EnvelopeError::TooLarge { bytes: text.len() });
        }
        serde_json::from_str(text).map_err(|error| EnvelopeError::Malformed {
            message: error.to_string(),
        })
    }

    /// Returns the envelope as JSON of at most [`MAX_ENVELOPE_BYTES`].
    pub fn to_json(&self) -> Result<String, EnvelopeError> {
        let text = serde_json::to_string(self).map_err(|error| EnvelopeError::Malformed {
            message: error.to_string(),
        })?;
        if text.len() > MAX_ENVELOPE_BYTES {
            return Err(EnvelopeError::TooLarge { bytes: text.len() });
        }
        Ok(text)
    }

    /// Adds a signer's signature, replacing an earlier one by the same signer.
    pub fn sign(&mut self, signer: SignerId, secret: &SignerSecret) {
        let signature = secret.sign(self.bundle.as_bytes());
        self.signatures.retain(|other| other.signer != signer);
        self.signatures.push(BundleSignature { signer, signature });
    }

    /// Checks that at least `required` of the known signers signed exactly this text.
    ///
    /// A public key counts once, even under several names. Invalid signatures and those of unknown
    /// signers do not count. At least one signature is required, even if `required` is 0.
    pub fn verify(&self, signers: &[SignerKey], required: usize) -> Result<(), EnvelopeError> {
        let required = required.max(1);
        let mut valid = BTreeSet::new();
        let mut rejected = Vec::new();
        for entry in &self.signatures {
            let known = signers.iter().find(|signer| signer.id == entry.signer);
            match known {
                Some(key) if key.verify(self.bundle.as_bytes(), &entry.signature) => {
                    valid.insert(key.to_base64());
                }
                _ => rejected.push(entry.signer.clone()),
            }
        }
        if valid.len() >= required {
            return Ok(());
        }
        Err(EnvelopeError::TooFewSignatures {
            valid: valid.len(),
            required,
            rejected,
        })
    }
}
