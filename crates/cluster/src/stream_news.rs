//! Tells other nodes where streams began, and asks and answers for streams that callers resume.
//!
//! While a service has a single version nothing is told. While it has several, each stream is told to the two nodes
//! that a hash of it selects; a node that has no record asks the nodes that come first by the same hash, in a small
//! fleet all of them.

use std::collections::{BTreeMap, HashSet};
use std::net::SocketAddr;
use std::time::Duration;

use dappleyard_model::RunOrigin;
use dappleyard_streams::{
    Answer, Knowledge, StreamAnswer, StreamAnswers, StreamKey, StreamNews, StreamQuestion,
    StreamQuestions,
};
use xxhash_rust::xxh3::xxh3_64_with_seed;

use crate::gossip::Gossip;
use crate::messages::PacketKind;
use crate::peers::{MAX_FULL_MESH_NODES, RelayPeer};

/// Nodes that are told of a stream, so that one of them may end together with the node that began it.
const HOLDERS: usize = 2;
/// Nodes asked in a large fleet. More than the holders, since nodes may have started or ended meanwhile.
const NODES_ASKED: usize = 6;
/// Streams told of in one round, about 20 bytes each.
const MAX_STREAMS_PER_ROUND: usize = 200;
/// Questions in one datagram.
const MAX_QUESTIONS_PER_MESSAGE: usize = 100;

impl Gossip {
    /// Tells the holders of streams that began here, for services with several versions.
    pub(crate) fn send_stream_news(&self) {
        let mut services = self.streams.untold_services();
        if services.is_empty() {
            return;
        }
        let is_single =
            |service: &str| matches!(self.view.version_knowledge(service), Knowledge::Single(_));
        services.retain(|service| !is_single(service));
        self.streams.set_telling(!services.is_empty());
        for service in services {
            let streams = self.streams.take_untold(&service, MAX_STREAMS_PER_ROUND);
            self.tell(streams);
        }
    }

    fn tell(&self, streams: Vec<(StreamKey, RunOrigin, Duration)>) {
        if streams.is_empty() {
            return;
        }
        let roster = self.peers.roster();
        let mut by_holder: BTreeMap<SocketAddr, Vec<_>> = BTreeMap::new();
        for stream in streams {
            for holder in first_by_hash(&roster.peers, stream.0, HOLDERS) {
                let told = by_holder.entry(holder.address).or_default();
                told.push(stream.clone());
            }
        }
        for (holder, streams) in by_holder {
            let news: StreamNews = streams.into_iter().collect();
            self.send(PacketKind::StreamNews(news), std::iter::once(holder));
        }
    }

    /// Sends the open questions.
    pub(crate) fn send_stream_questions(&self) {
        let questions = self.streams.take_questions();
        if questions.is_empty() {
            return;
        }
        let roster = self.peers.roster();
        let mut by_node: BTreeMap<SocketAddr, Vec<StreamQuestion>> = BTreeMap::new();
        for question in questions {
            let asked = nodes_to_ask(&roster.peers, &question);
            self.streams.note_sent(question.number, asked.clone());
            for node in asked {
                by_node.entry(node).or_default().push(question.clone());
            }
        }
        for (node, questions) in by_node {
            for questions in questions.chunks(MAX_QUESTIONS_PER_MESSAGE) {
                let questions = questions.to_vec();
                let message = PacketKind::StreamQuestions(StreamQuestions { questions });
                self.send(message, std::iter::once(node));
            }
        }
    }

    pub(crate) fn answer_stream_questions(&self, questions: StreamQuestions, sender: SocketAddr) {
        let answers = questions.questions.into_iter();
        let answers = answers.map(|question| {
            let answer = self.stream_answer(&question);
            StreamAnswer::new(question.number, &answer)
        });
        let answers = StreamAnswers {
            answers: answers.collect(),
        };
        let message = PacketKind::StreamAnswers(answers);
        self.send(message, std::iter::once(sender));
    }

    fn stream_answer(&self, question: &StreamQuestion) -> Answer {
        let stream = question.stream.map(StreamKey);
        if let Some(origin) = stream.and_then(|stream| self.streams.find(stream)) {
            return Answer::Began(origin);
        }
        match self.view.version_knowledge(&question.service) {
            Knowledge::Single(origin) | Knowledge::Stale(origin) => Answer::Single(origin),
            Knowledge::Several => Answer::Several,
            Knowledge::Incomplete { .. } => Answer::Unknown,
        }
    }
}

/// Nodes to ask a question.
fn nodes_to_ask(alive: &[RelayPeer], question: &StreamQuestion) -> HashSet<SocketAddr> {
    let count = match alive.len() <= MAX_FULL_MESH_NODES {
        true => alive.len(),
        false => NODES_ASKED,
    };
    let stream = StreamKey(question.stream.unwrap_or_default());
    let asked = first_by_hash(alive, stream, count);
    asked.into_iter().map(|peer| peer.address).collect()
}

/// The first nodes in an order that depends on the stream and is the same everywhere.
fn first_by_hash(peers: &[RelayPeer], stream: StreamKey, count: usize) -> Vec<&RelayPeer> {
    let mut peers: Vec<(u64, &RelayPeer)> = peers
        .iter()
        .map(|peer| (xxh3_64_with_seed(peer.name.as_bytes(), stream.0), peer))
        .collect();
    if peers.len() > count {
        peers.select_nth_unstable_by_key(count, |(hash, _)| *hash);
        peers.truncate(count);
    }
    peers.into_iter().map(|(_, peer)| peer).collect()
}
