//! Shared state of the runner's tasks: active jobs, held chunks, queued and running items.

use std::collections::{BTreeMap, VecDeque};
use std::rc::Rc;

use dappleyard_decide::fairness::TenantShares;
use dappleyard_decide::time::Millis;
use dappleyard_wire::ids::ServerId;
use dappleyard_wire::messages::ActiveJobRow;

use super::server::ServerState;
use super::work::{HeldChunk, WorkItem};
use crate::input::PartIndex;

/// Job id and index of a chunk.
pub type ChunkId = (String, u32);

/// An active job, as read from the change feed.
pub struct ActiveJob {
    /// Row of the active job.
    pub row: ActiveJobRow,
    /// Time before which the job is not searched again, after no open chunk was found.
    pub exhausted_until: Millis,
}

/// Location of a job's input.
pub struct JobInput {
    /// Endpoint of the job's items.
    pub endpoint: String,
    /// Parts of the input file.
    pub parts: PartIndex,
}

/// State shared by the runner's tasks.
#[derive(Default)]
pub struct RunnerState {
    /// Active jobs by id.
    pub jobs: BTreeMap<String, ActiveJob>,
    /// Inputs of active jobs of which this node has loaded chunks.
    pub inputs: BTreeMap<String, Rc<JobInput>>,
    /// Send time of the last successful read of the feed.
    pub feed_read_at: Millis,
    /// Time of the last failed read of the feed.
    pub feed_failed_at: Millis,
    /// Time at which the process was last found to have been suspended. No item is started until
    /// the feed has been read again, because a job may have been cancelled in the meantime.
    pub resumed_at: Millis,
    /// Chunks being claimed or loaded, with their item counts.
    pub claiming: BTreeMap<ChunkId, u32>,
    /// Chunks held by this node whose input is loaded.
    pub held: BTreeMap<ChunkId, Rc<HeldChunk>>,
    /// Queued items without any token, by service.
    pub unstarted: BTreeMap<String, VecDeque<WorkItem>>,
    /// Queued items with tokens, which were paused or are to be retried, by service.
    pub paused: BTreeMap<String, Vec<WorkItem>>,
    /// State of the servers of this node.
    pub servers: BTreeMap<ServerId, ServerState>,
    /// Batch work charged to tenants.
    pub shares: TenantShares,
    /// Estimated memory of the held chunks, bytes.
    pub held_bytes: usize,
}

impl RunnerState {
    /// Whether the process was suspended and has not read the feed since. A failed read is enough:
    /// a store that does not respond has acknowledged no recent cancel, and gossip covers the
    /// others.
    pub fn is_feed_stale(&self) -> bool {
        self.feed_read_at.max(self.feed_failed_at) < self.resumed_at
    }

    /// Whether this node is claiming, loading or holding a chunk.
    pub fn tracks_chunk(&self, chunk_id: &ChunkId) -> bool {
        self.held.contains_key(chunk_id) || self.claiming.contains_key(chunk_id)
    }

    /// Whether an item of a chunk is running.
    pub fn is_running(&self, chunk: &Rc<HeldChunk>) -> bool {
        let mut running = self.servers.values().flat_map(|server| &server.running);
        running.any(|running| Rc::ptr_eq(&running.chunk, chunk))
    }

    /// Number of queued items of a service without any token, plus the items of all services that
    /// are being claimed or loaded.
    pub fn queued_unstarted(&self, service: &str) -> usize {
        let incoming: u32 = self.claiming.values().sum();
        self.unstarted.get(service).map_or(0, VecDeque::len) + incoming as usize
    }

    /// Number of queued items.
    pub fn queued_total(&self) -> usize {
        let unstarted: usize = self.unstarted.values().map(VecDeque::len).sum();
        let paused: usize = self.paused.values().map(Vec::len).sum();
        unstarted + paused
    }

    /// Number of running streams.
    pub fn running_total(&self) -> usize {
        let servers = self.servers.values();
        servers.map(|server| server.running.len()).sum()
    }

