//! The ingress stage: admits a request, takes its record, asks owners in turn and relays the answer.

use std::rc::Rc;
use std::time::Duration;

use dappleyard_decide::retry::{may_follow, pause_ms};
use dappleyard_wire::error::join_ran;
use dappleyard_wire::ids::{NodeId, ServerId};
use dappleyard_wire::messages::{
    Cancel, Chunk, Finish, OnceOutcome, Refused, Stage, Submit, frame,
};
use dappleyard_wire::{ErrorKind, Failure, Ran};
use tokio::time::Instant;

use crate::admit;
use crate::caller::{Caller, Gone};
use crate::once::{self, Begun, Holder};
use crate::owner_link::OwnerLink;
use crate::place::{self, Target, Wanted};
use crate::receive::{ATTEMPTS_A_STAGE, EarlierRun, Incoming};
use crate::settle;
use crate::view;
use crate::worker::OnlineWorker;

/// Entry nodes of other cells that are asked at most.
const MAXIMUM_SPILLS: usize = 3;

/// Advice when every node that was asked refused, milliseconds.
const EXHAUSTED_RETRY_AFTER_MS: u32 = 200;

/// One submission at the ingress stage, or at a cell that was entered.
pub(crate) struct IngressRun {
    worker: Rc<OnlineWorker>,
    caller: Caller,
    incoming: Incoming,
    /// What is known of whether it ran, as far as the record leaves open.
    ran: Ran,
    /// Tokens of the answer so far.
    pieces: Vec<String>,
    /// Where it ran last.
    earlier: EarlierRun,
    holder: Option<Holder>,
    submissions: u32,
    retries: u32,
    owners_asked: usize,
    spills: usize,
    tried: Vec<String>,
    /// When a stream whose caller was lost is given up.
    detached_until: Option<Instant>,
    has_token: bool,
}

/// How one target answered.
enum Tried {
    Finished(Finish),
    Refused(Failure),
    /// The target was not reached: nothing was sent.
    NotSent(String),
    /// The target was lost after the request was sent.
    Lost,
    CallerGone,
    Deadline,
}

impl IngressRun {
    /// A run that has not begun.
    pub fn new(worker: Rc<OnlineWorker>, incoming: Incoming, caller: Caller) -> IngressRun {
        IngressRun {
            worker,
            caller,
            ran: incoming.ran_before,
            pieces: incoming.pieces.clone(),
            earlier: incoming.earlier.clone(),
            incoming,
            holder: None,
            submissions: 0,
            retries: 0,
            owners_asked: 0,
            spills: 0,
            tried: Vec::new(),
            detached_until: None,
            has_token: false,
        }
    }

    /// Serves the submission and sends its final frame.
    pub async fn run(mut self) {
        match self.serve().await {
            Ok(finish) => self.finish(finish),
            Err(failure) => self.refuse(failure),
        }
    }

    async fn serve(&mut self) -> Result<Finish, Failure> {
        if self.incoming.stage == Stage::Cell {
            return self.ask_until_done().await;
        }
        let _tenant = admit::admit(&self.worker, &self.incoming)?;
        if self.incoming.attempt == 1 {
            self.worker.shared.first_attempt();
        }
        if self.incoming.never_repeats() {
            match once::begin(&self.worker, &self.incoming).await? {
                Begun::Fresh(holder) => {
                    self.ran = Ran::No;
                    self.holder = Some(holder);
                }
                Begun::Attach(holder) => {
                    self.ran = join_ran(self.ran, Ran::Maybe);
                    self.holder = Some(holder);
                }
                Begun::Replay(outcome) => return Ok(self.replay(outcome)),
            }
        }
        self.ask_until_done().await
    }

    /// Asks targets in turn until one gives the whole answer or none is left.
    async fn ask_until_done(&mut self) -> Result<Finish, Failure> {
        let mut last = None;
        loop {
            if self.deadline_passed() {
                return Err(settle::deadline(self.ran));
            }
            let Some(target) = self.next_target() else {
                return Err(self.exhausted(last));
            };
            let failure = match self.ask(&target).await {
                Tried::Finished(finish) => return Ok(finish),
                Tried::CallerGone => return Err(settle::cancelled(self.ran)),
                Tried::Deadline => return Err(settle::deadline(self.ran)),
                Tried::NotSent(reason) => Failure::not_run(ErrorKind::NodeLost, reason),
                Tried::Refused(failure) => failure,
                Tried::Lost => Failure::maybe_ran(ErrorKind::NodeLost, "the owner was lost"),
            };
            self.ran = join_ran(self.ran, failure.ran);
            self.follow(&failure).await?;
            last = Some(failure);
        }
    }

