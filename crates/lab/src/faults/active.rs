//! Faults of the platform that hold at the same time.

use std::cell::RefCell;
use std::collections::BTreeMap;

use dappleyard_standin::platform::{Fault, Service};

/// Faults that hold at present.
#[derive(Default)]
pub struct ActiveFaults {
    active: RefCell<BTreeMap<u64, (Service, Fault)>>,
}

impl ActiveFaults {
    /// Adds a fault and returns the number by which it is released.
    pub fn add(&self, service: Service, fault: Fault) -> u64 {
        let mut active = self.active.borrow_mut();
        let number = active.last_key_value().map_or(0, |(number, _)| number + 1);
        active.insert(number, (service, fault));
        number
    }

    /// Ends a fault.
    pub fn remove(&self, number: u64) {
        self.active.borrow_mut().remove(&number);
    }

    /// All faults of a service together.
    pub fn combined(&self, service: Service) -> Fault {
        let active = self.active.borrow();
        let faults = active.values().filter(|(of, _)| *of == service);
        faults.fold(Fault::default(), |combined, (_, fault)| Fault {
            refusing: combined.refusing || fault.refusing,
            unreachable: combined.unreachable || fault.unreachable,
            delay: combined.delay + fault.delay,
            answer_lost: combined.answer_lost.max(fault.answer_lost),
        })
    }
}
