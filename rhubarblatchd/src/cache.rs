//! Asks the engines at which this entry holds slots for their cache events.

use std::sync::Arc;

use decision::cache::{Poller, Question, Settings, Source};
use decision::prefix::Event;
use opentelemetry::metrics::Counter;
use opentelemetry::{KeyValue, global};
use target::cache::{Client, Error};
use target::report;
use tokio::task::JoinSet;
use tokio::time;

use crate::node::{self, Node};
use crate::telemetry::SCOPE;

/// Largest answer that is read, in bytes. Holds some 200 events.
const ANSWER_BYTES: usize = 16 * 1024;

/// Rounds between two looks at the targets.
const ROUNDS: u32 = 8;

/// Asks until the entry has stopped. A target that does not answer has no hints, nothing else.
pub async fn run(node: Arc<Node>) {
    let settings = Settings { seed: node::random_number(), ..Settings::default() };
    let bounds = report::Settings { timeout: settings.timeout, body_bytes: ANSWER_BYTES };
    let (client, meter) = (Client::new(bounds), Meter::new());
    let mut poller = Poller::new(settings);
    let mut questions = JoinSet::new();
    let mut round = 0_u32;
    while !node.stopped.is_cancelled() {
        if round.is_multiple_of(ROUNDS) {
            let sources = node.routing.with(|_, router| router.sources());
            poller.watch(node.now(), sources);
        }
        round = round.wrapping_add(1);
        if let Some(question) = poller.due(node.now()) {
            questions.spawn(ask(client.clone(), question));
        }
        while let Some(Ok((question, answer))) = questions.try_join_next() {
            take(&node, &mut poller, &meter, &question, answer);
        }
        time::sleep(settings.spacing).await;
    }
}

type Answered = (Question, Result<decision::cache::Answer, Error>);

async fn ask(client: Client, question: Question) -> Answered {
    let answer = client.get(question.source.address, question.after).await;
    (question, answer)
}

fn take(
    node: &Node,
    poller: &mut Poller,
    meter: &Meter,
    question: &Question,
    answer: Result<decision::cache::Answer, Error>,
) {
    let now = node.now();
    let (outcome, events) = match answer {
        Ok(answer) => match poller.answered(now, question, &answer) {
            Ok(events) => ("answered", events),
            Err(_) => ("refused", vec![Event::Gap]),
        },
        Err(error) => {
            poller.failed(now, question);
            (outcome(&error), Vec::new())
        }
    };
    let Source { service, target, process, .. } = &question.source;
    if !events.is_empty() {
        node.routing.with(|_, router| router.cache(service, target, *process, &events));
    }
    meter.questions.add(1, &[KeyValue::new("outcome", outcome)]);
}

fn outcome(error: &Error) -> &'static str {
    match error {
        Error::Malformed(_) | Error::Body(_) => "refused",
        _ => "failed",
    }
}

struct Meter {
    /// Questions for cache events, by `outcome`: `answered`, `refused` or `failed`.
    questions: Counter<u64>,
}

impl Meter {
    fn new() -> Meter {
        let questions = global::meter(SCOPE).u64_counter("rhubarblatch.cache.questions").build();
        Meter { questions }
    }
}
