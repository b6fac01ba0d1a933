//! CPU and memory usage of the experiment process.

use std::time::{Duration, Instant};

const MEGABYTE: f64 = 1_048_576.0;

/// CPU time of this process at a point in time.
pub struct ProcessTime {
    at: Instant,
    used: Duration,
}

impl ProcessTime {
    /// Reads the current CPU time.
    pub fn now() -> ProcessTime {
        ProcessTime {
            at: Instant::now(),
            used: used().unwrap_or_default(),
        }
    }

    /// Mean number of cores used since then.
    pub fn cores_since(&self) -> f64 {
        let used = used().unwrap_or_default().saturating_sub(self.used);
        used.as_secs_f64() / self.at.elapsed().as_secs_f64().max(f64::EPSILON)
    }
}

fn used() -> Option<Duration> {
    let stat = procfs::process::Process::myself().ok()?.stat().ok()?;
    let ticks = (stat.utime + stat.stime) as f64;
    Some(Duration::from_secs_f64(
        ticks / procfs::ticks_per_second() as f64,
    ))
}

/// Resident memory of this process, MB.
pub fn rss_mb() -> f64 {
    let status = procfs::process::Process::myself().and_then(|process| process.statm());
    status.map_or(0.0, |status| {
        (status.resident * procfs::page_size()) as f64 / MEGABYTE
    })
}
