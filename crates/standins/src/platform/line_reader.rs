//! Reads lines of the protocol, which end with CR LF.

use std::io;

use tokio::io::AsyncBufRead;
use tokio::io::AsyncBufReadExt;

/// Reads one line and returns it without its end, or `None` at the end of the stream. A line feed
/// without a carriage return belongs to the line.
///
/// # Errors
///
/// `InvalidData` if the line is not UTF-8, `UnexpectedEof` if the stream ends within a line.
pub async fn read_line(reader: &mut (impl AsyncBufRead + Unpin)) -> io::Result<Option<String>> {
    let mut line = Vec::new();
    while !line.ends_with(b"\r\n") {
        if reader.read_until(b'\n', &mut line).await? == 0 {
            return match line.is_empty() {
                true => Ok(None),
                false => Err(io::ErrorKind::UnexpectedEof.into()),
            };
        }
    }
    line.truncate(line.len() - 2);
    let line = String::from_utf8(line);
    line.map(Some)
        .map_err(|error| io::Error::new(io::ErrorKind::InvalidData, error))
}
