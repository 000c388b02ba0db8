//! Whole-path tests: the built daemon against a stand-in of the users' platform.

mod fleet;
#[path = "../../../../tests/testsuite/support/free_ports.rs"]
#[allow(dead_code)]
mod free_ports;

mod daemon_stop;
mod instance_sizes;
mod key_withdrawal;
mod primary_changes;
mod relayed_changes;
mod session_state;
mod silent_leader;
mod store_troubles;
