//! Every specification holds within its bounds, shows the situations that matter, and catches its
//! mutants.

use dappleyard_spec::catalogue::ALL;
use googletest::prelude::*;

#[gtest]
fn every_promise_holds() {
    for entry in ALL {
        let found = entry.explore(entry.quick_faults);
        println!("{}: {found}", entry.name);
        expect_that!(found.counterexample, none(), "{}", entry.name);
    }
}

#[gtest]
fn every_mutant_is_caught() {
    for entry in ALL {
        for mutant in entry.mutants {
            let found = entry
                .explore_mutant(mutant.name, entry.faults)
                .expect("a listed mutant");
            println!("{} with {}: {found}", entry.name, mutant.name);
            let broken = found.counterexample.map(|found| found.violation);
            expect_that!(broken, some(eq(mutant.breaks)), "{}", mutant.name);
        }
    }
}
