//! DENIED: a configuration raises the limit of a request's head, and channels from before refuse
//! what it allows.

use std::path::Path;
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::Duration;

use crate::http::Channel;
use crate::store::Store;
use crate::world::{Arrival, Entry, Record, Replica};

/// Kept channels, each with one large request after the change.
const CHANNELS: usize = 20;

/// Bytes of the header that the later version allows.
const LARGE: usize = 30_000;

fn config(version: u64, head_bytes: u64) -> String {
    format!(
        "{{\"version\":{version},\"routes\":[{{\"name\":\"r-1\",\
         \"hostname\":\"status.example\",\"path_prefix\":\"/status/\",\"type\":\"safe\",\
         \"timeout_ms\":800,\"goal_ms\":150,\"priority\":2,\"service\":\"status\",\
         \"attempts\":2,\"public\":true,\"affinity\":false,\"resumable\":false}}],\
         \"services\":[{{\"name\":\"status\",\"health_path\":\"/healthz\",\"max_conns\":110,\
         \"protocol\":\"h1\",\"tls\":false,\"warmup_s\":0.0,\"warmup_per_s\":0.0}}],\
         \"limits\":{{\"max_header_bytes\":{head_bytes},\"max_body_bytes\":4194304,\
         \"header_timeout_ms\":3000,\"idle_timeout_ms\":15000}},\"tenants\":[]}}"
    )
}

pub fn play(
    program: &Path,
    folder: &Path,
    record: &Path,
    has_trouble: bool,
) -> std::io::Result<usize> {
    let record = Record::new(record)?;
    let (store, address) = Store::start()?;
    let (small, large) = (16_384, 65_536);
    store.put("config", "main", &config(7, if has_trouble { small } else { large }));
    let arrivals: Arc<Mutex<Vec<Arrival>>> = Arc::default();
    let replica = Replica::start("i-1", &record, &arrivals)?;
    replica.register(&store, "status");
    let entry = Entry::start(program, folder, address)?;
    if !entry.wait_until_ready() {
        return Err(std::io::Error::other("the entry is not ready"));
    }
    thread::sleep(Duration::from_secs(4));
    let time = Duration::from_secs(2);
    let mut channels = Vec::new();
    for number in 0..CHANNELS {
        let mut channel = Channel::open(entry.callers, time)?;
        let answer = request(&mut channel, &record, &format!("first-{number}"), 10)?;
        if answer != 200 {
            return Err(std::io::Error::other("a first request was not answered"));
        }
        channels.push(channel);
    }
    store.put("config", "main", &config(9, large));
    record.note("version 9, with a limit of 65,536 bytes: acked by the store");
    // config_ms is 2 s, and channels are used again within 4/5 of 15 s.
    thread::sleep(Duration::from_secs(5));
    let mut refused = 0;
    for (number, channel) in channels.iter_mut().enumerate() {
        let id = format!("large-{number}");
        match request(channel, &record, &id, LARGE) {
            Ok(status) if (400..500).contains(&status) => refused += 1,
            Ok(_) => {}
            Err(error) => record.note(&format!("no answer {id}: {error}")),
        }
    }
    let mut fresh = Channel::open(entry.callers, time)?;
    let answer = request(&mut fresh, &record, "large-fresh", LARGE)?;
    record.note(&format!("{refused} refused on kept channels; a new channel gets {answer}"));
    // DENIED allows 5, and one in 500 of all requests.
    Ok(if refused > 5 { refused } else { 0 })
}

fn request(channel: &mut Channel, record: &Record, id: &str, bytes: usize) -> std::io::Result<u16> {
    let headers = [
        ("Host", "status.example".to_owned()),
        ("X-Rhubarblatch-Request-Id", id.to_owned()),
        ("X-Rhubarblatch-Deadline-Ms", "1500".to_owned()),
        ("X-Notes", "n".repeat(bytes)),
    ];
    record.note(&format!("send {id} with a header of {bytes} bytes"));
    let answer = channel.ask("GET", "/status/2f", &headers, b"")?;
    record.note(&format!("answer {id}: {}", answer.status));
    Ok(answer.status)
}
