//! Input files: their parts in the object store, their lines and the items in them.

pub mod check;
pub mod item;
pub mod lines;
pub mod parts;

pub use check::{CheckedInput, ChunkRange, InputLimits, check_input};
pub use item::{Item, LineError, parse_item};
pub use lines::{Line, LineReader};
pub use parts::{Part, PartIndex};
