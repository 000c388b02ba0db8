//! Checks that peers authenticate each other as members of the fleet, that links recover, and that malformed messages
//! are handled.

use std::net::SocketAddr;
use std::time::Duration;

use proptest::prelude::any;
use proptest::prelude::proptest;
use tamaracklb::process::peers::peer_error::PeerError;
use tamaracklb::process::peers::peer_identity::PeerAuthority;
use tamaracklb::process::peers::peer_identity::PeerIdentity;
use tamaracklb::process::peers::peer_mesh::PeerMesh;
use tamaracklb::process::peers::peer_message::PeerReply;
use tamaracklb::process::peers::peer_message::PeerRequest;
use tamaracklb::process::peers::peer_message::decode_message;
use tamaracklb::process::peers::peer_message::encode_message;
use tamaracklb::version::ids::BundleVersion;

const CALL_TIMEOUT: Duration = Duration::from_secs(5);

fn create_identity(authority: &PeerAuthority) -> PeerIdentity {
    let (chain, key) = authority.issue().expect("issued certificate");
    PeerIdentity::from_memory(&chain, &key, &authority.root_pem()).expect("valid identity")
}

fn start_mesh(identity: &PeerIdentity) -> (PeerMesh, SocketAddr) {
    let answer = |request| -> futures_util::future::BoxFuture<'static, PeerReply> {
        Box::pin(async move {
            match request {
                PeerRequest::FetchBundle { newer_than } => {
                    PeerReply::Bundle(Some(format!("after {newer_than}")))
                }
                _ => PeerReply::Unavailable,
            }
        })
    };
    let any_port = SocketAddr::from(([127, 0, 0, 1], 0));
    let mesh = PeerMesh::start(any_port, identity, Box::new(answer)).expect("started mesh");
    let address = mesh.local_address().expect("local address");
    (mesh, address)
}

/// Guards against a link over which members of the fleet get no reply.
#[tokio::test]
async fn request_gets_reply() {
    let authority = PeerAuthority::generate().expect("generated authority");
    let (first, _) = start_mesh(&create_identity(&authority));
    let (_second, address) = start_mesh(&create_identity(&authority));
    let request = PeerRequest::FetchBundle {
        newer_than: BundleVersion(3),
    };
    let reply = first
        .call(address, &request, CALL_TIMEOUT)
        .await
        .expect("reply from the peer");
    assert_eq!(reply, PeerReply::Bundle(Some("after v3".to_owned())));
}

/// Guards against accepting calls from a process whose certificate was not issued by the fleet's authority.
#[tokio::test]
async fn foreign_certificate_refused() {
    let authority = PeerAuthority::generate().expect("generated authority");
    let other = PeerAuthority::generate().expect("second generated authority");
    let (_mesh, address) = start_mesh(&create_identity(&authority));
    let (foreign_mesh, _) = start_mesh(&create_identity(&other));
    let request = PeerRequest::FetchBundle {
        newer_than: BundleVersion(0),
    };
    let error = foreign_mesh
        .call(address, &request, CALL_TIMEOUT)
        .await
        .expect_err("call with a foreign certificate must fail");
    assert!(
        matches!(error, PeerError::Connect { .. } | PeerError::Broken { .. }),
        "{error}"
    );
}

/// Guards against a link that stays closed after its peer was replaced at the same address.
#[tokio::test]
async fn link_reopens_after_restart() {
    let authority = PeerAuthority::generate().expect("generated authority");
    let (first, _) = start_mesh(&create_identity(&authority));
    let (second, address) = start_mesh(&create_identity(&authority));
    let request = PeerRequest::FetchBundle {
        newer_than: BundleVersion(1),
    };
    first
        .call(address, &request, CALL_TIMEOUT)
        .await
        .expect("reply from the peer");
    drop(second);
    first
        .call(address, &request, Duration::from_millis(500))
        .await
        .expect_err("call must fail while no peer listens");
    let answer = |_| -> futures_util::future::BoxFuture<'static, PeerReply> {
        Box::pin(async { PeerReply::Unavailable })
    };
    let identity = create_identity(&authority);
    let mut restarted = PeerMesh::start(address, &identity, Box::new(answer));
    while restarted.is_err() {
        // The stopped mesh releases its socket only after its last task has ended.
        tokio::task::yield_now().await;
        restarted = PeerMesh::start(address, &identity, Box::new(answer));
    }
    let reply = first
        .call(address, &request, CALL_TIMEOUT)
        .await
        .expect("reply from the peer");
    assert_eq!(reply, PeerReply::Unavailable);
}

proptest! {
    // Guards against a decoder that panics on arbitrary bytes, and messages that change when they are encoded again.
    #[test]
    fn arbitrary_bytes_decode(bytes in proptest::collection::vec(any::<u8>(), 0..300)) {
        if let Ok(request) = decode_message::<PeerRequest>(&bytes) {
            let encoded = encode_message(&request).expect("a decoded message can be encoded");
            assert_eq!(decode_message::<PeerRequest>(&encoded).expect("valid encoding"), request);
        }
    }
}
