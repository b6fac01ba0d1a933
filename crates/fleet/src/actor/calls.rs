//! Asynchronous calls of the actor: change feed, machine list, region row and snapshots.

use actix::{ActorFutureExt, AsyncContext, Context, WrapFuture};
use dappleyard_decide::time::Millis;
use dappleyard_store::{Machine, StoreError};
use dappleyard_tables::Lifecycle;
use dappleyard_wire::messages::{CellSyncAnswer, MemberState};
use rand::seq::IteratorRandom;

use super::FleetActor;
use crate::configuration_gossip::Source;
use crate::watcher::{self, FeedRead, Snapshot};
use crate::{regions, sync};

/// Delay between two attempts to get the first snapshot, milliseconds.
pub(super) const SYNC_RETRY_MS: u64 = 300;
/// Interval between snapshots once the node has synchronized, milliseconds.
const SYNC_INTERVAL_MS: u64 = 4_000;
/// Upper bound of the delay between attempts to read the snapshot from the store, milliseconds.
const MAXIMUM_SYNC_RETRY_MS: u64 = 5_000;
/// Attempts with peers before the store is read.
const MAXIMUM_PEER_ATTEMPTS: u32 = 3;

impl FleetActor {
    pub(super) fn start_calls(&mut self, now: Millis, context: &mut Context<Self>) {
        if !self.in_flight.machines && now >= self.deadlines.machines {
            self.read_machines(context);
        }
        if !self.in_flight.sync && now >= self.deadlines.sync {
            self.start_sync(now, context);
        }
        if !self.synced {
            return;
        }
        if !self.in_flight.watch && now >= self.deadlines.watch {
            self.deadlines.watch = self.jittered_deadline(self.settings.watch_interval_ms);
            if self.is_watcher() {
                // A new watcher must not wait out the long interval of other nodes.
                let latest = now.plus(self.settings.machine_list_interval_ms);
                self.deadlines.machines = self.deadlines.machines.min(latest);
                self.watch(now, context);
            }
        }
        if !self.in_flight.region && now >= self.deadlines.region {
            self.deadlines.region = self.jittered_deadline(regions::REFRESH_MS);
            self.refresh_region(context);
        }
    }

    fn is_watcher(&self) -> bool {
        let zone = &self.membership.own().zone;
        let task = format!("watch/{zone}");
        self.is_preferred(&task, self.settings.watchers_per_zone, |member| {
            member.zone == *zone && !member.draining
        })
    }

    fn watch(&mut self, now: Millis, context: &mut Context<Self>) {
        self.in_flight.watch = true;
        let applied = self.tables.configuration.revision();
        let store = self.platform.tables.clone();
        let reading = watcher::read_feed(store, applied, self.feed_from);
        let done = reading.into_actor(self).map(move |read, actor, _| {
            actor.in_flight.watch = false;
            actor.apply_feed(read, now);
        });
        context.spawn(done);
    }

    fn apply_feed(&mut self, read: Result<FeedRead, StoreError>, sent: Millis) {
        self.metrics.count_call("changes", &read);
        match read {
            Ok(FeedRead::Changes(changes)) => {
                self.membership.record_store_response(sent);
                for change in changes {
                    self.configuration_gossip
                        .offer(&change, Source::Feed, &self.metrics);
                }
            }
            Ok(FeedRead::Snapshot(snapshot)) => {
                self.membership.record_store_response(sent);
                self.apply_snapshot(snapshot);
            }
            Err(error) => tracing::debug!(%error, "the change feed cannot be read"),
        }
    }

    fn apply_snapshot(&mut self, snapshot: Snapshot) {
        self.feed_from = self.feed_from.max(snapshot.feed_from);
        self.configuration_gossip
            .replace(snapshot.state, &self.metrics);
    }

    fn read_machines(&mut self, context: &mut Context<Self>) {
        self.in_flight.machines = true;
        let list = self.platform.machines.clone();
        let reading = async move { list.machines().await };
        let done = reading.into_actor(self).map(|read, actor, _| {
            actor.in_flight.machines = false;
            let frequent = read.is_err() || actor.is_watcher();
            actor.apply_machine_list(read);
            let interval = actor.settings.machine_list_interval_ms;
            let interval = actor.machines.read_interval_ms(interval, frequent);
            actor.deadlines.machines = actor.jittered_deadline(interval);
        });
        context.spawn(done);
    }

