//! A `dappleyard serve` process over the stand-in platform, and callers that keep their connections.

use std::io::{BufRead, BufReader, ErrorKind, Read, Write};
use std::net::{Ipv4Addr, SocketAddr, TcpStream};
use std::process::{Child, ChildStdout, Command, ExitStatus, Stdio};
use std::sync::mpsc;
use std::thread;
use std::time::{Duration, Instant};

use actix_web::{App, HttpServer, web};
use dappleyard_emulator::EmulatedRows;
use dappleyard_platform_standin::control::TrafficLimits;
use dappleyard_platform_standin::model::{self, ModelServers};
use dappleyard_platform_standin::{control, node, store};
use rustix::process::{Pid, Signal, kill_process};

const SLOTS: u32 = 64;
/// Events of a whole answer of the stand-in's model servers.
const EVENTS: usize = 20;
/// Largest request to the store and to a server.
const MAX_BODY_BYTES: usize = 16 * 1024 * 1024;
const READ_TIMEOUT: Duration = Duration::from_secs(30);
pub const START_TIMEOUT: Duration = Duration::from_secs(20);

/// The stand-in platform, in a thread that ends with the test process.
pub struct Platform {
    pub rows: EmulatedRows,
    pub servers: ModelServers,
    ip: Ipv4Addr,
}

impl Platform {
    /// Starts a store and two model servers on a loopback address of their own.
    pub fn start() -> Self {
        Self::start_with(TrafficLimits::default())
    }

    /// The same, with these limits in the configuration.
    pub fn start_with(limits: TrafficLimits) -> Self {
        let id: [u8; 4] = rand::random();
        let ip = Ipv4Addr::new(127, 16 + id[0] % 200, id[1], 1 + id[2] % 250);
        let addresses = (0..2).map(|at| SocketAddr::from((ip, model::FIRST_SERVER_PORT + at)));
        let servers = ModelServers::new(SLOTS, addresses.collect());
        let rows = EmulatedRows::default();
        control::write_configuration(&rows, 1, &[], limits);
        control::list_servers(&rows, &servers);
        let (started_sender, started) = mpsc::channel();
        let (shared_rows, shared_servers) = (rows.clone(), servers.clone());
        thread::spawn(move || {
            actix_web::rt::System::new().block_on(async move {
                serve(ip, shared_rows, shared_servers, &started_sender).await;
            });
        });
        started.recv().expect("the platform starts");
        Self { rows, servers, ip }
    }

    /// Starts a node of this platform.
    pub fn start_node(&self) -> NodeProcess {
        self.start_node_with("")
    }

    /// Starts a node with these settings beside the usual ones.
    pub fn start_node_with(&self, more_settings: &str) -> NodeProcess {
        let ip = self.ip;
        let file = std::env::temp_dir().join(format!("dappleyard-stop-{ip}.toml"));
        std::fs::write(&file, node::settings(ip) + more_settings).expect("a settings file");
        let mut process = Command::new(env!("CARGO_BIN_EXE_dappleyard"))
            .args(["serve", "--metrics-port", &node::METRICS_PORT.to_string()])
            .env(node::SETTINGS_VARIABLE, &file)
            .stdout(Stdio::piped())
            .spawn()
            .expect("the program runs");
        let log = BufReader::new(process.stdout.take().expect("its output"));
        NodeProcess { process, log, ip }
    }

    /// Number of crashes of servers.
    pub fn crashes(&self) -> usize {
        self.servers.crashes().values().map(Vec::len).sum()
    }

    /// Lists servers that have started again under their new identifiers only.
    pub fn list_restarted_servers(&self) {
        let servers = 0..self.servers.addresses().len();
        let listed: Vec<String> = servers.map(|server| self.servers.id(server)).collect();
        for (_, id, _) in self.rows.table("servers") {
            if !listed.contains(&id) {
                self.rows.remove("servers", "", &id);
            }
        }
        control::list_servers(&self.rows, &self.servers);
    }

    /// Waits until all servers have started again.
    pub fn wait_for_servers(&self) {
        let servers = 0..self.servers.addresses().len();
        for server in servers {
            while self.servers.refuses_until(server).is_some() {
                thread::sleep(Duration::from_millis(20));
            }
        }
    }

