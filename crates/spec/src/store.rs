//! Model of the table service: versioned rows changed by compare-and-swap, over a network that may
//! delay or drop a call, or lose the answer after the change took effect.

use derive_more::Display;

/// A row and the number of times it was written.
#[derive(Debug, Clone, Default, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct Versioned<T> {
    /// The row.
    pub value: T,
    /// Incremented by each write.
    pub revision: u8,
}

impl<T> Versioned<T> {
    /// Writes the row if it still has the expected revision; returns whether it did.
    pub fn compare_and_swap(&mut self, expected: u8, value: T) -> bool {
        let matches = self.revision == expected;
        if matches {
            self.write(value);
        }
        matches
    }

    pub fn write(&mut self, value: T) {
        self.value = value;
        self.revision += 1;
    }
}

/// Outcome of a call to the store or to an engine.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Display)]
pub enum Delivery {
    /// The call takes effect and its answer arrives.
    #[display("answered")]
    Answered,
    /// The call takes effect and its answer is lost.
    #[display("answer lost after the effect")]
    AnswerLost,
    /// The call is lost without effect.
    #[display("lost without effect")]
    Lost,
}

impl Delivery {
    /// All outcomes.
    pub const ALL: [Delivery; 3] = [Delivery::Answered, Delivery::AnswerLost, Delivery::Lost];
}
