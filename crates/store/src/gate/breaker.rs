//! Circuit breaker: after consecutive failures only occasional probes are sent.

/// Decision on a call.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Admission {
    /// The call may be sent.
    Yes,
    /// The call may be sent as a probe; its outcome decides whether the breaker closes.
    Probe,
    /// The call is rejected.
    No {
        /// Time until the next probe, milliseconds.
        retry_after_ms: u64,
    },
}

/// A circuit breaker. The caller passes the time, in milliseconds of a monotonic clock.
#[derive(Debug, Clone)]
pub struct Breaker {
    threshold: u32,
    probe_ms: u64,
    failures: u32,
    /// Time of the next probe; `None` while closed.
    probe_at_ms: Option<u64>,
}

impl Breaker {
    /// Creates a closed breaker that opens after `threshold` consecutive failures and then probes about every `probe_ms`
    /// milliseconds.
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

    /// Decides on a call. `jitter` in 0..1 spreads the probes of many nodes.
    pub fn admit(&mut self, now_ms: u64, jitter: f64) -> Admission {
        match self.probe_at_ms {
            None => Admission::Yes,
            Some(at) if now_ms >= at => {
                self.probe_at_ms = Some(now_ms + self.jittered_interval(jitter));
                Admission::Probe
            }
            Some(at) => Admission::No {
                retry_after_ms: at - now_ms,
            },
        }
    }

    /// Records an answer. Returns whether this closed the breaker.
    pub fn record_success(&mut self) -> bool {
        self.failures = 0;
        self.probe_at_ms.take().is_some()
    }

    /// Records a missing answer. Returns whether this opened the breaker.
    pub fn record_failure(&mut self, now_ms: u64, jitter: f64) -> bool {
        self.failures = self.failures.saturating_add(1);
        if self.is_open() || self.failures < self.threshold {
            return false;
        }
        self.probe_at_ms = Some(now_ms + self.jittered_interval(jitter));
        true
    }

    /// Probe interval scaled by 0.5 to 1.5.
    fn jittered_interval(&self, jitter: f64) -> u64 {
        let spread = self.probe_ms as f64 * (0.5 + jitter.clamp(0.0, 1.0));
        spread as u64
    }
}