    /// Says whether another target may be asked after a failure, and waits as long as it should.
    async fn follow(&mut self, failure: &Failure) -> Result<(), Failure> {
        if !failure.kind.answer().retryable {
            return Err(failure.clone());
        }
        if !may_follow(self.ran, self.incoming.request.repeat()) && !self.earlier.has_stream() {
            return Err(settle::outcome_unknown());
        }
        let cause = failure.kind.answer().code;
        let again = &self.worker.shared.metrics.placed_again;
        again.with_label_values(&[cause]).inc();
        settle::explain_again(&self.worker.tables, &self.incoming, cause, self.ran);
        if failure.ran == Ran::No {
            return Ok(());
        }
        self.retries += 1;
        if !self.worker.shared.take_retry() {
            return Err(failure.clone().retry_after(EXHAUSTED_RETRY_AFTER_MS));
        }
        let left_ms = u64::from(self.incoming.left_ms());
        let pause = pause_ms(self.retries, rand::random(), left_ms);
        let pause = pause.ok_or_else(|| settle::deadline(self.ran))?;
        self.owners_asked = 0;
        tokio::time::sleep(Duration::from_millis(pause)).await;
        Ok(())
    }

    /// The node that can attach to a running stream, else the best that was not asked.
    fn next_target(&mut self) -> Option<Target> {
        if self.earlier.has_stream() {
            return Some(self.resume_target());
        }
        if !may_follow(self.ran, self.incoming.request.repeat()) {
            return None;
        }
        let may_spill = self.incoming.stage == Stage::Ingress && self.spills < MAXIMUM_SPILLS;
        let owners_left = self.owners_asked < self.worker.settings.owner_candidates;
        if !owners_left && !may_spill {
            return None;
        }
        let view = self.worker.view();
        let wanted = Wanted {
            request: &self.incoming.request,
            version: &self.earlier.version,
            bound_percent: self.worker.settings.affinity_bound_percent,
            tried: &self.tried,
        };
        let target = place::next_target(&view, &wanted, owners_left, may_spill)?;
        self.count_target(&target);
        Some(target)
    }

    fn count_target(&mut self, target: &Target) {
        let own = self.worker.tables.identity.node.to_string();
        let (node, place) = match target {
            Target::Local => (own, "local"),
            Target::Node(address, Stage::Cell) => (address.node.clone(), "cell"),
            Target::Node(address, _) => (address.node.clone(), "owner"),
        };
        if place == "cell" {
            self.spills += 1;
        } else {
            self.owners_asked += 1;
        }
        self.tried.push(node);
        let placed = &self.worker.shared.metrics.placed;
        placed.with_label_values(&[place]).inc();
    }

    /// The owner of the server that holds the stream; this node itself when the owner is not usable
    /// or was asked already, since any node may call any engine.
    fn resume_target(&mut self) -> Target {
        let placed = &self.worker.shared.metrics.placed;
        placed.with_label_values(&["resumed"]).inc();
        let tables = &self.worker.tables;
        let server = ServerId::from(&self.earlier.server);
        let owner = tables.directory.get(&server).and_then(|entry| entry.owner);
        let node = owner
            .filter(|owner| !self.tried.iter().any(|tried| tried == owner.as_str()))
            .filter(|owner| *owner != tables.identity.node)
            .and_then(|owner: NodeId| view::usable_node(tables, &owner));
        match node {
            Some(address) => {
                self.tried.push(address.node.clone());
                Target::Node(address, Stage::Owner)
            }
            None => Target::Local,
        }
    }