    /// Number of runs of a request at the servers.
    pub fn runs(&self, request: &str) -> u32 {
        let records = self.servers.run_records();
        records.get(request).map_or(0, |record| record.begun)
    }
}

async fn serve(
    ip: Ipv4Addr,
    rows: EmulatedRows,
    servers: ModelServers,
    started: &mpsc::Sender<()>,
) {
    let store = HttpServer::new(move || {
        App::new()
            .app_data(web::PayloadConfig::new(MAX_BODY_BYTES))
            .app_data(web::Data::new(rows.clone()))
            .configure(store::configure)
    });
    let store = store
        .workers(1)
        .bind((ip, node::STORE_PORT))
        .expect("a port");
    let addresses = servers.addresses().to_vec();
    let models = HttpServer::new(move || {
        App::new()
            .app_data(web::PayloadConfig::new(MAX_BODY_BYTES))
            .app_data(web::Data::new(servers.clone()))
            .default_service(web::to(model::handle))
    });
    let mut models = models.workers(1).h1_allow_half_closed(false);
    for address in addresses {
        models = models.bind(address).expect("a port");
    }
    let (store, models) = (store.run(), models.run());
    // The test may have ended.
    let _ = started.send(());
    let _ = tokio::join!(store, models);
}

pub struct NodeProcess {
    process: Child,
    log: BufReader<ChildStdout>,
    ip: Ipv4Addr,
}

/// Signals to a process that has not been waited for.
#[derive(Clone, Copy)]
pub struct ProcessSignals(Pid);

impl ProcessSignals {
    pub fn send(self, signal: Signal) {
        kill_process(self.0, signal).expect("the process is there");
    }
}

impl NodeProcess {
    pub fn front(&self) -> SocketAddr {
        node::front(self.ip)
    }

    /// Address of the machine.
    pub fn ip(&self) -> Ipv4Addr {
        self.ip
    }

    /// Process id.
    pub fn id(&self) -> u32 {
        self.process.id()
    }

    pub fn signal(&self, signal: Signal) {
        self.signals().send(signal);
    }

    /// Signals to the process while something else waits for its end.
    pub fn signals(&self) -> ProcessSignals {
        let process = i32::try_from(self.process.id()).expect("a process id");
        ProcessSignals(Pid::from_raw(process).expect("a process id"))
    }

    /// Waits for a record of the given event.
    pub fn wait_for_record(&mut self, event: &str) {
        let wanted = format!("\"event\":\"{event}\"");
        let mut line = String::new();
        while !line.contains(&wanted) {
            line.clear();
            let read = self.log.read_line(&mut line).expect("read the log");
            assert!(read > 0, "the process ended before it wrote {event}");
        }
    }

    /// Waits until the node is ready, and discards its log from then on.
    pub fn wait_until_ready(&mut self) {
        let until = Instant::now() + START_TIMEOUT;
        while !self.is_ready() {
            assert!(Instant::now() < until, "the node did not become ready");
            thread::sleep(Duration::from_millis(20));
        }
        let log = self.log.get_ref();
        let log = std::os::fd::AsFd::as_fd(log).try_clone_to_owned();
        let mut log = std::fs::File::from(log.expect("the log"));
        thread::spawn(move || std::io::copy(&mut log, &mut std::io::sink()));
    }

    fn is_ready(&self) -> bool {
        let Ok(mut caller) = Caller::connect(node::ready(self.ip)) else {
            return false;
        };
        matches!(caller.exchange(node::ready_request()), Outcome::Answered(answer) if answer.status == 200)
    }

    /// Waits for the end of the process.
    pub fn wait_for_end(&mut self, limit: Duration) -> Option<ExitStatus> {
        let until = Instant::now() + limit;
        while Instant::now() < until {
            if let Some(status) = self.process.try_wait().expect("the status") {
                return Some(status);
            }
            thread::sleep(Duration::from_millis(10));
        }
        None
    }
}

impl Drop for NodeProcess {
    fn drop(&mut self) {
        // It may have ended already.
        let _ = self.process.kill();
        let _ = self.process.wait();
    }
}

