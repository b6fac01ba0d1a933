//! Restores saved output from segments; only a consistent prefix may be joined.

use bytes::Bytes;
use dappleyard_jobs::StoredPartial;
use dappleyard_jobs::partials::{join_segments, segment_capacity, split_text};
use dappleyard_model::{Row, RowKey, Transaction};
use googletest::prelude::*;
use prost::Message;

/// A row with a segment of the given number, preceding event, last event and epoch.
fn row(number: usize, after_event: Option<u64>, last_event: u64, epoch: u64) -> Row {
    let partial = StoredPartial {
        last_event,
        text: format!("[{last_event} of {epoch}]"),
        failures: number as u32,
        after_event,
        epoch,
        events: last_event - after_event.unwrap_or(0),
        continued: false,
        service: "llm".to_owned(),
        version: "v1".to_owned(),
        restarts: 0,
    };
    stored(number, &partial)
}

fn stored(number: usize, partial: &StoredPartial) -> Row {
    Row {
        part: "0".to_owned(),
        key: format!("j1/000003/{number:04}"),
        value: Some(Bytes::from(partial.encode_to_vec())),
        revision: 1,
    }
}

fn text(rows: &[Row]) -> String {
    join_segments(rows)
        .remove(&3)
        .map_or_else(String::new, |restored| restored.text)
}

#[gtest]
fn joins_segments_in_order() {
    let rows = [
        row(1, Some(4), 9, 2),
        row(0, None, 4, 1),
        row(2, Some(9), 11, 2),
    ];
    let restored = join_segments(&rows).remove(&3).unwrap_or_default();
    expect_that!(restored.text, eq("[4 of 1][9 of 2][11 of 2]"));
    expect_that!(restored.failures, eq(2));
    expect_that!(restored.saved.last_event, some(eq(11)));
    expect_that!(restored.saved.events, eq(11));
    expect_that!(restored.saved.segments, eq(3));
}

#[gtest]
fn stale_write_over_newer_segment() {
    // A delayed write of a shorter first segment has overwritten the one that the second segment continues.
    let rows = [row(0, None, 2, 1), row(1, Some(4), 9, 1)];
    expect_that!(text(&rows), eq("[2 of 1]"));
}

#[gtest]
fn segment_of_older_epoch() {
    // The second segment was written by the previous owner and happens to start where the new first one ends.
    let rows = [row(0, None, 4, 2), row(1, Some(4), 9, 1)];
    expect_that!(text(&rows), eq("[4 of 2]"));
}

#[gtest]
fn missing_segment() {
    let rows = [row(0, None, 4, 1), row(2, Some(4), 9, 1)];
    expect_that!(text(&rows), eq("[4 of 1]"));
    expect_that!(text(&[row(1, None, 4, 1)]), eq(""));
}

/// A row of a text that spans several rows.
fn continued_row(number: usize, text: &str, epoch: u64, continued: bool) -> Row {
    let partial = StoredPartial {
        last_event: 9,
        text: text.to_owned(),
        failures: 1,
        after_event: None,
        epoch,
        events: 9,
        continued,
        ..StoredPartial::default()
    };
    stored(number, &partial)
}

#[gtest]
fn text_across_rows() {
    let rows = [
        continued_row(0, "one ", 1, true),
        continued_row(1, "two ", 1, true),
        continued_row(2, "three", 1, false),
    ];
    let restored = join_segments(&rows).remove(&3).unwrap_or_default();
    expect_that!(restored.text, eq("one two three"));
    expect_that!((restored.saved.segments, restored.saved.events), eq((3, 9)));
    // Without the last row, the text ends inside an event and is ignored.
    expect_that!(text(&rows[..2]), eq(""));
    // A row from an older write does not complete it.
    let mixed = [
        continued_row(0, "new ", 2, true),
        continued_row(1, "old", 1, false),
    ];
    expect_that!(text(&mixed), eq(""));
}

#[gtest]
fn splits_at_character_boundaries() {
    expect_that!(split_text("", 4), eq(&[""]));
    expect_that!(split_text("abcdef", 4), eq(&["abcd", "ef"]));
    expect_that!(split_text("aéé", 2), eq(&["a", "é", "é"]));
}

#[gtest]
fn transaction_stays_below_store_limit() {
    let empty = Transaction::default();
    expect_that!(segment_capacity(&empty), eq(400_000));
    // The store accepts 1 MB after base64 encoding.
    for results in [100_000, 300_000, 500_000, 690_000, 900_000] {
        let key = RowKey::new("results", "0", "j1/0");
        let transaction = Transaction::default().put(key, vec![0; results]);
        let capacity = segment_capacity(&transaction);
        expect_that!(
            (results.min(700_000) + capacity) / 3 * 4,
            lt(1_000_000),
            "{results}"
        );
    }
}

/// The row of a segment with other content.
fn changed(row: &Row, change: impl FnOnce(&mut StoredPartial)) -> Row {
    let value = row.value.clone().unwrap_or_default();
    let mut partial = StoredPartial::decode(value).unwrap_or_default();
    change(&mut partial);
    Row {
        value: Some(Bytes::from(partial.encode_to_vec())),
        ..row.clone()
    }
}

// Guards against a late write of the output of another software version or service.
#[gtest]
fn segment_of_another_origin() {
    let (first, second) = (row(0, None, 4, 1), row(1, Some(4), 9, 1));
    let of_version = changed(&second, |partial| partial.version = "v2".to_owned());
    expect_that!(text(&[first.clone(), of_version]), eq("[4 of 1]"));
    let of_service = changed(&second, |partial| partial.service = "other".to_owned());
    expect_that!(text(&[first.clone(), of_service]), eq("[4 of 1]"));
    let unknown = changed(&second, |partial| partial.version.clear());
    expect_that!(text(&[first, unknown]), eq("[4 of 1]"));
}

// Guards against rows left over from output that was dropped: they may seem to continue the new one.
#[gtest]
fn segment_of_dropped_output() {
    let first = changed(&row(0, None, 4, 1), |partial| partial.restarts = 1);
    let restored = join_segments(&[first, row(1, Some(4), 9, 1)]).remove(&3);
    let restored = restored.unwrap_or_default();
    expect_that!(restored.text, eq("[4 of 1]"));
    expect_that!(restored.restarts, eq(1));
}

// Guards against a guess at the version of output that an earlier version of this program saved.
#[gtest]
fn saved_without_a_version() {
    let old = changed(&row(0, None, 4, 1), |partial| {
        partial.service.clear();
        partial.version.clear();
    });
    let restored = join_segments(&[old]).remove(&3).unwrap_or_default();
    let origin = restored.origin.expect("an origin");
    expect_that!(origin.version, none());
}