    fn submission(&mut self, target: &Target) -> Submit {
        self.submissions += 1;
        let stage = match target {
            Target::Local => Stage::Owner,
            Target::Node(_, stage) => *stage,
        };
        let attempt = self.incoming.attempt.saturating_mul(ATTEMPTS_A_STAGE);
        Submit {
            request: Some(self.incoming.request.clone()),
            attempt: attempt.saturating_add(self.submissions),
            stage: stage as i32,
            budget_ms: self.incoming.left_ms(),
            resume_offset: u32::try_from(self.pieces.len()).unwrap_or(u32::MAX),
            resumed_pieces: self.pieces.clone(),
            version: self.earlier.version.clone(),
            engine_stream: self.earlier.engine_stream.clone(),
            server: self.earlier.server.clone(),
            ran_before: self.ran as i32,
            from_zone: self.worker.tables.identity.zone.to_string(),
            configuration_revision: self.worker.tables.configuration.revision(),
        }
    }

    async fn ask(&mut self, target: &Target) -> Tried {
        let submit = self.submission(target);
        let opened = OwnerLink::open(&self.worker, target, submit);
        let mut link = match tokio::time::timeout_at(self.incoming.deadline, opened).await {
            Ok(Ok(link)) => link,
            Ok(Err(not_sent)) => return Tried::NotSent(not_sent.0),
            Err(_) => return Tried::Deadline,
        };
        loop {
            let until = self.waits_until();
            tokio::select! {
                biased;
                gone = self.caller.gone() => {
                    if !self.keeps_on(gone) {
                        self.give_up(&link, "the caller went away");
                        return Tried::CallerGone;
                    }
                }
                () = tokio::time::sleep_until(until) => {
                    self.give_up(&link, "nobody waits any more");
                    let passed = self.deadline_passed();
                    return if passed { Tried::Deadline } else { Tried::CallerGone };
                }
                frame = link.receive() => match frame {
                    Ok(body) => if let Some(tried) = self.absorb(body) {
                        return tried;
                    },
                    Err(_) => return self.lost(),
                },
            }
        }
    }

    /// Cancels at the owner. It may have dispatched without our knowing.
    fn give_up(&mut self, link: &OwnerLink, reason: &str) {
        link.send(cancel(reason));
        self.ran = join_ran(self.ran, Ran::Maybe);
    }

    fn lost(&mut self) -> Tried {
        self.worker.refresh_view();
        Tried::Lost
    }

    /// Takes one frame of an owner; `Some` when it was the last one.
    fn absorb(&mut self, body: frame::Body) -> Option<Tried> {
        match body {
            frame::Body::Accepted(accepted) => {
                self.ran = join_ran(self.ran, Ran::Maybe);
                self.earlier = EarlierRun {
                    version: accepted.version.clone(),
                    engine_stream: accepted.engine_stream.clone(),
                    server: accepted.server.clone(),
                };
                self.caller.send(frame::Body::Accepted(accepted));
                None
            }
            frame::Body::Chunk(chunk) => self.absorb_chunk(chunk),
            frame::Body::Finish(finish) => {
                let whole = finish.total_tokens as usize == self.pieces.len();
                Some(if whole {
                    Tried::Finished(finish)
                } else {
                    Tried::Lost
                })
            }
            frame::Body::Refused(refused) => Some(self.absorb_refusal(refused)),
            _ => None,
        }
    }

    fn absorb_chunk(&mut self, chunk: Chunk) -> Option<Tried> {
        let offset = chunk.offset as usize;
        if offset > self.pieces.len() {
            return Some(Tried::Lost);
        }
        self.ran = join_ran(self.ran, Ran::Yes);
        let known = self.pieces.len() - offset;
        let fresh: Vec<String> = chunk.pieces.into_iter().skip(known).collect();
        if fresh.is_empty() {
            return None;
        }
        if !self.has_token {
            self.has_token = true;
            let elapsed = self.incoming.received.elapsed().as_secs_f64();
            self.worker.shared.metrics.first_token.observe(elapsed);
        }
        let offset = u32::try_from(self.pieces.len()).unwrap_or(u32::MAX);
        self.pieces.extend(fresh.iter().cloned());
        self.caller.send(frame::Body::Chunk(Chunk {
            offset,
            pieces: fresh,
        }));
        None
    }

