//! Work under way at each server: this node's exactly, the other nodes' as of their last
//! heartbeat.

use std::collections::{HashMap, HashSet};
use std::sync::Arc;
use std::time::Duration;

use dappleyard_model::ServerRecord;
use parking_lot::Mutex;
use tokio::sync::Notify;
use xxhash_rust::xxh3::xxh3_64;

use crate::cold_parts::ColdParts;
use crate::demand::DemandTable;
use crate::evacuated_work::ToldZones;
use crate::server_loads::{HEARTBEAT_LIFE, LoadSummary, ServerLoads, Source};
use crate::waiting::WaitingItems;
use dappleyard_clock::Instant;

/// Mixes the order in which nodes pause items, another one for each server.
const ORDER_FACTOR: u64 = 0x9E37_79B9_7F4A_7C15;
/// Time after which a server without news is forgotten.
const QUIET_LIFE: Duration = Duration::from_secs(15);
/// Share of a new time to first event in the running mean.
const MEAN_SHARE: f64 = 0.25;

/// Which work is under way.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum WorkKind {
    /// A caller waits.
    Online,
    /// An item of a job.
    Batch,
}

/// Work under way at all servers.
#[derive(Default)]
pub struct LoadTable {
    /// Items that wait for a server.
    pub waiting: WaitingItems,
    /// Online demand of all nodes.
    pub demand: Arc<DemandTable>,
    /// Work in evacuated zones, as a delegate told it.
    pub zones: ToldZones,
    /// What this node sent to cold servers.
    pub(crate) cold: ColdParts,
    pub(crate) servers: Mutex<HashMap<u32, ServerLoads>>,
    /// Servers of zones that are doubted. Never locked together with `servers`.
    held_back: Mutex<HashSet<u32>>,
    pressure: Notify,
    /// A server was found silent, here or at another node.
    silent: Notify,
    pub(crate) change: Notify,
}

/// Number that stands for a node in load tables.
pub fn node_number(name: &str) -> u64 {
    xxh3_64(name.as_bytes())
}

/// Number that stands for a server in messages.
pub(crate) fn server_number(id: &str) -> u32 {
    xxh3_64(id.as_bytes()) as u32
}

