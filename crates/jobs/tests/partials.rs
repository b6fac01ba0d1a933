//! Pieces of unfinished text are joined as far as they are one text.

use bytes::Bytes;
use dappleyard_jobs::partials::join;
use dappleyard_model::Row;
use googletest::prelude::*;
use prost::Message;

/// A row that holds a piece: number, event before it, last event, epoch.
fn row(number: usize, after_event: Option<u64>, last_event: u64, epoch: u64) -> Row {
    let piece = dappleyard_jobs::StoredPartial {
        last_event,
        text: format!("[{last_event} of {epoch}]"),
        failures: number as u32,
        after_event,
        epoch,
        events: last_event - after_event.unwrap_or(0),
    };
    Row {
        part: "0".to_owned(),
        key: format!("j1/000003/{number:04}"),
        value: Some(Bytes::from(piece.encode_to_vec())),
        revision: 1,
    }
}

fn text(rows: &[Row]) -> String {
    join(rows)
        .remove(&3)
        .map_or_else(String::new, |joined| joined.text)
}

#[gtest]
fn in_order() {
    let rows = [
        row(1, Some(4), 9, 2),
        row(0, None, 4, 1),
        row(2, Some(9), 11, 2),
    ];
    let joined = join(&rows).remove(&3).unwrap_or_default();
    expect_that!(joined.text, eq("[4 of 1][9 of 2][11 of 2]"));
    expect_that!(joined.failures, eq(2));
    expect_that!(joined.saved.last_event, some(eq(11)));
    expect_that!(joined.saved.events, eq(11));
    expect_that!(joined.saved.pieces, eq(3));
}

#[gtest]
fn written_late() {
    // The first piece was written again, late and shorter, over the one that the second goes on from.
    let rows = [row(0, None, 2, 1), row(1, Some(4), 9, 1)];
    expect_that!(text(&rows), eq("[2 of 1]"));
}

#[gtest]
fn older_epoch() {
    // The second piece is of the owner before, and by chance goes on where the new one ended.
    let rows = [row(0, None, 4, 2), row(1, Some(4), 9, 1)];
    expect_that!(text(&rows), eq("[4 of 2]"));
}

#[gtest]
fn piece_lost() {
    let rows = [row(0, None, 4, 1), row(2, Some(4), 9, 1)];
    expect_that!(text(&rows), eq("[4 of 1]"));
    expect_that!(text(&[row(1, None, 4, 1)]), eq(""));
}
