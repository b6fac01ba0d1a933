//! Command line of dappleyard.

fn main() {}
