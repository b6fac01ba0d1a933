//! Selection of the next target and construction of its submission.

use dappleyard_decide::retry::may_retry;
use dappleyard_wire::ids::{NodeId, ServerId};
use dappleyard_wire::messages::{Stage, Submit};

use super::IngressRun;
use crate::place::{self, PlacementQuery, Target};
use crate::receive::ATTEMPTS_PER_STAGE;
use crate::view;

/// Maximum number of entry nodes of other cells tried per submission.
const MAXIMUM_SPILLS: usize = 3;

impl IngressRun {
    /// The node that can attach to the running stream, otherwise the best untried target.
    pub(super) fn next_target(&mut self) -> Option<Target> {
        if self.earlier.has_stream() {
            return Some(self.resume_target());
        }
        if !may_retry(self.ran, self.incoming.request.repeat()) {
            return None;
        }
        let may_spill = self.incoming.stage == Stage::Ingress && self.spills < MAXIMUM_SPILLS;
        let owners_left = self.owners_tried < self.worker.settings.owner_candidates;
        if !owners_left && !may_spill {
            return None;
        }
        let view = self.worker.view();
        let query = PlacementQuery {
            request: &self.incoming.request,
            version: &self.earlier.version,
            bound_percent: self.worker.settings.affinity_bound_percent,
            tried: &self.tried,
        };
        let target = place::next_target(&view, &query, owners_left, may_spill)?;
        self.count_target(&target);
        Some(target)
    }

    fn count_target(&mut self, target: &Target) {
        let own = self.worker.tables.identity.node.to_string();
        let (node, place) = match target {
            Target::Local => (own, "local"),
            Target::Node(address, Stage::Cell) => (address.node.clone(), "cell"),
            Target::Node(address, _) => (address.node.clone(), "owner"),
        };
        if place == "cell" {
            self.spills += 1;
        } else {
            self.owners_tried += 1;
        }
        self.tried.push(node);
        let placed = &self.worker.shared.metrics.placed;
        placed.with_label_values(&[place]).inc();
    }

    /// The owner of the stream's server. Falls back to this node if the owner is unusable or was already
    /// tried, since any node may call any engine.
    fn resume_target(&mut self) -> Target {
        let placed = &self.worker.shared.metrics.placed;
        placed.with_label_values(&["resumed"]).inc();
        let tables = &self.worker.tables;
        let server = ServerId::from(&self.earlier.server);
        let owner = tables.directory.get(&server).and_then(|entry| entry.owner);
        let node = owner
            .filter(|owner| !self.tried.iter().any(|tried| tried == owner.as_str()))
            .filter(|owner| *owner != tables.identity.node)
            .and_then(|owner: NodeId| view::usable_node(tables, &owner));
        match node {
            Some(address) => {
                self.tried.push(address.node.clone());
                Target::Node(address, Stage::Owner)
            }
            None => Target::Local,
        }
    }

    pub(super) fn submission(&mut self, target: &Target) -> Submit {
        self.submissions += 1;
        let stage = match target {
            Target::Local => Stage::Owner,
            Target::Node(_, stage) => *stage,
        };
        let attempt = self.incoming.attempt.saturating_mul(ATTEMPTS_PER_STAGE);
        Submit {
            request: Some(self.incoming.request.clone()),
            attempt: attempt.saturating_add(self.submissions),
            stage: stage as i32,
            budget_ms: self.incoming.remaining_ms(),
            resume_offset: u32::try_from(self.pieces.len()).unwrap_or(u32::MAX),
            resumed_pieces: self.pieces.clone(),
            version: self.earlier.version.clone(),
            engine_stream: self.earlier.engine_stream.clone(),
            server: self.earlier.server.clone(),
            ran_before: self.ran as i32,
            from_zone: self.worker.tables.identity.zone.to_string(),
            configuration_revision: self.worker.tables.configuration.revision(),
        }
    }
}
