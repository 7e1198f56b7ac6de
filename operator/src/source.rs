//! Reads declarations from a file, a directory or the standard input.

use std::collections::BTreeMap;
use std::collections::btree_map::Entry;
use std::fmt;
use std::fs;
use std::io::{self, Read};
use std::path::{Path, PathBuf};

use decision::declaration::{Declaration, Id};

pub use crate::source::error::Error;
use crate::source::field::Field;

mod error;
mod field;

/// Largest file, in bytes.
pub const MAX_FILE_BYTES: u64 = 8 << 20;
/// Most files in a directory and those below it.
pub const MAX_FILES: usize = 4_096;
/// Deepest nesting of directories.
const MAX_DEPTH: usize = 8;

/// Where declarations are kept.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Source {
    /// The standard input.
    Input,
    /// A file, or a directory whose `.json` files are read, those in directories below included.
    Path(PathBuf),
}

/// A declaration and where it stands.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Declared {
    /// The declaration.
    pub declaration: Declaration,
    /// The file it stands in.
    pub file: Source,
    /// Whether the file says if a failure domain or an instance takes work.
    pub state: Mention,
}

/// Whether a field stands in a file or takes its default.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Mention {
    /// The field stands in the file.
    Given,
    /// The field is left out.
    Omitted,
}

/// Reads all declarations of `source`, ordered by kind and name.
///
/// # Errors
///
/// Returns every error that was found.
pub fn read(source: &Source) -> Result<Vec<Declared>, Vec<Error>> {
    let mut reader = Reader::default();
    match source {
        Source::Input => reader.input(),
        Source::Path(path) if path.is_dir() => {
            let mut paths = Vec::new();
            reader.directory(path, MAX_DEPTH, &mut paths);
            paths.sort();
            paths.iter().for_each(|path| reader.file(path));
        }
        Source::Path(path) => reader.file(path),
    }
    reader.finish()
}

/// Reads the declarations of one text, which holds one object or an array of objects.
///
/// # Errors
///
/// Returns every error that was found.
pub fn parse(text: &str, file: &Source) -> Result<Vec<Declared>, Vec<Error>> {
    let mut reader = Reader::default();
    reader.text(text, file);
    reader.finish()
}

/// The errors of declarations that stand in two sources.
pub fn repeated(declared: &[Declared]) -> Vec<Error> {
    let mut reader = Reader::default();
    declared.iter().for_each(|it| reader.add(it.clone()));
    reader.errors
}

/// What was read so far.
#[derive(Default)]
struct Reader {
    found: BTreeMap<Id, Declared>,
    errors: Vec<Error>,
}

impl Reader {
    fn finish(self) -> Result<Vec<Declared>, Vec<Error>> {
        if self.errors.is_empty() {
            return Ok(self.found.into_values().collect());
        }
        Err(self.errors)
    }

    fn directory(&mut self, directory: &Path, depth: usize, paths: &mut Vec<PathBuf>) {
        let entries = match fs::read_dir(directory) {
            Ok(entries) => entries,
            Err(error) => return self.unreadable(&Source::Path(directory.to_owned()), error),
        };
        for path in entries.flatten().map(|entry| entry.path()) {
            let hidden = path.file_name().is_some_and(|it| it.as_encoded_bytes().starts_with(b"."));
            let is_json = path.extension().is_some_and(|it| it == "json");
            if path.is_dir() && depth > 0 && !hidden {
                self.directory(&path, depth - 1, paths);
            } else if is_json && !hidden && paths.len() < MAX_FILES {
                paths.push(path);
            } else if is_json && !hidden {
                let file = Source::Path(path);
                return self.errors.push(Error::Files { file, limit: MAX_FILES });
            }
        }
    }

    fn file(&mut self, path: &Path) {
        let file = Source::Path(path.to_owned());
        match fs::File::open(path) {
            Ok(opened) => self.stream(opened, &file),
            Err(error) => self.unreadable(&file, error),
        }
    }

    fn input(&mut self) {
        self.stream(io::stdin().lock(), &Source::Input);
    }

    fn stream(&mut self, stream: impl Read, file: &Source) {
        let mut text = String::new();
        match stream.take(MAX_FILE_BYTES + 1).read_to_string(&mut text) {
            Err(error) => self.unreadable(file, error),
            Ok(length) if length as u64 > MAX_FILE_BYTES => {
                self.errors.push(Error::Large { file: file.clone(), limit: MAX_FILE_BYTES });
            }
            Ok(_) => self.text(&text, file),
        }
    }

    fn unreadable(&mut self, file: &Source, source: io::Error) {
        self.errors.push(Error::Unreadable { file: file.clone(), source });
    }

    fn text(&mut self, text: &str, file: &Source) {
        let value = match serde_json::from_str(text) {
            Ok(value) => value,
            Err(source) => {
                return self.errors.push(Error::Syntax { file: file.clone(), source });
            }
        };
        match value {
            serde_json::Value::Array(values) => {
                for (index, value) in values.iter().enumerate() {
                    self.value(value, file, index);
                }
            }
            value => self.value(&value, file, 0),
        }
    }

    fn value(&mut self, value: &serde_json::Value, file: &Source, index: usize) {
        let declaration = match field::read(value) {
            Ok(declaration) => declaration,
            Err(fields) => return self.fields(value, file, index, fields),
        };
        let state = match value.get("state") {
            Some(_) => Mention::Given,
            None => Mention::Omitted,
        };
        self.add(Declared { declaration, file: file.clone(), state });
    }

    fn add(&mut self, declared: Declared) {
        match self.found.entry(declared.declaration.id()) {
            Entry::Vacant(place) => {
                place.insert(declared);
            }
            Entry::Occupied(first) => {
                let Id { kind, name } = first.key().clone();
                let (file, first) = (declared.file, first.get().file.clone());
                self.errors.push(Error::Twice { file, first, kind, name });
            }
        }
    }

    fn fields(
        &mut self,
        value: &serde_json::Value,
        file: &Source,
        index: usize,
        fields: Vec<Field>,
    ) {
        let subject = field::subject(value, index);
        let error = |Field { path, value, reason }| Error::Field {
            file: file.clone(),
            subject: subject.clone(),
            path,
            value,
            reason,
        };
        self.errors.extend(fields.into_iter().map(error));
    }
}

impl Source {
    /// The path of the standard input, for command-line parsers that take `-` for an option.
    pub const INPUT: &str = "/dev/stdin";

    /// The source that a command-line argument names: `-` is the standard input.
    pub fn from_argument(argument: &str) -> Source {
        match argument {
            "-" | Source::INPUT => Source::Input,
            path => Source::Path(path.into()),
        }
    }
}

impl fmt::Display for Source {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Source::Input => f.write_str("standard input"),
            Source::Path(path) => path.display().fmt(f),
        }
    }
}
