//! Records of streams, as known to one node. Pure; time is an argument.

use std::collections::{BTreeSet, HashMap, VecDeque};
use std::sync::Arc;
use std::time::Duration;

use dappleyard_clock::Instant;
use dappleyard_model::RunOrigin;

use crate::history::VERSION_RETENTION;
use crate::key::StreamKey;
use crate::messages::{OriginMessage, StreamNews};

/// Limit on the records, about 2 MB. Beyond it, the ones that expire first are dropped.
pub const MAX_STREAMS: usize = 16_384;

#[derive(Debug)]
struct Record {
    origin: Arc<RunOrigin>,
    expires: Instant,
}

/// Records of the streams that began at this node or of which others told it.
#[derive(Debug, Default)]
pub struct StreamLedger {
    records: HashMap<StreamKey, Record>,
    by_expiry: BTreeSet<(Instant, StreamKey)>,
    /// Streams that began here and were not told, by service.
    untold: HashMap<String, VecDeque<StreamKey>>,
}

impl StreamLedger {
    /// Notes a stream that began at this node and may be resumed for `lifetime`.
    pub fn note_begun(
        &mut self,
        stream: StreamKey,
        origin: &RunOrigin,
        lifetime: Duration,
        now: Instant,
    ) {
        if self.insert(stream, Arc::new(origin.clone()), lifetime, now) {
            let untold = self.untold.entry(origin.service.clone()).or_default();
            untold.push_back(stream);
            if untold.len() > MAX_STREAMS {
                untold.pop_front();
            }
        }
    }

    /// Notes the streams of which another node told.
    pub fn learn(&mut self, news: StreamNews, now: Instant) {
        let origins: Vec<Arc<RunOrigin>> = news
            .origins
            .into_iter()
            .map(|origin| Arc::new(origin.into()))
            .collect();
        let numbers = news.origin_numbers.into_iter().zip(news.lifetimes_ms);
        for (stream, (number, lifetime_ms)) in news.streams.into_iter().zip(numbers) {
            if let Some(origin) = origins.get(number as usize) {
                let lifetime = Duration::from_millis(u64::from(lifetime_ms));
                self.insert(StreamKey(stream), origin.clone(), lifetime, now);
            }
        }
    }

    /// Adds a record unless there is one; returns whether it was added.
    fn insert(
        &mut self,
        stream: StreamKey,
        origin: Arc<RunOrigin>,
        lifetime: Duration,
        now: Instant,
    ) -> bool {
        if self.records.contains_key(&stream) {
            return false;
        }
        let expires = now + lifetime.min(VERSION_RETENTION);
        self.records.insert(stream, Record { origin, expires });
        self.by_expiry.insert((expires, stream));
        if self.records.len() > MAX_STREAMS
            && let Some((_, first)) = self.by_expiry.pop_first()
        {
            self.records.remove(&first);
        }
        true
    }

    /// Where a stream began.
    pub fn find(&self, stream: StreamKey) -> Option<RunOrigin> {
        let record = self.records.get(&stream)?;
        Some(record.origin.as_ref().clone())
    }

    /// Services with streams that were not told.
    pub fn untold_services(&self) -> Vec<String> {
        let untold = self.untold.iter();
        let untold = untold.filter(|(_, streams)| !streams.is_empty());
        untold.map(|(service, _)| service.clone()).collect()
    }

    /// Takes up to `limit` streams of a service to tell others of, with the time left to resume each.
    pub fn take_untold(
        &mut self,
        service: &str,
        limit: usize,
        now: Instant,
    ) -> Vec<(StreamKey, RunOrigin, Duration)> {
        let Some(untold) = self.untold.get_mut(service) else {
            return Vec::new();
        };
        let mut taken = Vec::new();
        while taken.len() < limit
            && let Some(stream) = untold.pop_front()
        {
            if let Some(record) = self
                .records
                .get(&stream)
                .filter(|record| record.expires > now)
            {
                let lifetime = record.expires.duration_since(now);
                taken.push((stream, record.origin.as_ref().clone(), lifetime));
            }
        }
        taken
    }

    /// Drops expired records.
    pub fn sweep(&mut self, now: Instant) {
        while let Some((expires, stream)) = self.by_expiry.first().copied() {
            if expires > now {
                break;
            }
            self.by_expiry.pop_first();
            self.records.remove(&stream);
        }
        for untold in self.untold.values_mut() {
            untold.retain(|stream| self.records.contains_key(stream));
        }
        self.untold.retain(|_, untold| !untold.is_empty());
    }

    /// Number of records.
    pub fn len(&self) -> usize {
        self.records.len()
    }

    pub fn is_empty(&self) -> bool {
        self.records.is_empty()
    }
}

/// Message about streams.
impl FromIterator<(StreamKey, RunOrigin, Duration)> for StreamNews {
    fn from_iter<I: IntoIterator<Item = (StreamKey, RunOrigin, Duration)>>(streams: I) -> Self {
        let mut news = Self::default();
        for (stream, origin, lifetime) in streams {
            let origin = OriginMessage::from(&origin);
            let known = news.origins.iter().position(|known| *known == origin);
            let number = known.unwrap_or_else(|| {
                news.origins.push(origin);
                news.origins.len() - 1
            });
            news.streams.push(stream.0);
            news.origin_numbers.push(number as u32);
            news.lifetimes_ms
                .push(u32::try_from(lifetime.as_millis()).unwrap_or(u32::MAX));
        }
        news
    }
}
