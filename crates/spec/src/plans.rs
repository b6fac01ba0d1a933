//! Confirmation of two plans that depend on the same row.
//!
//! A confirmation is one transaction that compares the plan row and every row that the plan depends
//! on. An operator who gets no answer reads the plan row again; a plan whose basis has changed is
//! closed as overtaken.

use derive_more::Display;

use crate::checker::Specification;
use crate::store::{Delivery, Versioned};

const PLANS: usize = 2;
/// Fault-free rounds within which both operators must have their answer.
const FAULT_FREE_ROUNDS: usize = 6;

/// Bugs that can be injected.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Mutant {
    /// The confirmation compares only the plan's own row.
    BasisNotCompared,
    /// An operator whose answer is lost is told that the plan was refused.
    LostAnswerRefused,
}

/// Specification of the protocol in this module.
#[derive(Debug, Clone)]
pub struct Plans {
    /// The injected bug; `None` for the unmodified protocol.
    pub mutant: Option<Mutant>,
    /// Maximum faults in one trace: lost calls, lost answers and early timeouts.
    pub faults: u8,
}

#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Hash)]
enum PlanPhase {
    #[default]
    Proposed,
    Running,
    Overtaken,
}

/// State of an operator.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
enum Operator {
    Reading,
    /// Has read the plan row and sent a call.
    Waiting,
    Accepted,
    /// Told that the plan was not confirmed.
    Refused,
    /// Told that it may have been confirmed.
    Unknown,
}

#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
struct Call {
    plan: usize,
    next: PlanPhase,
    plan_revision: u8,
}

/// State of the rows, the operators and the network.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
pub struct State {
    /// The row that both plans depend on, read at revision 0.
    basis: Versioned<()>,
    plans: [Versioned<PlanPhase>; PLANS],
    operators: [Operator; PLANS],
    calls: Vec<Call>,
    faults: u8,
}

/// One step.
#[derive(Debug, Clone, Copy, Display)]
pub enum Action {
    /// An operator reads the plan row and sends a confirmation or closes the plan as overtaken.
    #[display("operator {operator} reads and sends")]
    Proceed {
        /// The operator.
        operator: usize,
    },
    /// The network delivers or loses a call.
    #[display("call {index} is {delivery}")]
    Network {
        /// Index of the call.
        index: usize,
        /// Outcome of the call.
        delivery: Delivery,
    },
    /// An operator times out and reads the plan row again.
    #[display("operator {operator} times out and reads the plan row")]
    ReadBack {
        /// The operator.
        operator: usize,
    },
    /// An operator stops waiting without an answer.
    #[display("operator {operator} gives up")]
    GiveUp {
        /// The operator.
        operator: usize,
    },
}

impl Plans {
    fn proceed(state: &mut State, operator: usize) {
        let plan = &state.plans[operator];
        state.operators[operator] = match plan.value {
            PlanPhase::Running => Operator::Accepted,
            PlanPhase::Overtaken => Operator::Refused,
            PlanPhase::Proposed => {
                let overtaken = state.basis.revision > 0;
                state.calls.push(Call {
                    plan: operator,
                    next: if overtaken {
                        PlanPhase::Overtaken
                    } else {
                        PlanPhase::Running
                    },
                    plan_revision: plan.revision,
                });
                Operator::Waiting
            }
        };
    }

    fn deliver(&self, state: &mut State, index: usize, delivery: Delivery) {
        let call = state.calls.remove(index);
        if delivery == Delivery::Lost {
            return;
        }
        let confirms = call.next == PlanPhase::Running;
        let compared = self.mutant != Some(Mutant::BasisNotCompared);
        let basis_changed = confirms && compared && state.basis.revision > 0;
        if !basis_changed
            && state.plans[call.plan].compare_and_swap(call.plan_revision, call.next)
            && confirms
        {
            state.basis.write(());
        }
        let waits = state.operators[call.plan] == Operator::Waiting;
        if delivery == Delivery::Answered && waits {
            state.operators[call.plan] = operator_after_read(state, call.plan);
        }
    }

