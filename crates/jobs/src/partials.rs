//! Text of unfinished items in the store, so that a job that changes hands, or whose node loses
//! power, goes on behind the last stored event.
//!
//! A piece holds what came since the piece before. A piece whose write was in doubt may be written
//! late, over a newer one; the pieces are therefore joined only as far as each goes on where the one
//! before ended, in no earlier epoch. What is joined is always a beginning of one true text.

use std::collections::BTreeMap;

use bytes::Bytes;
use dappleyard_model::{Row, RowStore, StoreError, Transaction};
use prost::Message;

use crate::keys::{CHUNK_BYTES, PARTIALS_TABLE, partial_key, partition, range_end, range_start};
use crate::messages::StoredPartial;
use crate::owned::{Item, Progress};
use crate::read::retry;

/// Most rows of one transaction, results and pieces together.
const MOST_ROWS: usize = 90;
/// Most bytes of pieces in one transaction.
const MOST_BYTES: usize = 400_000;
/// Rows read by one call.
const PAGE_ROWS: usize = 400;

/// How much of an item's text lies in the store.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default)]
pub struct Saved {
    /// Bytes of the text.
    pub bytes: usize,
    /// Events of the text.
    pub events: u64,
    /// Last event of the text.
    pub last_event: Option<u64>,
    /// Pieces.
    pub pieces: usize,
}

/// How much of the text of an item will lie in the store after a transaction.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) struct Mark {
    pub item: usize,
    pub saved: Saved,
}

/// The text of an item as the store holds it.
#[derive(Debug, Clone, PartialEq, Eq, Default)]
pub struct Joined {
    /// Text.
    pub text: String,
    /// Answers of failure so far.
    pub failures: u32,
    /// How much that is.
    pub saved: Saved,
}

/// Whether an item has text that does not lie in the store.
pub(crate) fn has_grown(item: &Item) -> bool {
    item.progress != Progress::Finished && item.last_event != item.saved.last_event
}

/// Adds the new text of unfinished items to a transaction, as far as there is room.
pub(crate) fn add_pieces(
    job: &str,
    epoch: u64,
    items: &[Item],
    mut transaction: Transaction,
) -> (Transaction, Vec<Mark>) {
    let mut marks = Vec::new();
    let mut bytes = 0;
    let grown = items.iter().enumerate().filter(|(_, item)| has_grown(item));
    for (index, item) in grown {
        let Some(value) = next_piece(item, epoch) else {
            continue;
        };
        bytes += value.len();
        if bytes > MOST_BYTES || transaction.puts.len() >= MOST_ROWS {
            break;
        }
        let key = partial_key(job, index, item.saved.pieces);
        transaction = transaction.put(key, value);
        let saved = Saved {
            bytes: item.text.len(),
            events: item.events,
            last_event: item.last_event,
            pieces: item.saved.pieces + 1,
        };
        marks.push(Mark { item: index, saved });
    }
    (transaction, marks)
}

/// The new text of an item; `None` where it does not fit into one row.
fn next_piece(item: &Item, epoch: u64) -> Option<Bytes> {
    let piece = StoredPartial {
        last_event: item.last_event?,
        text: item.text.get(item.saved.bytes..)?.to_owned(),
        failures: item.failures,
        after_event: item.saved.last_event,
        epoch,
        events: item.events - item.saved.events,
    };
    let value = piece.encode_to_vec();
    (value.len() <= CHUNK_BYTES).then(|| Bytes::from(value))
}

/// Joins the pieces of each item, by the item's number.
pub fn join(rows: &[Row]) -> BTreeMap<usize, Joined> {
    let mut items: BTreeMap<usize, Vec<(usize, StoredPartial)>> = BTreeMap::new();
    for row in rows {
        let value = row.value.clone();
        let piece = value.and_then(|value| StoredPartial::decode(value).ok());
        if let (Some((item, number)), Some(piece)) = (place(&row.key), piece) {
            items.entry(item).or_default().push((number, piece));
        }
    }
    let joined = items.into_iter();
    joined
        .map(|(item, pieces)| (item, join_item(pieces)))
        .collect()
}

/// Number of the item and of the piece in a key `JOB/ITEM/PIECE`.
fn place(key: &str) -> Option<(usize, usize)> {
    let mut segments = key.rsplit('/');
    let piece = segments.next()?.parse().ok()?;
    let item = segments.next()?.parse().ok()?;
    Some((item, piece))
}

fn join_item(mut pieces: Vec<(usize, StoredPartial)>) -> Joined {
    pieces.sort_by_key(|(number, _)| *number);
    let mut joined = Joined::default();
    let mut epoch = 0;
    for (number, piece) in pieces {
        let follows = number == joined.saved.pieces
            && piece.after_event == joined.saved.last_event
            && piece.epoch >= epoch;
        if !follows {
            break;
        }
        epoch = piece.epoch;
        joined.text.push_str(&piece.text);
        joined.failures = piece.failures;
        joined.saved = Saved {
            bytes: joined.text.len(),
            events: joined.saved.events + piece.events,
            last_event: Some(piece.last_event),
            pieces: number + 1,
        };
    }
    joined
}

/// Reads the text of a job's unfinished items from the store.
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
        let last = page.rows.last().map(|row| format!("{}\u{1}", row.key));
        rows.extend(page.rows);
        match last.filter(|_| page.more) {
            Some(behind) => start = behind,
            None => break,
        }
    }
    for (index, joined) in join(&rows) {
        let Some(item) = items.get_mut(index) else {
            continue;
        };
        if item.progress == Progress::Waiting {
            item.text = joined.text;
            item.events = joined.saved.events;
            item.last_event = joined.saved.last_event;
            item.failures = joined.failures;
            item.saved = joined.saved;
        }
    }
    Ok(())
}
