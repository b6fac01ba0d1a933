//! Spreads crash records of features of requests, so that every node knows them before the
//! caller retries.
//!
//! In a small fleet each node sends them to all others. In a large fleet it sends them to the
//! delegates of its zone, which forward them to their zone and to the delegates of other zones.

use std::net::SocketAddr;

use dappleyard_crashes::CrashUpdates;
use rand::seq::IndexedRandom;

use crate::cadence::DueMessages;
use crate::gossip::Gossip;
use crate::large_fleet::FANOUT;
use crate::messages::PacketKind;

/// Maximum records per message in a small fleet: about 2.5 KB.
const MAX_RECORDS_SMALL_FLEET: usize = 24;
/// Maximum records per message in a large fleet: at most 32 KB a second to each node.
const MAX_RECORDS_LARGE_FLEET: usize = 8;

impl Gossip {
    /// Sends new records. Called in every round: a longer interval would let a retry reach a node
    /// that does not know the record yet.
    pub(crate) fn send_crash_news(&self, due_messages: DueMessages) {
        let large = self.peers.is_large();
        let max_records = match large {
            true => MAX_RECORDS_LARGE_FLEET,
            false => MAX_RECORDS_SMALL_FLEET,
        };
        let news = self.crashes.updates(due_messages.far, max_records);
        if news.records.is_empty() {
            return;
        }
        let targets = match large {
            true => self.crash_news_targets(),
            false => self.all_addresses(),
        };
        self.send(PacketKind::CrashNews(news), targets.into_iter());
    }

    fn all_addresses(&self) -> Vec<SocketAddr> {
        let targets = self.peers.heartbeat_targets().into_iter();
        targets.map(|(address, _)| address).collect()
    }

    /// Targets in a large fleet: the delegates of the own zone; from a delegate, its zone and the
    /// delegates of other zones; without a live delegate, random nodes.
    fn crash_news_targets(&self) -> Vec<SocketAddr> {
        let roster = self.peers.roster();
        if roster.own_delegate_index().is_none() {
            return match self.has_recent_summary() {
                true => self.near_delegates.borrow().clone(),
                false => {
                    let all_addresses = self.all_addresses();
                    let chosen = all_addresses.choose_multiple(&mut rand::rng(), FANOUT);
                    chosen.copied().collect()
                }
            };
        }
        let (near, far) = self.other_delegates(&roster);
        let recipients = roster.own_zone_peers().chain(near).chain(far);
        recipients.map(|peer| peer.address).collect()
    }

    /// Merges records of another node. In a large fleet, delegates forward records that they did not
    /// know, and so does any node that hears no delegate.
    pub(crate) fn receive_crash_news(&self, news: CrashUpdates) {
        let forwards =
            self.peers.is_large() && (self.peers.is_delegate() || !self.has_recent_summary());
        for refused in self.crashes.merge(news, forwards) {
            self.peers.log.write("feature_refused", || {
                serde_json::json!({"feature": refused.short(), "by": "another node",
                    "servers": self.crashes.ended_under(&refused)})
            });
        }
    }
}
