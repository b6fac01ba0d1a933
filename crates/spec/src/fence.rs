//! Fenced orders to one engine from two controllers.
//!
//! A controller increments the epoch row and sends orders numbered (epoch, sequence). Orders may be
//! delayed, duplicated or reordered; a controller may be replaced while it is paused, and may crash
//! and restart. The engine keeps the position of its latest order while it runs.

use dappleyard_decide::fence::{OrderPosition, admits};
use derive_more::Display;

use crate::checker::Specification;
use crate::store::{Delivery, Versioned};

const CONTROLLERS: usize = 2;
const ORDERS_PER_EPOCH: u64 = 2;

/// Bugs that can be injected.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Mutant {
    /// The engine applies every order without comparing positions.
    FenceIgnored,
    /// A controller treats any row with its epoch as its own.
    HolderNotCompared,
}

/// Specification of the protocol in this module.
#[derive(Debug, Clone)]
pub struct Fence {
    /// The injected bug; `None` for the unmodified protocol.
    pub mutant: Option<Mutant>,
    /// Maximum faults in one trace: lost calls, duplicated orders, early timeouts and crashes.
    pub faults: u8,
    /// Maximum epochs in one trace.
    pub epochs: u64,
}

#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Hash)]
struct EpochRow {
    epoch: u64,
    holder: usize,
    incarnation: u8,
}

#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
enum Phase {
    Idle,
    Claiming(EpochRow),
    Leading(OrderPosition),
}

#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
struct Controller {
    incarnation: u8,
    phase: Phase,
}

#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
struct Claim {
    next: EpochRow,
    revision: u8,
}

/// State of the epoch row, the controllers, the network and the engine.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
pub struct State {
    row: Versioned<EpochRow>,
    controllers: [Controller; CONTROLLERS],
    claims: Vec<Claim>,
    orders: Vec<OrderPosition>,
    applied: OrderPosition,
    faults: u8,
    observed_violation: Option<&'static str>,
}

/// One step.
#[derive(Debug, Clone, Copy, Display)]
pub enum Action {
    /// A controller reads the epoch row and sends an increment.
    #[display("controller {controller} claims the service")]
    Claim {
        /// The controller.
        controller: usize,
    },
    /// The network delivers or loses a claim.
    #[display("claim {index} is {delivery}")]
    Network {
        /// Index of the claim.
        index: usize,
        /// Outcome of the claim.
        delivery: Delivery,
    },
    /// A controller times out and reads the row.
    #[display("controller {controller} times out and reads the row")]
    ReadBack {
        /// The controller.
        controller: usize,
    },
    /// A controller sends an order.
    #[display("controller {controller} sends an order")]
    Order {
        /// The controller.
        controller: usize,
    },
    /// An order reaches the engine.
    #[display("order {index} arrives{}", if *duplicated { ", and a duplicate is in flight" } else { "" })]
    Arrive {
        /// Index of the order.
        index: usize,
        /// Whether another copy is still in flight.
        duplicated: bool,
    },
    /// A controller crashes and restarts.
    #[display("controller {controller} crashes and restarts")]
    Crash {
        /// The controller.
        controller: usize,
    },
}

impl Fence {
    fn deliver(&self, state: &mut State, index: usize, delivery: Delivery) {
        let claim = state.claims.remove(index);
        if delivery == Delivery::Lost {
            return;
        }
        let done = state.row.compare_and_swap(claim.revision, claim.next);
        if delivery == Delivery::AnswerLost {
            return;
        }
        let controller = &mut state.controllers[claim.next.holder];
        if controller.phase == Phase::Claiming(claim.next) {
            controller.phase = if done {
                lead(claim.next.epoch)
            } else {
                Phase::Idle
            };
        }
    }

    fn read_back(&self, state: &mut State, controller: usize) {
        let row = state.row.value;
        let this = &mut state.controllers[controller];
        let Phase::Claiming(next) = this.phase else {
            return;
        };
        let own = match self.mutant {
            Some(Mutant::HolderNotCompared) => row.epoch == next.epoch,
            _ => row == next,
        };
        this.phase = if own { lead(next.epoch) } else { Phase::Idle };
    }

    fn receive_order(&self, state: &mut State, order: OrderPosition) {
        let admitted = admits(state.applied, order) || self.mutant == Some(Mutant::FenceIgnored);
        if admitted {
            if order <= state.applied {
                state.observed_violation =
                    Some("the engine applied an order that is not newer than its latest");
            }
            state.applied = order;
        }
    }

