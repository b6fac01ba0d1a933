//! Command line of the experiment tool.

fn main() {}
