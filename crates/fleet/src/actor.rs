//! The actor that owns the timers, socket and state machines of the fleet part.

mod calls;
mod changes;
mod outgoing;

use std::net::SocketAddr;
use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;

use actix::{Actor, ActorFutureExt, AsyncContext, Context, Handler, Message, StreamHandler};
use actix::{ActorContext, ResponseActFuture, WrapFuture};
use dappleyard_decide::membership::{Membership, MembershipSettings};
use dappleyard_decide::ownership::preferred;
use dappleyard_decide::time::Millis;
use dappleyard_settings::FleetSettings;
use dappleyard_store::Platform;
use dappleyard_tables::{Lifecycle, NodeTables};
use dappleyard_transport::DatagramSocket;
use dappleyard_transport::datagram::Received;
use dappleyard_wire::messages::datagram::Body;
use dappleyard_wire::messages::{Datagram, Member, MemberState};
use rand::SeedableRng;
use rand_chacha::ChaCha8Rng;

use crate::cancelled_job_gossip::CancelledJobGossip;
use crate::configuration_gossip::ConfigurationGossip;
use crate::crash_gossip::CrashGossip;
use crate::directory::Directory;
use crate::lifecycle::{Inputs, LifecycleGuard};
use crate::loads::Loads;
use crate::machines::Machines;
use crate::metrics::Metrics;
use crate::sync::SnapshotClient;
use crate::{lifecycle, loads};

const TICK_MS: u64 = 100;
/// Time after which dead and departed members are removed, milliseconds.
const FORGET_MS: u64 = 60_000;
/// Minimum load report interval per receiver, milliseconds. The interval grows with the cell, which
/// bounds the traffic of a node.
const LOAD_SPACING_MS: u64 = 45;
/// Range over which nodes jitter their reads after a large change of the machine list, milliseconds.
const REREAD_JITTER_MS: u64 = 5_000;
const LEAVE_REPEATS: u32 = 3;
/// Delay after each departure announcement, milliseconds.
const LEAVE_INTERVAL_MS: u64 = 30;

/// Deadlines of the timers other than probing.
#[derive(Debug, Default)]
struct Deadlines {
    load: Millis,
    aggregate: Millis,
    digest: Millis,
    watch: Millis,
    machines: Millis,
    region: Millis,
    sync: Millis,
    publish: Millis,
}

#[derive(Debug, Default)]
struct CallsInFlight {
    watch: bool,
    machines: bool,
    region: bool,
    sync: bool,
}

pub struct FleetActor {
    tables: Arc<NodeTables>,
    settings: FleetSettings,
    platform: Platform,
    socket: Rc<DatagramSocket>,
    snapshot_client: SnapshotClient,
    random: ChaCha8Rng,
    metrics: Metrics,
    membership: Membership,
    configuration_gossip: ConfigurationGossip,
    directory: Directory,
    loads: Loads,
    cancelled: CancelledJobGossip,
    crashes: CrashGossip,
    guard: LifecycleGuard,
    deadlines: Deadlines,
    in_flight: CallsInFlight,
    started: Millis,
    /// Members or machines have changed since the directory was last published.
    dirty: bool,
    servers_changed: bool,
    /// Member changes since the directory was last published.
    member_changes: u64,
    machines: Machines,
    /// Peer to fetch a snapshot from, because its changes did not fit a datagram.
    snapshot_peer: Option<String>,
    synced: bool,
    sync_attempts: u32,
    sync_retry_ms: u64,
    feed_from: u64,
    highest_remote_revision: u64,
    /// Member with a greater configuration revision, to be asked for the missing changes.
    newer_peer: Option<SocketAddr>,
    lost_zones: std::collections::BTreeSet<String>,
    seeds: Vec<SocketAddr>,
}

