//! Replays store calls on one chunk and one at-most-once record: a decision reads the current row,
//! and its write takes effect on delivery if the row is unchanged.

use dappleyard_decide::chunks::{
    ChunkResult, ClaimDecision, Claimant, CommitDecision, claim, commit, mark_started,
    may_start_item, reopen,
};
use dappleyard_decide::once::{OnceAttempt, OnceDecision, decide, give_up, may_settle, settle};
use dappleyard_wire::messages::{ChunkRow, JobRow, OnceOutcome, OnceRow, Repeat};

use super::state::PendingCalls;
use super::trace::{ChunkAction, Input};

/// A pending write with its expected revision. A commit also requires an uncancelled job.
enum Write {
    Chunk(ChunkRow, u64),
    Commit(ChunkRow, u64),
    Once(OnceRow, u64),
}

/// The rows with their revisions, and the pending calls.
#[derive(Default)]
pub struct CallReplay {
    chunk: (ChunkRow, u64),
    cancelled: bool,
    once: (Option<OnceRow>, u64),
    calls: PendingCalls<Write>,
}

impl CallReplay {
    /// Applies one input and returns the name of the decision.
    pub fn step(&mut self, input: &Input) -> String {
        match input {
            Input::Chunk {
                node,
                incarnation,
                wish,
                call,
            } => {
                let claimant = Claimant {
                    node: node.clone(),
                    incarnation: *incarnation,
                };
                self.chunk_action(&claimant, wish, call)
            }
            Input::CancelJob => {
                self.cancelled = true;
                "job cancelled".to_owned()
            }
            Input::NeverRepeat => {
                self.chunk.0.set_repeat(Repeat::Never);
                "items must not repeat".to_owned()
            }
            Input::Once {
                writer,
                writing,
                call,
            } => self.request_key(writer, *writing, call),
            Input::OnceSettle {
                writer,
                kind,
                ran,
                call,
            } => self.settle(writer, *kind, *ran, call),
            Input::OnceGiveUp { writer, call } => {
                let row = give_up(self.once.0.as_ref(), &attempt(writer));
                self.send_once(call, row, "key given up")
            }
            Input::Deliver { call } => self.deliver(call),
            Input::Lose { call } => {
                self.calls.remove(call);
                "call lost".to_owned()
            }
            _ => "not a step of this kind".to_owned(),
        }
    }

    fn chunk_action(&mut self, claimant: &Claimant, wish: &ChunkAction, call: &str) -> String {
        let row = self.chunk.0.clone();
        match wish {
            ChunkAction::Claim { holder_gone } => match claim(&row, claimant, *holder_gone) {
                ClaimDecision::Write(next) => {
                    let epoch = next.epoch;
                    self.send_chunk(call, next, &format!("claims under epoch {epoch}"))
                }
                other => format!("claim: {}", claim_name(&other)),
            },
            ChunkAction::Reopen { holder_gone } => match reopen(&row, claimant, *holder_gone) {
                Some(next) => {
                    let epoch = next.epoch;
                    self.send_chunk(call, next, &format!("opens again under epoch {epoch}"))
                }
                None => "may not be opened again".to_owned(),
            },
            ChunkAction::Start if !may_start_item(&row, 0) => "item settled as unknown".to_owned(),
            ChunkAction::Start if row.repeat() == Repeat::Never => {
                let next = mark_started(&row, 0);
                self.send_chunk(call, next, "item marked before it starts")
            }
            ChunkAction::Start => "item may start".to_owned(),
            ChunkAction::Commit { epoch } => self.commit(*epoch, call),
        }
    }

    fn commit(&mut self, epoch: u64, call: &str) -> String {
        let job = JobRow {
            cancelled: self.cancelled,
            ..JobRow::default()
        };
        let result = ChunkResult {
            object: format!("result-{epoch}"),
            completed: 1,
            failed: 0,
        };
        match commit(&self.chunk.0, &job, epoch, &result) {
            CommitDecision::Write(next) => {
                let write = Write::Commit(next, self.chunk.1);
                self.calls.insert(call.to_owned(), write);
                "commits its result".to_owned()
            }
            CommitDecision::AlreadyCommitted => "committed already".to_owned(),
            CommitDecision::Fenced => "fenced".to_owned(),
            CommitDecision::Cancelled => "cancelled".to_owned(),
        }
    }

    fn send_chunk(&mut self, call: &str, next: ChunkRow, decision: &str) -> String {
        let write = Write::Chunk(next, self.chunk.1);
        self.calls.insert(call.to_owned(), write);
        decision.to_owned()
    }

    fn request_key(&mut self, writer: &str, writing: bool, call: &str) -> String {
        match decide(self.once.0.as_ref(), &attempt(writer), writing) {
            OnceDecision::Create(next) => self.send_once(call, Some(next), "takes the key"),
            OnceDecision::Run => "runs".to_owned(),
            OnceDecision::Replay(outcome) => {
                format!("answers from the record, kind {}", outcome.kind)
            }
            OnceDecision::InProgress => "in progress".to_owned(),
            OnceDecision::KeyReused => "key reused".to_owned(),
            OnceDecision::GivenUp => "given up before".to_owned(),
        }
    }

    fn settle(&mut self, writer: &str, kind: u32, ran: i32, call: &str) -> String {
        let outcome = OnceOutcome {
            kind,
            ran,
            ..OnceOutcome::default()
        };
        let row = self.once.0.clone();
        let row = row.filter(|row| may_settle(row, writer, writer, &outcome));
        let next = row.map(|row| settle(&row, outcome));
        self.send_once(call, next, "outcome recorded")
    }

    fn send_once(&mut self, call: &str, next: Option<OnceRow>, decision: &str) -> String {
        let Some(next) = next else {
            return "nothing to write".to_owned();
        };
        let phase = next.phase().as_str_name();
        let write = Write::Once(next, self.once.1);
        self.calls.insert(call.to_owned(), write);
        format!("{decision}: {phase}")
    }

    fn deliver(&mut self, call: &str) -> String {
        let applied = match self.calls.remove(call) {
            None => return "no such call".to_owned(),
            Some(Write::Chunk(next, expected)) if expected == self.chunk.1 => {
                self.chunk = (next, expected + 1);
                true
            }
            Some(Write::Commit(next, expected)) if expected == self.chunk.1 && !self.cancelled => {
                self.chunk = (next, expected + 1);
                true
            }
            Some(Write::Once(next, expected)) if expected == self.once.1 => {
                self.once = (Some(next), expected + 1);
                true
            }
            Some(_) => false,
        };
        let name = if applied { "took effect" } else { "conflict" };
        name.to_owned()
    }
}

fn claim_name(decision: &ClaimDecision) -> &'static str {
    match decision {
        ClaimDecision::Write(_) => "write",
        ClaimDecision::Held => "held by another",
        ClaimDecision::Own => "its own already",
        ClaimDecision::Done => "done",
    }
}

fn attempt(writer: &str) -> OnceAttempt {
    OnceAttempt {
        request_id: writer.to_owned(),
        fingerprint: 1,
        writer: writer.to_owned(),
        now_unix_ms: 0,
    }
}
