//! The process beside each caller: accept, stamp, choose, forward, reassemble, answer.
