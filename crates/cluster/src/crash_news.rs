//! News of requests under which servers ended: every node must know of them before the caller comes again.
//!
//! In a small fleet each node tells all others. In a large one it tells the delegates of its zone; these tell their
//! zone and the delegates of other zones. Nothing is sent while nothing is known.

use std::net::SocketAddr;

use dappleyard_crashes::CrashNews;
use rand::seq::IndexedRandom;

use crate::cadence::Duties;
use crate::gossip::Gossip;
use crate::large_fleet::FANOUT;
use crate::messages::PacketKind;

/// Records in one message in a small fleet: about 2.5 KB.
const RECORDS_IN_SMALL: usize = 24;
/// Records in one message in a large fleet: 32 KB a second to each node at most.
const RECORDS_IN_LARGE: usize = 8;

impl Gossip {
    /// Tells what is new, each 25 ms. In a large fleet, where a delegate tells its whole zone, fewer at a time: told each
    /// 75 ms, three at a time as many, news took so long by way of two delegates that a run began in the meantime.
    pub(crate) fn tell_crashes(&self, duties: Duties) {
        let large = self.peers.is_large();
        let most = match large {
            true => RECORDS_IN_LARGE,
            false => RECORDS_IN_SMALL,
        };
        let news = self.crashes.news(duties.far, most);
        if news.records.is_empty() {
            return;
        }
        let targets = match large {
            true => self.crash_news_targets(),
            false => self.everybody(),
        };
        self.send(PacketKind::CrashNews(news), targets.into_iter());
    }

    fn everybody(&self) -> Vec<SocketAddr> {
        let targets = self.peers.heartbeat_targets().into_iter();
        targets.map(|(address, _)| address).collect()
    }

    /// In a large fleet: the delegates of the zone; from a delegate, the zone and the delegates of other zones; where
    /// no delegate is heard, nodes chosen at random.
    fn crash_news_targets(&self) -> Vec<SocketAddr> {
        let roster = self.peers.roster();
        if roster.own_place().is_none() {
            return match self.is_told() {
                true => self.near_delegates.borrow().clone(),
                false => {
                    let everybody = self.everybody();
                    let chosen = everybody.choose_multiple(&mut rand::rng(), FANOUT);
                    chosen.copied().collect()
                }
            };
        }
        let (near, far) = self.other_delegates(&roster);
        let told = roster.near().chain(near).chain(far);
        told.map(|peer| peer.address).collect()
    }

    /// Takes news of another node. Delegates pass on what they did not know, and all nodes while no delegate is heard.
    pub(crate) fn receive_crash_news(&self, news: CrashNews) {
        let passes_on = self.peers.is_large() && (self.peers.is_delegate() || !self.is_told());
        for refused in self.crashes.merge(news, passes_on) {
            self.peers.log.write("request_blamed", || {
                serde_json::json!({"fingerprint": refused.short(), "by": "another node",
                    "servers": self.crashes.ended_under(&refused)})
            });
        }
    }
}
