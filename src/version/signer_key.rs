//! The ed25519 keys with which bundles are signed and verified.

use std::fmt;

use base64::Engine;
use base64::engine::general_purpose::STANDARD;
use ed25519_dalek::Signature;
use ed25519_dalek::Signer;
use ed25519_dalek::SigningKey;
use ed25519_dalek::VerifyingKey;
use ed25519_dalek::pkcs8::DecodePrivateKey;
use ed25519_dalek::pkcs8::EncodePrivateKey;
use ed25519_dalek::pkcs8::spki::der::pem::LineEnding;

use crate::version::ids::SignerId;
use crate::version::secret_text::SecretText;

/// Why a key cannot be decoded or encoded.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum SignerKeyError {
    /// The public key is not 32 bytes in base64, not a point on the curve, or of small order.
    BadPublicKey,
    /// The private key cannot be converted from or to PKCS#8 PEM.
    BadPrivateKey,
}

impl fmt::Display for SignerKeyError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            SignerKeyError::BadPublicKey => write!(f, "not an ed25519 public key in base64"),
            SignerKeyError::BadPrivateKey => write!(f, "not an ed25519 private key in PKCS#8 PEM"),
        }
    }
}

impl std::error::Error for SignerKeyError {}

/// The public key of a signer, with which instances verify bundles.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct SignerKey {
    /// The name of the signer.
    pub id: SignerId,
    key: VerifyingKey,
}

impl SignerKey {
    /// Decodes a public key of 32 bytes from base64.
    pub fn from_base64(id: SignerId, text: &str) -> Result<Self, SignerKeyError> {
        let bytes = STANDARD
            .decode(text)
            .map_err(|_| SignerKeyError::BadPublicKey)?;
        let bytes = <[u8; 32]>::try_from(bytes).map_err(|_| SignerKeyError::BadPublicKey)?;
        let key = VerifyingKey::from_bytes(&bytes).map_err(|_| SignerKeyError::BadPublicKey)?;
        // A key of small order accepts signatures made without its private key.
        if key.is_weak() {
            return Err(SignerKeyError::BadPublicKey);
        }
        Ok(Self { id, key })
    }

    /// Returns the public key in base64.
    pub fn to_base64(&self) -> String {
        STANDARD.encode(self.key.to_bytes())
    }

    /// Returns whether a base64 signature is valid for this signer and exactly these bytes.
    pub fn verify(&self, bytes: &[u8], signature: &str) -> bool {
        STANDARD
            .decode(signature)
            .ok()
            .and_then(|raw| Signature::from_slice(&raw).ok())
            .is_some_and(|signature| self.key.verify_strict(bytes, &signature).is_ok())
    }
}

/// The private key of a signer.
#[derive(Clone)]
pub struct SignerSecret(SigningKey);

impl fmt::Debug for SignerSecret {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str("SignerSecret(hidden)")
    }
}

impl SignerSecret {
    /// Creates a key from a seed of 32 random bytes.
    pub fn from_seed(seed: [u8; 32]) -> Self {
        Self(SigningKey::from_bytes(&seed))
    }

    /// Parses a key in PKCS#8 PEM.
    pub fn from_pem(text: &SecretText) -> Result<Self, SignerKeyError> {
        SigningKey::from_pkcs8_pem(text.expose())
            .map(Self)
            .map_err(|_| SignerKeyError::BadPrivateKey)
    }

    /// Returns the key in PKCS#8 PEM.
    pub fn to_pem(&self) -> Result<SecretText, SignerKeyError> {
        let pem = self
            .0
            .to_pkcs8_pem(LineEnding::LF)
            .map_err(|_| SignerKeyError::BadPrivateKey)?;
        Ok(SecretText::new(pem.to_string()))
    }

    /// Returns the public key, with `id` as the name of its signer.
    pub fn public_key(&self, id: SignerId) -> SignerKey {
        SignerKey {
            id,
            key: self.0.verifying_key(),
        }
    }

    /// Signs exactly these bytes and returns the signature in base64.
    pub fn sign(&self, bytes: &[u8]) -> String {
        STANDARD.encode(self.0.sign(bytes).to_bytes())
    }
}
