//! Reassembly of an answer from pieces that may come twice, out of order, or not at all.
//!
//! An answer is a row of pieces, one piece a token, each at its offset. [`Assembly`] takes each
//! offset once, keeps pieces that lie behind a gap within a bound, and calls the answer complete
//! only when the end was announced and every offset before it is there. Pieces of two attempts are
//! joined only when both were made by the same model version.

use std::collections::BTreeMap;
use std::collections::btree_map::Entry;

use derive_more::{Display, Error};

/// Bounds of one answer.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct AssemblyBounds {
    /// Most pieces of the whole answer.
    pub pieces: u32,
    /// Most pieces kept behind a gap.
    pub behind_gap: usize,
}

/// Why received pieces were not taken.
#[derive(Debug, Clone, PartialEq, Eq, Display, Error)]
pub enum AssemblyError {
    /// The attempt is answered by another model version than the pieces that are there.
    #[display("version {offered} cannot continue an answer of version {held}")]
    VersionChanged {
        /// Version of the pieces that are there.
        held: String,
        /// Version of the new attempt.
        offered: String,
    },
    /// The same offset came with another text.
    #[display("piece {offset} came twice with different text")]
    Conflict {
        /// Offset of the piece.
        offset: u32,
    },
    /// A bound was passed.
    #[display("more pieces than the bound of {bound}")]
    Bound {
        /// The bound.
        bound: usize,
    },
    /// A piece lies at or behind the announced end.
    #[display("piece {offset} lies behind the end at {total}")]
    BehindEnd {
        /// Offset of the piece.
        offset: u32,
        /// Announced length.
        total: u32,
    },
}

/// One answer in the making.
#[derive(Debug, Clone)]
pub struct Assembly {
    bounds: AssemblyBounds,
    version: Option<String>,
    pieces: Vec<String>,
    behind_gap: BTreeMap<u32, String>,
    total: Option<u32>,
    released: usize,
}

impl Assembly {
    /// An empty answer.
    pub fn new(bounds: AssemblyBounds) -> Self {
        Self {
            bounds,
            version: None,
            pieces: Vec::new(),
            behind_gap: BTreeMap::new(),
            total: None,
            released: 0,
        }
    }

    /// Begins an attempt that resumes at [`Assembly::offset`]: what the earlier attempt left behind
    /// a gap, and the end it announced, are forgotten.
    pub fn begin_attempt(&mut self) {
        self.behind_gap.clear();
        self.total = None;
    }

    /// The attempt was accepted by this model version. The version of an answer that has no piece
    /// yet may change.
    pub fn accepted(&mut self, version: &str) -> Result<(), AssemblyError> {
        let untouched = self.pieces.is_empty() && self.behind_gap.is_empty();
        match &self.version {
            Some(held) if held != version && !untouched => Err(AssemblyError::VersionChanged {
                held: held.clone(),
                offered: version.to_owned(),
            }),
            _ => {
                self.version = Some(version.to_owned());
                Ok(())
            }
        }
    }

    /// Takes the pieces at `offset` and after it. Pieces that are there already are compared.
    pub fn take(&mut self, offset: u32, pieces: Vec<String>) -> Result<(), AssemblyError> {
        for (index, piece) in pieces.into_iter().enumerate() {
            let position = offset.saturating_add(u32::try_from(index).unwrap_or(u32::MAX));
            self.take_one(position, piece)?;
        }
        while let Some(next) = self.behind_gap.remove(&self.offset()) {
            self.pieces.push(next);
        }
        Ok(())
    }

    fn take_one(&mut self, offset: u32, piece: String) -> Result<(), AssemblyError> {
        if let Some(total) = self.total.filter(|total| offset >= *total) {
            return Err(AssemblyError::BehindEnd { offset, total });
        }
        if offset >= self.bounds.pieces {
            return Err(AssemblyError::Bound {
                bound: self.bounds.pieces as usize,
            });
        }
        if let Some(held) = self.pieces.get(offset as usize) {
            return same_text(held, &piece, offset);
        }
        if offset == self.offset() {
            self.pieces.push(piece);
            return Ok(());
        }
        let full = self.behind_gap.len() >= self.bounds.behind_gap;
        match self.behind_gap.entry(offset) {
            Entry::Occupied(held) => same_text(held.get(), &piece, offset),
            Entry::Vacant(_) if full => Err(AssemblyError::Bound {
                bound: self.bounds.behind_gap,
            }),
            Entry::Vacant(place) => {
                place.insert(piece);
                Ok(())
            }
        }
    }

    /// The sender announced the length of the whole answer.
    pub fn finish(&mut self, total: u32) -> Result<(), AssemblyError> {
        let held = self
            .behind_gap
            .last_key_value()
            .map_or(self.offset(), |(last, _)| last + 1);
        if held > total {
            let offset = held - 1;
            return Err(AssemblyError::BehindEnd { offset, total });
        }
        self.total = Some(total);
        Ok(())
    }

    /// Forgets everything, so that the request can be run anew by another version. Refused when
    /// pieces were released already.
    pub fn restart(&mut self) -> bool {
        if self.released > 0 {
            return false;
        }
        *self = Self::new(self.bounds);
        true
    }

    /// Offset of the first piece that is missing.
    pub fn offset(&self) -> u32 {
        u32::try_from(self.pieces.len()).unwrap_or(u32::MAX)
    }

    /// Whether the end was announced and every piece before it is there.
    pub fn is_complete(&self) -> bool {
        self.total == Some(self.offset())
    }

    /// Whether the end was announced, complete or not.
    pub fn is_finished(&self) -> bool {
        self.total.is_some()
    }

    /// Model version of the answer; `None` before the first attempt was accepted.
    pub fn version(&self) -> Option<&str> {
        self.version.as_deref()
    }

    /// All pieces before the first gap.
    pub fn pieces(&self) -> &[String] {
        &self.pieces
    }

    /// Text of the pieces that were not released before; they count as released from now on.
    pub fn release(&mut self) -> String {
        let text = self.pieces[self.released..].concat();
        self.released = self.pieces.len();
        text
    }

    /// Number of pieces released to the caller.
    pub fn released(&self) -> usize {
        self.released
    }
}

fn same_text(held: &str, offered: &str, offset: u32) -> Result<(), AssemblyError> {
    if held == offered {
        Ok(())
    } else {
        Err(AssemblyError::Conflict { offset })
    }
}
