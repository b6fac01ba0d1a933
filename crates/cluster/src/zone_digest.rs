//! Load sums that a delegate sends to other zones: the changed ones, and periodically all of them,
//! since a datagram may be lost.

use std::cmp::Reverse;
use std::collections::{HashMap, HashSet};

use crate::messages::LoadEntry;

/// Maximum servers per message, so that it fits into one datagram of about 9 KB.
pub const MAX_SERVERS_PER_MESSAGE: usize = 500;

#[derive(Debug, Clone, PartialEq, Eq)]
pub struct MessageSums {
    pub loads: Vec<LoadEntry>,
    /// Only changed sums are included.
    pub changes_only: bool,
}

/// Minimum change of the requests and items at a server that is sent to another region. Other
/// regions only send work there once they are full, and then small changes matter little.
const MIN_CHANGE: u32 = 2;

/// Selects the load sums to send, from the current ones and those sent last.
#[derive(Debug, Default)]
pub struct ZoneDigest {
    sent: HashMap<u32, LoadEntry>,
    /// Between two full messages, only changes by `MIN_CHANGE` or of a server's health are sent.
    coarse: bool,
}

impl ZoneDigest {
    /// Creates a digest for other regions, which only sends large changes between full messages.
    pub fn coarse() -> Self {
        Self {
            coarse: true,
            ..Self::default()
        }
    }

    /// Selects the sums of the next message. `sums` covers all servers with work; with `all`,
    /// unchanged ones are included.
    pub fn next(&mut self, mut sums: Vec<LoadEntry>, all: bool) -> MessageSums {
        let changes_only = !all;
        if changes_only {
            self.add_idle(&mut sums);
            sums.retain(|sum| self.has_changed(sum));
        } else {
            self.sent.clear();
        }
        // If not all fit, the busiest servers are sent; the others stay pending.
        if sums.len() > MAX_SERVERS_PER_MESSAGE {
            sums.sort_by_key(|sum| Reverse(sum.online + sum.batch));
            sums.truncate(MAX_SERVERS_PER_MESSAGE);
        }
        for sum in &sums {
            self.sent.insert(sum.server, sum.clone());
        }
        MessageSums {
            loads: sums,
            changes_only,
        }
    }

    /// Adds the servers that were sent with work and have none now.
    fn add_idle(&self, sums: &mut Vec<LoadEntry>) {
        let busy: HashSet<u32> = sums.iter().map(|sum| sum.server).collect();
        let idle = self.sent.keys().filter(|server| !busy.contains(server));
        sums.extend(idle.map(|server| LoadEntry {
            server: *server,
            ..LoadEntry::default()
        }));
    }

    /// Whether a sum differs from the one sent last. Fields that change all the time do not count:
    /// the time since a server was heard, its completed requests, and small changes of its slowdown.
    fn has_changed(&self, sum: &LoadEntry) -> bool {
        let last = self.sent.get(&sum.server);
        if self.coarse {
            return is_large_change(last.unwrap_or(&LoadEntry::default()), sum);
        }
        last.is_none_or(|last| {
            let (heard_ms, served) = (sum.heard_ms, sum.served);
            // The age of a health check only grows; a lower one belongs to a newer check.
            let asked_again =
                sum.asked_ms > 0 && (last.asked_ms == 0 || sum.asked_ms < last.asked_ms);
            let (asked_ms, cold_ms) = (sum.asked_ms, sum.cold_ms);
            let (pace_age_ms, pace_percent) = (sum.pace_age_ms, sum.pace_percent);
            let (excess_pace_age_ms, excess_pace_percent) =
                (sum.excess_pace_age_ms, sum.excess_pace_percent);
            asked_again
                || sum.differs_in_slowdown(last)
                || LoadEntry {
                    pace_age_ms,
                    pace_percent,
                    excess_pace_age_ms,
                    excess_pace_percent,
                    asked_ms,
                    cold_ms,
                    heard_ms,
                    served,
                    ..last.clone()
                } != *sum
        })
    }
}

/// Whether a sum changed enough to be sent to another region.
fn is_large_change(last: &LoadEntry, sum: &LoadEntry) -> bool {
    let online = last.online.abs_diff(sum.online);
    let work = (last.online + last.batch).abs_diff(sum.online + sum.batch);
    let failing = (last.failed > 0) != (sum.failed > 0);
    online.max(work) >= MIN_CHANGE
        || last.suspect != sum.suspect
        || last.doubted != sum.doubted
        || failing
}
