//! Membership, ownership and configuration spread.