    /// Removes and returns a paused item whose KV state is probably still cached on a server.
    pub fn take_warm(&mut self, service: &str, server: &ServerId, now: Millis) -> Option<WorkItem> {
        let cache = &self.servers.get(server)?.cache;
        let paused = self.paused.get_mut(service)?;
        paused.retain(|item| !item.chunk.is_stopped());
        let index = paused
            .iter()
            .position(|item| item.is_warm_on(server, cache, now))?;
        Some(paused.remove(index))
    }

    /// Removes and returns an item that needs a prefill: preferably a paused one whose cached state
    /// has expired, then one without any token, then any paused one.
    pub fn take_cold(&mut self, service: &str, server: &ServerId, now: Millis) -> Option<WorkItem> {
        self.take_stale(service, now)
            .or_else(|| self.take_unstarted(service, server, now))
            .or_else(|| self.take_any_paused(service))
    }

    /// Removes and returns a paused item whose KV state is probably no longer cached on any server.
    fn take_stale(&mut self, service: &str, now: Millis) -> Option<WorkItem> {
        let servers = &self.servers;
        let paused = self.paused.get_mut(service)?;
        paused.retain(|item| !item.chunk.is_stopped());
        let index = paused.iter().position(|item| {
            let last = item.last_server.as_ref().and_then(|last| servers.get(last));
            item.is_stale(last.map(|server| &server.cache), now)
        })?;
        Some(paused.remove(index))
    }

    fn take_any_paused(&mut self, service: &str) -> Option<WorkItem> {
        let paused = self.paused.get_mut(service)?;
        (!paused.is_empty()).then(|| paused.remove(0))
    }

    /// Removes and returns the first item whose shared prefix the server is not computing right
    /// now. The others are delayed so that they find the prefix in the cache.
    fn take_unstarted(
        &mut self,
        service: &str,
        server: &ServerId,
        now: Millis,
    ) -> Option<WorkItem> {
        let unstarted = self.unstarted.get_mut(service)?;
        let server_state = self.servers.entry(server.clone()).or_default();
        let mut blocked_prefix = None;
        let index = unstarted.iter().position(|item| {
            let prefix = item.item().prefix_hash;
            if item.chunk.is_stopped() || blocked_prefix == Some(prefix) {
                return false;
            }
            let admitted =
                item.item().prefix_tokens == 0 || server_state.admits_prefix(prefix, now);
            if !admitted {
                blocked_prefix = Some(prefix);
            }
            admitted
        })?;
        unstarted.remove(index)
    }

    /// Queues an item again after a pause or a failed attempt. An item without any token goes to
    /// the front of its queue.
    pub fn requeue(&mut self, item: WorkItem) {
        if item.chunk.is_stopped() {
            return;
        }
        let service = item.chunk.service.clone();
        if item.pieces.is_empty() {
            self.unstarted.entry(service).or_default().push_front(item);
        } else {
            self.paused.entry(service).or_default().push(item);
        }
    }

    /// Adds a loaded chunk and queues the given items of it.
    pub fn hold(&mut self, chunk: &Rc<HeldChunk>, queued: impl Iterator<Item = u32>) {
        self.held_bytes += chunk.bytes;
        self.held.insert(chunk.chunk_id(), chunk.clone());
        let unstarted = self.unstarted.entry(chunk.service.clone()).or_default();
        unstarted.extend(queued.map(|index| WorkItem::unstarted(chunk, index)));
    }

    /// Removes a chunk and its queued items.
    pub fn remove_chunk(&mut self, chunk_id: &ChunkId) {
        let Some(chunk) = self.held.remove(chunk_id) else {
            return;
        };
        self.held_bytes = self.held_bytes.saturating_sub(chunk.bytes);
        if let Some(unstarted) = self.unstarted.get_mut(&chunk.service) {
            unstarted.retain(|item| !Rc::ptr_eq(&item.chunk, &chunk));
        }
        if let Some(paused) = self.paused.get_mut(&chunk.service) {
            paused.retain(|item| !Rc::ptr_eq(&item.chunk, &chunk));
        }
    }
}
