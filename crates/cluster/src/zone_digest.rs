//! What a delegate tells the delegates of other zones of its own zone's work: the sums that have
//! changed, and all of them now and then, since a datagram may be lost.

use std::cmp::Reverse;
use std::collections::{HashMap, HashSet};

use crate::messages::LoadEntry;

/// Servers told of in one message at most, so that it stays one datagram of about 9 KB.
pub const SERVERS_TOLD: usize = 500;

/// Sums of one message.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct ToldSums {
    /// The sums.
    pub loads: Vec<LoadEntry>,
    /// Only sums that have changed are among them.
    pub changes_only: bool,
}

/// Requests and items by which the work at a server must have changed to be told to another region. Work
/// there goes by it only when its own region has no room, and then a slot or two more matter little.
const CHANGE_TOLD: u32 = 2;

/// The sums that were told last.
#[derive(Debug, Default)]
pub struct ZoneDigest {
    told: HashMap<u32, LoadEntry>,
    /// Only sums that have changed by much are told between two whole ones.
    coarse: bool,
}

impl ZoneDigest {
    /// What another region is told: only sums that have changed by much, and all now and then.
    pub fn coarse() -> Self {
        Self {
            coarse: true,
            ..Self::default()
        }
    }

    /// The sums of the next message, when `sums` are those of all servers with work. With `all` every one is
    /// told, changed or not.
    pub fn next(&mut self, mut sums: Vec<LoadEntry>, all: bool) -> ToldSums {
        let changes_only = !all;
        if changes_only {
            self.add_idle(&mut sums);
            sums.retain(|sum| self.is_news(sum));
        } else {
            self.told.clear();
        }
        // Where the message cannot hold all, the busiest go first; the others stay untold.
        if sums.len() > SERVERS_TOLD {
            sums.sort_by_key(|sum| Reverse(sum.online + sum.batch));
            sums.truncate(SERVERS_TOLD);
        }
        for sum in &sums {
            self.told.insert(sum.server, sum.clone());
        }
        ToldSums {
            loads: sums,
            changes_only,
        }
    }

    /// Adds the servers that were told to have work and have none now.
    fn add_idle(&self, sums: &mut Vec<LoadEntry>) {
        let busy: HashSet<u32> = sums.iter().map(|sum| sum.server).collect();
        let idle = self.told.keys().filter(|server| !busy.contains(server));
        sums.extend(idle.map(|server| LoadEntry {
            server: *server,
            ..LoadEntry::default()
        }));
    }

    /// Whether a sum differs from what was told. When a server was last heard, how much it served, and small changes
    /// of its pace come all the time and are told with the rest.
    fn is_news(&self, sum: &LoadEntry) -> bool {
        let held = self.told.get(&sum.server);
        if self.coarse {
            return is_much(held.unwrap_or(&LoadEntry::default()), sum);
        }
        held.is_none_or(|held| {
            let (heard_ms, served) = (sum.heard_ms, sum.served);
            // The age of one question only grows; a lower one is of a newer question.
            let asked_again =
                sum.asked_ms > 0 && (held.asked_ms == 0 || sum.asked_ms < held.asked_ms);
            let (asked_ms, cold_ms) = (sum.asked_ms, sum.cold_ms);
            let (pace_age_ms, pace_percent) = (sum.pace_age_ms, sum.pace_percent);
            let (excess_pace_age_ms, excess_pace_percent) =
                (sum.excess_pace_age_ms, sum.excess_pace_percent);
            asked_again
                || sum.is_pace_news(held)
                || LoadEntry {
                    pace_age_ms,
                    pace_percent,
                    excess_pace_age_ms,
                    excess_pace_percent,
                    asked_ms,
                    cold_ms,
                    heard_ms,
                    served,
                    ..held.clone()
                } != *sum
        })
    }
}

/// Whether a sum differs by so much from what was told that another region should know.
fn is_much(held: &LoadEntry, sum: &LoadEntry) -> bool {
    let online = held.online.abs_diff(sum.online);
    let work = (held.online + held.batch).abs_diff(sum.online + sum.batch);
    let failing = (held.failed > 0) != (sum.failed > 0);
    online.max(work) >= CHANGE_TOLD
        || held.suspect != sum.suspect
        || held.doubted != sum.doubted
        || failing
}
