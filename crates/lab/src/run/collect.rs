//! Collects the evidence of a run from the recorder and the stand-ins.

use std::collections::BTreeMap;
use std::time::{Duration, Instant};

use dappleyard_standin::engine::RunRecord;
use dappleyard_standin::engine::record::RunEnd;
use dappleyard_standin::platform::CallCounts;

use crate::fleet::Fleet;
use crate::invariants::{EngineRun, Evidence};
use crate::measures::{Counters, EngineSample};
use crate::recorder::{ConfigurationAccepted, Event, Observations};

/// Collects all evidence at the end of a run, emptying the recorder.
pub fn evidence(fleet: &Fleet) -> Evidence {
    let observations = fleet.recorder.take();
    assemble(fleet, observations)
}

/// Copies the evidence so far, without jobs.
pub fn evidence_so_far(fleet: &Fleet) -> Evidence {
    let observations = fleet.recorder.read(|seen| Observations {
        online: seen.online.clone(),
        jobs: Vec::new(),
        events: seen.events.clone(),
        revisions: seen.revisions.clone(),
    });
    assemble(fleet, observations)
}

fn assemble(fleet: &Fleet, mut observations: Observations) -> Evidence {
    observations.events.extend(configuration_changes(fleet));
    let engines_started = fleet.engines.started();
    let clock = fleet.recorder.clock;
    let offset =
        |microseconds: u64| clock.offset(engines_started + Duration::from_micros(microseconds));
    let records = fleet.engines.records();
    Evidence {
        observations,
        runs: records
            .into_iter()
            .map(|record| run(record, offset))
            .collect(),
        dropped_runs: fleet.engines.records_dropped(),
        bounds: fleet.scenario.bounds.clone(),
        end: clock.now(),
    }
}

/// Events for the changes that the table service applied.
fn configuration_changes(fleet: &Fleet) -> Vec<Event> {
    let log = fleet.platform.configuration_log();
    log.into_iter()
        .map(|change| {
            Event::Configuration(ConfigurationAccepted {
                key: change.keys.join(", "),
                revision: change.revision,
                accepted: fleet.recorder.clock.offset(change.at),
            })
        })
        .collect()
}

fn run(record: RunRecord, offset: impl Fn(u64) -> Duration) -> EngineRun {
    EngineRun {
        server: record.server.to_string(),
        request_id: record.request_id.to_string(),
        attempt: record.attempt,
        online: record.online,
        arrived: offset(record.arrived_us),
        started: record.started_us.map(&offset),
        ended: record.ended_us.map(&offset),
        steps_behind_batch: record.steps_behind_batch,
        finished: record.end == Some(RunEnd::Finished),
        from: record.from,
        to: record.to,
    }
}

/// Samples of each engine, on the run's clock.
pub fn samples(fleet: &Fleet) -> Vec<Vec<EngineSample>> {
    let engines_started: Instant = fleet.engines.started();
    let clock = fleet.recorder.clock;
    let on_clock = |server: &str| {
        let samples = fleet.engines.samples(server).into_iter();
        samples
            .map(|sample| EngineSample {
                at: clock.offset(engines_started + Duration::from_micros(sample.at_us)),
                sample,
            })
            .collect()
    };
    let servers = fleet.servers.iter();
    servers.map(|server| on_clock(&server.name)).collect()
}

/// Number of transactions applied by the table service.
pub fn store_writes(fleet: &Fleet) -> u64 {
    let counts: BTreeMap<String, CallCounts> = fleet.platform.table_counts();
    counts.values().map(|counts| counts.transactions).sum()
}

/// Counters of the stand-ins; the caller adds those of the table service and the process.
pub fn counters(fleet: &Fleet, load_start: Duration, load_length: Duration) -> Counters {
    let uptime = fleet.engines.started().elapsed();
    Counters {
        load_start,
        load_length,
        samples: samples(fleet),
        meters: fleet.engines.meters(),
        engine_time: uptime * fleet.servers.len() as u32,
        ..Counters::default()
    }
}
