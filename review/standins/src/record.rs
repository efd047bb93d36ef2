//! Record of what was sent, answered and run.

use std::fs::File;
use std::io::Write;
use std::path::Path;
use std::sync::{Arc, Mutex};
use std::time::Instant;

/// Record of a case; each line starts with the milliseconds since its start.
#[derive(Clone)]
pub struct Record {
    start: Instant,
    file: Arc<Mutex<File>>,
}

impl Record {
    pub fn create(path: &Path) -> std::io::Result<Self> {
        Ok(Self {
            start: Instant::now(),
            file: Arc::new(Mutex::new(File::create(path)?)),
        })
    }

    pub fn millis(&self) -> u64 {
        self.start.elapsed().as_millis() as u64
    }

    pub fn note(&self, text: &str) {
        let line = format!("{:>7} {text}\n", self.millis());
        let mut file = self.file.lock().unwrap();
        file.write_all(line.as_bytes()).unwrap();
    }

    /// Records a line and prints it.
    pub fn say(&self, text: &str) {
        println!("{:>7} {text}", self.millis());
        self.note(text);
    }
}
