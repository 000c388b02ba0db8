//! Guards against entries of other writers that end an instance or stop it from following the store.

use std::time::Duration;

use standins::platform::line_caller::LineCaller;

use crate::fleet::Fleet;
use crate::fleet::KEY;

/// Returns entries that no endpoint writes, by key.
fn odd_entries() -> Vec<(&'static str, Vec<u8>)> {
    let nested = "[".repeat(200_000);
    let entry = |address: &str, rest: &str| {
        format!(
            "{{\"Service\":\"orders\",\"Address\":\"{address}\",\"Zone\":\"zone-a\",\"State\":\"ready\",\
             \"DatabaseRole\":\"replica\",{rest}}}"
        )
    };
    let good = "127.0.0.1:9";
    let huge = "9".repeat(400);
    let closed = format!("{nested}{}", "]".repeat(200_000));
    vec![
        ("servers/i-nested", nested.clone().into_bytes()),
        (
            "servers/i-unknown-nested",
            entry(good, &format!("\"Slots\":2,\"born\":1,\"Extra\":{closed}")).into_bytes(),
        ),
        (
            "servers/i-slots-nested",
            entry(good, &format!("\"Slots\":{closed}")).into_bytes(),
        ),
        (
            "servers/i-large-slots",
            entry(good, &format!("\"Slots\":{huge}")).into_bytes(),
        ),
        (
            "servers/i-most-slots",
            entry(good, "\"Slots\":4294967295,\"born\":18446744073709551615").into_bytes(),
        ),
        (
            "servers/i-large-born",
            entry(good, "\"Slots\":2,\"born\":1e999").into_bytes(),
        ),
        (
            "servers/i-port",
            entry("127.0.0.1:70000", "\"Slots\":2").into_bytes(),
        ),
        (
            "servers/i-no-port",
            entry("127.0.0.1:0", "\"Slots\":2").into_bytes(),
        ),
        ("servers/i-bytes", vec![0xff, 0xfe, 0x00, 0x80]),
        ("servers/", b"{}".to_vec()),
        ("servers/../ \u{1}", b"null".to_vec()),
        ("tamaracklb/member/zone-a/odd", nested.clone().into_bytes()),
        ("tamaracklb/order/odd", nested.into_bytes()),
    ]
}

/// Instances must skip entries that are deeply nested, too large, out of range or unreadable, and go
/// on following the store, also if they start with such entries.
#[tokio::test]
async fn odd_entries_are_skipped() {
    let mut fleet = Fleet::start(2).await;
    for (key, value) in odd_entries() {
        fleet.platform.shared.store().put(key, value, 0);
    }
    tokio::time::sleep(Duration::from_millis(1_500)).await;
    fleet.instances[1].restart();
    fleet.await_service().await;
    // A new configuration shows that both instances still follow the store.
    fleet.set_keys(&[KEY, "k-new"]);
    for instance in &mut fleet.instances {
        let mut opened = false;
        for _ in 0..100 {
            let address = instance.process.callers;
            if LineCaller::try_open(address, "bounded", "k-new")
                .await
                .is_ok()
            {
                opened = true;
                break;
            }
            tokio::time::sleep(Duration::from_millis(30)).await;
        }
        assert!(opened, "the configuration was not followed");
        let status = instance.process.exit_status().expect("query the status");
        assert_eq!(status, None);
    }
    let mut caller = fleet.caller(0, "bounded").await;
    for _ in 0..20 {
        caller.request_until_served("READ warm").await;
    }
}
