//! The `standin-store` program.

use std::process::ExitCode;

use argh::FromArgs;

use crate::store::config::StoreConfig;
use crate::store::handle::start;

/// Runs a stand-in for the platform's store until it is killed.
#[derive(Debug, FromArgs)]
struct StoreArgs {
    /// settings as JSON; omitted settings have their defaults
    #[argh(option, default = "\"{}\".to_owned()")]
    json: String,
}

/// Runs the program with the arguments of the process.
pub fn main() -> ExitCode {
    let args: StoreArgs = argh::from_env();
    let config: StoreConfig = match serde_json::from_str(&args.json) {
        Ok(config) => config,
        Err(error) => {
            eprintln!("standin-store: bad settings: {error}");
            return ExitCode::FAILURE;
        }
    };
    match start(&config) {
        Ok(handle) => {
            println!("standin-store: listens on {}", handle.address());
            loop {
                std::thread::park();
            }
        }
        Err(error) => {
            eprintln!("standin-store: cannot start: {error}");
            ExitCode::FAILURE
        }
    }
}
