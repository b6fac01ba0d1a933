//! Relay nodes over an emulated store, each with a link to it that can be cut.

#![allow(dead_code)]

use std::cell::{Cell, RefCell};
use std::net::{SocketAddr, TcpListener};
use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;

use actix_web::{App, HttpResponse, HttpServer, web};
use async_trait::async_trait;
use bytes::Bytes;
use dappleyard_cluster::{Heartbeat, NODES_TABLE, NodeRow, PeerTable, StoreHealth, TableSink};
use dappleyard_emulator::EmulatedRows;
use dappleyard_model::{Committed, EventLog, Feed, Row, RowStore, Rows, StoreError, Transaction};
use dappleyard_relay::{
    Access, Histories, Path, RelayService, RelayedRows, Replica, follow_directly, mirror,
};
use prost::Message;

/// Link from one node to the store.
#[derive(Clone)]
struct Link {
    rows: EmulatedRows,
    cut: Rc<Cell<bool>>,
    /// Tables that were read or followed.
    read_tables: Rc<RefCell<Vec<&'static str>>>,
}

impl Link {
    fn check(&self) -> std::result::Result<(), StoreError> {
        match self.cut.get() {
            true => Err(StoreError::Unavailable {
                reason: "cut".to_owned(),
            }),
            false => Ok(()),
        }
    }
}

#[async_trait(?Send)]
impl RowStore for Link {
    async fn transact(
        &self,
        transaction: &Transaction,
    ) -> std::result::Result<Committed, StoreError> {
        self.check()?;
        self.rows.transact(transaction).await
    }

    async fn read(
        &self,
        table: &'static str,
        part: &str,
        from: &str,
        to: &str,
        limit: usize,
    ) -> std::result::Result<Rows, StoreError> {
        self.read_tables.borrow_mut().push(table);
        self.check()?;
        self.rows.read(table, part, from, to, limit).await
    }

    async fn parts(&self, table: &'static str) -> std::result::Result<Vec<String>, StoreError> {
        self.check()?;
        self.rows.parts(table).await
    }

    async fn feed(
        &self,
        table: &'static str,
        after: u64,
        wait_ms: u64,
    ) -> std::result::Result<Feed, StoreError> {
        self.read_tables.borrow_mut().push(table);
        self.check()?;
        self.rows.feed(table, after, wait_ms).await
    }
}

/// Relay node with one followed table.
pub struct TestNode<S> {
    pub name: &'static str,
    pub address: SocketAddr,
    pub cut: Rc<Cell<bool>>,
    /// Tables that the node read or followed at the store.
    pub read_tables: Rc<RefCell<Vec<&'static str>>>,
    pub peers: Arc<PeerTable>,
    pub access: Arc<Access>,
    pub store: Rc<RelayedRows>,
    pub service: Rc<RelayService>,
    pub sink: Rc<S>,
}

