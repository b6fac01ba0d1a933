//! Experiments: load, faults, invariants, capacity, replay.
