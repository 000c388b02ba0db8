//! Guards against a port that is reported as free and cannot be bound a moment later.

use std::net::TcpListener;
use std::process::Command;
use std::sync::atomic::AtomicBool;
use std::sync::atomic::Ordering;

use standins::free_ports::free_tcp;

const SPAWNERS: usize = 4;
const PORTS: usize = 1_000;

/// A process that another thread starts must not keep the port busy: until it executes its program,
/// it holds a copy of every open socket.
#[test]
fn started_processes_hold_no_port() {
    let ended = AtomicBool::new(false);
    let taken = std::thread::scope(|scope| {
        for _ in 0..SPAWNERS {
            scope.spawn(|| {
                while !ended.load(Ordering::Relaxed) {
                    Command::new("true").status().expect("run true");
                }
            });
        }
        let mut taken = 0;
        for _ in 0..PORTS {
            for address in free_tcp(1) {
                taken += usize::from(TcpListener::bind(address).is_err());
            }
        }
        ended.store(true, Ordering::Relaxed);
        taken
    });
    assert_eq!(taken, 0, "of {PORTS} ports");
}