impl LoadTable {
    /// Notes the beginning of work; it ends when the answer is dropped.
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
        loads.untold = true;
        self.change.notify_one();
        loads.unread_tokens += unread_tokens;
        if kind == WorkKind::Online {
            self.tell_pressure(loads);
        }
        InFlight {
            table: self.clone(),
            server: number,
            kind,
            unread_tokens,
        }
    }

    /// Waits until online work presses on a server where this node runs batch items.
    pub async fn pressed(&self) {
        self.pressure.notified().await;
    }

    /// Waits until this node's work at any server has changed.
    pub async fn changed(&self) {
        self.change.notified().await;
    }

    /// Items that this node pauses at a server so that no online request waits behind batch
    /// work. `keep` is the work, online and batch, that may stay there: the slots of the server, or fewer where
    /// items leave for requests that wait. All nodes see the same loads and come to shares that add up.
    pub fn pause_share(&self, server: &str, keep: u32, own: u64) -> u32 {
        let now = Instant::now();
        let number = server_number(server);
        let mut servers = self.servers.lock();
        let Some(loads) = servers.get_mut(&number) else {
            return 0;
        };
        let summary = loads.summary(now);
        let over = (summary.online + summary.batch).saturating_sub(keep);
        if loads.is_summed() {
            return loads.share_of_sum(over, summary.batch);
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
        nodes.sort_by_key(|(node, _)| (node ^ u64::from(number)).wrapping_mul(ORDER_FACTOR));
        let before: u32 = nodes
            .iter()
            .take_while(|(node, _)| *node != own)
            .map(|(_, batch)| batch)
            .sum();
        over.saturating_sub(before).min(loads.batch)
    }

    /// Waits until a server is found silent, here or at another node.
    pub async fn found_silent(&self) {
        self.silent.notified().await;
    }

    /// Acts on what others told of a server.
    pub(crate) fn note_news(&self, loads: &mut ServerLoads, now: Instant) {
        loads.take_thermal_news(now);
        if loads
            .peers
            .values()
            .any(|(_, entry)| entry.suspect || entry.doubted)
        {
            self.silent.notify_one();
        }
        if loads.peers.values().any(|(_, entry)| entry.failed > 0) {
            // The nodes at which requests failed write the record.
            loads.judge(now);
        }
        self.tell_pressure(loads);
    }

    fn tell_pressure(&self, loads: &ServerLoads) {
        if loads.batch == 0 {
            return;
        }
        let summary = loads.summary(Instant::now());
        if summary.online + summary.batch > loads.slots {
            self.pressure.notify_one();
        }
    }

    /// Online requests and items at some servers together.
    pub(crate) fn work_at(&self, numbers: &[u32]) -> (u32, u32) {
        let now = Instant::now();
        let servers = self.servers.lock();
        let loads = numbers.iter().filter_map(|number| servers.get(number));
        loads
            .map(|loads| loads.summary(now))
            .fold((0, 0), |(online, batch), load| {
                (online + load.online, batch + load.batch)
            })
    }

    /// Load of a server.
    pub fn summary(&self, server: &str) -> LoadSummary {
        let number = server_number(server);
        let held_back = self.held_back.lock().contains(&number);
        let servers = self.servers.lock();
        let mut summary = servers
            .get(&number)
            .map_or_else(LoadSummary::default, |loads| loads.summary(Instant::now()));
        summary.suspect |= held_back;
        summary
    }

    /// Servers that are tried with care from now on, and no others, since hardly any of their zone answers.
    pub fn hold_back(&self, servers: Vec<&str>) {
        let numbers: HashSet<u32> = servers.into_iter().map(server_number).collect();
        let (released, added): (Vec<u32>, Vec<u32>) = {
            let mut held = self.held_back.lock();
            let released = held.difference(&numbers).copied().collect();
            let added = numbers.difference(&held).copied().collect();
            *held = numbers;
            (released, added)
        };
        let now = Instant::now();
        let mut servers = self.servers.lock();
        for number in added {
            // It may turn cold while its zone is silent, and come back before it was found silent itself.
            let loads = servers.entry(number).or_default();
            loads.thermal.note_silent(now);
        }
        // Connections from before stay doubtful until the server is heard.
        for number in released {
            let loads = servers.entry(number).or_default();
            loads.doubt_until.get_or_insert(now);
        }
    }

    /// Whether any server was found silent a moment ago.
    pub fn is_any_suspect(&self) -> bool {
        let now = Instant::now();
        let servers = self.servers.lock();
        servers.values().any(|loads| loads.is_found_silent(now))
    }

    /// Whether the server was found silent a moment ago, here or at another node.
    pub fn is_found_silent(&self, server: &str) -> bool {
        let servers = self.servers.lock();
        let loads = servers.get(&server_number(server));
        loads.is_some_and(|loads| loads.is_found_silent(Instant::now()))
    }

    /// Whether connections to the server that rest are worth nothing: it was found silent, itself or with its
    /// zone, and has not been heard here since.
    pub fn is_doubted(&self, server: &str) -> bool {
        let number = server_number(server);
        let held_back = self.held_back.lock().contains(&number);
        let servers = self.servers.lock();
        let loads = servers.get(&number);
        held_back || loads.is_some_and(|loads| loads.is_doubted(Instant::now()))
    }

    /// The server is to be avoided for a time.
    pub fn suspect(&self, server: &str, time: Duration) {
        let mut servers = self.servers.lock();
        let loads = servers.entry(server_number(server)).or_default();
        let now = Instant::now();
        loads.suspect_until = Some(now + time);
        loads.thermal.note_silent(now);
        loads.untold = true;
        self.change.notify_one();
        self.silent.notify_one();
    }

    /// The server has said nothing for longer than its answers take: it is avoided for a time, or until it is heard.
    pub fn doubt(&self, server: &str, time: Duration) {
        let mut servers = self.servers.lock();
        let loads = servers.entry(server_number(server)).or_default();
        loads.doubt_until = Some(Instant::now() + time);
        loads.untold = true;
        self.change.notify_one();
        self.silent.notify_one();
    }

    /// Notes that a request at the server was served, or failed there; whether the server is newly
    /// kept without work for its failures.
    pub fn note_outcome(&self, server: &str, served: bool) -> bool {
        let now = Instant::now();
        let mut servers = self.servers.lock();
        let loads = servers.entry(server_number(server)).or_default();
        loads.outcomes.note(served, now);
        if !served {
            loads.untold = true;
            self.change.notify_one();
        }
        loads.judge(now)
    }

    /// Bytes came from the server.
    pub fn heard(&self, server: &str) {
        let mut servers = self.servers.lock();
        let loads = servers.entry(server_number(server)).or_default();
        let now = Instant::now();
        loads.heard = Some(now);
        loads.thermal.note_heard(now);
        loads.suspect_until = None;
        loads.doubt_until = None;
    }

    /// Time since any byte came from the server to any node.
    pub fn silence(&self, server: &str) -> Option<Duration> {
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

    /// Notes how much longer than expected the first event took.
    pub fn note_excess(&self, server: &str, excess_ms: f64) {
        let mut servers = self.servers.lock();
        let loads = servers.entry(server_number(server)).or_default();
        let now = Instant::now();
        let held = loads.summary(now).excess_ms;
        loads.excess_ms = held + MEAN_SHARE * (excess_ms.max(0.0) - held);
        loads.excess_at = Some(now);
    }

    /// Forgets servers without work of this node and without news for long.
    pub fn sweep(&self) {
        let now = Instant::now();
        self.servers.lock().retain(|_, loads| {
            loads
                .peers
                .retain(|_, (at, _)| now.duration_since(*at) < HEARTBEAT_LIFE);
            let quiet = loads
                .heard
                .is_none_or(|heard| now.duration_since(heard) > QUIET_LIFE);
            let kept = loads.online + loads.batch > 0 || !loads.peers.is_empty() || !quiet;
            kept || loads.is_followed(now)
        });
    }
}

/// Work under way at one server; dropping it ends the work.
pub struct InFlight {
    table: Arc<LoadTable>,
    server: u32,
    kind: WorkKind,
    unread_tokens: u32,
}

impl InFlight {
    /// The server has read the prompt.
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
            loads.untold = true;
            self.table.change.notify_one();
        }
    }
}
