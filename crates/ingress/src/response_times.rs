//! Response time statistics per service.
//!
//! The timeouts for the first event and for gaps between events are derived from them. A fixed
//! timeout would be too long where responses take 40 ms and too short where requests queue at the
//! servers.

use std::collections::HashMap;
use std::time::Duration;

use dappleyard_clock::Instant;
use parking_lot::Mutex;

/// Minimum timeout for the first event. Two thirds of the usual 300 ms target are left to the first
/// server.
const MIN_FIRST_EVENT_TIMEOUT: Duration = Duration::from_millis(200);
/// Minimum gap between events after which a server becomes suspect. Events are usually 40 ms apart
/// and rarely 100 ms.
const MIN_GAP_TIMEOUT: Duration = Duration::from_millis(200);
/// Maximum timeout, also used while there are too few samples.
const MAX_TIMEOUT: Duration = Duration::from_millis(900);
const QUANTILE: f64 = 0.99;
/// Quantile that few requests stay below.
const LOW_QUANTILE: f64 = 0.1;
/// Factor on the quantile, so that slow responses are not cut off by a timeout learned from fast
/// ones.
const SAFETY_FACTOR: f64 = 2.0;
/// Minimum number of samples.
const MIN_SAMPLES: u32 = 40;
/// Length of one window. The current and the previous window count.
const WINDOW: Duration = Duration::from_secs(10);
/// Histogram buckets per doubling of the time.
const BUCKETS_PER_DOUBLING: f64 = 4.0;
/// Number of buckets, which cover 1 ms to 16 s.
const BUCKETS: usize = 57;

/// Range in which most durations of a histogram lie.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct DurationRange {
    /// Nine of ten took longer.
    pub low: Duration,
    /// One of a hundred took longer.
    pub high: Duration,
}

/// Histogram of durations over the current and the previous window.
#[derive(Debug, Clone)]
pub struct LatencyHistogram {
    current: [u32; BUCKETS],
    previous: [u32; BUCKETS],
    window_start: Option<Instant>,
}

impl Default for LatencyHistogram {
    fn default() -> Self {
        Self {
            current: [0; BUCKETS],
            previous: [0; BUCKETS],
            window_start: None,
        }
    }
}

impl LatencyHistogram {
    pub fn record(&mut self, elapsed: Duration, now: Instant) {
        self.rotate(now);
        let ms = (elapsed.as_secs_f64() * 1_000.0).max(1.0);
        let bucket = (ms.log2() * BUCKETS_PER_DOUBLING) as usize;
        self.current[bucket.min(BUCKETS - 1)] += 1;
    }

    fn rotate(&mut self, now: Instant) {
        let age = self
            .window_start
            .map(|window_start| now.duration_since(window_start));
        if age.is_some_and(|age| age < WINDOW) {
            return;
        }
        self.previous = match age {
            Some(age) if age < 2 * WINDOW => self.current,
            _ => [0; BUCKETS],
        };
        self.current = [0; BUCKETS];
        self.window_start = Some(now);
    }

    /// Timeout derived from the 99th percentile, between `floor` and 900 ms.
    pub fn timeout(&self, floor: Duration) -> Duration {
        let Some(bucket) = self.quantile_bucket(QUANTILE) else {
            return MAX_TIMEOUT;
        };
        let ms = ((bucket + 1) as f64 / BUCKETS_PER_DOUBLING).exp2() * SAFETY_FACTOR;
        Duration::from_secs_f64(ms / 1_000.0).clamp(floor, MAX_TIMEOUT)
    }

    /// Median, or `None` with too few samples.
    pub fn median(&self) -> Option<Duration> {
        let bucket = self.quantile_bucket(0.5)?;
        let ms = ((bucket as f64 + 0.5) / BUCKETS_PER_DOUBLING).exp2();
        Some(Duration::from_secs_f64(ms / 1_000.0))
    }

    /// Range of the durations, widened to whole buckets, or `None` with too few samples in the last windows.
    pub fn range(&mut self, now: Instant) -> Option<DurationRange> {
        self.rotate(now);
        let low = self.quantile_bucket(LOW_QUANTILE)?;
        let high = self.quantile_bucket(QUANTILE)?;
        Some(DurationRange {
            low: bucket_start(low),
            high: bucket_start(high + 1),
        })
    }

