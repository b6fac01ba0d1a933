//! Circuit breaker: after failures in a row no call goes out but a probe now and then.

/// Whether a call may go out.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Admission {
    /// It may.
    Yes,
    /// It may, and its outcome decides whether the breaker closes.
    Probe,
    /// It may not; ask again after some milliseconds.
    No {
        /// Time until the next probe, milliseconds.
        retry_after_ms: u64,
    },
}

/// A circuit breaker. Time is an argument, in milliseconds of one monotonic clock.
#[derive(Debug, Clone)]
pub struct Breaker {
    threshold: u32,
    probe_ms: u64,
    failures: u32,
    /// Time of the next probe while open.
    probe_at_ms: Option<u64>,
}

impl Breaker {
    /// A closed breaker that opens after `threshold` failures in a row and then probes about every
    /// `probe_ms` milliseconds.
    pub fn new(threshold: u32, probe_ms: u64) -> Breaker {
        Breaker {
            threshold: threshold.max(1),
            probe_ms: probe_ms.max(1),
            failures: 0,
            probe_at_ms: None,
        }
    }

    /// Whether the breaker is open.
    pub fn is_open(&self) -> bool {
        self.probe_at_ms.is_some()
    }

    /// Asks for one call. `jitter` in 0..1 spreads the probes of many nodes.
    pub fn admit(&mut self, now_ms: u64, jitter: f64) -> Admission {
        match self.probe_at_ms {
            None => Admission::Yes,
            Some(at) if now_ms >= at => {
                self.probe_at_ms = Some(now_ms + self.interval(jitter));
                Admission::Probe
            }
            Some(at) => Admission::No {
                retry_after_ms: at - now_ms,
            },
        }
    }

    /// The store answered. Returns whether this closed the breaker.
    pub fn answered(&mut self) -> bool {
        self.failures = 0;
        self.probe_at_ms.take().is_some()
    }

    /// The store did not answer. Returns whether this opened the breaker.
    pub fn failed(&mut self, now_ms: u64, jitter: f64) -> bool {
        self.failures = self.failures.saturating_add(1);
        if self.is_open() || self.failures < self.threshold {
            return false;
        }
        self.probe_at_ms = Some(now_ms + self.interval(jitter));
        true
    }

    /// Between half and one and a half of the interval.
    fn interval(&self, jitter: f64) -> u64 {
        let spread = self.probe_ms as f64 * (0.5 + jitter.clamp(0.0, 1.0));
        spread as u64
    }
}
