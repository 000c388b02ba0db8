//! Guards against a port that is reported as free and cannot be bound a moment later.

use std::net::TcpListener;
use std::process::Command;
use std::sync::atomic::AtomicBool;
use std::sync::atomic::Ordering;

use standins::free_ports::free_tcp;
use standins::free_ports::free_tcp_pair;

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

/// Threads that look for successive ports at the same time must each find some: six of them spun for
/// minutes, since each was given every sixth port.
#[test]
fn threads_find_successive_ports() {
    const THREADS: usize = 6;
    const PAIRS: usize = 20;
    std::thread::scope(|scope| {
        for _ in 0..THREADS {
            scope.spawn(|| {
                for _ in 0..PAIRS {
                    let [first, second] = free_tcp_pair();
                    assert_eq!(first.port() + 1, second.port());
                }
            });
        }
    });
}
