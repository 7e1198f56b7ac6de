//! What happened, as lines of `record.txt`, and what else was broken.

use std::fs::File;
use std::io::Write as _;
use std::path::Path;
use std::sync::Mutex;
use std::time::Instant;

pub struct Record {
    start: Instant,
    file: Mutex<File>,
}

impl Record {
    pub fn new(path: &Path) -> Record {
        let file = File::create(path).expect("record.txt can be written");
        Record { start: Instant::now(), file: Mutex::new(file) }
    }

    pub fn seconds(&self, at: Instant) -> f64 {
        at.saturating_duration_since(self.start).as_secs_f64()
    }

    pub fn note(&self, line: impl AsRef<str>) {
        let at = self.start.elapsed().as_secs_f64();
        let mut file = self.file.lock().expect("no panic under the lock");
        drop(writeln!(file, "{at:8.3} {}", line.as_ref()));
    }

    /// Notes a line and prints it too.
    pub fn say(&self, line: impl AsRef<str>) {
        println!("{:8.3} {}", self.start.elapsed().as_secs_f64(), line.as_ref());
        self.note(line);
    }

    pub fn broken(&self, rule: &str, what: impl AsRef<str>) {
        self.say(format!("BROKEN {rule}: {}", what.as_ref()));
    }
}
