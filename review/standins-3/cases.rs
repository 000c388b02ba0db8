//! The cases of the review.

mod drill;
mod frozen;
mod revoked;
mod soak;
mod values;

use std::path::Path;
use std::sync::Arc;

use crate::Finding;
use crate::record::Record;

pub fn run(case: &str, record: &Arc<Record>, folder: &Path, trouble: bool) -> Finding {
    match case {
        "values" => values::run(record, folder, trouble),
        "drill" => drill::run(record, folder, trouble),
        "frozen" => frozen::run(record, folder, trouble, false),
        "lost" => frozen::run(record, folder, trouble, true),
        "revoked" => revoked::run(record, folder, trouble),
        "soak" => soak::run(record, folder, trouble),
        _ => Finding::NotRun(format!("unknown case {case}")),
    }
}
