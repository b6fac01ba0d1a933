//! fence
