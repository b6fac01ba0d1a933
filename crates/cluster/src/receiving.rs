//! Handling of received gossip messages.

use std::net::SocketAddr;

use dappleyard_clock::Instant;
use dappleyard_tenants::ZonePassed;
use prost::Message;

use crate::gossip::Gossip;
use crate::loads::node_number;
use crate::messages::{ExtraLiveness, Heartbeat, LoadChange, Packet, PacketKind, Summary};
use crate::server_loads::Source;

impl Gossip {
    pub(crate) fn receive(&self, datagram: &[u8], sender: SocketAddr) {
        let packet = match Packet::decode(datagram) {
            Ok(packet) => packet,
            Err(error) => {
                self.peers.log.write("datagram_refused", || {
                    serde_json::json!({"from": sender.to_string(), "bytes": datagram.len(),
                        "cause": error.to_string()})
                });
                return;
            }
        };
        match packet.kind {
            Some(PacketKind::Heartbeat(heartbeat)) => {
                self.peers.note_unlisted_sender(&heartbeat, sender);
                self.note_life(&heartbeat);
                self.receive_heartbeat(heartbeat);
            }
            Some(PacketKind::Summary(summary)) => self.receive_summary(summary),
            Some(PacketKind::LoadChange(change)) => self.receive_change(change),
            Some(PacketKind::CrashNews(news)) => self.receive_crash_news(news),
            Some(PacketKind::ExtraLiveness(message)) => self.receive_extra_liveness(&message),
            Some(PacketKind::StreamNews(news)) => self.streams.learn(news),
            Some(PacketKind::StreamQuestions(questions)) => {
                self.answer_stream_questions(questions, sender);
            }
            Some(PacketKind::StreamAnswers(answers)) => self.streams.note_answers(answers, sender),
            // Sent by a later version of the program.
            None => {}
        }
    }

    /// Tells a process that has just started which requests are refused. It may not be able to read them, nor to
    /// register, while the store is away.
    fn note_life(&self, heartbeat: &Heartbeat) {
        if heartbeat.name == self.settings.name {
            return;
        }
        let mut runs_heard = self.runs_heard.borrow_mut();
        let before = runs_heard.insert(node_number(&heartbeat.name), heartbeat.life);
        if before != Some(heartbeat.life) {
            self.crashes.resend_refused();
        }
    }

    fn receive_heartbeat(&self, heartbeat: Heartbeat) {
        if heartbeat.name == self.settings.name || !self.peers.apply_heartbeat(&heartbeat) {
            return;
        }
        if let Some(signs) = &heartbeat.signs {
            self.peers.merge_liveness_records(signs);
        }
        let large = self.peers.is_large();
        let has_summary = self.has_recent_summary();
        // In a large fleet, a node with a recent summary uses the loads of heartbeats only as a
        // delegate.
        let delegate = self.peers.is_delegate();
        if large && ((has_summary && !delegate) || !heartbeat.tells_loads) {
            return;
        }
        let number = node_number(&heartbeat.name);
        if !self.record_if_newest(number, heartbeat.life, heartbeat.sequence) {
            return;
        }
        if large {
            self.used_servers_by_node
                .borrow_mut()
                .insert(number, heartbeat.used);
        }
        self.quotas
            .note_node(number, heartbeat.life, &heartbeat.passed);
        let source = Source::Node(number);
        if self.is_in_own_region(&heartbeat.name) {
            self.loads.waiting.set_source(source, heartbeat.waiting);
            self.loads.demand.set_source(source, heartbeat.demands);
        }
        self.loads.set_source(source, heartbeat.loads);
    }

    fn receive_extra_liveness(&self, message: &ExtraLiveness) {
        if !self
            .peers
            .record_message_from(&message.name, message.life, message.sequence)
        {
            return;
        }
        if let Some(signs) = &message.signs {
            self.peers.merge_liveness_records(signs);
        }
    }

    /// Whether a node is in this node's region. Waiting work in other regions waits for
    /// other servers, so it does not compete with that of this node.
    fn is_in_own_region(&self, name: &str) -> bool {
        let zone_distances = self.view.zone_distances();
        if !zone_distances.has_regions() {
            return true;
        }
        let zone = self.peers.zone_of(name).unwrap_or_default();
        zone_distances.is_near(&zone)
    }

    /// Whether a load message is newer than all earlier ones of its node; records it if so.
    fn record_if_newest(&self, node: u64, life: u64, sequence: u64) -> bool {
        let mut newest = self.newest_sequences.borrow_mut();
        let last = newest.entry(node).or_default();
        let newer = last.0 != life || last.1 < sequence;
        if newer {
            *last = (life, sequence);
        }
        newer
    }

    fn receive_change(&self, change: LoadChange) {
        let accepts_loads = !self.peers.is_large() || self.peers.is_delegate();
        // Changes are ignored until a heartbeat of the same run has arrived.
        let newest = self.newest_sequences.borrow().get(&change.node).copied();
        let known = newest.is_some_and(|(life, _)| life == change.life);
        if accepts_loads
            && known
            && self.record_if_newest(change.node, change.life, change.sequence)
        {
            self.quotas
                .note_node(change.node, change.life, &change.passed);
            let source = Source::Node(change.node);
            self.loads.demand.change_source(source, change.demands);
            self.loads.change_source(source, change.loads);
        }
    }

    fn receive_summary(&self, summary: Summary) {
        let (name, life, sequence) = (&summary.name, summary.life, summary.sequence);
        if !self.peers.record_message_from(name, life, sequence) {
            return;
        }
        if let Some(signs) = &summary.signs {
            self.peers.merge_liveness_records(signs);
        }
        let delegate = self.peers.is_delegate();
        match (summary.of_zone, delegate) {
            (true, true) => {
                let zone = self.peers.zone_of(&summary.name).unwrap_or_default();
                let delegate = (node_number(&summary.name), summary.life);
                let zone_passed = ZonePassed {
                    counts: &summary.passed,
                    heard_fraction: f64::from(summary.heard_permille) / 1_000.0,
                };
                let delay = self.view.zone_distances().extra_rtt(&zone) / 2;
                let number = node_number(&zone);
                self.quotas.note_zone(number, delegate, &zone_passed, delay);
                let source = Source::Zone(node_number(&zone));
                if self.is_in_own_region(&summary.name) {
                    self.loads.waiting.set_source(source, summary.waiting);
                    self.loads.demand.set_source(source, summary.demands);
                }
                match summary.changes_only {
                    true => self.loads.merge_source(source, summary.loads),
                    false => self.loads.set_source(source, summary.loads),
                }
            }
            (false, false) => {
                self.last_summary_at.set(Some(Instant::now()));
                self.loads.zones.note(summary.evacuated);
                self.quotas.note_levels(&summary.levels);
                self.loads
                    .waiting
                    .set_source(Source::Fleet, summary.waiting);
                self.loads.demand.set_source(Source::Fleet, summary.demands);
                self.loads.set_source(Source::Fleet, summary.loads);
            }
            // Ignored: nodes may disagree on the delegates for a short time.
            _ => {}
        }
    }
}
