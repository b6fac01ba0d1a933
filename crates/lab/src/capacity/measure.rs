//! Measures one hollow fleet over one window.

use std::time::{Duration, Instant};

use dappleyard_settings::FleetSettings;
use dappleyard_tables::Lifecycle;
use prometheus::proto::MetricType;
use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;

use super::Options;
use super::changes::{ChangeTracker, PropagationTimes};
use super::detection::{Detection, detect};
use super::hollow::HollowFleet;
use super::movement::{Movement, movement};
use crate::error::LabError;

const START_TIMEOUT: Duration = Duration::from_secs(120);
/// Pause before the window, so that start-up cost is not measured.
const SETTLE_TIME: Duration = Duration::from_secs(8);
/// Time after the window for the last changes to propagate.
const PROPAGATION_WAIT: Duration = Duration::from_secs(8);
/// Nodes isolated one after another after the window.
const FAILED_NODES: usize = 3;

/// Results of one measurement.
#[derive(Debug, Clone)]
pub struct Measurement {
    pub options: Options,
    /// Time until all nodes were ready and listed each other, seconds.
    pub start_s: f64,
    /// CPU time of a node, percent of a core, including its share of the in-memory platform.
    pub cpu_percent: f64,
    /// Datagram bytes a second sent by a node, mean.
    pub bytes_out: f64,
    /// Datagram bytes a second received by a node, mean.
    pub bytes_in: f64,
    /// Datagrams a second sent by a node, mean.
    pub datagrams_out: f64,
    /// Bytes a second sent and received by the node with the most traffic.
    pub bytes_worst: f64,
    /// Memory of a node, MB: growth of the process divided by the number of nodes.
    pub memory_mb: f64,
    /// Reads of the machine list by a node, per second.
    pub machine_lists: f64,
    /// Reads of the change feed by the whole fleet, per second.
    pub feed_reads: f64,
    /// Suspicions raised per hour by the whole fleet; all are false, since no node fails.
    pub false_suspicions_per_hour: f64,
    /// Live nodes declared dead, summed over the views of all nodes.
    pub false_deaths: f64,
    /// Propagation delays of configuration changes.
    pub propagation: PropagationTimes,
    /// One entry for each isolated node.
    pub detections: Vec<Detection>,
    /// Balance and movement of server ownership.
    pub movement: Movement,
}

/// Counters of the fleet at one time.
struct Totals {
    at: Instant,
    cpu_s: f64,
    bytes_out: Vec<f64>,
    bytes_in: Vec<f64>,
    datagrams_out: Vec<f64>,
    machine_lists: f64,
    feed_reads: f64,
    own_suspicions: Vec<f64>,
    false_deaths: Vec<f64>,
}

/// Starts the fleet, measures the window, then the detection of failed nodes.
pub async fn measure(options: &Options) -> Result<Measurement, LabError> {
    let memory_before = memory_bytes()?;
    let mut fleet = HollowFleet::start(options).await?;
    let start_s = wait_ready(&fleet).await?;
    eprintln!("{} nodes ready after {start_s:.1} s", options.nodes);
    tokio::time::sleep(SETTLE_TIME).await;
    let tracker = ChangeTracker::default();
    for node in &fleet.nodes {
        actix_rt::spawn(tracker.clone().watch(node.index, node.tables.clone()));
    }
    let before = totals(&fleet)?;
    let restarted = run_window(&mut fleet, options, &tracker).await?;
    let after = totals(&fleet)?;
    let memory_after = memory_bytes()?;
    tokio::time::sleep(PROPAGATION_WAIT).await;
    let never_restarted: Vec<usize> = (0..options.nodes)
        .filter(|n| !restarted.contains(n))
        .collect();
    let propagation = tracker.times(&never_restarted);
    let mut detections = Vec::new();
    if options.nodes > FAILED_NODES * 2 {
        for lost in 0..FAILED_NODES {
            detections.push(detect(&fleet, options.nodes - 1 - lost).await);
        }
    }
    fleet.stop().await;
    let window = (after.at - before.at).as_secs_f64();
    let nodes = options.nodes as f64;
    let per_node = |later: &[f64], earlier: &[f64]| -> Vec<f64> {
        // The counters of a restarted node start from zero.
        let pairs = later.iter().zip(earlier);
        pairs
            .map(|(later, earlier)| (later - earlier).max(0.0) / window)
            .collect()
    };
    let bytes_out = per_node(&after.bytes_out, &before.bytes_out);
    let bytes_in = per_node(&after.bytes_in, &before.bytes_in);
    let datagrams_out = per_node(&after.datagrams_out, &before.datagrams_out);
    let suspicions = per_node(&after.own_suspicions, &before.own_suspicions);
    let deaths = per_node(&after.false_deaths, &before.false_deaths);
    let sums = bytes_out
        .iter()
        .zip(&bytes_in)
        .map(|(out, into)| out + into);
    Ok(Measurement {
        options: options.clone(),
        start_s,
        cpu_percent: (after.cpu_s - before.cpu_s) / window / nodes * 100.0,
        bytes_worst: sums.fold(0.0, f64::max),
        bytes_out: bytes_out.iter().sum::<f64>() / nodes,
        bytes_in: bytes_in.iter().sum::<f64>() / nodes,
        datagrams_out: datagrams_out.iter().sum::<f64>() / nodes,
        memory_mb: memory_after.saturating_sub(memory_before) as f64 / 1e6 / nodes,
        machine_lists: (after.machine_lists - before.machine_lists) / window / nodes,
        feed_reads: (after.feed_reads - before.feed_reads) / window,
        false_suspicions_per_hour: suspicions.iter().sum::<f64>() * 3600.0,
        false_deaths: deaths.iter().sum::<f64>() * window,
        propagation,
        detections,
        movement: movement(options, FleetSettings::default().cell_size),
    })
}

