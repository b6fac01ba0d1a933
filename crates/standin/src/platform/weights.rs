//! State of the weight store. Readers share one bandwidth and are served in order.

use std::collections::BTreeSet;

/// State of the weight store. Times are microseconds.
#[derive(Debug)]
pub struct WeightState {
    read_time_us: u64,
    free_at_us: u64,
    broken: BTreeSet<String>,
    loads: u64,
}

impl WeightState {
    /// Creates a store in which every version has the same size.
    pub fn new(megabytes: f64, megabytes_per_s: f64, broken: &[String]) -> WeightState {
        let seconds = megabytes / megabytes_per_s.max(f64::EPSILON);
        WeightState {
            read_time_us: (seconds * 1e6) as u64,
            free_at_us: 0,
            broken: broken.iter().cloned().collect(),
            loads: 0,
        }
    }

    /// Queues a read of a version; returns its duration, including the wait for earlier reads.
    pub fn load(&mut self, now_us: u64, version: &str) -> Result<u64, String> {
        self.loads += 1;
        if self.broken.contains(version) {
            return Err(format!("the weights of {version} are broken"));
        }
        self.free_at_us = self.free_at_us.max(now_us) + self.read_time_us;
        Ok(self.free_at_us - now_us)
    }

    /// Sets whether loading a version fails.
    pub fn set_broken(&mut self, version: &str, broken: bool) {
        if broken {
            self.broken.insert(version.to_owned());
        } else {
            self.broken.remove(version);
        }
    }

    /// Number of loads started, failed ones included.
    pub fn loads(&self) -> u64 {
        self.loads
    }
}