    /// An owner that refuses has no stream of this request any more; its fresh load goes into the
    /// table for the next placement.
    fn absorb_refusal(&mut self, refused: Refused) -> Tried {
        let failure = Failure::from_refused(&refused);
        if let Some(load) = refused.load {
            let tables = &self.worker.tables;
            tables.loads.put_node(load, tables.clock.now());
            self.worker.refresh_view();
        }
        self.earlier.engine_stream.clear();
        Tried::Refused(failure)
    }

    /// Whether the request goes on although its caller went away. One that must not be repeated runs
    /// to its end, so that a resend gets the recorded answer; others wait a while for the caller to
    /// come back through another node, unless it said that it will not.
    fn keeps_on(&mut self, gone: Gone) -> bool {
        if self.incoming.never_repeats() {
            return true;
        }
        let grace = Duration::from_millis(self.worker.settings.detach_grace_ms);
        self.detached_until = Some(Instant::now() + grace);
        gone == Gone::LinkLost
    }

    fn waits_until(&self) -> Instant {
        let deadline = self.incoming.deadline;
        self.detached_until
            .map_or(deadline, |until| until.min(deadline))
    }

    fn deadline_passed(&self) -> bool {
        Instant::now() >= self.incoming.deadline
    }

    /// What to say when nobody is left to ask.
    fn exhausted(&self, last: Option<Failure>) -> Failure {
        if self.incoming.never_repeats() && self.ran != Ran::No {
            return settle::outcome_unknown();
        }
        if self.incoming.stage == Stage::Cell {
            return bounced(last);
        }
        let pinned = !self.earlier.version.is_empty() && !self.pieces.is_empty();
        let kind = last
            .as_ref()
            .map_or(ErrorKind::NoServer, |failure| failure.kind);
        let message = last.map_or("no node carries the service".to_owned(), |one| one.message);
        let kind = match kind {
            ErrorKind::Bounced | ErrorKind::NoServer if pinned => ErrorKind::VersionGone,
            ErrorKind::Bounced => ErrorKind::Overloaded,
            kind => kind,
        };
        Failure::not_run(kind, message).retry_after(EXHAUSTED_RETRY_AFTER_MS)
    }

    /// The recorded answer, from the caller's offset on.
    fn replay(&mut self, outcome: OnceOutcome) -> Finish {
        self.worker.shared.metrics.replayed.inc();
        let total_tokens = u32::try_from(outcome.pieces.len()).unwrap_or(u32::MAX);
        self.absorb_chunk(Chunk {
            offset: 0,
            pieces: outcome.pieces,
        });
        Finish {
            total_tokens,
            prompt_tokens: outcome.prompt_tokens,
            cached_tokens: 0,
            reason: outcome.reason,
            version: outcome.version,
            server: String::new(),
            replayed: true,
        }
    }

    fn finish(self, finish: Finish) {
        self.worker.shared.metrics.finished.inc();
        if let Some(holder) = &self.holder {
            let outcome = OnceOutcome {
                pieces: self.pieces,
                reason: finish.reason.clone(),
                version: finish.version.clone(),
                prompt_tokens: finish.prompt_tokens,
                kind: 0,
                ran: Ran::Yes as i32,
            };
            holder.settle(&self.worker, outcome);
        }
        self.caller.send(frame::Body::Finish(finish));
    }

    fn refuse(self, failure: Failure) {
        let failure = failure.after(self.ran);
        if let Some(holder) = &self.holder {
            holder.settle(&self.worker, settle::failed_outcome(&failure));
        }
        let failure = failure.after(self.incoming.ran_before);
        let metrics = &self.worker.shared.metrics;
        metrics.count_refusal(&failure);
        if failure.ran == Ran::No {
            let elapsed = self.incoming.received.elapsed().as_secs_f64();
            metrics.refusal_time.observe(elapsed);
        }
        settle::explain_refusal(&self.worker.tables, &self.incoming, &failure);
        self.caller.send(frame::Body::Refused(failure.to_refused()));
    }
}

/// A cell that could not place the request: its sender goes on.
fn bounced(last: Option<Failure>) -> Failure {
    last.unwrap_or_else(|| {
        Failure::not_run(ErrorKind::Bounced, "no owner of this cell can take it")
    })
}

fn cancel(reason: &str) -> frame::Body {
    frame::Body::Cancel(Cancel {
        reason: reason.to_owned(),
    })
}
