//! Reassembly of a streamed response from pieces that may be duplicated, reordered or lost.
//!
//! A response is a sequence of pieces, one per token, identified by offset. [`Assembly`]
//! deduplicates pieces, buffers a bounded number after a gap, and is complete once its length is
//! known and every piece has been received. Pieces of different attempts are combined only if they
//! come from the same model version.

use std::collections::BTreeMap;

use derive_more::{Display, Error};

/// Limits of a response.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct AssemblyBounds {
    /// Maximum pieces of the response.
    pub pieces: u32,
    /// Maximum pieces buffered after a gap.
    pub after_gap: usize,
}

/// Error for pieces that were rejected.
#[derive(Debug, Clone, PartialEq, Eq, Display, Error)]
pub enum AssemblyError {
    /// The model version of the attempt differs from that of the received pieces.
    #[display("version {offered} cannot continue an answer of version {held}")]
    VersionChanged {
        /// Version of the received pieces.
        held: String,
        /// Version of the new attempt.
        offered: String,
    },
    /// A piece was received again with different text.
    #[display("piece {offset} came twice with different text")]
    Conflict { offset: u32 },
    /// A limit of [`AssemblyBounds`] was exceeded.
    #[display("more pieces than the bound of {bound}")]
    Bound { bound: usize },
    /// A piece is at or past the announced end.
    #[display("piece {offset} lies behind the end at {total}")]
    PastEnd {
        offset: u32,
        /// Announced number of pieces.
        total: u32,
    },
}

/// Response being reassembled.
#[derive(Debug, Clone)]
pub struct Assembly {
    bounds: AssemblyBounds,
    version: Option<String>,
    pieces: Vec<String>,
    after_gap: BTreeMap<u32, String>,
    total: Option<u32>,
    released: usize,
}

impl Assembly {
    pub fn new(bounds: AssemblyBounds) -> Self {
        Self {
            bounds,
            version: None,
            pieces: Vec::new(),
            after_gap: BTreeMap::new(),
            total: None,
            released: 0,
        }
    }

    /// Begins an attempt that resumes at [`Assembly::offset`]. Pieces after a gap and the length
    /// announced by the previous attempt are discarded.
    pub fn begin_attempt(&mut self) {
        self.after_gap.clear();
        self.total = None;
    }

    /// Sets the model version that accepted the attempt. It may change until a piece is received.
    pub fn set_version(&mut self, version: &str) -> Result<(), AssemblyError> {
        let no_pieces = self.pieces.is_empty() && self.after_gap.is_empty();
        match &self.version {
            Some(held) if held != version && !no_pieces => Err(AssemblyError::VersionChanged {
                held: held.clone(),
                offered: version.to_owned(),
            }),
            _ => {
                self.version = Some(version.to_owned());
                Ok(())
            }
        }
    }

    /// Adds consecutive pieces starting at `offset`, all or none. Pieces received before must be
    /// identical.
    pub fn take(&mut self, offset: u32, pieces: Vec<String>) -> Result<(), AssemblyError> {
        self.check(offset, &pieces)?;
        for (position, piece) in (offset..).zip(pieces) {
            if position == self.offset() {
                self.pieces.push(piece);
            } else if position > self.offset() {
                self.after_gap.insert(position, piece);
            }
        }
        while let Some(next) = self.after_gap.remove(&self.offset()) {
            self.pieces.push(next);
        }
        Ok(())
    }

    fn check(&self, offset: u32, pieces: &[String]) -> Result<(), AssemblyError> {
        let end = u64::from(offset) + pieces.len() as u64;
        if end > u64::from(self.bounds.pieces) {
            return Err(AssemblyError::Bound {
                bound: self.bounds.pieces as usize,
            });
        }
        if let Some(total) = self.total.filter(|total| end > u64::from(*total)) {
            return Err(AssemblyError::PastEnd { offset, total });
        }
        for (position, piece) in (offset..).zip(pieces) {
            if self.piece_at(position).is_some_and(|held| held != piece) {
                return Err(AssemblyError::Conflict { offset: position });
            }
        }
        let new = (offset..)
            .zip(pieces)
            .filter(|(at, _)| self.piece_at(*at).is_none());
        let after_gap = self.after_gap.len() + new.count();
        if offset > self.offset() && after_gap > self.bounds.after_gap {
            return Err(AssemblyError::Bound {
                bound: self.bounds.after_gap,
            });
        }
        Ok(())
    }

    fn piece_at(&self, offset: u32) -> Option<&String> {
        self.pieces
            .get(offset as usize)
            .or_else(|| self.after_gap.get(&offset))
    }

    /// Sets the length of the response, as announced by the sender.
    pub fn finish(&mut self, total: u32) -> Result<(), AssemblyError> {
        let held = self
            .after_gap
            .last_key_value()
            .map_or(self.offset(), |(last, _)| last + 1);
        if held > total {
            let offset = held - 1;
            return Err(AssemblyError::PastEnd { offset, total });
        }
        self.total = Some(total);
        Ok(())
    }

    /// Resets the response so that the request can be run again by another version. Returns `false`
    /// if pieces were already released.
    pub fn restart(&mut self) -> bool {
        if self.released > 0 {
            return false;
        }
        *self = Self::new(self.bounds);
        true
    }

    /// Offset of the first missing piece.
    pub fn offset(&self) -> u32 {
        u32::try_from(self.pieces.len()).unwrap_or(u32::MAX)
    }

    /// Whether the length is known and all pieces have been received.
    pub fn is_complete(&self) -> bool {
        self.total == Some(self.offset())
    }

    /// Whether the length is known; pieces may still be missing.
    pub fn is_finished(&self) -> bool {
        self.total.is_some()
    }

    /// Model version of the response; `None` until an attempt is accepted.
    pub fn version(&self) -> Option<&str> {
        self.version.as_deref()
    }

    /// Pieces before the first gap.
    pub fn pieces(&self) -> &[String] {
        &self.pieces
    }

    /// Returns the text of the pieces not yet released, and marks them as released.
    pub fn release(&mut self) -> String {
        let text = self.pieces[self.released..].concat();
        self.released = self.pieces.len();
        text
    }

    pub fn released(&self) -> usize {
        self.released
    }
}
