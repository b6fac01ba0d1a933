//! How long servers take until they say something, learned from their own answers.
//!
//! A request goes to another server, and a server is doubted, once it has been silent for longer than answers take.
//! One fixed time for that is too long where answers come in 40 ms, and too short where they queue.

use std::collections::HashMap;
use std::time::Duration;

use dappleyard_clock::Instant;
use parking_lot::Mutex;

/// Silence before the first event after which a request goes elsewhere, at least: most of the 300 ms in which online
/// answers are to begin is left to the first server.
const FIRST_LEAST: Duration = Duration::from_millis(200);
/// Silence within an answer after which a server is doubted, at least: events come some 40 ms apart, and hardly
/// ever 100 ms.
const PAUSE_LEAST: Duration = Duration::from_millis(200);
/// At most, and while too little is known.
const MOST: Duration = Duration::from_millis(900);
/// Quantile of the times that is learned. One answer in a hundred may be slower without its request being sent
/// again.
const QUANTILE: f64 = 0.99;
/// What that quantile is multiplied with: slow answers are not cut off by what was learned from fast ones.
const MARGIN: f64 = 2.0;
/// Answers from which a time is learned.
const ENOUGH: u32 = 40;
/// Answers count for one to two spans of this length.
const SPAN: Duration = Duration::from_secs(10);
/// Steps of the histogram for each doubling of the time.
const STEPS: f64 = 4.0;
/// Steps: from 1 ms to 16 s.
const BUCKETS: usize = 57;

/// Times of one kind over the last one to two spans.
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
    /// Notes a time that was taken.
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

    /// A time that hardly any answer takes, from the times that are known; between `least` and 900 ms.
    pub fn bound(&self, least: Duration) -> Duration {
        let Some(bucket) = self.bucket_of(QUANTILE) else {
            return MOST;
        };
        let ms = ((bucket + 1) as f64 / STEPS).exp2() * MARGIN;
        Duration::from_secs_f64(ms / 1_000.0).clamp(least, MOST)
    }

    /// The median of the times that are known; `None` while too few are.
    pub fn usual(&self) -> Option<Duration> {
        let bucket = self.bucket_of(0.5)?;
        let ms = ((bucket as f64 + 0.5) / STEPS).exp2();
        Some(Duration::from_secs_f64(ms / 1_000.0))
    }

    /// Where a quantile of the times lies; `None` while too few are known.
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

/// Prompts that take alike to read: those of one size up to a factor of four.
fn size_class(tokens: u32) -> u32 {
    tokens.max(64).ilog2() / 2
}

/// Times of all services at one node.
#[derive(Debug, Default)]
pub struct AnswerTimes {
    first: Mutex<HashMap<(String, u32), LearnedTime>>,
    pauses: Mutex<HashMap<String, LearnedTime>>,
    /// Pauses as they would be at servers of the usual pace.
    usual_pauses: Mutex<HashMap<String, LearnedTime>>,
}

impl AnswerTimes {
    /// Notes the time from a request's being sent to the first event of its answer.
    pub fn note_first(&self, service: &str, tokens: u32, taken: Duration) {
        let key = (service.to_owned(), size_class(tokens));
        let mut times = self.first.lock();
        times.entry(key).or_default().note(taken, Instant::now());
    }

    /// Notes the time between two pieces of an answer.
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

    /// Notes a pause of an answer as it would be at a server of the usual pace; the median of them, once enough are
    /// known.
    pub fn note_usual_pause(&self, service: &str, pause: Duration) -> Option<Duration> {
        let mut times = self.usual_pauses.lock();
        let held = times.entry(service.to_owned()).or_default();
        held.note(pause, Instant::now());
        held.usual()
    }

    /// Silence before the first event after which a request that may be repeated goes elsewhere.
    pub fn first_patience(&self, service: &str, tokens: u32) -> Duration {
        let times = self.first.lock();
        let held = times.get(&(service.to_owned(), size_class(tokens)));
        held.map_or(MOST, |times| times.bound(FIRST_LEAST))
    }

    /// Silence within an answer after which its server is doubted.
    pub fn pause_notice(&self, service: &str) -> Duration {
        let times = self.pauses.lock();
        times
            .get(service)
            .map_or(MOST, |times| times.bound(PAUSE_LEAST))
    }
}
