//! The answer to one watch of the evacuations is lost, and with it that a zone is to get nothing.

use std::sync::Arc;
use std::thread;
use std::time::Duration;

use crate::record::Record;
use crate::scene::{late_runs, Scene, CONTACT};
use crate::Outcome;

/// `evacuate_ms` of the settings.
const EVACUATE: Duration = Duration::from_millis(5_000);

/// Time after which the replica of the evacuated zone is stopped.
const STOP: Duration = Duration::from_millis(6_200);

pub fn play(record: &Arc<Record>, has_trouble: bool) -> Outcome {
    let mut scene = match Scene::start(record, ["zone-1", "zone-1", "zone-2"]) {
        Ok(scene) => scene,
        Err(reason) => return Outcome::NotRun(reason),
    };
    scene.start_callers();
    // Zones are emptied in turn: one without replicas of this service is taken back, the next one follows.
    scene.store.put("evacuations", "zone-3", "{}");
    thread::sleep(Duration::from_secs(2));
    scene.store.remove("evacuations", "zone-3");
    thread::sleep(Duration::from_millis(300));
    if has_trouble {
        scene.store.lose_answer("evacuations", "zone-2");
    }
    let acked = scene.store.put("evacuations", "zone-2", "{}");
    record.note("operator: the store has acknowledged that zone-2 is to get nothing");
    thread::sleep(STOP);
    let emptied = scene.replicas[2].clone();
    emptied.exit();
    scene.store.remove("servers", &emptied.id);
    thread::sleep(Duration::from_secs(2));
    let attempts = scene.end_callers();

    let lost_at = scene.store.lost_at();
    if has_trouble && lost_at.is_none() {
        return Outcome::NotRun("no answer was lost".into());
    }
    // The machines are in touch again `contact_ms` after the disturbance, which is before `evacuate_ms`.
    let in_touch = lost_at.map_or(acked, |it| it + CONTACT);
    let from = in_touch.max(acked + EVACUATE);
    let late = late_runs(record, &emptied, &attempts, (acked, in_touch, from));
    let cut = late.iter().filter(|it| it.ended.is_none()).count();
    let text = format!(
        "acked at {:.3} s, in touch from {:.3} s; {} requests reached {} in zone-2 later than evacuate_ms, and \
         {cut} of them were cut off as it was stopped; {} attempts in all",
        record.seconds(acked),
        record.seconds(in_touch),
        late.len(),
        emptied.id,
        attempts.len()
    );
    record.say(text);
    match late.is_empty() {
        true => Outcome::Held,
        false => Outcome::Broken,
    }
}
