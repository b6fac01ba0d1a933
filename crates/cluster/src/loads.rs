//! In-flight work per server: exact for this node, last reported for the others.

use std::collections::{HashMap, HashSet};
use std::sync::Arc;
use std::time::Duration;

use dappleyard_model::ServerRecord;
use parking_lot::Mutex;
use tokio::sync::Notify;
use xxhash_rust::xxh3::xxh3_64;

use crate::cold_quota::ColdQuotaUsage;
use crate::demand::DemandTable;
use crate::evacuated_work::ReportedZoneWork;
use crate::server_loads::{HEARTBEAT_LIFE, LoadSummary, ServerLoads, Source};
use crate::waiting::WaitingItems;
use dappleyard_clock::Instant;

/// Multiplicative hash factor that orders the nodes differently for each server.
const NODE_ORDER_MULTIPLIER: u64 = 0x9E37_79B9_7F4A_7C15;
/// Time after which a server without work or reports is dropped.
const IDLE_RETENTION: Duration = Duration::from_secs(15);
/// Weight of a new sample in the moving average of how much later than expected the first event of
/// a response arrives.
const EXCESS_SMOOTHING: f64 = 0.25;

/// Kind of work.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum WorkKind {
    /// A request whose caller is waiting.
    Online,
    /// An item of a batch job.
    Batch,
}

/// In-flight work at all servers.
#[derive(Default)]
pub struct LoadTable {
    /// Batch items waiting for a server.
    pub waiting: WaitingItems,
    pub demand: Arc<DemandTable>,
    /// Work in evacuated zones as reported by a delegate.
    pub zones: ReportedZoneWork,
    /// Quotas for cold servers.
    pub(crate) cold: ColdQuotaUsage,
    pub(crate) servers: Mutex<HashMap<u32, ServerLoads>>,
    /// Servers of suspected zones. Never locked together with `servers`.
    restricted: Mutex<HashSet<u32>>,
    /// Signalled when online work exceeds the slots of a server where this node runs batch items.
    pressure: Notify,
    /// Signalled when this node or another finds a server silent.
    silent: Notify,
    pub(crate) change: Notify,
}

/// Hash of a node name, as used in load tables.
pub fn node_number(name: &str) -> u64 {
    xxh3_64(name.as_bytes())
}

/// Hash of a server identifier, as used in messages.
pub(crate) fn server_number(id: &str) -> u32 {
    xxh3_64(id.as_bytes()) as u32
}

impl LoadTable {
    /// Counts work in flight until the returned guard is dropped.
    pub fn begin(
        self: &Arc<Self>,
        server: &ServerRecord,
        kind: WorkKind,
        unread_tokens: u32,
    ) -> InFlight {
        let number = server_number(&server.id);
        let mut servers = self.servers.lock();
        let loads = servers.entry(number).or_default();
        loads.slots = server.slots;
        match kind {
            WorkKind::Online => loads.online += 1,
            WorkKind::Batch => loads.batch += 1,
        }
        loads.unsent = true;
        self.change.notify_one();
        loads.unread_tokens += unread_tokens;
        if kind == WorkKind::Online {
            self.signal_pressure(loads);
        }
        InFlight {
            table: self.clone(),
            server: number,
            kind,
            unread_tokens,
        }
    }

    /// Waits until online work exceeds the slots of a server where this node runs batch items.
    pub async fn wait_for_pressure(&self) {
        self.pressure.notified().await;
    }

    /// Waits until the loads of this node change.
    pub async fn changed(&self) {
        self.change.notified().await;
    }

    /// Number of batch items this node must pause at a server so that no online request waits
    /// behind batch work. `keep` is the number of requests and items that may stay. All nodes
    /// compute from the same loads and in the same order: a node pauses what the nodes before it do
    /// not cover.
    pub fn pause_share(&self, server: &str, keep: u32, own: u64) -> u32 {
        let now = Instant::now();
        let number = server_number(server);
        let mut servers = self.servers.lock();
        let Some(loads) = servers.get_mut(&number) else {
            return 0;
        };
        let summary = loads.summary(now);
        let over = (summary.online + summary.batch).saturating_sub(keep);
        if loads.has_sums() {
            return loads.pause_share_of_sum(over, summary.batch);
        }
        let others = loads
            .peers
            .iter()
            .filter(|(_, (at, _))| now.duration_since(*at) < HEARTBEAT_LIFE)
            .filter_map(|(source, (_, entry))| match source {
                Source::Node(node) => Some((*node, entry.batch)),
                Source::Zone(_) | Source::Fleet => None,
            });
        let mut nodes: Vec<(u64, u32)> = others.chain([(own, loads.batch)]).collect();
        nodes.sort_by_key(|(node, _)| {
            (node ^ u64::from(number)).wrapping_mul(NODE_ORDER_MULTIPLIER)
        });
        let before: u32 = nodes
            .iter()
            .take_while(|(node, _)| *node != own)
            .map(|(_, batch)| batch)
            .sum();
        over.saturating_sub(before).min(loads.batch)
    }

