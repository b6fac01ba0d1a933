//! All specifications by name, each with its mutants.

use dappleyard_wire::messages::Repeat;

use crate::checker::{Exploration, explore};
use crate::chunks::{self, Chunks};
use crate::configuration::{self, Configuration};
use crate::fence::{self, Fence};
use crate::jobs::{self, Jobs};
use crate::leaving::{self, Leaving};
use crate::once::{self, Once};
use crate::plans::{self, Plans};

/// A bug that the checker must detect.
pub struct Mutant {
    /// Name on the command line.
    pub name: &'static str,
    /// The invariant that it violates.
    pub breaks: &'static str,
}

/// A specification that can be explored by name.
pub struct CatalogueEntry {
    /// Name on the command line.
    pub name: &'static str,
    /// One-line description.
    pub about: &'static str,
    /// The bugs that can be injected.
    pub mutants: &'static [Mutant],
    /// Maximum faults in one trace for quick tests.
    pub quick_faults: u8,
    /// Maximum faults in one trace for a thorough exploration.
    pub faults: u8,
    run: fn(mutant: Option<&str>, faults: u8) -> Exploration,
}

impl CatalogueEntry {
    /// Explores the unmodified protocol with at most `faults` faults in one trace.
    pub fn explore(&self, faults: u8) -> Exploration {
        (self.run)(None, faults)
    }

    /// Explores the protocol with a mutant; `None` if there is no mutant of this name.
    pub fn explore_mutant(&self, mutant: &str, faults: u8) -> Option<Exploration> {
        let known = self.mutants.iter().any(|known| known.name == mutant);
        known.then(|| (self.run)(Some(mutant), faults))
    }
}

/// Looks up a specification by name.
pub fn find(name: &str) -> Option<&'static CatalogueEntry> {
    SPECIFICATIONS.iter().find(|entry| entry.name == name)
}

/// All specifications.
pub const SPECIFICATIONS: &[CatalogueEntry] = &[
    CatalogueEntry {
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
        quick_faults: 2,
        faults: 3,
        run: |mutant, faults| explore(&chunks(Repeat::Allowed, mutant, faults)),
    },
    CatalogueEntry {
        name: "chunks-never",
        about: "the same for items that must not repeat",
        mutants: &[
            Mutant {
                name: "retry-after-maybe",
                breaks: "an item that must not repeat ran twice",
            },
            Mutant {
                name: "started-before-mark",
                breaks: "an item that must not repeat ran twice",
            },
            Mutant {
                name: "takeover-forgets-start",
                breaks: "an item that must not repeat ran twice",
            },
        ],
        quick_faults: 2,
        faults: 3,
        run: |mutant, faults| explore(&chunks(Repeat::Never, mutant, faults)),
    },
    CatalogueEntry {
        name: "jobs",
        about: "acceptance, claim, commit and end of a job on the row store",
        mutants: &[
            Mutant {
                name: "doubt-forgotten",
                breaks: "a job that was refused as not run was accepted",
            },
            Mutant {
                name: "absence-not-compared",
                breaks: "a result that was read is missing or at another position",
            },
            Mutant {
                name: "revision-not-compared",
                breaks: "a result was committed after the end was acknowledged",
            },
            Mutant {
                name: "end-not-compared",
                breaks: "a result was committed after the end was acknowledged",
            },
        ],
        quick_faults: 1,
        faults: 2,
        run: |mutant, faults| explore(&jobs(mutant, faults)),
    },
    CatalogueEntry {
        name: "once",
        about: "the at-most-once record with two concurrent attempts",
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
                breaks: "the key stays in progress although no attempt runs the request",
            },
            Mutant {
                name: "not-given-up",
                breaks: "the key stays in progress although no attempt runs the request",
            },
        ],
        quick_faults: 2,
        faults: 3,
        run: |mutant, faults| explore(&once(mutant, faults)),
    },
    CatalogueEntry {
        name: "configuration",
        about: "replication of configuration revisions",
        mutants: &[
            Mutant {
                name: "older-applied",
                breaks: "a node went back to an older revision",
            },
            Mutant {
                name: "part-applied",
                breaks: "a node has applied part of a change",
            },
            Mutant {
                name: "basis-not-compared",
                breaks: "a node has applied part of a change",
            },
            Mutant {
                name: "unready-peer-trusted",
                breaks: "a node serves a revision older than one that all nodes had reached",
            },
        ],
        quick_faults: 1,
        faults: 2,
        run: |mutant, faults| explore(&configuration(mutant, faults)),
    },
    CatalogueEntry {
        name: "fence",
        about: "fenced orders to an engine from two controllers",
        mutants: &[
            Mutant {
                name: "fence-ignored",
                breaks: "the engine applied an order that is not newer than its latest",
            },
            Mutant {
                name: "holder-not-compared",
                breaks: "two controllers rule under one epoch",
            },
        ],
        quick_faults: 2,
        faults: 3,
        run: |mutant, faults| explore(&fence(mutant, faults)),
    },
    CatalogueEntry {
        name: "plans",
        about: "confirmation of two conflicting plans",
        mutants: &[
            Mutant {
                name: "basis-not-compared",
                breaks: "both of two conflicting plans are confirmed",
            },
            Mutant {
                name: "lost-answer-refused",
                breaks: "an operator was told that a confirmed plan was refused",
            },
        ],
        quick_faults: 3,
        faults: 5,
        run: |mutant, faults| explore(&plans(mutant, faults)),
    },
    CatalogueEntry {
        name: "leaving",
        about: "a draining server and two nodes that act as its owner; faults are ticks",
        mutants: &[
            Mutant {
                name: "time-of-reading",
                breaks: "a draining server was sent new work after the bound",
            },
            Mutant {
                name: "age-not-looked-at",
                breaks: "a draining server was sent new work after the bound",
            },
        ],
        quick_faults: 4,
        faults: 5,
        run: |mutant, faults| explore(&leaving(mutant, faults)),
    },
];

