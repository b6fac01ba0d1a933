//! Replays the table service's transactions and finds the decision that explains each changed row.

use std::collections::BTreeMap;

use base64::Engine;
use base64::prelude::BASE64_STANDARD;
use dappleyard_decide::chunks::{
    ChunkResult, ClaimDecision, Claimant, CommitDecision, claim, commit, reopen,
};
use dappleyard_decide::configuration::{Applied, ConfigurationState, FeedRow, changes_from_feed};
use dappleyard_decide::once::{OnceAttempt, OnceDecision, decide, give_up, may_settle, settle};
use dappleyard_wire::keys::{CHUNK_PREFIX, CONFIGURATION_PREFIX, EPOCH_PREFIX, JOB_PREFIX};
use dappleyard_wire::messages::{ChunkPhase, ChunkRow, EpochRow, JobRow, OnceRow};
use prost::Message;

use super::trace::RowChange;

/// Key prefix of at-most-once records.
pub const ONCE_PREFIX: &str = "once/";
/// Decision name of a change that no decision explains.
const UNEXPLAINED: &str = "UNEXPLAINED";

/// Rows after the transactions replayed so far.
#[derive(Default)]
pub struct RowReplay {
    chunks: BTreeMap<String, ChunkRow>,
    cancelled: BTreeMap<String, bool>,
    records: BTreeMap<String, OnceRow>,
    epochs: BTreeMap<String, EpochRow>,
    configuration: ConfigurationState,
}

impl RowReplay {
    /// Applies a transaction and returns the decision names of its rows.
    pub fn transaction(&mut self, revision: u64, rows: &[RowChange]) -> Vec<String> {
        let mut decided = Vec::new();
        let mut configuration = Vec::new();
        for row in rows {
            let value = row.value.as_deref().map(bytes);
            if row.key.starts_with(CONFIGURATION_PREFIX) {
                configuration.push(FeedRow {
                    key: row.key.clone(),
                    revision,
                    value,
                });
            } else if row.key.starts_with(CHUNK_PREFIX) {
                decided.push(self.chunk(&row.key, value));
            } else if row.key.starts_with(ONCE_PREFIX) {
                decided.push(self.record(&row.key, value));
            } else if row.key.starts_with(EPOCH_PREFIX) {
                decided.push(self.epoch(&row.key, value));
            } else if row.key.starts_with(JOB_PREFIX) {
                decided.push(self.job(&row.key, value));
            }
        }
        decided.extend(self.configuration(&configuration));
        decided
    }

    fn configuration(&mut self, rows: &[FeedRow]) -> Option<String> {
        let previous = self.configuration.revision;
        let changes = changes_from_feed(rows, previous);
        let applied = changes
            .iter()
            .map(|change| self.configuration.apply(change))
            .collect::<Vec<Applied>>();
        let name = match applied.as_slice() {
            [] => return None,
            [Applied::Yes] => "configuration applied",
            _ => UNEXPLAINED,
        };
        Some(name.to_owned())
    }

    fn job(&mut self, key: &str, value: Option<Vec<u8>>) -> String {
        let row = value.and_then(|value| JobRow::decode(value.as_slice()).ok());
        let was = self.cancelled.get(key).copied();
        let cancelled = row.as_ref().is_some_and(|row| row.cancelled);
        if row.is_none() {
            self.cancelled.remove(key);
        } else {
            self.cancelled.insert(key.to_owned(), cancelled);
        }
        let name = match (was, row) {
            (_, None) => "job removed",
            (None, Some(_)) => "job accepted",
            (Some(true), Some(row)) if !row.cancelled => UNEXPLAINED,
            (Some(false), Some(row)) if row.cancelled => "job cancelled",
            _ => "job changed",
        };
        name.to_owned()
    }

    fn chunk(&mut self, key: &str, value: Option<Vec<u8>>) -> String {
        let Some(after) = value.and_then(|value| ChunkRow::decode(value.as_slice()).ok()) else {
            self.chunks.remove(key);
            return "chunk removed".to_owned();
        };
        let before = self.chunks.insert(key.to_owned(), after.clone());
        let Some(before) = before else {
            return "chunk written".to_owned();
        };
        let job_key = format!("{JOB_PREFIX}{}/{}", after.tenant, after.job_id);
        let cancelled = self.cancelled.get(&job_key).copied().unwrap_or(false);
        explain_chunk(&before, &after, cancelled).to_owned()
    }