    /// Waits until this node or another finds a server silent.
    pub async fn wait_for_silence(&self) {
        self.silent.notified().await;
    }

    /// Applies the reports of other nodes on a server.
    pub(crate) fn apply_reports(&self, loads: &mut ServerLoads, now: Instant) {
        loads.apply_peer_reports(now);
        if loads
            .peers
            .values()
            .any(|(_, entry)| entry.suspect || entry.doubted)
        {
            self.silent.notify_one();
        }
        if loads.peers.values().any(|(_, entry)| entry.failed > 0) {
            // Not logged here: the nodes where the requests failed log the ejection.
            loads.evaluate(now);
        }
        self.signal_pressure(loads);
    }

    fn signal_pressure(&self, loads: &ServerLoads) {
        if loads.batch == 0 {
            return;
        }
        let summary = loads.summary(Instant::now());
        if summary.online + summary.batch > loads.slots {
            self.pressure.notify_one();
        }
    }

    /// Total online requests and batch items at some servers.
    pub(crate) fn in_flight_at(&self, numbers: &[u32]) -> (u32, u32) {
        let now = Instant::now();
        let servers = self.servers.lock();
        let loads = numbers.iter().filter_map(|number| servers.get(number));
        loads
            .map(|loads| loads.summary(now))
            .fold((0, 0), |(online, batch), load| {
                (online + load.online, batch + load.batch)
            })
    }

    pub fn summary(&self, server: &str) -> LoadSummary {
        let number = server_number(server);
        let restricted = self.restricted.lock().contains(&number);
        let servers = self.servers.lock();
        let mut summary = servers
            .get(&number)
            .map_or_else(LoadSummary::default, |loads| loads.summary(Instant::now()));
        summary.suspect |= restricted;
        summary
    }

    /// Replaces the set of restricted servers: those of suspected zones, which get few requests.
    pub fn restrict(&self, servers: Vec<&str>) {
        let numbers: HashSet<u32> = servers.into_iter().map(server_number).collect();
        let (released, added): (Vec<u32>, Vec<u32>) = {
            let mut held = self.restricted.lock();
            let released = held.difference(&numbers).copied().collect();
            let added = numbers.difference(&held).copied().collect();
            *held = numbers;
            (released, added)
        };
        let now = Instant::now();
        let mut servers = self.servers.lock();
        for number in added {
            // The server may become cold and respond again before it is found silent by itself.
            let loads = servers.entry(number).or_default();
            loads.warmup.note_silent(now);
        }
        // Existing connections are not trusted until the server responds.
        for number in released {
            let loads = servers.entry(number).or_default();
            loads.overdue_until.get_or_insert(now);
        }
    }

    /// Whether any server is currently considered silent.
    pub fn is_any_suspect(&self) -> bool {
        let now = Instant::now();
        let servers = self.servers.lock();
        servers.values().any(|loads| loads.is_silent(now))
    }

    /// Whether this node or another currently considers the server silent.
    pub fn is_silent(&self, server: &str) -> bool {
        let servers = self.servers.lock();
        let loads = servers.get(&server_number(server));
        loads.is_some_and(|loads| loads.is_silent(Instant::now()))
    }

    /// Whether idle connections to the server must not be trusted: it was found silent, alone or
    /// with its zone, and this node has received nothing from it since.
    pub fn is_unconfirmed(&self, server: &str) -> bool {
        let number = server_number(server);
        let restricted = self.restricted.lock().contains(&number);
        let servers = self.servers.lock();
        let loads = servers.get(&number);
        restricted || loads.is_some_and(|loads| loads.is_unconfirmed(Instant::now()))
    }

