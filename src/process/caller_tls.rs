//! Loads the TLS certificate and key of the caller port.

use std::fs;
use std::path::Path;
use std::sync::Arc;

use rustls::pki_types::CertificateDer;
use rustls::pki_types::PrivateKeyDer;
use rustls::pki_types::pem::PemObject;

use crate::process::daemon_error::DaemonError;
use crate::process::settings::TlsFiles;

/// Builds the TLS configuration for callers from the certificate and key files.
///
/// Returns an error if a file cannot be read, holds no certificate or key, or if the pair cannot be
/// used.
pub fn load_caller_tls(files: &TlsFiles) -> Result<Arc<rustls::ServerConfig>, DaemonError> {
    let chain = CertificateDer::pem_slice_iter(&read_file(&files.certificate)?)
        .collect::<Result<Vec<_>, _>>()
        .map_err(|_| empty_file(&files.certificate))?;
    let key = PrivateKeyDer::from_pem_slice(&read_file(&files.key)?)
        .map_err(|_| empty_file(&files.key))?;
    let provider = Arc::new(rustls::crypto::ring::default_provider());
    let config = rustls::ServerConfig::builder_with_provider(provider)
        .with_safe_default_protocol_versions()
        .map_err(|error| DaemonError::CallerTls { error })?
        .with_no_client_auth()
        .with_single_cert(chain, key)
        .map_err(|error| DaemonError::CallerTls { error })?;
    Ok(Arc::new(config))
}

fn read_file(path: &Path) -> Result<Vec<u8>, DaemonError> {
    fs::read(path).map_err(|error| DaemonError::ReadFile {
        path: path.to_owned(),
        error,
    })
}

fn empty_file(path: &Path) -> DaemonError {
    DaemonError::EmptyFile {
        path: path.to_owned(),
    }
}
