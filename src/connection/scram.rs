//! SCRAM-SHA-256 (RFC 5802, RFC 7677): the server side for callers, the client side for endpoints.

use std::fmt;

use base64::Engine;
use base64::engine::general_purpose::STANDARD;
use hmac::Hmac;
use hmac::Mac;
use sha2::Digest;
use sha2::Sha256;

use crate::version::bundle::BundleConfig;
use crate::version::bundle::KeyConfig;
use crate::version::ids::KeyId;

/// The only SASL mechanism that is offered and accepted.
pub const SCRAM_MECHANISM: &str = "SCRAM-SHA-256";

const NONCE_BYTES: usize = 18;
const DEFAULT_SALT_BYTES: usize = 16;
const DEFAULT_ITERATIONS: u32 = 4096;
const MAX_ITERATIONS: u32 = 1_000_000;

/// Why an exchange failed; does not reveal which part of a proof was wrong.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ScramError {
    /// A message of the exchange is malformed.
    BadMessage,
    /// The client requests channel binding or another extension.
    NotSupported,
    /// The proof does not match.
    BadProof,
}

impl fmt::Display for ScramError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(match self {
            ScramError::BadMessage => "SCRAM message is invalid",
            ScramError::NotSupported => "SCRAM extension is not supported",
            ScramError::BadProof => "SCRAM proof does not match",
        })
    }
}

impl std::error::Error for ScramError {}

/// The keys that one exchange can match; all share one salt and iteration count.
#[derive(Clone)]
pub struct ScramVerifiers {
    salt: String,
    iterations: u32,
    keys: Vec<KeyConfig>,
}

impl ScramVerifiers {
    /// Returns the verifiers of a team; an unknown team gets a derived salt and no keys.
    ///
    /// The salt is derived from the name and a secret of the fleet, so that every instance sends
    /// the same salt and a caller cannot compute it to find out which teams exist.
    pub fn for_team(bundle: &BundleConfig, name: &str, secret: &[u8]) -> Self {
        let team = bundle
            .teams
            .iter()
            .find(|team| team.id.as_str() == name && !team.salt.is_empty());
        if let Some(team) = team {
            return Self {
                salt: team.salt.clone(),
                iterations: team.iterations,
                keys: team.keys.clone(),
            };
        }
        let sample = bundle.teams.iter().find(|team| !team.salt.is_empty());
        let length = sample
            .and_then(|team| STANDARD.decode(&team.salt).ok())
            .map_or(DEFAULT_SALT_BYTES, |salt| salt.len().min(32));
        let salt = sign(secret, name.as_bytes());
        Self {
            salt: STANDARD.encode(&salt[..length]),
            iterations: sample.map_or(DEFAULT_ITERATIONS, |team| team.iterations),
            keys: Vec::new(),
        }
    }
}

/// The server side of an exchange, after its first message.
pub struct ScramServer {
    verifiers: ScramVerifiers,
    gs2_header: String,
    auth_start: String,
    nonce: String,
}

impl ScramServer {
    /// Reads the client's first message and returns the server's first message.
    pub fn start(
        verifiers: ScramVerifiers,
        first: &[u8],
        nonce: [u8; NONCE_BYTES],
    ) -> Result<(Self, String), ScramError> {
        let first = std::str::from_utf8(first).map_err(|_| ScramError::BadMessage)?;
        let mut parts = first.splitn(3, ',');
        let flag = parts.next().unwrap_or_default();
        let identity = parts.next().ok_or(ScramError::BadMessage)?;
        let bare = parts.next().ok_or(ScramError::BadMessage)?;
        if !matches!(flag, "n" | "y") || bare.starts_with("m=") {
            return Err(ScramError::NotSupported);
        }
        let client_nonce = bare
            .split(',')
            .nth(1)
            .and_then(|field| field.strip_prefix("r="))
            .filter(|nonce| !nonce.is_empty())
            .ok_or(ScramError::BadMessage)?;
        let nonce = format!("{client_nonce}{}", STANDARD.encode(nonce));
        let reply = format!("r={nonce},s={},i={}", verifiers.salt, verifiers.iterations);
        let server = Self {
            gs2_header: format!("{flag},{identity},"),
            auth_start: format!("{bare},{reply}"),
            nonce,
            verifiers,
        };
        Ok((server, reply))
    }

    /// Checks the client's final message; returns the matching key and the server's final message.
    pub fn finish(&self, last: &[u8]) -> Result<(KeyId, String), ScramError> {
        let last = std::str::from_utf8(last).map_err(|_| ScramError::BadMessage)?;
        let (without_proof, proof) = last.rsplit_once(",p=").ok_or(ScramError::BadMessage)?;
        let mut fields = without_proof.split(',');
        let binding = fields.next().and_then(|field| field.strip_prefix("c="));
        let nonce = fields.next().and_then(|field| field.strip_prefix("r="));
        if binding != Some(&STANDARD.encode(&self.gs2_header)) || nonce != Some(&self.nonce) {
            return Err(ScramError::BadMessage);
        }
        let proof: [u8; 32] = decode_key(proof).ok_or(ScramError::BadMessage)?;
        let message = format!("{},{without_proof}", self.auth_start);
        let mut matched = None;
        for key in &self.verifiers.keys {
            if proof_matches(key, &proof, &message) && matched.is_none() {
                matched = Some(key);
            }
        }
        let key = matched.ok_or(ScramError::BadProof)?;
        let server_key = decode_key(&key.server_key).ok_or(ScramError::BadProof)?;
        let signature = sign(&server_key, message.as_bytes());
        Ok((key.id.clone(), format!("v={}", STANDARD.encode(signature))))
    }
}

