//! Checks that a verifier accepts only its own key, and agrees with other SCRAM implementations.

use base64::Engine;
use base64::engine::general_purpose::STANDARD;
use tamaracklb::version::bundle::TeamConfig;
use tamaracklb::version::key_verifier::KeyVerifier;
use tamaracklb::version::key_verifier::VerifierError;
use tamaracklb::version::secret_text::SecretText;
use tamaracklb::version::units::RequestBurst;
use tamaracklb::version::units::RequestRate;
use tamaracklb::version::units::TeamWeight;

const SALT: &str = "W22ZaJ0SNY7soEsUEjb6gQ==";
const AUTH_MESSAGE: &[u8] = b"n=user,r=rOprNGfwEbeRWgbNEkqO,\
r=rOprNGfwEbeRWgbNEkqO%hvYDpWUa2RaTCAfuxFIlj)hNlF$k0,s=W22ZaJ0SNY7soEsUEjb6gQ==,i=4096,\
c=biws,r=rOprNGfwEbeRWgbNEkqO%hvYDpWUa2RaTCAfuxFIlj)hNlF$k0";

fn secret(text: &str) -> SecretText {
    SecretText::new(text.to_owned())
}

fn decode(text: &str) -> Vec<u8> {
    STANDARD.decode(text).expect("the vector is base64")
}

fn pencil_verifier() -> KeyVerifier {
    KeyVerifier::generate(&secret("pencil"), &decode(SALT), 4096).expect("the input is valid")
}

/// The example exchange of RFC 7677, section 3.
#[test]
fn published_exchange() {
    let verifier = pencil_verifier();
    let proof = decode("dHzbZapWIk4jUhN+Ute9ytag9zjfMHgsqmmiz7AndVQ=");
    assert!(verifier.check_proof(AUTH_MESSAGE, &proof));
    let signature = verifier.server_signature(AUTH_MESSAGE);
    assert_eq!(
        STANDARD.encode(signature),
        "6rriTRBi23WpRR/wtup+mMhUZUn/dB5nLTJRsjl95G4="
    );
}

/// A proof that differs in any bit, or was made for another exchange, must be refused.
#[test]
fn wrong_proofs() {
    let verifier = pencil_verifier();
    let proof = decode("dHzbZapWIk4jUhN+Ute9ytag9zjfMHgsqmmiz7AndVQ=");
    for bit in 0..256 {
        let mut wrong = proof.clone();
        wrong[bit / 8] ^= 1 << (bit % 8);
        assert!(!verifier.check_proof(AUTH_MESSAGE, &wrong), "bit {bit}");
    }
    assert!(!verifier.check_proof(b"another exchange", &proof));
    assert!(!verifier.check_proof(AUTH_MESSAGE, &proof[..31]));
    assert!(!verifier.check_proof(AUTH_MESSAGE, &[]));
}

/// A verifier read from a bundle must accept its key and no other.
#[test]
fn bundle_round_trip() {
    let verifier = pencil_verifier();
    let key = verifier.to_config("k1".parse().expect("the id is valid"));
    let mut team = TeamConfig {
        id: "acme".parse().expect("the id is valid"),
        salt: SALT.to_owned(),
        iterations: 4096,
        keys: vec![key.clone()],
        rate: RequestRate(1.0),
        burst: RequestBurst(1.0),
        weight: TeamWeight(1.0),
    };
    let read = KeyVerifier::from_config(&team, &key).expect("the verifier is valid");
    assert!(read.check_key(&secret("pencil")));
    for wrong in ["Pencil", "pencil ", "", "penci"] {
        assert!(!read.check_key(&secret(wrong)), "{wrong:?} was accepted");
    }
    team.iterations = 4097;
    let other = KeyVerifier::from_config(&team, &key).expect("the verifier is valid");
    assert!(!other.check_key(&secret("pencil")));
    team.iterations = 0;
    let error = KeyVerifier::from_config(&team, &key).expect_err("no iterations");
    assert_eq!(error, VerifierError::NoIterations);
}

/// Keys and verifiers must not appear in Debug or Display output: whoever read them in a log could
/// authenticate.
#[test]
fn hidden_secrets() {
    let key = secret("pencil");
    let text = format!("{key:?} {key} {:?}", pencil_verifier());
    assert!(!text.contains("pencil"), "{text}");
    assert!(!text.contains(&format!("{:?}", decode(SALT))), "{text}");
}
