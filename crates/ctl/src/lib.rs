//! Client of the operators' interface.
