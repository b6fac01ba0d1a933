//! Delayed publication of an engine's reports and cache events, with loss of events.

use std::collections::VecDeque;

use dappleyard_engine::{CacheEvent, EngineReport};
use rand::Rng;
use rand_chacha::ChaCha8Rng;

/// Maximum number of cache events kept for readers.
const MAXIMUM_CACHE_EVENTS: usize = 4_096;

#[derive(Debug)]
struct Delayed<T> {
    created_us: u64,
    deliver_us: u64,
    item: T,
}

/// Published reports and cache events, including those not delivered yet.
#[derive(Debug)]
pub(super) struct Publication {
    reports: VecDeque<Delayed<EngineReport>>,
    report_sequence: u64,
    events: VecDeque<Delayed<CacheEvent>>,
    event_sequence: u64,
    pub(super) extra_delay_us: u64,
    pub(super) events_dropped: bool,
}

impl Publication {
    pub(super) fn new() -> Publication {
        Publication {
            reports: VecDeque::new(),
            report_sequence: 0,
            events: VecDeque::new(),
            event_sequence: 0,
            extra_delay_us: 0,
            events_dropped: false,
        }
    }

    /// Publishes a report with a random delivery delay of at most `delay_us`.
    pub(super) fn report(
        &mut self,
        now_us: u64,
        delay_us: u64,
        rng: &mut ChaCha8Rng,
        mut report: EngineReport,
    ) {
        self.report_sequence += 1;
        report.sequence = self.report_sequence;
        let delay = rng.random_range(0..=delay_us) + self.extra_delay_us;
        self.reports.push_back(Delayed {
            created_us: now_us,
            deliver_us: now_us + delay,
            item: report,
        });
        self.drop_superseded(now_us);
    }

    /// The newest delivered report.
    pub(super) fn latest(&mut self, now_us: u64) -> Option<EngineReport> {
        self.drop_superseded(now_us);
        let newest = self
            .reports
            .iter()
            .rev()
            .find(|report| report.deliver_us <= now_us)?;
        let mut report = newest.item.clone();
        let age_ms = now_us.saturating_sub(newest.created_us) / 1_000;
        report.age_ms = u32::try_from(age_ms).unwrap_or(u32::MAX);
        Some(report)
    }

    /// Drops reports older than the newest delivered one.
    fn drop_superseded(&mut self, now_us: u64) {
        let newest = self
            .reports
            .iter()
            .rposition(|report| report.deliver_us <= now_us);
        if let Some(newest) = newest {
            self.reports.drain(..newest);
        }
    }

    /// Publishes a cache event. A lost event leaves a gap in the sequence numbers.
    pub(super) fn cache_event(
        &mut self,
        now_us: u64,
        delay_us: u64,
        loss: f64,
        rng: &mut ChaCha8Rng,
        (prefix_hash, tokens): (u64, u32),
    ) {
        self.event_sequence += 1;
        if self.events_dropped || rng.random_bool(loss.clamp(0.0, 1.0)) {
            return;
        }
        if self.events.len() == MAXIMUM_CACHE_EVENTS {
            self.events.pop_front();
        }
        self.events.push_back(Delayed {
            created_us: now_us,
            deliver_us: now_us + rng.random_range(0..=delay_us) + self.extra_delay_us,
            item: CacheEvent {
                sequence: self.event_sequence,
                prefix_hash,
                tokens,
            },
        });
    }

    /// Delivered cache events with a sequence number greater than `after`, in order. An event that
    /// is not delivered yet holds back later ones.
    pub(super) fn cache_events(&self, now_us: u64, after: u64) -> Vec<CacheEvent> {
        self.events
            .iter()
            .take_while(|event| event.deliver_us <= now_us)
            .filter(|event| event.item.sequence > after)
            .map(|event| event.item.clone())
            .collect()
    }
}
