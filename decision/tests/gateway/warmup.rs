use decision::gateway::warmup::Limiter;

use crate::support::at;

#[test]
fn entries_together_stay_within_the_rate() {
    let mut entries: Vec<Limiter> = vec![Limiter::default(); 5];
    let mut sent = Vec::new();
    for millis in (0..5_000).step_by(10) {
        for entry in &mut entries {
            if entry.has_room(at(millis), 22.0, 5) {
                entry.sent(at(millis));
                sent.push(millis);
            }
        }
    }
    for begin in (0..5_000).step_by(10) {
        let within = sent.iter().filter(|it| (begin..begin + 1_000).contains(*it)).count();
        assert!(within <= 22, "{within} requests in the second from {begin} ms");
    }
}

#[test]
fn a_rate_below_the_number_of_entries_still_lets_one_through() {
    let mut limiter = Limiter::default();
    assert!(limiter.has_room(at(0), 2.0, 9));
    limiter.sent(at(0));
    assert!(!limiter.has_room(at(0), 2.0, 9));
}
