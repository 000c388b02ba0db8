//! A proxy on loopback that disturbs the connections through it.

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

/// What is wrong with a link.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub enum LinkFault {
    /// Nothing.
    #[default]
    None,
    /// Bytes are late.
    Delay(Duration),
    /// No bytes pass.
    Silent,
    /// No bytes pass from the side that connects.
    SilentForth,
    /// No bytes pass to the side that connects.
    SilentBack,
}

#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum LinkDirection {
    Forth,
    Back,
}

#[derive(Debug, Clone, Copy, Default)]
struct LinkState {
    fault: LinkFault,
    resets: u64,
}

/// A proxy before one address; bytes that it holds back are passed on when the fault ends.
#[derive(Debug, Clone)]
pub struct LinkProxy {
    /// Where it listens.
    pub address: SocketAddr,
    state: watch::Sender<LinkState>,
}

impl LinkProxy {
    /// Starts a proxy on the present runtime.
    ///
    /// # Errors
    ///
    /// Fails where no address can be listened on.
    pub async fn start(target: SocketAddr) -> io::Result<Self> {
        let listener = TcpListener::bind((Ipv4Addr::LOCALHOST, 0)).await?;
        let address = listener.local_addr()?;
        let state = watch::Sender::new(LinkState::default());
        let states = state.clone();
        tokio::spawn(async move {
            while let Ok((stream, _)) = listener.accept().await {
                let states = states.subscribe();
                // A side that leaves ends the connection, which is nobody's concern.
                tokio::spawn(async move { carry(stream, target, states).await.ok() });
            }
        });
        Ok(Self { address, state })
    }

    /// Disturbs the link from now on.
    pub fn set_fault(&self, fault: LinkFault) {
        self.state.send_modify(|state| state.fault = fault);
    }

    /// Ends all connections with a reset.
    pub fn reset(&self) {
        self.state.send_modify(|state| state.resets += 1);
    }
}

async fn carry(
    mut near: TcpStream,
    target: SocketAddr,
    mut states: watch::Receiver<LinkState>,
) -> io::Result<()> {
    let resets = states.borrow_and_update().resets;
    let mut far = TcpStream::connect(target).await?;
    near.set_nodelay(true)?;
    far.set_nodelay(true)?;
    {
        let (near_read, near_write) = near.split();
        let (far_read, far_write) = far.split();
        let forth = pump(near_read, far_write, states.clone(), LinkDirection::Forth);
        let back = pump(far_read, near_write, states.clone(), LinkDirection::Back);
        tokio::select! {
            ended = forth => return ended,
            ended = back => return ended,
            _ = states.wait_for(|state| state.resets > resets) => {}
        }
    }
    // Without a linger time, closing resets the connection.
    near.set_zero_linger()?;
    far.set_zero_linger()
}

async fn pump(
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
        let passes = |state: &LinkState| match state.fault {
            LinkFault::None | LinkFault::Delay(_) => true,
            LinkFault::Silent => false,
            LinkFault::SilentForth => direction == LinkDirection::Back,
            LinkFault::SilentBack => direction == LinkDirection::Forth,
        };
        let fault = match states.wait_for(passes).await {
            Ok(state) => state.fault,
            Err(_) => return Ok(()),
        };
        if let LinkFault::Delay(time) = fault {
            tokio::time::sleep(time).await;
        }
        to.write_all(&chunk[..size]).await?;
    }
}
