//! State of the machine list. Readers see it with a configurable lag.

use std::collections::{BTreeMap, VecDeque};
use std::sync::Arc;

use dappleyard_store::Machine;

type List = Arc<BTreeMap<String, Machine>>;

/// State of the machine list. Times are microseconds.
#[derive(Debug)]
pub struct MachineState {
    lag_us: u64,
    /// Versions of the list with the time from which each is valid, oldest first.
    versions: VecDeque<(u64, List)>,
}

impl MachineState {
    /// Creates an empty list.
    pub fn new(lag_us: u64) -> MachineState {
        MachineState {
            lag_us,
            versions: VecDeque::from([(0, List::default())]),
        }
    }

    pub fn set_lag(&mut self, lag_us: u64) {
        self.lag_us = lag_us;
    }

    /// Replaces the list and its history; readers see it without lag.
    pub fn set_initial(&mut self, machines: Vec<Machine>) {
        self.versions = VecDeque::from([(0, by_name(machines))]);
    }

    /// Changes the list; readers see it after the lag.
    pub fn change(&mut self, now_us: u64, change: impl FnOnce(&mut BTreeMap<String, Machine>)) {
        let mut next = self.current();
        change(&mut next);
        self.versions.push_back((now_us, Arc::new(next)));
    }

    /// The current list, without lag.
    pub fn current(&self) -> BTreeMap<String, Machine> {
        let newest = self.versions.back();
        newest.map(|(_, list)| (**list).clone()).unwrap_or_default()
    }

    /// The list as readers see it at `now_us`.
    pub fn visible(&mut self, now_us: u64) -> Vec<Machine> {
        let visible_at_us = now_us.saturating_sub(self.lag_us);
        while self.versions.len() > 1 && self.versions[1].0 <= visible_at_us {
            self.versions.pop_front();
        }
        let oldest = self.versions.front();
        oldest
            .map(|(_, list)| list.values().cloned().collect())
            .unwrap_or_default()
    }
}

fn by_name(machines: Vec<Machine>) -> List {
    let named = machines.into_iter();
    Arc::new(
        named
            .map(|machine| (machine.name.clone(), machine))
            .collect(),
    )
}
