//! The answer to one watch of the replicas is lost, and with it that a replica drains.

use std::sync::Arc;
use std::thread;
use std::time::Duration;

use crate::record::Record;
use crate::scene::{late_runs, start_replica, Scene, CONTACT};
use crate::Outcome;

/// `drain_ms` of the settings.
const DRAIN: Duration = Duration::from_millis(2_000);

/// Time for which the replica serves on after `DRAIN`: "at times many seconds".
const LINGER: Duration = Duration::from_millis(3_600);

pub fn play(record: &Arc<Record>, has_trouble: bool) -> Outcome {
    let mut scene = match Scene::start(record, ["zone-1"; 3]) {
        Ok(scene) => scene,
        Err(reason) => return Outcome::NotRun(reason),
    };
    scene.start_callers();
    thread::sleep(Duration::from_secs(2));

    // A replica is replaced: the new one starts first, then the old one drains and leaves.
    let new = start_replica("i-d", "zone-1", record);
    new.register(&scene.store);
    thread::sleep(Duration::from_millis(600));
    let old = scene.replicas[0].clone();
    if has_trouble {
        scene.store.lose_answer("servers", &old.id);
    }
    let acked = old.drain(&scene.store);
    thread::sleep(DRAIN + LINGER);
    old.exit();
    scene.store.remove("servers", &old.id);
    thread::sleep(Duration::from_secs(3));
    let attempts = scene.end_callers();

    let lost_at = scene.store.lost_at();
    if has_trouble && lost_at.is_none() {
        return Outcome::NotRun("no answer was lost".into());
    }
    // The machines are in touch again `contact_ms` after the disturbance.
    let in_touch = lost_at.map_or(acked, |it| it + CONTACT);
    let from = in_touch.max(acked + DRAIN);
    let late = late_runs(record, &old, &attempts, (acked, in_touch, from));
    let cut = late.iter().filter(|it| it.ended.is_none()).count();
    let text = format!(
        "acked at {:.3} s, in touch from {:.3} s; {} requests reached {} later than drain_ms, and {cut} of \
         them were cut off as it left; {} attempts in all",
        record.seconds(acked),
        record.seconds(in_touch),
        late.len(),
        old.id,
        attempts.len()
    );
    record.say(text);
    match late.is_empty() {
        true => Outcome::Held,
        false => Outcome::Broken,
    }
}
