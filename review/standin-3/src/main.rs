//! Plays one case of the review: `standin-3 CASE RECORD`. Exits with 1 if the rule was broken, 0 if it
//! held, and 2 if the case could not run. With TROUBLE=0 it leaves the disruption out.

mod cold_share;
mod entry;
mod http;
mod json;
mod link;
mod lost_answer;
mod lost_evacuation;
mod record;
mod replica;
mod scene;
mod store;

use std::process::ExitCode;
use std::sync::Arc;

use record::Record;

/// How a case ended.
pub enum Outcome {
    Broken,
    Held,
    NotRun(String),
}

fn main() -> ExitCode {
    let arguments: Vec<String> = std::env::args().collect();
    let [_, case, path] = arguments.as_slice() else {
        eprintln!("usage: standin-3 CASE RECORD");
        return ExitCode::from(2);
    };
    let has_trouble = std::env::var("TROUBLE").as_deref() != Ok("0");
    let record = Arc::new(Record::new());
    record.note(format!("case {case}, with its disruption: {has_trouble}"));
    let outcome = match case.as_str() {
        "cold-share" => cold_share::play(&record, has_trouble),
        "lost-evacuation" => lost_evacuation::play(&record, has_trouble),
        "lost-answer" => lost_answer::play(&record, has_trouble),
        _ => Outcome::NotRun("there is no such case".into()),
    };
    let (code, text) = match outcome {
        Outcome::Broken => (1, "the rule was broken".to_owned()),
        Outcome::Held => (0, "the rule held".to_owned()),
        Outcome::NotRun(reason) => (2, format!("the case could not run: {reason}")),
    };
    record.say(text);
    record.save(path);
    ExitCode::from(code)
}
