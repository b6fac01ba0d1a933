//! Injects faults at their scheduled times.

use std::cell::Cell;
use std::rc::Rc;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::time::Duration;

use dappleyard_standin::platform::{Fault as PlatformFault, Service};
use futures::future::join_all;
use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;

use super::active::ActiveFaults;
use super::{Fault, FaultKind, Target, operators};
use crate::fleet::Fleet;
use crate::load::drive::ClientBehavior;
use crate::network::Partition;
use crate::recorder::{Drain, Event, FaultRecord, Unavailable};

/// Injects faults into one fleet.
pub struct Injector {
    fleet: Rc<Fleet>,
    client_behavior: Arc<ClientBehavior>,
    start: Duration,
    active: ActiveFaults,
    publication: Cell<(Duration, bool)>,
    list_lag: Cell<Duration>,
}

/// A fault with its targets resolved.
struct TargetedFault {
    fault: Fault,
    number: u32,
    node: usize,
    server: usize,
    zone: usize,
}

impl Injector {
    /// Creates an injector whose fault times are relative to `start` on the run's clock.
    pub fn new(
        fleet: Rc<Fleet>,
        client_behavior: Arc<ClientBehavior>,
        start: Duration,
    ) -> Rc<Injector> {
        let list_lag = Duration::from_millis(fleet.scenario.platform.machine_list_lag_ms);
        Rc::new(Injector {
            list_lag: Cell::new(list_lag),
            fleet,
            client_behavior,
            start,
            active: ActiveFaults::default(),
            publication: Cell::default(),
        })
    }

    /// Injects all faults; returns when the last has ended.
    pub async fn run(self: Rc<Self>, faults: Vec<Fault>, seed: u64) {
        let targeted = self.assign_targets(faults, seed);
        let tasks = targeted.into_iter().map(|targeted| {
            let injector = self.clone();
            actix_rt::spawn(async move { injector.run_fault(targeted).await })
        });
        join_all(tasks).await;
    }

    /// Resolves the target of each fault, choosing a random one if it names none.
    fn assign_targets(&self, faults: Vec<Fault>, seed: u64) -> Vec<TargetedFault> {
        let mut rng = ChaCha8Rng::seed_from_u64(seed ^ 0xFA17);
        let nodes = self.fleet.node_count();
        let servers = self.fleet.servers.len();
        let zones = self.fleet.scenario.zones.len();
        let numbered = faults.into_iter().zip(0_u32..);
        numbered
            .map(|(fault, number)| {
                let drawn: usize = rng.random_range(0..usize::MAX / 2);
                let index = |count: usize| match fault.target {
                    Some(Target::Node(index) | Target::Server(index) | Target::Zone(index)) => {
                        index % count
                    }
                    None => drawn % count,
                };
                TargetedFault {
                    node: index(nodes),
                    server: index(servers),
                    zone: index(zones),
                    number,
                    fault,
                }
            })
            .collect()
    }

    async fn run_fault(&self, targeted: TargetedFault) {
        let clock = self.fleet.recorder.clock;
        let due = clock.instant(self.start + targeted.fault.start());
        tokio::time::sleep_until(due.into()).await;
        let from = clock.now();
        let place = self.apply(&targeted).await;
        self.fleet.recorder.add_event(Event::Fault(FaultRecord {
            kind: targeted.fault.what,
            place,
            from,
            to: clock.now(),
        }));
    }

    /// Runs one fault from start to end and returns where it took place.
    async fn apply(&self, targeted: &TargetedFault) -> String {
        let fleet = &self.fleet;
        let (length, amount) = (targeted.fault.length(), targeted.fault.amount);
        match targeted.fault.what {
            FaultKind::NodeKill => return self.kill_node(targeted.node, length).await,
            FaultKind::NodePause => return self.pause_node(targeted.node, length).await,
            FaultKind::NodeStop => return self.stop_node(targeted.node, length).await,
            FaultKind::RollingRestart => self.restart_all(length).await,
            FaultKind::EngineKill => return self.kill_engine(targeted.server, length).await,
            FaultKind::ServerLeaving => return self.mark_leaving(targeted.server, length).await,
            FaultKind::ServerDrain => {
                let server = fleet.servers[targeted.server].name.clone();
                operators::drain_server(fleet, &server, length).await;
                return server;
            }
            FaultKind::ZoneCut => {
                let zone = fleet.scenario.zones[targeted.zone].name.clone();
                return self.partition(Partition::Zone(zone), length).await;
            }
            FaultKind::RegionCut => {
                let region = fleet.scenario.zones[targeted.zone].region.clone();
                return self.partition(Partition::Region(region), length).await;
            }
            FaultKind::StoreDown => {
                let down = PlatformFault {
                    unreachable: true,
                    ..PlatformFault::default()
                };
                self.platform_fault(Service::Tables, down, length).await;
            }
            FaultKind::StoreSlow => {
                let delay = Duration::from_secs_f64(amount / 1_000.0);
                let slow = PlatformFault {
                    delay,
                    ..PlatformFault::default()
                };
                self.platform_fault(Service::Tables, slow, length).await;
            }
            FaultKind::StoreAnswerLost => {
                let lost = PlatformFault {
                    answer_lost: amount / 100.0,
                    ..PlatformFault::default()
                };
                self.platform_fault(Service::Tables, lost, length).await;
            }
            FaultKind::ObjectStoreDown => {
                let down = PlatformFault {
                    unreachable: true,
                    ..PlatformFault::default()
                };
                self.platform_fault(Service::Objects, down, length).await;
            }
            FaultKind::UdpLoss => {
                fleet.network.set_loss(amount / 100.0);
                tokio::time::sleep(length).await;
                fleet.network.set_loss(0.0);
            }
            FaultKind::MachineListLag => {
                let usual = self.list_lag.get();
                self.set_list_lag(Duration::from_secs_f64(amount / 1_000.0));
                tokio::time::sleep(length).await;
                self.set_list_lag(usual);
            }
            FaultKind::EngineReportLag => {
                let lag = Duration::from_secs_f64(amount / 1_000.0);
                self.publication_fault(lag, false, length).await;
            }
            FaultKind::CacheEventsDropped => {
                self.publication_fault(Duration::ZERO, true, length).await;
            }
            FaultKind::ClientResend => self.switch(&self.client_behavior.resend, length).await,
            FaultKind::CancelCommitting => {
                self.switch(&self.client_behavior.cancel_committing, length)
                    .await
            }
            FaultKind::RacingIntents => operators::race_operators(fleet, targeted.number).await,
            FaultKind::ConfigurationChange => {
                operators::change_configuration(fleet, targeted.number).await;
            }
        }
        "fleet".to_owned()
    }