fn chunks(repeat: Repeat, mutant: Option<&str>, faults: u8) -> Chunks {
    Chunks {
        repeat,
        mutant: mutant.and_then(|name| match name {
            "epoch-not-compared" => Some(chunks::Mutant::EpochNotCompared),
            "cancel-not-compared" => Some(chunks::Mutant::CancelNotCompared),
            "retry-after-maybe" => Some(chunks::Mutant::RetryAfterMaybe),
            "started-before-mark" => Some(chunks::Mutant::StartedBeforeMark),
            "takeover-forgets-start" => Some(chunks::Mutant::TakeoverForgetsStart),
            _ => None,
        }),
        limits: chunks::Limits {
            faults,
            suspicions: 1,
        },
    }
}

fn jobs(mutant: Option<&str>, faults: u8) -> Jobs {
    let mutant = match mutant {
        Some("doubt-forgotten") => Some(jobs::Mutant::DoubtForgotten),
        Some("absence-not-compared") => Some(jobs::Mutant::AbsenceNotCompared),
        Some("revision-not-compared") => Some(jobs::Mutant::RevisionNotCompared),
        Some("end-not-compared") => Some(jobs::Mutant::EndNotCompared),
        _ => None,
    };
    Jobs {
        mutant,
        faults,
        claims: 1,
    }
}

fn once(mutant: Option<&str>, faults: u8) -> Once {
    Once {
        mutant: mutant.and_then(|name| match name {
            "retry-after-maybe" => Some(once::Mutant::RetryAfterMaybe),
            "writer-not-compared" => Some(once::Mutant::WriterNotCompared),
            "loop-outlives-wait" => Some(once::Mutant::LoopOutlivesWait),
            "not-given-up" => Some(once::Mutant::NotGivenUp),
            _ => None,
        }),
        limits: once::Limits {
            faults,
            suspicions: 1,
        },
    }
}

fn configuration(mutant: Option<&str>, faults: u8) -> Configuration {
    Configuration {
        mutant: mutant.and_then(|name| match name {
            "older-applied" => Some(configuration::Mutant::OlderApplied),
            "part-applied" => Some(configuration::Mutant::PartApplied),
            "basis-not-compared" => Some(configuration::Mutant::BasisNotCompared),
            "unready-peer-trusted" => Some(configuration::Mutant::UnreadyPeerTrusted),
            _ => None,
        }),
        faults,
    }
}

fn fence(mutant: Option<&str>, faults: u8) -> Fence {
    Fence {
        mutant: mutant.and_then(|name| match name {
            "fence-ignored" => Some(fence::Mutant::FenceIgnored),
            "holder-not-compared" => Some(fence::Mutant::HolderNotCompared),
            _ => None,
        }),
        faults,
        epochs: 3,
    }
}

fn plans(mutant: Option<&str>, faults: u8) -> Plans {
    Plans {
        mutant: mutant.and_then(|name| match name {
            "basis-not-compared" => Some(plans::Mutant::BasisNotCompared),
            "lost-answer-refused" => Some(plans::Mutant::LostAnswerRefused),
            _ => None,
        }),
        faults,
    }
}

fn leaving(mutant: Option<&str>, ticks: u8) -> Leaving {
    Leaving {
        mutant: mutant.and_then(|name| match name {
            "time-of-reading" => Some(leaving::Mutant::TimeOfReading),
            "age-not-looked-at" => Some(leaving::Mutant::AgeNotLookedAt),
            _ => None,
        }),
        ticks,
    }
}
