//! Memory of the router's state by target, by slot's holder and by waiting request.

mod support;

use std::fs;

use decision::prelude::*;
use decision::request::Request;
use decision::router::Router;
use support::name;

/// Bytes of one page of memory.
const PAGE: usize = 4_096;

const ROUTERS: usize = 50;

const REQUESTS: usize = 100_000;

fn main() {
    let base = resident();
    let empty: Vec<Router> = (0..ROUTERS).map(|_| router(360, 0)).collect();
    let with_none = resident();
    let full: Vec<Router> = (0..ROUTERS).map(|_| router(360, 600)).collect();
    let with_targets = resident();
    let per_target = (with_targets - with_none) / (ROUTERS * 600);
    println!("state                                   bytes");
    println!("one entry without targets, 360 entries  {}", (with_none - base) / ROUTERS);
    println!("one target                              {per_target}");
    let mut busy = router(1, 1);
    let before = resident();
    for index in 0..REQUESTS as u64 {
        busy.admit(Time::from_millis(600), request(index));
    }
    println!("one waiting request, 32 prefix blocks   {}", (resident() - before) / REQUESTS);
    drop((empty, full));
}

/// Bytes of memory that the process has in use.
fn resident() -> usize {
    let text = fs::read_to_string("/proc/self/statm").unwrap_or_default();
    let pages = text.split_whitespace().nth(1).and_then(|it| it.parse::<usize>().ok());
    pages.unwrap_or_default() * PAGE
}

fn router(entries: usize, replicas: usize) -> Router {
    support::router(entries, replicas, 0, REQUESTS as u32)
}

fn request(index: u64) -> Request {
    Request {
        service: name("s".into()),
        workspace: name(format!("w{}", index % 10)),
        prompt_tokens: 500,
        output_tokens: 200,
        prefix: (0..32).map(|block| block * 7 + index).collect(),
        ..Request::default()
    }
}
