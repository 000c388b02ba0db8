//! Plays one case of the review: `world CASE RECORD TROUBLE`.

mod client;
mod front;
mod group;
mod hangup_at_start;
mod json;
mod lower_token;
mod moved_key;
mod old_primary;
mod record;
mod store;
mod value_in_transaction;
mod withdrawn_key;
mod world;

fn main() {
    let arguments: Vec<String> = std::env::args().collect();
    let [_, case, path, trouble] = arguments.as_slice() else {
        eprintln!("usage: world CASE RECORD TROUBLE");
        std::process::exit(2);
    };
    record::begin(path);
    let trouble = trouble != "0";
    record::note(&format!("case {case}, trouble {trouble}"));
    match case.as_str() {
        "withdrawn-key" => withdrawn_key::play(trouble),
        "old-primary" => old_primary::play(trouble),
        "lower-token" => lower_token::play(trouble),
        "value-in-transaction" => value_in_transaction::play(trouble),
        "hangup-at-start" => hangup_at_start::play(trouble),
        "moved-key" => moved_key::play(trouble),
        _ => record::give_up("no such case"),
    }
}