    fn apply_machine_list(&mut self, read: Result<Vec<Machine>, StoreError>) {
        self.metrics.count_call("machines", &read);
        match read {
            Ok(machines) => {
                let unix_ms = self.tables.clock.unix_ms();
                let change = self.machines.apply_list(&machines, unix_ms);
                self.change_directory(change);
            }
            Err(error) => tracing::debug!(%error, "the machine list cannot be read"),
        }
        let mut contacts = self.seeds.clone();
        contacts.extend(self.machines.node_addresses());
        self.membership.set_contacts(contacts);
    }

    fn refresh_region(&mut self, context: &mut Context<Self>) {
        let region = self.membership.own().region.clone();
        let task = format!("region/{region}");
        let ready = *self.tables.lifecycle.borrow() == Lifecycle::Ready;
        let is_responsible =
            ready && self.is_preferred(&task, 1, |m| m.region == region && !m.draining);
        if !is_responsible {
            return;
        }
        self.in_flight.region = true;
        let revision = self.tables.configuration.revision();
        let holder = self.membership.own().node.clone();
        let unix_ms = self.tables.clock.unix_ms();
        let writing = regions::refresh(region, holder, revision, unix_ms, self.platform.clone());
        let done = writing.into_actor(self).map(|written, actor, _| {
            actor.in_flight.region = false;
            actor.metrics.count_call("region", &written);
        });
        context.spawn(done);
    }

    /// Fetches a snapshot on start, when a repair did not fit a datagram, or when a member differs:
    /// from a peer, or on start from the store when no peer answers.
    fn start_sync(&mut self, now: Millis, context: &mut Context<Self>) {
        let requested = self.snapshot_peer.take();
        let requested = requested.or_else(|| self.membership.take_full_sync_peer());
        if self.synced && requested.is_none() {
            return;
        }
        let peer = requested.or_else(|| self.random_peer());
        let joining = now.since(self.started) < self.settings.probe_interval_ms;
        match peer {
            Some(node) if self.synced || self.sync_attempts < MAXIMUM_PEER_ATTEMPTS => {
                self.sync_from_peer(&node, context);
            }
            None if joining => {}
            _ => self.sync_from_store(now, context),
        }
    }

    fn random_peer(&mut self) -> Option<String> {
        let alive = self.membership.members().filter(|entry| {
            entry.member.state() == MemberState::MemberAlive && !entry.member.draining
        });
        let chosen = alive.choose(&mut self.random)?;
        Some(chosen.member.node.clone())
    }

    fn sync_from_peer(&mut self, node: &str, context: &mut Context<Self>) {
        let Some(entry) = self.membership.member(node) else {
            return;
        };
        let address = entry.member.link_address.clone();
        let identity = self.tables.identity.clone();
        let snapshot_client = self.snapshot_client.clone();
        self.in_flight.sync = true;
        self.sync_attempts += 1;
        let asking = async move { snapshot_client.cell_sync(&identity, &address).await };
        let done = asking.into_actor(self).map(|answer, actor, _| {
            actor.in_flight.sync = false;
            let pause = if actor.synced {
                SYNC_INTERVAL_MS
            } else {
                SYNC_RETRY_MS
            };
            actor.deadlines.sync = actor.jittered_deadline(pause);
            actor.apply_peer_snapshot(answer);
        });
        context.spawn(done);
    }

    fn apply_peer_snapshot(&mut self, answer: Option<CellSyncAnswer>) {
        self.metrics
            .count_call("cell_sync", &answer.as_ref().ok_or(()));
        let Some(answer) = answer else { return };
        let peer_ready = answer.ready;
        let (state, members) = sync::split_answer(answer);
        let now = self.now();
        let actions = self.membership.merge_member_list(&members, now);
        self.perform(actions);
        if peer_ready {
            self.configuration_gossip.replace(state, &self.metrics);
            self.finish_sync();
        }
    }

    fn sync_from_store(&mut self, now: Millis, context: &mut Context<Self>) {
        self.in_flight.sync = true;
        let reading = watcher::read_configuration(self.platform.tables.clone());
        let done = reading.into_actor(self).map(move |read, actor, _| {
            actor.in_flight.sync = false;
            actor.metrics.count_call("snapshot", &read);
            match read {
                Ok(snapshot) => {
                    actor.membership.record_store_response(now);
                    actor.apply_snapshot(snapshot);
                    actor.finish_sync();
                }
                Err(_) => {
                    actor.sync_attempts = 0;
                    actor.sync_retry_ms = (actor.sync_retry_ms * 2).min(MAXIMUM_SYNC_RETRY_MS);
                }
            }
            actor.deadlines.sync = actor.jittered_deadline(actor.sync_retry_ms);
        });
        context.spawn(done);
    }

    fn finish_sync(&mut self) {
        self.synced = true;
        self.sync_attempts = 0;
    }
}
