//! Overlapping faults of the platform services.

use std::cell::RefCell;
use std::collections::BTreeMap;

use dappleyard_standin::platform::{Fault, Service};

/// Faults in effect now.
#[derive(Default)]
pub struct ActiveFaults {
    active: RefCell<BTreeMap<u64, (Service, Fault)>>,
}

impl ActiveFaults {
    /// Adds a fault and returns its number for [`Self::end`].
    pub fn add(&self, service: Service, fault: Fault) -> u64 {
        let mut active = self.active.borrow_mut();
        let number = active.last_key_value().map_or(0, |(number, _)| number + 1);
        active.insert(number, (service, fault));
        number
    }

    pub fn end(&self, number: u64) {
        self.active.borrow_mut().remove(&number);
    }

    /// Merges all active faults of a service into one.
    pub fn combined(&self, service: Service) -> Fault {
        let active = self.active.borrow();
        let faults = active.values().filter(|(of, _)| *of == service);
        faults.fold(Fault::default(), |joined, (_, fault)| Fault {
            refusing: joined.refusing || fault.refusing,
            unreachable: joined.unreachable || fault.unreachable,
            delay: joined.delay + fault.delay,
            answer_lost: joined.answer_lost.max(fault.answer_lost),
        })
    }
}
