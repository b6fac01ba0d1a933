//! The batch path of a node: jobs, chunks, runners.
