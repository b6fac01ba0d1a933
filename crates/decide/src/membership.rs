//! Probing, suspicion and incarnations of nodes.