    fn terminates(&self, state: &State) -> bool {
        let mut state = state.clone();
        for _ in 0..FAULT_FREE_ROUNDS {
            while !state.calls.is_empty() {
                self.deliver(&mut state, 0, Delivery::Answered);
            }
            for operator in 0..PLANS {
                match state.operators[operator] {
                    Operator::Reading => Self::proceed(&mut state, operator),
                    Operator::Waiting => {
                        state.operators[operator] = operator_after_read(&state, operator)
                    }
                    _ => {}
                }
            }
        }
        let done = |operator: &Operator| !matches!(operator, Operator::Waiting);
        state.operators.iter().all(done)
            && (confirmed(&state) > 0 || state.operators.contains(&Operator::Unknown))
    }
}

impl Specification for Plans {
    type State = State;
    type Action = Action;

    fn initial(&self) -> State {
        State {
            basis: Versioned::default(),
            plans: [Versioned::default(), Versioned::default()],
            operators: [Operator::Reading; PLANS],
            calls: Vec::new(),
            faults: 0,
        }
    }

    fn steps(&self, state: &State) -> Vec<(Action, State)> {
        let mut steps = Vec::new();
        let faults_left = state.faults < self.faults;
        for operator in 0..PLANS {
            let mut next = state.clone();
            match state.operators[operator] {
                Operator::Reading => {
                    Self::proceed(&mut next, operator);
                    steps.push((Action::Proceed { operator }, next));
                }
                Operator::Waiting => {
                    let early = state.calls.iter().any(|call| call.plan == operator);
                    if !early || faults_left {
                        next.faults += u8::from(early);
                        let mut gave_up = next.clone();
                        next.operators[operator] = operator_after_read(&next, operator);
                        steps.push((Action::ReadBack { operator }, next));
                        gave_up.operators[operator] = match self.mutant {
                            Some(Mutant::LostAnswerRefused) => Operator::Refused,
                            _ => Operator::Unknown,
                        };
                        steps.push((Action::GiveUp { operator }, gave_up));
                    }
                }
                Operator::Accepted | Operator::Refused | Operator::Unknown => {}
            }
        }
        for index in 0..state.calls.len() {
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
        steps
    }

    fn violation(&self, state: &State) -> Option<String> {
        let was_told = |operator: Operator, phase: PlanPhase| {
            (0..PLANS)
                .any(|plan| state.operators[plan] == operator && state.plans[plan].value == phase)
        };
        let message = if confirmed(state) > 1 {
            "both of two conflicting plans are confirmed"
        } else if was_told(Operator::Refused, PlanPhase::Running) {
            "an operator was told that a confirmed plan was refused"
        } else if was_told(Operator::Accepted, PlanPhase::Proposed) {
            "an operator was told that an unconfirmed plan is confirmed"
        } else if !self.terminates(state) {
            "neither plan is confirmed although no further fault occurs"
        } else {
            return None;
        };
        Some(message.to_owned())
    }

    fn coverage(&self, state: &State) -> Vec<&'static str> {
        let holds = [
            ("confirmed", confirmed(state) == 1),
            (
                "overtaken",
                state
                    .plans
                    .iter()
                    .any(|plan| plan.value == PlanPhase::Overtaken),
            ),
            (
                "outcome unknown",
                state.operators.contains(&Operator::Unknown),
            ),
            ("two calls of one plan", has_concurrent_calls(state)),
        ];
        holds
            .into_iter()
            .filter_map(|(name, holds)| holds.then_some(name))
            .collect()
    }

    fn bounds(&self) -> String {
        format!(
            "{PLANS} plans on 1 row, 1 operator each, up to {} faults",
            self.faults
        )
    }
}

fn operator_after_read(state: &State, plan: usize) -> Operator {
    match state.plans[plan].value {
        PlanPhase::Running => Operator::Accepted,
        PlanPhase::Overtaken => Operator::Refused,
        PlanPhase::Proposed => Operator::Reading,
    }
}

fn confirmed(state: &State) -> usize {
    let running = |plan: &&Versioned<PlanPhase>| plan.value == PlanPhase::Running;
    state.plans.iter().filter(running).count()
}

fn has_concurrent_calls(state: &State) -> bool {
    (0..PLANS).any(|plan| state.calls.iter().filter(|call| call.plan == plan).count() > 1)
}
