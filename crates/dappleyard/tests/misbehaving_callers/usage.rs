//! Memory and descriptors that a process uses, as its machine counts them.

use std::fs;
use std::net::Ipv4Addr;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::thread;
use std::time::Duration;

const SAMPLE_INTERVAL: Duration = Duration::from_millis(5);
/// Column of `/proc/net/tcp` with the local address, in hexadecimal.
const LOCAL_ADDRESS: usize = 1;
/// Column with the bytes in the send queue and in the receive queue.
const QUEUES: usize = 4;
const BYTES_PER_KB: u64 = 1024;

/// The most that was seen in use.
#[derive(Debug, Default)]
struct Peak {
    memory_bytes: AtomicU64,
    sockets: AtomicU64,
    is_ended: AtomicBool,
}

/// Samples a process until it is dropped.
pub struct UsageWatch {
    peak: Arc<Peak>,
}

impl Drop for UsageWatch {
    fn drop(&mut self) {
        self.peak.is_ended.store(true, Ordering::Relaxed);
    }
}

impl UsageWatch {
    /// Watches a process that accepts connections at the given ports of `ip`.
    pub fn start(process: u32, ip: Ipv4Addr, ports: Vec<u16>) -> Self {
        let peak = Arc::new(Peak::default());
        let shared = peak.clone();
        thread::spawn(move || {
            while !shared.is_ended.load(Ordering::Relaxed) {
                let memory_bytes = resident_bytes(process) + unread_bytes(ip, &ports);
                shared
                    .memory_bytes
                    .fetch_max(memory_bytes, Ordering::Relaxed);
                shared
                    .sockets
                    .fetch_max(sockets(process), Ordering::Relaxed);
                thread::sleep(SAMPLE_INTERVAL);
            }
        });
        Self { peak }
    }

    /// The most bytes of memory, those included that have arrived and are not read, and the most sockets and pipes.
    pub fn peak(&self) -> (u64, u64) {
        let memory_bytes = self.peak.memory_bytes.load(Ordering::Relaxed);
        (memory_bytes, self.peak.sockets.load(Ordering::Relaxed))
    }
}

/// Resident memory; 0 once the process has ended.
fn resident_bytes(process: u32) -> u64 {
    let status = fs::read_to_string(format!("/proc/{process}/status")).unwrap_or_default();
    let resident = status.lines().find_map(|line| line.strip_prefix("VmRSS:"));
    let kilobytes = resident.and_then(|text| text.split_whitespace().next()?.parse::<u64>().ok());
    kilobytes.unwrap_or(0) * BYTES_PER_KB
}

/// Bytes in the receive queues of all connections to these ports, whether they were accepted or not.
fn unread_bytes(ip: Ipv4Addr, ports: &[u16]) -> u64 {
    let ip = u32::from_ne_bytes(ip.octets());
    let locals: Vec<String> = ports
        .iter()
        .map(|port| format!("{ip:08X}:{port:04X}"))
        .collect();
    let table = fs::read_to_string("/proc/net/tcp").expect("the table of connections");
    let unread = table.lines().skip(1).filter_map(|line| {
        let columns: Vec<&str> = line.split_whitespace().take(QUEUES + 1).collect();
        let is_own = locals.iter().any(|local| local == columns[LOCAL_ADDRESS]);
        let (_, received) = columns[QUEUES].split_once(':')?;
        is_own.then(|| u64::from_str_radix(received, 16).ok())?
    });
    unread.sum()
}

/// Open descriptors other than those of files.
fn sockets(process: u32) -> u64 {
    let Ok(entries) = fs::read_dir(format!("/proc/{process}/fd")) else {
        return 0;
    };
    let targets = entries
        .flatten()
        .filter_map(|entry| fs::read_link(entry.path()).ok());
    let sockets = targets.filter(|target| !target.starts_with("/"));
    sockets.count() as u64
}