    async fn kill_node(&self, index: usize, length: Duration) -> String {
        let node = self.fleet.node_instance(index).name;
        if !self.fleet.kill_node(index).await {
            return format!("{node} (not running)");
        }
        tokio::time::sleep(length).await;
        self.restart_node(FaultKind::NodeKill, index).await;
        node
    }

    async fn pause_node(&self, index: usize, length: Duration) -> String {
        let node = self.fleet.node_instance(index).name;
        if !self.fleet.pause_node(index, length) {
            return format!("{node} (not running)");
        }
        tokio::time::sleep(length).await;
        node
    }

    async fn stop_node(&self, index: usize, length: Duration) -> String {
        let node = self.fleet.node_instance(index).name;
        if !self.fleet.stop_node(index).await {
            return format!("{node} (not running)");
        }
        tokio::time::sleep(length).await;
        self.restart_node(FaultKind::NodeStop, index).await;
        node
    }

    /// Restarts all nodes one after another, spread evenly over `length`.
    async fn restart_all(&self, length: Duration) {
        let running = self.fleet.running_nodes();
        let pause = length / (running.len().max(1) as u32 * 2);
        for index in running {
            self.stop_node(index, pause).await;
            tokio::time::sleep(pause).await;
        }
    }

    async fn restart_node(&self, kind: FaultKind, index: usize) {
        if let Err(error) = self.fleet.start_node(index).await {
            self.fleet.record_not_done(kind, &error.to_string());
        }
    }

    async fn kill_engine(&self, index: usize, length: Duration) -> String {
        let server = self.fleet.servers[index].name.clone();
        self.fleet.engines.kill(&server);
        tokio::time::sleep(length).await;
        self.fleet.engines.restart(&server);
        server
    }

    /// Marks a server as leaving. The drain starts when the lagging machine list shows it.
    async fn mark_leaving(&self, index: usize, length: Duration) -> String {
        let server = self.fleet.servers[index].name.clone();
        let lag = self.list_lag.get();
        self.fleet.platform.set_leaving(&server, true);
        let told = self.fleet.recorder.clock.now() + lag;
        tokio::time::sleep(length).await;
        self.fleet.platform.set_leaving(&server, false);
        self.fleet.recorder.add_event(Event::Drain(Drain {
            server: server.clone(),
            told,
            taken_back: self.fleet.recorder.clock.now(),
        }));
        server
    }

    async fn partition(&self, partition: Partition, length: Duration) -> String {
        let from = self.fleet.recorder.clock.now();
        self.fleet.network.partition(partition.clone());
        tokio::time::sleep(length).await;
        self.fleet.network.heal(&partition);
        let to = self.fleet.recorder.clock.now();
        for index in 0..self.fleet.node_count() {
            let placed = self.fleet.node_instance(index);
            if partition.contains(&placed.location) {
                let node = placed.name;
                self.fleet
                    .recorder
                    .add_event(Event::Unavailable(Unavailable { node, from, to }));
            }
        }
        partition.to_string()
    }

    async fn platform_fault(&self, service: Service, fault: PlatformFault, length: Duration) {
        let held = self.active.add(service, fault);
        self.fleet
            .platform
            .set_fault(service, self.active.combined(service));
        tokio::time::sleep(length).await;
        self.active.end(held);
        self.fleet
            .platform
            .set_fault(service, self.active.combined(service));
    }

    async fn publication_fault(&self, lag: Duration, drop_events: bool, length: Duration) {
        let (old_lag, old_drop) = self.publication.get();
        self.apply_publication(lag.max(old_lag), drop_events || old_drop);
        tokio::time::sleep(length).await;
        let (current_lag, current_drop) = self.publication.get();
        let remaining_lag = if lag.is_zero() {
            current_lag
        } else {
            Duration::ZERO
        };
        self.apply_publication(remaining_lag, current_drop && !drop_events);
    }

    fn apply_publication(&self, lag: Duration, drop_events: bool) {
        self.publication.set((lag, drop_events));
        for server in &self.fleet.servers {
            self.fleet
                .engines
                .set_publication_faults(&server.name, lag, drop_events);
        }
    }

    fn set_list_lag(&self, lag: Duration) {
        self.list_lag.set(lag);
        self.fleet.platform.set_machine_lag(lag);
    }

    async fn switch(&self, switch: &AtomicBool, length: Duration) {
        switch.store(true, Ordering::Relaxed);
        tokio::time::sleep(length).await;
        switch.store(false, Ordering::Relaxed);
    }
}
