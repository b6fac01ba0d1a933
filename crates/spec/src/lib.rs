//! Protocol specifications that the model checker explores.
