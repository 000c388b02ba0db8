//! A reviewer relies on the diff, so it must show every change and nothing that did not change.

use tamaracklb::version::bundle_diff::diff_bundles;
use tamaracklb::version::bundle_parser::parse_bundle;

use crate::bundle_faults::SAMPLE;

fn diff_lines(new: &str) -> Vec<String> {
    let old = parse_bundle(SAMPLE).expect("the sample is valid");
    let new = parse_bundle(new).expect("the new text is valid");
    diff_bundles(&old, &new)
        .iter()
        .map(ToString::to_string)
        .collect()
}

/// Changes at every nesting level are listed once each.
#[test]
fn listed_changes() {
    let new = SAMPLE
        .replace("version: 1", "version: 2")
        .replace("rate: 50", "rate: 60.5")
        .replace("id: archive-2026a", "id: archive-2026b")
        .replace(
            "teams: [studio-web, archive]",
            "teams: [archive]\n    open_as: archive",
        )
        .replace("id: studio-db-3", "id: studio-db-4")
        .replace("target: 0.999", "target: 0.99");
    let expected = [
        "~ objectives/studio-db/720h/target: 0.999 -> 0.99",
        "- services/studio-db/endpoints/studio-db-3",
        "+ services/studio-db/endpoints/studio-db-4",
        "~ services/studio-db/open_as: none -> archive",
        "- services/studio-db/teams/studio-web",
        "- teams/archive/keys/archive-2026a",
        "+ teams/archive/keys/archive-2026b",
        "~ teams/archive/rate: 50.0 -> 60.5",
        "~ version: 1 -> 2",
    ];
    assert_eq!(diff_lines(&new), expected);
}

/// A changed order of list elements or a changed comment is not a difference.
#[test]
fn order_is_no_change() {
    let new = SAMPLE.replace("[studio-web, archive]", "[archive, studio-web] # reordered");
    assert!(diff_lines(&new).is_empty());
}

/// A changed verifier is listed without its content, which is secret.
#[test]
fn verifiers_stay_hidden() {
    let old = SAMPLE
        .lines()
        .find_map(|line| line.trim().strip_prefix("stored_key: "))
        .expect("the sample has a key");
    let new = SAMPLE.replace(old, "AAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAA=");
    let lines = diff_lines(&new);
    assert_eq!(
        lines,
        ["~ teams/studio-web/keys/studio-web-2026a/stored_key: (not shown) -> (not shown)"]
    );
}
