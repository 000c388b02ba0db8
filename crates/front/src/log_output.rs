//! Structured log on standard output, through a bounded buffer that never blocks on a slow reader.

use std::collections::VecDeque;
use std::fmt;
use std::io;
use std::io::Write;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::PoisonError;

use rustix::fs::OFlags;
use tracing_subscriber::EnvFilter;
use tracing_subscriber::fmt::MakeWriter;

/// Size of the buffer for a slow reader, in bytes. Lines beyond it are dropped and counted.
const BUFFER_BYTES: usize = 256 * 1024;

/// Errors of setting up logging.
#[derive(Debug)]
pub enum LogError {
    /// Standard output cannot be made non-blocking.
    Output(io::Error),
    /// Logging has already been set up.
    AlreadySet,
}

impl fmt::Display for LogError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            LogError::Output(error) => {
                write!(f, "cannot make standard output non-blocking: {error}")
            }
            LogError::AlreadySet => write!(f, "logging is already set up"),
        }
    }
}

impl std::error::Error for LogError {}

#[derive(Debug, Default)]
struct LogBuffer {
    bytes: VecDeque<u8>,
    dropped: u64,
}

/// Buffer of the lines that have not been written yet.
#[derive(Debug, Clone, Default)]
pub struct LogOutput {
    buffer: Arc<Mutex<LogBuffer>>,
}

impl LogOutput {
    /// Writes as much as standard output accepts without blocking, and logs the count of dropped
    /// lines.
    pub fn flush(&self) {
        let mut buffer = self.buffer.lock().unwrap_or_else(PoisonError::into_inner);
        if buffer.dropped > 0 && buffer.bytes.len() < BUFFER_BYTES / 2 {
            let line = format!(
                "{{\"level\":\"WARN\",\"event\":\"log_lines_dropped\",\"count\":{}}}\n",
                buffer.dropped
            );
            buffer.bytes.extend(line.as_bytes());
            buffer.dropped = 0;
        }
        while !buffer.bytes.is_empty() {
            let (front, _) = buffer.bytes.as_slices();
            match rustix::io::write(rustix::stdio::stdout(), front) {
                Ok(0) | Err(_) => return,
                Ok(written) => drop(buffer.bytes.drain(..written)),
            }
        }
    }
}

/// Appends one log line to the buffer.
pub struct LogLine {
    buffer: Arc<Mutex<LogBuffer>>,
}

impl Write for LogLine {
    fn write(&mut self, line: &[u8]) -> io::Result<usize> {
        let mut buffer = self.buffer.lock().unwrap_or_else(PoisonError::into_inner);
        if buffer.bytes.len() + line.len() > BUFFER_BYTES {
            buffer.dropped += 1;
        } else {
            buffer.bytes.extend(line);
        }
        Ok(line.len())
    }

    fn flush(&mut self) -> io::Result<()> {
        Ok(())
    }
}

impl<'a> MakeWriter<'a> for LogOutput {
    type Writer = LogLine;

    fn make_writer(&'a self) -> LogLine {
        LogLine {
            buffer: Arc::clone(&self.buffer),
        }
    }
}

/// Sets up logging as JSON lines on standard output, which becomes non-blocking.
///
/// # Errors
///
/// See [`LogError`].
pub fn init_logging() -> Result<LogOutput, LogError> {
    let stdout = rustix::stdio::stdout();
    let flags = rustix::fs::fcntl_getfl(stdout).map_err(|e| LogError::Output(e.into()))?;
    rustix::fs::fcntl_setfl(stdout, flags | OFlags::NONBLOCK)
        .map_err(|error| LogError::Output(error.into()))?;
    let output = LogOutput::default();
    tracing_subscriber::fmt()
        .json()
        .flatten_event(true)
        .with_target(false)
        .with_env_filter(EnvFilter::new(
            "warn,front=info,tamaracklb_front=info,platform=info",
        ))
        .with_writer(output.clone())
        .try_init()
        .map_err(|_| LogError::AlreadySet)?;
    Ok(output)
}
