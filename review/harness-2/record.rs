//! The record of what was sent, answered and run.

use std::fs::File;
use std::io::Write;
use std::sync::{Mutex, OnceLock};
use std::time::Instant;

static RECORD: OnceLock<(Instant, Mutex<File>)> = OnceLock::new();

/// Opens the file of the record. Times count from now.
pub fn open(path: &str) {
    let file = File::create(path).expect("the record can be written");
    let _ = RECORD.set((Instant::now(), Mutex::new(file)));
}

/// Writes a line.
pub fn note(text: &str) {
    if let Some((start, file)) = RECORD.get() {
        let line = format!("{:8.3} s  {text}\n", start.elapsed().as_secs_f64());
        let _ = file.lock().expect("record").write_all(line.as_bytes());
    }
}
