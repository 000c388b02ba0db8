//! Holds up connections to the promotion service of the stand-in.

use std::net::Ipv4Addr;
use std::net::SocketAddr;
use std::time::Duration;

use tokio::net::TcpListener;
use tokio::net::TcpSocket;
use tokio::net::TcpStream;
use tokio::time::timeout;

/// Time within which the kernel of a client sends the request for a connection again.
const ARRIVAL_TIME: Duration = Duration::from_secs(4);

/// An address at which connections cannot be opened until the gate is.
pub struct PromotionGate {
    /// The address.
    pub address: SocketAddr,
    listener: TcpListener,
    /// Fills the queue of the listener, so that further connections are not accepted.
    _filler: TcpStream,
}

impl PromotionGate {
    /// Binds the address of a closed gate.
    pub async fn closed() -> Self {
        let socket = TcpSocket::new_v4().expect("create a socket");
        let any_port = SocketAddr::from((Ipv4Addr::LOCALHOST, 0));
        socket.bind(any_port).expect("bind a port");
        // The queue has room for one connection more than this.
        let listener = socket.listen(0).expect("listen on the port");
        let address = listener.local_addr().expect("a bound address");
        let filler = TcpStream::connect(address).await;
        Self {
            address,
            listener,
            _filler: filler.expect("fill the queue"),
        }
    }

    /// Opens the gate and returns the first connection that was held up. All later ones are passed on to
    /// `target`.
    pub async fn open(self, target: SocketAddr) -> TcpStream {
        self.listener.accept().await.expect("accept the filler");
        let held = timeout(ARRIVAL_TIME, self.listener.accept()).await;
        let (held, _) = held
            .expect("a connection was held up")
            .expect("accept the connection");
        tokio::spawn(async move {
            while let Ok((mut stream, _)) = self.listener.accept().await {
                tokio::spawn(async move {
                    let mut onward = TcpStream::connect(target).await.expect("connect");
                    // An error only means that a side has closed its connection.
                    tokio::io::copy_bidirectional(&mut stream, &mut onward)
                        .await
                        .ok()
                });
            }
        });
        held
    }
}
