//! The command-line tool as a library.

mod apply;
mod arguments;
mod client;
mod command;
mod difference;
mod error;
mod forget;
mod output;
mod report;
mod settings;
mod table;

use std::process::ExitCode;

use argh::FromArgs;
use operator::source::Source;

use crate::arguments::Arguments;
use crate::error::Code;
use crate::output::{Format, Output};

/// Runs the tool with the words of its command line, the program's name first.
pub fn run(words: impl IntoIterator<Item = String>) -> ExitCode {
    let words: Vec<String> = words.into_iter().collect();
    let words: Vec<&str> = words.iter().map(|word| positional(word)).collect();
    let (name, rest) = words.split_first().map_or(("rhubarblatch", &[][..]), |(a, b)| (a, b));
    let arguments = match Arguments::from_args(&[name], rest) {
        Ok(arguments) => arguments,
        Err(exit) => return leave(&exit, Format::of(rest)),
    };
    let output = Output::new(arguments.command.format());
    match command::run(&arguments, &output) {
        Ok(()) => Code::Done.into(),
        Err(error) => {
            output.error(&error);
            error.code().into()
        }
    }
}

/// The word itself, but for `-`, which the parser would take for an option.
fn positional(word: &str) -> &str {
    if word == "-" { Source::INPUT } else { word }
}

fn leave(exit: &argh::EarlyExit, format: Format) -> ExitCode {
    match exit.status {
        Ok(()) => {
            output::print(&exit.output);
            Code::Done.into()
        }
        Err(()) => {
            output::usage(&exit.output, format);
            Code::Usage.into()
        }
    }
}
