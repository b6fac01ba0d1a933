//! once