impl FleetActor {
    pub fn new(
        tables: Arc<NodeTables>,
        settings: FleetSettings,
        platform: Platform,
        socket: Rc<DatagramSocket>,
        link_address: String,
        admin_address: String,
        snapshot_client: SnapshotClient,
    ) -> FleetActor {
        let now = tables.clock.now();
        let gossip_address = socket.local_address();
        let own = Member {
            node: tables.identity.node.to_string(),
            zone: tables.identity.zone.to_string(),
            region: tables.identity.region.to_string(),
            gossip_address: gossip_address.map_or_else(|_| String::new(), |a| a.to_string()),
            link_address,
            admin_address,
            incarnation: tables.identity.incarnation,
            state: MemberState::MemberAlive as i32,
            // Others give this node no work until it is ready.
            draining: true,
            configuration_revision: 0,
        };
        let membership = Membership::new(own, membership_settings(&settings), now);
        let seeds = settings
            .seeds
            .iter()
            .filter_map(|seed| seed.parse().ok())
            .collect();
        FleetActor {
            metrics: Metrics::new(&tables.metrics),
            configuration_gossip: ConfigurationGossip::new(tables.clone()),
            random: ChaCha8Rng::from_os_rng(),
            directory: Directory::default(),
            loads: Loads::default(),
            cancelled: CancelledJobGossip::default(),
            crashes: CrashGossip::default(),
            guard: LifecycleGuard::default(),
            deadlines: Deadlines::default(),
            in_flight: CallsInFlight::default(),
            started: now,
            dirty: true,
            servers_changed: false,
            member_changes: 0,
            machines: Machines::default(),
            snapshot_peer: None,
            synced: false,
            sync_attempts: 0,
            sync_retry_ms: calls::SYNC_RETRY_MS,
            feed_from: 0,
            highest_remote_revision: 0,
            newer_peer: None,
            lost_zones: std::collections::BTreeSet::new(),
            membership,
            seeds,
            tables,
            settings,
            platform,
            socket,
            snapshot_client,
        }
    }

    fn now(&self) -> Millis {
        self.tables.clock.now()
    }

    fn tick(&mut self, context: &mut Context<Self>) {
        let now = self.now();
        self.membership
            .set_revision(self.tables.configuration.revision());
        let actions = self.membership.tick(now, &mut self.random);
        self.perform(actions);
        self.update_lifecycle(now);
        // After a pause of the process, worker threads may run before this actor: they see the expired deadline.
        let grace = self.settings.suspicion_ms / 2;
        self.tables.set_lifecycle_valid_until(now.plus(grace));
        self.cancelled.collect(&self.tables, now);
        self.crashes.collect(&self.tables, now);
        self.publish(now);
        self.push_new_updates();
        self.ask_for_missing();
        if now >= self.deadlines.load {
            let receivers = self.send_load() as u64;
            let interval = self
                .settings
                .load_interval_ms
                .max(receivers * LOAD_SPACING_MS);
            self.deadlines.load = now.plus(interval);
        }
        if now >= self.deadlines.aggregate {
            self.deadlines.aggregate = self.jittered_deadline(self.settings.aggregate_interval_ms);
            self.send_aggregate(now);
        }
        if now >= self.deadlines.digest {
            self.deadlines.digest = self.jittered_deadline(self.settings.digest_interval_ms);
            let actions = self.membership.send_digest(&mut self.random);
            self.perform(actions);
        }
        self.start_calls(now, context);
    }

    /// The next deadline of a timer, with jitter of an eighth of the interval either way.
    fn jittered_deadline(&mut self, interval_ms: u64) -> Millis {
        use rand::Rng;
        let jitter = self.random.random_range(0..=interval_ms / 4);
        self.now().plus(interval_ms - interval_ms / 8 + jitter)
    }

    fn update_lifecycle(&mut self, now: Millis) {
        let inputs = Inputs {
            synced: self.synced,
            standing: self.membership.status(now),
            highest_remote_revision: self.highest_remote_revision,
            revision: self.tables.configuration.revision(),
        };
        let (next, cause) = self.guard.decide(inputs, self.settings.vouch_ms, now);
        if lifecycle::transition(&self.tables, next, cause) && next == Lifecycle::Withdrawn {
            self.metrics.withdrawals.inc();
        }
        let ready = *self.tables.lifecycle.borrow() == Lifecycle::Ready;
        if self.membership.own().draining == ready {
            self.membership.set_draining(!ready);
            self.dirty = true;
        }
    }

    /// Whether this node is among the `count` members of a group that hashing selects for a task.
    fn is_preferred(&self, task: &str, count: usize, group: impl Fn(&Member) -> bool) -> bool {
        let own = self.membership.own();
        let others = self.membership.members().map(|entry| &entry.member);
        let candidates = others
            .filter(|member| member.state() == MemberState::MemberAlive && group(member))
            .chain(std::iter::once(own))
            .map(|member| member.node.as_str());
        preferred(task, candidates, count).contains(&own.node.as_str())
    }