/// A whole answer.
#[derive(Debug)]
pub struct Answer {
    pub status: u16,
    /// Whether the connection may be used again.
    pub keeps_connection: bool,
    pub events: usize,
}

/// What became of a request.
#[derive(Debug)]
pub enum Outcome {
    Answered(Answer),
    /// The connection ended before the whole answer, this long after the request was sent.
    Unanswered {
        after: Duration,
        received: usize,
    },
}

/// A caller's connection.
pub struct Caller {
    stream: TcpStream,
}

impl Caller {
    pub fn connect(address: SocketAddr) -> std::io::Result<Self> {
        let stream = TcpStream::connect_timeout(&address, Duration::from_secs(1))?;
        stream.set_read_timeout(Some(READ_TIMEOUT))?;
        stream.set_nodelay(true)?;
        Ok(Self { stream })
    }

    /// Whether the node has closed the connection.
    pub fn is_closed(&self) -> bool {
        self.stream.set_nonblocking(true).expect("a socket");
        let peeked = self.stream.peek(&mut [0]);
        self.stream.set_nonblocking(false).expect("a socket");
        !matches!(peeked, Err(error) if error.kind() == ErrorKind::WouldBlock)
    }

    /// Sends a stream request.
    pub fn stream(&mut self, id: &str, deadline: Duration) -> Outcome {
        self.exchange(&node::stream_request(id, deadline))
    }

    /// Sends a request for a stream of so many tokens that may not be repeated.
    pub fn sized_order(&mut self, id: &str, tokens_out: u32, deadline: Duration) -> Outcome {
        let deadline_ms = deadline.as_millis() as u32;
        self.exchange(&node::sized_order(id, tokens_out, deadline_ms))
    }

    /// Sends a request that crashes each server and may not be repeated.
    pub fn crashing_order(&mut self) -> Outcome {
        let id = format!("order-{:x}", rand::random::<u64>());
        self.exchange(&node::crashing_order(&id))
    }

    pub fn exchange(&mut self, request: &str) -> Outcome {
        let sent = Instant::now();
        // A connection that the node closes meanwhile shows as a missing answer.
        let _ = self.stream.write_all(request.as_bytes());
        let mut text = Vec::new();
        let mut piece = [0; 4096];
        loop {
            if let Some(answer) = whole_answer(&text) {
                return Outcome::Answered(answer);
            }
            match self.stream.read(&mut piece) {
                Ok(read) if read > 0 => text.extend_from_slice(&piece[..read]),
                _ => {
                    return Outcome::Unanswered {
                        after: sent.elapsed(),
                        received: text.len(),
                    };
                }
            }
        }
    }
}

/// The answer, if it is whole.
fn whole_answer(text: &[u8]) -> Option<Answer> {
    let text = String::from_utf8_lossy(text);
    let (head, body) = text.split_once("\r\n\r\n")?;
    let head = head.to_ascii_lowercase();
    let body = match head.split("content-length: ").nth(1) {
        Some(rest) => {
            let length = rest.lines().next()?.trim().parse::<usize>().ok()?;
            body.get(..length)?.to_owned()
        }
        None => joined_chunks(body)?,
    };
    Some(Answer {
        status: head
            .split(' ')
            .nth(1)
            .and_then(|status| status.parse().ok())
            .unwrap_or_default(),
        keeps_connection: !head.contains("connection: close"),
        events: body.matches("data: ").count(),
    })
}

/// The body without its framing, if the last chunk has arrived.
fn joined_chunks(mut framed: &str) -> Option<String> {
    let mut body = String::new();
    loop {
        let (size, rest) = framed.split_once("\r\n")?;
        let size = usize::from_str_radix(size, 16).ok()?;
        if size == 0 {
            return rest.starts_with("\r\n").then_some(body);
        }
        body.push_str(rest.get(..size)?);
        framed = rest.get(size..)?.strip_prefix("\r\n")?;
    }
}

impl Answer {
    /// Whether it is a whole stream, or a refusal.
    pub fn is_complete(&self) -> bool {
        self.status != 200 || self.events == EVENTS
    }
}
