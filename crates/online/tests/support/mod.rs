//! Test node with owned servers, scripted engines and an in-memory platform, on virtual time.
#![allow(dead_code, unused_imports)]

pub mod engine;

use std::rc::Rc;
use std::sync::Arc;

use dappleyard_decide::configuration::ConfigurationState;
use dappleyard_online::{LocalStream, OnlineContext, OnlineShared, OnlineWorker};
use dappleyard_settings::OnlineSettings;
use dappleyard_store::MemoryPlatform;
use dappleyard_tables::directory::ServerEntry;
use dappleyard_tables::{Identity, Lifecycle, NodeTables};
use dappleyard_transport::{DirectPolicy, LinkPool, LinkSettings};
use dappleyard_wire::PROTOCOL_VERSION;
use dappleyard_wire::ids::{NodeId, RegionId, ServerId, ServiceId, ZoneId};
use dappleyard_wire::keys;
use dappleyard_wire::messages::{
    Accepted, ConfigurationEntry, DrainRow, Finish, GenerateRequest, Hello, OnceRow, Refused,
    Repeat, Stage, Submit, TenantRow, frame,
};
use prost::Message;

pub use engine::{FakeEngine, Script, Step, piece};

pub const SERVICE: &str = "service-a";
pub const VERSION: &str = "v1";
pub const TOKENS: u32 = 6;

/// Runs a test on virtual time.
pub fn run<F: Future>(test: F) -> F::Output {
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_all()
        .start_paused(true)
        .build()
        .expect("a runtime");
    tokio::task::LocalSet::new().block_on(&runtime, test)
}

pub struct Node {
    pub tables: Arc<NodeTables>,
    pub engine: Rc<FakeEngine>,
    pub platform: MemoryPlatform,
    pub shared: Arc<OnlineShared>,
    pub worker: Rc<OnlineWorker>,
}

impl Node {
    /// A ready node that owns `servers` servers named `s0`, `s1` and so on.
    pub fn new(servers: usize) -> Node {
        Node::with(
            servers,
            OnlineSettings::default(),
            MemoryPlatform::default(),
        )
    }

    pub fn with(servers: usize, settings: OnlineSettings, platform: MemoryPlatform) -> Node {
        Node::named("n0", servers, settings, platform, Rc::default())
    }

    /// A node with the given name and engines, which other nodes may share.
    pub fn named(
        name: &str,
        servers: usize,
        settings: OnlineSettings,
        platform: MemoryPlatform,
        engine: Rc<FakeEngine>,
    ) -> Node {
        let tables = NodeTables::new(Identity {
            node: NodeId::from(name),
            zone: ZoneId::from("zone-a"),
            region: RegionId::from("region-a"),
            incarnation: 7 << 16,
        });
        tables.lifecycle.send_replace(Lifecycle::Ready);
        let entries: Vec<ServerEntry> = (0..servers).map(|at| server_entry(at, name)).collect();
        tables.directory.replace(entries.clone());
        tables.servers.set_owned(entries);
        let shared = OnlineShared::new(&settings, &tables);
        let hello = Hello {
            protocol: PROTOCOL_VERSION,
            id: name.to_owned(),
            ..Hello::default()
        };
        let links = LinkPool::new(hello, LinkSettings::default(), Arc::new(DirectPolicy));
        let worker = OnlineWorker::new(OnlineContext {
            tables: tables.clone(),
            settings,
            platform: platform.platform(),
            engine: engine.clone(),
            links: Rc::new(links),
            shared: shared.clone(),
        });
        let node = Node {
            tables,
            engine,
            platform,
            shared,
            worker,
        };
        (0..servers).for_each(|index| node.report(&format!("s{index}"), VERSION));
        node
    }

    /// Stores a current report of a server.
    pub fn report(&self, server: &str, version: &str) {
        let now = self.tables.clock.now();
        self.tables.servers.with(&ServerId::from(server), |state| {
            state.report = Some((engine::report(server, version), now));
            state.accepting_known_at = now;
        });
    }

    pub fn submit(&self, submit: Submit) -> Client {
        let received = submit.resumed_pieces.clone();
        Client {
            stream: self.worker.handle_local(submit),
            answer: Answer {
                pieces: received,
                ..Answer::default()
            },
        }
    }

    /// Record stored for an idempotency key.
    pub fn record(&self, key: &str) -> Option<OnceRow> {
        let row = self.platform.row(&keys::once("tenant-a", key))?;
        Some(OnceRow::decode(row.value).expect("a record"))
    }

