//! Saved output of unfinished items, so that a job resumes after the last saved event when its owner changes or
//! crashes.
//!
//! A segment holds the output since the previous segment. A write whose outcome was unknown may arrive late and
//! overwrite a newer segment. Segments are therefore joined only while each continues exactly where the previous
//! one ended, in the same or a later epoch, and belongs to the same output: one that began at the same service and
//! software version and was not dropped in between. The restored output is therefore always a prefix of one output.

use std::collections::BTreeMap;

use bytes::Bytes;
use dappleyard_model::{Row, RowStore, RunOrigin, SoftwareVersion, StoreError, Transaction};
use prost::Message;

use crate::keys::{CHUNK_BYTES, PARTIALS_TABLE, partial_key, partition, range_end, range_start};
use crate::messages::StoredPartial;
use crate::owned::{Item, Progress};
use crate::read::retry;

/// Row limit of one transaction, results and segments together.
const MAX_TRANSACTION_ROWS: usize = 90;
/// Limit on the segment bytes in one transaction.
const MAX_SEGMENT_BYTES: usize = 400_000;
/// Limit on the value bytes in one transaction. The store accepts 1 MB after base64 encoding, which adds a third.
const MAX_TRANSACTION_BYTES: usize = 700_000;
/// Bytes reserved for the job's row, which has a bit for each of at most 200 items.
const RESERVED_JOB_ROW_BYTES: usize = 4_000;
/// Bytes reserved in a segment's row for fields other than the text.
const RESERVED_FIELD_BYTES: usize = 100;
/// Row limit of one read.
const PAGE_ROWS: usize = 400;

/// The part of an item's output that is saved in the store.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default)]
pub struct SavedOutput {
    pub bytes: usize,
    pub events: u64,
    pub last_event: Option<u64>,
    pub segments: usize,
}

/// The saved part of an item's output after a transaction has been committed.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) struct PendingSave {
    pub item: usize,
    /// The item's number of restarts when the output was saved.
    pub restarts: u32,
    pub saved: SavedOutput,
}

/// Output of an item, restored from the store.
#[derive(Debug, Clone, PartialEq, Eq, Default)]
pub struct RestoredOutput {
    pub text: String,
    /// Failed responses so far.
    pub failures: u32,
    pub saved: SavedOutput,
    /// Where the output began; `None` without output.
    pub origin: Option<RunOrigin>,
    /// How often the item dropped its output before.
    pub restarts: u32,
}

/// Whether an item has output that is not saved.
pub(crate) fn has_unsaved_output(item: &Item) -> bool {
    item.progress != Progress::Finished && item.last_event != item.saved.last_event
}

/// Adds the unsaved output of unfinished items to a transaction, as far as it fits.
pub(crate) fn add_segments(
    job: &str,
    epoch: u64,
    items: &[Item],
    mut transaction: Transaction,
) -> (Transaction, Vec<PendingSave>) {
    let mut saves = Vec::new();
    let mut capacity = segment_capacity(&transaction);
    let unsaved = items
        .iter()
        .enumerate()
        .filter(|(_, item)| has_unsaved_output(item));
    for (index, item) in unsaved {
        let values = unsaved_segments(item, epoch);
        let bytes: usize = values.iter().map(Bytes::len).sum();
        if bytes > capacity || transaction.puts.len() + values.len() > MAX_TRANSACTION_ROWS {
            // Shorter output of another item may still fit.
            continue;
        }
        capacity -= bytes;
        let segments = item.saved.segments + values.len();
        for (number, value) in (item.saved.segments..).zip(values) {
            transaction = transaction.put(partial_key(job, index, number), value);
        }
        let saved = SavedOutput {
            bytes: item.text.len(),
            events: item.events,
            last_event: item.last_event,
            segments,
        };
        saves.push(PendingSave {
            item: index,
            restarts: item.restarts,
            saved,
        });
    }
    (transaction, saves)
}

/// Segment bytes that still fit into a transaction.
pub fn segment_capacity(transaction: &Transaction) -> usize {
    let free =
        MAX_TRANSACTION_BYTES.saturating_sub(transaction.value_bytes() + RESERVED_JOB_ROW_BYTES);
    free.min(MAX_SEGMENT_BYTES)
}

/// Encodes the unsaved output of an item, one value per row; empty if there is none.
fn unsaved_segments(item: &Item, epoch: u64) -> Vec<Bytes> {
    let new_text = item.text.get(item.saved.bytes..);
    let (Some(last_event), Some(text)) = (item.last_event, new_text) else {
        return Vec::new();
    };
    let parts = split_text(text, CHUNK_BYTES - RESERVED_FIELD_BYTES);
    let last = parts.len() - 1;
    let service = item.origin.as_ref().map(|origin| origin.service.clone());
    let version = item
        .origin
        .as_ref()
        .and_then(|origin| origin.version.as_ref());
    let segment = |(number, text): (usize, &str)| StoredPartial {
        last_event,
        text: text.to_owned(),
        failures: item.failures,
        after_event: item.saved.last_event,
        epoch,
        events: item.events - item.saved.events,
        continued: number < last,
        service: service.clone().unwrap_or_default(),
        version: SoftwareVersion::text_of(version),
        restarts: item.restarts,
    };
    let segments = parts.into_iter().enumerate().map(segment);
    segments
        .map(|segment| Bytes::from(segment.encode_to_vec()))
        .collect()
}

