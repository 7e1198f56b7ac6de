//! Claims a request's key before the request runs, and records how it ended.

use std::time::Duration;

use caller::answer::Source;
use caller::refusal::Kind;
use caller::request::Meta;
use caller::{Answer, Refusal};
use decision::claim::{self, Digest};
use decision::claimant::{Claimant, Step};
use decision::declaration::Repeat;
use decision::outcome::Outcome;
use http::StatusCode;
use tokio::task::JoinHandle;
use tokio::time::timeout;

use super::Shared;
use crate::claims::Peer;
use crate::node;
use crate::refusals;

/// Longest time for which a refusal waits until its claim is released. While the store is away, the
/// claim stands until it is back, and a repeat is told that the outcome is unknown.
const RELEASE: Duration = Duration::from_millis(500);

/// What came of a claim.
pub(super) enum Claimed {
    /// The request may be dispatched.
    Granted(Claimant),
    /// It ran before under the same key.
    Repeat(Option<claim::Answer>),
}

impl<P: Peer> Shared<P> {
    /// Claims `key` for the request with this digest.
    pub(super) async fn claim(&self, key: claim::Key, digest: Digest) -> Result<Claimed, Refusal> {
        let (now, owner) = (self.node.now(), self.node.incarnation);
        let mut claimant = Claimant::new(now, key, digest, owner, node::random_number());
        let result = self.claims.submit(&claimant.change()).await;
        let configuration = self.node.configuration.load();
        let lives = |it| configuration.head.roster.values().any(|member| member.incarnation == it);
        match claimant.answered(self.node.now(), result, lives) {
            Step::Dispatch => Ok(Claimed::Granted(claimant)),
            Step::Repeat(answer) => Ok(Claimed::Repeat(answer)),
            Step::Refuse(reason) => {
                if reason.outcome() == Outcome::NotRun {
                    // Nothing was granted as far as this entry knows, so nobody waits for it.
                    drop(self.record(Some(&mut claimant), Outcome::NotRun, None));
                }
                Err(refusals::of_claimant(reason))
            }
        }
    }

    /// Records how a claimed request ended.
    ///
    /// A caller who is told that a request has not run may ask the next entry at once, which must
    /// not find it in progress: the release of its claim is waited for, within a bound.
    pub(super) async fn end(
        &self,
        claimant: Option<&mut Claimant>,
        outcome: Outcome,
        answer: Option<&Answer>,
    ) {
        let Some(recorded) = self.record(claimant, outcome, answer) else { return };
        if outcome == Outcome::NotRun && timeout(RELEASE, recorded).await.is_err() {
            log::debug!("a refusal did not wait for the release of its claim any longer");
        }
    }

    fn record(
        &self,
        claimant: Option<&mut Claimant>,
        outcome: Outcome,
        answer: Option<&Answer>,
    ) -> Option<JoinHandle<()>> {
        let kept = answer.and_then(keep);
        let change = claimant.and_then(|it| it.ended(outcome, kept))?;
        Some(self.claims.end(change))
    }

    /// The key to be claimed, if the request has one and may run only once.
    pub(super) fn keyed(&self, meta: &Meta, bytes: usize) -> Option<claim::Key> {
        let key = meta.key.as_ref()?;
        let profile = self.profile(&meta.service)?;
        let once = profile.repeat != Repeat::Idempotent;
        let accepted = u64::try_from(bytes).is_ok_and(|it| it <= profile.body_bytes.into());
        (once && accepted).then(|| Digest::of_key(&meta.workspace, &meta.service, key))
    }
}

/// A kept answer as the repeat's caller gets it, if it was kept.
pub(super) fn replay(answer: Option<claim::Answer>) -> Result<Answer, Refusal> {
    let answer = answer.ok_or_else(not_kept)?;
    let status = StatusCode::from_u16(answer.status).map_err(|_| not_kept())?;
    let (content_type, body) = (answer.content_type, answer.body.into());
    Ok(Answer { status, content_type, body, source: Source::Record })
}

/// The refusal of a repeat whose answer was not kept.
pub(super) fn not_kept() -> Refusal {
    let message = "a request with this idempotency key ran, and its answer was not kept";
    Refusal::not_run(Kind::NotKept, message).with_outcome(Outcome::Ran)
}

/// The form in which an answer is kept for repeats, if it is text.
fn keep(answer: &Answer) -> Option<claim::Answer> {
    let body = String::from_utf8(answer.body.to_vec()).ok()?;
    let content_type = answer.content_type.clone();
    let kept = claim::Answer { status: answer.status.as_u16(), content_type, body };
    kept.is_small().then_some(kept)
}
