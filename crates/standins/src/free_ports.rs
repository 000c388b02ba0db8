//! Finds free loopback ports for programs that tests start.

use std::collections::VecDeque;
use std::net::Ipv4Addr;
use std::net::SocketAddr;
use std::net::TcpListener;
use std::net::UdpSocket;
use std::sync::Mutex;
use std::sync::PoisonError;
use std::sync::atomic::AtomicU32;
use std::sync::atomic::Ordering;

/// Ports below those that the operating system hands out itself: one of the latter can be taken by
/// any connection between the search and the start of the program.
const FIRST_PORT: u32 = 10_000;
const PORT_COUNT: u32 = 20_000;
/// Spreads test programs that run at the same time: multiples of this part of the range, the golden
/// ratio, stay far from each other.
const PROCESS_STRIDE: u32 = 12_361;

/// Where a port is marked as taken for other test programs, from when it is found to when its
/// program listens.
const MARK_ADDRESS: Ipv4Addr = Ipv4Addr::new(127, 0, 0, 2);

/// Marks that are kept: those of the last runs of a program that plays many.
const KEPT_MARKS: usize = 256;

static TAKEN: AtomicU32 = AtomicU32::new(0);
static MARKS: Mutex<VecDeque<TcpListener>> = Mutex::new(VecDeque::new());

/// Marks a port; returns whether no other program has marked it.
fn mark(port: u16) -> bool {
    let Ok(mark) = TcpListener::bind((MARK_ADDRESS, port)) else {
        return false;
    };
    let mut marks = MARKS.lock().unwrap_or_else(PoisonError::into_inner);
    marks.push_back(mark);
    while marks.len() > KEPT_MARKS {
        marks.pop_front();
    }
    true
}

/// Returns free TCP addresses.
pub fn free_tcp(count: usize) -> Vec<SocketAddr> {
    free(count, |address| TcpListener::bind(address).is_ok())
}

/// Returns free UDP addresses.
pub fn free_udp(count: usize) -> Vec<SocketAddr> {
    free(count, |address| UdpSocket::bind(address).is_ok())
}

fn free(count: usize, is_free: impl Fn(SocketAddr) -> bool) -> Vec<SocketAddr> {
    let start = std::process::id().wrapping_mul(PROCESS_STRIDE);
    let next = || {
        let offset = start.wrapping_add(TAKEN.fetch_add(1, Ordering::Relaxed)) % PORT_COUNT;
        let port = u16::try_from(FIRST_PORT + offset).expect("the range ends below 65536");
        SocketAddr::from((Ipv4Addr::LOCALHOST, port))
    };
    std::iter::repeat_with(next)
        .filter(|address| mark(address.port()) && is_free(*address))
        .take(count)
        .collect()
}