fn proof_matches(key: &KeyConfig, proof: &[u8; 32], message: &str) -> bool {
    let Some(stored_key) = decode_key(&key.stored_key) else {
        return false;
    };
    let signature = sign(&stored_key, message.as_bytes());
    let client_key = xor(proof, &signature);
    let found: [u8; 32] = Sha256::digest(client_key).into();
    equals_in_constant_time(&found, &stored_key)
}

/// The client side of an exchange, with an endpoint.
pub struct ScramClient {
    password: String,
    nonce: String,
    server_signature: Option<[u8; 32]>,
}

impl ScramClient {
    /// Starts an exchange and returns the client's first message.
    pub fn start(password: &str, nonce: [u8; NONCE_BYTES]) -> (Self, String) {
        let nonce = STANDARD.encode(nonce);
        let first = format!("n,,n=,r={nonce}");
        let client = Self {
            password: password.to_owned(),
            nonce,
            server_signature: None,
        };
        (client, first)
    }

    /// Reads the server's first message and returns the client's final message.
    pub fn answer(&mut self, first: &[u8]) -> Result<String, ScramError> {
        let first = std::str::from_utf8(first).map_err(|_| ScramError::BadMessage)?;
        let field = |name: &str| first.split(',').find_map(|field| field.strip_prefix(name));
        let nonce = field("r=").ok_or(ScramError::BadMessage)?;
        let salt = field("s=").ok_or(ScramError::BadMessage)?;
        let salt = STANDARD.decode(salt).map_err(|_| ScramError::BadMessage)?;
        let iterations: u32 = field("i=")
            .and_then(|count| count.parse().ok())
            .filter(|count| (1..=MAX_ITERATIONS).contains(count))
            .ok_or(ScramError::BadMessage)?;
        if !nonce.starts_with(&self.nonce) || nonce.len() == self.nonce.len() {
            return Err(ScramError::BadMessage);
        }
        let salted = salt_password(self.password.as_bytes(), &salt, iterations);
        let client_key = sign(&salted, b"Client Key");
        let stored_key: [u8; 32] = Sha256::digest(client_key).into();
        let server_key = sign(&salted, b"Server Key");
        let without_proof = format!("c=biws,r={nonce}");
        let message = format!("n=,r={},{first},{without_proof}", self.nonce);
        let proof = xor(&client_key, &sign(&stored_key, message.as_bytes()));
        self.server_signature = Some(sign(&server_key, message.as_bytes()));
        Ok(format!("{without_proof},p={}", STANDARD.encode(proof)))
    }

    /// Checks the signature in the server's final message.
    pub fn check(&self, last: &[u8]) -> Result<(), ScramError> {
        let proof = std::str::from_utf8(last)
            .ok()
            .and_then(|text| text.split(',').next())
            .and_then(|field| field.strip_prefix("v="))
            .and_then(decode_key)
            .ok_or(ScramError::BadMessage)?;
        match self.server_signature {
            Some(signature) if equals_in_constant_time(&signature, &proof) => Ok(()),
            _ => Err(ScramError::BadProof),
        }
    }
}

/// Returns the verifier of a key in the form in which a bundle stores it.
pub fn create_verifier(id: KeyId, password: &str, salt: &[u8], iterations: u32) -> KeyConfig {
    let salted = salt_password(password.as_bytes(), salt, iterations);
    let client_key = sign(&salted, b"Client Key");
    KeyConfig {
        id,
        stored_key: STANDARD.encode(Sha256::digest(client_key)),
        server_key: STANDARD.encode(sign(&salted, b"Server Key")),
    }
}

/// Returns a random nonce.
pub fn random_nonce() -> [u8; NONCE_BYTES] {
    rand::random()
}

fn salt_password(password: &[u8], salt: &[u8], iterations: u32) -> [u8; 32] {
    let keyed = keyed_hash(password);
    let mut first = keyed.clone();
    first.update(salt);
    first.update(&1_u32.to_be_bytes());
    let mut block: [u8; 32] = first.finalize().into_bytes().into();
    let mut salted = block;
    for _ in 1..iterations {
        let mut next = keyed.clone();
        next.update(&block);
        block = next.finalize().into_bytes().into();
        salted = xor(&salted, &block);
    }
    salted
}

fn keyed_hash(key: &[u8]) -> Hmac<Sha256> {
    match <Hmac<Sha256> as Mac>::new_from_slice(key) {
        Ok(hash) => hash,
        Err(_) => unreachable!("HMAC takes keys of any length"),
    }
}

fn sign(key: &[u8], message: &[u8]) -> [u8; 32] {
    let mut hash = keyed_hash(key);
    hash.update(message);
    hash.finalize().into_bytes().into()
}

fn xor(left: &[u8; 32], right: &[u8; 32]) -> [u8; 32] {
    std::array::from_fn(|index| left[index] ^ right[index])
}

/// Compares in constant time, so that the duration reveals nothing about the content.
fn equals_in_constant_time(left: &[u8; 32], right: &[u8; 32]) -> bool {
    let difference = left
        .iter()
        .zip(right)
        .fold(0, |bits, (left, right)| bits | (left ^ right));
    std::hint::black_box(difference) == 0
}

fn decode_key(text: &str) -> Option<[u8; 32]> {
    STANDARD.decode(text).ok()?.try_into().ok()
}
