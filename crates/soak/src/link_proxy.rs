//! A loopback TCP proxy that injects faults into the connections through it.

use std::io;
use std::net::Ipv4Addr;
use std::net::SocketAddr;
use std::time::Duration;

use tokio::io::AsyncReadExt;
use tokio::io::AsyncWriteExt;
use tokio::net::TcpListener;
use tokio::net::TcpStream;
use tokio::net::tcp::ReadHalf;
use tokio::net::tcp::WriteHalf;
use tokio::sync::watch;

const CHUNK_BYTES: usize = 16 * 1024;

/// Fault of a link.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub enum LinkFault {
    /// No fault: bytes are forwarded at once.
    #[default]
    None,
    /// Each chunk is delayed by this time.
    Delay(Duration),
    /// Bytes are held back in both directions.
    Silent,
    /// Bytes from the client to the target are held back.
    SilentToTarget,
    /// Bytes from the target to the client are held back.
    SilentFromTarget,
}

#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum LinkDirection {
    ToTarget,
    FromTarget,
}

#[derive(Debug, Clone, Copy, Default)]
struct LinkState {
    fault: LinkFault,
    resets: u64,
}

/// A proxy in front of one target address. Bytes that a fault holds back are forwarded when the
/// fault ends.
#[derive(Debug, Clone)]
pub struct LinkProxy {
    /// Address on which the proxy listens.
    pub address: SocketAddr,
    state: watch::Sender<LinkState>,
}

impl LinkProxy {
    /// Starts a proxy to `target` on the current Tokio runtime.
    ///
    /// # Errors
    ///
    /// Returns an error if no loopback port can be bound.
    pub async fn start(target: SocketAddr) -> io::Result<Self> {
        let listener = TcpListener::bind((Ipv4Addr::LOCALHOST, 0)).await?;
        let address = listener.local_addr()?;
        let state = watch::Sender::new(LinkState::default());
        let sender = state.clone();
        tokio::spawn(async move {
            while let Ok((stream, _)) = listener.accept().await {
                let states = sender.subscribe();
                // Errors are ignored: either side may close or lose its connection at any time.
                tokio::spawn(async move { forward(stream, target, states).await.ok() });
            }
        });
        Ok(Self { address, state })
    }

    /// Replaces the fault of the link, for open and new connections.
    pub fn set_fault(&self, fault: LinkFault) {
        self.state.send_modify(|state| state.fault = fault);
    }

    /// Resets all open connections.
    pub fn reset(&self) {
        self.state.send_modify(|state| state.resets += 1);
    }
}

async fn forward(
    mut client: TcpStream,
    target: SocketAddr,
    mut states: watch::Receiver<LinkState>,
) -> io::Result<()> {
    let resets = states.borrow_and_update().resets;
    let mut server = TcpStream::connect(target).await?;
    client.set_nodelay(true)?;
    server.set_nodelay(true)?;
    {
        let (client_read, client_write) = client.split();
        let (server_read, server_write) = server.split();
        let to_target = copy_bytes(
            client_read,
            server_write,
            states.clone(),
            LinkDirection::ToTarget,
        );
        let from_target = copy_bytes(
            server_read,
            client_write,
            states.clone(),
            LinkDirection::FromTarget,
        );
        tokio::select! {
            result = to_target => return result,
            result = from_target => return result,
            _ = states.wait_for(|state| state.resets > resets) => {}
        }
    }
    // With a linger time of zero, closing the socket sends a reset.
    client.set_zero_linger()?;
    server.set_zero_linger()
}

async fn copy_bytes(
    mut from: ReadHalf<'_>,
    mut to: WriteHalf<'_>,
    mut states: watch::Receiver<LinkState>,
    direction: LinkDirection,
) -> io::Result<()> {
    let mut chunk = [0; CHUNK_BYTES];
    loop {
        let size = from.read(&mut chunk).await?;
        if size == 0 {
            return Ok(());
        }
        let forwards = |state: &LinkState| match state.fault {
            LinkFault::None | LinkFault::Delay(_) => true,
            LinkFault::Silent => false,
            LinkFault::SilentToTarget => direction == LinkDirection::FromTarget,
            LinkFault::SilentFromTarget => direction == LinkDirection::ToTarget,
        };
        let fault = match states.wait_for(forwards).await {
            Ok(state) => state.fault,
            Err(_) => return Ok(()),
        };
        if let LinkFault::Delay(time) = fault {
            tokio::time::sleep(time).await;
        }
        to.write_all(&chunk[..size]).await?;
    }
}
