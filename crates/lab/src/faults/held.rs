//! Faults of the platform that hold at the same time.

use std::cell::RefCell;
use std::collections::BTreeMap;

use dappleyard_standin::platform::{Fault, Service};

/// Faults that hold at present.
#[derive(Default)]
pub struct HeldFaults {
    held: RefCell<BTreeMap<u64, (Service, Fault)>>,
}

impl HeldFaults {
    /// Adds a fault and returns the number by which it is released.
    pub fn hold(&self, service: Service, fault: Fault) -> u64 {
        let mut held = self.held.borrow_mut();
        let number = held.last_key_value().map_or(0, |(number, _)| number + 1);
        held.insert(number, (service, fault));
        number
    }

    /// Ends a fault.
    pub fn release(&self, number: u64) {
        self.held.borrow_mut().remove(&number);
    }

    /// All faults of a service together.
    pub fn joined(&self, service: Service) -> Fault {
        let held = self.held.borrow();
        let faults = held.values().filter(|(of, _)| *of == service);
        faults.fold(Fault::default(), |joined, (_, fault)| Fault {
            refusing: joined.refusing || fault.refusing,
            unreachable: joined.unreachable || fault.unreachable,
            delay: joined.delay + fault.delay,
            answer_lost: joined.answer_lost.max(fault.answer_lost),
        })
    }
}
