//! Batch width of a server beside its online load.