/// Splits a text at character boundaries into parts of at most `max_bytes`; returns at least one part.
pub fn split_text(text: &str, max_bytes: usize) -> Vec<&str> {
    let mut parts = Vec::new();
    let mut rest = text;
    while rest.len() > max_bytes {
        let at = rest.floor_char_boundary(max_bytes);
        let (part, after) = rest.split_at(at);
        parts.push(part);
        rest = after;
    }
    parts.push(rest);
    parts
}

/// Joins the segments of each item, keyed by the item's number.
pub fn join_segments(rows: &[Row]) -> BTreeMap<usize, RestoredOutput> {
    let mut items: BTreeMap<usize, Vec<(usize, StoredPartial)>> = BTreeMap::new();
    for row in rows {
        let value = row.value.clone();
        let segment = value.and_then(|value| StoredPartial::decode(value).ok());
        if let (Some((item, number)), Some(segment)) = (parse_key(&row.key), segment) {
            items.entry(item).or_default().push((number, segment));
        }
    }
    let restored = items.into_iter();
    restored
        .map(|(item, segments)| (item, join_item(segments)))
        .collect()
}

/// Parses the item and segment numbers of a key `JOB/ITEM/SEGMENT`.
fn parse_key(key: &str) -> Option<(usize, usize)> {
    let mut key_parts = key.rsplit('/');
    let segment = key_parts.next()?.parse().ok()?;
    let item = key_parts.next()?.parse().ok()?;
    Some((item, segment))
}

/// Joins the segments of one item, up to the first that does not continue the output before it.
fn join_item(mut segments: Vec<(usize, StoredPartial)>) -> RestoredOutput {
    segments.sort_by_key(|(number, _)| *number);
    let mut restored = RestoredOutput::default();
    if let Some((_, first)) = segments.first() {
        restored.origin = Some(origin_of(first));
        restored.restarts = first.restarts;
    }
    let mut epoch = 0;
    // Continued segments count only together with the segment that completes them.
    let mut incomplete_text = String::new();
    let mut incomplete_segments = 0;
    for (number, segment) in segments {
        let follows = number == restored.saved.segments + incomplete_segments
            && segment.after_event == restored.saved.last_event
            && segment.epoch >= epoch
            && segment.restarts == restored.restarts
            && restored.origin.as_ref() == Some(&origin_of(&segment));
        if !follows {
            break;
        }
        epoch = segment.epoch;
        incomplete_text.push_str(&segment.text);
        if segment.continued {
            incomplete_segments += 1;
            continue;
        }
        restored
            .text
            .push_str(&std::mem::take(&mut incomplete_text));
        incomplete_segments = 0;
        restored.failures = segment.failures;
        restored.saved = SavedOutput {
            bytes: restored.text.len(),
            events: restored.saved.events + segment.events,
            last_event: Some(segment.last_event),
            segments: number + 1,
        };
    }
    if restored.saved == SavedOutput::default() {
        restored.origin = None;
    }
    restored
}

fn origin_of(segment: &StoredPartial) -> RunOrigin {
    RunOrigin {
        service: segment.service.clone(),
        version: SoftwareVersion::from_text(&segment.version),
    }
}

/// Restores the saved output of a job's unfinished items.
pub(crate) async fn load(
    store: &dyn RowStore,
    job: &str,
    items: &mut [Item],
) -> Result<(), StoreError> {
    let part = partition(job);
    let end = range_end(job);
    let mut start = range_start(job);
    let mut rows = Vec::new();
    loop {
        let page = retry(|| store.read(PARTIALS_TABLE, &part, &start, &end, PAGE_ROWS)).await?;
        // The first key after the last row of the page.
        let last = page.rows.last().map(|row| format!("{}\u{1}", row.key));
        rows.extend(page.rows);
        match last.filter(|_| page.more) {
            Some(after) => start = after,
            None => break,
        }
    }
    for (index, restored) in join_segments(&rows) {
        let Some(item) = items.get_mut(index) else {
            continue;
        };
        if item.progress == Progress::Waiting {
            item.text = restored.text;
            item.events = restored.saved.events;
            item.last_event = restored.saved.last_event;
            item.failures = restored.failures;
            item.saved = restored.saved;
            item.origin = restored.origin;
            item.restarts = restored.restarts;
        }
    }
    Ok(())
}
