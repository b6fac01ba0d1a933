//! Applies server registrations to a view.

use std::collections::{HashMap, HashSet};
use std::sync::Arc;
use std::time::Duration;

use dappleyard_model::{Dialect, Row};

use crate::follow::{Contact, TableSink};
use crate::server_digest::{ParsedEntry, digest, parse_digest};
use crate::view::{View, ViewState};

/// Shortest interval between two reads of changes. Each heartbeat of a server rewrites its row, and
/// few of these changes matter.
const READ_INTERVAL: Duration = Duration::from_millis(400);

/// Applies rows of the server table to a view.
pub struct ServersSink {
    pub view: Arc<View>,
    pub dialect: Arc<dyn Dialect>,
}

impl ServersSink {
    /// Parses an entry; `None` for a deleted row. Other clients write to the table too, so an
    /// invalid entry does not affect the others.
    fn read(&self, row: &Row) -> Option<ParsedEntry> {
        let value = row.value.as_ref()?;
        let digested = parse_digest(&row.key, value);
        Some(digested.unwrap_or_else(|| self.parse_native(&row.key, value)))
    }

    /// Parses an entry in the server's own format.
    fn parse_native(&self, key: &str, value: &[u8]) -> ParsedEntry {
        let read = self.dialect.server(key, value);
        read.map_err(|error| error.to_string())
    }

    /// Records whether an entry is valid, and logs the cause when it changes.
    fn set_refused(&self, known: &mut ViewState, key: &str, cause: Option<&String>) {
        if known.refused.get(key) == cause {
            return;
        }
        match cause {
            Some(cause) => known.refused.insert(key.to_owned(), cause.clone()),
            None => known.refused.remove(key),
        };
        if let Some(cause) = cause {
            self.view.log().write(
                "server_refused",
                || serde_json::json!({"server": key, "cause": cause}),
            );
        }
    }
}

impl TableSink for ServersSink {
    fn table(&self) -> &'static str {
        self.dialect.sources().servers_table
    }

    fn is_partitioned(&self) -> bool {
        false
    }

    fn min_poll_interval(&self) -> Duration {
        READ_INTERVAL
    }

    fn digest(&self, row: Row) -> Row {
        digest(row, |row| {
            let value = row.value.as_deref().unwrap_or_default();
            self.parse_native(&row.key, value)
        })
    }

    fn replace(&self, rows: Vec<Row>, revision: u64) {
        let mut servers = Vec::new();
        let mut refused = HashMap::new();
        for row in &rows {
            match self.read(row) {
                Some(Ok(server)) => servers.push((server, row.revision)),
                Some(Err(cause)) => {
                    refused.insert(row.key.as_str(), cause);
                }
                None => {}
            }
        }
        let listed: HashSet<&str> = servers
            .iter()
            .map(|(server, _)| server.instance.as_str())
            .collect();
        let mut known = self.view.known.lock();
        known
            .servers
            .retain(|name, (at, _)| *at > revision || listed.contains(name.as_str()));
        let ViewState {
            servers: held,
            previous_runs,
            refused: refused_before,
            ..
        } = &mut *known;
        previous_runs.retain(|name, _| held.contains_key(name));
        refused_before.retain(|key, _| refused.contains_key(key.as_str()));
        for (key, cause) in &refused {
            self.set_refused(&mut known, key, Some(cause));
        }
        for (server, at) in servers {
            View::put_server(&mut known, server, at);
        }
        known.servers_read = true;
        View::mark_all_stale(&mut known);
        for (_, server) in known.servers.values() {
            self.view.note_version(&known, server);
        }
        drop(known);
        self.view.changed.notify_waiters();
    }

    fn change(&self, row: Row) {
        let (server, cause) = match self.read(&row) {
            Some(Ok(server)) => (Some(server), None),
            Some(Err(cause)) => (None, Some(cause)),
            None => (None, None),
        };
        let mut known = self.view.known.lock();
        self.set_refused(&mut known, &row.key, cause.as_ref());
        let held = known.servers.get(&row.key);
        let before = held.map(|(_, server)| server.service.clone());
        let applied = match server.clone() {
            Some(server) => View::put_server(&mut known, server, row.revision),
            None => View::remove_server(&mut known, &row.key),
        };
        if !applied {
            return;
        }
        let after = server.as_ref().map(|server| server.service.clone());
        for service in before.into_iter().chain(after) {
            View::mark_stale(&mut known, &service);
        }
        if let Some(server) = &server {
            self.view.note_version(&known, server);
        }
        drop(known);
        self.view.log_server(&row, server.as_ref());
        self.view.changed.notify_waiters();
    }

    fn contact(&self, contact: &Contact) {
        let mut known = self.view.known.lock();
        known.servers_contact = known.servers_contact.max(contact.known_at());
    }
}