    /// Bucket that contains the quantile, or `None` with too few samples.
    fn quantile_bucket(&self, quantile: f64) -> Option<usize> {
        let counts = self.current.iter().zip(&self.previous);
        let counts: Vec<u32> = counts.map(|(now, previous)| now + previous).collect();
        let total: u32 = counts.iter().sum();
        if total < MIN_SAMPLES {
            return None;
        }
        let below = (f64::from(total) * quantile).ceil() as u32;
        let mut sum = 0;
        let bucket = counts.iter().position(|count| {
            sum += count;
            sum >= below
        });
        Some(bucket.unwrap_or(BUCKETS - 1))
    }
}

/// Shortest duration in a bucket.
fn bucket_start(bucket: usize) -> Duration {
    let ms = (bucket as f64 / BUCKETS_PER_DOUBLING).exp2();
    Duration::from_secs_f64(ms / 1_000.0)
}

/// Groups requests by the length of their prompts or responses, in steps of a factor of four.
fn size_class(tokens: u32) -> u32 {
    tokens.max(64).ilog2() / 2
}

/// Response times of all services, as seen by one node.
#[derive(Debug, Default)]
pub struct ResponseTimes {
    first: Mutex<HashMap<(String, u32), LatencyHistogram>>,
    gaps: Mutex<HashMap<String, LatencyHistogram>>,
    /// Gaps between events, divided by the slowdown that the server reports.
    normalized_gaps: Mutex<HashMap<String, LatencyHistogram>>,
    /// By the number of tokens to generate.
    durations: Mutex<HashMap<(String, u32), LatencyHistogram>>,
}

impl ResponseTimes {
    /// Records the time from sending a request to its first event.
    pub fn record_first_event(&self, service: &str, tokens: u32, elapsed: Duration) {
        let key = (service.to_owned(), size_class(tokens));
        let mut times = self.first.lock();
        times
            .entry(key)
            .or_default()
            .record(elapsed, Instant::now());
    }

    /// Records the time between two pieces of a response.
    pub fn record_gap(&self, service: &str, elapsed: Duration) {
        let mut times = self.gaps.lock();
        if let Some(histogram) = times.get_mut(service) {
            histogram.record(elapsed, Instant::now());
            return;
        }
        times
            .entry(service.to_owned())
            .or_default()
            .record(elapsed, Instant::now());
    }

    /// Records a gap normalized to a slowdown of 1. Returns the median, or `None` with too few
    /// samples.
    pub fn record_normalized_gap(&self, service: &str, gap: Duration) -> Option<Duration> {
        let mut times = self.normalized_gaps.lock();
        let histogram = times.entry(service.to_owned()).or_default();
        histogram.record(gap, Instant::now());
        histogram.median()
    }

    /// Records the time from sending a request to the end of its whole response.
    pub fn record_duration(&self, service: &str, tokens_out: u32, elapsed: Duration) {
        let key = (service.to_owned(), size_class(tokens_out));
        let mut times = self.durations.lock();
        times
            .entry(key)
            .or_default()
            .record(elapsed, Instant::now());
    }

    /// Range of the durations of requests like one, or `None` with too few samples.
    pub fn duration_range(&self, service: &str, tokens_out: u32) -> Option<DurationRange> {
        let mut times = self.durations.lock();
        let histogram = times.get_mut(&(service.to_owned(), size_class(tokens_out)))?;
        histogram.range(Instant::now())
    }

    /// Timeout for the first event, after which a repeatable request is sent to another server.
    pub fn first_event_timeout(&self, service: &str, tokens: u32) -> Duration {
        let times = self.first.lock();
        let histogram = times.get(&(service.to_owned(), size_class(tokens)));
        histogram.map_or(MAX_TIMEOUT, |times| times.timeout(MIN_FIRST_EVENT_TIMEOUT))
    }

    /// Gap between events after which the server becomes suspect.
    pub fn gap_timeout(&self, service: &str) -> Duration {
        let times = self.gaps.lock();
        times
            .get(service)
            .map_or(MAX_TIMEOUT, |times| times.timeout(MIN_GAP_TIMEOUT))
    }
}
