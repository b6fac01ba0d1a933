//! Choice of an owner node and of a server.