    /// Marks the server as silent for `time`.
    pub fn mark_suspect(&self, server: &str, time: Duration) {
        let mut servers = self.servers.lock();
        let loads = servers.entry(server_number(server)).or_default();
        let now = Instant::now();
        loads.suspect_until = Some(now + time);
        loads.warmup.note_silent(now);
        loads.unsent = true;
        self.change.notify_one();
        self.silent.notify_one();
    }

    /// Marks the server as overdue: it has sent nothing for longer than its responses take. It is
    /// avoided for `time` or until it sends something.
    pub fn mark_overdue(&self, server: &str, time: Duration) {
        let mut servers = self.servers.lock();
        let loads = servers.entry(server_number(server)).or_default();
        loads.overdue_until = Some(Instant::now() + time);
        loads.unsent = true;
        self.change.notify_one();
        self.silent.notify_one();
    }

    /// Records the outcome of a request. Returns whether the server is newly ejected.
    pub fn note_outcome(&self, server: &str, served: bool) -> bool {
        let now = Instant::now();
        let mut servers = self.servers.lock();
        let loads = servers.entry(server_number(server)).or_default();
        loads.outcomes.note(served, now);
        if !served {
            loads.unsent = true;
            self.change.notify_one();
        }
        loads.evaluate(now)
    }

    /// Records that bytes were received from the server.
    pub fn note_received(&self, server: &str) {
        let mut servers = self.servers.lock();
        let loads = servers.entry(server_number(server)).or_default();
        let now = Instant::now();
        loads.heard = Some(now);
        loads.warmup.note_heard(now);
        loads.suspect_until = None;
        loads.overdue_until = None;
    }

    /// Time since any node received bytes from the server.
    pub fn time_since_received(&self, server: &str) -> Option<Duration> {
        let now = Instant::now();
        let servers = self.servers.lock();
        let loads = servers.get(&server_number(server))?;
        let own = loads.heard.map(|heard| now.duration_since(heard));
        let others = loads.peers.values().filter(|(_, entry)| entry.heard_ms > 0);
        others
            .map(|(at, entry)| {
                now.duration_since(*at) + Duration::from_millis(u64::from(entry.heard_ms))
            })
            .chain(own)
            .min()
    }

    /// Adds a sample of how much later than expected the first event of a response arrived.
    pub fn note_excess(&self, server: &str, excess_ms: f64) {
        let mut servers = self.servers.lock();
        let loads = servers.entry(server_number(server)).or_default();
        let now = Instant::now();
        let held = loads.summary(now).excess_ms;
        loads.excess_ms = held + EXCESS_SMOOTHING * (excess_ms.max(0.0) - held);
        loads.excess_at = Some(now);
    }

    /// Drops servers without work of this node, recent reports, recent bytes and a warm-up state
    /// that must be kept.
    pub fn sweep(&self) {
        let now = Instant::now();
        self.servers.lock().retain(|_, loads| {
            loads
                .peers
                .retain(|_, (at, _)| now.duration_since(*at) < HEARTBEAT_LIFE);
            let quiet = loads
                .heard
                .is_none_or(|heard| now.duration_since(heard) > IDLE_RETENTION);
            let kept = loads.online + loads.batch > 0 || !loads.peers.is_empty() || !quiet;
            kept || loads.is_tracked(now)
        });
    }
}

/// Guard of work in flight at a server; dropping it ends the count.
pub struct InFlight {
    table: Arc<LoadTable>,
    server: u32,
    kind: WorkKind,
    /// Prompt tokens that the server has not processed yet.
    unread_tokens: u32,
}

impl InFlight {
    /// Records that the server has processed the prompt.
    pub fn prompt_read(&mut self) {
        let tokens = std::mem::take(&mut self.unread_tokens);
        if tokens == 0 {
            return;
        }
        if let Some(loads) = self.table.servers.lock().get_mut(&self.server) {
            loads.unread_tokens = loads.unread_tokens.saturating_sub(tokens);
        }
    }
}

impl Drop for InFlight {
    fn drop(&mut self) {
        self.prompt_read();
        if let Some(loads) = self.table.servers.lock().get_mut(&self.server) {
            match self.kind {
                WorkKind::Online => loads.online = loads.online.saturating_sub(1),
                WorkKind::Batch => {
                    loads.batch = loads.batch.saturating_sub(1);
                    self.table.waiting.note_ended();
                }
            }
            loads.unsent = true;
            self.table.change.notify_one();
        }
    }
}
