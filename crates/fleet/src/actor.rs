//! The actor that owns the fleet part's timers, its socket and its state machines.

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

use crate::cancelled::CancelledJobs;
use crate::crashes::CrashSpread;
use crate::directory::Directory;
use crate::lifecycle::{Inputs, LifecycleGuard};
use crate::loads::Loads;
use crate::machines::Machines;
use crate::metrics::Metrics;
use crate::spread::Spread;
use crate::sync::Dialler;
use crate::{lifecycle, loads};

/// Time between two ticks, milliseconds.
const TICK_MS: u64 = 100;
/// Time after which dead and left members are forgotten, milliseconds.
const FORGET_MS: u64 = 60_000;
/// Shortest mean time between two load reports to single members, milliseconds: a large cell hears
/// less often, so that the traffic of a node stays within its budget.
const LOAD_SPACING_MS: u64 = 45;
/// Time over which nodes spread their readings after a large change of the list, milliseconds.
const REREAD_SPREAD_MS: u64 = 5_000;
/// Times that a leaving node says so, and the pause between, milliseconds.
const LEAVE_REPEATS: u32 = 3;
const LEAVE_PAUSE_MS: u64 = 30;

/// Timers besides probing.
#[derive(Debug, Default)]
struct Due {
    load: Millis,
    aggregate: Millis,
    digest: Millis,
    watch: Millis,
    machines: Millis,
    region: Millis,
    sync: Millis,
    publish: Millis,
}

/// Calls that are under way.
#[derive(Debug, Default)]
struct Running {
    watch: bool,
    machines: bool,
    region: bool,
    sync: bool,
}

/// The fleet part of a node.
pub struct FleetActor {
    tables: Arc<NodeTables>,
    settings: FleetSettings,
    platform: Platform,
    socket: Rc<DatagramSocket>,
    dialler: Dialler,
    random: ChaCha8Rng,
    metrics: Metrics,
    membership: Membership,
    spread: Spread,
    directory: Directory,
    loads: Loads,
    cancelled: CancelledJobs,
    crashes: CrashSpread,
    guard: LifecycleGuard,
    due: Due,
    running: Running,
    started: Millis,
    /// Members or machines have changed since the directory was written.
    dirty: bool,
    servers_changed: bool,
    /// Member changes since the directory was written.
    member_changes: u64,
    machines: Machines,
    /// A peer that has more than fits a datagram.
    snapshot_from: Option<String>,
    synced: bool,
    sync_attempts: u32,
    sync_pause_ms: u64,
    feed_from: u64,
    highest_heard: u64,
    /// A member that has shown a greater revision, to be asked for what is missing.
    ahead: Option<SocketAddr>,
    lost_zones: std::collections::BTreeSet<String>,
    seeds: Vec<SocketAddr>,
}

impl FleetActor {
    /// The actor, not started yet.
    pub fn new(
        tables: Arc<NodeTables>,
        settings: FleetSettings,
        platform: Platform,
        socket: Rc<DatagramSocket>,
        link_address: String,
        admin_address: String,
        dialler: Dialler,
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
            // Takes no work until it is ready.
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
            spread: Spread::new(tables.clone()),
            random: ChaCha8Rng::from_os_rng(),
            directory: Directory::default(),
            loads: Loads::default(),
            cancelled: CancelledJobs::default(),
            crashes: CrashSpread::default(),
            guard: LifecycleGuard::default(),
            due: Due::default(),
            running: Running::default(),
            started: now,
            dirty: true,
            servers_changed: false,
            member_changes: 0,
            machines: Machines::default(),
            snapshot_from: None,
            synced: false,
            sync_attempts: 0,
            sync_pause_ms: calls::SYNC_RETRY_MS,
            feed_from: 0,
            highest_heard: 0,
            ahead: None,
            lost_zones: std::collections::BTreeSet::new(),
            membership,
            seeds,
            tables,
            settings,
            platform,
            socket,
            dialler,
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
        // Worker threads that wake from a pause before this actor does see that its time is up.
        let grace = self.settings.suspicion_ms / 2;
        self.tables.set_lifecycle_valid_until(now.plus(grace));
        self.cancelled.collect(&self.tables, now);
        self.crashes.collect(&self.tables, now);
        self.publish(now);
        self.push_fresh();
        self.ask_for_missing();
        if now >= self.due.load {
            let receivers = self.send_load() as u64;
            let interval = self
                .settings
                .load_interval_ms
                .max(receivers * LOAD_SPACING_MS);
            self.due.load = now.plus(interval);
        }
        if now >= self.due.aggregate {
            self.due.aggregate = self.later(self.settings.aggregate_interval_ms);
            self.send_aggregate(now);
        }
        if now >= self.due.digest {
            self.due.digest = self.later(self.settings.digest_interval_ms);
            let actions = self.membership.send_digest(&mut self.random);
            self.perform(actions);
        }
        self.start_calls(now, context);
    }

