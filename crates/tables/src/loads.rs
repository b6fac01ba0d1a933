//! Load summaries of the nodes of this cell and of other cells.

use std::collections::BTreeMap;

use dappleyard_decide::time::Millis;
use dappleyard_wire::messages::{CellAggregate, NodeLoad};

use crate::rank::{Rank, RankedMutex};

/// Summary with the time of its arrival.
#[derive(Debug, Clone, PartialEq)]
pub struct Timestamped<T> {
    pub value: T,
    /// Time of arrival.
    pub at: Millis,
}

#[derive(Debug, Default)]
struct Loads {
    nodes: BTreeMap<String, Timestamped<NodeLoad>>,
    cells: BTreeMap<String, Timestamped<CellAggregate>>,
}

pub struct LoadsTable {
    loads: RankedMutex<Loads>,
}

impl Default for LoadsTable {
    fn default() -> Self {
        Self {
            loads: RankedMutex::new(Rank::Loads, Loads::default()),
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
                .insert(load.node.clone(), Timestamped { value: load, at });
        }
    }

    /// Stores a cell's summary unless a later one is known.
    pub fn put_cell(&self, aggregate: CellAggregate, at: Millis) {
        let mut loads = self.loads.lock();
        let known = loads.cells.get(&aggregate.cell);
        if known.is_none_or(|known| known.value.sequence <= aggregate.sequence) {
            loads.cells.insert(
                aggregate.cell.clone(),
                Timestamped {
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
    pub fn nodes(&self) -> Vec<Timestamped<NodeLoad>> {
        self.loads.lock().nodes.values().cloned().collect()
    }

    /// Summaries of other cells.
    pub fn cells(&self) -> Vec<Timestamped<CellAggregate>> {
        self.loads.lock().cells.values().cloned().collect()
    }
}
