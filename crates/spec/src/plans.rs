//! Confirmation of two plans that rest on the same row.
//!
//! A confirmation is one transaction that compares the plan row and every row that the plan rests on.
//! An operator who gets no answer reads the plan row back, which carries the token of the confirmation
//! that was accepted; a plan whose basis has changed is closed as overtaken.

use derive_more::Display;

use crate::checker::Specification;
use crate::store::{Delivery, Versioned};

const PLANS: usize = 2;
/// Rounds after which both operators have their answer, when nothing fails any more.
const HEALING_ROUNDS: usize = 6;

/// Plausible mistakes.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Mutant {
    /// The confirmation compares only the plan's own row.
    BasisNotCompared,
    /// A refusal after a lost answer says "not run".
    LostAnswerRefused,
}

/// The specification.
#[derive(Debug, Clone)]
pub struct Plans {
    /// The mistake to make; `None` for the protocol as it is.
    pub mutant: Option<Mutant>,
    /// Lost calls, lost answers and early time-outs in one run.
    pub faults: u8,
}

#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Hash)]
enum PlanPhase {
    #[default]
    Proposed,
    Running,
    Overtaken,
}

/// What an operator knows.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
enum Operator {
    Reading,
    /// Has read the plan row and sent a call.
    Waiting,
    Accepted,
    /// Told that the plan was not confirmed.
    Refused,
    /// Told that it may have been confirmed.
    Unsure,
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
    /// The row that both plans rest on, read at revision 0.
    basis: Versioned<()>,
    plans: [Versioned<PlanPhase>; PLANS],
    operators: [Operator; PLANS],
    calls: Vec<Call>,
    faults: u8,
}

/// One step.
#[derive(Debug, Clone, Copy, Display)]
pub enum Action {
    /// An operator reads the plan row, and sends what should follow.
    #[display("operator {operator} reads and sends")]
    Proceed {
        /// The operator.
        operator: usize,
    },
    /// The network treats a call.
    #[display("call {index} is {delivery}")]
    Network {
        /// Which call.
        index: usize,
        /// What becomes of it.
        delivery: Delivery,
    },
    /// An operator stops waiting and reads the plan row back.
    #[display("operator {operator} reads back")]
    ReadBack {
        /// The operator.
        operator: usize,
    },
    /// An operator stops asking.
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
            state.operators[call.plan] = read_again(state, call.plan);
        }
    }

    fn finishes(&self, state: &State) -> bool {
        let mut state = state.clone();
        for _ in 0..HEALING_ROUNDS {
            while !state.calls.is_empty() {
                self.deliver(&mut state, 0, Delivery::Answered);
            }
            for operator in 0..PLANS {
                match state.operators[operator] {
                    Operator::Reading => Self::proceed(&mut state, operator),
                    Operator::Waiting => state.operators[operator] = read_again(&state, operator),
                    _ => {}
                }
            }
        }
        let done = |operator: &Operator| !matches!(operator, Operator::Waiting);
        state.operators.iter().all(done)
            && (confirmed(&state) > 0 || state.operators.contains(&Operator::Unsure))
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
                        let mut gone = next.clone();
                        next.operators[operator] = read_again(&next, operator);
                        steps.push((Action::ReadBack { operator }, next));
                        gone.operators[operator] = match self.mutant {
                            Some(Mutant::LostAnswerRefused) => Operator::Refused,
                            _ => Operator::Unsure,
                        };
                        steps.push((Action::GiveUp { operator }, gone));
                    }
                }
                Operator::Accepted | Operator::Refused | Operator::Unsure => {}
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
        let told = |operator: Operator, phase: PlanPhase| {
            (0..PLANS)
                .any(|plan| state.operators[plan] == operator && state.plans[plan].value == phase)
        };
        let broken = if confirmed(state) > 1 {
            "both of two conflicting plans are confirmed"
        } else if told(Operator::Refused, PlanPhase::Running) {
            "an operator was told that a confirmed plan was refused"
        } else if told(Operator::Accepted, PlanPhase::Proposed) {
            "an operator was told that a plan is confirmed that is not"
        } else if !self.finishes(state) {
            "neither plan is confirmed, though nothing fails any more"
        } else {
            return None;
        };
        Some(broken.to_owned())
    }

    fn situations(&self, state: &State) -> Vec<&'static str> {
        let seen = [
            ("confirmed", confirmed(state) == 1),
            (
                "overtaken",
                state
                    .plans
                    .iter()
                    .any(|plan| plan.value == PlanPhase::Overtaken),
            ),
            ("unsure", state.operators.contains(&Operator::Unsure)),
            ("two calls of one plan", two_calls(state)),
        ];
        seen.into_iter()
            .filter_map(|(name, seen)| seen.then_some(name))
            .collect()
    }

    fn bounds(&self) -> String {
        format!(
            "{PLANS} plans on 1 row, 1 operator each, up to {} faults",
            self.faults
        )
    }
}

fn read_again(state: &State, plan: usize) -> Operator {
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

fn two_calls(state: &State) -> bool {
    (0..PLANS).any(|plan| state.calls.iter().filter(|call| call.plan == plan).count() > 1)
}