    /// The time of the next round of a jittered timer.
    fn later(&mut self, interval_ms: u64) -> Millis {
        use rand::Rng;
        let jitter = self.random.random_range(0..=interval_ms / 4);
        self.now().plus(interval_ms - interval_ms / 8 + jitter)
    }

    fn update_lifecycle(&mut self, now: Millis) {
        let inputs = Inputs {
            synced: self.synced,
            standing: self.membership.status(now),
            highest_heard: self.highest_heard,
            revision: self.tables.configuration.revision(),
        };
        let (next, cause) = self.guard.decide(inputs, self.settings.vouch_ms, now);
        if lifecycle::enter(&self.tables, next, cause) && next == Lifecycle::Withdrawn {
            self.metrics.withdrawals.inc();
        }
        let ready = *self.tables.lifecycle.borrow() == Lifecycle::Ready;
        if self.membership.own().draining == ready {
            self.membership.set_draining(!ready);
            self.dirty = true;
        }
    }

    /// Whether this node is among the `count` that a hash prefers for a task within a group.
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
            self.take_configuration(&datagram);
        }
        self.cancelled
            .learn(&datagram.cancelled_jobs, &self.tables, now);
        self.crashes.learn(&datagram.crashes, &self.tables);
        self.take_servers(&datagram);
        match datagram.body {
            Some(Body::Ack(ack)) => self.hear_revision(from, ack.configuration_revision),
            Some(Body::Load(report)) => {
                self.hear_revision(from, report.configuration_revision);
                loads::take_report(&self.tables, &datagram.from, report, now);
            }
            Some(Body::Digest(digest)) => self.answer_digest(from, &digest),
            Some(Body::Entries(answer)) => self.take_entries(&datagram.from, &answer),
            Some(Body::Aggregate(aggregate)) => self.take_aggregate(&datagram.from, aggregate, now),
            _ => {}
        }
    }

    fn take_configuration(&mut self, datagram: &Datagram) {
        if self.synced {
            let source = crate::spread::Source::Gossip;
            self.spread
                .offer(&datagram.configuration, source, &self.metrics);
        }
    }

    /// Takes changes of the machine list that others have seen.
    fn take_servers(&mut self, datagram: &Datagram) {
        if !datagram.servers.is_empty() {
            let change = self.machines.learn(&datagram.servers);
            self.change_directory(change);
        }
        if self.machines.hear_reread(datagram.reread_machines_unix_ms) {
            self.due.machines = self.later(REREAD_SPREAD_MS);
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

    fn hear_revision(&mut self, from: SocketAddr, revision: u64) {
        self.highest_heard = self.highest_heard.max(revision);
        if revision > self.tables.configuration.revision() {
            self.ahead = Some(from);
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

/// Asks the actor to announce that the node has left, and to stop.
#[derive(Message)]
#[rtype(result = "()")]
pub struct Leave;

impl Handler<Leave> for FleetActor {
    type Result = ResponseActFuture<Self, ()>;

    fn handle(&mut self, _: Leave, _: &mut Self::Context) -> Self::Result {
        Box::pin(
            async {}
                .into_actor(self)
                .then(|(), actor, _| actor.say_left(LEAVE_REPEATS))
                .map(|(), _, context: &mut Context<Self>| context.stop()),
        )
    }
}

impl FleetActor {
    /// Says that the node has left, several times.
    fn say_left(&mut self, repeats: u32) -> ResponseActFuture<Self, ()> {
        let actions = self.membership.leave(&mut self.random);
        self.perform(actions);
        let pause = tokio::time::sleep(Duration::from_millis(LEAVE_PAUSE_MS));
        let paused = pause.into_actor(self);
        if repeats <= 1 {
            return Box::pin(paused);
        }
        Box::pin(paused.then(move |(), actor: &mut Self, _| actor.say_left(repeats - 1)))
    }
}
