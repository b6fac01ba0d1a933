//! Recording of item outcomes. Result lines are kept in memory until all items of the chunk have
//! one.

use std::rc::Rc;

use dappleyard_wire::ErrorKind;

use super::work::{HeldChunk, ResultLine};
use super::{Runner, commit};
use crate::output::{ItemOutcome, result_line};

impl Runner {
    /// Records the outcome of an item; the last outcome of a chunk starts the commit.
    pub(super) fn record_outcome(
        self: &Rc<Self>,
        chunk: &Rc<HeldChunk>,
        index: u32,
        outcome: &ItemOutcome,
    ) {
        if chunk.is_stopped() {
            return;
        }
        let item = &chunk.items[index as usize];
        let request = chunk.request_id(index);
        let failed = matches!(outcome, ItemOutcome::Failed { .. });
        let written = ResultLine {
            bytes: result_line(item, request.as_str(), self.now_unix_s(), outcome),
            failed,
        };
        let name = if failed { "failed" } else { "answered" };
        self.metrics.items.with_label_values(&[name]).inc();
        let previous = chunk.lines.borrow_mut()[index as usize].replace(written);
        if previous.is_none() {
            chunk.remaining.set(chunk.remaining.get() - 1);
        }
        if previous.is_none() && chunk.remaining.get() == 0 {
            self.spawn(commit::run(self.clone(), chunk.clone()));
        }
    }

    /// Fails an item that must not be repeated and may have run already.
    pub(super) fn record_unknown(self: &Rc<Self>, chunk: &Rc<HeldChunk>, index: u32) {
        let outcome = ItemOutcome::Failed {
            kind: ErrorKind::OutcomeUnknown,
            message: "the item may have run and its outcome is lost; it is not run again"
                .to_owned(),
        };
        self.record_outcome(chunk, index, &outcome);
    }
}
