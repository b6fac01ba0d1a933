//! Estimates the transit time of store answers from the store's monotonic clock.
//!
//! Each answer carries the store's clock. The fastest answer seen gives the offset between that
//! clock and the local one; the lag of any other answer against this offset is time spent in
//! queues, in a slow store or in a suspended process, and adds to the age of the data.

use std::time::Duration;

use dappleyard_clock::Instant;
use parking_lot::Mutex;

/// Maximum drift between two monotonic clocks, milliseconds per second; ten times that of common
/// quartz clocks. The known offset expires at this rate.
const MAX_DRIFT_MS_PER_S: f64 = 1.0;
/// A longer transit time means that the store's clock was reset.
const MAX_TRANSIT_MS: f64 = 60_000.0;

#[derive(Debug, Clone, Copy)]
struct FastestAnswer {
    /// Local clock minus the store's clock when the fastest answer arrived.
    offset_ms: f64,
    at: Instant,
}

/// Estimate of the store's clock, shared by all threads.
#[derive(Debug)]
pub struct StoreClock {
    origin: Instant,
    fastest: Mutex<Option<FastestAnswer>>,
}

impl Default for StoreClock {
    fn default() -> Self {
        Self {
            origin: Instant::now(),
            fastest: Mutex::default(),
        }
    }
}

impl StoreClock {
    /// Transit time of an answer that arrived now, relative to the fastest known one. `now_ms` is
    /// the store's clock in the answer.
    pub fn transit_time(&self, now_ms: u64) -> Duration {
        let now = Instant::now();
        let offset_ms = now.duration_since(self.origin).as_secs_f64() * 1_000.0 - now_ms as f64;
        let mut fastest = self.fastest.lock();
        let min_offset_ms = fastest.map_or(offset_ms, |known| {
            let expired_ms = now.duration_since(known.at).as_secs_f64() * MAX_DRIFT_MS_PER_S;
            known.offset_ms + expired_ms
        });
        let transit_ms = offset_ms - min_offset_ms;
        if transit_ms <= 0.0 || transit_ms > MAX_TRANSIT_MS {
            *fastest = Some(FastestAnswer { offset_ms, at: now });
            return Duration::ZERO;
        }
        Duration::from_secs_f64(transit_ms / 1_000.0)
    }
}
