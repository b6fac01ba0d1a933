//! What the runner's tasks share: active jobs, held chunks, waiting and running items.

use std::collections::{BTreeMap, VecDeque};
use std::rc::Rc;

use dappleyard_decide::fairness::TenantShares;
use dappleyard_decide::time::Millis;
use dappleyard_decide::width::StepModel;
use dappleyard_wire::ids::{RequestId, ServerId};
use dappleyard_wire::messages::ActiveJobRow;

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

/// A batch stream on a server.
pub struct RunningItem {
    /// Request id.
    pub request: RequestId,
    /// Attempt, which tells two streams of the same item apart.
    pub attempt: u32,
    /// Its chunk.
    pub chunk: Rc<HeldChunk>,
    /// Engine stream, once it is known.
    pub stream: Option<String>,
    /// It was told to stop.
    pub stopping: bool,
    /// What it needs of the KV memory.
    pub memory: SequenceMemory,
    /// When it was sent.
    pub started_at: Millis,
    /// When its prompt is estimated to be computed.
    pub prefilled_at: Millis,
}

/// What a sequence needs of the KV memory.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct SequenceMemory {
    /// Hash of the shared head of its prompt.
    pub prefix_hash: u64,
    /// Tokens of the shared head, which sequences with the same hash hold together.
    pub prefix_tokens: u32,
    /// Tokens of its own when it was sent.
    pub own_tokens: u32,
    /// Tokens that it may still make.
    pub left: u32,
}

/// Tokens that a sequence holds beyond its own, since memory is given out in blocks.
const BLOCK_WASTE_TOKENS: u32 = 16;

impl SequenceMemory {
    /// Memory of an item that is about to be sent.
    pub fn of(item: &WorkItem) -> SequenceMemory {
        let input = item.item();
        let made = u32::try_from(item.pieces.len()).unwrap_or(u32::MAX);
        SequenceMemory {
            prefix_hash: input.prefix_hash,
            prefix_tokens: input.prefix_tokens,
            own_tokens: input.prompt_tokens.saturating_sub(input.prefix_tokens)
                + made
                + BLOCK_WASTE_TOKENS,
            left: input.max_tokens.saturating_sub(made),
        }
    }
}

/// What is known of a server besides the shared table.
#[derive(Default)]
pub struct ServerState {
    /// Streams, oldest first.
    pub running: Vec<RunningItem>,
    /// Learnt cost of a step.
    pub steps: StepModel,
    /// Number of the last report taken into `steps`.
    pub report_seen: u64,
    /// Start nothing before this time, since the engine refused or failed.
    pub avoid_until: Millis,
    /// When an item was last started that needed a prefill.
    pub prefilled_at: Millis,
    /// Prefill tokens sent since the last report was taken in, and when that was.
    pub prefill_sent: u32,
    /// When the last report was taken in.
    pub report_at: Millis,
    /// Shared heads of prompts that the server computes or caches.
    pub prefixes: BTreeMap<u64, PrefixState>,
    /// When the server will have computed all prompts sent to it, as estimated.
    pub prefill_free_at: Millis,
}

/// What is known of a shared head of prompts on a server.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum PrefixState {
    /// The first item with it, its leader, was sent and has not made a token yet.
    Computing {
        /// When the leader was sent.
        since: Millis,
    },
    /// It is in the cache.
    Cached {
        /// When it was last used.
        used_at: Millis,
    },
}

/// Time after which a leader is taken to be lost, milliseconds.
const LEADER_LOST_MS: u64 = 2_000;
/// Time without use after which a shared head is taken to have left the cache, milliseconds.
const PREFIX_KEPT_MS: u64 = 10_000;
/// Prompt tokens that a server computes in one step.
const PREFILL_TOKENS_PER_STEP: f64 = 512.0;

impl ServerState {
    /// Tokens of KV memory that the running streams are estimated to hold: each makes a token a step.
    pub fn batch_tokens(&self, now: Millis) -> u32 {
        let step_ms = self.steps.step_ms(self.active(), 0);
        let mut prefixes = BTreeMap::new();
        let mut own = 0_u32;
        for running in self.running.iter().filter(|running| !running.stopping) {
            let memory = &running.memory;
            prefixes.insert(memory.prefix_hash, memory.prefix_tokens);
            let steps = now.since(running.started_at) as f64 / step_ms;
            own = own.saturating_add(memory.own_tokens + (steps as u32).min(memory.left));
        }
        own.saturating_add(prefixes.values().sum())
    }

    /// Whether an item whose prompt begins with a shared head may be sent: the first one that does,
    /// or one that comes after the first has computed it and finds it in the cache.
    fn admits_prefix(&mut self, prefix: u64, now: Millis) -> bool {
        self.prefixes.retain(|_, state| match state {
            PrefixState::Computing { since } => now.since(*since) < LEADER_LOST_MS,
            PrefixState::Cached { used_at } => now.since(*used_at) < PREFIX_KEPT_MS,
        });
        !matches!(
            self.prefixes.get(&prefix),
            Some(PrefixState::Computing { .. })
        )
    }

    /// Notes that an item is sent whose prompt must be computed, and says when that is estimated to be
    /// done and whether the item is the leader of its shared head.
    pub fn send_cold(&mut self, memory: &SequenceMemory, now: Millis) -> (Millis, bool) {
        let leads = memory.prefix_tokens > 0 && !self.prefixes.contains_key(&memory.prefix_hash);
        let state = match leads {
            true => PrefixState::Computing { since: now },
            false => PrefixState::Cached { used_at: now },
        };
        self.prefixes.insert(memory.prefix_hash, state);
        let shared = if leads { memory.prefix_tokens } else { 0 };
        let tokens = memory.own_tokens + shared;
        self.prefilled_at = now;
        self.prefill_sent += tokens;
        let step_ms = self.steps.step_ms(self.active(), tokens.min(512));
        let cost_ms = f64::from(tokens) / PREFILL_TOKENS_PER_STEP * step_ms;
        let begin = self.prefill_free_at.max(now);
        self.prefill_free_at = begin.plus(cost_ms.ceil() as u64);
        (self.prefill_free_at, leads)
    }

    /// The leader of a shared head has made a token.
    pub fn prefix_computed(&mut self, prefix: u64, now: Millis) {
        let cached = PrefixState::Cached { used_at: now };
        self.prefixes.insert(prefix, cached);
    }

    /// Streams that were not told to stop.
    pub fn active(&self) -> u32 {
        let active = self.running.iter().filter(|running| !running.stopping);
        u32::try_from(active.count()).unwrap_or(u32::MAX)
    }
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
        self.take_paused(service, |item| item.is_warm_on(server, now))
    }

    /// Takes an item that needs a prefill: one that has waited long for its server, or a fresh one,
    /// or else one that was paused elsewhere.
    pub fn take_cold(&mut self, service: &str, server: &ServerId, now: Millis) -> Option<WorkItem> {
        self.take_paused(service, |item| item.is_stale(now))
            .or_else(|| self.take_fresh(service, server, now))
            .or_else(|| self.take_paused(service, |_| true))
    }

    fn take_paused(
        &mut self,
        service: &str,
        wanted: impl Fn(&WorkItem) -> bool,
    ) -> Option<WorkItem> {
        let paused = self.paused.get_mut(service)?;
        paused.retain(|item| !item.chunk.is_stopped());
        let index = paused.iter().position(wanted)?;
        Some(paused.remove(index))
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
