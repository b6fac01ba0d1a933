//! How long an answer of the store was on its way, from the store's steady clock.
//!
//! Every answer names the store's clock. The quickest answer seen tells how that clock stands to this
//! machine's; what another answer lags behind that is time that it spent in queues, in a slow store or
//! in a process that stood still. Knowledge is older by that time than its arrival says.

use std::time::Duration;

use dappleyard_clock::Instant;
use parking_lot::Mutex;

/// By how much two steady clocks may drift apart, milliseconds in a second: ten times the drift of
/// common quartz clocks. The quickest answer is forgotten at this rate.
const DRIFT_MS_PER_S: f64 = 1.0;
/// An answer that seems to have been on its way for longer says that the store's clock was set anew:
/// no connection holds an answer for a minute.
const LONGEST_WAY_MS: f64 = 60_000.0;

#[derive(Debug, Clone, Copy)]
struct Quickest {
    /// This machine's clock, less the store's, when the quickest answer came.
    offset_ms: f64,
    at: Instant,
}

/// The store's clock as this node knows it, shared by all threads.
#[derive(Debug)]
pub struct StoreClock {
    origin: Instant,
    quickest: Mutex<Option<Quickest>>,
}

impl Default for StoreClock {
    fn default() -> Self {
        Self {
            origin: Instant::now(),
            quickest: Mutex::default(),
        }
    }
}

impl StoreClock {
    /// Time that an answer which came now was on its way, beyond the quickest one known; `now_ms` is
    /// the store's clock that it names.
    pub fn time_on_way(&self, now_ms: u64) -> Duration {
        let now = Instant::now();
        let offset_ms = now.duration_since(self.origin).as_secs_f64() * 1_000.0 - now_ms as f64;
        let mut quickest = self.quickest.lock();
        let least_ms = quickest.map_or(offset_ms, |held| {
            let forgotten_ms = now.duration_since(held.at).as_secs_f64() * DRIFT_MS_PER_S;
            held.offset_ms + forgotten_ms
        });
        let way_ms = offset_ms - least_ms;
        if way_ms <= 0.0 || way_ms > LONGEST_WAY_MS {
            *quickest = Some(Quickest { offset_ms, at: now });
            return Duration::ZERO;
        }
        Duration::from_secs_f64(way_ms / 1_000.0)
    }
}
