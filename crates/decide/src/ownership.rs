//! Cells and rendezvous ownership of servers.
