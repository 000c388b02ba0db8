//! Computes the differences between two bundles.

use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::fmt;

use serde::Serialize;
use serde_json::Value;

use crate::version::bundle::BundleConfig;

/// Fields whose changes are listed without values, since the encoded bytes mean nothing to a reader.
const OPAQUE_FIELDS: [&str; 3] = ["salt", "stored_key", "server_key"];

/// How a value differs between two bundles.
#[derive(Debug, Clone, PartialEq, Eq, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum ChangeKind {
    /// Only the new bundle has it.
    Added,
    /// Only the old bundle has it.
    Removed,
    /// The bundles have different values.
    Changed { from: String, to: String },
}

/// One difference between two bundles.
#[derive(Debug, Clone, PartialEq, Eq, Serialize)]
#[serde(rename_all = "snake_case")]
pub struct BundleChange {
    /// The path of the value, such as `teams/acme/rate`.
    pub path: String,
    /// How it differs.
    pub kind: ChangeKind,
}

impl fmt::Display for BundleChange {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match &self.kind {
            ChangeKind::Added => write!(f, "+ {}", self.path),
            ChangeKind::Removed => write!(f, "- {}", self.path),
            ChangeKind::Changed { from, to } => write!(f, "~ {}: {from} -> {to}", self.path),
        }
    }
}

/// Returns the differences in the order of their paths.
///
/// Teams, keys, services and endpoints are matched by id, so reordering them is not a difference.
/// An added or removed element is listed once, without its fields.
pub fn diff_bundles(old: &BundleConfig, new: &BundleConfig) -> Vec<BundleChange> {
    let mut changes = Vec::new();
    diff_values("", &to_tree(old), &to_tree(new), &mut changes);
    changes
}

fn to_tree(config: &BundleConfig) -> Value {
    serde_json::to_value(config).unwrap_or(Value::Null)
}

fn diff_values(path: &str, old: &Value, new: &Value, changes: &mut Vec<BundleChange>) {
    match (children(old), children(new)) {
        (Some(old), Some(new)) => diff_children(path, &old, &new, changes),
        _ if old == new => {}
        _ => {
            let name = path.rsplit('/').next().unwrap_or(path);
            changes.push(BundleChange {
                path: path.to_owned(),
                kind: ChangeKind::Changed {
                    from: display_value(name, old),
                    to: display_value(name, new),
                },
            });
        }
    }
}

fn diff_children(
    path: &str,
    old: &BTreeMap<String, &Value>,
    new: &BTreeMap<String, &Value>,
    changes: &mut Vec<BundleChange>,
) {
    let names: BTreeSet<&String> = old.keys().chain(new.keys()).collect();
    for name in names {
        let path = if path.is_empty() {
            name.clone()
        } else {
            format!("{path}/{name}")
        };
        match (old.get(name), new.get(name)) {
            (Some(old), Some(new)) => diff_values(&path, old, new, changes),
            (Some(_), None) => changes.push(BundleChange {
                path,
                kind: ChangeKind::Removed,
            }),
            _ => changes.push(BundleChange {
                path,
                kind: ChangeKind::Added,
            }),
        }
    }
}

/// Returns the children of a mapping by name and those of a list by [`element_name`].
fn children(value: &Value) -> Option<BTreeMap<String, &Value>> {
    match value {
        Value::Object(map) => Some(
            map.iter()
                .map(|(name, child)| (name.clone(), child))
                .collect(),
        ),
        Value::Array(list) => Some(
            list.iter()
                .map(|child| (element_name(child), child))
                .collect(),
        ),
        _ => None,
    }
}

/// Returns the id of a list element, `SERVICE/HOURSh` for an objective, else the value itself.
fn element_name(element: &Value) -> String {
    let field = |name: &str| element.get(name);
    match (field("id"), field("service"), field("window_hours")) {
        (Some(id), _, _) => display_value("id", id),
        (_, Some(service), Some(hours)) => {
            format!("{}/{hours}h", display_value("service", service))
        }
        _ => display_value("", element),
    }
}

fn display_value(name: &str, value: &Value) -> String {
    match value {
        _ if OPAQUE_FIELDS.contains(&name) => "(not shown)".to_owned(),
        Value::String(text) => text.clone(),
        Value::Null => "none".to_owned(),
        other => other.to_string(),
    }
}
