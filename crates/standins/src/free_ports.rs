//! Finds free loopback ports for programs that tests start.

use std::collections::VecDeque;
use std::net::Ipv4Addr;
use std::net::SocketAddr;
use std::net::TcpListener;
use std::sync::Mutex;
use std::sync::PoisonError;
use std::sync::atomic::AtomicU32;
use std::sync::atomic::Ordering;

/// Start of the port range, which lies below the ephemeral ports of the operating system: an
/// outgoing connection could take an ephemeral port before the program that needs it starts.
const FIRST_PORT: u32 = 10_000;
const PORT_COUNT: u32 = 20_000;
/// Distance between the first ports of processes with successive ids. It is the range times the
/// golden ratio, whose multiples stay far apart, so concurrent test programs rarely collide.
const PROCESS_STRIDE: u32 = 12_361;

/// Address on which a port is reserved against other test programs until the program that uses it
/// listens.
const RESERVATION_ADDRESS: Ipv4Addr = Ipv4Addr::new(127, 0, 0, 2);

/// Maximum number of reservations held at a time: enough for the most recent runs of a program that
/// makes many.
const MAX_RESERVATIONS: usize = 256;

const TCP_TABLE: &str = "/proc/net/tcp";

static NEXT_OFFSET: AtomicU32 = AtomicU32::new(0);
static RESERVATIONS: Mutex<VecDeque<TcpListener>> = Mutex::new(VecDeque::new());

/// Reserves a port; returns whether no other program has reserved it.
fn reserve(port: u16) -> bool {
    let Ok(reservation) = TcpListener::bind((RESERVATION_ADDRESS, port)) else {
        return false;
    };
    let mut reservations = RESERVATIONS.lock().unwrap_or_else(PoisonError::into_inner);
    reservations.push_back(reservation);
    while reservations.len() > MAX_RESERVATIONS {
        reservations.pop_front();
    }
    true
}

/// Returns `count` free TCP addresses on the loopback interface.
pub fn free_tcp(count: usize) -> Vec<SocketAddr> {
    find_free(count, TCP_TABLE)
}

/// Returns two free TCP addresses with successive ports on the loopback interface.
pub fn free_tcp_pair() -> [SocketAddr; 2] {
    // Both ports are taken in one step: threads that took one at a time would each get every other one.
    loop {
        let first = next_address(2);
        let second = SocketAddr::new(first.ip(), first.port() + 1);
        if [first, second]
            .iter()
            .all(|address| is_usable(*address, TCP_TABLE))
        {
            return [first, second];
        }
    }
}

/// Returns `count` free UDP addresses on the loopback interface.
pub fn free_udp(count: usize) -> Vec<SocketAddr> {
    find_free(count, "/proc/net/udp")
}

/// Returns whether a port is not bound on the loopback address or on all addresses, by the system's
/// table of sockets; a system without this table has none that are known.
///
/// Binding the port for a moment would tell as much, but a process that another thread starts then
/// holds a copy of the socket until it executes its program.
fn is_free(port: u16, table: &str) -> bool {
    const LOOPBACK: &str = "0100007F";
    const ANY: &str = "00000000";
    let sockets = std::fs::read_to_string(table).unwrap_or_default();
    let bound = [LOOPBACK, ANY].map(|address| format!("{address}:{port:04X}"));
    let mut locals = sockets
        .lines()
        .filter_map(|line| line.split_whitespace().nth(1));
    !locals.any(|local| bound.iter().any(|bound| bound == local))
}

fn find_free(count: usize, table: &str) -> Vec<SocketAddr> {
    std::iter::repeat_with(|| next_address(1))
        .filter(|address| is_usable(*address, table))
        .take(count)
        .collect()
}

/// Returns the next address of the range, with the first of `count` successive ports.
fn next_address(count: u32) -> SocketAddr {
    let start = std::process::id().wrapping_mul(PROCESS_STRIDE);
    let next = NEXT_OFFSET.fetch_add(count, Ordering::Relaxed);
    let offset = start.wrapping_add(next) % PORT_COUNT;
    let port = u16::try_from(FIRST_PORT + offset).expect("the range ends below 65536");
    SocketAddr::from((Ipv4Addr::LOCALHOST, port))
}

fn is_usable(address: SocketAddr, table: &str) -> bool {
    reserve(address.port()) && is_free(address.port(), table)
}
