//! What the tool prints, as text or as JSON.

use std::io::{self, IsTerminal, Write};

use serde::Serialize;

use crate::error::Error;
use crate::report::Report;

/// How results are printed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Format {
    /// Text for people.
    Text,
    /// One JSON document.
    Json,
}

impl Format {
    /// The format that the words of a command line ask for, also if they cannot be parsed.
    pub(crate) fn of(words: &[&str]) -> Format {
        if words.contains(&"--json") { Format::Json } else { Format::Text }
    }
}

/// A colour of text on a terminal.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Colour {
    /// Of additions and good news.
    Green,
    /// Of removals and errors.
    Red,
    /// Of changes and warnings.
    Yellow,
}

/// Prints to the standard output and the standard error.
pub(crate) struct Output {
    pub(crate) format: Format,
    paint: Paint,
}

/// Whether colours are used on the standard output and the standard error.
struct Paint {
    output: bool,
    error: bool,
}

impl Output {
    /// Colours are used on terminals, unless `NO_COLOR` is set.
    pub(crate) fn new(format: Format) -> Output {
        let wanted = std::env::var_os("NO_COLOR").is_none_or(|value| value.is_empty());
        let output = wanted && format == Format::Text && io::stdout().is_terminal();
        let error = wanted && io::stderr().is_terminal();
        Output { format, paint: Paint { output, error } }
    }

    /// Prints a line of text; nothing in JSON.
    pub(crate) fn line(&self, line: &str) {
        if self.format == Format::Text {
            print(line);
        }
    }

    /// Prints a document; nothing as text.
    pub(crate) fn json(&self, value: &impl Serialize) -> Result<(), Error> {
        if self.format == Format::Json {
            print(&serde_json::to_string_pretty(value)?);
        }
        Ok(())
    }

    /// `text` in `colour` if the standard output takes colours.
    pub(crate) fn painted(&self, colour: Colour, text: &str) -> String {
        paint(self.paint.output, colour, text)
    }

    /// Prints progress to the standard error; nothing in JSON.
    pub(crate) fn progress(&self, line: &str) {
        if self.format == Format::Text {
            complain(line);
        }
    }

    /// Prints a warning to the standard error, in JSON as an object on a line of its own.
    pub(crate) fn warning(&self, line: &str) {
        match self.format {
            Format::Json => complain(&serde_json::json!({ "warning": line }).to_string()),
            Format::Text => {
                let word = paint(self.paint.error, Colour::Yellow, "warning:");
                complain(&format!("{word} {line}"));
            }
        }
    }

    /// Prints an error and what lies behind it to the standard error, in JSON as one object.
    pub(crate) fn error(&self, error: &Error) {
        if self.format == Format::Json {
            return report(&Report::new(error));
        }
        complain(&format!("{} {error}", paint(self.paint.error, Colour::Red, "error:")));
        for line in error.details() {
            complain(&format!("  {line}"));
        }
    }
}

/// Prints what is wrong with the command line to the standard error.
pub(crate) fn usage(message: &str, format: Format) {
    match format {
        Format::Text => complain(message),
        Format::Json => report(&Report::usage(message)),
    }
}

fn report(report: &Report) {
    match serde_json::to_string(report) {
        Ok(line) => complain(&line),
        Err(error) => complain(&error.to_string()),
    }
}

/// Prints a line to the standard output. A reader that has gone away is no error.
pub(crate) fn print(line: &str) {
    let _ = writeln!(io::stdout(), "{}", line.trim_end());
}

/// Prints a line to the standard error.
pub(crate) fn complain(line: &str) {
    let _ = writeln!(io::stderr(), "{}", line.trim_end());
}

fn paint(wanted: bool, colour: Colour, text: &str) -> String {
    let code = match colour {
        Colour::Red => 31,
        Colour::Green => 32,
        Colour::Yellow => 33,
    };
    match wanted {
        true => format!("\u{1b}[{code}m{text}\u{1b}[0m"),
        false => text.to_owned(),
    }
}
