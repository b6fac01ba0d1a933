//! Calls that the actor makes: the change feed, the machine list, the region's row, and the snapshot
//! of a starting node.

use actix::{ActorFutureExt, AsyncContext, Context, WrapFuture};
use dappleyard_decide::time::Millis;
use dappleyard_store::{Machine, StoreError};
use dappleyard_tables::Lifecycle;
use dappleyard_wire::messages::{CellSyncAnswer, MemberState};
use rand::seq::IteratorRandom;

use super::FleetActor;
use crate::spread::Source;
use crate::watcher::{self, FeedRead, Snapshot};
use crate::{regions, sync};

/// Pause between two attempts to learn the snapshot, milliseconds.
pub(super) const SYNC_RETRY_MS: u64 = 300;
/// Shortest time between two snapshots of a node that has started, milliseconds.
const SYNC_PAUSE_MS: u64 = 4_000;
/// The same, when the store has failed several times, milliseconds.
const LONGEST_SYNC_RETRY_MS: u64 = 5_000;
/// Peers asked in vain before the store is read.
const PEERS_ASKED: u32 = 3;

impl FleetActor {
    /// Starts the calls that are due.
    pub(super) fn start_calls(&mut self, now: Millis, context: &mut Context<Self>) {
        if !self.running.machines && now >= self.due.machines {
            self.read_machines(context);
        }
        if !self.running.sync && now >= self.due.sync {
            self.start_sync(now, context);
        }
        if !self.synced {
            return;
        }
        if !self.running.watch && now >= self.due.watch {
            self.due.watch = self.later(self.settings.watch_interval_ms);
            if self.is_watcher() {
                // A node that has just become a watcher does not wait for its next rare reading.
                let latest = now.plus(self.settings.machine_list_interval_ms);
                self.due.machines = self.due.machines.min(latest);
                self.watch(now, context);
            }
        }
        if !self.running.region && now >= self.due.region {
            self.due.region = self.later(regions::REFRESH_MS);
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
        self.running.watch = true;
        let applied = self.tables.configuration.revision();
        let store = self.platform.tables.clone();
        let reading = watcher::read_feed(store, applied, self.feed_from);
        let done = reading.into_actor(self).map(move |read, actor, _| {
            actor.running.watch = false;
            actor.take_feed(read, now);
        });
        context.spawn(done);
    }

    fn take_feed(&mut self, read: Result<FeedRead, StoreError>, sent: Millis) {
        self.metrics.count_call("changes", &read);
        match read {
            Ok(FeedRead::Changes(changes)) => {
                self.membership.record_store_response(sent);
                for change in changes {
                    self.spread.offer(&change, Source::Feed, &self.metrics);
                }
            }
            Ok(FeedRead::Snapshot(snapshot)) => {
                self.membership.record_store_response(sent);
                self.take_snapshot(snapshot);
            }
            Err(error) => tracing::debug!(%error, "the change feed cannot be read"),
        }
    }

    fn take_snapshot(&mut self, snapshot: Snapshot) {
        self.feed_from = self.feed_from.max(snapshot.feed_from);
        self.spread.replace(snapshot.state, &self.metrics);
    }

    fn read_machines(&mut self, context: &mut Context<Self>) {
        self.running.machines = true;
        let list = self.platform.machines.clone();
        let reading = async move { list.machines().await };
        let done = reading.into_actor(self).map(|read, actor, _| {
            actor.running.machines = false;
            let often = read.is_err() || actor.is_watcher();
            actor.take_machines(read);
            let interval = actor.settings.machine_list_interval_ms;
            let interval = actor.machines.reading_interval_ms(interval, often);
            actor.due.machines = actor.later(interval);
        });
        context.spawn(done);
    }

    fn take_machines(&mut self, read: Result<Vec<Machine>, StoreError>) {
        self.metrics.count_call("machines", &read);
        match read {
            Ok(machines) => {
                let unix_ms = self.tables.clock.unix_ms();
                let change = self.machines.read(&machines, unix_ms);
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
        let mine = ready && self.is_preferred(&task, 1, |m| m.region == region && !m.draining);
        if !mine {
            return;
        }
        self.running.region = true;
        let revision = self.tables.configuration.revision();
        let holder = self.membership.own().node.clone();
        let unix_ms = self.tables.clock.unix_ms();
        let writing = regions::refresh(region, holder, revision, unix_ms, self.platform.clone());
        let done = writing.into_actor(self).map(|written, actor, _| {
            actor.running.region = false;
            actor.metrics.count_call("region", &written);
        });
        context.spawn(done);
    }

    /// Learns the snapshot on start, or when a repair did not fit a datagram: from a peer, or from
    /// the store when no peer answers.
    fn start_sync(&mut self, now: Millis, context: &mut Context<Self>) {
        let wanted = self.snapshot_from.take();
        let wanted = wanted.or_else(|| self.membership.take_full_sync_peer());
        if self.synced && wanted.is_none() {
            return;
        }
        let peer = wanted.or_else(|| self.random_peer());
        let joining = now.since(self.started) < self.settings.probe_interval_ms;
        match peer {
            Some(node) if self.synced || self.sync_attempts < PEERS_ASKED => {
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
        let dialler = self.dialler.clone();
        self.running.sync = true;
        self.sync_attempts += 1;
        let asking = async move { dialler.cell_sync(&identity, &address).await };
        let done = asking.into_actor(self).map(|answer, actor, _| {
            actor.running.sync = false;
            let pause = if actor.synced {
                SYNC_PAUSE_MS
            } else {
                SYNC_RETRY_MS
            };
            actor.due.sync = actor.later(pause);
            actor.take_peer_snapshot(answer);
        });
        context.spawn(done);
    }

    fn take_peer_snapshot(&mut self, answer: Option<CellSyncAnswer>) {
        self.metrics
            .count_call("cell_sync", &answer.as_ref().ok_or(()));
        let Some(answer) = answer else { return };
        let vouched = answer.ready;
        let (state, members) = sync::parts(answer);
        let now = self.now();
        let actions = self.membership.merge_member_list(&members, now);
        self.perform(actions);
        if vouched {
            self.spread.replace(state, &self.metrics);
            self.finish_sync();
        }
    }

    fn sync_from_store(&mut self, now: Millis, context: &mut Context<Self>) {
        self.running.sync = true;
        let reading = watcher::read_whole(self.platform.tables.clone());
        let done = reading.into_actor(self).map(move |read, actor, _| {
            actor.running.sync = false;
            actor.metrics.count_call("snapshot", &read);
            match read {
                Ok(snapshot) => {
                    actor.membership.record_store_response(now);
                    actor.take_snapshot(snapshot);
                    actor.finish_sync();
                }
                Err(_) => {
                    actor.sync_attempts = 0;
                    actor.sync_pause_ms = (actor.sync_pause_ms * 2).min(LONGEST_SYNC_RETRY_MS);
                }
            }
            actor.due.sync = actor.later(actor.sync_pause_ms);
        });
        context.spawn(done);
    }

    fn finish_sync(&mut self) {
        self.synced = true;
        self.sync_attempts = 0;
    }
}
