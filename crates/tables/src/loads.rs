//! Load summaries of the nodes of this cell and of other cells.

use std::collections::BTreeMap;

use dappleyard_decide::time::Millis;
use dappleyard_wire::messages::{CellAggregate, NodeLoad};

use crate::rank::{Rank, Ranked};

/// Summary with the time of its arrival.
#[derive(Debug, Clone, PartialEq)]
pub struct Stamped<T> {
    pub value: T,
    /// Time of arrival.
    pub at: Millis,
}

#[derive(Debug, Default)]
struct Loads {
    nodes: BTreeMap<String, Stamped<NodeLoad>>,
    cells: BTreeMap<String, Stamped<CellAggregate>>,
}

pub struct LoadsTable {
    loads: Ranked<Loads>,
}

impl Default for LoadsTable {
    fn default() -> Self {
        Self {
            loads: Ranked::new(Rank::Loads, Loads::default()),
        }
    }
}

impl LoadsTable {
    /// Stores a node's summary unless a later one is known.
    pub fn put_node(&self, load: NodeLoad, at: Millis) {
        let mut loads = self.loads.lock();
        let older = loads
            .nodes
            .get(&load.node)
            .is_some_and(|known| known.value.sequence > load.sequence);
        if !older {
            loads
                .nodes
                .insert(load.node.clone(), Stamped { value: load, at });
        }
    }

    /// Stores a cell's summary unless a later one is known.
    pub fn put_cell(&self, aggregate: CellAggregate, at: Millis) {
        let mut loads = self.loads.lock();
        let known = loads.cells.get(&aggregate.cell);
        if known.is_none_or(|known| known.value.sequence <= aggregate.sequence) {
            loads.cells.insert(
                aggregate.cell.clone(),
                Stamped {
                    value: aggregate,
                    at,
                },
            );
        }
    }

    pub fn remove_node(&self, node: &str) {
        self.loads.lock().nodes.remove(node);
    }

    /// Summaries of the nodes of this cell.
    pub fn nodes(&self) -> Vec<Stamped<NodeLoad>> {
        self.loads.lock().nodes.values().cloned().collect()
    }

    /// Summaries of other cells.
    pub fn cells(&self) -> Vec<Stamped<CellAggregate>> {
        self.loads.lock().cells.values().cloned().collect()
    }
}
