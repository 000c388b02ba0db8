//! Certificates with which instances authenticate each other.

use std::fs;
use std::path::Path;
use std::path::PathBuf;
use std::sync::Arc;
use std::time::Duration;

use quinn::crypto::rustls::QuicClientConfig;
use quinn::crypto::rustls::QuicServerConfig;
use rustls::RootCertStore;
use rustls::pki_types::CertificateDer;
use rustls::pki_types::PrivateKeyDer;
use rustls::pki_types::pem::PemObject;
use rustls::server::WebPkiClientVerifier;

use crate::process::peers::peer_error::PeerError;

/// The DNS name in the certificate of each instance.
///
/// Instances are addressed by IP, and a replacement may have another address, so the certificate
/// names the fleet and not the instance.
pub const PEER_NAME: &str = "peer.tamaracklb.internal";

const IDLE_TIMEOUT: Duration = Duration::from_secs(5);
const KEEP_ALIVE_PERIOD: Duration = Duration::from_secs(2);
const MAX_STREAMS: u32 = 256;

/// The certificate chain and key of this instance, and the root certificates that it trusts.
pub struct PeerIdentity {
    chain: Vec<CertificateDer<'static>>,
    key: PrivateKeyDer<'static>,
    roots: Arc<RootCertStore>,
}

impl PeerIdentity {
    /// Reads the certificate chain, the key and the trusted roots from PEM files.
    pub fn from_files(chain: &Path, key: &Path, roots: &Path) -> Result<Self, PeerError> {
        Self::from_pem(
            &read_file(chain)?,
            &read_file(key)?,
            &read_file(roots)?,
            [chain, key, roots],
        )
    }

    /// Reads the certificate chain, the key and the trusted roots from PEM texts.
    pub fn from_memory(chain: &str, key: &str, roots: &str) -> Result<Self, PeerError> {
        let names = [Path::new("chain"), Path::new("key"), Path::new("roots")];
        Self::from_pem(chain.as_bytes(), key.as_bytes(), roots.as_bytes(), names)
    }

    fn from_pem(
        chain: &[u8],
        key: &[u8],
        roots: &[u8],
        names: [&Path; 3],
    ) -> Result<Self, PeerError> {
        let [chain_name, key_name, roots_name] = names;
        let chain = read_certificates(chain, chain_name)?;
        let key = PrivateKeyDer::from_pem_slice(key).map_err(|_| PeerError::EmptyFile {
            path: key_name.to_owned(),
        })?;
        let mut store = RootCertStore::empty();
        for root in read_certificates(roots, roots_name)? {
            store.add(root).map_err(|error| PeerError::Tls { error })?;
        }
        Ok(Self {
            chain,
            key,
            roots: Arc::new(store),
        })
    }

    /// Returns the configuration for links opened by peers, which must present a certificate.
    pub fn server_config(&self) -> Result<quinn::ServerConfig, PeerError> {
        let provider = Arc::new(rustls::crypto::ring::default_provider());
        let verifier =
            WebPkiClientVerifier::builder_with_provider(self.roots.clone(), provider.clone())
                .build()
                .map_err(|_| PeerError::Verifier)?;
        let tls = rustls::ServerConfig::builder_with_provider(provider)
            .with_protocol_versions(&[&rustls::version::TLS13])
            .map_err(|error| PeerError::Tls { error })?
            .with_client_cert_verifier(verifier)
            .with_single_cert(self.chain.clone(), self.key.clone_key())
            .map_err(|error| PeerError::Tls { error })?;
        let crypto = QuicServerConfig::try_from(tls).map_err(|_| PeerError::Verifier)?;
        let mut config = quinn::ServerConfig::with_crypto(Arc::new(crypto));
        config.transport_config(Arc::new(transport_config()));
        Ok(config)
    }

    /// Returns the configuration for links that this instance opens.
    pub fn client_config(&self) -> Result<quinn::ClientConfig, PeerError> {
        let provider = Arc::new(rustls::crypto::ring::default_provider());
        let tls = rustls::ClientConfig::builder_with_provider(provider)
            .with_protocol_versions(&[&rustls::version::TLS13])
            .map_err(|error| PeerError::Tls { error })?
            .with_root_certificates(self.roots.clone())
            .with_client_auth_cert(self.chain.clone(), self.key.clone_key())
            .map_err(|error| PeerError::Tls { error })?;
        let crypto = QuicClientConfig::try_from(tls).map_err(|_| PeerError::Verifier)?;
        let mut config = quinn::ClientConfig::new(Arc::new(crypto));
        config.transport_config(Arc::new(transport_config()));
        Ok(config)
    }
}

fn transport_config() -> quinn::TransportConfig {
    let mut config = quinn::TransportConfig::default();
    config.max_idle_timeout(Some(
        IDLE_TIMEOUT
            .try_into()
            .expect("5 s is a valid QUIC idle timeout"),
    ));
    config.keep_alive_interval(Some(KEEP_ALIVE_PERIOD));
    config.max_concurrent_bidi_streams(MAX_STREAMS.into());
    config.max_concurrent_uni_streams(0_u32.into());
    config
}

fn read_file(path: &Path) -> Result<Vec<u8>, PeerError> {
    fs::read(path).map_err(|error| PeerError::ReadFile {
        path: path.to_owned(),
        error,
    })
}

fn read_certificates(bytes: &[u8], path: &Path) -> Result<Vec<CertificateDer<'static>>, PeerError> {
    let empty = || PeerError::EmptyFile {
        path: PathBuf::from(path),
    };
    let chain: Vec<_> = CertificateDer::pem_slice_iter(bytes)
        .collect::<Result<_, _>>()
        .map_err(|_| empty())?;
    if chain.is_empty() {
        Err(empty())
    } else {
        Ok(chain)
    }
}

/// A certificate authority for a fleet of `dev` or of tests.
pub struct PeerAuthority {
    root: rcgen::Certificate,
    issuer: rcgen::Issuer<'static, rcgen::KeyPair>,
}

impl PeerAuthority {
    /// Creates an authority with a self-signed root certificate and a new key.
    pub fn generate() -> Result<Self, rcgen::Error> {
        let key = rcgen::KeyPair::generate()?;
        let mut params = rcgen::CertificateParams::new(Vec::<String>::new())?;
        params.is_ca = rcgen::IsCa::Ca(rcgen::BasicConstraints::Unconstrained);
        let root = params.self_signed(&key)?;
        Ok(Self {
            root,
            issuer: rcgen::Issuer::new(params, key),
        })
    }

    /// Returns the root certificate as PEM.
    pub fn root_pem(&self) -> String {
        self.root.pem()
    }

    /// Issues a certificate for one instance and returns the certificate and its key as PEM.
    pub fn issue(&self) -> Result<(String, String), rcgen::Error> {
        let key = rcgen::KeyPair::generate()?;
        let params = rcgen::CertificateParams::new(vec![PEER_NAME.to_owned()])?;
        let certificate = params.signed_by(&key, &self.issuer)?;
        Ok((certificate.pem(), key.serialize_pem()))
    }
}
