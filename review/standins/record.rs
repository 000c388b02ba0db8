//! The record of a run: one line an event, with milliseconds since the start.

use std::fs::File;
use std::io::Write;
use std::sync::Mutex;
use std::sync::OnceLock;
use std::time::Instant;

static RECORD: OnceLock<(Instant, Mutex<File>)> = OnceLock::new();

pub fn open(path: &str) -> std::io::Result<()> {
    let file = File::create(path)?;
    RECORD.get_or_init(|| (Instant::now(), Mutex::new(file)));
    Ok(())
}

pub fn line(text: &str) {
    if let Some((start, file)) = RECORD.get() {
        let at = start.elapsed().as_millis();
        let mut file = file.lock().unwrap_or_else(|e| e.into_inner());
        let _ = writeln!(file, "{at:>6} {text}");
    }
}

#[macro_export]
macro_rules! record {
    ($($arg:tt)*) => { $crate::record::line(&format!($($arg)*)) };
}
