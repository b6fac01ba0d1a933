//! Spreads records of requests that crashed servers, so that every node knows them before the
//! caller retries.
//!
//! In a small fleet each node sends them to all others. In a large fleet it sends them to the
//! delegates of its zone, which forward them to their zone and to the delegates of other zones.

use std::net::SocketAddr;

use dappleyard_crashes::CrashNews;
use rand::seq::IndexedRandom;

use crate::cadence::Duties;
use crate::gossip::Gossip;
use crate::large_fleet::FANOUT;
use crate::messages::PacketKind;

/// Maximum records per message in a small fleet: about 2.5 KB.
const RECORDS_IN_SMALL: usize = 24;
/// Maximum records per message in a large fleet: at most 32 KB a second to each node.
const RECORDS_IN_LARGE: usize = 8;

impl Gossip {
    /// Sends new records. Called in every round: a longer interval would let a retry reach a node
    /// that does not know the record yet.
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

    /// Targets in a large fleet: the delegates of the own zone; from a delegate, its zone and the
    /// delegates of other zones; without a live delegate, random nodes.
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

    /// Merges records of another node. Delegates forward what they did not know, and so do all
    /// nodes while no delegate is heard.
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