    fn record(&mut self, key: &str, value: Option<Vec<u8>>) -> String {
        let Some(after) = value.and_then(|value| OnceRow::decode(value.as_slice()).ok()) else {
            self.records.remove(key);
            return "record removed".to_owned();
        };
        let before = self.records.insert(key.to_owned(), after.clone());
        explain_record(before.as_ref(), &after).to_owned()
    }

    fn epoch(&mut self, key: &str, value: Option<Vec<u8>>) -> String {
        let Some(after) = value.and_then(|value| EpochRow::decode(value.as_slice()).ok()) else {
            return UNEXPLAINED.to_owned();
        };
        let before = self.epochs.insert(key.to_owned(), after.clone());
        let before = before.unwrap_or_default();
        let raised = after.epoch == before.epoch + 1;
        let kept = after.epoch == before.epoch && after.holder == before.holder;
        let name = match (raised, kept) {
            (true, _) => "epoch raised",
            (_, true) => "epoch kept",
            _ => UNEXPLAINED,
        };
        name.to_owned()
    }
}

fn explain_chunk(before: &ChunkRow, after: &ChunkRow, cancelled: bool) -> &'static str {
    let claimant = Claimant {
        node: after.holder.clone(),
        incarnation: after.holder_incarnation,
    };
    if claim(before, &claimant, false) == ClaimDecision::Write(after.clone()) {
        return "chunk claimed";
    }
    // Reopened by its holder, or by another node that considers the holder dead.
    if is_reopened(before, after, false) || is_reopened(before, after, true) {
        return "chunk opened again";
    }
    if is_committed(before, after, cancelled) {
        return "result committed";
    }
    if is_item_started(before, after) {
        return "item marked before its start";
    }
    UNEXPLAINED
}

/// Whether reopening `before` gives `after`; the row may also record a partial result.
fn is_reopened(before: &ChunkRow, after: &ChunkRow, holder_gone: bool) -> bool {
    let claimant = Claimant {
        node: if holder_gone {
            String::new()
        } else {
            before.holder.clone()
        },
        incarnation: before.holder_incarnation,
    };
    let expected = reopen(before, &claimant, holder_gone).map(|mut expected| {
        expected.partial_object.clone_from(&after.partial_object);
        expected
    });
    expected.as_ref() == Some(after)
}

fn is_committed(before: &ChunkRow, after: &ChunkRow, cancelled: bool) -> bool {
    let result = ChunkResult {
        object: after.result_object.clone(),
        completed: after.completed,
        failed: after.failed,
    };
    let job = JobRow {
        cancelled,
        ..JobRow::default()
    };
    match commit(before, &job, before.epoch, &result) {
        CommitDecision::Write(mut expected) => {
            expected.output_bytes = after.output_bytes;
            expected.error_bytes = after.error_bytes;
            expected == *after
        }
        _ => false,
    }
}

fn is_item_started(before: &ChunkRow, after: &ChunkRow) -> bool {
    let expected = ChunkRow {
        started_items: after.started_items,
        ..before.clone()
    };
    let added = after.started_items & !before.started_items;
    let kept = before.started_items & !after.started_items == 0;
    before.phase() == ChunkPhase::ChunkClaimed
        && expected == *after
        && kept
        && added.count_ones() == 1
}

fn explain_record(before: Option<&OnceRow>, after: &OnceRow) -> &'static str {
    let attempt = OnceAttempt {
        request_id: after.request_id.clone(),
        fingerprint: after.fingerprint,
        writer: after.writer.clone(),
        now_unix_ms: after.created_unix_ms,
    };
    if decide(before, &attempt, true) == OnceDecision::Create(after.clone()) {
        return "key taken";
    }
    if give_up(before, &attempt).as_ref() == Some(after) {
        return "key given up";
    }
    let outcome = after.outcome.clone().unwrap_or_default();
    let settled = before.is_some_and(|before| {
        may_settle(before, &after.request_id, &after.writer, &outcome)
            && settle(before, outcome.clone()) == *after
    });
    match settled {
        true if outcome.kind == 0 => "answer recorded",
        true => "failure recorded",
        false => UNEXPLAINED,
    }
}

fn bytes(text: &str) -> Vec<u8> {
    BASE64_STANDARD.decode(text).unwrap_or_default()
}
