//! Database proxy daemon for the front instances of the users' platform.

mod answer_reporter;
mod caller_listener;
mod caller_memory;
mod caller_session;
mod cold_endpoints;
mod endpoint_channel;
mod endpoint_connection;
mod endpoint_pool;
mod event_limiter;
mod first_view;
mod fleet_keys;
mod fleet_view;
mod group_change;
mod group_leader;
mod group_survey;
mod host_channel;
mod host_link;
mod host_links;
mod host_message;
mod host_server;
mod instance;
mod instance_limits;
mod instance_metrics;
mod instance_run;
mod line_channel;
mod link_outbox;
mod log_output;
mod message_parts;
mod metrics;
mod pace_exchange;
mod packed_value;
mod peer_link;
mod peer_message;
mod position_probe;
mod rate_exchange;
mod relay_message;
mod request_attempt;
mod request_route;
mod statement_run;
mod stop_signal;
mod store_feed;
mod store_lease;
mod view_follower;
mod view_relay;

use std::process::ExitCode;

use argh::FromArgs;
use platform::instance_settings;

/// Serves callers on one instance of the users' platform.
#[derive(FromArgs)]
struct FrontArgs {
    /// check the settings file, print the settings, and exit
    #[argh(switch)]
    check: bool,
    /// print the version and exit
    #[argh(switch)]
    version: bool,
}

fn main() -> ExitCode {
    let args: FrontArgs = argh::from_env();
    if args.version {
        println!("tamaracklb-front {}", env!("CARGO_PKG_VERSION"));
        return ExitCode::SUCCESS;
    }
    let settings = match instance_settings::load_settings() {
        Ok(settings) => settings,
        Err(error) => {
            eprintln!("tamaracklb-front: {error}");
            return ExitCode::from(2);
        }
    };
    if args.check {
        println!("{settings:#?}");
        return ExitCode::SUCCESS;
    }
    let log = match log_output::init_logging() {
        Ok(log) => log,
        Err(error) => {
            eprintln!("tamaracklb-front: {error}");
            return ExitCode::from(2);
        }
    };
    match instance_run::run_instance(settings, log.clone()) {
        Ok(()) => {
            log.flush();
            ExitCode::SUCCESS
        }
        Err(error) => {
            tracing::error!(event = "stopped_by_error", %error);
            log.flush();
            eprintln!("tamaracklb-front: {error}");
            ExitCode::FAILURE
        }
    }
}
