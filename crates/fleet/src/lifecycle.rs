//! The node's life cycle as far as the fleet part decides it: starting, ready, withdrawn.

#[cfg(test)]
mod tests;

use dappleyard_decide::membership::MembershipStatus;
use dappleyard_decide::time::Millis;
use dappleyard_tables::decisions::{Decision, DecisionKind, Subject};
use dappleyard_tables::{Lifecycle, NodeTables};

/// What decides whether the node serves.
#[derive(Debug, Clone, Copy)]
pub struct Inputs {
    /// The node has learnt members and configuration since it started.
    pub synced: bool,
    /// Whether it can vouch for what it knows.
    pub standing: MembershipStatus,
    /// Highest configuration revision that others have shown.
    pub highest_heard: u64,
    /// Revision in force here.
    pub revision: u64,
}

/// Decides the life cycle from the inputs, and remembers since when the node lags.
#[derive(Debug, Default)]
pub struct LifecycleGuard {
    behind_since: Option<Millis>,
    recovering: bool,
}

impl LifecycleGuard {
    /// The life cycle and its cause.
    pub fn decide(
        &mut self,
        inputs: Inputs,
        vouch_ms: u64,
        now: Millis,
    ) -> (Lifecycle, &'static str) {
        let behind = inputs.revision < inputs.highest_heard;
        if !behind {
            self.behind_since = None;
        } else if self.behind_since.is_none() {
            self.behind_since = Some(now);
        }
        if !inputs.synced {
            return (
                Lifecycle::Starting,
                "members and configuration are not known yet",
            );
        }
        match inputs.standing {
            MembershipStatus::Superseded => {
                return (Lifecycle::Withdrawn, "a later start of this node is alive");
            }
            MembershipStatus::Unconfirmed => {
                self.recovering = true;
                return (
                    Lifecycle::Withdrawn,
                    "the node was paused or declared dead, and no member has answered since",
                );
            }
            MembershipStatus::Isolated => {
                self.recovering = true;
                return (Lifecycle::Withdrawn, "neither members nor the store answer");
            }
            MembershipStatus::Current => {}
        }
        let lags_long = self
            .behind_since
            .is_some_and(|since| now.since(since) > vouch_ms);
        if behind && (self.recovering || lags_long) {
            return (
                Lifecycle::Withdrawn,
                "the configuration is older than that of other members",
            );
        }
        self.recovering = false;
        (
            Lifecycle::Ready,
            "members and configuration are vouched for",
        )
    }
}

/// Puts the node into `next` unless it drains or has stopped. Returns whether it has changed.
pub fn enter(tables: &NodeTables, next: Lifecycle, cause: &str) -> bool {
    let mut before = next;
    let changed = tables.lifecycle.send_if_modified(|current| {
        before = *current;
        let kept = matches!(current, Lifecycle::Draining | Lifecycle::Stopped);
        let changed = !kept && *current != next;
        if changed {
            *current = next;
        }
        changed
    });
    if changed {
        tracing::info!(?before, ?next, cause, "life cycle");
        record(tables, before, next, cause);
    }
    changed
}

fn record(tables: &NodeTables, before: Lifecycle, next: Lifecycle, cause: &str) {
    let node = tables.identity.node.to_string();
    let kind = match next {
        Lifecycle::Withdrawn => DecisionKind::Withdrawn,
        _ => DecisionKind::MemberChanged,
    };
    tables.decisions.record(Decision {
        unix_ms: tables.clock.unix_ms(),
        node: node.clone(),
        kind,
        subjects: vec![Subject::Node(node)],
        cause: cause.to_owned(),
        inputs: vec![("before".to_owned(), format!("{before:?}"))],
        outcome: format!("{next:?}"),
    });
}