    fn steps_of_controller(
        &self,
        state: &State,
        controller: usize,
        steps: &mut Vec<(Action, State)>,
    ) {
        let faults_left = state.faults < self.faults;
        let mut next = state.clone();
        match state.controllers[controller].phase {
            Phase::Idle if state.row.value.epoch < self.epochs => {
                let row = EpochRow {
                    epoch: state.row.value.epoch + 1,
                    holder: controller,
                    incarnation: state.controllers[controller].incarnation,
                };
                next.claims.push(Claim {
                    next: row,
                    revision: state.row.revision,
                });
                next.controllers[controller].phase = Phase::Claiming(row);
                steps.push((Action::Claim { controller }, next));
            }
            Phase::Idle => {}
            Phase::Claiming(row) => {
                let early = state.claims.iter().any(|claim| claim.next == row);
                if !early || faults_left {
                    next.faults += u8::from(early);
                    self.read_back(&mut next, controller);
                    steps.push((Action::ReadBack { controller }, next));
                }
            }
            Phase::Leading(position) if position.sequence < ORDERS_PER_EPOCH => {
                let order = OrderPosition {
                    sequence: position.sequence + 1,
                    ..position
                };
                next.orders.push(order);
                next.controllers[controller].phase = Phase::Leading(order);
                steps.push((Action::Order { controller }, next));
            }
            Phase::Leading(_) => {}
        }
        if faults_left {
            let mut next = state.clone();
            next.faults += 1;
            let this = &mut next.controllers[controller];
            this.incarnation += 1;
            this.phase = Phase::Idle;
            steps.push((Action::Crash { controller }, next));
        }
    }

    fn steps_of_network(&self, state: &State, steps: &mut Vec<(Action, State)>) {
        let faults_left = state.faults < self.faults;
        for index in 0..state.claims.len() {
            for delivery in Delivery::ALL {
                let fault = delivery != Delivery::Answered;
                if !fault || faults_left {
                    let mut next = state.clone();
                    next.faults += u8::from(fault);
                    self.deliver(&mut next, index, delivery);
                    steps.push((Action::Network { index, delivery }, next));
                }
            }
        }
        for index in 0..state.orders.len() {
            for duplicated in [false, true] {
                if duplicated && !faults_left {
                    continue;
                }
                let mut next = state.clone();
                next.faults += u8::from(duplicated);
                let order = next.orders[index];
                if !duplicated {
                    next.orders.remove(index);
                }
                self.receive_order(&mut next, order);
                steps.push((Action::Arrive { index, duplicated }, next));
            }
        }
    }
}

impl Specification for Fence {
    type State = State;
    type Action = Action;

    fn initial(&self) -> State {
        let controller = Controller {
            incarnation: 1,
            phase: Phase::Idle,
        };
        State {
            row: Versioned::default(),
            controllers: [controller; CONTROLLERS],
            claims: Vec::new(),
            orders: Vec::new(),
            applied: OrderPosition::default(),
            faults: 0,
            observed_violation: None,
        }
    }

    fn steps(&self, state: &State) -> Vec<(Action, State)> {
        let mut steps = Vec::new();
        for controller in 0..CONTROLLERS {
            self.steps_of_controller(state, controller, &mut steps);
        }
        self.steps_of_network(state, &mut steps);
        steps
    }

    fn violation(&self, state: &State) -> Option<String> {
        if let Some(observed_violation) = state.observed_violation {
            return Some(observed_violation.to_owned());
        }
        let epochs = state.controllers.map(|controller| match controller.phase {
            Phase::Leading(position) => Some(position.epoch),
            Phase::Idle | Phase::Claiming(_) => None,
        });
        let shared = epochs[0].is_some() && epochs[0] == epochs[1];
        shared.then(|| "two controllers rule under one epoch".to_owned())
    }

    fn coverage(&self, state: &State) -> Vec<&'static str> {
        let epoch = state.row.value.epoch;
        let replaced = state.controllers.iter().any(|controller| {
            matches!(controller.phase, Phase::Leading(position) if position.epoch < epoch)
        });
        let late = state.orders.iter().any(|order| *order < state.applied);
        let holds = [
            ("stale controller", replaced),
            ("late order", late),
            ("order applied", state.applied.epoch > 0),
            ("claim outlives its sender", has_orphaned_call(state)),
        ];
        holds
            .into_iter()
            .filter_map(|(name, holds)| holds.then_some(name))
            .collect()
    }

    fn bounds(&self) -> String {
        format!(
            "{CONTROLLERS} controllers, 1 engine, up to {} epochs of {ORDERS_PER_EPOCH} orders, {} faults",
            self.epochs, self.faults
        )
    }
}

fn lead(epoch: u64) -> Phase {
    Phase::Leading(OrderPosition { epoch, sequence: 0 })
}

fn has_orphaned_call(state: &State) -> bool {
    state
        .claims
        .iter()
        .any(|claim| state.controllers[claim.next.holder].phase != Phase::Claiming(claim.next))
}
