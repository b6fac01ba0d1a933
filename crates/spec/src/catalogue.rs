//! All specifications by name, each with its mutants.

use dappleyard_wire::messages::Repeat;

use crate::checker::{Exploration, explore};
use crate::chunks::{self, Chunks};
use crate::once::{self, Once};

/// A plausible mistake that the checker has to catch.
pub struct Mutant {
    /// Its name.
    pub name: &'static str,
    /// The promise that it breaks.
    pub breaks: &'static str,
}

/// One specification that can be explored by name.
pub struct Entry {
    /// Its name.
    pub name: &'static str,
    /// What it is about.
    pub about: &'static str,
    /// The mistakes that can be put into it.
    pub mutants: &'static [Mutant],
    run: fn(mutant: Option<&str>) -> Exploration,
}

impl Entry {
    /// Explores the protocol as it is.
    pub fn explore(&self) -> Exploration {
        (self.run)(None)
    }

    /// Explores the protocol with a mistake in it; `None` when it has no mutant of this name.
    pub fn explore_mutant(&self, mutant: &str) -> Option<Exploration> {
        let known = self.mutants.iter().any(|known| known.name == mutant);
        known.then(|| (self.run)(Some(mutant)))
    }
}

/// The entry of this name.
pub fn find(name: &str) -> Option<&'static Entry> {
    ALL.iter().find(|entry| entry.name == name)
}

/// All specifications.
pub const ALL: &[Entry] = &[
    Entry {
        name: "chunks",
        about: "claim, takeover, commit and cancel of a chunk whose items may repeat",
        mutants: &[
            Mutant {
                name: "epoch-not-compared",
                breaks: "a committed result cannot be read",
            },
            Mutant {
                name: "cancel-not-compared",
                breaks: "a result was committed after the cancel",
            },
        ],
        run: |mutant| explore(&chunks(Repeat::Allowed, mutant)),
    },
    Entry {
        name: "chunks-never",
        about: "the same for items that must not repeat",
        mutants: &[
            Mutant {
                name: "retry-after-maybe",
                breaks: "an item that must not repeat ran twice",
            },
            Mutant {
                name: "takeover-forgets-start",
                breaks: "an item that must not repeat ran twice",
            },
        ],
        run: |mutant| explore(&chunks(Repeat::Never, mutant)),
    },
    Entry {
        name: "once",
        about: "the at-most-once record with two senders",
        mutants: &[
            Mutant {
                name: "retry-after-maybe",
                breaks: "the request ran twice",
            },
            Mutant {
                name: "writer-not-compared",
                breaks: "the request ran twice",
            },
            Mutant {
                name: "loop-outlives-wait",
                breaks: "the key stays in progress for good, with nobody running the request",
            },
            Mutant {
                name: "not-given-up",
                breaks: "the key stays in progress for good, with nobody running the request",
            },
        ],
        run: |mutant| explore(&once(mutant)),
    },
];

fn chunks(repeat: Repeat, mutant: Option<&str>) -> Chunks {
    Chunks {
        repeat,
        mutant: mutant.and_then(|name| match name {
            "epoch-not-compared" => Some(chunks::Mutant::EpochNotCompared),
            "cancel-not-compared" => Some(chunks::Mutant::CancelNotCompared),
            "retry-after-maybe" => Some(chunks::Mutant::RetryAfterMaybe),
            "takeover-forgets-start" => Some(chunks::Mutant::TakeoverForgetsStart),
            _ => None,
        }),
        limits: chunks::Limits {
            faults: 3,
            suspicions: 1,
        },
    }
}

fn once(mutant: Option<&str>) -> Once {
    Once {
        mutant: mutant.and_then(|name| match name {
            "retry-after-maybe" => Some(once::Mutant::RetryAfterMaybe),
            "writer-not-compared" => Some(once::Mutant::WriterNotCompared),
            "loop-outlives-wait" => Some(once::Mutant::LoopOutlivesWait),
            "not-given-up" => Some(once::Mutant::NotGivenUp),
            _ => None,
        }),
        limits: once::Limits {
            faults: 3,
            suspicions: 1,
        },
    }
}
