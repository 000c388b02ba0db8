//! The `standin-endpoint` program.

use std::process::ExitCode;

use argh::FromArgs;

use crate::endpoint::config::EndpointConfig;
use crate::endpoint::handle::start;

/// Runs a stand-in for one database endpoint until it is killed.
#[derive(Debug, FromArgs)]
struct EndpointArgs {
    /// settings as JSON; omitted settings have their defaults
    #[argh(option, default = "\"{}\".to_owned()")]
    json: String,
}

/// Runs the program with the arguments of the process.
pub fn main() -> ExitCode {
    let args: EndpointArgs = argh::from_env();
    let config: EndpointConfig = match serde_json::from_str(&args.json) {
        Ok(config) => config,
        Err(error) => {
            eprintln!("standin-endpoint: bad settings: {error}");
            return ExitCode::FAILURE;
        }
    };
    let name = config.name.clone();
    match start(config) {
        Ok(handle) => {
            let (clients, link) = (handle.address(), handle.link());
            print!("standin-endpoint: {name} listens on {clients}, link {link}");
            match handle.admin() {
                Some(admin) => println!(", admin {admin}"),
                None => println!(),
            }
            loop {
                std::thread::park();
            }
        }
        Err(error) => {
            eprintln!("standin-endpoint: cannot start: {error}");
            ExitCode::FAILURE
        }
    }
}
