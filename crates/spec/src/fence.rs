//! Fenced orders to one engine from two controllers.
//!
//! A controller raises the epoch row, and sends orders under (epoch, sequence). Orders may be late,
//! come twice, or overtake one another; a controller may be replaced while it is paused, and may
//! crash and start again. The engine keeps its position while it runs.

use dappleyard_decide::fence::{OrderPosition, admits};
use derive_more::Display;

use crate::checker::Specification;
use crate::store::{Delivery, Versioned};

const CONTROLLERS: usize = 2;
const ORDERS_OF_AN_EPOCH: u64 = 2;

/// Plausible mistakes.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Mutant {
    /// The engine applies whatever order comes.
    FenceIgnored,
    /// A controller takes any row with its epoch for its own.
    HolderNotCompared,
}

/// The specification.
#[derive(Debug, Clone)]
pub struct Fence {
    /// The mistake to make; `None` for the protocol as it is.
    pub mutant: Option<Mutant>,
    /// Lost calls, lost or repeated orders, early time-outs and crashes in one run.
    pub faults: u8,
    /// Epochs in one run.
    pub epochs: u64,
}

/// The epoch row: epoch, holder and its incarnation.
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
    Ruling(OrderPosition),
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
    flaw: Option<&'static str>,
}

/// One step.
#[derive(Debug, Clone, Copy, Display)]
pub enum Action {
    /// A controller reads the epoch row and asks to raise it.
    #[display("controller {controller} claims the service")]
    Claim {
        /// The controller.
        controller: usize,
    },
    /// The network treats a claim.
    #[display("claim {index} is {delivery}")]
    Network {
        /// Which claim.
        index: usize,
        /// What becomes of it.
        delivery: Delivery,
    },
    /// A controller stops waiting and reads the row back.
    #[display("controller {controller} reads back")]
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
    #[display("order {index} arrives{}", if *again { ", and will come again" } else { "" })]
    Arrive {
        /// Which order.
        index: usize,
        /// Another copy is still on its way.
        again: bool,
    },
    /// A controller crashes and starts again.
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
                rule(claim.next.epoch)
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
        this.phase = if own { rule(next.epoch) } else { Phase::Idle };
    }

    fn arrive(&self, state: &mut State, order: OrderPosition) {
        let admitted = admits(state.applied, order) || self.mutant == Some(Mutant::FenceIgnored);
        if admitted {
            if order <= state.applied {
                state.flaw = Some("the engine obeyed an order older than one it had obeyed");
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
            Phase::Ruling(position) if position.sequence < ORDERS_OF_AN_EPOCH => {
                let order = OrderPosition {
                    sequence: position.sequence + 1,
                    ..position
                };
                next.orders.push(order);
                next.controllers[controller].phase = Phase::Ruling(order);
                steps.push((Action::Order { controller }, next));
            }
            Phase::Ruling(_) => {}
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
            for again in [false, true] {
                if again && !faults_left {
                    continue;
                }
                let mut next = state.clone();
                next.faults += u8::from(again);
                let order = next.orders[index];
                if !again {
                    next.orders.remove(index);
                }
                self.arrive(&mut next, order);
                steps.push((Action::Arrive { index, again }, next));
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
            flaw: None,
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
        if let Some(flaw) = state.flaw {
            return Some(flaw.to_owned());
        }
        let epochs = state.controllers.map(|controller| match controller.phase {
            Phase::Ruling(position) => Some(position.epoch),
            Phase::Idle | Phase::Claiming(_) => None,
        });
        let shared = epochs[0].is_some() && epochs[0] == epochs[1];
        shared.then(|| "two controllers rule under one epoch".to_owned())
    }

    fn situations(&self, state: &State) -> Vec<&'static str> {
        let epoch = state.row.value.epoch;
        let replaced = state.controllers.iter().any(|controller| {
            matches!(controller.phase, Phase::Ruling(position) if position.epoch < epoch)
        });
        let late = state.orders.iter().any(|order| *order < state.applied);
        let seen = [
            ("replaced controller that does not know it", replaced),
            ("late order", late),
            ("order obeyed", state.applied.epoch > 0),
            ("claim outlives its sender", outlived(state)),
        ];
        seen.into_iter()
            .filter_map(|(name, seen)| seen.then_some(name))
            .collect()
    }

    fn bounds(&self) -> String {
        format!(
            "{CONTROLLERS} controllers, 1 engine, up to {} epochs of {ORDERS_OF_AN_EPOCH} orders, {} faults",
            self.epochs, self.faults
        )
    }
}

fn rule(epoch: u64) -> Phase {
    Phase::Ruling(OrderPosition { epoch, sequence: 0 })
}

fn outlived(state: &State) -> bool {
    state
        .claims
        .iter()
        .any(|claim| state.controllers[claim.next.holder].phase != Phase::Claiming(claim.next))
}
