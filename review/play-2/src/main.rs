//! Plays the cases of the second independent review: `play-2 CASE ENTRY FOLDER RECORD`, with
//! `TROUBLE=0` in the environment without the disruption. Exits with 1 if the rule was broken, 0 if
//! it held, and 2 if the case couldn't run.

mod http;
mod json;
mod leave;
mod limits;
mod link;
mod parts;
mod silence;
mod store;
mod streams;
mod world;

use std::path::PathBuf;
use std::process::ExitCode;

fn main() -> ExitCode {
    let words: Vec<String> = std::env::args().collect();
    let [_, case, entry, folder, record] = words.as_slice() else {
        eprintln!("play-2 CASE ENTRY FOLDER RECORD");
        return ExitCode::from(2);
    };
    let (entry, folder, record) =
        (PathBuf::from(entry), PathBuf::from(folder), PathBuf::from(record));
    let has_trouble = std::env::var("TROUBLE").map_or(true, |it| it != "0");
    let played = match case.as_str() {
        "leave" => leave::play(&entry, &folder, &record, has_trouble),
        "parts" => parts::play(&entry, &folder, &record, has_trouble),
        "silence" => silence::play(&entry, &folder, &record, has_trouble),
        "limits" => limits::play(&entry, &folder, &record, has_trouble),
        _ => {
            eprintln!("no such case: {case}");
            return ExitCode::from(2);
        }
    };
    match played {
        Ok(0) => ExitCode::SUCCESS,
        Ok(count) => {
            println!("the rule was broken {count} times");
            ExitCode::from(1)
        }
        Err(error) => {
            eprintln!("the case couldn't run: {error}");
            ExitCode::from(2)
        }
    }
}
