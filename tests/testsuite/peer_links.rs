//! Peers must prove that they belong to the fleet, and a bad message must harm nobody else.

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

const LIMIT: Duration = Duration::from_secs(5);

fn identity_of(authority: &PeerAuthority) -> PeerIdentity {
    let (chain, key) = authority.issue().expect("a certificate");
    PeerIdentity::from_memory(&chain, &key, &authority.root_pem()).expect("an identity")
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
    let mesh = PeerMesh::start(any_port, identity, Box::new(answer)).expect("a mesh");
    let address = mesh.local_address().expect("an address");
    (mesh, address)
}

#[tokio::test]
async fn request_gets_reply() {
    let authority = PeerAuthority::generate().expect("an authority");
    let (first, _) = start_mesh(&identity_of(&authority));
    let (_second, address) = start_mesh(&identity_of(&authority));
    let request = PeerRequest::FetchBundle {
        newer_than: BundleVersion(3),
    };
    let reply = first.call(address, &request, LIMIT).await.expect("a reply");
    assert_eq!(reply, PeerReply::Bundle(Some("after v3".to_owned())));
}

/// A process outside the fleet must not be able to ask or to inject anything.
#[tokio::test]
async fn foreign_certificate_refused() {
    let authority = PeerAuthority::generate().expect("an authority");
    let other = PeerAuthority::generate().expect("another authority");
    let (_mesh, address) = start_mesh(&identity_of(&authority));
    let (stranger, _) = start_mesh(&identity_of(&other));
    let request = PeerRequest::FetchBundle {
        newer_than: BundleVersion(0),
    };
    let error = stranger
        .call(address, &request, LIMIT)
        .await
        .expect_err("a refusal");
    assert!(
        matches!(error, PeerError::Connect { .. } | PeerError::Broken { .. }),
        "{error}"
    );
}

/// A peer that was replaced at the same address must be reached again.
#[tokio::test]
async fn link_reopens_after_restart() {
    let authority = PeerAuthority::generate().expect("an authority");
    let (first, _) = start_mesh(&identity_of(&authority));
    let (second, address) = start_mesh(&identity_of(&authority));
    let request = PeerRequest::FetchBundle {
        newer_than: BundleVersion(1),
    };
    first.call(address, &request, LIMIT).await.expect("a reply");
    drop(second);
    first
        .call(address, &request, Duration::from_millis(500))
        .await
        .expect_err("no peer");
    let answer = |_| -> futures_util::future::BoxFuture<'static, PeerReply> {
        Box::pin(async { PeerReply::Unavailable })
    };
    let identity = identity_of(&authority);
    let mut restarted = PeerMesh::start(address, &identity, Box::new(answer));
    while restarted.is_err() {
        // The socket of the stopped mesh closes a moment after its last task ended.
        tokio::task::yield_now().await;
        restarted = PeerMesh::start(address, &identity, Box::new(answer));
    }
    let reply = first.call(address, &request, LIMIT).await.expect("a reply");
    assert_eq!(reply, PeerReply::Unavailable);
}

proptest! {
    #[test]
    fn arbitrary_bytes_decode(bytes in proptest::collection::vec(any::<u8>(), 0..300)) {
        if let Ok(request) = decode_message::<PeerRequest>(&bytes) {
            let encoded = encode_message(&request).expect("a decoded message encodes");
            assert_eq!(decode_message::<PeerRequest>(&encoded).expect("it decodes"), request);
        }
    }
}