impl<S: TableSink + 'static> TestNode<S> {
    /// Starts a node that follows its table directly from the start.
    pub fn start(name: &'static str, rows: &EmulatedRows, sink: S) -> Self {
        Self::start_as(name, rows, sink, |access| access)
    }

    /// Starts a node that discovers its peers before it follows any table.
    pub fn start_undecided(name: &'static str, rows: &EmulatedRows, sink: S) -> Self {
        let node = Self::start_as(name, rows, sink, Access::undecided);
        node.discover_nodes();
        node
    }

    /// The same with the link to the store cut.
    pub fn start_cut_off(name: &'static str, rows: &EmulatedRows, sink: S) -> Self {
        let node = Self::start_as(name, rows, sink, Access::undecided);
        node.cut.set(true);
        node.discover_nodes();
        node
    }

    fn discover_nodes(&self) {
        let (access, peers, store) = (self.access.clone(), self.peers.clone(), self.store.clone());
        tokio::task::spawn_local(async move {
            access.discover_nodes(store.as_ref(), peers.as_ref()).await;
        });
    }

    fn start_as(
        name: &'static str,
        rows: &EmulatedRows,
        sink: S,
        change: impl FnOnce(Access) -> Access,
    ) -> Self {
        let log = Arc::new(EventLog::silent());
        let peers = Arc::new(PeerTable::new(name, "north", log.clone()));
        let health = Arc::new(StoreHealth::default());
        let access = Access::new(name, "north", health, peers.clone(), log.clone());
        let access = Arc::new(change(access));
        let read_tables = Rc::new(RefCell::new(Vec::new()));
        let cut = Rc::new(Cell::new(false));
        let link: Rc<dyn RowStore> = Rc::new(Link {
            rows: rows.clone(),
            cut: cut.clone(),
            read_tables: read_tables.clone(),
        });
        let table = sink.table();
        let histories = Histories::new(&[table]);
        let sink = Rc::new(sink);
        let replica = Replica::new(sink.clone(), &histories, access.clone()).expect("a replica");
        let replica = Rc::new(replica);
        let store = Rc::new(RelayedRows::new(link.clone(), access.clone()));
        let tables = vec![table, NODES_TABLE];
        let service = RelayService::new(link.clone(), access.clone(), histories, tables);
        let service = Rc::new(service);
        let (followed, watched) = (store.clone(), access.clone());
        let (quiet, direct) = (log.clone(), replica.clone());
        tokio::task::spawn_local(async move {
            follow_directly(followed, direct, &watched, &quiet).await;
        });
        let watched = access.clone();
        tokio::task::spawn_local(async move { mirror(&[replica], &watched, &log).await });
        let watched = access.clone();
        tokio::task::spawn_local(async move { watched.run(link.as_ref()).await });
        Self {
            name,
            address: serve(service.clone()),
            cut,
            read_tables,
            peers,
            access,
            store,
            service,
            sink,
        }
    }

    /// Feeds this node the row and the heartbeats of another node.
    pub fn add_peer(&self, other: &TestNode<S>) {
        let row = NodeRow {
            life: 1,
            front: other.address.to_string(),
            zone: "north".to_owned(),
            peer: other.address.to_string(),
            ..NodeRow::default()
        };
        self.peers.change(Row {
            part: String::new(),
            key: other.name.to_owned(),
            value: Some(Bytes::from(row.encode_to_vec())),
            revision: 1,
        });
        let (peers, name) = (self.peers.clone(), other.name.to_owned());
        let access = other.access.clone();
        tokio::task::spawn_local(async move {
            for sequence in 1.. {
                let age = access.health().age();
                peers.apply_heartbeat(&Heartbeat {
                    name: name.clone(),
                    life: 1,
                    sequence,
                    ready: true,
                    direct_age_ms: age.map_or(0, |age| age.as_millis() as u32 + 1),
                    ..Heartbeat::default()
                });
                tokio::time::sleep(Duration::from_millis(100)).await;
            }
        });
    }
}

/// Serves the calls of other nodes on an ephemeral port.
fn serve(service: Rc<RelayService>) -> SocketAddr {
    let (calls, mut received) =
        tokio::sync::mpsc::unbounded_channel::<(Bytes, tokio::sync::oneshot::Sender<Bytes>)>();
    tokio::task::spawn_local(async move {
        while let Some((call, answer)) = received.recv().await {
            let service = service.clone();
            tokio::task::spawn_local(async move {
                // The caller may have disconnected.
                let _ = answer.send(service.answer(call).await);
            });
        }
    });
    let listener = TcpListener::bind("127.0.0.1:0").expect("a port");
    let address = listener.local_addr().expect("an address");
    let factory = move || {
        let calls = calls.clone();
        App::new().default_service(web::to(move |body: Bytes| {
            let calls = calls.clone();
            async move {
                let (answer, answered) = tokio::sync::oneshot::channel();
                calls.send((body, answer)).expect("a service");
                HttpResponse::Ok().body(answered.await.unwrap_or_default())
            }
        }))
    };
    let server = HttpServer::new(factory).workers(1).disable_signals();
    let server = server.listen(listener).expect("a listener").run();
    tokio::task::spawn_local(server);
    address
}

/// Polls a condition for 10 s, then panics.
pub async fn wait_until(what: &str, holds: impl Fn() -> bool) {
    for _ in 0..2_000 {
        if holds() {
            return;
        }
        tokio::time::sleep(Duration::from_millis(5)).await;
    }
    panic!("timed out waiting until {what}");
}

/// Cuts a node off the store and waits until it follows tables through a peer.
pub async fn cut_off<S>(node: &TestNode<S>) {
    node.cut.set(true);
    wait_until("the store counts as lost", || {
        node.access.health().is_unavailable()
    })
    .await;
    wait_until("tables are followed through a peer", || {
        node.access.path() == Path::ByPeer
    })
    .await;
}
