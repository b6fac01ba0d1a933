//! Concurrency tests of the tables under `shuttle`'s schedulers:
//! `cargo test -p dappleyard-tables --features shuttle --test schedules`.

use std::sync::Arc;

use dappleyard_decide::configuration::ConfigurationState;
use dappleyard_decide::time::Millis;
use dappleyard_tables::configuration::ConfigurationTable;
use dappleyard_tables::decisions::{Decision, DecisionKind, DecisionsTable};
use dappleyard_tables::directory::ServerEntry;
use dappleyard_tables::loads::LoadsTable;
use dappleyard_tables::rank::{Rank, RankedMutex};
use dappleyard_tables::servers::{InFlight, ServersTable};
use dappleyard_wire::ids::{RequestId, ServerId};
use dappleyard_wire::messages::{ConfigurationEntry, NodeLoad};
use shuttle::thread;

/// Schedules per scheduler and test.
const SCHEDULES: usize = 2_000;
/// Bug depth of the probabilistic (PCT) scheduler.
const DEPTH: usize = 3;

fn explore(scenario: impl Fn() + Send + Sync + Copy + 'static) {
    shuttle::check_random(scenario, SCHEDULES);
    shuttle::check_pct(scenario, SCHEDULES, DEPTH);
}

fn change(revision: u64) -> Vec<ConfigurationEntry> {
    vec![ConfigurationEntry {
        revision,
        previous: revision - 1,
        key: format!("config/tenant/{revision}"),
        parts: 1,
        ..ConfigurationEntry::default()
    }]
}

#[test]
fn configuration_revision_never_decreases() {
    explore(|| {
        let table = Arc::new(ConfigurationTable::default());
        let writers = [1, 2].map(|writer| {
            let table = table.clone();
            thread::spawn(move || {
                for revision in 1..=4 {
                    table.apply(&change(revision));
                    if writer == 2 {
                        table.replace(ConfigurationState {
                            revision: 2,
                            ..ConfigurationState::default()
                        });
                    }
                }
            })
        });
        let reader = {
            let table = table.clone();
            thread::spawn(move || {
                let mut seen = 0;
                for _ in 0..6 {
                    let revision = table.current().revision;
                    assert!(revision >= seen, "revision {revision} after {seen}");
                    seen = revision;
                    thread::yield_now();
                }
            })
        };
        for writer in writers {
            writer.join().expect("a writer ends");
        }
        reader.join().expect("the reader ends");
        assert_eq!(table.revision(), 4);
        assert_eq!(table.snapshot().revision, table.current().revision);
    });
}

fn entry(name: &str) -> ServerEntry {
    ServerEntry {
        server: name.into(),
        service: "s".into(),
        region: "r".into(),
        zone: "z".into(),
        hall: String::new(),
        base_url: String::new(),
        leaving: false,
        owner: None,
    }
}

#[test]
fn in_flight_counts_survive_a_change_of_ownership() {
    explore(|| {
        let table = Arc::new(ServersTable::default());
        table.set_owned(vec![entry("kept"), entry("lost")]);
        let flight = InFlight {
            tokens: 1,
            prefill_tokens: 1,
            since: Millis(0),
            started: false,
        };
        let sender = {
            let table = table.clone();
            thread::spawn(move || {
                let (server, request) = (ServerId::from("kept"), RequestId::from("q"));
                table.begin_online(&server, &request, flight.clone());
                table.started_online(&server, &request);
                table.begin_batch(&server, &RequestId::from("b"), flight);
                table.end_online(&server, &request);
            })
        };
        let owner = {
            let table = table.clone();
            thread::spawn(move || {
                table.set_owned(vec![entry("kept")]);
                table.set_owned(vec![entry("kept"), entry("new")]);
            })
        };
        sender.join().expect("the sender ends");
        owner.join().expect("the owner ends");
        let counts = table.with(&ServerId::from("kept"), |state| {
            (state.online.len(), state.batch.len())
        });
        assert_eq!(counts, Some((0, 1)));
    });
}

#[test]
fn later_load_is_not_replaced_by_an_earlier_one() {
    explore(|| {
        let table = Arc::new(LoadsTable::default());
        let threads = [[1, 4], [2, 3]].map(|sequences| {
            let table = table.clone();
            thread::spawn(move || {
                for sequence in sequences {
                    let load = NodeLoad {
                        node: "n".to_owned(),
                        sequence,
                        ..NodeLoad::default()
                    };
                    table.put_node(load, Millis(0));
                }
            })
        });
        for thread in threads {
            thread.join().expect("a thread ends");
        }
        assert_eq!(table.nodes()[0].value.sequence, 4);
    });
}

#[test]
fn no_decision_is_lost_or_saved_twice() {
    explore(|| {
        let table = Arc::new(DecisionsTable::default());
        let writers = [1, 2].map(|_| {
            let table = table.clone();
            thread::spawn(move || {
                for _ in 0..3 {
                    table.record(Decision {
                        unix_ms: 0,
                        node: String::new(),
                        kind: DecisionKind::Refused,
                        subjects: Vec::new(),
                        cause: String::new(),
                        inputs: Vec::new(),
                        outcome: String::new(),
                    });
                }
            })
        });
        let early = table.take_unsaved().len();
        for writer in writers {
            writer.join().expect("a writer ends");
        }
        assert_eq!(early + table.take_unsaved().len(), 6);
    });
}

#[test]
fn ordered_locks_do_not_deadlock() {
    explore(|| {
        let locks = Arc::new((
            RankedMutex::new(Rank::Members, 0),
            RankedMutex::new(Rank::Servers, 0),
            RankedMutex::new(Rank::Decisions, 0),
        ));
        let pairs = [0, 1, 2].map(|pair| {
            let locks = locks.clone();
            thread::spawn(move || {
                let (first, second) = match pair {
                    0 => (&locks.0, &locks.1),
                    1 => (&locks.1, &locks.2),
                    _ => (&locks.0, &locks.2),
                };
                let mut first = first.lock();
                let mut second = second.lock();
                *first += 1;
                *second += 1;
            })
        });
        for thread in pairs {
            thread.join().expect("a thread ends");
        }
        assert_eq!(*locks.0.lock() + *locks.1.lock() + *locks.2.lock(), 6);
    });
}

/// Acquiring locks out of order could deadlock; the rank check must panic instead.
#[test]
#[should_panic(expected = "taken while holding")]
fn out_of_order_locks_panic() {
    explore(|| {
        let low = RankedMutex::new(Rank::Members, ());
        let high = RankedMutex::new(Rank::Servers, ());
        let _high = high.lock();
        let _low = low.lock();
    });
}
