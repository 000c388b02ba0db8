//! The record of what was sent, answered and run.

use std::fs::File;
use std::io::BufWriter;
use std::io::Write;
use std::path::Path;
use std::sync::Mutex;
use std::time::Instant;

pub struct Record {
    started: Instant,
    file: Mutex<BufWriter<File>>,
}

impl Record {
    pub fn create(path: &Path) -> Record {
        let file = File::create(path).expect("create the record");
        Record {
            started: Instant::now(),
            file: Mutex::new(BufWriter::new(file)),
        }
    }

    /// Writes a line with the time since the start.
    pub fn write(&self, line: &str) {
        let at = self.started.elapsed().as_secs_f64();
        let mut file = self.file.lock().expect("lock the record");
        writeln!(file, "{at:9.4} {line}").expect("write the record");
    }

    /// Writes a line that is also shown.
    pub fn show(&self, line: &str) {
        self.write(line);
        self.flush();
        println!("{line}");
    }

    pub fn flush(&self) {
        self.file
            .lock()
            .expect("lock the record")
            .flush()
            .expect("flush the record");
    }
}