async fn wait_ready(fleet: &HollowFleet) -> Result<f64, LabError> {
    let since = Instant::now();
    let count = fleet.nodes.len();
    loop {
        let ready = fleet.nodes.iter().filter(|node| {
            let is_ready = *node.tables.lifecycle.borrow() == Lifecycle::Ready;
            is_ready && node.tables.members.len() >= count
        });
        let ready = ready.count();
        if ready == count {
            return Ok(since.elapsed().as_secs_f64());
        }
        if since.elapsed() > START_TIMEOUT {
            return Err(LabError::failed(format!(
                "only {ready} of {count} nodes became ready"
            )));
        }
        tokio::time::sleep(Duration::from_millis(200)).await;
    }
}

/// Writes changes and restarts nodes at the configured rates; returns the restarted nodes.
async fn run_window(
    fleet: &mut HollowFleet,
    options: &Options,
    tracker: &ChangeTracker,
) -> Result<Vec<usize>, LabError> {
    let mut rng = ChaCha8Rng::seed_from_u64(options.seed);
    let mut restarted = Vec::new();
    let began = Instant::now();
    let mut next_change = 0.0;
    // Guarantees one restart in a short window.
    let every = options.restart_every.min(options.window / 2).as_secs_f64();
    let mut next_restart = every / 2.0;
    let mut number = 0;
    while began.elapsed() < options.window {
        let elapsed = began.elapsed().as_secs_f64();
        if elapsed >= next_change && options.changes_per_s > 0.0 {
            number += 1;
            tracker
                .write(&fleet.platform, number)
                .await
                .map_err(LabError::failed)?;
            next_change += rng.random_range(0.5..1.5) / options.changes_per_s;
        }
        if elapsed >= next_restart && options.nodes > 1 {
            let index = rng.random_range(0..options.nodes);
            fleet.restart(index).await?;
            restarted.push(index);
            next_restart += options.restart_every.as_secs_f64();
        }
        tokio::time::sleep(Duration::from_millis(20)).await;
    }
    Ok(restarted)
}

fn totals(fleet: &HollowFleet) -> Result<Totals, LabError> {
    let stat = procfs::process::Process::myself()
        .and_then(|process| process.stat())
        .map_err(LabError::failed)?;
    let mut totals = Totals {
        at: Instant::now(),
        cpu_s: (stat.utime + stat.stime) as f64 / procfs::ticks_per_second() as f64,
        bytes_out: Vec::new(),
        bytes_in: Vec::new(),
        datagrams_out: Vec::new(),
        machine_lists: 0.0,
        feed_reads: 0.0,
        own_suspicions: Vec::new(),
        false_deaths: Vec::new(),
    };
    for node in &fleet.nodes {
        let metrics = node.tables.metrics.gather();
        let sum = |name: &str, label: &str| counter_sum(&metrics, name, label);
        totals
            .bytes_out
            .push(sum("dappleyard_fleet_bytes_total", "out"));
        totals
            .bytes_in
            .push(sum("dappleyard_fleet_bytes_total", "in"));
        let datagrams = sum("dappleyard_fleet_datagrams_total", "out");
        totals.datagrams_out.push(datagrams);
        totals.machine_lists += sum("dappleyard_fleet_calls_total", "machines");
        totals.feed_reads += sum("dappleyard_fleet_calls_total", "changes");
        let suspicions = sum("dappleyard_fleet_own_suspicions_total", "");
        totals.own_suspicions.push(suspicions);
        let deaths = sum("dappleyard_fleet_false_deaths_total", "");
        totals.false_deaths.push(deaths);
    }
    Ok(totals)
}

/// Sum of a counter over the series with this label value, or over all series if it is empty.
fn counter_sum(families: &[prometheus::proto::MetricFamily], name: &str, value: &str) -> f64 {
    let family = families
        .iter()
        .find(|family| family.name() == name && family.get_field_type() == MetricType::COUNTER);
    let series = family.map(|family| family.get_metric()).unwrap_or_default();
    series
        .iter()
        .filter(|metric| {
            value.is_empty()
                || metric
                    .get_label()
                    .iter()
                    .any(|label| label.value() == value)
        })
        .map(|metric| metric.get_counter().get_value())
        .sum()
}

fn memory_bytes() -> Result<u64, LabError> {
    let statm = procfs::process::Process::myself()
        .and_then(|process| process.statm())
        .map_err(LabError::failed)?;
    Ok(statm.resident * procfs::page_size())
}
