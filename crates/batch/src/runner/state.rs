//! What the runner's tasks share: active jobs, held chunks, waiting and running items.

use std::collections::{BTreeMap, VecDeque};
use std::rc::Rc;

use dappleyard_decide::fairness::TenantShares;
use dappleyard_decide::time::Millis;
use dappleyard_wire::ids::ServerId;
use dappleyard_wire::messages::ActiveJobRow;

use super::server::ServerState;
use super::work::{HeldChunk, WorkItem};
use crate::input::PartIndex;

/// Place of a chunk: job id and index.
pub type ChunkPlace = (String, u32);

/// An active job as the feed shows it.
pub struct ActiveJob {
    /// The row.
    pub row: ActiveJobRow,
    /// No open chunk was found: do not look again before this time.
    pub exhausted_until: Millis,
}

/// Where the input of a job is.
pub struct JobInput {
    /// Endpoint of its items.
    pub endpoint: String,
    /// Parts of the input file.
    pub parts: PartIndex,
}

/// State of the runner.
#[derive(Default)]
pub struct State {
    /// Jobs that are not finished.
    pub jobs: BTreeMap<String, ActiveJob>,
    /// Inputs of active jobs of which this node holds or held chunks.
    pub inputs: BTreeMap<String, Rc<JobInput>>,
    /// When the last call was sent that read the feed with success.
    pub feed_read_at: Millis,
    /// When the feed was last asked for in vain.
    pub feed_failed_at: Millis,
    /// When this node was last found to have been paused: until it has asked for the feed again, it
    /// starts nothing, since a job may have been cancelled meanwhile.
    pub paused_until: Millis,
    /// Chunks that are being claimed or loaded, with their items.
    pub claiming: BTreeMap<ChunkPlace, u32>,
    /// Chunks held, input loaded.
    pub held: BTreeMap<ChunkPlace, Rc<HeldChunk>>,
    /// Items never started, by service.
    pub fresh: BTreeMap<String, VecDeque<WorkItem>>,
    /// Items that were paused or have to be tried again, by service.
    pub paused: BTreeMap<String, Vec<WorkItem>>,
    /// Servers that run or ran items.
    pub servers: BTreeMap<ServerId, ServerState>,
    /// Batch work given to tenants.
    pub shares: TenantShares,
    /// Bytes that held chunks account for.
    pub held_bytes: usize,
}

impl State {
    /// Whether the node was paused and has not asked for the feed since. A store that does not answer
    /// cannot have acknowledged a cancel lately; what gossip brought is known.
    pub fn is_behind(&self) -> bool {
        self.feed_read_at.max(self.feed_failed_at) < self.paused_until
    }

    /// Whether this node works on a chunk.
    pub fn knows(&self, place: &ChunkPlace) -> bool {
        self.held.contains_key(place) || self.claiming.contains_key(place)
    }

    /// Whether an item of a chunk is on an engine.
    pub fn runs(&self, chunk: &Rc<HeldChunk>) -> bool {
        let mut running = self.servers.values().flat_map(|server| &server.running);
        running.any(|running| Rc::ptr_eq(&running.chunk, chunk))
    }

    /// Items of a service that were never started, and all that are being claimed or loaded.
    pub fn waiting_cold(&self, service: &str) -> usize {
        let coming: u32 = self.claiming.values().sum();
        self.fresh.get(service).map_or(0, VecDeque::len) + coming as usize
    }

    /// All items that wait.
    pub fn waiting_total(&self) -> usize {
        let fresh: usize = self.fresh.values().map(VecDeque::len).sum();
        let paused: usize = self.paused.values().map(Vec::len).sum();
        fresh + paused
    }

    /// All streams.
    pub fn running_total(&self) -> usize {
        let servers = self.servers.values();
        servers.map(|server| server.running.len()).sum()
    }

    /// Takes an item whose state a server still caches.
    pub fn take_warm(&mut self, service: &str, server: &ServerId, now: Millis) -> Option<WorkItem> {
        let cache = &self.servers.get(server)?.cache;
        let paused = self.paused.get_mut(service)?;
        paused.retain(|item| !item.chunk.is_stopped());
        let index = paused
            .iter()
            .position(|item| item.is_warm_on(server, cache, now))?;
        Some(paused.remove(index))
    }

    /// Takes an item that needs a prefill: one that has waited long for its server, or a fresh one,
    /// or else one that was paused elsewhere.
    pub fn take_cold(&mut self, service: &str, server: &ServerId, now: Millis) -> Option<WorkItem> {
        self.take_stale(service, now)
            .or_else(|| self.take_fresh(service, server, now))
            .or_else(|| self.take_any_paused(service))
    }

    /// Takes a paused item that no server is taken to cache any more.
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

    /// Takes the first fresh item of which a server is not just computing the shared head: what
    /// starts a little later finds it in the cache.
    fn take_fresh(&mut self, service: &str, server: &ServerId, now: Millis) -> Option<WorkItem> {
        let fresh = self.fresh.get_mut(service)?;
        let known = self.servers.entry(server.clone()).or_default();
        let mut held_back = None;
        let index = fresh.iter().position(|item| {
            let prefix = item.item().prefix_hash;
            if item.chunk.is_stopped() || held_back == Some(prefix) {
                return false;
            }
            let admitted = item.item().prefix_tokens == 0 || known.admits_prefix(prefix, now);
            if !admitted {
                held_back = Some(prefix);
            }
            admitted
        })?;
        fresh.remove(index)
    }

    /// Puts an item back that was paused or has to be tried again. One without a token goes to the
    /// front of those that were never started.
    pub fn put_back(&mut self, item: WorkItem) {
        if item.chunk.is_stopped() {
            return;
        }
        let service = item.chunk.service.clone();
        if item.pieces.is_empty() {
            self.fresh.entry(service).or_default().push_front(item);
        } else {
            self.paused.entry(service).or_default().push(item);
        }
    }

    /// Holds a chunk and queues the items that are chosen.
    pub fn hold(&mut self, chunk: &Rc<HeldChunk>, queued: impl Iterator<Item = u32>) {
        self.held_bytes += chunk.bytes;
        self.held.insert(chunk.place(), chunk.clone());
        let fresh = self.fresh.entry(chunk.service.clone()).or_default();
        fresh.extend(queued.map(|index| WorkItem::fresh(chunk, index)));
    }

    /// Drops a chunk and its waiting items.
    pub fn forget(&mut self, place: &ChunkPlace) {
        let Some(chunk) = self.held.remove(place) else {
            return;
        };
        self.held_bytes = self.held_bytes.saturating_sub(chunk.bytes);
        if let Some(fresh) = self.fresh.get_mut(&chunk.service) {
            fresh.retain(|item| !Rc::ptr_eq(&item.chunk, &chunk));
        }
        if let Some(paused) = self.paused.get_mut(&chunk.service) {
            paused.retain(|item| !Rc::ptr_eq(&item.chunk, &chunk));
        }
    }
}
