//! Questions to other nodes where a stream began.

use std::collections::{HashMap, HashSet};
use std::net::SocketAddr;
use std::sync::Arc;

use dappleyard_model::RunOrigin;
use tokio::sync::Notify;

use crate::key::StreamKey;
use crate::messages::{AnswerKind, StreamAnswer, StreamQuestion};

/// Sends of a question, in successive rounds; a datagram may be lost.
const MAX_SENDS: u32 = 4;

/// Answer of a node.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Answer {
    /// It has a record of the stream.
    Began(RunOrigin),
    /// The service has had this version only.
    Single(RunOrigin),
    /// The service has had several versions, and it has no record of the stream.
    Several,
    /// It has started only lately and does not know.
    Unknown,
}

impl StreamAnswer {
    pub fn new(number: u32, answer: &Answer) -> Self {
        let kind = match answer {
            Answer::Began(origin) => Some(AnswerKind::Began(origin.into())),
            Answer::Single(origin) => Some(AnswerKind::Single(origin.into())),
            Answer::Several => Some(AnswerKind::Several(true)),
            Answer::Unknown => None,
        };
        Self { number, kind }
    }

    fn into_answer(self) -> Answer {
        match self.kind {
            Some(AnswerKind::Began(origin)) => Answer::Began(origin.into()),
            Some(AnswerKind::Single(origin)) => Answer::Single(origin.into()),
            Some(AnswerKind::Several(_)) => Answer::Several,
            None => Answer::Unknown,
        }
    }
}

struct Question {
    stream: Option<StreamKey>,
    service: String,
    sends: u32,
    /// Nodes whose answer is awaited; `None` until the question was sent.
    awaited: Option<HashSet<SocketAddr>>,
    answers: Vec<Answer>,
    done: Arc<Notify>,
}

impl Question {
    fn is_done(&self) -> bool {
        let has_record = self
            .answers
            .iter()
            .any(|answer| matches!(answer, Answer::Began(_)));
        has_record || self.awaited.as_ref().is_some_and(HashSet::is_empty)
    }
}

/// The open questions of one node.
#[derive(Default)]
pub(crate) struct Questions {
    next_number: u32,
    open: HashMap<u32, Question>,
}

impl Questions {
    /// Opens a question; returns its number and what is notified of its end.
    pub(crate) fn open(&mut self, stream: Option<StreamKey>, service: &str) -> (u32, Arc<Notify>) {
        let number = self.next_number;
        self.next_number = number.wrapping_add(1);
        let done = Arc::new(Notify::new());
        let question = Question {
            stream,
            service: service.to_owned(),
            sends: 0,
            awaited: None,
            answers: Vec::new(),
            done: done.clone(),
        };
        self.open.insert(number, question);
        (number, done)
    }

    /// Closes a question; returns its answers, and whether all awaited nodes have answered.
    pub(crate) fn close(&mut self, number: u32) -> (Vec<Answer>, bool) {
        match self.open.remove(&number) {
            Some(question) => {
                let is_done = question.is_done();
                (question.answers, is_done)
            }
            None => (Vec::new(), false),
        }
    }

    /// Whether a question has to be sent, once more if it was sent before.
    pub(crate) fn has_unsent(&self) -> bool {
        self.open
            .values()
            .any(|question| question.sends < MAX_SENDS && !question.is_done())
    }

    /// The questions to send now.
    pub(crate) fn take_unsent(&mut self) -> Vec<StreamQuestion> {
        let open = self.open.iter_mut();
        let unsent = open.filter(|(_, question)| question.sends < MAX_SENDS && !question.is_done());
        unsent
            .map(|(number, question)| {
                question.sends += 1;
                StreamQuestion {
                    number: *number,
                    stream: question.stream.map(|stream| stream.0),
                    service: question.service.clone(),
                }
            })
            .collect()
    }

    /// Notes which nodes are expected to answer a question that was sent for the first time.
    pub(crate) fn note_sent(&mut self, number: u32, awaited: HashSet<SocketAddr>) {
        if let Some(question) = self.open.get_mut(&number)
            && question.awaited.is_none()
        {
            question.awaited = Some(awaited);
            if question.is_done() {
                question.done.notify_one();
            }
        }
    }

    /// Notes the answer of a node; a second answer of the same node is ignored.
    pub(crate) fn note_answer(&mut self, answer: StreamAnswer, sender: SocketAddr) {
        let Some(question) = self.open.get_mut(&answer.number) else {
            return;
        };
        let answer = answer.into_answer();
        let was_awaited = question
            .awaited
            .as_mut()
            .is_some_and(|awaited| awaited.remove(&sender));
        // A node that counts as down may still have a record.
        if was_awaited || matches!(answer, Answer::Began(_)) {
            question.answers.push(answer);
        }
        if question.is_done() {
            question.done.notify_one();
        }
    }
}
