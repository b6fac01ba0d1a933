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
const FIRST_LEAST: Duration = Duration::from_millis(200);
/// Minimum gap between events after which a server becomes suspect. Events are usually 40 ms apart
/// and rarely 100 ms.
const PAUSE_LEAST: Duration = Duration::from_millis(200);
/// Maximum timeout, also used while there are too few samples.
const MOST: Duration = Duration::from_millis(900);
const QUANTILE: f64 = 0.99;
/// Factor on the quantile, so that slow responses are not cut off by a timeout learned from fast
/// ones.
const MARGIN: f64 = 2.0;
/// Minimum number of samples.
const ENOUGH: u32 = 40;
/// Length of one window. The current and the previous window count.
const SPAN: Duration = Duration::from_secs(10);
/// Histogram buckets per doubling of the time.
const STEPS: f64 = 4.0;
/// Covers 1 ms to 16 s.
const BUCKETS: usize = 57;

/// Histogram of durations over the current and the previous window.
#[derive(Debug, Clone)]
pub struct LearnedTime {
    now: [u32; BUCKETS],
    before: [u32; BUCKETS],
    began: Option<Instant>,
}

impl Default for LearnedTime {
    fn default() -> Self {
        Self {
            now: [0; BUCKETS],
            before: [0; BUCKETS],
            began: None,
        }
    }
}

impl LearnedTime {
    pub fn note(&mut self, taken: Duration, now: Instant) {
        self.turn(now);
        let ms = (taken.as_secs_f64() * 1_000.0).max(1.0);
        let bucket = (ms.log2() * STEPS) as usize;
        self.now[bucket.min(BUCKETS - 1)] += 1;
    }

    fn turn(&mut self, now: Instant) {
        let age = self.began.map(|began| now.duration_since(began));
        if age.is_some_and(|age| age < SPAN) {
            return;
        }
        self.before = match age {
            Some(age) if age < 2 * SPAN => self.now,
            _ => [0; BUCKETS],
        };
        self.now = [0; BUCKETS];
        self.began = Some(now);
    }

    /// Timeout derived from the 99th percentile, between `least` and 900 ms.
    pub fn bound(&self, least: Duration) -> Duration {
        let Some(bucket) = self.bucket_of(QUANTILE) else {
            return MOST;
        };
        let ms = ((bucket + 1) as f64 / STEPS).exp2() * MARGIN;
        Duration::from_secs_f64(ms / 1_000.0).clamp(least, MOST)
    }

    /// Median, or `None` with too few samples.
    pub fn usual(&self) -> Option<Duration> {
        let bucket = self.bucket_of(0.5)?;
        let ms = ((bucket as f64 + 0.5) / STEPS).exp2();
        Some(Duration::from_secs_f64(ms / 1_000.0))
    }

    /// Bucket that contains the quantile, or `None` with too few samples.
    fn bucket_of(&self, quantile: f64) -> Option<usize> {
        let counts = self.now.iter().zip(&self.before);
        let counts: Vec<u32> = counts.map(|(now, before)| now + before).collect();
        let total: u32 = counts.iter().sum();
        if total < ENOUGH {
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

/// Groups prompts by length, in steps of a factor of four.
fn size_class(tokens: u32) -> u32 {
    tokens.max(64).ilog2() / 2
}

/// Response times of all services, as seen by one node.
#[derive(Debug, Default)]
pub struct AnswerTimes {
    first: Mutex<HashMap<(String, u32), LearnedTime>>,
    pauses: Mutex<HashMap<String, LearnedTime>>,
    /// Gaps between events, divided by the pace that the server reports.
    usual_pauses: Mutex<HashMap<String, LearnedTime>>,
}

impl AnswerTimes {
    /// Records the time from sending a request to its first event.
    pub fn note_first(&self, service: &str, tokens: u32, taken: Duration) {
        let key = (service.to_owned(), size_class(tokens));
        let mut times = self.first.lock();
        times.entry(key).or_default().note(taken, Instant::now());
    }

    /// Records the time between two pieces of a response.
    pub fn note_pause(&self, service: &str, taken: Duration) {
        let mut times = self.pauses.lock();
        if let Some(held) = times.get_mut(service) {
            held.note(taken, Instant::now());
            return;
        }
        times
            .entry(service.to_owned())
            .or_default()
            .note(taken, Instant::now());
    }

    /// Records a gap normalized to the usual pace. Returns the median, or `None` with too few
    /// samples.
    pub fn note_usual_pause(&self, service: &str, pause: Duration) -> Option<Duration> {
        let mut times = self.usual_pauses.lock();
        let held = times.entry(service.to_owned()).or_default();
        held.note(pause, Instant::now());
        held.usual()
    }

    /// Timeout for the first event, after which a repeatable request is sent to another server.
    pub fn first_patience(&self, service: &str, tokens: u32) -> Duration {
        let times = self.first.lock();
        let held = times.get(&(service.to_owned(), size_class(tokens)));
        held.map_or(MOST, |times| times.bound(FIRST_LEAST))
    }

    /// Gap between events after which the server becomes suspect.
    pub fn pause_notice(&self, service: &str) -> Duration {
        let times = self.pauses.lock();
        times
            .get(service)
            .map_or(MOST, |times| times.bound(PAUSE_LEAST))
    }
}
