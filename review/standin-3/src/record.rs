//! What was sent, answered and run, with the time since the start of the case.

use std::fs::File;
use std::io::Write;
use std::sync::Mutex;
use std::time::Instant;

pub struct Record {
    start: Instant,
    lines: Mutex<Vec<(f64, String)>>,
}

impl Record {
    pub fn new() -> Record {
        Record { start: Instant::now(), lines: Mutex::default() }
    }

    pub fn note(&self, line: impl Into<String>) {
        let at = self.start.elapsed().as_secs_f64();
        self.lines.lock().expect("no panic while it was held").push((at, line.into()));
    }

    /// Notes a line, and prints it. Nobody has to read what is printed.
    pub fn say(&self, line: impl Into<String>) {
        let line = line.into();
        let _result = writeln!(std::io::stdout(), "{line}");
        self.note(line);
    }

    /// Seconds since the start of the case.
    pub fn seconds(&self, at: Instant) -> f64 {
        at.saturating_duration_since(self.start).as_secs_f64()
    }

    pub fn save(&self, path: &str) {
        let mut lines = self.lines.lock().expect("no panic while it was held").clone();
        lines.sort_by(|a, b| a.0.total_cmp(&b.0));
        let text: String = lines.iter().map(|(at, it)| format!("{at:9.3} {it}\n")).collect();
        if let Err(error) = File::create(path).and_then(|mut it| it.write_all(text.as_bytes())) {
            eprintln!("{path}: {error}");
        }
    }
}
