//! Checks that every specification holds within its bounds and that every mutant is detected.

use std::thread;

use dappleyard_spec::catalogue::{CatalogueEntry, SPECIFICATIONS};
use dappleyard_spec::checker::Exploration;
use googletest::prelude::*;

/// Explores all specifications in parallel, one thread each.
fn explore_all<R: Send>(
    explore: impl Fn(&'static CatalogueEntry) -> R + Sync,
) -> Vec<(&'static CatalogueEntry, R)> {
    thread::scope(|scope| {
        let explore = &explore;
        let threads: Vec<_> = SPECIFICATIONS
            .iter()
            .map(|entry| (entry, scope.spawn(move || explore(entry))))
            .collect();
        let joined = threads.into_iter();
        joined
            .map(|(entry, thread)| (entry, thread.join().expect("the exploration ends")))
            .collect()
    })
}

#[gtest]
fn every_invariant_holds() {
    for (entry, found) in explore_all(|entry| entry.explore(entry.quick_faults)) {
        println!("{}: {found}", entry.name);
        expect_that!(found.counterexample, none(), "{}", entry.name);
    }
}

#[gtest]
fn every_mutant_is_detected() {
    let explore = |entry: &'static CatalogueEntry| -> Vec<Exploration> {
        let mutants = entry.mutants.iter();
        mutants
            .filter_map(|mutant| entry.explore_mutant(mutant.name, entry.faults))
            .collect()
    };
    for (entry, found) in explore_all(explore) {
        expect_that!(found, len(eq(entry.mutants.len())));
        for (mutant, found) in entry.mutants.iter().zip(found) {
            println!("{} with {}: {found}", entry.name, mutant.name);
            let broken = found.counterexample.map(|found| found.violation);
            expect_that!(broken, some(eq(mutant.breaks)), "{}", mutant.name);
        }
    }
}
