//! Builds and signs the bundle of a test system.

use std::net::SocketAddr;

use base64::Engine;
use base64::engine::general_purpose::STANDARD;
use tamaracklb::version::bundle_envelope::BundleEnvelope;
use tamaracklb::version::key_verifier::KeyVerifier;
use tamaracklb::version::secret_text::SecretText;
use tamaracklb::version::signer_key::SignerSecret;

/// The service of the system.
pub const SERVICE: &str = "studio-db";

/// The id of the signer whose signature daemons accept.
pub const SIGNER: &str = "test-signer";

const SALT: &[u8] = b"test system salt";
const ITERATIONS: u32 = 4096;
const SIGNER_SEED: [u8; 32] = [7; 32];

/// A team of the system's bundle.
#[derive(Debug, Clone)]
pub struct SystemTeam {
    /// Its identifier.
    pub id: String,
    /// Its only key.
    pub key: String,
    /// Its rate, in requests per second.
    pub rate: f64,
    /// Its burst, in requests.
    pub burst: f64,
}

/// An endpoint of the system's bundle.
#[derive(Debug, Clone)]
pub struct EndpointText {
    /// Its identifier.
    pub id: String,
    /// Address at which it serves the PostgreSQL protocol.
    pub address: SocketAddr,
    /// Its availability zone.
    pub zone: String,
    /// Its number of slots.
    pub slots: usize,
    /// Its maximum number of connections.
    pub connections: usize,
    /// Whether it is leaving.
    pub leaving: bool,
}

/// The content of a bundle.
#[derive(Debug, Clone)]
pub struct BundleText {
    /// The version.
    pub version: u64,
    /// The teams, all of which may use the service.
    pub teams: Vec<SystemTeam>,
    /// The endpoints of the service.
    pub endpoints: Vec<EndpointText>,
}

impl BundleText {
    /// Returns the same content as the next version.
    pub fn next(&self) -> Self {
        Self {
            version: self.version + 1,
            ..self.clone()
        }
    }

    /// Returns the signed envelope in the form that is stored.
    pub fn envelope(&self) -> String {
        let mut envelope = BundleEnvelope::new(self.yaml());
        envelope.sign(SIGNER.parse().unwrap(), &signer());
        envelope.to_json().unwrap()
    }

    fn yaml(&self) -> String {
        let mut text = format!("version: {}\nteams:\n", self.version);
        for team in &self.teams {
            text += &team_yaml(team);
        }
        text += &format!("services:\n  - id: {SERVICE}\n    endpoints:\n");
        for endpoint in &self.endpoints {
            text += &format!(
                "      - id: {}\n        address: {}\n        zone: {}\n        \
                 slots: {}\n        connections: {}\n        leaving: {}\n",
                endpoint.id,
                endpoint.address,
                endpoint.zone,
                endpoint.slots,
                endpoint.connections,
                endpoint.leaving,
            );
        }
        let teams: Vec<&str> = self.teams.iter().map(|team| team.id.as_str()).collect();
        text += &format!("    teams: [{}]\n", teams.join(", "));
        text + "    staleness_limit_ms: 2000\n"
    }
}

fn team_yaml(team: &SystemTeam) -> String {
    let key = SecretText::new(team.key.clone());
    let verifier = KeyVerifier::generate(&key, SALT, ITERATIONS).unwrap();
    let config = verifier.to_config(format!("{}-1", team.id).parse().unwrap());
    format!(
        "  - id: {}\n    salt: {}\n    iterations: {ITERATIONS}\n    keys:\n      \
         - id: {}\n        stored_key: {}\n        server_key: {}\n    \
         rate: {}\n    burst: {}\n",
        team.id,
        STANDARD.encode(SALT),
        config.id,
        config.stored_key,
        config.server_key,
        team.rate,
        team.burst,
    )
}

/// Returns the secret key of the signer [`SIGNER`].
pub fn signer() -> SignerSecret {
    SignerSecret::from_seed(SIGNER_SEED)
}
