//! Plays the users' platform for the cases of the review: `review-standin CASE FOLDER`. The exit
//! code is 1 if the rule was broken, 0 if it held, and 2 if the case couldn't run.

mod config;
mod consumers;
mod entry;
mod http;
mod json;
mod memory;
mod record;
mod replicas;
mod services;
mod stale;
mod store;

use std::path::PathBuf;
use std::process::exit;

fn main() {
    let mut arguments = std::env::args().skip(1);
    let (case, folder) = (arguments.next(), arguments.next());
    let has_trouble = std::env::var("TROUBLE").map_or(true, |it| it != "0");
    let Some(folder) = folder.map(PathBuf::from) else {
        eprintln!("usage: review-standin CASE FOLDER");
        exit(2);
    };
    let is_broken = match case.as_deref() {
        Some("memory") => memory::play(&folder, has_trouble),
        Some("services") => services::play(&folder, has_trouble),
        Some("stale") => stale::play(&folder, has_trouble),
        _ => {
            eprintln!("there is no such case");
            exit(2);
        }
    };
    exit(i32::from(is_broken));
}