    pub fn online_in_flight(&self) -> usize {
        self.tables
            .servers
            .read(|servers| servers.values().map(|state| state.online.len()).sum())
    }

    /// Applies configuration rows.
    pub fn configure(&self, rows: Vec<(String, Vec<u8>)>) {
        let revision = self.tables.configuration.revision() + 1;
        let entries = rows.into_iter().map(|(key, value)| {
            let entry = ConfigurationEntry {
                revision,
                key: key.clone(),
                value,
                ..Default::default()
            };
            (key, entry)
        });
        self.tables.configuration.replace(ConfigurationState {
            revision,
            entries: entries.collect(),
            ..Default::default()
        });
    }
}

pub fn tenant_row(row: TenantRow) -> (String, Vec<u8>) {
    (keys::tenant(&row.name), row.encode_to_vec())
}

pub fn drain_row(kind: &str, name: &str) -> (String, Vec<u8>) {
    let row = DrainRow {
        kind: kind.to_owned(),
        name: name.to_owned(),
        ..Default::default()
    };
    (keys::drain(kind, name), row.encode_to_vec())
}

fn server_entry(index: usize, owner: &str) -> ServerEntry {
    ServerEntry {
        server: ServerId::from(format!("s{index}")),
        service: ServiceId::from(SERVICE),
        region: RegionId::from("region-a"),
        zone: ZoneId::from("zone-a"),
        hall: "hall-a".to_owned(),
        base_url: format!("http://s{index}"),
        leaving: false,
        owner: Some(NodeId::from(owner)),
    }
}

/// A request for [`TOKENS`] tokens with a deadline of ten seconds.
pub fn request(id: &str) -> Submit {
    Submit {
        request: Some(GenerateRequest {
            request_id: id.to_owned(),
            tenant: "tenant-a".to_owned(),
            service: SERVICE.to_owned(),
            session: "session-a".to_owned(),
            prompt: "a prompt".to_owned(),
            prompt_tokens: 100,
            max_tokens: TOKENS,
            ..Default::default()
        }),
        attempt: 1,
        stage: Stage::Ingress as i32,
        budget_ms: 10_000,
        ..Default::default()
    }
}

/// The same request, at most once under `key`.
pub fn at_most_once_request(id: &str, key: &str) -> Submit {
    let mut submit = request(id);
    let inner = submit.request.as_mut().expect("a request");
    inner.set_repeat(Repeat::Never);
    inner.idempotency_key = key.to_owned();
    submit
}

/// Submitter of a request.
pub struct Client {
    pub stream: LocalStream,
    answer: Answer,
}

/// Frames received so far.
#[derive(Debug, Clone, Default)]
pub struct Answer {
    pub accepted: Vec<Accepted>,
    pub pieces: Vec<String>,
    pub finish: Option<Finish>,
    pub refused: Option<Refused>,
}

impl Client {
    pub fn send(&self, body: frame::Body) {
        let _ = self.stream.to_worker.send(body);
    }

    pub async fn next(&mut self) -> Option<frame::Body> {
        self.stream.from_worker.recv().await
    }

    /// Reads until at least `tokens` tokens were received.
    pub async fn read_tokens(&mut self, tokens: usize) -> Answer {
        while self.answer.pieces.len() < tokens {
            let Some(body) = self.next().await else { break };
            self.answer.take(body);
        }
        self.answer.clone()
    }

    /// Reads to the final frame and returns everything received, including frames read earlier.
    pub async fn full_answer(&mut self) -> Answer {
        while self.answer.finish.is_none() && self.answer.refused.is_none() {
            let Some(body) = self.next().await else { break };
            self.answer.take(body);
        }
        self.answer.clone()
    }
}

impl Answer {
    fn take(&mut self, body: frame::Body) {
        match body {
            frame::Body::Accepted(accepted) => self.accepted.push(accepted),
            frame::Body::Chunk(chunk) => {
                assert_eq!(
                    chunk.offset as usize,
                    self.pieces.len(),
                    "offsets must be contiguous"
                );
                self.pieces.extend(chunk.pieces);
            }
            frame::Body::Finish(finish) => self.finish = Some(finish),
            frame::Body::Refused(refused) => self.refused = Some(refused),
            other => panic!("unexpected frame {other:?}"),
        }
    }

    pub fn text(&self) -> String {
        self.pieces.concat()
    }
}

/// Complete answer to a request for [`TOKENS`] tokens.
pub fn full_text() -> String {
    (0..TOKENS).map(piece).collect()
}