    fn receive(&mut self, from: SocketAddr, datagram: Datagram, bytes: usize) {
        let now = self.now();
        self.metrics
            .count_datagram("in", datagram.body.as_ref(), bytes);
        let actions = self
            .membership
            .receive(now, from, &datagram, &mut self.random);
        self.perform(actions);
        if datagram.from == self.membership.own().node {
            return;
        }
        if !datagram.configuration.is_empty() {
            self.apply_configuration(&datagram);
        }
        self.cancelled
            .merge_updates(&datagram.cancelled_jobs, &self.tables, now);
        self.crashes.merge_updates(&datagram.crashes, &self.tables);
        self.apply_server_updates(&datagram);
        match datagram.body {
            Some(Body::Ack(ack)) => self.note_remote_revision(from, ack.configuration_revision),
            Some(Body::Load(report)) => {
                self.note_remote_revision(from, report.configuration_revision);
                loads::apply_report(&self.tables, &datagram.from, report, now);
            }
            Some(Body::Digest(digest)) => self.answer_digest(from, &digest),
            Some(Body::Entries(answer)) => self.apply_sync_entries(&datagram.from, &answer),
            Some(Body::Aggregate(aggregate)) => {
                self.receive_aggregate(&datagram.from, aggregate, now)
            }
            _ => {}
        }
    }

    fn apply_configuration(&mut self, datagram: &Datagram) {
        if self.synced {
            let source = crate::configuration_gossip::Source::Gossip;
            self.configuration_gossip
                .offer(&datagram.configuration, source, &self.metrics);
        }
    }

    /// Applies changes of the machine list that other nodes have observed.
    fn apply_server_updates(&mut self, datagram: &Datagram) {
        if !datagram.servers.is_empty() {
            let change = self.machines.merge_updates(&datagram.servers);
            self.change_directory(change);
        }
        if self
            .machines
            .note_reread_request(datagram.reread_machines_unix_ms)
        {
            self.deadlines.machines = self.jittered_deadline(REREAD_JITTER_MS);
        }
    }

    fn change_directory(&mut self, change: crate::machines::DirectoryChange) {
        if !change.is_empty() {
            self.directory
                .change_servers(&self.tables, change.put, &change.removed);
            self.servers_changed = true;
            self.dirty = true;
        }
    }

    fn note_remote_revision(&mut self, from: SocketAddr, revision: u64) {
        self.highest_remote_revision = self.highest_remote_revision.max(revision);
        if revision > self.tables.configuration.revision() {
            self.newer_peer = Some(from);
        }
    }
}

fn membership_settings(settings: &FleetSettings) -> MembershipSettings {
    MembershipSettings {
        probe_interval_ms: settings.probe_interval_ms,
        probe_timeout_ms: settings.probe_timeout_ms,
        indirect_probes: settings.indirect_probes,
        suspicion_ms: settings.suspicion_ms,
        vouch_ms: settings.vouch_ms,
        forget_ms: FORGET_MS,
    }
}

impl Actor for FleetActor {
    type Context = Context<Self>;

    fn started(&mut self, context: &mut Self::Context) {
        let socket = self.socket.clone();
        let datagrams = futures::stream::unfold(socket, |socket| async move {
            let received = socket.receive().await;
            Some((received, socket))
        });
        context.add_stream(datagrams);
        context.run_interval(Duration::from_millis(TICK_MS), |actor, context| {
            actor.tick(context);
        });
    }
}

impl StreamHandler<std::io::Result<Received>> for FleetActor {
    fn handle(&mut self, received: std::io::Result<Received>, _: &mut Self::Context) {
        match received {
            Ok(Received::Message {
                from,
                datagram,
                bytes,
            }) => self.receive(from, *datagram, bytes),
            Ok(Received::Malformed { .. }) => self.metrics.malformed.inc(),
            Err(error) => tracing::debug!(%error, "gossip socket"),
        }
    }
}

/// Asks the actor to announce the node's departure and to stop.
#[derive(Message)]
#[rtype(result = "()")]
pub struct Leave;

impl Handler<Leave> for FleetActor {
    type Result = ResponseActFuture<Self, ()>;

    fn handle(&mut self, _: Leave, _: &mut Self::Context) -> Self::Result {
        Box::pin(
            async {}
                .into_actor(self)
                .then(|(), actor, _| actor.announce_departure(LEAVE_REPEATS))
                .map(|(), _, context: &mut Context<Self>| context.stop()),
        )
    }
}

impl FleetActor {
    /// Announces the node's departure `repeats` times.
    fn announce_departure(&mut self, repeats: u32) -> ResponseActFuture<Self, ()> {
        let actions = self.membership.leave(&mut self.random);
        self.perform(actions);
        let pause = tokio::time::sleep(Duration::from_millis(LEAVE_INTERVAL_MS));
        let paused = pause.into_actor(self);
        if repeats <= 1 {
            return Box::pin(paused);
        }
        Box::pin(paused.then(move |(), actor: &mut Self, _| actor.announce_departure(repeats - 1)))
    }
}
