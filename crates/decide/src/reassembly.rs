//! Reassembly of an answer from pieces that may come twice, out of order, or not at all.
//!
//! An answer is a row of pieces, one piece a token, each at its offset. [`Assembly`] takes each
//! offset once, keeps pieces that lie behind a gap within a bound, and calls the answer complete
//! only when the end was announced and every offset before it is there. Pieces of two attempts are
//! joined only when both were made by the same model version.

use std::collections::BTreeMap;

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

    /// Takes the pieces at `offset` and after it, all or none. Pieces that are there already are
    /// compared.
    pub fn take(&mut self, offset: u32, pieces: Vec<String>) -> Result<(), AssemblyError> {
        self.check(offset, &pieces)?;
        for (position, piece) in (offset..).zip(pieces) {
            if position == self.offset() {
                self.pieces.push(piece);
            } else if position > self.offset() {
                self.behind_gap.insert(position, piece);
            }
        }
        while let Some(next) = self.behind_gap.remove(&self.offset()) {
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
            return Err(AssemblyError::BehindEnd { offset, total });
        }
        for (position, piece) in (offset..).zip(pieces) {
            if self.held(position).is_some_and(|held| held != piece) {
                return Err(AssemblyError::Conflict { offset: position });
            }
        }
        let new = (offset..)
            .zip(pieces)
            .filter(|(at, _)| self.held(*at).is_none());
        let behind_gap = self.behind_gap.len() + new.count();
        if offset > self.offset() && behind_gap > self.bounds.behind_gap {
            return Err(AssemblyError::Bound {
                bound: self.bounds.behind_gap,
            });
        }
        Ok(())
    }

    fn held(&self, offset: u32) -> Option<&String> {
        self.pieces
            .get(offset as usize)
            .or_else(|| self.behind_gap.get(&offset))
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
