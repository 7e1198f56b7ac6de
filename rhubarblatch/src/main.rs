//! The command-line tool.

use std::process::ExitCode;

fn main() -> ExitCode {
    rhubarblatch::run(std::env::args())
}
