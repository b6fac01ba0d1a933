//! Applies the operators' table: the configuration and the evacuation orders.

use std::hash::{Hash, Hasher};
use std::sync::Arc;

use dappleyard_clock::Instant;
use dappleyard_model::{Dialect, EventLog, OperatorOrder, Row, ZoneName};
use xxhash_rust::xxh3::Xxh3Default;

use crate::evacuations::ZoneRow;
use crate::follow::{Contact, TableSink};
use crate::view::View;

/// Log cause for a row with an unknown key.
const UNKNOWN_KEY: &str = "unknown key";

/// Applies rows of the operators' table to a view.
pub struct ConfigurationSink {
    pub view: Arc<View>,
    pub dialect: Arc<dyn Dialect>,
}

impl ConfigurationSink {
    fn log(&self) -> &EventLog {
        self.view.log()
    }

    fn configure(&self, row: &Row) {
        let Some(value) = &row.value else {
            return;
        };
        match self.dialect.configuration(value) {
            Ok(configuration) => self.view.apply_configuration(configuration, row.revision),
            Err(error) => self.log().write(
                "configuration_refused",
                || serde_json::json!({"cause": error.to_string(), "revision": row.revision}),
            ),
        }
    }

    /// Whether the value of an order can be parsed; logs the row otherwise.
    fn is_readable(&self, row: &Row) -> bool {
        let value = row.value.as_deref().unwrap_or_default();
        match self.dialect.evacuation(value) {
            Ok(()) => true,
            Err(error) => {
                self.refuse(row, &error.to_string());
                false
            }
        }
    }

    fn refuse(&self, row: &Row, cause: &str) {
        self.log().write(
            "order_refused",
            || serde_json::json!({"row": row.key, "revision": row.revision, "cause": cause}),
        );
    }

    fn change_zone(&self, zone: &ZoneName, row: &Row) {
        let now = Instant::now();
        match row.value {
            None => self
                .view
                .change_zones(|zones| Vec::from_iter(zones.withdraw(zone, row.revision, now))),
            Some(_) if self.is_readable(row) => self
                .view
                .change_zones(|zones| Vec::from_iter(zones.issue(zone, row.revision, now))),
            Some(_) => {}
        }
    }
}

impl TableSink for ConfigurationSink {
    fn table(&self) -> &'static str {
        self.dialect.sources().configuration_table
    }

    fn is_partitioned(&self) -> bool {
        false
    }

    /// Includes the revision of evacuation orders: rewriting one with the same value means that it
    /// was withdrawn in between.
    fn content_hash(&self, row: &Row) -> u64 {
        let mut hasher = Xxh3Default::new();
        row.value.hash(&mut hasher);
        if matches!(
            self.dialect.order(&row.key),
            Some(OperatorOrder::Evacuation(_))
        ) {
            row.revision.hash(&mut hasher);
        }
        hasher.finish()
    }

    fn replace(&self, rows: Vec<Row>, revision: u64) {
        let mut zones = Vec::new();
        let mut configurations = Vec::new();
        for row in &rows {
            match self.dialect.order(&row.key) {
                Some(OperatorOrder::Configuration) => configurations.push(row),
                Some(OperatorOrder::Evacuation(zone)) => zones.push(ZoneRow {
                    zone,
                    revision: row.revision,
                    readable: self.is_readable(row),
                }),
                None => self.refuse(row, UNKNOWN_KEY),
            }
        }
        // Zones first: applying the configuration makes the node ready.
        let now = Instant::now();
        self.view
            .change_zones(|held| held.replace(&zones, revision, now));
        configurations
            .into_iter()
            .for_each(|row| self.configure(row));
    }

    fn change(&self, row: Row) {
        match self.dialect.order(&row.key) {
            Some(OperatorOrder::Configuration) => self.configure(&row),
            Some(OperatorOrder::Evacuation(zone)) => self.change_zone(&zone, &row),
            None if row.value.is_some() => self.refuse(&row, UNKNOWN_KEY),
            None => {}
        }
    }

    fn contact(&self, contact: &Contact) {
        self.view.note_contact(contact);
    }
}
