//! Node lifecycle: start, planned stop, kill and pause.

use std::time::Duration;

use dappleyard_node::NodeHandle;
use dappleyard_store::{Machine, MachineRole};
use dappleyard_tables::decisions::Decision;

use super::{Fleet, Instance, settings};
use crate::error::LabError;
use crate::recorder::{Event, PlannedStop, Unavailable};

/// A node of the scenario, running or not.
pub struct NodeSlot {
    pub instance: Instance,
    handle: Option<NodeHandle>,
    starts: u32,
    down_since: Option<Duration>,
}

impl NodeSlot {
    /// Creates a slot whose node is not running.
    pub fn new(instance: Instance) -> NodeSlot {
        NodeSlot {
            instance,
            handle: None,
            starts: 0,
            down_since: None,
        }
    }

    /// The node, if it is running.
    pub fn handle(&self) -> Option<&NodeHandle> {
        self.handle.as_ref()
    }

    /// Number of starts of this node.
    pub fn starts(&self) -> u32 {
        self.starts
    }

    /// Kills the node, if it is running.
    pub async fn kill(self) {
        if let Some(handle) = self.handle {
            handle.kill().await;
        }
    }
}

impl Fleet {
    /// Number of node slots.
    pub fn node_count(&self) -> usize {
        self.nodes.borrow().len()
    }

    pub fn node_instance(&self, index: usize) -> Instance {
        self.nodes.borrow()[index].instance.clone()
    }

    pub fn running_nodes(&self) -> Vec<usize> {
        let nodes = self.nodes.borrow();
        let running = nodes
            .iter()
            .enumerate()
            .filter(|(_, slot)| slot.handle.is_some());
        running.map(|(index, _)| index).collect()
    }

    /// Decision records of the running nodes, at most `limit` of each.
    pub fn decisions(&self, limit: usize) -> Vec<Decision> {
        let nodes = self.nodes.borrow();
        let running = nodes.iter().filter_map(NodeSlot::handle);
        running
            .flat_map(|handle| handle.tables().decisions.recent(limit))
            .collect()
    }

    /// Gossip addresses of the running nodes.
    pub fn gossip_addresses(&self) -> Vec<String> {
        self.addresses(NodeHandle::gossip_address)
    }

    /// Link addresses of the running nodes.
    pub fn link_addresses(&self) -> Vec<String> {
        self.addresses(NodeHandle::link_address)
    }

    /// Admin addresses of the running nodes.
    pub fn admin_addresses(&self) -> Vec<String> {
        self.addresses(NodeHandle::admin_address)
    }

    fn addresses(&self, address: fn(&NodeHandle) -> &str) -> Vec<String> {
        let nodes = self.nodes.borrow();
        nodes
            .iter()
            .filter_map(NodeSlot::handle)
            .map(|handle| address(handle).to_owned())
            .collect()
    }

    /// Starts a node; each start of the same id has a higher incarnation.
    pub async fn start_node(&self, index: usize) -> Result<(), LabError> {
        let instance = self.node_instance(index);
        let settings = settings::node(self, &instance);
        let policy = self.network.policy(&instance.location);
        let handle = dappleyard_node::start(settings, policy)
            .await
            .map_err(|error| LabError::failed(format!("{}: {error}", instance.name)))?;
        let addresses = [handle.link_address(), handle.gossip_address()];
        for name in addresses.into_iter().chain([instance.name.as_str()]) {
            self.network.set_location(name, &instance.location);
        }
        self.platform
            .put_machine(node_machine(&instance, handle.gossip_address()));
        let mut nodes = self.nodes.borrow_mut();
        let slot = &mut nodes[index];
        slot.handle = Some(handle);
        slot.starts += 1;
        if let Some(from) = slot.down_since.take() {
            self.recorder.add_event(Event::Unavailable(Unavailable {
                node: instance.name,
                from,
                to: self.recorder.clock.now(),
            }));
        }
        Ok(())
    }

    fn take_node(&self, index: usize) -> Option<NodeHandle> {
        let mut nodes = self.nodes.borrow_mut();
        let slot = &mut nodes[index];
        let handle = slot.handle.take()?;
        slot.down_since = Some(self.recorder.clock.now());
        Some(handle)
    }

    /// Stops a node gracefully and records how long it took; `false` if it is not running.
    pub async fn stop_node(&self, index: usize) -> bool {
        let Some(handle) = self.take_node(index) else {
            return false;
        };
        let node = self.node_instance(index).name;
        let told = self.recorder.clock.now();
        self.platform.set_leaving(&node, true);
        handle.stop().await;
        self.platform.remove_machine(&node);
        self.recorder.add_event(Event::Stop(PlannedStop {
            node,
            told,
            stopped: self.recorder.clock.now(),
            bound_ms: self.scenario.processes.stop_bound_ms,
        }));
        true
    }

    /// Kills a node, leaving it in the machine list; `false` if it is not running.
    pub async fn kill_node(&self, index: usize) -> bool {
        let Some(handle) = self.take_node(index) else {
            return false;
        };
        handle.kill().await;
        true
    }

    /// Blocks a node's threads for `length`; `false` if it is not running.
    pub fn pause_node(&self, index: usize, length: Duration) -> bool {
        let nodes = self.nodes.borrow();
        let Some(handle) = nodes[index].handle() else {
            return false;
        };
        handle.pause(length);
        let from = self.recorder.clock.now();
        self.recorder.add_event(Event::Unavailable(Unavailable {
            node: nodes[index].instance.name.clone(),
            from,
            to: from + length,
        }));
        true
    }
}

fn node_machine(instance: &Instance, gossip_address: &str) -> Machine {
    Machine {
        name: instance.name.clone(),
        role: MachineRole::Node,
        region: instance.location.region.as_str().into(),
        zone: instance.location.zone.as_str().into(),
        hall: instance.location.zone.clone(),
        address: gossip_address.to_owned(),
        service: "".into(),
        leaving: false,
    }
}
