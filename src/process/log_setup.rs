//! Sets up logging as text or JSON, with a level that can change at run time.

use std::fmt;

use tracing::Level;
use tracing_subscriber::EnvFilter;
use tracing_subscriber::Registry;
use tracing_subscriber::layer::SubscriberExt;
use tracing_subscriber::reload;
use tracing_subscriber::util::SubscriberInitExt;

use crate::process::settings::LogFormat;

/// Why logging cannot be set up or changed.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum LogSetupError {
    /// Logging is already set up.
    AlreadySet,
    /// The logging setup no longer exists.
    Gone,
}

impl fmt::Display for LogSetupError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            LogSetupError::AlreadySet => write!(f, "logging is already set up"),
            LogSetupError::Gone => write!(f, "logging is no longer set up"),
        }
    }
}

impl std::error::Error for LogSetupError {}

/// Changes the log level of a running process.
#[derive(Clone)]
pub struct LogControl {
    handle: reload::Handle<EnvFilter, Registry>,
}

impl LogControl {
    /// Sets the least severe level that is logged.
    ///
    /// Returns [`LogSetupError::Gone`] if the logging setup no longer exists.
    pub fn set_level(&self, level: Level) -> Result<(), LogSetupError> {
        self.handle
            .reload(level_filter(level))
            .map_err(|_| LogSetupError::Gone)
    }
}

/// Starts writing log lines to standard error.
///
/// Returns [`LogSetupError::AlreadySet`] if the process has set up logging before.
pub fn init_logging(format: LogFormat, level: Level) -> Result<LogControl, LogSetupError> {
    let (filter, handle) = reload::Layer::new(level_filter(level));
    let registry = tracing_subscriber::registry().with(filter);
    let layer = tracing_subscriber::fmt::layer().with_writer(std::io::stderr);
    let outcome = match format {
        LogFormat::Text => registry.with(layer.with_ansi(false)).try_init(),
        LogFormat::Json => registry.with(layer.json().flatten_event(true)).try_init(),
    };
    outcome.map_err(|_| LogSetupError::AlreadySet)?;
    Ok(LogControl { handle })
}

/// Returns a filter that applies the level to this program only.
///
/// Libraries log warnings and errors at most, because some of them log message contents at lower
/// levels.
fn level_filter(level: Level) -> EnvFilter {
    let libraries = level.min(Level::WARN);
    EnvFilter::new(format!(
        "{libraries},tamaracklb={level},tamaracklbd={level}"
    ))
}
