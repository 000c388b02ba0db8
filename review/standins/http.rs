//! An HTTP/1.1 server for the stand-ins of the platform, behind a link that can be cut.

use std::collections::HashMap;
use std::io::BufRead;
use std::io::BufReader;
use std::io::ErrorKind;
use std::io::Read;
use std::io::Write;
use std::net::TcpListener;
use std::net::TcpStream;
use std::sync::Arc;
use std::sync::Condvar;
use std::sync::Mutex;

use crate::record;

/// The path between one machine and the platform.
#[derive(Default)]
pub struct Link {
    cut: Mutex<bool>,
    healed: Condvar,
}

impl Link {
    pub fn cut(&self) {
        *self.cut.lock().unwrap() = true;
    }

    pub fn heal(&self) {
        *self.cut.lock().unwrap() = false;
        self.healed.notify_all();
    }

    pub fn is_cut(&self) -> bool {
        *self.cut.lock().unwrap()
    }

    fn wait_healed(&self) {
        let mut cut = self.cut.lock().unwrap();
        while *cut {
            cut = self.healed.wait(cut).unwrap();
        }
    }
}

pub struct Call {
    pub method: String,
    pub path: String,
    pub query: HashMap<String, String>,
    pub headers: HashMap<String, String>,
    pub body: String,
}

/// Answers a call; `None` loses the answer, after which the connection stays silent.
pub type Handler = Arc<dyn Fn(&Call) -> Option<(u16, String)> + Send + Sync>;

pub fn serve(listener: TcpListener, name: String, link: Arc<Link>, handler: Handler) {
    std::thread::spawn(move || {
        for stream in listener.incoming().flatten() {
            let (name, link, handler) = (name.clone(), Arc::clone(&link), Arc::clone(&handler));
            std::thread::spawn(move || {
                let _ = serve_connection(stream, &name, &link, &handler);
            });
        }
    });
}

fn serve_connection(
    mut stream: TcpStream,
    name: &str,
    link: &Link,
    handler: &Handler,
) -> std::io::Result<()> {
    // A connection whose opening packet meets the cut never comes about.
    let opened_in_cut = link.is_cut();
    stream.set_nodelay(true)?;
    let mut reader = BufReader::new(stream.try_clone()?);
    while let Some(call) = read_call(&mut reader)? {
        if opened_in_cut {
            link.wait_healed();
            return Ok(());
        }
        if link.is_cut() {
            record!("{name}: the cut holds up {} {}", call.method, call.path);
            link.wait_healed();
            if was_reset(&stream) {
                record!("{name}: {} {} was lost, its sender has reset", call.method, call.path);
                return Ok(());
            }
            record!("{name}: {} {} arrives after the cut", call.method, call.path);
        }
        let answer = handler(&call);
        link.wait_healed();
        let Some((status, body)) = answer else {
            let mut rest = Vec::new();
            reader.read_to_end(&mut rest)?;
            return Ok(());
        };
        let head = format!(
            "HTTP/1.1 {status} X\r\nContent-Type: application/json\r\nContent-Length: {}\r\n\r\n",
            body.len()
        );
        stream.write_all(format!("{head}{body}").as_bytes())?;
    }
    Ok(())
}

/// Bytes that a partition holds up are lost if their sender resets the connection.
fn was_reset(stream: &TcpStream) -> bool {
    let mut byte = [0];
    let _ = stream.set_nonblocking(true);
    let peeked = stream.peek(&mut byte);
    let _ = stream.set_nonblocking(false);
    matches!(peeked, Err(error) if error.kind() != ErrorKind::WouldBlock)
}

fn read_call(reader: &mut impl BufRead) -> std::io::Result<Option<Call>> {
    let mut line = String::new();
    if reader.read_line(&mut line)? == 0 {
        return Ok(None);
    }
    let mut words = line.split_whitespace();
    let method = words.next().unwrap_or_default().to_owned();
    let target = words.next().unwrap_or_default().to_owned();
    let mut headers = HashMap::new();
    loop {
        let mut line = String::new();
        if reader.read_line(&mut line)? == 0 {
            return Ok(None);
        }
        match line.trim_end().split_once(':') {
            Some((name, value)) => {
                headers.insert(name.to_ascii_lowercase(), value.trim().to_owned());
            }
            None => break,
        }
    }
    let length = headers.get("content-length").and_then(|l| l.parse().ok());
    let mut body = vec![0; length.unwrap_or(0)];
    reader.read_exact(&mut body)?;
    let (path, query) = target.split_once('?').unwrap_or((&target, ""));
    let query = query
        .split('&')
        .filter_map(|pair| pair.split_once('='))
        .map(|(name, value)| (name.to_owned(), unescape(value)))
        .collect();
    Ok(Some(Call {
        method,
        path: path.to_owned(),
        query,
        headers,
        body: String::from_utf8_lossy(&body).into_owned(),
    }))
}

fn unescape(text: &str) -> String {
    let bytes = text.as_bytes();
    let mut plain = Vec::new();
    let mut at = 0;
    while at < bytes.len() {
        if bytes[at] == b'%' {
            let code = text.get(at + 1..at + 3).unwrap_or("00");
            plain.push(u8::from_str_radix(code, 16).unwrap_or(0));
            at += 3;
        } else {
            plain.push(bytes[at]);
            at += 1;
        }
    }
    String::from_utf8_lossy(&plain).into_owned()
}
